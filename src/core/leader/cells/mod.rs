//! Cells that share load: the leader's side of `crates/cells`.
//!
//! The decisions are made there; here they meet the records, the scheduler and the other
//! cells. [`origin`] forwards jobs of this cell and takes them back, [`host`] runs those of
//! other cells, [`capacity`] says what this cell has room for. See docs/cells.md.

mod capacity;
mod host;
mod origin;

use super::live_jobs::LiveJob;
use super::{Leader, LeaderCall};
use crate::core::common::context::NodeContext;
use crate::core::common::job_records::RecordSource;
use crate::core::common::token_bucket::TokenBucket;
use crate::core::common::watch_cache::job_key;
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{JobIndex, Ms, Resources};
use crate::wire::encoded::Encoded;
use crate::wire::store::{Compare, CompareAndSwap, JobRecord, Mutation};
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, HashMap};
use woadlever_cells::event::{LOG_FORMAT, LOG_TARGET, MoveEvent};
use woadlever_cells::message::{CellMessage, HostedJob, HostedState};
use woadlever_cells::neighbor::Neighbor;
use woadlever_cells::record::CellLease;
use woadlever_cells::routing::ClassCapacity;

/// Pause between two looks at what is to be done.
const STEP_GAP_MS: Ms = 250;
/// The same where load is not shared: jobs may be left that were forwarded before.
const IDLE_STEP_GAP_MS: Ms = 2_000;
/// Pause between two messages to the other cells.
const SEND_GAP_MS: Ms = 500;
/// Share of the state service's changes that moving jobs between cells may take.
const WRITE_SHARE: f64 = 0.2;
const RETRY_MS: Ms = 500;
/// Bytes by which the record of a job may grow while it moves: names of cells and numbers.
const RECORD_SLACK: usize = 256;

/// What a call to the state service was for.
#[derive(Debug)]
pub enum CellCall {
    /// A job begins to be forwarded.
    Forward { job: JobIndex },
    /// A change of a job's record after that; what it means.
    Mutation { job: JobIndex, record: Box<JobRecord>, event: MoveEvent },
    /// The first record of another cell's job: accepted, or a tombstone.
    Create { id: String, record: Box<JobRecord> },
    /// The lease of another cell.
    Lease { cell: String, lease: CellLease },
}

/// The first record of another cell's job, on its way.
#[derive(Debug, Default)]
struct Creation {
    in_flight: bool,
    retry_at: Ms,
}

/// What the leader knows of other cells and of the jobs that move between them.
pub struct Cells {
    neighbors: BTreeMap<String, Neighbor>,
    step_at: Ms,
    send_at: Ms,
    pace: TokenBucket,
    /// Jobs whose forwarding is not settled; none of their tasks may be granted.
    pending: FxHashMap<JobIndex, origin::PendingForward>,
    /// Since when a forwarded job has been as it is.
    observed: FxHashMap<JobIndex, origin::Observed>,
    /// When the record of a job may be changed again; at the end of time while a change
    /// is on its way.
    change_after: FxHashMap<JobIndex, Ms>,
    /// First records of other cells' jobs that are not settled.
    creations: HashMap<String, Creation>,
    /// When the lease of a cell may be written again.
    lease_after: HashMap<String, Ms>,
    /// What each cell is told of its jobs.
    hosted: HashMap<String, Vec<HostedJob>>,
    capacity: Vec<ClassCapacity>,
    /// Use per team when the room was counted.
    team_use: Vec<Resources>,
    capacity_at: Ms,
}

impl Cells {
    /// Nothing is known yet. If load is not shared there are no other cells.
    pub fn new(context: &NodeContext) -> Cells {
        let settings = &context.operator.cells;
        let rate = context.platform.cluster.state.write_rps * WRITE_SHARE;
        let neighbors = settings.neighbors.iter().filter(|_| settings.enabled);
        Cells {
            neighbors: neighbors.map(|n| (n.name.clone(), Neighbor::new(context.clock.now()))).collect(),
            step_at: 0,
            send_at: 0,
            pace: TokenBucket::new(rate, rate.max(1.0), context.clock.now()),
            pending: FxHashMap::default(),
            observed: FxHashMap::default(),
            change_after: FxHashMap::default(),
            creations: HashMap::new(),
            lease_after: HashMap::new(),
            hosted: HashMap::new(),
            capacity: Vec::new(),
            team_use: Vec::new(),
            capacity_at: 0,
        }
    }

    /// Whether a change may be written now; if so, it is counted.
    fn may_write(&mut self, context: &mut NodeContext) -> bool {
        let may = context.can_write(1) && self.pace.has(context.clock.now(), 1.0);
        if may {
            self.pace.take(context.clock.now(), 1.0);
        }
        may
    }

    /// Changes the record of a job, under its version and this leader's term.
    fn change_record(
        &mut self,
        leader: &Leader,
        context: &mut NodeContext,
        job: JobIndex,
        record: JobRecord,
        event: MoveEvent,
    ) {
        let due = self.change_after.get(&job).is_none_or(|at| context.clock.now() >= *at);
        if !due || !context.can_write(1) {
            return;
        }
        self.change_after.insert(job, Ms::MAX);
        let txn = record_change(leader, context, job, &record);
        let call = CellCall::Mutation { job, record: Box::new(record), event };
        context.send_store_request(
            StoreCallOwner::Leader(LeaderCall::Cells(call)),
            StoreRequest::CompareAndSwap(txn),
        );
    }

