//! Jobs of other cells that this one hosts: accepted, run under a lease, given back.

use super::capacity::shape_of;
use super::{CellCall, Cells, Creation, RECORD_SLACK, RETRY_MS, log_record};
use crate::core::common::cell_leases::cell_lease_key;
use crate::core::common::feasibility::can_run;
use crate::core::common::watch_cache::job_key;
use crate::core::common::{context::NodeContext, job_records::RecordSource};
use crate::core::leader::live_jobs::JobLocation;
use crate::core::leader::{Leader, LeaderCall};
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{JobIndex, JobSpec, Ms};
use crate::wire::encoded::Encoded;
use crate::wire::peer::{MAX_FRAME, ReportedPhase};
use crate::wire::store::{Compare, CompareAndSwap, JobRecord, JobState, Mutation};
use crate::wire::users::{MAX_TASKS, valid_id};
use rustc_hash::FxHashMap;
use std::collections::{HashMap, HashSet};
use woadlever_cells::event::MoveEvent;
use woadlever_cells::host::{Admission, HostRecord, HostStep, Listing, decide, may_extend_lease};
use woadlever_cells::message::{FOR_GOOD, ForwardedJob, ForwardedState, HostedJob};
use woadlever_cells::neighbor::Neighbor;
use woadlever_cells::record::{CellLease, Origin};

/// A lease is written anew when the origin has extended it by this much, so that it costs
/// one change in some seconds whatever the number of jobs.
const LEASE_STEP_MS: Ms = 4_000;
/// Time after which an origin should offer a job again.
const REFUSED_MS: Ms = 5_000;

/// Bits of tasks that are done, in one message: a quarter of what a frame takes. Jobs for
/// which none are left are told of without them, until they are done.
const MAX_DONE_BYTES: usize = MAX_FRAME / 4;
/// A hosted job whose cell's lease has ended so long ago is withdrawn. Its tasks have long
/// been stopped.
const ABANDON_MS: u64 = 600_000;

/// The hosted live jobs of one cell, with what its newest message says of them.
type HostedJobs = Vec<(JobIndex, Listing)>;

impl Cells {
    /// Follows what each other cell has forwarded to this one.
    pub(super) fn follow_hosted(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        let running = running_by_job(leader);
        self.forget_creations();
        for cell in self.neighbors.keys().cloned().collect::<Vec<_>>() {
            let Some((forwarded, revision)) = self.neighbors[&cell].forwarded() else { continue };
            // Composed before the one that the lease on record rests on.
            if revision < context.cell_leases.get(&cell).0.revision {
                continue;
            }
            let forwarded = forwarded.clone();
            let hosted = list_hosted(leader, context, &cell, &forwarded, revision);
            for (index, listing) in &hosted {
                self.follow_live(leader, context, *index, *listing);
            }
            let mut heartbeats = Vec::new();
            let mut bytes_left = MAX_DONE_BYTES;
            for job in &forwarded.jobs {
                let heartbeat = self.follow_listed(leader, context, &cell, &forwarded, job, &running);
                heartbeats.extend(heartbeat.map(|heartbeat| limit_done(heartbeat, &mut bytes_left)));
            }
            self.hosted.insert(cell.clone(), heartbeats);
            self.extend_lease(leader, context, &cell, &forwarded, revision, &hosted);
        }
    }

    /// Lets go of records that were not written in time and that nobody lists any more.
    fn forget_creations(&mut self) {
        let neighbors = self.neighbors.values().filter_map(Neighbor::forwarded);
        let listed: HashSet<&str> =
            neighbors.flat_map(|(state, _)| &state.jobs).map(|job| job.id.as_str()).collect();
        self.creations.retain(|id, creation| creation.in_flight || listed.contains(id.as_str()));
    }

    /// Withdraws hosted jobs whose cell has not been heard for very long, or is no longer
    /// named in the settings.
    pub(super) fn abandon(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        let is_abandoned = |index: &JobIndex| {
            let origin = context.job(*index).origin();
            let lease = origin.map(|origin| context.cell_leases.get(&origin.cell).0);
            lease.is_some_and(|lease| lease.until_ms + ABANDON_MS < context.clock.wall())
        };
        // One accepted a moment ago may have no lease yet.
        let is_old =
            |index: &JobIndex| context.job(*index).state_since + ABANDON_MS < context.clock.now();
        let hosted = leader.jobs.iter().filter(|(_, job)| job.is_hosted()).map(|(index, _)| *index);
        let abandoned: Vec<JobIndex> = hosted.filter(is_abandoned).filter(is_old).collect();
        for index in abandoned {
            self.follow_live(leader, context, index, Listing::Absent);
        }
    }

