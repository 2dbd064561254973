//! What is to be rented for the work that waits: the present need of DESIGN's
//! window rule, and the room that overload rents stay within.

use super::Leader;
use super::fleet::{InstanceOffer, InstancePhase, NO_INSTANCE, machine_type_label};
use super::free_capacity::{FreeCapacity, may_use};
use super::quota::quota_tasks;
use super::zones::Zones;
use crate::core::common::context::NodeContext;
use crate::core::common::window::allowed;
use crate::model::{JobIndex, JobSpec, Resources, ShardIndex};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeMap;

/// What a machine of a type that other work depends on is taken to cost more
/// to work that fits elsewhere.
const SCARCE_COST: f64 = 2.0;
/// Machines that one plan may ask for at the least; it may ask for as many as there are
/// in any case. A bound on the time it takes, beyond what one window can rent.
const MAX_PLAN: usize = 4_000;

impl Leader {
    /// Machines' worth of bookings now, by kind.
    pub(super) fn bookings(&self, context: &NodeContext) -> BTreeMap<String, f64> {
        let mut sums: BTreeMap<(usize, bool), Resources> = BTreeMap::new();
        for a in self.attempts.values().filter(|a| a.occupies_capacity()) {
            if let Some(m) = a.machine.and_then(|m| self.fleet.machines.get(m)) {
                sums.entry((m.machine_type, m.is_spot)).or_default().add(&a.demand);
            }
        }
        sums.into_iter()
            .map(|((k, s), r)| {
                (machine_type_label(context, k, s), r.dominant_share(&context.machine_types[k].capacity))
            })
            .collect()
    }

    pub(super) fn sample(&mut self, context: &NodeContext, plan: &Plan) {
        let now = self.bookings(context);
        for (machine_type, v) in now {
            self.fleet.window.add_bookings(machine_type, v);
        }
        for (offer, n) in plan.iter() {
            let label = machine_type_label(context, offer.machine_type, offer.is_spot);
            self.fleet.window.add_bookings(label, f64::from(n));
        }
        for machine_type in 0..context.machine_types.len() {
            for is_spot in [false, true] {
                let label = machine_type_label(context, machine_type, is_spot);
                self.fleet.window.count_sample(label);
            }
        }
    }

    /// Whether a waiting job could use no machine that there is.
    pub(super) fn has_unschedulable_job(&self, context: &NodeContext) -> bool {
        if self.fleet.waiting.is_empty() {
            return false;
        }
        let there = self.fleet.machines.values().filter(|m| m.phase < InstancePhase::Draining);
        let machine_types: FxHashSet<(usize, &str, bool)> =
            there.map(|m| (m.machine_type, m.zone.as_str(), m.is_spot)).collect();
        self.fleet.waiting.iter().any(|(job, _)| {
            let Some(j) = self.jobs.get(job) else { return false };
            let serves = |(machine_type, zone, is_spot): &(usize, &str, bool)| {
                let t = context.machine_types.get(*machine_type);
                t.is_some_and(|t| {
                    allowed(&j.spec, &t.name, zone, *is_spot) && j.spec.demand().fits_within(&t.capacity)
                })
            };
            !machine_types.iter().any(serves)
        })
    }

    /// Machines that would house the waiting tasks beyond free, booting and
    /// requested room, cheapest for the tasks that each would take.
    pub(super) fn plan(&self, context: &NodeContext) -> Plan {
        if self.fleet.waiting.is_empty() {
            return Plan::default();
        }
        let mut free_capacity = self.upcoming_capacity(context);
        let mut offers = self.offers(context, &mut free_capacity);
        let mut used = self.team_use(context);
        let mut left = MAX_PLAN.max(self.fleet.machines.len());
        for (job, waiting) in self.least_choice_first(context) {
            let Some(j) = self.jobs.get(&job) else { continue };
            let spec = &j.spec;
            let demand = spec.demand();
            let team = &context.platform.cluster.teams[j.team];
            let mut n = waiting.min(quota_tasks(team, &used[j.team], &demand));
            if n == 0 {
                continue;
            }
            let mut zones = Zones::of(context, self, job, spec);
            used[j.team].add(&demand.times(n));
            for i in free_capacity.with_place(&demand, |c| may_use(context, spec, c)) {
                if n == 0 {
                    break;
                }
                n -= put(&mut free_capacity, i, &demand, n, &mut zones);
            }
            let candidates = candidates(context, &offers, spec);
            while n > 0 && left > 0 {
                let Some(best) = cheapest(&offers, &candidates, n, &zones) else { break };
                let offer = &mut offers[best];
                free_capacity.push_to(offer.class, (NO_INSTANCE, ShardIndex::new(0), offer.capacity));
                offer.planned += 1;
                left -= 1;
                let last = free_capacity.list.len() - 1;
                n -= put(&mut free_capacity, last, &demand, n, &mut zones);
            }
        }
        Plan::of(offers)
    }

