//! The leader of a term: owns admission, the fleet and who holds which block.
//!
//! Everything it decides is written under the condition of its term, and all
//! that it knows is rebuilt from records and from the holders' state messages, so
//! that a new leader starts from what is, not from what was meant.

mod attempts;
mod cells;
mod fleet;
pub mod forecast;
mod free_capacity;
mod live_jobs;
mod order;
mod persistence;
mod pipelines;
mod plan;
mod preemption;
pub mod progress;
mod quota;
mod rebuild;
mod reconciliation;
mod scheduling_cycle;
mod shards;
mod timer;
mod zones;

use crate::core::StoreResponse;
use crate::core::common::watch_cache::LEADER;
use crate::core::common::{context::NodeContext, job_records::RecordSource};
use crate::model::{JobIndex, Ms, ShardIndex};
use crate::wire::store::{Compare, JobRecord};
use attempts::Attempts;
use cells::{CellCall, Cells};
use fleet::Fleet;
use forecast::History;
use live_jobs::LiveJob;
use pipelines::Cascade;
use progress::{DeletionQueue, ProgressSegment};
use serde::{Deserialize, Serialize};
use shards::ShardAssignment;
use std::collections::{BTreeMap, HashMap};

const POLL_GAP_MS: Ms = 20;
const CYCLE_GAP_MS: Ms = 50;
const CYCLE_EVERY_MS: Ms = 500;
#[derive(Debug)]
pub enum LeaderCall {
    Places,
    Progress,
    Fleet,
    AssignShard { shard: ShardIndex },
    Record { items: Vec<(JobIndex, Vec<u32>)>, segments: Vec<(JobIndex, ProgressSegment)> },
    Reread { job: JobIndex, segment: ProgressSegment },
    Finish { job: JobIndex, done_ms: u64, dropped: Vec<ProgressSegment> },
    Forget { keys: Vec<String> },
    Cascade { list: Vec<JobIndex> },
    Cells(CellCall),
    SaveFleet,
    SaveCatalog,
}

/// `fleet`: one record per window.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct FleetRecord {
    #[serde(rename = "at", default)]
    pub at_ms: u64,
    #[serde(default)]
    pub counts: BTreeMap<String, u32>,
    #[serde(default)]
    pub history: History,
    /// Learned run time over estimate, per class.
    #[serde(default)]
    pub ratios: BTreeMap<String, f64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Loading {
    Start,
    Busy,
    Done,
}

pub struct Leader {
    pub term: u64,
    pub(super) since: Ms,
    pub(super) loading: [Loading; 3],
    pub(super) load_retry: Ms,
    pub is_active: bool,
    pub activated_at: Ms,
    pub jobs: BTreeMap<JobIndex, LiveJob>,
    pub attempts: Attempts,
    pub(super) next_attempt: u64,
    pub shards: Vec<ShardAssignment>,
    pub fleet: Fleet,
    pub ratios: BTreeMap<String, f64>,
    pub preempt_at: Ms,
    pub cycles: u64,
    /// Plans for rents made in this term.
    pub plans: u64,
    pub cycle_due: bool,
    pub(super) poll_at: Ms,
    pub(super) cycle_at: Ms,
    pub(super) record_at: Ms,
    pub(super) counts_at: Ms,
    /// Progress read before its job was known.
    pub(super) progress: HashMap<String, Vec<(ProgressSegment, String, u64)>>,
    /// Records of progress that nobody needs any more.
    pub(super) deletions: DeletionQueue,
    /// The state service has shown that it takes no more than the next limits.
    pub(super) writes_parts: bool,
    pub(super) cascade: Cascade,
    /// Other cells that share load; none only while they are at work.
    pub(super) cells: Option<Box<Cells>>,
}