    /// A hosted job that is live on record: it may be granted while it is listed, and is
    /// withdrawn when it is not.
    fn follow_live(
        &mut self,
        leader: &mut Leader,
        context: &mut NodeContext,
        index: JobIndex,
        listing: Listing,
    ) {
        let is_listed = listing == Listing::Active;
        let Some(job) = leader.jobs.get_mut(&index) else { return };
        if (job.location != JobLocation::Hosted { is_listed }) {
            job.location = JobLocation::Hosted { is_listed };
            leader.cycle_due = true;
        }
        if is_listed {
            return;
        }
        let done = job.done.to_hex(0, usize::MAX);
        let tasks = job.spec.tasks;
        let Some(origin) = context.job(index).origin().cloned() else { return };
        let most = context.platform.cluster.state.value_bytes();
        let mut record = JobRecord::tombstone(tasks, Origin { done, ..origin.clone() });
        if Encoded::new(&record).len() > most {
            // Some tasks are then run again by the origin.
            record = JobRecord::tombstone(tasks, origin);
        }
        self.change_record(leader, context, index, record, MoveEvent::Withdrawn);
    }

    /// A job that the newest message lists: what is written, and what the origin is told.
    fn follow_listed(
        &mut self,
        leader: &mut Leader,
        context: &mut NodeContext,
        cell: &str,
        forwarded: &ForwardedState,
        job: &ForwardedJob,
        running: &FxHashMap<JobIndex, u32>,
    ) -> Option<HostedJob> {
        let listing = if job.is_recalled { Listing::Recalled } else { Listing::Active };
        let record = host_record(leader, context, cell, job, running);
        let spec = job.spec.as_deref().map(serde_json::from_slice::<JobSpec>);
        let is_unreadable = matches!(spec, Some(Err(_)));
        let spec = spec.and_then(Result::ok);
        if record == HostRecord::Unknown && listing == Listing::Active {
            // Its description comes with a later message.
            if spec.is_none() && !is_unreadable {
                return None;
            }
            // Accepted already, as far as this leader is concerned.
            if self.creations.contains_key(&job.id) {
                self.create(leader, context, cell, job, spec);
                return None;
            }
        }
        let admission = self.admission(context, forwarded, job, spec.as_ref());
        let (step, phase) = decide(listing, record, admission);
        match step {
            HostStep::Accept => {
                if let Some(spec) = &spec {
                    shape_of(spec).reserve(&mut self.capacity);
                }
                self.create(leader, context, cell, job, spec);
            }
            HostStep::Tombstone => self.create(leader, context, cell, job, None),
            // A live job that is recalled is withdrawn with the others of its cell.
            HostStep::None | HostStep::Withdraw => {}
        }
        let done = done_bits(leader, context, &job.id, record);
        phase.map(|phase| HostedJob { id: job.id.clone(), epoch: job.epoch, phase, done })
    }

    /// Whether a job of another cell is taken on now.
    fn admission(
        &self,
        context: &NodeContext,
        forwarded: &ForwardedState,
        job: &ForwardedJob,
        spec: Option<&JobSpec>,
    ) -> Admission {
        let timing = context.cell_leases.timing();
        let has_ended = timing.has_ended(forwarded.lease_until_ms, context.clock.wall());
        if has_ended || context.machine_types.is_empty() {
            return Admission::Undecided;
        }
        let Some(spec) = spec.filter(|spec| is_sound(context, &job.id, spec)) else {
            return Admission::Refuse { retry_after_ms: FOR_GOOD };
        };
        match self.has_room_for(context, spec) {
            true => Admission::Accept,
            false => Admission::Refuse { retry_after_ms: REFUSED_MS },
        }
    }

