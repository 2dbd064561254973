//! The projected load of the machines of this node's shards. The leader scales out by the
//! shards' overloaded machines.

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

/// A machine's load, in millionths of its capacity, beyond which it is overloaded
/// without doubt.
const SURELY_OVERLOADED: u64 = 3_000_000;

/// Waiting tasks counted on machines, by what they take there.
type WaitingDemand = FxHashMap<MachineIndex, Resources>;

/// A machine with what is counted on it so far.
struct CountedMachine<'a> {
    index: MachineIndex,
    machine: &'a Machine,
    machine_type: &'a MachineType,
    load: Resources,
}

impl CountedMachine<'_> {
    /// Its load in millionths of its capacity.
    fn load_millionths(&self) -> u64 {
        (self.load.dominant_share(&self.machine_type.capacity) * 1e6) as u64
    }

    /// Whether tasks of the job may be there, apart from what else is.
    fn suits(&self, spec: &JobSpec) -> bool {
        placement::allowed(spec, &self.machine.type_name, &self.machine.zone, self.machine.is_spot)
            && spec.demand().fits_within(&self.machine_type.capacity)
    }
}

impl ShardOwner {
    /// Projects the load of all machines.
    pub(super) fn project_load(&mut self, context: &NodeContext) {
        for shard in self.shards.iter_mut().flatten() {
            let waiting = count_waiting_tasks(context, shard, &self.machines);
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

/// Projects the load of one machine; whether it has become overloaded, or no longer is.
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

/// Counts each waiting task once, on its best-fit machine: the one with the most capacity
/// left when earlier ones are counted.
fn count_waiting_tasks(context: &NodeContext, shard: &OwnedShard, machines: &Machines) -> WaitingDemand {
    let mut demand = WaitingDemand::default();
    if shard.waiting_tasks.is_empty() {
        return demand;
    }
    let mut counted = counted_machines(context, shard, machines);
    // Places of the machines that the waiting tasks have not overloaded beyond doubt yet.
    // Once there is none, more waiting tasks change nothing.
    let mut open: Vec<usize> = (0..counted.len()).collect();
    for waiting in &shard.waiting_tasks {
        if open.is_empty() {
            break;
        }
        let Some(spec) = context.job(waiting.job).spec.clone() else { continue };
        count_tasks_of_job(&spec, waiting, &mut counted, &open, &mut demand);
        open.retain(|place| counted[*place].load_millionths() <= SURELY_OVERLOADED);
    }
    demand
}

/// The machines of a shard that take tasks, with what their attempts take.
fn counted_machines<'a>(
    context: &'a NodeContext,
    shard: &OwnedShard,
    machines: &'a Machines,
) -> Vec<CountedMachine<'a>> {
    let takes_tasks = |machine: &Machine| machine.shard == shard.index && machine.takes_tasks(context);
    let mut counted = Vec::new();
    for (index, machine) in machines.iter().filter(|(_, machine)| takes_tasks(machine)) {
        if let Some(machine_type) = context.machine_types.index_of(&machine.type_name) {
            let machine_type = &context.machine_types[machine_type];
            counted.push(CountedMachine { index, machine, machine_type, load: machine.used() });
        }
    }
    counted
}

/// Counts the waiting tasks of one job on the open machines, the least loaded first.
fn count_tasks_of_job(
    spec: &JobSpec,
    waiting: &WaitingTaskCount,
    counted: &mut [CountedMachine<'_>],
    open: &[usize],
    demand: &mut WaitingDemand,
) {
    let task_demand = spec.demand();
    // By load, then by place.
    let mut least_loaded: BinaryHeap<Reverse<(u64, usize)>> = open
        .iter()
        .filter(|place| counted[**place].suits(spec))
        .map(|place| Reverse((counted[*place].load_millionths(), *place)))
        .collect();
    for _ in 0..waiting.count {
        let Some(Reverse((load, place))) = least_loaded.pop() else { break };
        if load > SURELY_OVERLOADED {
            break;
        }
        let machine = &mut counted[place];
        machine.load.add(&task_demand);
        demand.entry(machine.index).or_default().add(&task_demand);
        least_loaded.push(Reverse((machine.load_millionths(), place)));
    }
}
