//! The fleet: the instances that exist, the scale-out and scale-in that the leader decides on,
//! and all calls to the cloud. Only the leader has one.
//!
//! The cloud's list of instances lags and may step back, so it never proves that an instance is
//! gone; only a confirmed termination does, or the end of its lease.
//!
//! [`Leader::poll_fleet`] drives all of it: the cloud calls that are due ([`cloud_calls`]), then,
//! at intervals, health checks ([`health_checks`]), the plan for the waiting tasks
//! (`leader::scale_out_plan`), and from it either the window rule ([`window_rule`]) or one instance for
//! each overloaded machine ([`overload_scale_out`]). Nothing here binds tasks to machines.

mod cloud_calls;
mod directives;
mod forecast_window;
mod health_checks;
mod instance;
mod offer;
mod overload_scale_out;
mod refused_offers;
mod scale_out_requests;
mod window_rule;

pub(super) use instance::InstancePhase;
pub(in crate::core::leader) use offer::InstanceKind;
pub(super) use offer::{InstanceOffer, machine_type_label};

use super::Leader;
use super::forecast::History;
use super::scale_out_plan::ScaleOutPlan;
use super::scheduling_cycle::WaitingJob;
use super::shards::ShardAssignment;
use super::timer::Timer;
use crate::core::common::context::NodeContext;
use crate::core::common::named_table::NamedTable;
use crate::core::common::recent_names::RecentNames;
use crate::model::{InstanceIndex, JobIndex, Ms, ShardIndex};
use crate::wire::peer::ReportedMachine;
use cloud_calls::CloudCalls;
use forecast_window::ForecastWindow;
use instance::Instance;
use refused_offers::RefusedOffers;
use rustc_hash::FxHashMap;
use scale_out_requests::ScaleOutRequests;

/// The index of a machine that is not part of the fleet, or not yet.
pub(in crate::core::leader) const NO_INSTANCE: InstanceIndex = InstanceIndex::new(u32::MAX);
/// Pause between two looks at the whole fleet; more where it is large.
const POLL_GAP_MS: Ms = 500;
/// Attempts or instances that are looked at in the time that one item of a message to a shard
/// owner takes.
const INSPECTED_PER_ITEM: usize = 8;
/// Pause between two looks for overloaded machines or a surge.
const OVERLOAD_GAP_MS: Ms = 1_000;
/// Pause between two windows that begin before their time.
const EARLY_WINDOW_GAP_MS: Ms = 4_000;
/// A plan for more instances than the fleet has, divided by this, opens a window early.
const SURGE_DIVISOR: usize = 4;
/// A plan for no more instances than this opens none: they come soon enough one by one.
const SURGE_MIN: usize = 16;

/// Timers of what the leader does with the whole fleet.
#[derive(Debug, Default)]
struct FleetTimers {
    /// The next look at the whole fleet.
    poll: Timer,
    /// The next look for overloaded machines or a surge.
    overload: Timer,
    /// Before this no window begins ahead of its time.
    early_window: Timer,
}

impl FleetTimers {
    /// Makes everything due now.
    fn expire(&mut self, now: Ms) {
        self.poll.set(now);
        self.overload.set(now);
        self.early_window.set(now);
    }
}

/// The leader's view of the fleet, and what it has under way at the cloud.
pub(crate) struct Fleet {
    /// The instances that exist, as far as is known.
    pub machines: NamedTable<InstanceIndex, Instance>,
    /// Terminated instances; late lists and heartbeats must not bring them back.
    terminated: RecentNames,
    /// Jobs with tasks that found no capacity in the last scheduling cycle.
    pub waiting: Vec<WaitingJob>,
    /// What is asked of the cloud.
    pub(in crate::core::leader) scale_out: ScaleOutRequests,
    /// What the cloud does not have at present.
    pub(in crate::core::leader) refused_offers: RefusedOffers,
    /// The forecast window.
    pub(in crate::core::leader) window: ForecastWindow,
    /// When all that the former leader requested is in the list; none before the records are
    /// read.
    predecessor_settled_at: Option<Ms>,
    cloud: CloudCalls,
    timers: FleetTimers,
}

