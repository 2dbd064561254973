//! The leader of a term: it owns admission, the fleet, and the assignment of shards to nodes.
//!
//! Everything that it writes is compared with the record of its term, so that a leader whose
//! term has ended changes nothing. All that it knows is rebuilt from records and from the
//! states that shard owners report: a new leader starts from what is, not from what was meant.
//!
//! `Core` polls it after each input. It calls neither workers nor users; shard owners and user
//! API nodes do.

mod attempt_decisions;
mod attempts;
mod cascading_cancellation;
mod cells;
mod demand_samples;
mod desired_states;
mod fleet;
pub mod forecast;
mod free_capacity;
mod inherited_urgency;
mod job_tracking;
mod live_jobs;
mod order;
mod persistence;
mod preemption;
pub mod progress;
mod quota;
mod quota_watch;
mod rebuild;
mod reconciliation;
mod run_times;
mod scale_out_plan;
mod scale_out_planner;
mod scheduling_cycle;
mod shards;
mod task_counts;
mod timer;
mod write_state;
mod zones;

use crate::core::StoreResponse;
use crate::core::common::context::NodeContext;
use crate::core::common::decision_log::DecisionLog;
use crate::core::common::store_keys::LEADER;
use crate::model::{AttemptId, JobIndex, Ms, ShardIndex, Term};
use crate::wire::store::Compare;
use attempt_decisions::AttemptDecision;
use attempts::Attempts;
use cascading_cancellation::CascadingCancellations;
use cells::{CellCall, Cells};
use fleet::Fleet;
use forecast::History;
use live_jobs::LiveJob;
use progress::{DeletionQueue, FinalStateWrite, LoadedSegment, ProgressSegment, SegmentWrite};
use quota_watch::QuotaWatch;
use rebuild::{RecordKind, RecordLoading};
use serde::{Deserialize, Serialize};
use shards::ShardAssignment;
use std::collections::{BTreeMap, HashMap};
use timer::Timer;

/// Least time between two polls that look at jobs, machines and attempts.
const POLL_GAP_MS: Ms = 20;
/// Least time between two scheduling cycles when something has changed.
const CYCLE_GAP_MS: Ms = 50;
/// Time between two scheduling cycles when nothing has changed.
const IDLE_CYCLE_GAP_MS: Ms = 500;
/// Attempts and machines that lengthen that time as much as one item elsewhere.
const CYCLE_ITEMS_PER_UNIT: usize = 8;
/// Width of the number space of attempts of one term, in bits.
const ATTEMPT_BITS_PER_TERM: u32 = 20;

/// What a call of the leader to the store is for.
#[derive(Debug)]
pub(crate) enum LeaderCall {
    /// Read records at the start of the term.
    Load(RecordKind),
    /// Write the owner of a shard.
    AssignShard {
        /// The shard.
        shard: ShardIndex,
    },
    /// Record progress of jobs.
    Record {
        /// What is recorded of each job.
        writes: Vec<SegmentWrite>,
    },
    /// Read a record of progress again.
    Reread {
        /// The job.
        job: JobIndex,
        /// The segment that the record is of.
        segment: ProgressSegment,
    },
    /// Write the final state of a job.
    WriteFinalState(FinalStateWrite),
    /// Delete records of progress.
    DeleteProgress {
        /// Their keys.
        keys: Vec<String>,
    },
    /// Write that jobs are cancelled since a dependency is.
    WriteCancellations {
        /// The jobs.
        jobs: Vec<JobIndex>,
    },
    /// A call concerning other cells.
    Cells(CellCall),
    /// Write the fleet's record.
    SaveFleet,
    /// Write the catalog.
    SaveCatalog,
}

/// `fleet`: what leaders hand on to each other, written once per window.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct FleetRecord {
    /// Time of day at which the window began.
    #[serde(rename = "at", default)]
    pub at_ms: u64,
    /// Usable machines, by label of the machine type.
    #[serde(default)]
    pub counts: BTreeMap<String, u32>,
    /// Bookings of past windows.
    #[serde(default)]
    pub history: History,
    /// Learned ratio of run time to estimate, by class of jobs.
    #[serde(default)]
    pub ratios: BTreeMap<String, f64>,
}