    /// Writes the first record of a job: accepted, or else a tombstone.
    fn create(
        &mut self,
        leader: &Leader,
        context: &mut NodeContext,
        cell: &str,
        job: &ForwardedJob,
        accepted: Option<JobSpec>,
    ) {
        let is_due =
            |creation: &Creation| !creation.in_flight && context.clock.now() >= creation.retry_at;
        if !self.creations.get(&job.id).is_none_or(is_due) || !self.may_write(context) {
            return;
        }
        let origin = Origin { cell: cell.to_string(), epoch: job.epoch, done: String::new() };
        let record = match accepted {
            Some(spec) => JobRecord::hosted(spec, origin),
            // Tasks of a tombstone are never counted.
            None => JobRecord::tombstone(0, origin),
        };
        let key = job_key(&job.id);
        let value = Encoded::new(&record);
        // The tombstone of an earlier epoch is replaced.
        let version = context.job_index(&job.id).map_or(0, |index| context.job(index).version);
        let txn = CompareAndSwap {
            compares: vec![leader.compare_term(), Compare { key: key.clone(), version }],
            mutations: vec![Mutation::Put { key, value, lease: None }],
        };
        self.creations.insert(job.id.clone(), Creation { in_flight: true, retry_at: 0 });
        let call = CellCall::Create { id: job.id.clone(), record: Box::new(record) };
        context.send_store_request(
            StoreCallOwner::Leader(LeaderCall::Cells(call)),
            StoreRequest::CompareAndSwap(txn),
        );
    }

    pub(super) fn on_created(
        &mut self,
        context: &mut NodeContext,
        id: String,
        record: JobRecord,
        result: StoreResponse,
    ) {
        match result {
            StoreResponse::Committed { revision } => {
                self.creations.remove(&id);
                let is_live = record.state == JobState::Live;
                let event = if is_live { MoveEvent::Accepted } else { MoveEvent::Withdrawn };
                log_record(&id, &record, event);
                context.apply_job_record(&id, record, revision, RecordSource::Single);
            }
            StoreResponse::Conflict(_) => {
                self.creations.remove(&id);
                // There is one already: it is read if it is not in memory.
                context.job_index_or_lookup(&id);
            }
            _ => {
                let retry_at = context.clock.now() + context.retry_ms(RETRY_MS);
                self.creations.insert(id, Creation { in_flight: false, retry_at });
            }
        }
    }

    /// Puts a later end of the lease on record, once nothing runs any more that the
    /// message does not list.
    fn extend_lease(
        &mut self,
        leader: &Leader,
        context: &mut NodeContext,
        cell: &str,
        forwarded: &ForwardedState,
        revision: u64,
        hosted: &HostedJobs,
    ) {
        let (known, version) = context.cell_leases.get(cell);
        let is_needed = hosted.iter().any(|(_, listing)| *listing == Listing::Active);
        let live = HostRecord::Live { done: 0, running: 0 };
        let may_extend = may_extend_lease(hosted.iter().map(|(_, listing)| (*listing, live)));
        let is_step = forwarded.lease_until_ms >= known.until_ms + LEASE_STEP_MS;
        let is_due = self.lease_after.get(cell).is_none_or(|at| context.clock.now() >= *at);
        if !(is_needed && may_extend && is_step && is_due && context.can_write(1)) {
            return;
        }
        self.lease_after.insert(cell.to_string(), Ms::MAX);
        let lease = CellLease { until_ms: forwarded.lease_until_ms, revision };
        let key = cell_lease_key(cell);
        let txn = CompareAndSwap {
            compares: vec![leader.compare_term(), Compare { key: key.clone(), version }],
            mutations: vec![Mutation::Put { key, value: Encoded::new(&lease), lease: None }],
        };
        let call = CellCall::Lease { cell: cell.to_string(), lease };
        context.send_store_request(
            StoreCallOwner::Leader(LeaderCall::Cells(call)),
            StoreRequest::CompareAndSwap(txn),
        );
    }

    pub(super) fn on_lease_written(
        &mut self,
        context: &mut NodeContext,
        cell: String,
        lease: CellLease,
        result: StoreResponse,
    ) {
        if let StoreResponse::Committed { revision } = result {
            context.cell_leases.put(&cell, lease, revision);
            self.lease_after.remove(&cell);
        } else {
            let pause = context.retry_ms(RETRY_MS);
            self.lease_after.insert(cell, context.clock.now() + pause);
        }
    }
}

