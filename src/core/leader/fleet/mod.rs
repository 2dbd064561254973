//! The fleet: the existing instances, the leader's decisions on scale-out and scale-in, and all
//! calls to the cloud. Only the leader has one.
//!
//! The cloud's list of instances lags and may revert to an older state, so it never proves that an
//! instance is gone. Only a confirmed termination or the end of the instance's lease does.
//!
//! [`Leader::poll_fleet`] drives all of this: it sends the cloud call that is due
//! ([`cloud_calls`]) and, at intervals, runs the health checks ([`health_checks`]), makes the plan
//! for the waiting tasks (`leader::scale_out_plan`), and applies either the window rule
//! ([`window_rule`]) or requests one instance for each overloaded instance
//! ([`overload_scale_out`]). Nothing here binds tasks to machines.

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

/// Index that stands for an instance that is not part of the fleet, or not yet.
pub(in crate::core::leader) const NO_INSTANCE: InstanceIndex = InstanceIndex::new(u32::MAX);
/// Interval between two polls of the whole fleet, extended for a large fleet.
const POLL_INTERVAL_MS: Ms = 500;
/// Number of attempts or instances that a poll inspects in the time that one item of a message
/// to a shard owner takes.
const INSPECTED_PER_ITEM: usize = 8;
/// Interval between two checks for overloaded instances or a surge.
const OVERLOAD_CHECK_INTERVAL_MS: Ms = 1_000;
/// Minimum interval between two windows that start early.
const EARLY_WINDOW_INTERVAL_MS: Ms = 4_000;
/// A plan is a surge, which starts a window early, if it has more instances than the size of the
/// fleet divided by this.
const SURGE_DIVISOR: usize = 4;
/// A plan for at most this many instances is no surge: requested one by one, they are still
/// created soon enough.
const MAX_NON_SURGE_INSTANCES: usize = 16;

/// Timers of the periodic work on the whole fleet.
#[derive(Debug, Default)]
struct FleetTimers {
    /// The next poll of the whole fleet.
    poll: Timer,
    /// The next check for overloaded instances or a surge.
    overload: Timer,
    /// No window starts early until this is due.
    early_window: Timer,
}

impl FleetTimers {
    /// Makes all timers due now.
    fn expire(&mut self, now: Ms) {
        self.poll.set(now);
        self.overload.set(now);
        self.early_window.set(now);
    }
}

/// The leader's view of the fleet, and its outstanding requests to the cloud.
pub(crate) struct Fleet {
    /// The known instances.
    pub instances: NamedTable<InstanceIndex, Instance>,
    /// Names of terminated instances, so that stale lists and heartbeats don't add them again.
    terminated: RecentNames,
    /// Jobs with tasks that found no capacity in the last scheduling cycle.
    pub waiting: Vec<WaitingJob>,
    /// Scale-out requests to the cloud that are not settled.
    pub(in crate::core::leader) scale_out: ScaleOutRequests,
    /// Offers that the cloud has refused recently.
    pub(in crate::core::leader) refused_offers: RefusedOffers,
    /// The current forecast window.
    pub(in crate::core::leader) window: ForecastWindow,
    /// When all instances that the previous leader requested are in the list; `None` until the
    /// records have been read.
    predecessor_settled_at: Option<Ms>,
    cloud: CloudCalls,
    timers: FleetTimers,
}

