//! Requests the termination of drained instances from the cloud and handles the results.

use super::{CallPurpose, DueCall};
use crate::core::common::context::{MAX_TERMINATIONS, NodeContext};
use crate::core::leader::Leader;
use crate::core::leader::fleet::{Fleet, InstancePhase};
use crate::core::leader::shards::TerminatedInstance;
use crate::core::{CloudRequest, CloudResponse};
use crate::model::{InstanceIndex, Ms};
use crate::wire::cloud::TerminateInstancesRequest;

/// Interval between two scans for instances to terminate. Each scan visits the whole fleet.
const SCAN_INTERVAL_MS: Ms = 100;

impl Fleet {
    /// Returns the call that terminates drained instances, as many as one call can take, or
    /// `None` if there are none or no scan is due.
    pub(super) fn due_termination(&mut self, now: Ms) -> Option<DueCall> {
        if !self.cloud.termination.is_due(now) {
            return None;
        }
        self.cloud.termination.set(now + SCAN_INTERVAL_MS);
        let mut indices = Vec::new();
        let mut machines = Vec::new();
        let instances = self.instances.iter_mut();
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
    /// Handles the result of a termination. Only a confirmed termination proves that the
    /// instances, and with them their tasks, are gone; otherwise it is retried.
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
            } else if let Some(instance) = self.fleet.instances.get_mut(index) {
                instance.phase = InstancePhase::Drained;
            }
        }
    }

    /// Removes a terminated instance from the fleet, and marks its shard so that the shard owner
    /// is informed.
    fn remove_instance(&mut self, context: &NodeContext, index: InstanceIndex) {
        let Some(instance) = self.fleet.instances.remove(index) else { return };
        self.fleet.terminated.insert(&instance.name);
        if let Some(assignment) = self.shards.get_mut(instance.shard.as_usize()) {
            let confirmed_at = context.clock.now();
            assignment
                .terminated_instances
                .push(TerminatedInstance { name: instance.name, confirmed_at });
            assignment.dirty = true;
        }
    }
}
