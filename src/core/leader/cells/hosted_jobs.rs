//! Manages the jobs of other cells that this one hosts. A job runs while the newest message of its
//! origin cell lists it as active, and is cancelled here otherwise.

use super::Cells;
use super::record_writes::{RecordChange, WriteState};
use crate::core::common::context::NodeContext;
use crate::core::leader::Leader;
use crate::core::leader::live_jobs::JobLocation;
use crate::model::{JobIndex, Ms};
use crate::wire::encoded::Encoded;
use crate::wire::peer::{MAX_FRAME_BYTES, ReportedPhase};
use crate::wire::store::JobRecord;
use rustc_hash::FxHashMap;
use std::collections::{HashMap, HashSet};
use woadlever_cells::event::MoveEvent;
use woadlever_cells::host::Listing;
use woadlever_cells::message::{ForwardedJob, ForwardedState, HostedJob};
use woadlever_cells::neighbor::Neighbor;
use woadlever_cells::record::Origin;

/// Maximum total size of the bit sets of completed tasks in one message: a quarter of a frame.
/// Jobs whose bit set exceeds what is left are reported without it until they are done.
const MAX_DONE_BYTES: usize = MAX_FRAME_BYTES / 4;
/// Time after the end of the origin cell's lease at which a hosted job is cancelled here. Its
/// tasks have been stopped long before.
const ABANDONED_AFTER_MS: Ms = 600_000;

/// Content of the newest message of an origin cell.
#[derive(Debug)]
pub(super) struct OriginState {
    /// Name of the origin cell.
    pub(super) cell: String,
    /// Jobs that it has forwarded to this cell, with the lease for them.
    pub(super) forwarded: ForwardedState,
    /// Revision of its key-value store that the message is based on.
    pub(super) revision: u64,
}

/// A live job that this cell hosts, and its status in the newest message of its origin cell.
#[derive(Debug, Clone, Copy)]
pub(super) struct HostedEntry {
    /// The job.
    pub(super) job: JobIndex,
    /// Its status in the message.
    pub(super) listing: Listing,
}

/// Number of tasks that run in this cell, by job.
pub(super) type RunningTasks = FxHashMap<JobIndex, u32>;

impl Cells {
    /// Reconciles the jobs here with what each other cell has forwarded to this one.
    pub(super) fn reconcile_hosted_jobs(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        let running = count_running(leader);
        self.forget_creations();
        for cell in self.neighbors.keys().cloned().collect::<Vec<_>>() {
            let Some(origin) = self.origin_state(context, &cell) else { continue };
            let hosted = list_hosted(leader, context, &origin);
            for entry in &hosted {
                self.reconcile_live_job(leader, context, *entry);
            }
            let mut statuses = Vec::new();
            let mut bytes_left = MAX_DONE_BYTES;
            for job in &origin.forwarded.jobs {
                let status = self.reconcile_listed_job(leader, context, &origin, job, &running);
                statuses.extend(status.map(|status| limit_done(status, &mut bytes_left)));
            }
            self.hosted.insert(cell, statuses);
            self.extend_lease(leader, context, &origin, &hosted);
        }
    }

    /// Returns the content of the newest message of a cell. Returns `None` before the first
    /// message, or if the message is older than the one that the recorded lease is based on.
    fn origin_state(&self, context: &NodeContext, cell: &str) -> Option<OriginState> {
        let forwarded = self.neighbors[cell].forwarded()?;
        let lease = context.cell_leases.get(cell).lease;
        let is_current = forwarded.revision >= lease.revision;
        is_current.then(|| OriginState {
            cell: cell.to_string(),
            forwarded: forwarded.state.clone(),
            revision: forwarded.revision,
        })
    }

    /// Forgets first records whose write is not in flight and whose jobs no cell lists any more.
    fn forget_creations(&mut self) {
        let neighbors = self.neighbors.values().filter_map(Neighbor::forwarded);
        let listed: HashSet<&str> =
            neighbors.flat_map(|forwarded| &forwarded.state.jobs).map(|job| job.id.as_str()).collect();
        self.creations
            .retain(|id, state| *state == WriteState::InFlight || listed.contains(id.as_str()));
    }