/// Whether a job of another cell could run here and be kept on record.
fn is_sound(context: &NodeContext, id: &str, spec: &JobSpec) -> bool {
    // The record's origin comes on top of the job itself.
    let bytes = Encoded::new(&JobRecord::live(spec.clone(), &[])).len() + RECORD_SLACK;
    valid_id(id)
        && (1..=MAX_TASKS).contains(&u64::from(spec.tasks))
        && bytes <= context.platform.cluster.state.value_bytes()
        && can_run(context, spec).is_ok()
}

/// Leaves out what would make a message too long.
fn limit_done(heartbeat: HostedJob, bytes_left: &mut usize) -> HostedJob {
    match bytes_left.checked_sub(heartbeat.done.len()) {
        Some(left) => {
            *bytes_left = left;
            heartbeat
        }
        None => HostedJob { done: String::new(), ..heartbeat },
    }
}

/// Tasks that run here, by job.
fn running_by_job(leader: &Leader) -> FxHashMap<JobIndex, u32> {
    let mut running: FxHashMap<JobIndex, u32> = FxHashMap::default();
    for attempt in leader.attempts.values().filter(|a| a.state == ReportedPhase::Running) {
        *running.entry(attempt.job).or_default() += 1;
    }
    running
}

/// The live jobs that this cell hosts for another, and how its newest message lists them.
fn list_hosted(
    leader: &Leader,
    context: &NodeContext,
    cell: &str,
    forwarded: &ForwardedState,
    revision: u64,
) -> HostedJobs {
    let listed: HashMap<&str, &ForwardedJob> =
        forwarded.jobs.iter().map(|job| (job.id.as_str(), job)).collect();
    let mut hosted = Vec::new();
    for (index, job) in &leader.jobs {
        if !matches!(job.location, JobLocation::Hosted { .. }) {
            continue;
        }
        let Some(origin) = context.job(*index).origin().filter(|o| o.cell == cell) else {
            continue;
        };
        let entry = listed.get(context.jobs.id(*index)).filter(|entry| entry.epoch == origin.epoch);
        let listing = match entry {
            Some(entry) if entry.is_recalled => Listing::Recalled,
            Some(_) => Listing::Active,
            // The message may be older than the forwarding: the next one will tell.
            None if origin.epoch >= revision => continue,
            None => Listing::Absent,
        };
        hosted.push((*index, listing));
    }
    hosted
}

/// What the record here says of a job that another cell lists.
fn host_record(
    leader: &Leader,
    context: &NodeContext,
    cell: &str,
    job: &ForwardedJob,
    running: &FxHashMap<JobIndex, u32>,
) -> HostRecord {
    let Some(index) = context.job_index(&job.id) else { return HostRecord::Unknown };
    let known = context.job(index);
    let Some(origin) = known.origin().filter(|origin| origin.cell == cell) else {
        return HostRecord::Foreign;
    };
    let is_over = known.state == JobState::Cancelled && !leader.attempts.has_job(index);
    if origin.epoch < job.epoch && is_over {
        return HostRecord::Unknown;
    }
    if origin.epoch != job.epoch {
        return HostRecord::Foreign;
    }
    match known.state {
        JobState::Live => HostRecord::Live {
            done: leader.jobs.get(&index).map_or(0, |live| live.done.len()),
            running: running.get(&index).copied().unwrap_or(0),
        },
        JobState::Done => HostRecord::Done,
        JobState::Cancelled => HostRecord::Withdrawn { has_attempts: leader.attempts.has_job(index) },
    }
}

/// The tasks of a hosted job that are done, as hexadecimal bits.
fn done_bits(leader: &Leader, context: &NodeContext, id: &str, record: HostRecord) -> String {
    let Some(index) = context.job_index(id) else { return String::new() };
    match record {
        HostRecord::Live { .. } => {
            leader.jobs.get(&index).map(|job| job.done.to_hex(0, usize::MAX)).unwrap_or_default()
        }
        HostRecord::Withdrawn { .. } => {
            context.job(index).origin().map(|origin| origin.done.clone()).unwrap_or_default()
        }
        _ => String::new(),
    }
}
