//! Load sharing between cells: the leader's side of `crates/cells`.
//!
//! `crates/cells` makes the decisions. This module supplies their inputs from the records, the
//! scheduler and the other cells, and carries them out. See docs/cells.md.
//!
//! - Jobs of this cell: [`offers`] selects the jobs to forward and their host cells,
//!   [`forward_writes`] records the forwarding, [`forwarded_jobs`] tracks the jobs until they are
//!   done or returned.
//! - Jobs of other cells: [`hosted_jobs`] reconciles the jobs forwarded to this cell,
//!   [`acceptance`] accepts or refuses them, [`lease_extension`] records the extensions of the
//!   lease that they run under.
//! - Both: [`capacity`] counts the capacity of this cell, [`messages`] exchanges states with the
//!   other cells, [`record_writes`] changes records, [`move_log`] logs the steps.

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
use forwarded_jobs::ForwardObservation;
use record_writes::WriteState;
use rustc_hash::FxHashMap;
use std::collections::{BTreeMap, HashMap};
use woadlever_cells::message::{CellMessage, HostedJob};
use woadlever_cells::neighbor::Neighbor;
use woadlever_cells::routing::ClassCapacity;

/// Interval between two polls of the jobs that move between cells.
const POLL_INTERVAL_MS: Ms = 250;
/// Interval between two polls while load sharing is disabled. Jobs that were forwarded before may
/// remain.
const IDLE_POLL_INTERVAL_MS: Ms = 2_000;
/// Share of the key-value store's write rate limit that moving jobs between cells may use.
const WRITE_SHARE: f64 = 0.2;
/// Upper bound on the growth of a job's record while the job moves, due to cell names and numbers.
const RECORD_SLACK_BYTES: usize = 256;

/// The leader's state on other cells and on the jobs that move between cells.
pub(super) struct Cells {
    neighbors: BTreeMap<String, Neighbor>,
    /// Rate limit of the writes that forward jobs or create records of other cells' jobs.
    write_limit: TokenBucket,
    timers: CellTimers,
    /// Unsettled writes that forward jobs. No task of these jobs may be admitted.
    pending_forwards: FxHashMap<JobIndex, PendingForward>,
    /// How long each forwarded job has been in its present state.
    observations: FxHashMap<JobIndex, ForwardObservation>,
    /// Uncommitted changes of job records.
    record_changes: FxHashMap<JobIndex, WriteState>,
    /// Uncommitted first records of other cells' jobs, by the job's id.
    creations: HashMap<String, WriteState>,
    /// Uncommitted extensions of leases, by origin cell.
    lease_writes: HashMap<String, WriteState>,
    /// Status of the hosted jobs in the next message to each origin cell.
    hosted: HashMap<String, Vec<HostedJob>>,
    /// Capacity by class that this cell reports to the others.
    capacity: Vec<ClassCapacity>,
    /// Resource use of each team at the last count of the capacity.
    usage_by_team: Vec<Resources>,
}

/// Timers of the periodic work.
#[derive(Debug, Default)]
struct CellTimers {
    /// The next poll of the jobs that move.
    poll: Timer,
    /// The next message to the other cells.
    send: Timer,
    /// The next count of the capacity, after which waiting jobs are offered to other cells.
    capacity: Timer,
}

impl Cells {
    /// Creates the state of a new leader. It contains no other cells if load sharing is disabled.
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
            observations: FxHashMap::default(),
            record_changes: FxHashMap::default(),
            creations: HashMap::new(),
            lease_writes: HashMap::new(),
            hosted: HashMap::new(),
            capacity: Vec::new(),
            usage_by_team: Vec::new(),
        }
    }

    /// Advances the jobs that move between cells.
    fn poll(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        let is_sharing = context.operator.cells.enabled;
        let interval = if is_sharing { POLL_INTERVAL_MS } else { IDLE_POLL_INTERVAL_MS };
        let interval = context.load_adjusted_interval(interval, leader.jobs.len());
        self.timers.poll.set(context.clock.now() + interval);
        self.advance_pending_forwards(leader, context);
        self.reconcile_forwarded_jobs(leader, context);
        self.cancel_abandoned(leader, context);
        self.forget_ended(leader);
        if is_sharing {
            self.share_load(leader, context);
        }
    }

    /// Runs the work that is only done while load sharing is enabled.
    fn share_load(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        if self.timers.capacity.is_due(context.clock.now()) {
            self.refresh_capacity(leader, context);
            self.offer_waiting_jobs(leader, context);
        }
        self.reconcile_hosted_jobs(leader, context);
        self.send_state(leader, context);
    }

    /// Forgets jobs that have ended or been returned.
    fn forget_ended(&mut self, leader: &Leader) {
        let jobs = &leader.jobs;
        let is_live = |job: &JobIndex| jobs.contains_key(job);
        self.record_changes.retain(|job, state| *state == WriteState::InFlight || is_live(job));
        self.observations.retain(|job, _| jobs.get(job).is_some_and(LiveJob::is_forwarded));
    }

    /// Handles the result of a call to the key-value store.
    fn on_store_response(&mut self, context: &mut NodeContext, call: CellCall, result: &StoreResponse) {
        match call {
            CellCall::Forward { job } => self.on_forward_written(context, job, result),
            CellCall::ChangeRecord(change) => self.on_record_changed(context, *change, result),
            CellCall::CreateRecord { id, record } => self.on_created(context, id, *record, result),
            CellCall::ExtendLease { cell, lease } => self.on_lease_written(context, cell, lease, result),
        }
    }
}

// `cells` is moved out of the leader for the duration of each call, because its methods borrow
// both it and the leader mutably.
impl Leader {
    /// Advances the jobs that move between cells, if a poll is due.
    pub(super) fn poll_cells(&mut self, context: &mut NodeContext) {
        let Some(mut cells) = self.cells.take() else { return };
        if cells.timers.poll.is_due(context.clock.now()) {
            cells.poll(self, context);
        }
        self.cells = Some(cells);
    }

    /// Handles a message from another cell.
    pub(crate) fn on_cell_message(&mut self, context: &mut NodeContext, message: CellMessage) {
        // An inactive leader does not know the jobs of its own cell yet. The next message follows
        // soon.
        if !self.is_active {
            return;
        }
        let Some(mut cells) = self.cells.take() else { return };
        cells.receive(self, context, message);
        self.cells = Some(cells);
    }

    /// Handles the result of a call to the key-value store.
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
