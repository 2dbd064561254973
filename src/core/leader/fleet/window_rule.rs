//! The window rule: at the start of each forecast window, scales the instances of each kind to a
//! target, and cordons instances while all instances are below the drain level.

use super::instance::InstancePhase;
use super::offer::InstanceKind;
use super::{Fleet, InstanceOffer, mark_changed};
use crate::core::common::context::NodeContext;
use crate::core::leader::scale_out_plan::ScaleOutPlan;
use crate::core::leader::{FleetRecord, Leader};
use crate::model::InstanceIndex;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeMap;

/// Working state of one application of the window rule.
struct WindowScaling {
    /// Instances that the waiting tasks need. Requested and restored ones are removed from it.
    plan: ScaleOutPlan,
    /// Present bookings in units of one whole instance, by the label of the kind.
    bookings: BTreeMap<String, f64>,
    /// Instances that tasks run on, or may run on.
    busy: FxHashSet<InstanceIndex>,
    /// Number of instances by offer, including those that this window requests.
    instances: FxHashMap<InstanceOffer, u32>,
}

impl Leader {
    /// Starts a window. The target of each kind is its forecast, or its present demand if that is
    /// higher. Cordoned instances are restored first, and the rest is requested. Surplus instances
    /// are cordoned.
    pub(super) fn start_window(&mut self, context: &mut NodeContext, plan: ScaleOutPlan) {
        self.fleet.window.begin(context.clock.now(), context.operator.season_windows);
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

    /// Scales one kind to its target. Returns the number of its usable instances, not counting
    /// newly requested ones but still counting newly cordoned ones.
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
        // Waiting tasks may need instances although the bookings don't show it, because the free
        // capacity is too fragmented for them.
        let missing = target.max(usable + waiting) - usable;
        let restored = self.uncordon(kind, missing);
        for _ in 0..restored {
            scaling.plan.take(kind);
        }
        usable += restored;
        self.request_instances(context, kind, missing - restored, scaling);
        // Right after an outage the load is unknown: an instance may seem idle only because none of
        // its heartbeats has been received yet.
        let control_lease_since = context.control_lease.valid_since();
        let is_load_known = context.clock.now() > control_lease_since + context.max_heartbeat_age_ms;
        if usable > target && waiting == 0 && is_load_known {
            self.cordon_idle(context, kind, usable - target, &scaling.busy);
        }
        usable
    }

    /// Requests instances of a kind: first from the offers in the plan, then from the offer that
    /// has the fewest instances.
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

    /// Returns the instances that tasks run on, or may run on.
    fn busy_instances(&self) -> FxHashSet<InstanceIndex> {
        let running = self.attempts.values().filter(|attempt| attempt.occupies_capacity());
        running.filter_map(|attempt| attempt.instance).collect()
    }

    /// Uncordons at most `limit` instances of a kind. Returns how many.
    fn uncordon(&mut self, kind: InstanceKind, limit: u32) -> u32 {
        let mut restored = 0;
        let instances = self.fleet.instances.values_mut();
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
        let idle = self.fleet.instances.iter_mut().filter(|(index, instance)| {
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

    /// Cordons instances if the projected peaks of all instances are below the drain level. The
    /// fewest instances are kept that can carry the sum of all peaks at that level; those with the
    /// lowest peaks are cordoned first.
    fn cordon_below_drain_level(&mut self, context: &NodeContext) {
        let level = context.operator.drain_level;
        if level <= 0.0 || !self.fleet.waiting.is_empty() {
            return;
        }
        let in_use =
            self.fleet.instances.iter().filter(|(_, instance)| instance.accepts_new_tasks(context));
        let mut peaks: Vec<(f64, InstanceIndex)> =
            in_use.map(|(index, instance)| (instance.projected_peak, index)).collect();
        if peaks.is_empty() || peaks.iter().any(|(peak, _)| *peak >= level) {
            return;
        }
        peaks.sort_by(|(peak, _), (other, _)| peak.total_cmp(other));
        let kept = (peaks.iter().map(|(peak, _)| peak).sum::<f64>() / level).ceil() as usize;
        let surplus = peaks.len().saturating_sub(kept);
        for (_, index) in peaks.into_iter().take(surplus) {
            let Some(instance) = self.fleet.instances.get_mut(index) else { continue };
            if instance.is_past_minimum_charge(context.clock.now()) {
                instance.cordoned = true;
                mark_changed(&mut self.shards, instance.shard);
            }
        }
    }

    /// Records the window, unless the record of an earlier one is still being written.
    fn record_window(&mut self, context: &mut NodeContext, counts: BTreeMap<String, u32>) {
        if !self.fleet.window.try_start_record_write() {
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
    /// Target number of instances of a kind, given the present demand for them.
    fn target(&self, context: &NodeContext, kind: InstanceKind, demand: f64) -> u32 {
        let (season_windows, smoothing) = (context.operator.season_windows, context.operator.smoothing);
        let label = kind.label(context);
        let history = self.window.history();
        let mut forecast = history.forecast(&label, season_windows, smoothing);
        // Spot instances cover deviations of the demand from its forecast.
        if kind.is_spot
            && let Some(forecast) = &mut forecast
        {
            *forecast += context.operator.spot_headroom * history.deviation(&label, smoothing);
        }
        // A forecast of a small fraction of an instance is no reason to request one, so the forecast
        // is rounded to the nearest integer. Any fraction of present demand is, so that is rounded
        // up.
        (demand.ceil() as u32).max(forecast.unwrap_or(0.0).round() as u32)
    }

    /// Number of instances of a kind that are up, booting or requested, without cordoned ones.
    fn count_usable(&self, kind: InstanceKind) -> u32 {
        let in_use =
            self.instances.values().filter(|instance| instance.is_live(kind) && !instance.cordoned);
        in_use.count() as u32 + self.scale_out.count_instances(kind)
    }

    /// Number of all instances by the offer that they belong to.
    fn count_by_offer(&self) -> FxHashMap<InstanceOffer, u32> {
        let mut counts: FxHashMap<InstanceOffer, u32> = FxHashMap::default();
        for instance in self.instances.values() {
            *counts.entry(instance.offer()).or_default() += 1;
        }
        counts
    }
}
