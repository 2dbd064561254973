//! Free room on machines, by class of machine.

use super::Leader;
use super::zones::Zones;
use crate::core::common::context::NodeContext;
use crate::core::common::window::{allowed, fit_score};
use crate::model::{InstanceIndex, JobSpec, Resources, ShardIndex};
use rustc_hash::FxHashMap;

/// Machines that are alike to a job: same type, zone and kind.
#[derive(Debug, Clone)]
pub struct MachineClass {
    pub machine_type: usize,
    pub zone: String,
    pub is_spot: bool,
    pub total: Resources,
    free_capacity: Vec<usize>,
    /// No room of this class has more free than this.
    most: Resources,
}

/// Free room of one machine, as far as the leader knows.
#[derive(Debug, Clone)]
pub struct FreeMachine {
    pub machine: InstanceIndex,
    pub shard: ShardIndex,
    pub class: usize,
    pub free: Resources,
}

/// All rooms by class, so that a job looks at what it may use and nothing
/// else: with thousands of machines full, most jobs look at no room at all.
#[derive(Debug, Clone, Default)]
pub struct FreeCapacity {
    pub classes: Vec<MachineClass>,
    pub machines: Vec<FreeMachine>,
}

impl FreeCapacity {
    /// The class of machines of a type, zone and kind.
    pub fn class_of(
        &mut self,
        machine_type: usize,
        zone: &str,
        is_spot: bool,
        total: Resources,
    ) -> usize {
        let found = self
            .classes
            .iter()
            .position(|c| c.machine_type == machine_type && c.is_spot == is_spot && c.zone == zone);
        found.unwrap_or_else(|| {
            let most = Resources::default();
            let zone = zone.to_string();
            self.classes.push(MachineClass {
                machine_type,
                zone,
                is_spot,
                total,
                free_capacity: Vec::new(),
                most,
            });
            self.classes.len() - 1
        })
    }

    /// Adds a room (machine, block, free) to its class.
    pub fn push_to(&mut self, class: usize, capacity: (InstanceIndex, ShardIndex, Resources)) {
        let (machine, shard, free) = capacity;
        let c = &mut self.classes[class];
        c.free_capacity.push(self.machines.len());
        c.most = c.most.max(&free);
        self.machines.push(FreeMachine { machine, shard, class, free });
    }

    /// Adds a room (machine, block, free).
    pub fn push(
        &mut self,
        machine_type: usize,
        zone: &str,
        is_spot: bool,
        total: Resources,
        capacity: (InstanceIndex, ShardIndex, Resources),
    ) {
        let class = self.class_of(machine_type, zone, is_spot, total);
        self.push_to(class, capacity);
    }

    /// Rooms with place for one task, of the classes that will do.
    pub fn with_place(
        &mut self,
        demand: &Resources,
        will_do: impl Fn(&MachineClass) -> bool,
    ) -> Vec<usize> {
        let mut out = Vec::new();
        for c in &mut self.classes {
            if !demand.fits_within(&c.most) || !will_do(c) {
                continue;
            }
            c.most = Resources::default();
            for &i in &c.free_capacity {
                let free = &self.machines[i].free;
                c.most = c.most.max(free);
                if demand.fits_within(free) {
                    out.push(i);
                }
            }
        }
        out
    }

    pub fn class(&self, capacity: usize) -> &MachineClass {
        &self.classes[self.machines[capacity].class]
    }
}

/// Whether a job may use machines of this class.
pub fn may_use(context: &NodeContext, spec: &JobSpec, c: &MachineClass) -> bool {
    context.machine_types.get(c.machine_type).is_some_and(|t| allowed(spec, &t.name, &c.zone, c.is_spot))
        && spec.demand().fits_within(&c.total)
}

impl Leader {
    /// Machines that may get tasks now, with what is free on them.
    pub fn free_capacity(&self, context: &NodeContext) -> FreeCapacity {
        let mut used: FxHashMap<InstanceIndex, Resources> = FxHashMap::default();
        for a in self.attempts.values().filter(|a| a.occupies_capacity()) {
            if let Some(m) = a.machine {
                used.entry(m).or_default().add(&a.demand);
            }
        }
        let mut out = FreeCapacity::default();
        for (ix, m) in self.fleet.machines.iter() {
            let Some(b) = self.shards.get(m.shard.place()) else { continue };
            if !b.has_reported || !m.takes_tasks(context) {
                continue;
            }
            let Some(t) = context.machine_types.get(m.machine_type) else { continue };
            let mut free = t.capacity;
            if let Some(u) = used.get(&ix) {
                free.sub(u);
            }
            out.push(m.machine_type, &m.zone, m.is_spot, t.capacity, (ix, m.shard, free));
        }
        out
    }
}

/// Keeps the machine with the most room for a starving job that fits
/// nowhere: small tasks would refill it for ever.
pub fn reserve(context: &NodeContext, free_capacity: &mut FreeCapacity, spec: &JobSpec, zones: &Zones) {
    let will_do: Vec<bool> = free_capacity
        .classes
        .iter()
        .map(|c| may_use(context, spec, c) && zones.allows(&c.zone))
        .collect();
    let free = |r: &FreeMachine| {
        let total = free_capacity.classes[r.class].total;
        1.0 - r.free.dominant_share(&total)
    };
    let best = (0..free_capacity.machines.len())
        .filter(|i| will_do[free_capacity.machines[*i].class])
        .min_by(|a, b| free(&free_capacity.machines[*a]).total_cmp(&free(&free_capacity.machines[*b])));
    let Some(r) = best.map(|i| &mut free_capacity.machines[i]) else { return };
    r.free = Resources::default();
}

/// Rooms for the job's tasks, best fit first.
pub fn best_fit_machines(
    context: &NodeContext,
    free_capacity: &mut FreeCapacity,
    spec: &JobSpec,
    quota: u32,
) -> Vec<usize> {
    if quota == 0 {
        return Vec::new();
    }
    let demand = spec.demand();
    let mut scored: Vec<(f64, usize)> = free_capacity
        .with_place(&demand, |c| may_use(context, spec, c))
        .into_iter()
        .map(|i| {
            let c = free_capacity.class(i);
            let wastes = spec.spot && !c.is_spot;
            let score = fit_score(&demand, &free_capacity.machines[i].free, &c.total, wastes, true);
            let score = score + context.machine_types.scarcity_penalty(c.machine_type);
            (score, i)
        })
        .collect();
    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
    scored.into_iter().map(|(_, i)| i).collect()
}
