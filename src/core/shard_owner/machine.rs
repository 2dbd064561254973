//! A machine of an owned shard and the attempts that may be on it.

use super::attempt::Attempt;
use super::parked_heartbeats::ParkedHeartbeat;
use super::placement_records::RecordIndex;
use crate::core::common::context::NodeContext;
use crate::core::common::named_table::NamedTable;
use crate::model::{FencingToken, MachineIndex, Ms, Resources, ShardIndex};
use woadlever_recovery::attempt::AttemptPhase;
use woadlever_recovery::worker::WorkerLiveness;

/// Machines of all shards that this node owns.
pub(super) type Machines = NamedTable<MachineIndex, Machine>;

/// The machines of one shard.
pub(super) fn machines_of(machines: &Machines, shard: ShardIndex) -> impl Iterator<Item = &Machine> {
    machines.values().filter(move |machine| machine.shard == shard)
}

/// The machines of one shard, mutably.
pub(super) fn machines_of_mut(
    machines: &mut Machines,
    shard: ShardIndex,
) -> impl Iterator<Item = &mut Machine> {
    machines.values_mut().filter(move |machine| machine.shard == shard)
}

/// A container image in a machine's cache.
#[derive(Debug)]
pub(super) struct CachedImage {
    pub(super) name: String,
    pub(super) size_gb: f64,
}

/// A machine of an owned shard.
#[derive(Debug)]
pub(crate) struct Machine {
    pub(super) name: String,
    /// Address for direct commands; empty until the first heartbeat.
    pub(super) address: String,
    /// Name of its machine type.
    pub(super) type_name: String,
    pub(super) zone: String,
    pub(super) is_spot: bool,
    pub(super) shard: ShardIndex,
    /// Fencing token of the shard when the machine was added.
    pub(super) fencing_token: FencingToken,
    /// State of the worker's lease and reachability, derived from its heartbeats and our responses.
    pub(super) liveness: WorkerLiveness,
    pub(super) has_preemption_notice: bool,
    /// Whether the leader wants the machine drained: it gets no new tasks.
    pub(super) is_cordoned: bool,
    /// Whether the leader wants the machine to get no new tasks for now.
    pub(super) is_quarantined: bool,
    /// Whether the machine is to be drained and then terminated: the leader wants it, or a placement
    /// record marks the machine as being terminated.
    pub(super) is_decommissioning: bool,
    /// Whether a placement record marks the machine as being terminated. Never reset.
    pub(super) terminating_recorded: bool,
    /// Whether its placement record marks the machine as cordoned.
    pub(super) cordoned_recorded: bool,
    /// The placement record whose row holds the machine's own state; none until a record lists
    /// the machine.
    pub(super) state_record: Option<RecordIndex>,
    /// Whether capacity for its row is reserved in `state_record`.
    pub(super) state_row_reserved: bool,
    /// An oversized record that keeps the row with the machine's state until `state_record` has it.
    pub(super) former_state_record: Option<RecordIndex>,
    pub(super) attempts: Vec<Attempt>,
    /// Images assumed to be in its cache, the most recently used first.
    pub(super) images: Vec<CachedImage>,
    /// Whether its projected load, with the waiting tasks assigned to it, exceeds the overload level
    /// for longer than is tolerated.
    pub(super) is_overloaded: bool,
    /// Peak of its projected load without waiting tasks, as a share of its capacity.
    pub(super) peak_load: f64,
    pub(super) parked_heartbeat: Option<ParkedHeartbeat>,
    /// When direct commands were last sent to it.
    pub(super) last_direct_command_at: Option<Ms>,
}

impl Machine {
    /// A machine of which only the name is known.
    pub(super) fn new(name: &str, shard: ShardIndex, fencing_token: FencingToken) -> Machine {
        Machine {
            name: name.into(),
            address: String::new(),
            type_name: String::new(),
            zone: String::new(),
            is_spot: false,
            shard,
            fencing_token,
            liveness: WorkerLiveness::default(),
            has_preemption_notice: false,
            is_cordoned: false,
            is_quarantined: false,
            is_decommissioning: false,
            terminating_recorded: false,
            cordoned_recorded: false,
            state_record: None,
            state_row_reserved: false,
            former_state_record: None,
            attempts: Vec::new(),
            images: Vec::new(),
            is_overloaded: false,
            peak_load: 0.0,
            parked_heartbeat: None,
            last_direct_command_at: None,
        }
    }

    /// Total demand of the attempts that have not ended.
    pub(super) fn used(&self) -> Resources {
        let mut used = Resources::default();
        for attempt in self.attempts.iter().filter(|attempt| !attempt.phase.has_ended()) {
            used.add(&attempt.demand);
        }
        used
    }

    /// Whether new tasks may be bound to the machine.
    pub(super) fn accepts_new_tasks(&self, context: &NodeContext) -> bool {
        !self.has_preemption_notice
            && !self.is_cordoned
            && !self.is_quarantined
            && !self.is_decommissioning
            && !self.terminating_recorded
            && self.liveness.accepts_new_tasks(context.max_heartbeat_age_ms, context.clock.now())
    }

    /// Number of attempts from a former shard owner that no heartbeat has confirmed or disproved.
    pub(super) fn unreconciled_attempts(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.phase == AttemptPhase::Inherited).count()
    }

    /// Whether a placement record has to list the machine even if it has no attempts.
    pub(super) fn has_recorded_state(&self) -> bool {
        self.is_cordoned || self.terminating_recorded
    }

    /// Whether its termination may be recorded, because no attempt can be on it any more.
    pub(super) fn may_record_termination(&self) -> bool {
        let was_never_heard = self.liveness.last_heartbeat().is_none();
        let is_empty = self.liveness.lease_has_ended() || self.attempts.is_empty() || was_never_heard;
        self.is_decommissioning && !self.terminating_recorded && is_empty
    }
}