impl Fleet {
    /// A fleet of which nothing is known yet.
    pub(crate) fn new(context: &NodeContext) -> Fleet {
        Fleet {
            machines: NamedTable::default(),
            terminated: RecentNames::new(context.terminated_names_kept()),
            waiting: Vec::new(),
            scale_out: ScaleOutRequests::default(),
            refused_offers: RefusedOffers::default(),
            window: ForecastWindow::default(),
            predecessor_settled_at: None,
            cloud: CloudCalls::new(context),
            timers: FleetTimers::default(),
        }
    }

    /// A first leader has no predecessor whose requests could still show up.
    pub(crate) fn start_without_predecessor(&mut self, context: &NodeContext) {
        self.predecessor_settled_at = Some(context.clock.now());
    }

    /// Goes on with the window that began at `at_ms`, a time of day, under a former leader.
    pub(crate) fn resume(&mut self, context: &NodeContext, at_ms: u64, history: History) {
        let now = context.clock.now();
        let age = context.clock.wall().saturating_sub(at_ms);
        self.window.resume(now.saturating_sub(age), history);
        let list_lag = (context.platform.cluster.cloud.list_lag_s * 1000.0) as Ms;
        self.predecessor_settled_at = Some(now + list_lag);
    }

    /// The write of the window's record has ended, with whatever result.
    pub(crate) fn on_window_record_written(&mut self) {
        self.window.on_record_written();
    }

    /// The write of the catalog's record has ended. If it failed the catalog is read again.
    pub(crate) fn catalog_saved(&mut self, now: Ms, ok: bool) {
        if !ok {
            self.cloud.catalog.on_save_failed(now);
        }
    }

    /// The index of an instance, which is added if it is new. [`NO_INSTANCE`] if it was
    /// terminated, or if its type or zone is not known.
    pub(crate) fn find_or_add(
        &mut self,
        context: &NodeContext,
        name: &str,
        type_name: &str,
        zone: &str,
        is_spot: bool,
    ) -> InstanceIndex {
        // Nearly always it is known: each reported state names every machine.
        if let Some(index) = self.machines.index_of(name) {
            return index;
        }
        if self.terminated.contains(name) {
            return NO_INSTANCE;
        }
        let machine_type = context.machine_types.index_of(type_name);
        let shard = context.shards.shard_of(zone, name);
        let (Some(machine_type), Some(shard)) = (machine_type, shard) else { return NO_INSTANCE };
        let offer = InstanceOffer { machine_type, zone: zone.into(), is_spot };
        let now = context.clock.now();
        let new = || Instance::new(name, offer, shard, now);
        let (index, _) = self.machines.get_or_insert_with(name, new);
        index
    }

    /// Takes in what a shard owner says of a machine. Returns its index, see
    /// [`Fleet::find_or_add`].
    pub(crate) fn on_reported_machine(
        &mut self,
        context: &NodeContext,
        reported: &ReportedMachine,
        type_name: &str,
        zone: &str,
    ) -> InstanceIndex {
        let index = self.find_or_add(context, &reported.machine, type_name, zone, reported.spot);
        if let Some(instance) = self.machines.get_mut(index) {
            instance.on_reported(reported, context.clock.now());
        }
        index
    }

    /// A task has succeeded on a machine, so earlier failures there say nothing of it.
    pub(crate) fn on_task_succeeded(&mut self, machine: InstanceIndex) {
        if let Some(instance) = self.machines.get_mut(machine) {
            instance.on_task_succeeded();
        }
    }

    /// A task of a job that has succeeded nowhere else has failed on a machine: the machine is
    /// quarantined, for longer if tasks of several jobs failed on it in a row.
    pub(crate) fn on_task_failed(&mut self, now: Ms, machine: InstanceIndex, job: JobIndex) {
        if let Some(instance) = self.machines.get_mut(machine) {
            instance.on_task_failed(job, now);
        }
    }

