//! Samples of the demand for machines. The window rule bases its forecast on them.
//!
//! Demand is measured in machines of each kind: those that attempts book, and those that the
//! scale-out plan adds. Each poll of the fleet takes a sample; the window rule averages the
//! samples of a window.

use super::Leader;
use super::fleet::InstanceKind;
use super::scale_out_plan::ScaleOutPlan;
use crate::core::common::context::NodeContext;
use crate::model::Resources;
use std::collections::BTreeMap;

impl Leader {
    /// Returns the current bookings of all attempts, in machines, by label of the machine kind.
    pub(super) fn bookings(&self, context: &NodeContext) -> BTreeMap<String, f64> {
        let mut booked: BTreeMap<InstanceKind, Resources> = BTreeMap::new();
        for attempt in self.attempts.values().filter(|attempt| attempt.occupies_capacity()) {
            if let Some(instance) = attempt.instance.and_then(|index| self.fleet.instances.get(index)) {
                booked.entry(instance.kind()).or_default().add(&attempt.demand);
            }
        }
        let machines_of = |(kind, demand): (InstanceKind, Resources)| {
            let capacity = &context.machine_types[kind.machine_type].capacity;
            (kind.label(context), demand.dominant_share(capacity))
        };
        booked.into_iter().map(machines_of).collect()
    }

    /// Adds a sample of the current demand: booked and planned machines.
    pub(super) fn sample_demand(&mut self, context: &NodeContext, plan: &ScaleOutPlan) {
        for (label, machines) in self.bookings(context) {
            self.fleet.window.add_bookings(label, machines);
        }
        for (offer, machines) in plan.iter() {
            self.fleet.window.add_bookings(offer.kind().label(context), f64::from(machines));
        }
        for kind in InstanceKind::all(context.machine_types.len()) {
            self.fleet.window.count_sample(kind.label(context));
        }
    }
}
