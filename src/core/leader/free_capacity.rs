//! Free capacity on the machines of the fleet, grouped by machine class for bin packing.
//!
//! The scheduling cycle and the scale-out planner each build a [`FreeCapacity`], deduct the tasks
//! that they admit or plan, and drop it. Preemption reads the one of its cycle, and the capacity
//! reported to other cells is computed from one. A [`FreeCapacity`] is never kept between two
//! cycles and never changes an attempt or a machine.

use super::Leader;
use super::fleet::{InstanceOffer, InstancePhase};
use super::zones::ZoneConstraints;
use crate::core::common::context::NodeContext;
use crate::core::common::placement::{PlacementOption, is_machine_allowed};
use crate::model::{InstanceIndex, JobSpec, Resources, ShardIndex};
use rustc_hash::FxHashMap;

/// A group of machines that are interchangeable for every job: they have the same type and zone,
/// and all are spot instances or all are on-demand instances.
#[derive(Debug, Clone)]
pub(super) struct MachineClass {
    /// Index of the machine type in the catalog.
    pub machine_type: usize,
    /// Zone of the machines.
    pub zone: String,
    /// Whether the machines are spot instances.
    pub is_spot: bool,
    /// Capacity of one machine without any task.
    pub total: Resources,
    /// Indices of the class's machines in [`FreeCapacity::machines`].
    members: Vec<usize>,
    /// Upper bound, in each dimension, of the free capacity on any machine of the class.
    largest_free: Resources,
}

/// An instance of the fleet and its shard.
#[derive(Debug, Clone, Copy)]
pub(super) struct InstanceLocation {
    /// The instance.
    pub instance: InstanceIndex,
    /// Its shard.
    pub shard: ShardIndex,
}

/// One machine and its free capacity, as far as the leader knows.
#[derive(Debug, Clone)]
pub(super) struct FreeMachine {
    /// The instance; `None` for a machine that is only requested or planned.
    pub location: Option<InstanceLocation>,
    /// Index of its class in [`FreeCapacity::classes`].
    pub class: usize,
    /// Capacity that no task occupies.
    pub free: Resources,
}

/// Free capacity of a set of machines.
///
/// With thousands of full machines most jobs fit nowhere, so each class keeps an upper bound
/// of its free capacity, by which all its machines are skipped at once.
#[derive(Debug, Clone, Default)]
pub(super) struct FreeCapacity {
    /// The machine classes.
    pub classes: Vec<MachineClass>,
    /// The machines of all classes.
    pub machines: Vec<FreeMachine>,
}

impl FreeCapacity {
    /// Returns the index of the class of a machine type, zone and billing kind (spot or
    /// on-demand), which is added if it is new. `total` is the capacity of one such machine.
    pub(super) fn class_index(
        &mut self,
        machine_type: usize,
        zone: &str,
        is_spot: bool,
        total: Resources,
    ) -> usize {
        let known = self.classes.iter().position(|class| {
            class.machine_type == machine_type && class.is_spot == is_spot && class.zone == zone
        });
        known.unwrap_or_else(|| {
            self.classes.push(MachineClass {
                machine_type,
                zone: zone.to_string(),
                is_spot,
                total,
                members: Vec::new(),
                largest_free: Resources::default(),
            });
            self.classes.len() - 1
        })
    }

    /// Adds an instance of the fleet to a class.
    pub(super) fn add_instance(&mut self, class: usize, location: InstanceLocation, free: Resources) {
        self.add(FreeMachine { location: Some(location), class, free });
    }

    /// Adds an empty machine that is only requested or planned, and returns its index.
    pub(super) fn add_future_machine(&mut self, class: usize) -> usize {
        let free = self.classes[class].total;
        self.add(FreeMachine { location: None, class, free })
    }

    fn add(&mut self, machine: FreeMachine) -> usize {
        let index = self.machines.len();
        let class = &mut self.classes[machine.class];
        class.members.push(index);
        class.largest_free = class.largest_free.max(&machine.free);
        self.machines.push(machine);
        index
    }

    /// Returns the machines that one task fits on, in the classes for which `accepts` is true.
    pub(super) fn machines_fitting(
        &mut self,
        demand: &Resources,
        accepts: impl Fn(&MachineClass) -> bool,
    ) -> Vec<usize> {
        let mut fitting = Vec::new();
        for class in &mut self.classes {
            if !demand.fits_within(&class.largest_free) || !accepts(class) {
                continue;
            }
            class.largest_free = Resources::default();
            for &index in &class.members {
                let free = &self.machines[index].free;
                class.largest_free = class.largest_free.max(free);
                if demand.fits_within(free) {
                    fitting.push(index);
                }
            }
        }
        fitting
    }

    /// Returns the class of a machine.
    pub(super) fn class_of(&self, machine: usize) -> &MachineClass {
        &self.classes[self.machines[machine].class]
    }

    /// Places up to `count` tasks on a machine, as many as fit and as the zone constraints allow,
    /// and deducts them from both. Returns the number of tasks placed.
    pub(super) fn pack(
        &mut self,
        machine: usize,
        demand: &Resources,
        count: u32,
        zones: &mut ZoneConstraints,
    ) -> u32 {
        let machine = &mut self.machines[machine];
        let zone = &self.classes[machine.class].zone;
        let mut placed = 0;
        while placed < count && demand.fits_within(&machine.free) && zones.allows(zone) {
            machine.free.sub(demand);
            zones.count_task(zone);
            placed += 1;
        }
        placed
    }

