//! Jobs of this cell that others host: forwarded, followed, taken back.

use super::capacity::{self, shape_of};
use super::{CellCall, Cells, RECORD_SLACK, RETRY_MS, log_move, log_record, record_change};
use crate::core::common::{context::NodeContext, job_records::RecordSource};
use crate::core::leader::live_jobs::{JobLocation, LiveJob};
use crate::core::leader::{Leader, LeaderCall};
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{JobIndex, JobSpec, Ms};
use crate::wire::encoded::Encoded;
use crate::wire::store::{JobRecord, JobState};
use std::collections::BTreeMap;
use woadlever_cells::event::MoveEvent;
use woadlever_cells::message::{
    CellMessage, FOR_GOOD, ForwardedJob, ForwardedState, HostedJob, HostedPhase,
};
use woadlever_cells::origin::{ForwardView, OriginLimits, OriginStep, next_step};
use woadlever_cells::record::{ForwardPhase, Forwarding};
use woadlever_cells::routing;

/// Descriptions that go along with one message; the rest follows with the next.
const MAX_SPECS: usize = 64;
/// A job for which machines boot or are asked for here is offered to other cells after so
/// many times the ordinary wait.
const LONG_WAIT_FACTOR: Ms = 3;
/// All tasks of a job.
const WHOLE: f64 = 1.0;

/// The write that forwards a job, until it is certain what became of it.
#[derive(Debug)]
pub struct PendingForward {
    record: JobRecord,
    /// Version of the job's record that the write is conditional on.
    version: u64,
    state: ForwardWrite,
    /// One of the attempts at it may yet be carried out.
    is_uncertain: bool,
}

/// How far that write is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ForwardWrite {
    InFlight,
    /// To be repeated: with the same condition, so that the repeat settles what became
    /// of the first.
    RetryAt(Ms),
    /// Another version is on record; the watch will tell which.
    Superseded,
}

/// Since when a forwarded job has been as it is.
#[derive(Debug)]
pub struct Observed {
    version: u64,
    since: Ms,
    /// Since when the host has shown nothing of it running or done.
    idle_since: Ms,
    /// The host's refusal has been counted.
    is_refusal_counted: bool,
}

impl Cells {
    /// Takes in the message of another cell.
    pub(super) fn receive(
        &mut self,
        leader: &mut Leader,
        context: &mut NodeContext,
        message: CellMessage,
    ) {
        let cell = message.cell.clone();
        let Some(neighbor) = self.neighbors.get_mut(&cell) else {
            return tracing::warn!(cell, "message of an unknown cell");
        };
        let Some(jobs) = neighbor.receive(message, context.clock.now()) else { return };
        for job in jobs {
            self.take_report(leader, context, &cell, &job);
        }
        // What it asks for is not left until the next turn.
        self.step_at = context.clock.now();
    }

    /// Takes in what a host says of one of our jobs.
    fn take_report(
        &mut self,
        leader: &mut Leader,
        context: &NodeContext,
        cell: &str,
        reported: &HostedJob,
    ) {
        let Some(index) = context.job_index(&reported.id) else { return };
        let forwarding = context.job(index).forwarding();
        let is_ours = |f: &Forwarding| f.is_away() && f.cell == cell && f.epoch == reported.epoch;
        let Some(job) = leader.jobs.get_mut(&index).filter(|_| forwarding.is_some_and(is_ours)) else {
            return;
        };
        job.take_done_elsewhere(&reported.done);
        let mut running_now = 0;
        match reported.phase {
            HostedPhase::Done => {
                if job.done.len() < job.spec.tasks {
                    log_move(&reported.id, cell, reported.epoch, MoveEvent::Done);
                }
                job.take_all_done_elsewhere();
            }
            HostedPhase::Live { running, .. } => running_now = running,
            HostedPhase::Refused { .. } | HostedPhase::Released => {}
        }
        job.location = JobLocation::Away { running: running_now };
        if running_now == 0 {
            return;
        }
        if let Some(observed) = self.observed.get_mut(&index) {
            observed.idle_since = context.clock.now();
        }
        if let Some(neighbor) = self.neighbors.get_mut(cell) {
            neighbor.note_success();
        }
    }

