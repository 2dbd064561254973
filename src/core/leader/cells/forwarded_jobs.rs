//! Tracks the jobs of this cell that other cells host, until they are done or returned.

use super::Cells;
use super::forward_writes::dependency_ids;
use super::move_log::log_move;
use super::record_writes::RecordChange;
use crate::core::common::context::NodeContext;
use crate::core::leader::Leader;
use crate::core::leader::live_jobs::JobLocation;
use crate::model::{JobIndex, Ms};
use crate::wire::store::JobRecord;
use woadlever_cells::event::MoveEvent;
use woadlever_cells::message::{HostedJob, HostedPhase, NEVER_RETRY};
use woadlever_cells::origin::{ForwardView, OriginLimits, OriginStep, next_step};
use woadlever_cells::record::Forwarding;

/// How long a forwarded job has been in its present state, as observed by this leader.
#[derive(Debug)]
pub(super) struct ForwardObservation {
    /// Version of the job's record.
    version: u64,
    /// When this leader first saw that version.
    since: Ms,
    /// When the host last reported running tasks, or else when the observation started.
    idle_since: Ms,
    /// Whether the host's refusal has been counted.
    is_refusal_counted: bool,
}

impl ForwardObservation {
    fn new(version: u64, now: Ms) -> ForwardObservation {
        ForwardObservation { version, since: now, idle_since: now, is_refusal_counted: false }
    }

    /// Updates the version. If it has changed, the job is in a new state from now on.
    fn update(&mut self, version: u64, now: Ms) {
        if self.version != version {
            self.version = version;
            self.since = now;
        }
    }
}

impl Cells {
    /// Applies a host's report on one of this cell's jobs.
    pub(super) fn on_host_report(
        &mut self,
        leader: &mut Leader,
        context: &NodeContext,
        cell: &str,
        reported: &HostedJob,
    ) {
        let Some(index) = context.job_index(&reported.id) else { return };
        let forwarding = context.job(index).forwarding();
        let is_ours = |f: &Forwarding| f.is_forwarded() && f.cell == cell && f.epoch == reported.epoch;
        if !forwarding.is_some_and(is_ours) {
            return;
        }
        let Some(job) = leader.jobs.get_mut(&index) else { return };
        job.apply_remote_progress(&reported.done);
        let mut running_now = 0;
        match reported.phase {
            HostedPhase::Done => {
                if job.done.len() < job.spec.tasks {
                    log_move(&reported.id, cell, reported.epoch, MoveEvent::Done);
                }
                job.apply_remote_completion();
            }
            HostedPhase::Live { running, .. } => running_now = running,
            HostedPhase::Refused { .. } | HostedPhase::Released => {}
        }
        job.location = JobLocation::Forwarded { running: running_now };
        if running_now > 0 {
            self.record_running(context, index, cell);
        }
    }

    /// Records that a host runs tasks of one of this cell's jobs.
    fn record_running(&mut self, context: &NodeContext, index: JobIndex, cell: &str) {
        if let Some(observed) = self.observations.get_mut(&index) {
            observed.idle_since = context.clock.now();
        }
        if let Some(neighbor) = self.neighbors.get_mut(cell) {
            neighbor.record_success();
        }
    }

    /// Reconciles each job that another cell hosts: waits for it, finishes it, recalls it or takes
    /// it back.
    pub(super) fn reconcile_forwarded_jobs(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        let forwarded =
            leader.jobs.iter().filter(|(_, job)| job.is_forwarded()).map(|(index, _)| *index);
        for index in forwarded.collect::<Vec<JobIndex>>() {
            let Some(forwarding) = context.job(index).forwarding().cloned() else { continue };
            let (forwarding, event) = match self.next_step(leader, context, index, &forwarding) {
                OriginStep::Wait => continue,
                OriginStep::Finish => {
                    // `Leader::record` writes the final state of a job once all its tasks are done.
                    if let Some(job) = leader.jobs.get_mut(&index) {
                        job.apply_remote_completion();
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
            let dependencies = dependency_ids(context, index);
            let record = JobRecord::forwarded((*spec).clone(), &dependencies, forwarding);
            self.change_record(leader, context, RecordChange { job: index, record, event });
        }
    }

    fn next_step(
        &mut self,
        leader: &Leader,
        context: &NodeContext,
        index: JobIndex,
        forwarding: &Forwarding,
    ) -> OriginStep {
        let settings = &context.operator.cells;
        let limits = OriginLimits {
            silence_ms: settings.silence_ms,
            idle_ms: settings.idle_ms,
            reclaim_after_ms: context.cell_leases.timing().reclaim_after_ms(),
        };
        let view = self.forward_view(leader, context, index, forwarding);
        if let Some(HostedPhase::Refused { retry_after_ms }) = view.reported {
            self.count_refusal(context, index, &forwarding.cell, retry_after_ms);
        }
        next_step(&view, &limits)
    }

    /// Returns the present state of a forwarded job, as input of the next decision.
    fn forward_view(
        &mut self,
        leader: &Leader,
        context: &NodeContext,
        index: JobIndex,
        forwarding: &Forwarding,
    ) -> ForwardView {
        let now = context.clock.now();
        let version = context.job(index).version;
        let observed =
            self.observations.entry(index).or_insert_with(|| ForwardObservation::new(version, now));
        observed.update(version, now);
        let has_begun = leader.jobs.get(&index).is_some_and(|job| !job.done.is_empty());
        let neighbor = self.neighbors.get(&forwarding.cell);
        let id = context.jobs.id(index);
        // A cell that is no longer in the settings counts as silent since the start of the term.
        let host_silent_ms =
            neighbor.map_or(now - leader.activated_at, |neighbor| neighbor.silent_ms(now));
        ForwardView {
            phase: forwarding.phase,
            in_phase_ms: now - observed.since,
            reported: neighbor.and_then(|neighbor| neighbor.phase_of(id, forwarding.epoch)),
            host_silent_ms,
            idle_ms: if has_begun { 0 } else { now - observed.idle_since },
        }
    }

    /// Counts the refusal of a job towards the backoff of the cell that refused it, at most once.
    /// A cell that can never run the job gets no backoff, because other jobs may be offered to it.
    fn count_refusal(&mut self, context: &NodeContext, index: JobIndex, cell: &str, retry_after_ms: Ms) {
        let Some(observed) = self.observations.get_mut(&index) else { return };
        let Some(neighbor) = self.neighbors.get_mut(cell) else { return };
        let is_counted = std::mem::replace(&mut observed.is_refusal_counted, true);
        if !is_counted && retry_after_ms != NEVER_RETRY {
            neighbor.record_refusal(context.clock.now(), retry_after_ms);
        }
    }
}
