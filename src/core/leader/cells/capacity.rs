//! Counts the capacity that this cell reports to the other cells.

use super::Cells;
use crate::core::common::context::NodeContext;
use crate::core::leader::Leader;
use crate::core::leader::fleet::InstanceOffer;
use crate::core::leader::free_capacity::{FreeCapacity, MachineClass};
use crate::core::leader::quota::quota_tasks;
use crate::model::{JobSpec, Ms, Resources};
use woadlever_cells::routing::{Amount, ClassCapacity, JobShape};

/// Lower bound on the number of instances of each class that this cell reports as requestable:
/// the maximum of one call to the cloud. A larger fleet is assumed to be able to double.
const MIN_REQUESTABLE_INSTANCES: u32 = 50;
/// Interval between two counts. It is extended for a large fleet, because each count visits all
/// instances.
const REFRESH_INTERVAL_MS: Ms = 1_000;

/// Converts an amount of resources to the form used in messages between cells.
fn amount(resources: &Resources) -> Amount {
    Amount { cpus: resources.cpus, gpus: resources.gpus, memory_gb: resources.memory_gb }
}

/// Returns the resource demand and placement constraints of a job, in the form used between cells.
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
    /// Recounts the capacity. Jobs that wait in this cell take precedence: their demand is reserved
    /// first.
    pub(super) fn refresh_capacity(&mut self, leader: &Leader, context: &NodeContext) {
        let instances = leader.fleet.instances.len();
        let interval = context.load_adjusted_interval(REFRESH_INTERVAL_MS, instances);
        self.timers.capacity.set(context.clock.now() + interval);
        self.usage_by_team = leader.usage_by_team(context);
        self.capacity.clear();
        if !context.operator.cells.accept || context.machine_types.is_empty() {
            return;
        }
        let requestable = MIN_REQUESTABLE_INSTANCES.max(instances as u32);
        self.capacity = upcoming_class_capacity(leader, context, requestable);
        for waiting in &leader.fleet.waiting {
            let Some(job) = leader.jobs.get(&waiting.job) else { continue };
            let shape = JobShape { tasks: waiting.tasks, ..shape_of(&job.spec) };
            shape.reserve(&mut self.capacity);
        }
    }

    /// Whether there is capacity for a job of another cell within its team's quota.
    pub(super) fn has_capacity_for(&self, context: &NodeContext, spec: &JobSpec) -> bool {
        let teams = &context.platform.cluster.teams;
        let Some(team) = teams.iter().position(|team| team.name == spec.team) else { return false };
        let Some(used) = self.usage_by_team.get(team) else { return false };
        let is_within_quota = quota_tasks(&teams[team], used, &spec.demand()) > 0;
        is_within_quota && shape_of(spec).fits_within(&self.capacity, context.operator.cells.fit_share)
    }
}

/// Returns the capacity by class: the free capacity, that of booting or requested instances, and
/// that of `requestable` further instances in each class that the cloud has not refused recently.
pub(super) fn upcoming_class_capacity(
    leader: &Leader,
    context: &NodeContext,
    requestable: u32,
) -> Vec<ClassCapacity> {
    let mut capacity = requestable_capacity(leader, context, requestable);
    add_free_capacity(context, &leader.upcoming_capacity(context), &mut capacity);
    capacity
}

fn add_free_capacity(
    context: &NodeContext,
    free_capacity: &FreeCapacity,
    capacity: &mut [ClassCapacity],
) {
    let position_of = |class: &MachineClass| {
        let name = &context.machine_types[class.machine_type].name;
        capacity.iter().position(|known| {
            known.is_spot == class.is_spot && known.zone == class.zone && known.machine_type == *name
        })
    };
    let positions: Vec<Option<usize>> = free_capacity.classes.iter().map(position_of).collect();
    for machine in &free_capacity.machines {
        let class = positions[machine.class].and_then(|position| capacity.get_mut(position));
        let Some(class) = class else { continue };
        let free = amount(&machine.free);
        class.free.add(&free);
        class.largest_free = Amount {
            cpus: class.largest_free.cpus.max(free.cpus),
            gpus: class.largest_free.gpus.max(free.gpus),
            memory_gb: class.largest_free.memory_gb.max(free.memory_gb),
        };
    }
}

/// Returns the instances that may be requested from the cloud, by class, with no free capacity.
fn requestable_capacity(leader: &Leader, context: &NodeContext, requestable: u32) -> Vec<ClassCapacity> {
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
                    largest_free: Amount::default(),
                    requestable: if is_refused { 0 } else { requestable },
                });
            }
        }
    }
    capacity
}
