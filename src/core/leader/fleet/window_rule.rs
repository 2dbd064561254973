//! The window rule: at the start of each forecast window the instances of each kind are brought
//! to a target, and idle ones below the drain level are cordoned.

use super::instance::InstancePhase;
use super::offer::InstanceKind;
use super::{Fleet, InstanceOffer, mark_changed};
use crate::core::common::context::NodeContext;
use crate::core::leader::scale_out_plan::ScaleOutPlan;
use crate::core::leader::{FleetRecord, Leader};
use crate::model::InstanceIndex;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeMap;

/// What one application of the window rule works with.
struct WindowScaling {
    /// What the waiting tasks need; requested instances are taken out of it.
    plan: ScaleOutPlan,
    /// Present bookings in whole instances' worth, by the label of the kind.
    bookings: BTreeMap<String, f64>,
    /// Instances that tasks run on.
    busy: FxHashSet<InstanceIndex>,
    /// Instances by offer, those that this window requests among them.
    instances: FxHashMap<InstanceOffer, u32>,
}

impl Leader {
    /// Begins a window: the target of each kind is its forecast, or its present demand if that
    /// is more. Cordoned instances are restored first, the rest is requested; a surplus is
    /// cordoned.
    pub(super) fn start_window(&mut self, context: &mut NodeContext, plan: ScaleOutPlan) {
        self.fleet.window.begin(context.clock.now(), context.operator.season);
        let mut scaling = WindowScaling {
            plan,
            bookings: self.bookings(context),
            busy: self.busy_instances(),
            instances: self.fleet.count_by_offer(),
        };
        let mut counts = BTreeMap::new();
        for kind in InstanceKind::all(context.machine_types.len()) {
            let count = self.scale_kind(context, kind, &mut scaling);
            counts.insert(kind.label(context), count);
        }
        self.cordon_below_drain_level(context);
        tracing::info!(?counts, waiting = self.fleet.waiting.len(), "forecast window started");
        self.record_window(context, counts);
    }

    /// Brings one kind to its target. Returns its usable instances without those that are
    /// newly requested or cordoned.
    fn scale_kind(
        &mut self,
        context: &NodeContext,
        kind: InstanceKind,
        scaling: &mut WindowScaling,
    ) -> u32 {
        let label = kind.label(context);
        let waiting = scaling.plan.machines_of(kind);
        let booked = scaling.bookings.get(&label).copied().unwrap_or(0.0);
        let target = self.fleet.target(context, kind, booked + f64::from(waiting));
        let mut usable = self.fleet.count_usable(kind);
        // Waiting tasks may need instances that bookings don't show, as capacity is free in
        // pieces too small for them.
        let missing = target.max(usable + waiting) - usable;
        let restored = self.uncordon(kind, missing);
        for _ in 0..restored {
            scaling.plan.take(kind);
        }
        usable += restored;
        self.request_instances(context, kind, missing - restored, scaling);
        // Right after an outage nothing is known of what machines could take: idle ones may
        // only not have been heard yet.
        let control_lease_since = context.control_lease.valid_since();
        let is_well_informed = context.clock.now() > control_lease_since + context.fresh_ms;
        if usable > target && waiting == 0 && is_well_informed {
            self.cordon_idle(context, kind, usable - target, &scaling.busy);
        }
        usable
    }

    /// Requests instances of a kind: first what the plan names, then wherever there are the
    /// fewest.
    fn request_instances(
        &mut self,
        context: &NodeContext,
        kind: InstanceKind,
        count: u32,
        scaling: &mut WindowScaling,
    ) {
        for _ in 0..count {
            let planned = scaling.plan.take(kind);
            let offer =
                planned.or_else(|| self.fleet.least_used_offer(context, kind, &scaling.instances));
            let Some(offer) = offer else { break };
            *scaling.instances.entry(offer.clone()).or_default() += 1;
            self.fleet.scale_out.add(offer, context.clock.now());
        }
    }

    /// Instances that tasks run on, or may run on.
    fn busy_instances(&self) -> FxHashSet<InstanceIndex> {
        let running = self.attempts.values().filter(|attempt| attempt.occupies_capacity());
        running.filter_map(|attempt| attempt.machine).collect()
    }