    /// Cancels hosted jobs whose origin cell's lease ended long ago, because the cell is silent or
    /// no longer in the settings.
    pub(super) fn cancel_abandoned(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        let hosted = leader.jobs.iter().filter(|(_, job)| job.is_hosted()).map(|(index, _)| *index);
        let abandoned: Vec<JobIndex> = hosted.filter(|job| is_abandoned(context, *job)).collect();
        for job in abandoned {
            self.reconcile_live_job(leader, context, HostedEntry { job, listing: Listing::Absent });
        }
    }

    /// Reconciles a hosted job whose record is live: lets its tasks be admitted while it is listed
    /// as active, and cancels it here otherwise.
    fn reconcile_live_job(
        &mut self,
        leader: &mut Leader,
        context: &mut NodeContext,
        entry: HostedEntry,
    ) {
        let is_listed = entry.listing == Listing::Active;
        let Some(job) = leader.jobs.get_mut(&entry.job) else { return };
        let location = JobLocation::Hosted { is_listed };
        if job.location != location {
            job.location = location;
            leader.cycle_due = true;
        }
        if is_listed {
            return;
        }
        let done = job.done.to_hex(0, usize::MAX);
        let tasks = job.spec.tasks;
        let Some(origin) = context.job(entry.job).origin().cloned() else { return };
        let mut record = JobRecord::tombstone(tasks, Origin { done, ..origin.clone() });
        if Encoded::new(&record).len() > context.platform.cluster.state.value_bytes() {
            // Without the completed tasks, the origin cell runs some tasks again.
            record = JobRecord::tombstone(tasks, origin);
        }
        let change = RecordChange { job: entry.job, record, event: MoveEvent::Tombstoned };
        self.change_record(leader, context, change);
    }
}

/// Whether the lease of a hosted job's origin cell ended so long ago that the job is abandoned.
fn is_abandoned(context: &NodeContext, index: JobIndex) -> bool {
    let job = context.job(index);
    let Some(origin) = job.origin() else { return false };
    let lease = context.cell_leases.get(&origin.cell).lease;
    let is_lease_long_over = lease.until_ms + ABANDONED_AFTER_MS < context.clock.wall();
    // A job that was accepted recently may have no lease yet.
    is_lease_long_over && job.state_since + ABANDONED_AFTER_MS < context.clock.now()
}

/// Removes the completed tasks from a job's status if they would make the message too long.
fn limit_done(status: HostedJob, bytes_left: &mut usize) -> HostedJob {
    match bytes_left.checked_sub(status.done.len()) {
        Some(left) => {
            *bytes_left = left;
            status
        }
        None => HostedJob { done: String::new(), ..status },
    }
}

fn count_running(leader: &Leader) -> RunningTasks {
    let mut running = RunningTasks::default();
    for attempt in leader.attempts.values().filter(|a| a.phase == ReportedPhase::Running) {
        *running.entry(attempt.job).or_default() += 1;
    }
    running
}

/// Returns the live jobs that this cell hosts for another, with their status in its message.
fn list_hosted(leader: &Leader, context: &NodeContext, origin_state: &OriginState) -> Vec<HostedEntry> {
    let forwarded = origin_state.forwarded.jobs.iter();
    let listed: HashMap<&str, &ForwardedJob> = forwarded.map(|job| (job.id.as_str(), job)).collect();
    let mut hosted = Vec::new();
    for (index, _) in leader.jobs.iter().filter(|(_, job)| job.is_hosted()) {
        let origin = context.job(*index).origin();
        let Some(origin) = origin.filter(|origin| origin.cell == origin_state.cell) else { continue };
        let forwarded = listed.get(context.jobs.id(*index)).filter(|job| job.epoch == origin.epoch);
        let listing = match forwarded {
            Some(job) if job.is_recalled => Listing::Recalled,
            Some(_) => Listing::Active,
            // The message may be older than the forwarding, so the next message decides.
            None if origin.epoch >= origin_state.revision => continue,
            None => Listing::Absent,
        };
        hosted.push(HostedEntry { job: *index, listing });
    }
    hosted
}
