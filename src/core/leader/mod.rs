//! The leader of a term: it owns admission, the fleet, and the assignment of shards to nodes.
//!
//! Each of its writes is conditional on the record of its term, so that a leader whose term has
//! ended can change nothing. A new leader rebuilds its state from records and from the states
//! that shard owners report: it starts from the actual state, not from what the previous leader
//! intended.
//!
//! `Core` polls it after each input. It does not communicate with workers or users; shard owners
//! and user API nodes do.

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
mod undetermined_jobs;
mod write_pacing;
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
use undetermined_jobs::UndeterminedJobs;

/// Minimum time between two polls that process jobs, instances and attempts.
const POLL_INTERVAL_MS: Ms = 20;
/// Minimum time between two scheduling cycles when something has changed.
const CYCLE_INTERVAL_MS: Ms = 50;
/// Time between two scheduling cycles when nothing has changed.
const IDLE_CYCLE_INTERVAL_MS: Ms = 500;
/// Number of attempts and instances that count as one item when the interval between two scheduling
/// cycles is adjusted to the load.
const CYCLE_ITEMS_PER_LOAD_ITEM: usize = 8;
/// Number of low bits of an attempt id that number the attempts of one term; the bits above them
/// hold the term.
const ATTEMPT_BITS_PER_TERM: u32 = 20;

/// Purpose of a store call that the leader makes.
#[derive(Debug)]
pub(crate) enum LeaderCall {
    /// Read records at the start of the term.
    Load(RecordKind),
    /// Write the owner of a shard.
    AssignShard {
        /// The shard.
        shard: ShardIndex,
    },
    /// Write the progress of jobs.
    WriteProgress {
        /// The segments to write, for each job.
        writes: Vec<SegmentWrite>,
    },
    /// Read a progress record again.
    Reread {
        /// The job.
        job: JobIndex,
        /// The segment that the record holds.
        segment: ProgressSegment,
    },
    /// Write the final state of a job.
    WriteFinalState(FinalStateWrite),
    /// Delete progress records.
    DeleteProgress {
        /// Keys of the records.
        keys: Vec<String>,
    },
    /// Write the cancellation of jobs that have a cancelled dependency.
    WriteCancellations {
        /// The jobs.
        jobs: Vec<JobIndex>,
    },
    /// A call that concerns other cells.
    Cells(CellCall),
    /// Write the fleet record.
    SaveFleet,
    /// Write the catalog.
    SaveCatalog,
}

/// Value of the key `fleet`: state that a leader leaves to its successors, written once per
/// window.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct FleetRecord {
    /// Wall-clock time at which the window began.
    #[serde(rename = "at", default)]
    pub at_ms: u64,
    /// Number of usable instances, by label of the machine type.
    #[serde(default)]
    pub counts: BTreeMap<String, u32>,
    /// Machines booked in past windows.
    #[serde(default)]
    pub history: History,
    /// Learned ratio of run time to estimate, by class of jobs.
    #[serde(default)]
    pub ratios: BTreeMap<String, f64>,
}

/// The leader; it exists only while this node's term lasts.
pub(super) struct Leader {
    /// Number of the term.
    pub term: Term,
    /// When this process began the term.
    term_started_at: Ms,
    /// Progress of reading the records.
    loading: RecordLoading,
    /// Whether all records have been read. Until then the leader makes no decisions.
    is_active: bool,
    /// When the leader became active.
    activated_at: Ms,
    /// Live jobs whose dependencies are done.
    jobs: BTreeMap<JobIndex, LiveJob>,
    /// Attempts that are or may be on a machine.
    pub attempts: Attempts,
    /// Id of the next attempt.
    next_attempt: AttemptId,
    /// All shards.
    shards: Vec<ShardAssignment>,
    /// The instances, and all calls to the cloud.
    pub fleet: Fleet,
    /// Learned ratio of run time to estimate, by class of jobs.
    ratios: BTreeMap<String, f64>,
    /// Due when tasks may be preempted again.
    preemption_timer: Timer,
    /// Number of scheduling cycles in this term.
    cycles: u64,
    /// Number of scale-out plans in this term.
    pub plans: u64,
    /// Whether something has changed that calls for another scheduling cycle soon.
    cycle_due: bool,
    /// Due when the next poll of jobs, instances and attempts may run.
    poll_timer: Timer,
    /// When the last scheduling cycle began.
    last_cycle_at: Ms,
    /// Due when progress may be recorded again.
    record_timer: Timer,
    /// Due when tasks are counted again.
    task_count_timer: Timer,
    /// Progress that was read before its job was known, by id of the job.
    unclaimed_progress: HashMap<String, Vec<LoadedSegment>>,
    /// Jobs with recorded attempts that are not known to be live or ended yet.
    undetermined_jobs: UndeterminedJobs,
    /// Progress records that are no longer needed.
    deletions: DeletionQueue,
    /// Whether the lower limits of the store are known to be in force.
    are_lower_limits_in_force: bool,
    /// Detects broken quotas and logs the usage of teams.
    quota_watch: QuotaWatch,
    /// Number of admissions that were refused because the task had an attempt already.
    duplicate_admissions: u64,
    /// The most recent decisions on attempts.
    decisions: DecisionLog<AttemptDecision>,
    /// Jobs to be cancelled because a dependency is cancelled.
    cancellations: CascadingCancellations,
    /// Load sharing with other cells; `None` only while a method of it runs.
    cells: Option<Box<Cells>>,
}

