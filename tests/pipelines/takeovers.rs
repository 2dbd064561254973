//! New leaders that read the records of dependencies late, after they have read the placements.

use crate::fixtures::{id, stage, world};
use crate::support::{WorkerTask, World, job};
use serde_json::json;
use woadlever::wire::workers::TaskState;

/// Number of the job that the others depend on. Its key precedes theirs, so that a full read skips
/// its final record and each new process has to look it up.
const DEPENDENCY: u32 = 1;
/// Number of the job whose tasks run across the takeover.
const DEPENDENT: u32 = 2;

/// Number of a job that depends on nothing.
const OTHER: u32 = 3;
/// Number of a job that is submitted after the takeover.
const LATER: u32 = 4;

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

/// Cuts off the machines that have tasks of the dependent.
fn cut_off_its_machines(world: &mut World) {
    let of_dependent = |task: &WorkerTask| task.job == id(DEPENDENT);
    for worker in &mut world.workers {
        worker.unreachable |= worker.tasks.iter().any(of_dependent);
    }
}

fn reach_all_machines(world: &mut World) {
    for worker in &mut world.workers {
        worker.unreachable = false;
    }
}

/// Cancels a job while the machines that have its tasks are cut off.
fn cancel_out_of_reach(world: &mut World, number: u32) {
    cut_off_its_machines(world);
    assert_eq!(world.cancel(0, &id(number)), 200);
}

/// Delays all reads of the record of a job from now on.
fn delay_reads(world: &mut World, number: u32, delay_ms: u64) {
    world.store_faults.slow_reads.insert(format!("w/job/{}", id(number)), delay_ms);
}

fn restart_all(world: &mut World) {
    for node in 0..world.node_count {
        world.crash(node, 200);
    }
}

/// Restarts all nodes, whose reads of the dependency's record are `delay_ms` late from now on.
fn restart_all_with_late_reads(world: &mut World, delay_ms: u64) {
    delay_reads(world, DEPENDENCY, delay_ms);
    restart_all(world);
}

/// Number of tasks of a job that have not ended.
fn running_tasks(world: &World, number: u32) -> usize {
    let tasks = world.workers.iter().filter(|worker| worker.alive).flat_map(|worker| &worker.tasks);
    tasks.filter(|task| task.job == id(number) && task.state != TaskState::Ended).count()
}

/// Submits a job of one small task and returns the time until it starts, in milliseconds.
fn time_to_start(world: &mut World, number: u32) -> u64 {
    let submitted_at = world.now;
    world.submit(0, &job(number, "t1", 1, 10.0));
    while !world.oracle.starts.contains_key(&format!("{}/0", id(number))) {
        world.run(25);
        assert!(world.now < submitted_at + 60_000, "not started within a minute");
    }
    world.now - submitted_at
}

#[test]
fn running_tasks_are_not_started_again_when_a_dependency_is_read_after_the_takeover() {
    let mut broken = Vec::new();
    for (seed, delay_ms) in [(30, 150), (31, 400), (32, 1_000), (33, 5_000)] {
        let mut world = world_with_running_dependent(seed, 70_000);
        restart_all_with_late_reads(&mut world, delay_ms);
        cut_off_its_machines(&mut world);
        world.run(15_000);
        reach_all_machines(&mut world);
        let is_done = world.until_done(&id(DEPENDENT), 120_000);
        if !is_done || !world.each_task_started_once() || !world.oracle.violations.is_empty() {
            broken.push((delay_ms, is_done, world.oracle.starts, world.oracle.violations));
        }
    }
    assert!(broken.is_empty(), "delay in ms, whether done, starts, rules broken: {broken:#?}");
}

#[test]
fn successes_reported_while_a_dependency_is_unread_are_recorded() {
    let mut world = world_with_running_dependent(34, 45_000);
    restart_all_with_late_reads(&mut world, 40_000);
    world.run(30_000);
    assert!(running_tasks(&world, DEPENDENT) == 0, "the tasks have not ended before the read");
    assert!(world.until_done(&id(DEPENDENT), 30_000));
    world.assert_rules_kept();
    assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);
}

#[test]
fn tasks_of_a_cancelled_job_end_when_its_record_is_read_after_the_takeover() {
    for reached_ms in [0, 12_000] {
        let mut world = world_with_running_dependent(35, 200_000);
        cancel_out_of_reach(&mut world, DEPENDENT);
        delay_reads(&mut world, DEPENDENT, 8_000);
        restart_all(&mut world);
        world.run(reached_ms);
        reach_all_machines(&mut world);
        world.run(12_000);
        assert_eq!(running_tasks(&world, DEPENDENT), 0, "reached {reached_ms} ms after the restart");
        assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);
        world.assert_rules_kept();
    }
}

#[test]
fn other_tasks_start_as_early_as_without_an_unread_dependency() {
    let time_to_start = |delay_ms| {
        let mut world = world_with_running_dependent(36, 70_000);
        restart_all_with_late_reads(&mut world, delay_ms);
        world.run(3_000);
        time_to_start(&mut world, LATER)
    };
    assert_eq!(time_to_start(0), time_to_start(20_000));
}

#[test]
fn other_tasks_start_as_early_as_without_an_unread_job_that_has_recorded_attempts() {
    let time_to_start = |delay_ms| {
        let mut world = world_with_running_dependent(37, 200_000);
        cancel_out_of_reach(&mut world, DEPENDENT);
        delay_reads(&mut world, DEPENDENT, delay_ms);
        restart_all(&mut world);
        world.run(3_000);
        time_to_start(&mut world, LATER)
    };
    assert_eq!(time_to_start(0), time_to_start(20_000));
}

#[test]
fn tasks_recorded_as_done_do_not_run_again_when_a_dependency_is_read_after_the_takeover() {
    let mut world = world(38);
    world.task_duration_ms = 2_000;
    world.accept(0, &stage(DEPENDENCY, &[]));
    assert!(world.until_done(&id(DEPENDENCY), 90_000));
    // The quota of the team allows two of the four tasks at a time.
    let mut dependent = stage(DEPENDENT, &[DEPENDENCY]);
    dependent["crew"] = json!("t0");
    dependent["cores"] = json!(16.0);
    dependent["pieces"] = json!(4);
    world.accept(1, &dependent);
    while world.oracle.starts.len() < 4 {
        world.run(25);
    }
    world.task_duration_ms = 60_000;
    world.run(12_000);
    assert_eq!((world.oracle.starts.len(), running_tasks(&world, DEPENDENT)), (6, 2));
    restart_all_with_late_reads(&mut world, 3_000);
    assert!(world.until_done(&id(DEPENDENT), 120_000));
    world.assert_rules_kept();
    assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);
}

#[test]
fn recorded_tasks_of_a_job_without_a_record_are_stopped() {
    let mut world = world_with_running_dependent(39, 200_000);
    restart_all(&mut world);
    world.store.records.remove(&format!("w/job/{}", id(DEPENDENT)));
    world.run(20_000);
    assert_eq!(running_tasks(&world, DEPENDENT), 0);
    assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);
    world.assert_rules_kept();
}
