//! The scale-out plan: the machines that the waiting tasks need beyond the capacity that is free,
//! booting or requested.
//!
//! The planner makes a new plan on each poll of the fleet. The window rule uses it as the current
//! demand, and scale-out for overloaded instances is limited to it. A plan requests nothing itself;
//! the fleet requests machines and takes them out of the plan.

use super::fleet::{InstanceKind, InstanceOffer};
use std::collections::BTreeMap;

/// Machines to be requested, by offer.
#[derive(Debug, Default)]
pub(super) struct ScaleOutPlan {
    machines: BTreeMap<InstanceOffer, u32>,
}

impl ScaleOutPlan {
    /// Creates a plan from the number of machines of each offer.
    pub(super) fn new(machines: BTreeMap<InstanceOffer, u32>) -> ScaleOutPlan {
        ScaleOutPlan { machines }
    }

    /// Whether the plan contains no machines.
    pub(super) fn is_empty(&self) -> bool {
        self.machines.is_empty()
    }

    /// Total number of machines.
    pub(super) fn machines(&self) -> u32 {
        self.machines.values().sum()
    }

    /// Number of machines of one kind.
    pub(super) fn machines_of(&self, kind: InstanceKind) -> u32 {
        let of_kind = self.iter().filter(|(offer, _)| offer.kind() == kind);
        of_kind.map(|(_, count)| count).sum()
    }

    /// The offers with their numbers of machines.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&InstanceOffer, u32)> {
        self.machines.iter().map(|(offer, count)| (offer, *count))
    }

    /// Takes one machine of a kind out of the plan and returns its offer.
    pub(super) fn take(&mut self, kind: InstanceKind) -> Option<InstanceOffer> {
        let offer = self.machines.keys().find(|offer| offer.kind() == kind)?.clone();
        self.take_one(&offer);
        Some(offer)
    }

    /// Takes one machine of the first offer out of the plan and returns that offer.
    pub(super) fn take_first(&mut self) -> Option<InstanceOffer> {
        let offer = self.machines.keys().next()?.clone();
        self.take_one(&offer);
        Some(offer)
    }

    fn take_one(&mut self, offer: &InstanceOffer) {
        if let Some(count) = self.machines.get_mut(offer) {
            *count -= 1;
            if *count == 0 {
                self.machines.remove(offer);
            }
        }
    }
}
