//! Samples of the demand for machines, which the forecast of the window rule is made from.
//!
//! Demand is measured in machines of each type, spot and on-demand apart: what attempts book,
//! and what the scale-out plan adds. Each look at the fleet takes a sample; the window rule
//! averages them.

use super::Leader;
use super::fleet::machine_type_label;
use super::scale_out_plan::ScaleOutPlan;
use crate::core::common::context::NodeContext;
use crate::model::Resources;
use std::collections::BTreeMap;

impl Leader {
    /// What attempts book now, in machines, by label of the machine type.
    pub(super) fn bookings(&self, context: &NodeContext) -> BTreeMap<String, f64> {
        let mut booked: BTreeMap<(usize, bool), Resources> = BTreeMap::new();
        for attempt in self.attempts.values().filter(|attempt| attempt.occupies_capacity()) {
            if let Some(instance) = attempt.machine.and_then(|index| self.fleet.machines.get(index)) {
                let kind = (instance.machine_type, instance.is_spot);
                booked.entry(kind).or_default().add(&attempt.demand);
            }
        }
        let machines_of = |((machine_type, is_spot), demand): ((usize, bool), Resources)| {
            let label = machine_type_label(context, machine_type, is_spot);
            (label, demand.dominant_share(&context.machine_types[machine_type].capacity))
        };
        booked.into_iter().map(machines_of).collect()
    }

    /// Adds a sample of the present demand, as booked and as planned.
    pub(super) fn sample(&mut self, context: &NodeContext, plan: &ScaleOutPlan) {
        for (label, machines) in self.bookings(context) {
            self.fleet.window.add_bookings(label, machines);
        }
        for (offer, machines) in plan.iter() {
            let label = machine_type_label(context, offer.machine_type, offer.is_spot);
            self.fleet.window.add_bookings(label, f64::from(machines));
        }
        for machine_type in 0..context.machine_types.len() {
            for is_spot in [false, true] {
                let label = machine_type_label(context, machine_type, is_spot);
                self.fleet.window.count_sample(label);
            }
        }
    }
}