    /// Rooms that are free, booting or asked for.
    pub(super) fn upcoming_capacity(&self, context: &NodeContext) -> FreeCapacity {
        let mut free_capacity = self.free_capacity(context);
        for (ix, m) in self.fleet.machines.iter().filter(|(_, m)| m.phase == InstancePhase::Booting) {
            if let Some(t) = context.machine_types.get(m.machine_type) {
                free_capacity.push(
                    m.machine_type,
                    &m.zone,
                    m.is_spot,
                    t.capacity,
                    (ix, m.shard, t.capacity),
                );
            }
        }
        for r in self.fleet.scale_out.iter() {
            let Some(t) = context.machine_types.get(r.offer.machine_type) else { continue };
            let class =
                free_capacity.class_of(r.offer.machine_type, &r.offer.zone, r.offer.is_spot, t.capacity);
            for _ in 0..r.count {
                free_capacity.push_to(class, (NO_INSTANCE, ShardIndex::new(0), t.capacity));
            }
        }
        free_capacity
    }

    /// What can be rented now, with the machines that are there already.
    fn offers(&self, context: &NodeContext, free_capacity: &mut FreeCapacity) -> Vec<OpenOffer> {
        let mut have: FxHashMap<(usize, &str, bool), u32> = FxHashMap::default();
        for m in self.fleet.machines.values() {
            *have.entry((m.machine_type, m.zone.as_str(), m.is_spot)).or_default() += 1;
        }
        let mut offers = Vec::new();
        for (machine_type, t) in context.machine_types.iter().enumerate() {
            for zone in &t.zones {
                for is_spot in [false, true] {
                    let offer = InstanceOffer { machine_type, zone: zone.clone(), is_spot };
                    if self.fleet.refused_offers.is_refused(&offer, context.clock.now()) {
                        continue;
                    }
                    offers.push(OpenOffer {
                        class: free_capacity.class_of(machine_type, zone, is_spot, t.capacity),
                        have: have.get(&(machine_type, zone.as_str(), is_spot)).copied().unwrap_or(0),
                        planned: 0,
                        price: if is_spot { t.spot_price } else { t.price },
                        capacity: t.capacity,
                        offer,
                    });
                }
            }
        }
        offers
    }

    /// Waiting jobs with their numbers of tasks. Work with the least choice comes first:
    /// counted onto ordinary machines that are up or coming, work that may use spot ones
    /// would leave the rest without room, and no spot machine would be asked for.
    fn least_choice_first(&self, context: &NodeContext) -> Vec<(JobIndex, u32)> {
        let waiting = self.fleet.waiting.iter();
        let mut order: Vec<(bool, usize, JobIndex, u32)> = waiting
            .filter_map(|&(job, n)| {
                let spec = &self.jobs.get(&job)?.spec;
                Some((spec.spot, context.machine_types.usable_by(spec).count(), job, n))
            })
            .collect();
        order.sort_by_key(|(is_spot, machine_types, _, _)| (*is_spot, *machine_types));
        order.into_iter().map(|(_, _, job, n)| (job, n)).collect()
    }
}

/// An offer that is not refused now.
#[derive(Debug)]
struct OpenOffer {
    offer: InstanceOffer,
    /// Its class among the rooms.
    class: usize,
    have: u32,
    planned: u32,
    price: f64,
    capacity: Resources,
}

/// An offer that a job may use.
struct Candidate {
    index: usize,
    /// Tasks of the job that one machine holds.
    holds: u32,
    price: f64,
}