    /// What is told to a cell of the jobs that it hosts for us.
    pub(super) fn forwarded_state(
        &self,
        leader: &Leader,
        context: &NodeContext,
        cell: &str,
    ) -> ForwardedState {
        let neighbor = &self.neighbors[cell];
        let mut specs_left = MAX_SPECS;
        let mut jobs = Vec::new();
        for (index, job) in leader.jobs.iter().filter(|(_, job)| job.is_away()) {
            let Some(forwarding) = context.job(*index).forwarding() else { continue };
            if forwarding.cell != cell {
                continue;
            }
            let id = context.jobs.id(*index);
            let is_recalled = forwarding.phase == ForwardPhase::Recalled;
            let is_known = neighbor.phase_of(id, forwarding.epoch).is_some();
            let wants_spec = !is_recalled && !is_known && specs_left > 0;
            specs_left -= usize::from(wants_spec);
            jobs.push(ForwardedJob {
                id: id.to_string(),
                epoch: forwarding.epoch,
                is_recalled,
                spec: wants_spec.then(|| offered_spec(job)).flatten(),
            });
        }
        ForwardedState { lease_until_ms: self.lease_until_ms(context, cell), jobs }
    }

    /// Until when the cell may run our jobs; 0 if not at all.
    fn lease_until_ms(&self, context: &NodeContext, cell: &str) -> u64 {
        let Some(hosted) = self.neighbors[cell].hosted() else { return 0 };
        let Some(control_lease_renewed_at) = context.control_lease.renewed_at() else { return 0 };
        let proof_wall_ms = context
            .clock
            .wall()
            .saturating_sub(context.clock.now().saturating_sub(control_lease_renewed_at));
        let timing = context.cell_leases.timing();
        timing.lease_until_ms(proof_wall_ms, hosted.stop_within_ms).unwrap_or(0)
    }

    /// Offers jobs that have waited for long to cells that have room for them.
    pub(super) fn spill(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        let mut hosted_by: BTreeMap<String, usize> = BTreeMap::new();
        for index in leader.jobs.iter().filter(|(_, job)| job.is_away()).map(|(index, _)| index) {
            if let Some(forwarding) = context.job(*index).forwarding() {
                *hosted_by.entry(forwarding.cell.clone()).or_default() += 1;
            }
        }
        let mut to_come = capacity::upcoming_class_capacity(leader, context, 0);
        let waiting: Vec<JobIndex> = leader.fleet.waiting.iter().map(|(job, _)| *job).collect();
        for index in waiting {
            let Some(job) = leader.jobs.get(&index) else { continue };
            let shape = shape_of(&job.spec);
            if shape.fits_within(&to_come, WHOLE) && !is_long_wait(context, job) {
                shape.reserve(&mut to_come);
                continue;
            }
            if !may_be_forwarded(leader, context, index, job) || self.pending.contains_key(&index) {
                continue;
            }
            let spec = job.spec.clone();
            let Some(cell) = self.choose_cell(context, index, &spec, &hosted_by) else { continue };
            if !self.may_write(context) {
                return;
            }
            if self.forward(leader, context, index, &spec, &cell) {
                *hosted_by.entry(cell).or_default() += 1;
            }
        }
    }

    /// The cell that the job is forwarded to, if one has room.
    fn choose_cell(
        &self,
        context: &NodeContext,
        index: JobIndex,
        spec: &JobSpec,
        hosted_by: &BTreeMap<String, usize>,
    ) -> Option<String> {
        let settings = &context.operator.cells;
        let timing = context.cell_leases.timing();
        let tried = context.job(index).forwarding().map(|f| f.tried.as_slice()).unwrap_or_default();
        let offers = self.neighbors.iter().filter_map(|(cell, neighbor)| {
            let hosted = neighbor.hosted()?;
            let stops_in_time = timing.grant_ms(hosted.stop_within_ms).is_some();
            let has_place = hosted_by.get(cell).is_none_or(|jobs| *jobs < settings.max_forwarded);
            let may = neighbor.may_be_offered(context.clock.now(), settings.silence_ms)
                && stops_in_time
                && has_place
                && !tried.contains(cell);
            may.then_some((cell.as_str(), hosted.capacity.as_slice()))
        });
        routing::choose(&shape_of(spec), offers, settings.fit_share).map(str::to_string)
    }

