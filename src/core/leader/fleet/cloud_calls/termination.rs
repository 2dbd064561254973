//! Terminations of drained instances as calls to the cloud.

use super::{CallPurpose, DueCall};
use crate::core::common::context::{MAX_TERMINATIONS, NodeContext};
use crate::core::leader::Leader;
use crate::core::leader::fleet::{Fleet, InstancePhase};
use crate::core::leader::shards::GoneInstance;
use crate::core::{CloudRequest, CloudResponse};
use crate::model::{InstanceIndex, Ms};
use crate::wire::cloud::TerminateInstancesRequest;

/// Pause between two looks for instances to terminate, as the look is at all of them.
const LOOK_GAP_MS: Ms = 100;

impl Fleet {
    /// The termination of drained instances, as many as one call takes, if there are any.
    pub(super) fn due_termination(&mut self, now: Ms) -> Option<DueCall> {
        if !self.cloud.termination.is_due(now) {
            return None;
        }
        self.cloud.termination.set(now + LOOK_GAP_MS);
        let mut indices = Vec::new();
        let mut machines = Vec::new();
        let instances = self.machines.iter_mut();
        let drained = instances.filter(|(_, instance)| instance.phase == InstancePhase::Drained);
        for (index, instance) in drained.take(MAX_TERMINATIONS) {
            instance.phase = InstancePhase::Terminating;
            indices.push(index);
            machines.push(instance.name.clone());
        }
        if indices.is_empty() {
            return None;
        }
        let request = CloudRequest::TerminateInstances(TerminateInstancesRequest { machines });
        Some(DueCall { request, purpose: CallPurpose::Termination(indices) })
    }
}

impl Leader {
    /// Takes in the result of a termination. Only a confirmed one proves that the instances,
    /// and with them their tasks, are gone; else it is tried again.
    pub(super) fn on_terminated(
        &mut self,
        context: &NodeContext,
        indices: Vec<InstanceIndex>,
        result: &CloudResponse,
    ) {
        let is_confirmed = matches!(result, CloudResponse::InstancesTerminated);
        for index in indices {
            if is_confirmed {
                self.remove_instance(context, index);
            } else if let Some(instance) = self.fleet.machines.get_mut(index) {
                instance.phase = InstancePhase::Drained;
            }
        }
    }

    /// Removes a terminated instance, and lets the owner of its shard be told.
    fn remove_instance(&mut self, context: &NodeContext, index: InstanceIndex) {
        let Some(instance) = self.fleet.machines.remove(index) else { return };
        self.fleet.terminated.insert(&instance.name);
        if let Some(assignment) = self.shards.get_mut(instance.shard.place()) {
            let confirmed_at = context.clock.now();
            assignment.gone.push(GoneInstance { name: instance.name, confirmed_at });
            assignment.dirty = true;
        }
    }
}
