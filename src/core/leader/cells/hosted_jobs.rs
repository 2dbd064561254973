//! Jobs of other cells that this one hosts: run while the newest message of their cell lists
//! them, and cancelled here when it does not.

use super::Cells;
use super::record_writes::{RecordChange, WriteState};
use crate::core::common::context::NodeContext;
use crate::core::leader::Leader;
use crate::core::leader::live_jobs::JobLocation;
use crate::model::{JobIndex, Ms};
use crate::wire::encoded::Encoded;
use crate::wire::peer::{MAX_FRAME, ReportedPhase};
use crate::wire::store::JobRecord;
use rustc_hash::FxHashMap;
use std::collections::{HashMap, HashSet};
use woadlever_cells::event::MoveEvent;
use woadlever_cells::host::Listing;
use woadlever_cells::message::{ForwardedJob, ForwardedState, HostedJob};
use woadlever_cells::neighbor::Neighbor;
use woadlever_cells::record::Origin;

/// Bits of tasks that are done, in one message: a quarter of what a frame takes. Jobs for
/// which none are left are told of without them, until they are done.
const MAX_DONE_BYTES: usize = MAX_FRAME / 4;
/// A hosted job whose cell's lease ended this long ago is cancelled here. Its tasks have long
/// been stopped.
const ABANDONED_AFTER_MS: Ms = 600_000;

/// What the newest message of an origin cell says.
#[derive(Debug)]
pub(super) struct OriginState {
    /// The origin cell.
    pub(super) cell: String,
    /// What it has forwarded to this cell.
    pub(super) forwarded: ForwardedState,
    /// Revision of its records that this rests on.
    pub(super) revision: u64,
}

/// A live job that this cell hosts, and how the newest message of its cell lists it.
#[derive(Debug, Clone, Copy)]
pub(super) struct HostedEntry {
    /// The job.
    pub(super) job: JobIndex,
    /// What the message says of it.
    pub(super) listing: Listing,
}

/// Numbers of tasks that run here, by job.
pub(super) type RunningTasks = FxHashMap<JobIndex, u32>;

impl Cells {
    /// Follows what each other cell has forwarded to this one.
    pub(super) fn follow_hosted(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        let running = count_running(leader);
        self.forget_creations();
        for cell in self.neighbors.keys().cloned().collect::<Vec<_>>() {
            let Some(origin) = self.origin_state(context, &cell) else { continue };
            let hosted = list_hosted(leader, context, &origin);
            for entry in &hosted {
                self.follow_live(leader, context, *entry);
            }
            let mut statuses = Vec::new();
            let mut bytes_left = MAX_DONE_BYTES;
            for job in &origin.forwarded.jobs {
                let status = self.follow_listed(leader, context, &origin, job, &running);
                statuses.extend(status.map(|status| limit_done(status, &mut bytes_left)));
            }
            self.hosted.insert(cell, statuses);
            self.extend_lease(leader, context, &origin, &hosted);
        }
    }

    /// What the newest message of a cell says; none before the first, or if it is older than
    /// the one that the lease on record rests on.
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

    /// Forgets first records that were not written in time and that nobody lists any more.
    fn forget_creations(&mut self) {
        let neighbors = self.neighbors.values().filter_map(Neighbor::forwarded);
        let listed: HashSet<&str> =
            neighbors.flat_map(|forwarded| &forwarded.state.jobs).map(|job| job.id.as_str()).collect();
        self.creations
            .retain(|id, state| *state == WriteState::InFlight || listed.contains(id.as_str()));
    }

    /// Cancels hosted jobs whose cell has not been heard for very long, or is no longer named
    /// in the settings.
    pub(super) fn cancel_abandoned(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        let hosted = leader.jobs.iter().filter(|(_, job)| job.is_hosted()).map(|(index, _)| *index);
        let abandoned: Vec<JobIndex> = hosted.filter(|job| is_abandoned(context, *job)).collect();
        for job in abandoned {
            self.follow_live(leader, context, HostedEntry { job, listing: Listing::Absent });
        }
    }

    /// A hosted job that is live on record: its tasks may be admitted while it is listed as
    /// active, and it is cancelled here when it is not.
    fn follow_live(&mut self, leader: &mut Leader, context: &mut NodeContext, entry: HostedEntry) {
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
            // Some tasks are then run again by the origin.
            record = JobRecord::tombstone(tasks, origin);
        }
        let change = RecordChange { job: entry.job, record, event: MoveEvent::Tombstoned };
        self.change_record(leader, context, change);
    }
}

/// Whether the cell of a hosted job has been silent for very long.
fn is_abandoned(context: &NodeContext, index: JobIndex) -> bool {
    let job = context.job(index);
    let Some(origin) = job.origin() else { return false };
    let lease = context.cell_leases.get(&origin.cell).lease;
    let is_lease_long_over = lease.until_ms + ABANDONED_AFTER_MS < context.clock.wall();
    // One accepted a moment ago may have no lease yet.
    is_lease_long_over && job.state_since + ABANDONED_AFTER_MS < context.clock.now()
}

/// Leaves out what would make a message too long.
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
    for attempt in leader.attempts.values().filter(|a| a.state == ReportedPhase::Running) {
        *running.entry(attempt.job).or_default() += 1;
    }
    running
}

/// The live jobs that this cell hosts for another.
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
            // The message may be older than the forwarding: the next one will tell.
            None if origin.epoch >= origin_state.revision => continue,
            None => Listing::Absent,
        };
        hosted.push(HostedEntry { job: *index, listing });
    }
    hosted
}