    /// Begins to forward a job. False: its record would be too large.
    fn forward(
        &mut self,
        leader: &mut Leader,
        context: &mut NodeContext,
        index: JobIndex,
        spec: &JobSpec,
        cell: &str,
    ) -> bool {
        let job = context.job(index);
        let forwarding = Forwarding::begin(cell, job.version, job.forwarding());
        let record = JobRecord::forwarded(spec.clone(), &awaited(context, index), forwarding);
        if Encoded::new(&record).len() + RECORD_SLACK > context.platform.cluster.state.value_bytes() {
            return false;
        }
        if let Some(neighbor) = self.neighbors.get_mut(cell) {
            shape_of(spec).reserve(neighbor.capacity_mut());
        }
        if let Some(live) = leader.jobs.get_mut(&index) {
            live.backoff_until = Ms::MAX;
        }
        let state = ForwardWrite::InFlight;
        let pending = PendingForward { version: job.version, record, state, is_uncertain: false };
        send_forward(leader, context, index, &pending);
        self.pending.insert(index, pending);
        true
    }

    pub(super) fn on_forwarded(
        &mut self,
        context: &mut NodeContext,
        index: JobIndex,
        result: StoreResponse,
    ) {
        let Some(pending) = self.pending.get_mut(&index) else { return };
        match result {
            StoreResponse::Committed { revision } => {
                let record = pending.record.clone();
                let id = context.jobs.id(index).to_string();
                log_record(&id, &record, MoveEvent::Forwarded);
                context.apply_job_record(&id, record, revision, RecordSource::Single);
                pending.state = ForwardWrite::Superseded;
            }
            StoreResponse::Conflict(_) => pending.state = ForwardWrite::Superseded,
            StoreResponse::NotExecuted | StoreResponse::Malformed if !pending.is_uncertain => {
                // Never carried out: the job is as it was.
                pending.version = 0;
            }
            _ => {
                pending.is_uncertain = true;
                pending.state = ForwardWrite::RetryAt(context.clock.now() + context.retry_ms(RETRY_MS));
            }
        }
    }

    /// Repeats what is uncertain, and lets go of jobs whose forwarding is settled.
    pub(super) fn follow_pending(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        let now = context.clock.now();
        let mut settled = Vec::new();
        for (index, pending) in &mut self.pending {
            let job = context.job(*index);
            if job.version > pending.version || job.state != JobState::Live {
                settled.push(*index);
            } else if matches!(pending.state, ForwardWrite::RetryAt(at) if now >= at) {
                pending.state = ForwardWrite::InFlight;
                send_forward(leader, context, *index, pending);
            }
        }
        for index in settled {
            self.pending.remove(&index);
            if let Some(job) = leader.jobs.get_mut(&index) {
                job.backoff_until = 0;
            }
        }
    }

    /// Takes the next step with each job that another cell hosts.
    pub(super) fn follow_forwarded(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        let away = leader.jobs.iter().filter(|(_, job)| job.is_away()).map(|(index, _)| *index);
        for index in away.collect::<Vec<JobIndex>>() {
            let Some(forwarding) = context.job(index).forwarding().cloned() else { continue };
            let step = self.next_step(leader, context, index, &forwarding);
            let (forwarding, event) = match step {
                OriginStep::Wait => continue,
                OriginStep::Finish => {
                    // The scheduler writes the end of a job all of whose tasks are done.
                    if let Some(job) = leader.jobs.get_mut(&index) {
                        job.take_all_done_elsewhere();
                    }
                    continue;
                }
                OriginStep::Recall(reason) => (forwarding.recalled(reason), reason.into()),
                OriginStep::Return { is_confirmed: true } => {
                    (forwarding.returned(), MoveEvent::Returned)
                }
                OriginStep::Return { is_confirmed: false } => {
                    (forwarding.returned(), MoveEvent::Reclaimed)
                }
            };
            let Some(spec) = context.job(index).spec.clone() else { continue };
            let record = JobRecord::forwarded((*spec).clone(), &awaited(context, index), forwarding);
            self.change_record(leader, context, index, record, event);
        }
    }