    /// Returns for each class whether the job and its zone constraints allow its machines.
    pub(super) fn usable_classes(
        &self,
        context: &NodeContext,
        spec: &JobSpec,
        zones: &ZoneConstraints,
    ) -> Vec<bool> {
        let is_usable =
            |class: &MachineClass| may_use(context, spec, class) && zones.allows(&class.zone);
        self.classes.iter().map(is_usable).collect()
    }

    /// Reserves the machine with the most free capacity among those that a job may use, so that
    /// smaller tasks don't refill it before a task of the job fits.
    pub(super) fn reserve_for(
        &mut self,
        context: &NodeContext,
        spec: &JobSpec,
        zones: &ZoneConstraints,
    ) {
        let is_class_usable = self.usable_classes(context, spec, zones);
        let used_share = |machine: &FreeMachine| {
            1.0 - machine.free.dominant_share(&self.classes[machine.class].total)
        };
        let emptiest = (0..self.machines.len())
            .filter(|index| is_class_usable[self.machines[*index].class])
            .min_by(|a, b| used_share(&self.machines[*a]).total_cmp(&used_share(&self.machines[*b])));
        if let Some(index) = emptiest {
            self.machines[index].free = Resources::default();
        }
    }
}

/// Whether tasks of a job may be placed on machines of a class: the job's constraints allow the
/// class, and one task fits on an empty machine.
pub(super) fn may_use(context: &NodeContext, spec: &JobSpec, class: &MachineClass) -> bool {
    let machine_type = context.machine_types.get(class.machine_type);
    machine_type.is_some_and(|known| is_machine_allowed(spec, &known.name, &class.zone, class.is_spot))
        && spec.demand().fits_within(&class.total)
}

/// Returns the machines that one task of a job fits on, the best fit first.
pub(super) fn best_fit_machines(
    context: &NodeContext,
    free_capacity: &mut FreeCapacity,
    spec: &JobSpec,
) -> Vec<usize> {
    let demand = spec.demand();
    let fitting = free_capacity.machines_fitting(&demand, |class| may_use(context, spec, class));
    let cost = |index: usize| {
        let class = free_capacity.class_of(index);
        let option = PlacementOption {
            free: &free_capacity.machines[index].free,
            capacity: &class.total,
            wastes_on_demand: spec.spot && !class.is_spot,
            has_image: true,
        };
        option.fit_cost(&demand) + context.machine_types.scarcity_penalty(class.machine_type)
    };
    let mut scored: Vec<(f64, usize)> = fitting.into_iter().map(|index| (cost(index), index)).collect();
    scored.sort_by(|(left, _), (right, _)| left.total_cmp(right));
    scored.into_iter().map(|(_, index)| index).collect()
}

impl Leader {
    /// Returns the free capacity of the instances that may receive tasks now.
    pub(super) fn free_capacity(&self, context: &NodeContext) -> FreeCapacity {
        let used = self.used_by_instance();
        let mut free_capacity = FreeCapacity::default();
        for (index, instance) in self.fleet.instances.iter() {
            let Some(shard) = self.shards.get(instance.shard.as_usize()) else { continue };
            if !shard.has_reported || !instance.accepts_new_tasks(context) {
                continue;
            }
            let Some(machine_type) = context.machine_types.get(instance.machine_type) else { continue };
            let total = machine_type.capacity;
            let mut free = total;
            if let Some(used) = used.get(&index) {
                free.sub(used);
            }
            let class = free_capacity.class_index(
                instance.machine_type,
                &instance.zone,
                instance.is_spot,
                total,
            );
            let location = InstanceLocation { instance: index, shard: instance.shard };
            free_capacity.add_instance(class, location, free);
        }
        free_capacity
    }

    /// Returns the free capacity including that of instances that are booting or requested.
    pub(super) fn upcoming_capacity(&self, context: &NodeContext) -> FreeCapacity {
        let mut free_capacity = self.free_capacity(context);
        let is_booting = |phase: InstancePhase| phase == InstancePhase::Booting;
        let instances = self.fleet.instances.iter();
        for (index, instance) in instances.filter(|(_, instance)| is_booting(instance.phase)) {
            let Some(machine_type) = context.machine_types.get(instance.machine_type) else { continue };
            let total = machine_type.capacity;
            let class = free_capacity.class_index(
                instance.machine_type,
                &instance.zone,
                instance.is_spot,
                total,
            );
            let location = InstanceLocation { instance: index, shard: instance.shard };
            free_capacity.add_instance(class, location, total);
        }
        for request in self.fleet.scale_out.iter() {
            let InstanceOffer { machine_type, zone, is_spot } = &request.offer;
            let Some(catalog_entry) = context.machine_types.get(*machine_type) else { continue };
            let class = free_capacity.class_index(*machine_type, zone, *is_spot, catalog_entry.capacity);
            for _ in 0..request.count {
                free_capacity.add_future_machine(class);
            }
        }
        free_capacity
    }

    /// Returns the resources that attempts take, or may take, on each instance.
    fn used_by_instance(&self) -> FxHashMap<InstanceIndex, Resources> {
        let mut used: FxHashMap<InstanceIndex, Resources> = FxHashMap::default();
        for attempt in self.attempts.values().filter(|attempt| attempt.occupies_capacity()) {
            if let Some(instance) = attempt.instance {
                used.entry(instance).or_default().add(&attempt.demand);
            }
        }
        used
    }
}
