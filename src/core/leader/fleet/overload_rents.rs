//! One rent for each overloaded machine.

use super::machine::{Ask, InstancePhase};
use crate::core::common::context::NodeContext;
use crate::core::leader::Leader;
use crate::core::leader::scale_out_plan::ScaleOutPlan;
use crate::model::InstanceIndex;
use rustc_hash::{FxHashMap, FxHashSet};

impl Leader {
    /// One rent for each machine projected overloaded, none more while that
    /// rent is pending or booting, all within the waiting tasks' room.
    pub(super) fn overload_rents(&mut self, context: &mut NodeContext, mut plan: ScaleOutPlan) {
        let asking = self.machines_that_ask();
        if asking.is_empty() || plan.is_empty() {
            return;
        }
        let mut spares = self.isolated_by_kind();
        for ix in asking {
            let Some(offer) = plan.take_first() else { break };
            // Rather one that is isolated than a new one.
            if let Some(spare) = spares.get_mut(&(offer.machine_type, offer.is_spot)).and_then(Vec::pop)
            {
                if let Some(m) = self.fleet.machines.get_mut(spare) {
                    m.cordoned = false;
                }
                continue;
            }
            let number = self.fleet.rent(context, offer);
            if let Some(m) = self.fleet.machines.get_mut(ix) {
                m.ask = Some(Ask::Rent(number));
            }
        }
    }

    /// Overloaded machines whose rent is neither pending nor booting.
    fn machines_that_ask(&mut self) -> Vec<InstanceIndex> {
        let pending: FxHashSet<u64> = self.fleet.rents.iter().map(|r| r.number).collect();
        let is_booting = |(_, m): &(InstanceIndex, &super::Instance)| m.phase == InstancePhase::Booting;
        let booting: FxHashSet<InstanceIndex> =
            self.fleet.machines.iter().filter(is_booting).map(|(ix, _)| ix).collect();
        let mut asking = Vec::new();
        for (ix, m) in self.fleet.machines.iter_mut() {
            let is_open = match m.ask {
                Some(Ask::Rent(number)) => pending.contains(&number),
                Some(Ask::Boot(machine)) => booting.contains(&machine),
                None => false,
            };
            if !is_open {
                m.ask = None;
            }
            if m.overloaded && m.ask.is_none() && m.phase == InstancePhase::Ready {
                asking.push(ix);
            }
        }
        asking
    }

    /// Isolated machines that are up, by type and kind; the oldest last.
    fn isolated_by_kind(&self) -> FxHashMap<(usize, bool), Vec<InstanceIndex>> {
        let mut found: FxHashMap<(usize, bool), Vec<InstanceIndex>> = FxHashMap::default();
        for (ix, m) in
            self.fleet.machines.iter().filter(|(_, m)| m.cordoned && m.phase == InstancePhase::Ready)
        {
            found.entry((m.machine_type, m.is_spot)).or_default().push(ix);
        }
        for list in found.values_mut() {
            list.reverse();
        }
        found
    }
}
