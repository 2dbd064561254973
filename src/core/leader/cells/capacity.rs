//! What this cell has room for, as it tells the others.

use super::Cells;
use crate::core::common::context::NodeContext;
use crate::core::leader::Leader;
use crate::core::leader::fleet::InstanceOffer;
use crate::core::leader::free_capacity::{FreeCapacity, MachineClass};
use crate::core::leader::quota::quota_tasks;
use crate::model::{JobSpec, Ms, Resources};
use woadlever_cells::routing::{Amount, ClassCapacity, JobShape};

/// Machines of each class that may be rented, as is told to other cells, at the least: as
/// many as one call asks for. A larger fleet is taken to be able to double.
const MIN_RENTABLE: u32 = 50;
/// Pause between two looks at all machines; more where there are many.
const REFRESH_MS: Ms = 1_000;

/// An amount as cells speak of it.
fn amount(res: &Resources) -> Amount {
    Amount { cpus: res.cpus, gpus: res.gpus, memory_gb: res.mem }
}

/// What a job needs, as cells speak of it.
pub(super) fn shape_of(spec: &JobSpec) -> JobShape<'_> {
    JobShape {
        demand: amount(&spec.demand()),
        tasks: spec.tasks,
        types: spec.types.as_deref(),
        zone: spec.zone.as_deref(),
        one_zone: spec.one_zone,
        spread: spec.spread,
        allows_spot: spec.spot,
    }
}

impl Cells {
    /// Counts free room anew. What waits here has the first claim on it.
    pub(super) fn refresh_capacity(&mut self, leader: &Leader, context: &NodeContext) {
        self.capacity_at =
            context.clock.now() + context.load_adjusted_gap(REFRESH_MS, leader.fleet.machines.len());
        self.team_use = leader.team_use(context);
        self.capacity.clear();
        if !context.operator.cells.accept || context.machine_types.is_empty() {
            return;
        }
        let machines = MIN_RENTABLE.max(leader.fleet.machines.len() as u32);
        self.capacity = upcoming_class_capacity(leader, context, machines);
        for (job, tasks) in &leader.fleet.waiting {
            let Some(job) = leader.jobs.get(job) else { continue };
            let waiting = JobShape { tasks: *tasks, ..shape_of(&job.spec) };
            waiting.reserve(&mut self.capacity);
        }
    }

    /// Whether a job of another cell finds room here, within its team's limit.
    pub(super) fn has_room_for(&self, context: &NodeContext, spec: &JobSpec) -> bool {
        let teams = &context.platform.cluster.teams;
        let Some(team) = teams.iter().position(|team| team.name == spec.team) else { return false };
        let Some(used) = self.team_use.get(team) else { return false };
        let within_limit = quota_tasks(&teams[team], used, &spec.demand()) > 0;
        within_limit && shape_of(spec).fits_within(&self.capacity, context.operator.cells.fit_share)
    }
}

/// Room by class that is free, or on machines that boot or are asked for, and so many
/// machines to be rented beside them where the cloud has not refused some a moment ago.
pub(super) fn upcoming_class_capacity(
    leader: &Leader,
    context: &NodeContext,
    rentable: u32,
) -> Vec<ClassCapacity> {
    let mut capacity = rentable_capacity(leader, context, rentable);
    add_free_capacity(context, &leader.upcoming_capacity(context), &mut capacity);
    capacity
}

fn add_free_capacity(
    context: &NodeContext,
    free_capacity: &FreeCapacity,
    capacity: &mut [ClassCapacity],
) {
    let place_of = |class: &MachineClass| {
        let name = &context.machine_types[class.machine_type].name;
        let is_it = |known: &ClassCapacity| {
            known.is_spot == class.is_spot && known.zone == class.zone && known.machine_type == *name
        };
        capacity.iter().position(is_it)
    };
    let places: Vec<Option<usize>> = free_capacity.classes.iter().map(place_of).collect();
    for machine in &free_capacity.list {
        let Some(class) = places[machine.class].and_then(|place| capacity.get_mut(place)) else {
            continue;
        };
        let free = amount(&machine.free);
        class.free.add(&free);
        class.largest = Amount {
            cpus: class.largest.cpus.max(free.cpus),
            gpus: class.largest.gpus.max(free.gpus),
            memory_gb: class.largest.memory_gb.max(free.memory_gb),
        };
    }
}

/// Machines that the cloud may have, by class.
fn rentable_capacity(leader: &Leader, context: &NodeContext, rentable: u32) -> Vec<ClassCapacity> {
    let mut capacity = Vec::new();
    for (machine_type, known_type) in context.machine_types.iter().enumerate() {
        for zone in &known_type.zones {
            for is_spot in [false, true] {
                let offer = InstanceOffer { machine_type, zone: zone.clone(), is_spot };
                let is_refused = leader.fleet.refused_offers.is_refused(&offer, context.clock.now());
                capacity.push(ClassCapacity {
                    machine_type: known_type.name.clone(),
                    zone: zone.clone(),
                    is_spot,
                    machine: amount(&known_type.capacity),
                    free: Amount::default(),
                    largest: Amount::default(),
                    rentable: if is_refused { 0 } else { rentable },
                });
            }
        }
    }
    capacity
}