    /// The cloud has no more of an offer: what else was to be asked of it would only spend
    /// calls, and the next best is planned for at once. A first demand of hundreds of
    /// instances goes through a dozen offers this way.
    fn on_offer_refused(&mut self, now: Ms, offer: &InstanceOffer) {
        self.scale_out.drop_unsent(offer);
        self.timers.expire(now);
        self.refused_offers.record_refusal(offer, now);
    }

    /// Whether all instances that exist are known, so that none is requested twice.
    fn is_complete(&self, now: Ms) -> bool {
        self.predecessor_settled_at.is_some_and(|at| now >= at) && self.cloud.list.has_completed()
    }

    /// Whether a plan is so far beyond the fleet that one request for each overloaded machine
    /// would take minutes to meet it.
    fn is_surge(&self, plan: &ScaleOutPlan) -> bool {
        let missing = plan.machines() as usize;
        missing > SURGE_MIN && missing * SURGE_DIVISOR > self.machines.len()
    }

    /// Of the offers of a kind that are not refused now, the one with the fewest instances.
    fn least_used_offer(
        &self,
        context: &NodeContext,
        kind: InstanceKind,
        counts: &FxHashMap<InstanceOffer, u32>,
    ) -> Option<InstanceOffer> {
        let InstanceKind { machine_type, is_spot } = kind;
        let zones = &context.machine_types.get(machine_type)?.zones;
        zones
            .iter()
            .map(|zone| InstanceOffer { machine_type, zone: zone.clone(), is_spot })
            .filter(|offer| !self.refused_offers.is_refused(offer, context.clock.now()))
            .min_by_key(|offer| counts.get(offer).copied().unwrap_or(0))
    }
}

impl Leader {
    /// Does what is due: cloud calls, health checks, scale-out and scale-in.
    pub(crate) fn poll_fleet(&mut self, context: &mut NodeContext) {
        self.send_due_cloud_call(context);
        let now = context.clock.now();
        if context.machine_types.is_empty() || !self.fleet.timers.poll.is_due(now) {
            return;
        }
        let inspected = self.fleet.machines.len() + self.attempts.len();
        let gap = context.load_adjusted_gap(POLL_GAP_MS, inspected / INSPECTED_PER_ITEM);
        self.fleet.timers.poll.set(now + gap);
        self.check_health(context);
        self.plans += 1;
        let plan = self.plan(context);
        self.sample(context, &plan);
        if self.fleet.is_complete(now) {
            self.scale(context, plan);
        }
    }

    /// Begins a forecast window if one is due, or else requests what overloaded machines need.
    fn scale(&mut self, context: &mut NodeContext, plan: ScaleOutPlan) {
        let now = context.clock.now();
        let may_begin_early = self.fleet.timers.early_window.is_due(now);
        // A waiting task that no machine could ever take can't overload one, so it opens a
        // window of its own.
        let is_unschedulable = may_begin_early && self.has_unschedulable_job(context);
        let length = (context.operator.window_s * 1000.0) as Ms;
        if is_unschedulable || self.fleet.window.is_over(now, length) {
            if is_unschedulable {
                self.fleet.timers.early_window.set(now + EARLY_WINDOW_GAP_MS);
            }
            return self.start_window(context, plan);
        }
        if !self.fleet.timers.overload.is_due(now) {
            return;
        }
        self.fleet.timers.overload.set(now + OVERLOAD_GAP_MS);
        if may_begin_early && self.fleet.is_surge(&plan) {
            self.fleet.timers.early_window.set(now + EARLY_WINDOW_GAP_MS);
            self.start_window(context, plan);
        } else {
            self.scale_out_for_overload(context, plan);
        }
    }
}

/// Lets the owner of a shard be told of changes to its machines soon.
fn mark_changed(shards: &mut [ShardAssignment], shard: ShardIndex) {
    if let Some(assignment) = shards.get_mut(shard.place()) {
        assignment.dirty = true;
    }
}
