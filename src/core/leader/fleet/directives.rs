//! The leader's directives to the shard owners on cordoned, quarantined and draining machines.

use super::instance::InstancePhase;
use super::{Fleet, Instance};
use crate::core::common::context::NodeContext;
use crate::wire::peer::Decommission;

/// The leader's directives for the machines of one shard.
#[derive(Debug, Clone, Default)]
pub(crate) struct MachineDirectives {
    /// Machines that must get no new tasks and are drained once idle.
    pub cordoned: Vec<String>,
    /// Machines to prepare for termination.
    pub decommission: Vec<Decommission>,
    /// Machines that must get no new tasks for now, because tasks failed on them.
    pub quarantined: Vec<String>,
}

impl Fleet {
    /// Returns the directives for all shards, in the order of the shards.
    pub(crate) fn directives(&self, context: &NodeContext) -> Vec<MachineDirectives> {
        let mut directives = vec![MachineDirectives::default(); context.shards.len()];
        for instance in self.instances.values() {
            let Some(for_shard) = directives.get_mut(instance.shard.as_usize()) else { continue };
            if instance.cordoned {
                for_shard.cordoned.push(instance.name.clone());
            }
            if instance.is_quarantined(context.clock.now()) {
                for_shard.quarantined.push(instance.name.clone());
            }
            if instance.phase >= InstancePhase::Draining {
                for_shard.decommission.push(decommission(context, instance));
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