    fn next_step(
        &mut self,
        leader: &Leader,
        context: &NodeContext,
        index: JobIndex,
        forwarding: &Forwarding,
    ) -> OriginStep {
        let (now, settings) = (context.clock.now(), &context.operator.cells);
        let version = context.job(index).version;
        let fresh = Observed { version, since: now, idle_since: now, is_refusal_counted: false };
        let observed = self.observed.entry(index).or_insert(fresh);
        if observed.version != version {
            (observed.version, observed.since) = (version, now);
        }
        let has_begun = leader.jobs.get(&index).is_some_and(|job| !job.done.is_empty());
        let idle_ms = if has_begun { 0 } else { now - observed.idle_since };
        let id = context.jobs.id(index);
        let neighbor = self.neighbors.get_mut(&forwarding.cell);
        let reported = neighbor.as_ref().and_then(|n| n.phase_of(id, forwarding.epoch));
        // A cell that the settings no longer name is silent from the start of the term.
        let host_silent_ms =
            neighbor.as_ref().map_or(now - leader.activated_at, |neighbor| neighbor.silent_ms(now));
        let in_phase_ms = now - observed.since;
        let view =
            ForwardView { phase: forwarding.phase, in_phase_ms, reported, host_silent_ms, idle_ms };
        let limits = OriginLimits {
            silence_ms: settings.silence_ms,
            idle_ms: settings.idle_ms,
            reclaim_after_ms: context.cell_leases.timing().reclaim_after_ms(),
        };
        if let (Some(HostedPhase::Refused { retry_after_ms }), Some(neighbor)) = (reported, neighbor)
            && !observed.is_refusal_counted
        {
            observed.is_refusal_counted = true;
            if retry_after_ms != FOR_GOOD {
                neighbor.note_refusal(now, retry_after_ms);
            }
        }
        next_step(&view, &limits)
    }
}

/// Whether a job may be offered to other cells: it has waited for long, nothing of it was
/// ever granted, and it belongs here.
fn may_be_forwarded(leader: &Leader, context: &NodeContext, index: JobIndex, job: &LiveJob) -> bool {
    let waited_ms = context.clock.wall().saturating_sub(job.ready_at_ms);
    job.location == JobLocation::Local
        && waited_ms >= context.operator.cells.spill_after_ms
        && job.backoff_until <= context.clock.now()
        && job.done.is_empty()
        && !leader.attempts.has_job(index)
        && !context.must_stop(index)
}

/// Whether a job has waited for so long that it is offered to other cells even if this
/// one is getting machines for it.
fn is_long_wait(context: &NodeContext, job: &LiveJob) -> bool {
    let waited_ms = context.clock.wall().saturating_sub(job.ready_at_ms);
    waited_ms >= context.operator.cells.spill_after_ms * LONG_WAIT_FACTOR
}

/// What a job awaits; all of it is done, but the record keeps it.
fn awaited(context: &NodeContext, index: JobIndex) -> Vec<String> {
    let before = context.job(index).links.dependencies.iter();
    before.map(|before| context.jobs.id(*before).to_string()).collect()
}

/// The description that goes to the host: with the priority of the jobs that need this one.
fn offered_spec(job: &LiveJob) -> Option<Vec<u8>> {
    let spec = JobSpec { priority: job.priority, ..(*job.spec).clone() };
    serde_json::to_vec(&spec).ok()
}

fn send_forward(leader: &Leader, context: &mut NodeContext, index: JobIndex, pending: &PendingForward) {
    let txn = record_change(leader, context, index, &pending.record);
    let call = CellCall::Forward { job: index };
    context.send_store_request(
        StoreCallOwner::Leader(LeaderCall::Cells(call)),
        StoreRequest::CompareAndSwap(txn),
    );
}
