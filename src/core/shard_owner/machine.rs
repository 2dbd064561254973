//! A machine of a held block, with the attempts that may be on it.

use crate::core::common::context::NodeContext;
use crate::core::common::named_table::NamedTable;
use crate::model::{JobIndex, MachineIndex, Ms, Resources, ShardIndex};
use crate::wire::workers::Command;
use woadlever_recovery::attempt::{AttemptPhase, AttemptState};
use woadlever_recovery::worker::{HeartbeatVersion, WorkerLiveness};

/// Machines of the blocks held here.
pub type Machines = NamedTable<MachineIndex, Machine>;

/// An attempt at a task that may be on a machine.
#[derive(Debug)]
pub struct Attempt {
    pub job: JobIndex,
    pub task: u32,
    pub id: u64,
    pub demand: Resources,
    pub team: String,
    /// Length of its job's row in a placement record.
    pub job_row_bytes: usize,
    /// The record that it is in, or shall be.
    pub record: u32,
    /// The record that it is being copied to, out of one that is too long.
    pub moving: Option<u32>,
    pub(super) phase: AttemptPhase,
    /// Part of a transaction that was sent: may be in the record.
    pub tried: bool,
    pub written: bool,
    /// Whether the leader wants it there.
    pub wanted: bool,
    /// The report whose answer first carried its `run`.
    pub(super) run_sent: Option<HeartbeatVersion>,
    /// A report has listed it.
    pub(super) listed: bool,
    pub(super) started: Option<Ms>,
    pub(super) ran: Ms,
    pub(super) expected_ms: Ms,
    /// When it was bound here, and when that was on record.
    pub(super) bound_at: Ms,
    pub(super) written_at: Ms,
}

impl Attempt {
    /// What verdicts and orders rest on.
    pub(super) fn state(&self) -> AttemptState {
        AttemptState { phase: self.phase, wanted: self.wanted, run_sent: self.run_sent }
    }

    /// It waits to be sent: recorded, wanted and never sent.
    pub(super) fn is_ready(&self) -> bool {
        self.phase == AttemptPhase::Bound && self.written && self.wanted
    }
}

/// A machine of a held block.
#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub(super) addr: String,
    pub type_name: String,
    pub(super) zone: String,
    pub spot: bool,
    pub shard: ShardIndex,
    pub fencing_token: u64,
    /// What its reports and our answers prove.
    pub(super) worker: WorkerLiveness,
    pub(super) preemption_notice: bool,
    pub cordoned: bool,
    pub(super) quarantined: bool,
    pub(super) decommission: bool,
    pub terminating_recorded: bool,
    pub cordoned_recorded: bool,
    /// Room for its row is kept in that record.
    pub row_kept: bool,
    /// The record that speaks of it, once there's something to say.
    pub record: Option<u32>,
    /// A long record whose row on it stays until that one has it.
    pub row_from: Option<u32>,
    pub attempts: Vec<Attempt>,
    pub(super) images: Vec<(String, f64)>,
    pub(super) overloaded: bool,
    pub(super) peak: f64,
    pub(super) held: Option<Held>,
    /// When it was last told directly to stop tasks.
    pub(super) direct_at: Ms,
}

/// A report that waits for its answer.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) request_id: u64,
    pub(super) until: Ms,
    pub(super) commands: Vec<Command>,
}

impl Machine {
    /// A machine of which nothing is known yet.
    pub(super) fn blank(name: &str, shard: ShardIndex, fencing_token: u64) -> Machine {
        Machine {
            name: name.into(),
            addr: String::new(),
            type_name: String::new(),
            zone: String::new(),
            spot: false,
            shard,
            fencing_token,
            worker: WorkerLiveness::default(),
            preemption_notice: false,
            cordoned: false,
            quarantined: false,
            decommission: false,
            terminating_recorded: false,
            cordoned_recorded: false,
            row_kept: false,
            record: None,
            row_from: None,
            attempts: Vec::new(),
            images: Vec::new(),
            overloaded: false,
            peak: 0.0,
            held: None,
            direct_at: 0,
        }
    }

    /// What its attempts take.
    pub(super) fn used(&self) -> Resources {
        let mut used = Resources::default();
        for attempt in self.attempts.iter().filter(|attempt| !attempt.phase.has_ended()) {
            used.add(&attempt.demand);
        }
        used
    }

    /// Whether new tasks may be bound to it.
    pub(super) fn takes_tasks(&self, context: &NodeContext) -> bool {
        !self.preemption_notice
            && !self.cordoned
            && !self.quarantined
            && !self.decommission
            && !self.terminating_recorded
            && self.worker.takes_work(context.fresh_ms, context.clock.now())
    }

    /// Attempts that no report has confirmed or disproved.
    pub(super) fn unreconciled_attempts(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.phase == AttemptPhase::Inherited).count()
    }

    /// Its record has to speak of it though nothing may be on it.
    pub fn has_state(&self) -> bool {
        self.cordoned || self.terminating_recorded
    }

    /// Its return may be recorded: nothing is on it any more.
    pub fn can_decommission(&self) -> bool {
        let silent_peers = self.worker.last_heartbeat().is_none();
        let is_empty = self.worker.has_ended() || self.attempts.is_empty() || silent_peers;
        self.decommission && !self.terminating_recorded && is_empty
    }
}
