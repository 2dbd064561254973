//! Makes the scale-out plan: packs the waiting tasks onto capacity that is free, booting or
//! requested, and plans the cheapest machines for the remaining tasks.
//!
//! Called on each poll of the fleet. It does not change the leader's state.

use super::Leader;
use super::fleet::{InstanceOffer, InstancePhase};
use super::free_capacity::{FreeCapacity, may_use};
use super::quota::quota_tasks;
use super::scale_out_plan::ScaleOutPlan;
use super::scheduling_cycle::WaitingJob;
use super::zones::ZoneConstraints;
use crate::core::common::context::NodeContext;
use crate::core::common::placement::is_machine_allowed;
use crate::model::{JobSpec, Resources};
use rustc_hash::{FxHashMap, FxHashSet};

/// Factor on the price of a machine type that other work depends on, for work that also fits on
/// other types.
const SCARCE_TYPE_PRICE_FACTOR: f64 = 2.0;
/// Lower bound of the maximum number of machines in a plan; for a larger fleet the maximum is the
/// size of the fleet. The maximum bounds the time that planning takes, and is more than one
/// window can request.
const MIN_PLAN_LIMIT_MACHINES: usize = 4_000;
/// Maximum relative increase of an offer's cost due to the machines that it already has.
const MAX_SPREAD_PENALTY: f64 = 0.2;
/// Number of machines of an offer at which the increase is half of that maximum.
const HALF_SPREAD_MACHINES: f64 = 20.0;

/// An [`InstanceOffer`] that borrows its zone, so that instances are counted without copies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct OfferKey<'a> {
    machine_type: usize,
    zone: &'a str,
    is_spot: bool,
}

impl Leader {
    /// Returns the machines to be requested for the waiting tasks, chosen by the lowest cost per
    /// task that each would run.
    pub(super) fn plan(&self, context: &NodeContext) -> ScaleOutPlan {
        if self.fleet.waiting.is_empty() {
            return ScaleOutPlan::default();
        }
        let teams = &context.platform.cluster.teams;
        let mut used_by_team = self.usage_by_team(context);
        let mut planner = Planner::new(context, self);
        for WaitingJob { job, tasks } in self.most_constrained_first(context) {
            let Some(live) = self.jobs.get(&job) else { continue };
            let demand = live.spec.demand();
            let used = &mut used_by_team[live.team];
            let count = tasks.min(quota_tasks(&teams[live.team], used, &demand));
            if count == 0 {
                continue;
            }
            used.add(&demand.times(count));
            let mut zones = ZoneConstraints::for_job(context, self, job, &live.spec);
            let unplaced = planner.place_on_upcoming(context, &live.spec, count, &mut zones);
            planner.plan_machines(context, &live.spec, unplaced, &mut zones);
        }
        planner.into_plan()
    }

    /// Whether there is a waiting job that could not run on any instance of the fleet, even an
    /// empty one.
    pub(super) fn has_unschedulable_job(&self, context: &NodeContext) -> bool {
        if self.fleet.waiting.is_empty() {
            return false;
        }
        let instances = self.fleet.instances.values();
        let in_use = instances.filter(|instance| instance.phase < InstancePhase::Draining);
        let offers: FxHashSet<OfferKey> = in_use
            .map(|instance| OfferKey {
                machine_type: instance.machine_type,
                zone: &instance.zone,
                is_spot: instance.is_spot,
            })
            .collect();
        let is_unschedulable =
            |spec: &JobSpec| !offers.iter().any(|offer| can_run(context, spec, offer));
        self.fleet
            .waiting
            .iter()
            .filter_map(|waiting| self.jobs.get(&waiting.job))
            .any(|live| is_unschedulable(&live.spec))
    }

