//! The window rule and the drain that goes with it.

use super::machine::{Instance, InstancePhase};
use super::{Fleet, InstanceOffer, MIN_CHARGE_MS, machine_type_label};
use crate::core::common::context::NodeContext;
use crate::core::leader::scale_out_plan::ScaleOutPlan;
use crate::core::leader::{FleetRecord, Leader};
use crate::model::InstanceIndex;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeMap;

impl Leader {
    /// The window rule: N per kind from the forecast, floored at present
    /// need; isolated machines restored first, the rest rented, or surplus
    /// drained.
    pub(super) fn window_start(&mut self, context: &mut NodeContext, mut plan: ScaleOutPlan) {
        self.fleet.window_at = Some(context.clock.now());
        self.fleet.drained = false;
        let booked: BTreeMap<String, f64> = std::mem::take(&mut self.fleet.booked)
            .into_iter()
            .map(|(k, (sum, n))| (k, if n > 0 { sum / f64::from(n) } else { 0.0 }))
            .collect();
        self.fleet.history.record(&booked, context.operator.season);
        let present = self.bookings(context);
        let busy: FxHashSet<InstanceIndex> =
            self.attempts.values().filter(|a| a.occupies_capacity()).filter_map(|a| a.machine).collect();
        let mut zones = self.fleet.zone_counts();
        let mut counts = BTreeMap::new();
        for machine_type in 0..context.machine_types.len() {
            for is_spot in [false, true] {
                let name = machine_type_label(context, machine_type, is_spot);
                let waiting = plan.machines_of(machine_type, is_spot);
                let booked = present.get(&name).copied().unwrap_or(0.0);
                let target = self.fleet.target(context, &name, is_spot, booked + f64::from(waiting));
                let mut have = self.fleet.usable(machine_type, is_spot);
                // Waiting tasks may need machines that bookings don't show,
                // as room is free in pieces too small for them.
                let wanted = target.max(have + waiting);
                let mut missing = if target > have || waiting > 0 { wanted - have } else { 0 };
                let restored = self.restore_isolated(machine_type, is_spot, missing);
                missing -= restored;
                have += restored;
                (0..restored).for_each(|_| drop(plan.take(machine_type, is_spot)));
                for _ in 0..missing {
                    let planned = plan.take(machine_type, is_spot);
                    let offer =
                        planned.or_else(|| self.fleet.offer(context, machine_type, is_spot, &zones));
                    let Some(offer) = offer else { break };
                    *zones.entry(offer.clone()).or_default() += 1;
                    self.fleet.rent(context, offer);
                }
                // Right after an outage nothing is known of what machines could
                // take: idle ones may only not have been heard yet.
                let heard = context.clock.now() > context.control_lease.valid_since() + context.fresh_ms;
                if have > target && waiting == 0 && heard {
                    self.isolate_idle(context, machine_type, is_spot, have - target, &busy);
                }
                counts.insert(name, have);
            }
        }
        self.drain_low(context);
        tracing::info!(?counts, waiting = self.fleet.waiting.len(), "window");
        self.record_window(context, counts);
    }

    /// Takes isolated machines into use again, `most` at the most; how many.
    fn restore_isolated(&mut self, machine_type: usize, is_spot: bool, most: u32) -> u32 {
        let cordoned = |m: &&mut Instance| m.is_usable(machine_type, is_spot) && m.cordoned;
        let mut restored = 0;
        for m in self.fleet.machines.values_mut().filter(cordoned).take(most as usize) {
            m.cordoned = false;
            restored += 1;
            if let Some(b) = self.shards.get_mut(m.shard.place()) {
                b.dirty = true;
            }
        }
        restored
    }

    /// Isolates surplus machines that nothing runs on, `most` at the most.
    fn isolate_idle(
        &mut self,
        context: &NodeContext,
        machine_type: usize,
        is_spot: bool,
        most: u32,
        busy: &FxHashSet<InstanceIndex>,
    ) {
        let idle = |(ix, m): &(InstanceIndex, &mut Instance)| {
            m.is_usable(machine_type, is_spot)
                && m.phase == InstancePhase::Ready
                && !m.cordoned
                && !busy.contains(ix)
                && context.clock.now() > m.since + MIN_CHARGE_MS - 8_000
        };
        for (_, m) in self.fleet.machines.iter_mut().filter(idle).take(most as usize) {
            m.cordoned = true;
            if let Some(b) = self.shards.get_mut(m.shard.place()) {
                b.dirty = true;
            }
        }
    }

    fn record_window(&mut self, context: &mut NodeContext, counts: BTreeMap<String, u32>) {
        if self.fleet.save_busy {
            return;
        }
        self.fleet.save_busy = true;
        let rec = FleetRecord {
            at_ms: context.clock.wall(),
            counts,
            history: self.fleet.history.clone(),
            ratios: self.ratios.clone(),
        };
        self.save_fleet(context, rec);
    }

    /// Below the drain level everywhere, isolates running machines minus (sum
    /// of projected peaks / level), once per window.
    fn drain_low(&mut self, context: &NodeContext) {
        let level = context.operator.drain_level;
        if level <= 0.0 || self.fleet.drained || !self.fleet.waiting.is_empty() {
            return;
        }
        let mut running: Vec<(f64, InstanceIndex)> = self
            .fleet
            .machines
            .iter()
            .filter(|(_, m)| m.takes_tasks(context))
            .map(|(ix, m)| (m.peak, ix))
            .collect();
        if running.is_empty() || running.iter().any(|(p, _)| *p >= level) {
            return;
        }
        running.sort_by(|a, b| a.0.total_cmp(&b.0));
        let keep = (running.iter().map(|(p, _)| p).sum::<f64>() / level).ceil() as usize;
        self.fleet.drained = true;
        for (_, ix) in running.iter().take(running.len().saturating_sub(keep)) {
            if let Some(m) = self.fleet.machines.get_mut(*ix)
                && context.clock.now() > m.since + MIN_CHARGE_MS - 8_000
            {
                m.cordoned = true;
                if let Some(b) = self.shards.get_mut(m.shard.place()) {
                    b.dirty = true;
                }
            }
        }
    }
}

impl Fleet {
    /// Machines of a kind that the window rule wants, given the present need for them.
    fn target(&self, context: &NodeContext, machine_type: &str, is_spot: bool, demand: f64) -> u32 {
        let mut forecast =
            self.history.expect(machine_type, context.operator.season, context.operator.smoothing);
        // Cheap machines are kept for what demand strays by.
        if is_spot && let Some(forecast) = &mut forecast {
            *forecast += context.operator.headroom
                * self.history.deviation(machine_type, context.operator.smoothing);
        }
        // A forecast of a small part of a machine is no reason to rent
        // one; present need is.
        (demand.ceil() as u32).max(forecast.unwrap_or(0.0).round() as u32)
    }

    /// Machines of a kind that are there, boot or are asked for, isolated ones left out.
    fn usable(&self, machine_type: usize, is_spot: bool) -> u32 {
        let there =
            self.machines.values().filter(|m| m.is_usable(machine_type, is_spot) && !m.cordoned).count();
        let asked = self
            .rents
            .iter()
            .filter(|r| r.offer.machine_type == machine_type && r.offer.is_spot == is_spot);
        there as u32 + asked.map(|r| r.count).sum::<u32>()
    }

    /// Machines by type, zone and kind.
    fn zone_counts(&self) -> FxHashMap<InstanceOffer, u32> {
        let mut counts: FxHashMap<InstanceOffer, u32> = FxHashMap::default();
        for m in self.machines.values() {
            *counts.entry(m.offer()).or_default() += 1;
        }
        counts
    }
}