impl Leader {
    pub fn new(context: &mut NodeContext, term: u64) -> Leader {
        Leader {
            term,
            since: context.clock.now(),
            loading: [Loading::Start; 3],
            load_retry: 0,
            is_active: false,
            activated_at: 0,
            jobs: BTreeMap::new(),
            attempts: Attempts::default(),
            next_attempt: term << 20,
            shards: context
                .shards
                .iter()
                .map(|_| ShardAssignment {
                    serial: 0,
                    dirty: true,
                    sent_at: 0,
                    size: 0,
                    fencing_token: 0,
                    has_reported: false,
                    gone: Vec::new(),
                    waiting: Vec::new(),
                    writing: false,
                    retry_at: 0,
                })
                .collect(),
            fleet: Fleet::new(context),
            ratios: BTreeMap::new(),
            preempt_at: 0,
            cycles: 0,
            plans: 0,
            cycle_due: true,
            poll_at: 0,
            cycle_at: 0,
            record_at: 0,
            counts_at: 0,
            progress: HashMap::new(),
            deletions: DeletionQueue::default(),
            writes_parts: false,
            cascade: Cascade::default(),
            cells: Some(Box::new(Cells::new(context))),
        }
    }

    pub fn compare_term(&self) -> Compare {
        Compare { key: LEADER.into(), version: self.term }
    }

    pub fn poll(&mut self, context: &mut NodeContext) {
        if !self.is_active {
            self.load(context);
            if !self.is_active {
                return;
            }
        }
        self.assign_shards(context);
        // All else looks at jobs, machines or attempts one by one, and must not
        // do so with every input.
        if context.clock.now() < self.poll_at {
            return;
        }
        self.poll_at = context.clock.now() + POLL_GAP_MS;
        self.follow_jobs(context);
        self.cascade_due(context);
        self.poll_cells(context);
        self.poll_fleet(context);
        // What a scheduling cycle costs grows with what it has to look at.
        let gap = if self.cycle_due {
            context
                .load_adjusted_gap(CYCLE_GAP_MS, (self.attempts.len() + self.fleet.machines.len()) / 8)
        } else {
            CYCLE_EVERY_MS
        };
        if context.clock.now() >= self.cycle_at + gap {
            self.cycle_at = context.clock.now();
            self.cycle_due = false;
            self.run_cycle(context);
        }
        self.record(context);
        self.send_desired_states(context);
        self.tell_counts(context);
    }

    pub fn on_result(&mut self, context: &mut NodeContext, call: LeaderCall, result: StoreResponse) {
        match call {
            LeaderCall::Places => self.on_load(context, 0, result),
            LeaderCall::Progress => self.on_load(context, 1, result),
            LeaderCall::Fleet => self.on_load(context, 2, result),
            LeaderCall::AssignShard { shard } => {
                let wait = context.jitter(300);
                if let Some(b) = self.shards.get_mut(shard.place()) {
                    b.writing = false;
                    b.retry_at = context.clock.now() + wait;
                }
            }
            LeaderCall::Record { items, segments } => self.on_recorded(context, items, segments, result),
            LeaderCall::Reread { job, segment } => self.on_reread(context, job, segment, result),
            LeaderCall::Finish { job, done_ms, dropped } => {
                if let StoreResponse::Committed { revision } = result {
                    if let Some(j) = self.jobs.get_mut(&job) {
                        j.segments.retain(|c, _| !dropped.contains(c));
                    }
                    let id = context.jobs.id(job).to_string();
                    context.apply_job_record(
                        &id,
                        JobRecord::done(0, done_ms),
                        revision,
                        RecordSource::Single,
                    );
                } else if let Some(j) = self.jobs.get_mut(&job) {
                    j.finish_busy = false;
                    j.finish_at = context.clock.now() + context.retry_ms(250);
                }
            }
            LeaderCall::Cells(call) => self.on_cell_result(context, call, result),
            LeaderCall::Cascade { list } => self.on_cascaded(context, list, result),
            LeaderCall::SaveFleet => self.fleet.on_window_record_written(),
            LeaderCall::SaveCatalog => {
                self.writes_parts |= matches!(result, StoreResponse::Malformed);
                self.fleet.catalog_saved(
                    context.clock.now(),
                    matches!(result, StoreResponse::Committed { .. }),
                );
            }
            LeaderCall::Forget { keys } => self.on_forgotten(context, keys, result),
        }
    }
}