    /// Takes at most `limit` cordoned instances into use again. Returns how many.
    fn uncordon(&mut self, kind: InstanceKind, limit: u32) -> u32 {
        let mut restored = 0;
        let instances = self.fleet.machines.values_mut();
        let cordoned = instances.filter(|instance| instance.is_live(kind) && instance.cordoned);
        for instance in cordoned.take(limit as usize) {
            instance.cordoned = false;
            restored += 1;
            mark_changed(&mut self.shards, instance.shard);
        }
        restored
    }

    /// Cordons at most `limit` surplus instances that nothing runs on.
    fn cordon_idle(
        &mut self,
        context: &NodeContext,
        kind: InstanceKind,
        limit: u32,
        busy: &FxHashSet<InstanceIndex>,
    ) {
        let now = context.clock.now();
        let idle = self.fleet.machines.iter_mut().filter(|(index, instance)| {
            instance.kind() == kind
                && instance.phase == InstancePhase::Ready
                && !instance.cordoned
                && !busy.contains(index)
                && instance.is_past_minimum_charge(now)
        });
        for (_, instance) in idle.take(limit as usize) {
            instance.cordoned = true;
            mark_changed(&mut self.shards, instance.shard);
        }
    }

    /// If all machines are below the drain level, cordons as many as leaves the projected
    /// peaks of all to fill the rest up to that level, those with the lowest peaks first.
    fn cordon_below_drain_level(&mut self, context: &NodeContext) {
        let level = context.operator.drain_level;
        if level <= 0.0 || !self.fleet.waiting.is_empty() {
            return;
        }
        let in_use = self.fleet.machines.iter().filter(|(_, instance)| instance.takes_tasks(context));
        let mut peaks: Vec<(f64, InstanceIndex)> =
            in_use.map(|(index, instance)| (instance.projected_peak, index)).collect();
        if peaks.is_empty() || peaks.iter().any(|(peak, _)| *peak >= level) {
            return;
        }
        peaks.sort_by(|(peak, _), (other, _)| peak.total_cmp(other));
        let kept = (peaks.iter().map(|(peak, _)| peak).sum::<f64>() / level).ceil() as usize;
        let surplus = peaks.len().saturating_sub(kept);
        for (_, index) in peaks.into_iter().take(surplus) {
            let Some(instance) = self.fleet.machines.get_mut(index) else { continue };
            if instance.is_past_minimum_charge(context.clock.now()) {
                instance.cordoned = true;
                mark_changed(&mut self.shards, instance.shard);
            }
        }
    }

    /// Puts the window on record, unless the record of an earlier one is still being written.
    fn record_window(&mut self, context: &mut NodeContext, counts: BTreeMap<String, u32>) {
        if !self.fleet.window.begin_record() {
            return;
        }
        let record = FleetRecord {
            at_ms: context.clock.wall(),
            counts,
            history: self.fleet.window.history().clone(),
            ratios: self.ratios.clone(),
        };
        self.save_fleet(context, record);
    }
}

impl Fleet {
    /// Instances of a kind that the window rule wants, given the present demand for them.
    fn target(&self, context: &NodeContext, kind: InstanceKind, demand: f64) -> u32 {
        let (season, smoothing) = (context.operator.season, context.operator.smoothing);
        let label = kind.label(context);
        let history = self.window.history();
        let mut forecast = history.expect(&label, season, smoothing);
        // Spot instances are kept for what demand strays by.
        if kind.is_spot
            && let Some(forecast) = &mut forecast
        {
            *forecast += context.operator.headroom * history.deviation(&label, smoothing);
        }
        // A forecast of a small part of an instance is no reason to request one; present
        // demand is.
        (demand.ceil() as u32).max(forecast.unwrap_or(0.0).round() as u32)
    }

    /// Instances of a kind that are up, boot or are requested; cordoned ones left out.
    fn count_usable(&self, kind: InstanceKind) -> u32 {
        let in_use = self.machines.values().filter(|m| m.is_live(kind) && !m.cordoned);
        in_use.count() as u32 + self.scale_out.count_instances(kind)
    }

    /// All instances by the offer that they come from.
    fn count_by_offer(&self) -> FxHashMap<InstanceOffer, u32> {
        let mut counts: FxHashMap<InstanceOffer, u32> = FxHashMap::default();
        for instance in self.machines.values() {
            *counts.entry(instance.offer()).or_default() += 1;
        }
        counts
    }
}
