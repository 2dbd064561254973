//! The fleet: what is rented, what is to be rented or returned, and all calls
//! to the cloud. Only the leader has one.
//!
//! The machine list lags and may step back, so it never proves that a machine
//! is gone; only a confirmed return does, or the end of its lease. Rental
//! names hold the term and a number and are never used twice.

mod cloud_calls;
mod machine;
mod overload_rents;
mod upkeep;
mod window_rule;

pub use machine::InstancePhase;

use super::Leader;
use super::forecast::History;
use crate::core::common::named_table::NamedTable;
use crate::core::common::recent_names::RecentNames;
use crate::core::common::{context::NodeContext, token_bucket::TokenBucket};
use crate::model::{InstanceIndex, JobIndex, Ms};
use crate::wire::cloud::MachineType;
use crate::wire::peer::{Decommission, ReportedMachine};
use machine::Instance;
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeMap;

/// The index of a machine that is not part of the fleet.
pub(in crate::core::leader) const NO_INSTANCE: InstanceIndex = InstanceIndex::new(u32::MAX);
const LIST_EVERY_MS: Ms = 3_000;
/// Time between two looks at the whole fleet; more where it is large.
const TICK_MS: Ms = 500;
/// Time between two looks for machines to return.
const RETURNS_EVERY_MS: Ms = 100;
const CATALOG_EVERY_MS: Ms = 45_000;
/// Refusals are remembered for so long, doubling up to the second figure.
const REFUSED_MS: Ms = 5_000;
const REFUSED_MAX_MS: Ms = 15_000;
/// A boot that takes this many times the usual is given up.
const BOOT_FACTOR: f64 = 3.5;
/// Need beyond the fleet by one part in so many opens a window.
const SURGE: usize = 4;
/// So few come soon enough one by one.
const SURGE_LEAST: usize = 16;
const QUARANTINE_MS: Ms = 45_000;
/// Nothing may keep work from a machine with room for as long as 90 s.
const QUARANTINE_LONG_MS: Ms = 75_000;
/// Machines are charged for at least a minute, so younger ones stay.
const MIN_CHARGE_MS: Ms = 60_000;

/// What can be rented: spot or ordinary machines of a type, in a zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct InstanceOffer {
    /// Index of the machine type.
    pub machine_type: usize,
    /// The zone.
    pub zone: String,
    /// Whether it is for spot machines.
    pub is_spot: bool,
}

#[derive(Debug)]
pub(in crate::core::leader) struct Rent {
    number: u64,
    pub(in crate::core::leader) offer: InstanceOffer,
    pub(in crate::core::leader) count: u32,
    call: Option<u64>,
    retry_at: Ms,
    /// Sent at least once with unknown outcome: must be settled by name.
    open: bool,
    at: Ms,
}

#[derive(Debug)]
enum CloudCall {
    Catalog,
    List,
    Rent(u64),
    Return(Vec<InstanceIndex>),
}

/// What the leader wants of the machines of a block.
#[derive(Debug, Clone, Default)]
pub struct MachineDirectives {
    /// Machines that get no new tasks until they are drained.
    pub cordoned: Vec<String>,
    /// Machines to be made ready for their return.
    pub decommission: Vec<Decommission>,
    /// Machines that must not get new tasks for now.
    pub quarantined: Vec<String>,
}

pub struct Fleet {
    pub machines: NamedTable<InstanceIndex, Instance>,
    /// Returned; late lists and reports must not bring them back.
    gone: RecentNames,
    pub waiting: Vec<(JobIndex, u32)>,
    history: History,
    pub(in crate::core::leader) booked: BTreeMap<String, (f64, u32)>,
    window_at: Option<Ms>,
    drained: bool,
    settled_at: Ms,
    pub(in crate::core::leader) rents: Vec<Rent>,
    next_rent: u64,
    pub(in crate::core::leader) refused: FxHashMap<InstanceOffer, (Ms, Ms)>,
    calls: FxHashMap<u64, CloudCall>,
    pace: TokenBucket,
    trouble_until: Ms,
    returns_at: Ms,
    list_at: Ms,
    list_page: Option<String>,
    list_seen: FxHashSet<InstanceIndex>,
    listed_once: bool,
    catalog_at: Ms,
    catalog_known: bool,
    catalog_save: Option<Vec<MachineType>>,
    tick_at: Ms,
    plan_at: Ms,
    save_busy: bool,
    early_at: Ms,
}

