//! Adds one instance for each overloaded instance, between the starts of forecast windows.

use super::instance::{InstancePhase, OverloadScaleOut};
use super::offer::InstanceKind;
use crate::core::common::context::NodeContext;
use crate::core::leader::Leader;
use crate::core::leader::scale_out_plan::ScaleOutPlan;
use crate::model::InstanceIndex;
use rustc_hash::{FxHashMap, FxHashSet};

impl Leader {
    /// Adds one instance of the plan for each instance that is projected to be overloaded. While
    /// the added one is requested or booting, no further one is added for the same instance. The
    /// total never exceeds the plan.
    pub(super) fn scale_out_for_overload(&mut self, context: &NodeContext, mut plan: ScaleOutPlan) {
        let overloaded = self.overloaded_instances();
        if overloaded.is_empty() || plan.is_empty() {
            return;
        }
        let mut spares = self.cordoned_by_kind();
        for index in overloaded {
            let Some(offer) = plan.take_first() else { break };
            // A cordoned instance is preferred to a new one.
            let spare = spares.get_mut(&offer.kind()).and_then(Vec::pop);
            if let Some(spare) = spare {
                if let Some(instance) = self.fleet.instances.get_mut(spare) {
                    instance.cordoned = false;
                }
                continue;
            }
            let number = self.fleet.scale_out.add(offer, context.clock.now());
            if let Some(instance) = self.fleet.instances.get_mut(index) {
                instance.overload_scale_out = Some(OverloadScaleOut::Requested(number));
            }
        }
    }

    /// Returns the overloaded instances for which no further one is requested or booting.
    fn overloaded_instances(&mut self) -> Vec<InstanceIndex> {
        let requested: FxHashSet<u64> =
            self.fleet.scale_out.iter().map(|request| request.number).collect();
        let booting: FxHashSet<InstanceIndex> = self
            .fleet
            .instances
            .iter()
            .filter(|(_, instance)| instance.phase == InstancePhase::Booting)
            .map(|(index, _)| index)
            .collect();
        let mut overloaded = Vec::new();
        for (index, instance) in self.fleet.instances.iter_mut() {
            let is_under_way = match instance.overload_scale_out {
                Some(OverloadScaleOut::Requested(number)) => requested.contains(&number),
                Some(OverloadScaleOut::Created(created)) => booting.contains(&created),
                None => false,
            };
            if !is_under_way {
                instance.overload_scale_out = None;
            }
            if instance.is_overloaded && !is_under_way && instance.phase == InstancePhase::Ready {
                overloaded.push(index);
            }
        }
        overloaded
    }

    /// Returns the cordoned instances that are up, by kind, with the oldest last.
    fn cordoned_by_kind(&self) -> FxHashMap<InstanceKind, Vec<InstanceIndex>> {
        let mut by_kind: FxHashMap<InstanceKind, Vec<InstanceIndex>> = FxHashMap::default();
        for (index, instance) in self.fleet.instances.iter() {
            if instance.cordoned && instance.phase == InstancePhase::Ready {
                by_kind.entry(instance.kind()).or_default().push(index);
            }
        }
        for indices in by_kind.values_mut() {
            indices.reverse();
        }
        by_kind
    }
}
