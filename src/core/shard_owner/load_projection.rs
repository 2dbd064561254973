//! Load projection for the machines of this node's shards. The leader scales out based on the
//! number of overloaded machines in the shards.

use super::ShardOwner;
use super::machine::{Machine, Machines};
use super::owned_shard::{OwnedShard, WaitingTaskCount};
use crate::core::common::context::NodeContext;
use crate::core::common::placement;
use crate::core::common::projection::{self, Booking};
use crate::model::{JobSpec, MachineIndex, MachineType, Ms, Resources};
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Load in millionths of a machine's capacity above which the machine is certainly overloaded, so
/// that further waiting tasks make no difference.
const CERTAIN_OVERLOAD_MILLIONTHS: u64 = 3_000_000;

/// Total demand of the waiting tasks that are assigned to each machine for the projection.
type WaitingDemand = FxHashMap<MachineIndex, Resources>;

/// A machine and its load from its attempts and the waiting tasks assigned to it so far.
struct ProjectedMachine<'a> {
    index: MachineIndex,
    machine: &'a Machine,
    machine_type: &'a MachineType,
    load: Resources,
}

impl ProjectedMachine<'_> {
    /// Load in millionths of the machine's capacity.
    fn load_millionths(&self) -> u64 {
        (self.load.dominant_share(&self.machine_type.capacity) * 1e6) as u64
    }

    /// Whether the machine could run a task of the job if it were empty.
    fn suits(&self, spec: &JobSpec) -> bool {
        placement::is_machine_allowed(
            spec,
            &self.machine.type_name,
            &self.machine.zone,
            self.machine.is_spot,
        ) && spec.demand().fits_within(&self.machine_type.capacity)
    }
}

impl ShardOwner {
    /// Updates the projected load of all machines.
    pub(super) fn project_load(&mut self, context: &NodeContext) {
        for shard in self.shards.iter_mut().flatten() {
            let waiting = assign_waiting_tasks(context, shard, &self.machines);
            let mut has_changed = false;
            for (index, machine) in
                self.machines.iter_mut().filter(|(_, machine)| machine.shard == shard.index)
            {
                let waiting_here = waiting.get(&index).copied().unwrap_or_default();
                has_changed |= project_machine(context, machine, &waiting_here);
            }
            shard.has_unreported_changes |= has_changed;
        }
    }
}

/// Updates the projected load of one machine. Returns whether its overload status has changed.
fn project_machine(context: &NodeContext, machine: &mut Machine, waiting: &Resources) -> bool {
    let Some(machine_type) = context.machine_types.index_of(&machine.type_name) else { return false };
    let capacity = &context.machine_types[machine_type].capacity;
    let bookings = bookings_of(machine, context.clock.now());
    let projection = projection::project(&context.operator, capacity, &bookings, waiting);
    let has_changed = projection.overloaded != machine.is_overloaded;
    machine.is_overloaded = projection.overloaded;
    machine.peak_load = projection.peak;
    has_changed
}

fn bookings_of(machine: &Machine, now: Ms) -> Vec<Booking> {
    machine
        .attempts
        .iter()
        .filter(|attempt| !attempt.phase.has_ended())
        .map(|attempt| Booking {
            demand: attempt.demand,
            ran_ms: attempt.run_time_ms(now),
            expected_ms: attempt.expected_ms,
        })
        .collect()
}

/// Assigns each waiting task to one machine: the suitable one with the most free capacity after
/// the tasks assigned before. Returns the demand added to each machine.
fn assign_waiting_tasks(
    context: &NodeContext,
    shard: &OwnedShard,
    machines: &Machines,
) -> WaitingDemand {
    let mut demand = WaitingDemand::default();
    if shard.waiting_tasks.is_empty() {
        return demand;
    }
    let mut projected = projected_machines(context, shard, machines);
    // Positions of the machines that are not certainly overloaded yet. Once there are none,
    // further waiting tasks change nothing.
    let mut open: Vec<usize> = (0..projected.len()).collect();
    for waiting in &shard.waiting_tasks {
        if open.is_empty() {
            break;
        }
        let Some(spec) = context.job(waiting.job).spec.clone() else { continue };
        assign_tasks_of_job(&spec, waiting, &mut projected, &open, &mut demand);
        open.retain(|position| projected[*position].load_millionths() <= CERTAIN_OVERLOAD_MILLIONTHS);
    }
    demand
}

/// Returns the machines of a shard that accept new tasks, loaded with their attempts.
fn projected_machines<'a>(
    context: &'a NodeContext,
    shard: &OwnedShard,
    machines: &'a Machines,
) -> Vec<ProjectedMachine<'a>> {
    let accepts_new_tasks =
        |machine: &Machine| machine.shard == shard.index && machine.accepts_new_tasks(context);
    let mut projected = Vec::new();
    for (index, machine) in machines.iter().filter(|(_, machine)| accepts_new_tasks(machine)) {
        if let Some(machine_type) = context.machine_types.index_of(&machine.type_name) {
            let machine_type = &context.machine_types[machine_type];
            projected.push(ProjectedMachine { index, machine, machine_type, load: machine.used() });
        }
    }
    projected
}

/// Assigns the waiting tasks of one job to the open machines, the least loaded first.
fn assign_tasks_of_job(
    spec: &JobSpec,
    waiting: &WaitingTaskCount,
    projected: &mut [ProjectedMachine<'_>],
    open: &[usize],
    demand: &mut WaitingDemand,
) {
    let task_demand = spec.demand();
    // Ordered by load, then by position.
    let mut least_loaded: BinaryHeap<Reverse<(u64, usize)>> = open
        .iter()
        .filter(|position| projected[**position].suits(spec))
        .map(|position| Reverse((projected[*position].load_millionths(), *position)))
        .collect();
    for _ in 0..waiting.count {
        let Some(Reverse((load, position))) = least_loaded.pop() else { break };
        if load > CERTAIN_OVERLOAD_MILLIONTHS {
            break;
        }
        let machine = &mut projected[position];
        machine.load.add(&task_demand);
        demand.entry(machine.index).or_default().add(&task_demand);
        least_loaded.push(Reverse((machine.load_millionths(), position)));
    }
}
