//! A machine of an owned shard, with the attempts that may be on it.

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

/// The machines of one shard, to be changed.
pub(super) fn machines_of_mut(
    machines: &mut Machines,
    shard: ShardIndex,
) -> impl Iterator<Item = &mut Machine> {
    machines.values_mut().filter(move |machine| machine.shard == shard)
}

/// A container image that a machine has at hand.
#[derive(Debug)]
pub(super) struct CachedImage {
    pub(super) name: String,
    pub(super) size_gb: f64,
}

/// A machine of an owned shard.
#[derive(Debug)]
pub(crate) struct Machine {
    pub(super) name: String,
    /// Address for direct commands; empty until a heartbeat has told it.
    pub(super) address: String,
    /// Name of its machine type.
    pub(super) type_name: String,
    pub(super) zone: String,
    pub(super) is_spot: bool,
    pub(super) shard: ShardIndex,
    /// Fencing token of the shard when the machine became known.
    pub(super) fencing_token: FencingToken,
    /// What its heartbeats and our responses prove.
    pub(super) liveness: WorkerLiveness,
    pub(super) has_preemption_notice: bool,
    /// Gets no new tasks until it is drained, as the leader wants.
    pub(super) is_cordoned: bool,
    /// Gets no new tasks for now, as the leader wants.
    pub(super) is_quarantined: bool,
    /// Is to be made ready for its termination, as the leader wants.
    pub(super) is_decommissioning: bool,
    /// A placement record says that it is being terminated. Never taken back.
    pub(super) terminating_recorded: bool,
    /// Its placement record says that it is cordoned.
    pub(super) cordoned_recorded: bool,
    /// The placement record whose row shows the machine's own state; none until one
    /// lists it.
    pub(super) state_record: Option<RecordIndex>,
    /// Capacity for its row is reserved in `state_record`.
    pub(super) state_row_reserved: bool,
    /// An oversized record that keeps the row with its state until `state_record` has it.
    pub(super) former_state_record: Option<RecordIndex>,
    pub(super) attempts: Vec<Attempt>,
    /// Images in its cache, the most recently used first.
    pub(super) images: Vec<CachedImage>,
    /// Whether its projected load exceeds its capacity for too long.
    pub(super) is_overloaded: bool,
    /// Largest projected share of its capacity.
    pub(super) peak_load: f64,
    pub(super) parked_heartbeat: Option<ParkedHeartbeat>,
    /// When direct commands were last sent to it.
    pub(super) last_direct_command_at: Option<Ms>,
}

impl Machine {
    /// A machine of which nothing is known but its name.
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
        !self.has_preemption_notice
            && !self.is_cordoned
            && !self.is_quarantined
            && !self.is_decommissioning
            && !self.terminating_recorded
            && self.liveness.takes_work(context.fresh_ms, context.clock.now())
    }

    /// Attempts that no heartbeat has confirmed or disproved.
    pub(super) fn unreconciled_attempts(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.phase == AttemptPhase::Inherited).count()
    }

    /// Whether a placement record has to list it even if no attempt is on it.
    pub(super) fn has_recorded_state(&self) -> bool {
        self.is_cordoned || self.terminating_recorded
    }

    /// Whether its termination may be recorded: nothing is on it any more.
    pub(super) fn can_decommission(&self) -> bool {
        let was_never_heard = self.liveness.last_heartbeat().is_none();
        let is_empty = self.liveness.has_ended() || self.attempts.is_empty() || was_never_heard;
        self.is_decommissioning && !self.terminating_recorded && is_empty
    }
}