impl Fleet {
    /// Creates a fleet with no known instances.
    pub(crate) fn new(context: &NodeContext) -> Fleet {
        Fleet {
            instances: NamedTable::default(),
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

    /// Marks that there is no previous leader whose requested instances could still appear.
    pub(crate) fn start_without_predecessor(&mut self, context: &NodeContext) {
        self.predecessor_settled_at = Some(context.clock.now());
    }

    /// Continues the window that a previous leader started at the wall-clock time `at_ms`.
    pub(crate) fn resume(&mut self, context: &NodeContext, at_ms: u64, history: History) {
        let now = context.clock.now();
        let age = context.clock.wall().saturating_sub(at_ms);
        self.window.resume(now.saturating_sub(age), history);
        let list_lag = (context.platform.cluster.cloud.list_lag_s * 1000.0) as Ms;
        self.predecessor_settled_at = Some(now + list_lag);
    }

    /// Handles the end of the write of the window's record, whatever its result.
    pub(crate) fn on_window_record_written(&mut self) {
        self.window.on_record_written();
    }

    /// Handles the end of the write of the catalog's record. If it failed, the catalog is read
    /// again.
    pub(crate) fn on_catalog_write_finished(&mut self, now: Ms, is_saved: bool) {
        if !is_saved {
            self.cloud.catalog.on_save_failed(now);
        }
    }

    /// Returns the index of an instance, and adds the instance if it is new. Returns
    /// [`NO_INSTANCE`] if it was terminated, or if its type or zone is unknown.
    pub(crate) fn find_or_add(
        &mut self,
        context: &NodeContext,
        name: &str,
        type_name: &str,
        zone: &str,
        is_spot: bool,
    ) -> InstanceIndex {
        // The instance is nearly always known, because each reported state names every instance of
        // its shard.
        if let Some(index) = self.instances.index_of(name) {
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
        let (index, _) = self.instances.get_or_insert_with(name, new);
        index
    }

    /// Applies a shard owner's report on an instance. Returns the instance's index, see
    /// [`Fleet::find_or_add`].
    pub(crate) fn on_reported_machine(
        &mut self,
        context: &NodeContext,
        reported: &ReportedMachine,
        type_name: &str,
        zone: &str,
    ) -> InstanceIndex {
        let index = self.find_or_add(context, &reported.machine, type_name, zone, reported.spot);
        if let Some(instance) = self.instances.get_mut(index) {
            instance.on_reported(reported, context.clock.now());
        }
        index
    }

    /// Handles the success of a task on an instance, which shows that earlier failures there were
    /// not due to the instance.
    pub(crate) fn on_task_succeeded(&mut self, instance: InstanceIndex) {
        if let Some(instance) = self.instances.get_mut(instance) {
            instance.on_task_succeeded();
        }
    }

    /// Handles the failure of a task whose job is not considered at fault itself: the instance is
    /// quarantined, for longer if tasks of several jobs have failed on it in a row.
    pub(crate) fn on_task_failed(&mut self, now: Ms, instance: InstanceIndex, job: JobIndex) {
        if let Some(instance) = self.instances.get_mut(instance) {
            instance.on_task_failed(job, now);
        }
    }

    /// Handles a refusal that shows that the cloud has no more capacity for an offer. Unsent
    /// requests for the offer are dropped, because they would only use up calls, and the next best
    /// offer is planned for at once. An initial demand of hundreds of instances goes through a
    /// dozen offers this way.
    fn on_offer_refused(&mut self, now: Ms, offer: &InstanceOffer) {
        self.scale_out.drop_unsent(offer);
        self.timers.expire(now);
        self.refused_offers.record_refusal(offer, now);
    }

    /// Whether all existing instances are known, so that none is requested twice.
    fn is_complete(&self, now: Ms) -> bool {
        self.predecessor_settled_at.is_some_and(|at| now >= at) && self.cloud.list.has_completed()
    }

    /// Whether a plan is so large compared with the fleet that requesting one instance for each
    /// overloaded instance would take minutes to meet it.
    fn is_surge(&self, plan: &ScaleOutPlan) -> bool {
        let missing = plan.machines() as usize;
        missing > MAX_NON_SURGE_INSTANCES && missing * SURGE_DIVISOR > self.instances.len()
    }

    /// Returns the offer of a kind with the fewest instances, among those not refused now.
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
    /// Runs what is due: cloud calls, health checks, scale-out and scale-in.
    pub(crate) fn poll_fleet(&mut self, context: &mut NodeContext) {
        self.send_due_cloud_call(context);
        let now = context.clock.now();
        if context.machine_types.is_empty() || !self.fleet.timers.poll.is_due(now) {
            return;
        }
        let inspected = self.fleet.instances.len() + self.attempts.len();
        let interval = context.load_adjusted_interval(POLL_INTERVAL_MS, inspected / INSPECTED_PER_ITEM);
        self.fleet.timers.poll.set(now + interval);
        self.check_health(context);
        self.plans += 1;
        let plan = self.plan(context);
        self.sample_demand(context, &plan);
        if self.fleet.is_complete(now) {
            self.scale(context, plan);
        }
    }

    /// Starts a forecast window if one is due, or else scales out for overloaded instances.
    fn scale(&mut self, context: &mut NodeContext, plan: ScaleOutPlan) {
        let now = context.clock.now();
        let may_start_early = self.fleet.timers.early_window.is_due(now);
        // A waiting task that no present instance could ever run can't overload any, so it
        // causes an early window instead.
        let is_unschedulable = may_start_early && self.has_unschedulable_job(context);
        let length = (context.operator.window_s * 1000.0) as Ms;
        if is_unschedulable || self.fleet.window.is_over(now, length) {
            if is_unschedulable {
                self.fleet.timers.early_window.set(now + EARLY_WINDOW_INTERVAL_MS);
            }
            return self.start_window(context, plan);
        }
        if !self.fleet.timers.overload.is_due(now) {
            return;
        }
        self.fleet.timers.overload.set(now + OVERLOAD_CHECK_INTERVAL_MS);
        if may_start_early && self.fleet.is_surge(&plan) {
            self.fleet.timers.early_window.set(now + EARLY_WINDOW_INTERVAL_MS);
            self.start_window(context, plan);
        } else {
            self.scale_out_for_overload(context, plan);
        }
    }
}

/// Marks a shard as changed, so that its owner is informed of changes to its machines soon.
fn mark_changed(shards: &mut [ShardAssignment], shard: ShardIndex) {
    if let Some(assignment) = shards.get_mut(shard.as_usize()) {
        assignment.dirty = true;
    }
}
