//! New leaders that read the records of dependencies late, after they have read the placements.

use crate::fixtures::{id, stage, world};
use crate::support::{Worker, World, job};
use serde_json::json;

/// Number of the job that the others depend on. Its key precedes theirs, so that a full read skips
/// its final record and each new process has to look it up.
const DEPENDENCY: u32 = 1;
/// Number of the job whose tasks run across the takeover.
const DEPENDENT: u32 = 2;

/// Number of a job that depends on nothing.
const OTHER: u32 = 3;

/// Returns a world in which the dependency is done and both tasks of the dependent run, each for
/// `duration_ms`.
fn world_with_running_dependent(seed: u64, duration_ms: u64) -> World {
    let mut world = world(seed);
    world.task_duration_ms = 2_000;
    world.accept(0, &stage(DEPENDENCY, &[]));
    assert!(world.until_done(&id(DEPENDENCY), 90_000));
    world.task_duration_ms = duration_ms;
    let mut dependent = stage(DEPENDENT, &[DEPENDENCY]);
    // Two tasks don't fit on one machine, and further attempts get machines of their own.
    dependent["cores"] = json!(16.0);
    world.accept(1, &dependent);
    world.run(20_000);
    // Two further machines are free soon after the takeover.
    world.task_duration_ms = 25_000;
    let mut other = job(OTHER, "t0", 2, 25.0);
    other["cores"] = json!(16.0);
    world.accept(1, &other);
    world.run(20_000);
    assert!((0..2).all(|task| world.oracle.starts.contains_key(&format!("{}/{task}", id(DEPENDENT)))));
    world
}

/// Advances the time while no node reaches the machines that have tasks of the dependent.
fn run_without_its_machines(world: &mut World, duration_ms: u64) {
    let of_dependent = |worker: &Worker| worker.tasks.iter().any(|task| task.job == id(DEPENDENT));
    let machines: Vec<usize> =
        (0..world.workers.len()).filter(|index| of_dependent(&world.workers[*index])).collect();
    for &machine in &machines {
        world.workers[machine].unreachable = true;
    }
    world.run(duration_ms);
    for &machine in &machines {
        world.workers[machine].unreachable = false;
    }
}

/// Restarts all nodes, whose reads of the dependency's record are `delay_ms` late from now on.
fn restart_all_with_late_reads(world: &mut World, delay_ms: u64) {
    world.store_faults.slow_reads.insert(format!("w/job/{}", id(DEPENDENCY)), delay_ms);
    for node in 0..world.node_count {
        world.crash(node, 200);
    }
}

#[test]
fn running_tasks_are_not_started_again_when_a_dependency_is_read_after_the_takeover() {
    let mut broken = Vec::new();
    for (seed, delay_ms) in [(30, 150), (31, 400), (32, 1_000), (33, 5_000)] {
        let mut world = world_with_running_dependent(seed, 70_000);
        restart_all_with_late_reads(&mut world, delay_ms);
        run_without_its_machines(&mut world, 15_000);
        let is_done = world.until_done(&id(DEPENDENT), 120_000);
        if !is_done || !world.each_task_started_once() || !world.oracle.violations.is_empty() {
            broken.push((delay_ms, is_done, world.oracle.starts, world.oracle.violations));
        }
    }
    assert!(broken.is_empty(), "delay in ms, whether done, starts, rules broken: {broken:#?}");
}
