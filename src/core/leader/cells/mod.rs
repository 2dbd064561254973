//! Cells that share load: the leader's side of `crates/cells`.
//!
//! The decisions are made there; here they meet the records, the scheduler and the other
//! cells. See docs/cells.md.
//!
//! - Jobs of this cell: [`offers`] picks jobs and the cells they go to, [`forward_writes`] puts
//!   that on record, [`forwarded_jobs`] follows them until they are done or back.
//! - Jobs of other cells: [`hosted_jobs`] follows what the others have forwarded to this one,
//!   [`acceptance`] takes jobs on or refuses them, [`lease_extension`] keeps the lease on record
//!   that they run under.
//! - Both: [`capacity`] counts what this cell has capacity for, [`messages`] exchanges states
//!   with the other cells, [`record_writes`] changes records, [`move_log`] logs the steps.

mod acceptance;
mod capacity;
mod forward_writes;
mod forwarded_jobs;
mod hosted_jobs;
mod lease_extension;
mod messages;
mod move_log;
mod offers;
mod record_writes;

pub(super) use record_writes::CellCall;

use super::Leader;
use super::live_jobs::LiveJob;
use super::timer::Timer;
use crate::core::StoreResponse;
use crate::core::common::context::NodeContext;
use crate::core::common::token_bucket::TokenBucket;
use crate::model::{JobIndex, Ms, Resources};
use forward_writes::PendingForward;
use forwarded_jobs::Observed;
use record_writes::WriteState;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, HashMap};
use woadlever_cells::message::{CellMessage, HostedJob};
use woadlever_cells::neighbor::Neighbor;
use woadlever_cells::routing::ClassCapacity;

/// Pause between two looks at what is to be done.
const STEP_GAP_MS: Ms = 250;
/// The same where load is not shared: jobs may be left that were forwarded before.
const IDLE_STEP_GAP_MS: Ms = 2_000;
/// Share of the writes to the key-value store that moving jobs between cells may take.
const WRITE_SHARE: f64 = 0.2;
/// Bytes by which the record of a job may grow while it moves: names of cells and numbers.
const RECORD_SLACK: usize = 256;

/// What the leader knows of other cells and of the jobs that move between them.
pub(super) struct Cells {
    neighbors: BTreeMap<String, Neighbor>,
    /// Rate limit for the first records of other cells' jobs and for forwardings.
    write_limit: TokenBucket,
    timers: CellTimers,
    /// Jobs whose forwarding is not settled; none of their tasks may be admitted.
    pending_forwards: FxHashMap<JobIndex, PendingForward>,
    /// Since when a forwarded job has been as it is.
    observed: FxHashMap<JobIndex, Observed>,
    /// Changes of the records of jobs that are not committed.
    record_changes: FxHashMap<JobIndex, WriteState>,
    /// First records of other cells' jobs that are not settled, by the job's id.
    creations: HashMap<String, WriteState>,
    /// Extensions of leases that are not committed, by the origin cell.
    lease_writes: HashMap<String, WriteState>,
    /// What each cell is told of its jobs.
    hosted: HashMap<String, Vec<HostedJob>>,
    /// What this cell has capacity for, as the others are told.
    capacity: Vec<ClassCapacity>,
    /// Use per team when the capacity was counted.
    team_use: Vec<Resources>,
}

/// Timers of the periodic work.
#[derive(Debug, Default)]
struct CellTimers {
    /// The next look at the jobs that move.
    step: Timer,
    /// The next message to the other cells.
    send: Timer,
    /// The next count of capacity, after which jobs are offered.
    capacity: Timer,
}

impl Cells {
    /// Nothing is known yet. If load is not shared there are no other cells.
    pub(super) fn new(context: &NodeContext) -> Cells {
        let now = context.clock.now();
        let settings = &context.operator.cells;
        let rate = context.platform.cluster.state.write_rps * WRITE_SHARE;
        let neighbors = settings.neighbors.iter().filter(|_| settings.enabled);
        Cells {
            neighbors: neighbors.map(|cell| (cell.name.clone(), Neighbor::new(now))).collect(),
            write_limit: TokenBucket::new(rate, rate.max(1.0), now),
            timers: CellTimers::default(),
            pending_forwards: FxHashMap::default(),
            observed: FxHashMap::default(),
            record_changes: FxHashMap::default(),
            creations: HashMap::new(),
            lease_writes: HashMap::new(),
            hosted: HashMap::new(),
            capacity: Vec::new(),
            team_use: Vec::new(),
        }
    }

    /// Takes the next steps with the jobs that move.
    fn step(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        let is_sharing = context.operator.cells.enabled;
        let gap = if is_sharing { STEP_GAP_MS } else { IDLE_STEP_GAP_MS };
        let gap = context.load_adjusted_gap(gap, leader.jobs.len());
        self.timers.step.set(context.clock.now() + gap);
        self.follow_pending_forwards(leader, context);
        self.follow_forwarded(leader, context);
        self.cancel_abandoned(leader, context);
        self.forget_ended(leader);
        if is_sharing {
            self.share_load(leader, context);
        }
    }

    /// What is done only while load is shared.
    fn share_load(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        if self.timers.capacity.is_due(context.clock.now()) {
            self.refresh_capacity(leader, context);
            self.offer_waiting_jobs(leader, context);
        }
        self.follow_hosted(leader, context);
        self.send_state(leader, context);
    }

    /// Forgets jobs that have ended or are back.
    fn forget_ended(&mut self, leader: &Leader) {
        let jobs = &leader.jobs;
        let is_live = |job: &JobIndex| jobs.contains_key(job);
        self.record_changes.retain(|job, state| *state == WriteState::InFlight || is_live(job));
        self.observed.retain(|job, _| jobs.get(job).is_some_and(LiveJob::is_away));
    }

    /// Takes in the result of a call to the key-value store.
    fn on_store_response(&mut self, context: &mut NodeContext, call: CellCall, result: &StoreResponse) {
        match call {
            CellCall::Forward { job } => self.on_forward_written(context, job, result),
            CellCall::ChangeRecord(change) => self.on_record_changed(context, *change, result),
            CellCall::CreateRecord { id, record } => self.on_created(context, id, *record, result),
            CellCall::ExtendLease { cell, lease } => self.on_lease_written(context, cell, lease, result),
        }
    }
}

// The cells are taken out of the leader for the time of a call, so that they can change both.
impl Leader {
    /// Takes the next steps with the jobs that move between cells, if they are due.
    pub(super) fn poll_cells(&mut self, context: &mut NodeContext) {
        let Some(mut cells) = self.cells.take() else { return };
        if cells.timers.step.is_due(context.clock.now()) {
            cells.step(self, context);
        }
        self.cells = Some(cells);
    }

    /// Takes in the message of another cell.
    pub(crate) fn on_cell_message(&mut self, context: &mut NodeContext, message: CellMessage) {
        // Its own jobs are not known yet; the next message comes soon.
        if !self.is_active {
            return;
        }
        let Some(mut cells) = self.cells.take() else { return };
        cells.receive(self, context, message);
        self.cells = Some(cells);
    }

    /// Takes in the result of a call to the key-value store.
    pub(super) fn on_cell_result(
        &mut self,
        context: &mut NodeContext,
        call: CellCall,
        result: StoreResponse,
    ) {
        let Some(mut cells) = self.cells.take() else { return };
        cells.on_store_response(context, call, &result);
        self.cells = Some(cells);
    }
}
