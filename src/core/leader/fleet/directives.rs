//! What the leader wants of the machines of each shard, as the shard owners are told.

use super::instance::InstancePhase;
use super::{Fleet, Instance};
use crate::core::common::context::NodeContext;
use crate::wire::peer::Decommission;

/// What the leader wants of the machines of a shard.
#[derive(Debug, Clone, Default)]
pub(crate) struct MachineDirectives {
    /// Machines that get no new tasks until they are drained.
    pub cordoned: Vec<String>,
    /// Machines to be made ready for their termination.
    pub decommission: Vec<Decommission>,
    /// Machines that must not get new tasks for now.
    pub quarantined: Vec<String>,
}

impl Fleet {
    /// The directives for all shards, in their order.
    pub(crate) fn directives(&self, context: &NodeContext) -> Vec<MachineDirectives> {
        let mut directives = vec![MachineDirectives::default(); context.shards.len()];
        for instance in self.machines.values() {
            let Some(of_shard) = directives.get_mut(instance.shard.place()) else { continue };
            if instance.cordoned {
                of_shard.cordoned.push(instance.name.clone());
            }
            if instance.is_quarantined(context.clock.now()) {
                of_shard.quarantined.push(instance.name.clone());
            }
            if instance.phase >= InstancePhase::Draining {
                of_shard.decommission.push(decommission(context, instance));
            }
        }
        directives
    }
}

fn decommission(context: &NodeContext, instance: &Instance) -> Decommission {
    let machine_type = context.machine_types.get(instance.machine_type);
    Decommission {
        machine: instance.name.clone(),
        machine_type: machine_type.map(|known| known.name.clone()).unwrap_or_default(),
        zone: instance.zone.clone(),
        spot: instance.is_spot,
    }
}