    /// Returns the offers that can be requested now, with the number of instances that each already
    /// has.
    fn open_offers(&self, context: &NodeContext, free_capacity: &mut FreeCapacity) -> Vec<OpenOffer> {
        let mut existing: FxHashMap<OfferKey, u32> = FxHashMap::default();
        for instance in self.fleet.instances.values() {
            let key = OfferKey {
                machine_type: instance.machine_type,
                zone: &instance.zone,
                is_spot: instance.is_spot,
            };
            *existing.entry(key).or_default() += 1;
        }
        let mut offers = Vec::new();
        for (machine_type, catalog_entry) in context.machine_types.iter().enumerate() {
            let capacity = catalog_entry.capacity;
            for zone in &catalog_entry.zones {
                for is_spot in [false, true] {
                    let offer = InstanceOffer { machine_type, zone: zone.clone(), is_spot };
                    if self.fleet.refused_offers.is_refused(&offer, context.clock.now()) {
                        continue;
                    }
                    let key = OfferKey { machine_type, zone, is_spot };
                    offers.push(OpenOffer {
                        offer,
                        class: free_capacity.class_index(machine_type, zone, is_spot, capacity),
                        existing: existing.get(&key).copied().unwrap_or(0),
                        planned: 0,
                        price: if is_spot { catalog_entry.spot_price } else { catalog_entry.price },
                        capacity,
                    });
                }
            }
        }
        offers
    }

    /// Returns the waiting jobs, those that may use the fewest machine types first, and jobs that
    /// may use spot instances after all others.
    ///
    /// If a job that may use spot instances came first, it would take the on-demand capacity that
    /// the others depend on, and no spot instance would be requested for it.
    fn most_constrained_first(&self, context: &NodeContext) -> Vec<WaitingJob> {
        let mut order: Vec<(bool, usize, WaitingJob)> = self
            .fleet
            .waiting
            .iter()
            .filter_map(|waiting| {
                let spec = &self.jobs.get(&waiting.job)?.spec;
                Some((spec.spot, context.machine_types.usable_by(spec).count(), *waiting))
            })
            .collect();
        order.sort_by_key(|(may_use_spot, machine_types, _)| (*may_use_spot, *machine_types));
        order.into_iter().map(|(_, _, waiting)| waiting).collect()
    }
}

/// Whether a task of a job can run on an empty machine of an offer.
fn can_run(context: &NodeContext, spec: &JobSpec, offer: &OfferKey) -> bool {
    context.machine_types.get(offer.machine_type).is_some_and(|machine_type| {
        is_machine_allowed(spec, &machine_type.name, offer.zone, offer.is_spot)
            && spec.demand().fits_within(&machine_type.capacity)
    })
}

/// An offer that the cloud has not refused recently.
#[derive(Debug)]
struct OpenOffer {
    offer: InstanceOffer,
    /// Index of its machine class in the free capacity.
    class: usize,
    /// Number of instances of this offer in the fleet.
    existing: u32,
    planned: u32,
    /// Price per hour.
    price: f64,
    /// Capacity of one machine.
    capacity: Resources,
}

impl OpenOffer {
    /// Returns a factor on the cost that spreads machines over equally cheap offers. It stays small
    /// even for an offer with hundreds of machines, so that cheap offers don't appear expensive.
    fn spread_factor(&self) -> f64 {
        let machines = f64::from(self.existing + self.planned);
        1.0 + MAX_SPREAD_PENALTY * machines / (machines + HALF_SPREAD_MACHINES)
    }
}

/// An offer that a job may use.
struct Candidate {
    /// Index of the offer.
    offer: usize,
    /// Number of the job's tasks that fit on one machine.
    tasks_per_machine: u32,
    /// Price per hour, with the factor for scarce types.
    price: f64,
}

/// State of making a plan.
struct Planner {
    /// Free capacity on existing, upcoming and planned machines.
    free_capacity: FreeCapacity,
    offers: Vec<OpenOffer>,
    /// Number of machines that may still be planned.
    remaining_machines: usize,
}