impl Fleet {
    pub fn new(context: &NodeContext) -> Fleet {
        let rps = context.platform.cluster.cloud.rps;
        Fleet {
            machines: NamedTable::default(),
            gone: RecentNames::new(context.returned_kept()),
            waiting: Vec::new(),
            history: History::default(),
            booked: BTreeMap::new(),
            window_at: None,
            drained: false,
            settled_at: Ms::MAX,
            rents: Vec::new(),
            next_rent: 0,
            refused: FxHashMap::default(),
            calls: FxHashMap::default(),
            pace: TokenBucket::new(rps * 0.85, rps, context.clock.now()),
            trouble_until: 0,
            returns_at: 0,
            list_at: 0,
            list_page: None,
            list_seen: FxHashSet::default(),
            listed_once: false,
            catalog_at: 0,
            catalog_known: false,
            catalog_save: None,
            tick_at: 0,
            plan_at: 0,
            save_busy: false,
            early_at: 0,
        }
    }

    /// A first leader has no predecessor whose rents could still show up.
    pub fn first(&mut self, context: &NodeContext) {
        self.settled_at = context.clock.now();
    }

    pub fn resume(&mut self, context: &NodeContext, at_ms: u64, history: History) {
        self.history = history;
        let age = context.clock.wall().saturating_sub(at_ms);
        self.window_at = Some(context.clock.now().saturating_sub(age));
        // Rents of the former leader show in the list after its lag.
        self.settled_at =
            context.clock.now() + (context.platform.cluster.cloud.list_lag_s * 1000.0) as Ms;
    }

    pub fn saved(&mut self, _ok: bool) {
        self.save_busy = false;
    }

    pub fn catalog_saved(&mut self, now: Ms, ok: bool) {
        if !ok {
            self.catalog_known = false;
            self.catalog_at = now + 1_000;
        }
    }

    pub fn find_or_add(
        &mut self,
        context: &NodeContext,
        name: &str,
        type_name: &str,
        zone: &str,
        is_spot: bool,
    ) -> InstanceIndex {
        // Nearly always it is known: each state message names every machine.
        if let Some(ix) = self.machines.index_of(name) {
            return ix;
        }
        if self.gone.contains(name) {
            return NO_INSTANCE;
        }
        let machine_type = context.machine_types.index_of(type_name);
        let shard = context.shards.shard_of(zone, name);
        let (Some(machine_type), Some(shard)) = (machine_type, shard) else { return NO_INSTANCE };
        let (ix, _) = self.machines.get_or_insert_with(name, || Instance {
            name: name.into(),
            machine_type,
            zone: zone.into(),
            is_spot,
            shard,
            since: context.clock.now(),
            heard: None,
            preemption_notice: false,
            cordoned: false,
            phase: InstancePhase::Booting,
            listed: false,
            recorded: false,
            confirmed: false,
            deaf_since: None,
            starting: false,
            missed: 0,
            overloaded: false,
            peak: 0.0,
            ask: None,
            failed: FxHashSet::default(),
            quarantined_until: 0,
            idle_since: None,
        });
        ix
    }

    /// Takes in what a holder says of a machine.
    pub fn on_reported_machine(
        &mut self,
        context: &NodeContext,
        h: &ReportedMachine,
        type_name: &str,
        zone: &str,
    ) -> InstanceIndex {
        let ix = self.find_or_add(context, &h.machine, type_name, zone, h.spot);
        if let Some(m) = self.machines.get_mut(ix) {
            if h.silent_ms != u64::MAX {
                let at = context.clock.now().saturating_sub(h.silent_ms);
                m.heard = m.heard.max(Some(at));
                if m.phase == InstancePhase::Booting {
                    m.phase = InstancePhase::Ready;
                }
            }
            m.preemption_notice = h.preemption_notice;
            m.confirmed |= h.fenced;
            m.deaf_since = h.unreachable.then(|| m.deaf_since.unwrap_or(context.clock.now()));
            m.overloaded = h.overloaded;
            m.peak = h.peak;
            if h.terminating
                && matches!(
                    m.phase,
                    InstancePhase::Booting | InstancePhase::Ready | InstancePhase::Draining
                )
            {
                m.phase = InstancePhase::Drained;
            }
        }
        ix
    }

    /// What the leader wants of the machines of each block.
    pub fn directives(&self, context: &NodeContext) -> Vec<MachineDirectives> {
        let mut wishes = vec![MachineDirectives::default(); context.shards.len()];
        for m in self.machines.values() {
            let Some(of_block) = wishes.get_mut(m.shard.place()) else { continue };
            if m.cordoned {
                of_block.cordoned.push(m.name.clone());
            }
            if m.quarantined_until > context.clock.now() {
                of_block.quarantined.push(m.name.clone());
            }
            if m.phase >= InstancePhase::Draining {
                of_block.decommission.push(Decommission {
                    machine: m.name.clone(),
                    machine_type: context
                        .machine_types
                        .get(m.machine_type)
                        .map(|t| t.name.clone())
                        .unwrap_or_default(),
                    zone: m.zone.clone(),
                    spot: m.is_spot,
                });
            }
        }
        wishes
    }