    fn on_changed(
        &mut self,
        context: &mut NodeContext,
        job: JobIndex,
        record: JobRecord,
        event: MoveEvent,
        result: StoreResponse,
    ) {
        if let StoreResponse::Committed { revision } = result {
            self.change_after.remove(&job);
            let id = context.jobs.id(job).to_string();
            log_record(&id, &record, event);
            context.apply_job_record(&id, record, revision, RecordSource::Single);
        } else {
            let pause = context.retry_ms(RETRY_MS);
            self.change_after.insert(job, context.clock.now() + pause);
        }
    }

    /// Lets go of jobs that are over.
    fn forget(&mut self, leader: &Leader) {
        let jobs = &leader.jobs;
        self.change_after.retain(|job, at| *at == Ms::MAX || jobs.contains_key(job));
        self.observed.retain(|job, _| jobs.get(job).is_some_and(LiveJob::is_away));
    }

    /// What is done only while load is shared.
    fn share_load(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        if context.clock.now() >= self.capacity_at {
            self.refresh_capacity(leader, context);
            self.spill(leader, context);
        }
        self.follow_hosted(leader, context);
        self.send(leader, context);
    }

    /// Sends the whole state to each other cell.
    fn send(&mut self, leader: &Leader, context: &mut NodeContext) {
        let Some(revision) = context.jobs.watched_revision() else { return };
        if context.clock.now() < self.send_at {
            return;
        }
        self.send_at = context.clock.now() + SEND_GAP_MS;
        for cell in self.neighbors.keys().cloned().collect::<Vec<_>>() {
            let jobs = self.hosted.get(&cell).cloned().unwrap_or_default();
            let stop_within_ms = context.cell_leases.timing().stop_within_ms();
            let capacity = self.capacity.clone();
            let message = CellMessage {
                cell: context.operator.cells.name.clone(),
                term: leader.term,
                revision,
                forwarded: self.forwarded_state(leader, context, &cell),
                hosted: HostedState { stop_within_ms, capacity, jobs },
            };
            context.send_cell(&cell, message);
        }
    }
}

/// Logs a step of a move (crates/recovery-report reads it).
fn log_move(job: &str, cell: &str, epoch: u64, event: MoveEvent) {
    tracing::info!(target: LOG_TARGET, format = LOG_FORMAT, job, cell, epoch, event = event.name(), "move");
}

/// The same for a record that has just been written.
fn log_record(job: &str, record: &JobRecord, event: MoveEvent) {
    if let Some(forwarding) = &record.forwarding {
        log_move(job, &forwarding.cell, forwarding.epoch, event);
    } else if let Some(origin) = &record.origin {
        log_move(job, &origin.cell, origin.epoch, event);
    }
}

/// A change of a job's record that holds only for the version that is known here.
fn record_change(
    leader: &Leader,
    context: &NodeContext,
    job: JobIndex,
    record: &JobRecord,
) -> CompareAndSwap {
    let key = job_key(context.jobs.id(job));
    let version = context.job(job).version;
    CompareAndSwap {
        compares: vec![leader.compare_term(), Compare { key: key.clone(), version }],
        mutations: vec![Mutation::Put { key, value: Encoded::new(record), lease: None }],
    }
}

impl Leader {
    pub(super) fn cells_poll(&mut self, context: &mut NodeContext) {
        let Some(mut cells) = self.cells.take() else { return };
        if context.clock.now() >= cells.step_at {
            let is_shared = context.operator.cells.enabled;
            let gap = if is_shared { STEP_GAP_MS } else { IDLE_STEP_GAP_MS };
            cells.step_at = context.clock.now() + context.load_adjusted_gap(gap, self.jobs.len());
            cells.follow_pending(self, context);
            cells.follow_forwarded(self, context);
            cells.abandon(self, context);
            cells.forget(self);
            if is_shared {
                cells.share_load(self, context);
            }
        }
        self.cells = Some(cells);
    }

    /// Takes in the message of another cell.
    pub fn on_cell_message(&mut self, context: &mut NodeContext, message: CellMessage) {
        // Its own jobs are not known yet; the next message comes soon.
        if !self.is_active {
            return;
        }
        let Some(mut cells) = self.cells.take() else { return };
        cells.receive(self, context, message);
        self.cells = Some(cells);
    }

    pub(super) fn on_cell_result(
        &mut self,
        context: &mut NodeContext,
        call: CellCall,
        result: StoreResponse,
    ) {
        let Some(mut cells) = self.cells.take() else { return };
        match call {
            CellCall::Forward { job } => cells.on_forwarded(context, job, result),
            CellCall::Mutation { job, record, event } => {
                cells.on_changed(context, job, *record, event, result);
            }
            CellCall::Create { id, record } => cells.on_created(context, id, *record, result),
            CellCall::Lease { cell, lease } => cells.on_lease_written(context, cell, lease, result),
        }
        self.cells = Some(cells);
    }
}