impl Planner {
    fn new(context: &NodeContext, leader: &Leader) -> Planner {
        let mut free_capacity = leader.upcoming_capacity(context);
        Planner {
            offers: leader.open_offers(context, &mut free_capacity),
            free_capacity,
            remaining_machines: MIN_PLAN_LIMIT_MACHINES.max(leader.fleet.instances.len()),
        }
    }

    /// Returns the plan: the number of planned machines of each offer.
    fn into_plan(self) -> ScaleOutPlan {
        let planned = self.offers.into_iter().filter(|open| open.planned > 0);
        ScaleOutPlan::new(planned.map(|open| (open.offer, open.planned)).collect())
    }

    /// Places tasks of a job on capacity that is free, upcoming or already planned. Returns the
    /// number of tasks that remain.
    fn place_on_upcoming(
        &mut self,
        context: &NodeContext,
        spec: &JobSpec,
        count: u32,
        zones: &mut ZoneConstraints,
    ) -> u32 {
        let demand = spec.demand();
        let mut unplaced = count;
        let fitting =
            self.free_capacity.machines_fitting(&demand, |class| may_use(context, spec, class));
        for machine in fitting {
            if unplaced == 0 {
                break;
            }
            unplaced -= self.free_capacity.pack(machine, &demand, unplaced, zones);
        }
        unplaced
    }

    /// Plans machines for tasks of a job until all are placed, no offer is left, or the plan
    /// has reached its limit.
    fn plan_machines(
        &mut self,
        context: &NodeContext,
        spec: &JobSpec,
        mut unplaced: u32,
        zones: &mut ZoneConstraints,
    ) {
        let demand = spec.demand();
        let candidates = self.candidates(context, spec);
        while unplaced > 0 && self.remaining_machines > 0 {
            let Some(offer) = self.cheapest_offer(&candidates, unplaced, zones) else { break };
            let offer = &mut self.offers[offer];
            offer.planned += 1;
            self.remaining_machines -= 1;
            let machine = self.free_capacity.add_future_machine(offer.class);
            unplaced -= self.free_capacity.pack(machine, &demand, unplaced, zones);
        }
    }

    /// Returns the offers that a job may use.
    fn candidates(&self, context: &NodeContext, spec: &JobSpec) -> Vec<Candidate> {
        let types = &context.machine_types;
        let has_alternative = types.usable_by(spec).any(|machine_type| !types.is_scarce(machine_type));
        let demand = spec.demand();
        let mut candidates = Vec::new();
        for (index, open) in self.offers.iter().enumerate() {
            let InstanceOffer { machine_type, zone, is_spot } = &open.offer;
            let tasks_per_machine = demand.count_fitting(&open.capacity);
            let is_allowed = is_machine_allowed(spec, &types[*machine_type].name, zone, *is_spot);
            if tasks_per_machine == 0 || !is_allowed {
                continue;
            }
            // Prefer a type that no other work depends on.
            let avoids_type = types.is_scarce(*machine_type) && has_alternative;
            let factor = if avoids_type { SCARCE_TYPE_PRICE_FACTOR } else { 1.0 };
            candidates.push(Candidate { offer: index, tasks_per_machine, price: open.price * factor });
        }
        candidates
    }

    /// Returns the offer whose next machine costs the least per task that it would run.
    fn cheapest_offer(
        &self,
        candidates: &[Candidate],
        unplaced: u32,
        zones: &ZoneConstraints,
    ) -> Option<usize> {
        let mut cheapest: Option<(f64, usize)> = None;
        for candidate in candidates {
            let open = &self.offers[candidate.offer];
            if !zones.allows(&open.offer.zone) {
                continue;
            }
            let tasks = f64::from(candidate.tasks_per_machine.min(unplaced));
            let cost = candidate.price / tasks * open.spread_factor();
            if cheapest.is_none_or(|(least, _)| cost < least) {
                cheapest = Some((cost, candidate.offer));
            }
        }
        cheapest.map(|(_, offer)| offer)
    }
}