impl Leader {
    /// Creates a leader whose term begins now.
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
            last_cycle_at: 0,
            record_timer: Timer::default(),
            task_count_timer: Timer::default(),
            unclaimed_progress: HashMap::new(),
            undetermined_jobs: UndeterminedJobs::default(),
            deletions: DeletionQueue::default(),
            are_lower_limits_in_force: false,
            quota_watch: QuotaWatch::default(),
            duplicate_admissions: 0,
            decisions: DecisionLog::default(),
            cancellations: CascadingCancellations::default(),
            cells: Some(Box::new(Cells::new(context))),
        }
    }

    /// Number of broken quotas that have been logged in this term.
    pub(super) fn quota_violations(&self) -> u64 {
        self.quota_watch.violations
    }

    /// Number of refused admissions of tasks that had an attempt already, in this term.
    pub(super) fn duplicate_admissions(&self) -> u64 {
        self.duplicate_admissions
    }

    /// Returns the condition of every write: this term is still the current one.
    fn compare_term(&self) -> Compare {
        Compare { key: LEADER.into(), version: self.term.number() }
    }

    /// Runs the periodic work that is due.
    pub(super) fn poll(&mut self, context: &mut NodeContext) {
        if !self.is_active {
            self.load_records(context);
            if !self.is_active {
                return;
            }
        }
        self.assign_shards(context);
        // The rest iterates over jobs, instances or attempts, which is too expensive after each
        // input.
        if !self.poll_timer.is_due(context.clock.now()) {
            return;
        }
        self.poll_timer.set(context.clock.now() + POLL_INTERVAL_MS);
        self.sync_changed_jobs(context);
        self.log_undetermined_jobs(context);
        self.write_cancellations(context);
        self.poll_cells(context);
        self.poll_fleet(context);
        if context.clock.now() >= self.last_cycle_at + self.cycle_interval(context) {
            self.last_cycle_at = context.clock.now();
            self.cycle_due = false;
            self.run_cycle(context);
        }
        self.record(context);
        self.send_desired_states(context);
        self.announce_task_counts(context);
    }

    /// Returns the time between two scheduling cycles. It grows with the number of attempts and
    /// instances, as the cost of a cycle does.
    fn cycle_interval(&self, context: &NodeContext) -> Ms {
        if !self.cycle_due {
            return IDLE_CYCLE_INTERVAL_MS;
        }
        let items = self.attempts.len() + self.fleet.instances.len();
        context.load_adjusted_interval(CYCLE_INTERVAL_MS, items / CYCLE_ITEMS_PER_LOAD_ITEM)
    }

    /// Handles the response to a store call.
    pub(super) fn on_store_response(
        &mut self,
        context: &mut NodeContext,
        call: LeaderCall,
        response: StoreResponse,
    ) {
        match call {
            LeaderCall::Load(kind) => self.on_load(context, kind, response),
            LeaderCall::AssignShard { shard } => self.on_shard_assigned(context, shard),
            LeaderCall::WriteProgress { writes } => self.on_recorded(context, writes, response),
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
                self.are_lower_limits_in_force |= matches!(response, StoreResponse::Malformed);
                let is_saved = matches!(response, StoreResponse::Committed { .. });
                self.fleet.on_catalog_write_finished(context.clock.now(), is_saved);
            }
        }
    }
}