/// The leader, for as long as this node's term lasts.
pub(super) struct Leader {
    /// Number of the term.
    pub term: Term,
    /// When the term began for this process.
    term_started_at: Ms,
    /// Which records have been read.
    loading: RecordLoading,
    /// Whether all records have been read. Before that it decides nothing.
    is_active: bool,
    /// When it became active.
    activated_at: Ms,
    /// Live jobs whose dependencies are done.
    jobs: BTreeMap<JobIndex, LiveJob>,
    /// Attempts that are or may be on a machine.
    pub attempts: Attempts,
    /// Id of the next attempt.
    next_attempt: AttemptId,
    /// All shards.
    shards: Vec<ShardAssignment>,
    /// The machines, and all calls to the cloud.
    pub fleet: Fleet,
    /// Learned ratio of run time to estimate, by class of jobs.
    ratios: BTreeMap<String, f64>,
    /// When tasks may be preempted again.
    preemption_timer: Timer,
    /// Scheduling cycles of this term.
    cycles: u64,
    /// Scale-out plans of this term.
    pub plans: u64,
    /// Whether something has changed that the next scheduling cycle should look at.
    cycle_due: bool,
    /// When the next poll is due.
    poll_timer: Timer,
    /// When the last scheduling cycle began.
    cycle_at: Ms,
    /// When progress may be recorded next.
    record_timer: Timer,
    /// When tasks are to be counted next.
    task_count_timer: Timer,
    /// Progress that has been read before its job was known, by id of the job.
    unclaimed_progress: HashMap<String, Vec<LoadedSegment>>,
    /// Records of progress that nobody needs any more.
    deletions: DeletionQueue,
    /// Whether the store has shown that its lower limits are in force.
    has_lowered_limits: bool,
    /// Broken quotas, and what is logged of the use of teams.
    quota_watch: QuotaWatch,
    /// The newest decisions on attempts.
    decisions: DecisionLog<AttemptDecision>,
    /// Jobs to be cancelled since a dependency is.
    cancellations: CascadingCancellations,
    /// Other cells that share load; `None` only while they are at work.
    cells: Option<Box<Cells>>,
}

impl Leader {
    /// A leader whose term begins now.
    pub(super) fn new(context: &mut NodeContext, term: Term) -> Leader {
        Leader {
            term,
            term_started_at: context.clock.now(),
            loading: RecordLoading::default(),
            is_active: false,
            activated_at: 0,
            jobs: BTreeMap::new(),
            attempts: Attempts::default(),
            next_attempt: AttemptId::new(term.number() << ATTEMPT_BITS_PER_TERM),
            shards: context.shards.iter().map(|_| ShardAssignment::new()).collect(),
            fleet: Fleet::new(context),
            ratios: BTreeMap::new(),
            preemption_timer: Timer::default(),
            cycles: 0,
            plans: 0,
            cycle_due: true,
            poll_timer: Timer::default(),
            cycle_at: 0,
            record_timer: Timer::default(),
            task_count_timer: Timer::default(),
            unclaimed_progress: HashMap::new(),
            deletions: DeletionQueue::default(),
            has_lowered_limits: false,
            quota_watch: QuotaWatch::default(),
            decisions: DecisionLog::default(),
            cancellations: CascadingCancellations::default(),
            cells: Some(Box::new(Cells::new(context))),
        }
    }

    /// Broken quotas that have been logged in this term.
    pub(super) fn quota_alarms(&self) -> u64 {
        self.quota_watch.alarms
    }

    /// The compare under which everything is written: this term is the present one.
    fn compare_term(&self) -> Compare {
        Compare { key: LEADER.into(), version: self.term.number() }
    }

    /// Does the periodic work that is due.
    pub(super) fn poll(&mut self, context: &mut NodeContext) {
        if !self.is_active {
            self.load(context);
            if !self.is_active {
                return;
            }
        }
        self.assign_shards(context);
        // All else looks at jobs, machines or attempts one by one, and must not do so with each
        // input.
        if !self.poll_timer.is_due(context.clock.now()) {
            return;
        }
        self.poll_timer.set(context.clock.now() + POLL_GAP_MS);
        self.follow_jobs(context);
        self.write_cancellations(context);
        self.poll_cells(context);
        self.poll_fleet(context);
        if context.clock.now() >= self.cycle_at + self.cycle_gap(context) {
            self.cycle_at = context.clock.now();
            self.cycle_due = false;
            self.run_cycle(context);
        }
        self.record(context);
        self.send_desired_states(context);
        self.announce_task_counts(context);
    }

    /// Time between two scheduling cycles. What a cycle costs grows with what it has to look
    /// at.
    fn cycle_gap(&self, context: &NodeContext) -> Ms {
        if !self.cycle_due {
            return IDLE_CYCLE_GAP_MS;
        }
        let looked_at = self.attempts.len() + self.fleet.machines.len();
        context.load_adjusted_gap(CYCLE_GAP_MS, looked_at / CYCLE_ITEMS_PER_UNIT)
    }

    /// Takes in the response to a call to the store.
    pub(super) fn on_result(
        &mut self,
        context: &mut NodeContext,
        call: LeaderCall,
        response: StoreResponse,
    ) {
        match call {
            LeaderCall::Load(kind) => self.on_load(context, kind, response),
            LeaderCall::AssignShard { shard } => self.on_shard_assigned(context, shard),
            LeaderCall::Record { writes } => self.on_recorded(context, writes, response),
            LeaderCall::Reread { job, segment } => self.on_reread(context, job, segment, response),
            LeaderCall::WriteFinalState(write) => {
                self.on_final_state_written(context, write, response);
            }
            LeaderCall::DeleteProgress { keys } => self.on_progress_deleted(context, keys, response),
            LeaderCall::WriteCancellations { jobs } => {
                self.on_cancellations_written(context, jobs, response);
            }
            LeaderCall::Cells(call) => self.on_cell_result(context, call, response),
            LeaderCall::SaveFleet => self.fleet.on_window_record_written(),
            LeaderCall::SaveCatalog => {
                self.has_lowered_limits |= matches!(response, StoreResponse::Malformed);
                let is_saved = matches!(response, StoreResponse::Committed { .. });
                self.fleet.catalog_saved(context.clock.now(), is_saved);
            }
        }
    }
}