    pub fn succeeded(&mut self, machine: InstanceIndex) {
        if let Some(m) = self.machines.get_mut(machine) {
            m.failed.clear();
        }
    }

    /// Tasks of several jobs failing in a row, or one failing while others
    /// have nowhere succeeded, speak against the machine.
    pub fn failed(&mut self, now: Ms, machine: InstanceIndex, job: JobIndex) {
        if let Some(m) = self.machines.get_mut(machine) {
            m.failed.insert(job);
            let long = if m.failed.len() >= 2 { QUARANTINE_LONG_MS } else { QUARANTINE_MS };
            m.quarantined_until = m.quarantined_until.max(now + long);
            tracing::info!(machine = m.name, jobs = m.failed.len(), "task failed; machine quarantined");
        }
    }

    /// No more is to be had of an offer: what else was to be asked of it would
    /// only spend calls, and the next best is planned for at once. A first
    /// demand of hundreds of machines goes through a dozen offers this way.
    fn refuse(&mut self, now: Ms, offer: &InstanceOffer) {
        self.rents.retain(|r| r.offer != *offer || r.call.is_some() || r.open);
        (self.tick_at, self.plan_at, self.early_at) = (now, now, now);
        let wait = self.refused.get(offer).map_or(REFUSED_MS, |(_, w)| (w * 2).min(REFUSED_MAX_MS));
        self.refused.insert(offer.clone(), (now + wait, wait));
    }
}

pub fn machine_type_label(context: &NodeContext, machine_type: usize, is_spot: bool) -> String {
    let name = context.machine_types.get(machine_type).map_or("?", |t| t.name.as_str());
    format!("{name}{}", if is_spot { "+spot" } else { "" })
}

impl Leader {
    pub fn fleet_poll(&mut self, context: &mut NodeContext) {
        self.cloud_calls(context);
        if context.machine_types.is_empty() || context.clock.now() < self.fleet.tick_at {
            return;
        }
        let looked_at = self.fleet.machines.len() + self.attempts.len();
        self.fleet.tick_at = context.clock.now() + context.load_adjusted_gap(TICK_MS, looked_at / 8);
        self.upkeep(context);
        self.plans += 1;
        let plan = self.plan(context);
        self.sample(context, &plan);
        let window = (context.operator.window_s * 1000.0) as Ms;
        let ready = context.clock.now() >= self.fleet.settled_at && self.fleet.listed_once;
        if !ready {
            return;
        }
        // A waiting task that no machine could ever take can't overload one,
        // so it opens a window of its own.
        let has_unschedulable_job =
            self.has_unschedulable_job(context) && context.clock.now() >= self.fleet.early_at;
        if has_unschedulable_job
            || self.fleet.window_at.is_none_or(|at| context.clock.now() >= at + window)
        {
            if has_unschedulable_job {
                self.fleet.early_at = context.clock.now() + 4_000;
            }
            self.window_start(context, plan);
        } else if context.clock.now() >= self.fleet.plan_at {
            self.fleet.plan_at = context.clock.now() + 1000;
            // Present need far beyond the fleet opens a window at once: one
            // rent for each overloaded machine would take minutes to meet it.
            let missing = plan.machines() as usize;
            let surge = missing > SURGE_LEAST && missing * SURGE > self.fleet.machines.len();
            if surge && context.clock.now() >= self.fleet.early_at {
                self.fleet.early_at = context.clock.now() + 4_000;
                self.window_start(context, plan);
            } else {
                self.overload_rents(context, plan);
            }
        }
    }
}

impl Fleet {
    /// Asks for one machine; equal offers share a request.
    fn rent(&mut self, context: &NodeContext, offer: InstanceOffer) -> u64 {
        if let Some(r) = self
            .rents
            .iter_mut()
            .find(|r| r.offer == offer && r.call.is_none() && !r.open && r.count < 50)
        {
            r.count += 1;
            return r.number;
        }
        self.next_rent += 1;
        self.rents.push(Rent {
            number: self.next_rent,
            offer,
            count: 1,
            call: None,
            retry_at: 0,
            open: false,
            at: context.clock.now(),
        });
        self.next_rent
    }

    /// The zone with the fewest machines of a kind that is not refused now.
    fn offer(
        &self,
        context: &NodeContext,
        machine_type: usize,
        is_spot: bool,
        counts: &FxHashMap<InstanceOffer, u32>,
    ) -> Option<InstanceOffer> {
        let offers = context.machine_types.get(machine_type)?.zones.iter().map(|zone| InstanceOffer {
            machine_type,
            zone: zone.clone(),
            is_spot,
        });
        offers
            .filter(|offer| {
                self.refused.get(offer).is_none_or(|(until, _)| *until <= context.clock.now())
            })
            .min_by_key(|offer| counts.get(offer).copied().unwrap_or(0))
    }
}