fn candidates(context: &NodeContext, offers: &[OpenOffer], spec: &JobSpec) -> Vec<Candidate> {
    let elsewhere = context
        .machine_types
        .usable_by(spec)
        .any(|machine_type| !context.machine_types.is_scarce(machine_type));
    let demand = spec.demand();
    let mut found = Vec::new();
    for (index, o) in offers.iter().enumerate() {
        let InstanceOffer { machine_type, zone, is_spot } = &o.offer;
        let holds = demand.count_fitting(&o.capacity);
        if holds == 0 || !allowed(spec, &context.machine_types[*machine_type].name, zone, *is_spot) {
            continue;
        }
        // Rather a type that no other work depends on.
        let is_scarce = context.machine_types.is_scarce(*machine_type) && elsewhere;
        found.push(Candidate {
            index,
            holds,
            price: o.price * if is_scarce { SCARCE_COST } else { 1.0 },
        });
    }
    found
}

/// The offer that costs least for each of the tasks that one machine would take.
fn cheapest(offers: &[OpenOffer], candidates: &[Candidate], n: u32, zones: &Zones) -> Option<usize> {
    let mut best: Option<(f64, usize)> = None;
    for candidate in candidates {
        let o = &offers[candidate.index];
        if !zones.allows(&o.offer.zone) {
            continue;
        }
        let holds = f64::from(candidate.holds.min(n));
        let cost = candidate.price / holds * spread(o.have + o.planned);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, candidate.index));
        }
    }
    best.map(|(_, index)| index)
}

/// Machines to be rented, by offer.
#[derive(Debug, Default)]
pub struct Plan {
    wanted: BTreeMap<InstanceOffer, u32>,
}

impl Plan {
    fn of(offers: Vec<OpenOffer>) -> Plan {
        let planned = offers.into_iter().filter(|o| o.planned > 0);
        Plan { wanted: planned.map(|o| (o.offer, o.planned)).collect() }
    }

    /// Whether nothing is to be rented.
    pub fn is_empty(&self) -> bool {
        self.wanted.is_empty()
    }

    /// Machines in all.
    pub fn machines(&self) -> u32 {
        self.wanted.values().sum()
    }

    /// Machines of one type and kind.
    pub fn machines_of(&self, machine_type: usize, is_spot: bool) -> u32 {
        let of_kind =
            |offer: &&InstanceOffer| offer.machine_type == machine_type && offer.is_spot == is_spot;
        self.wanted.keys().filter(of_kind).map(|offer| self.wanted[offer]).sum()
    }

    /// Offers with their numbers of machines.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceOffer, u32)> {
        self.wanted.iter().map(|(offer, n)| (offer, *n))
    }

    /// Takes one machine of a type and kind out of the plan.
    pub fn take(&mut self, machine_type: usize, is_spot: bool) -> Option<InstanceOffer> {
        let is_it =
            |offer: &&InstanceOffer| offer.machine_type == machine_type && offer.is_spot == is_spot;
        let offer = self.wanted.keys().find(is_it)?.clone();
        self.take_one(&offer);
        Some(offer)
    }

    /// Takes one machine of the first offer out of the plan.
    pub fn take_first(&mut self) -> Option<InstanceOffer> {
        let offer = self.wanted.keys().next()?.clone();
        self.take_one(&offer);
        Some(offer)
    }

    fn take_one(&mut self, offer: &InstanceOffer) {
        if let Some(n) = self.wanted.get_mut(offer) {
            *n -= 1;
            if *n == 0 {
                self.wanted.remove(offer);
            }
        }
    }
}

/// Puts as many of `n` tasks into a room as it takes; how many.
fn put(
    free_capacity: &mut FreeCapacity,
    i: usize,
    demand: &Resources,
    n: u32,
    zones: &mut Zones,
) -> u32 {
    let zone = &free_capacity.classes[free_capacity.list[i].class].zone;
    let free = &mut free_capacity.list[i].free;
    let mut done = 0;
    while done < n && demand.fits_within(free) && zones.allows(zone) {
        free.sub(demand);
        zones.add(zone);
        done += 1;
    }
    done
}

/// Spread over the offers breaks ties; it must not make the cheap look dear
/// where hundreds are rented.
fn spread(have: u32) -> f64 {
    let have = f64::from(have);
    1.0 + 0.2 * have / (have + 20.0)
}
