//! Worlds and helper functions that several modules share.

use crate::support::{Worker, World, job};
use serde_json::json;

/// Returns the id of the job with the given number.
pub(crate) fn id(number: u32) -> String {
    format!("run-{number:06}")
}

/// Returns the recorded state of a job as stored: "l" for live, "d" for done, "c" for cancelled.
/// Empty if there is no record.
pub(crate) fn state_of(world: &World, number: u32) -> String {
    let state = world.store.job(&id(number)).and_then(|record| record["s"].as_str());
    state.unwrap_or_default().to_string()
}

/// Returns a world with one job of long tasks in each zone, with all tasks running.
pub(crate) fn busy_world(seed: u64, tasks: u32) -> World {
    let mut world = World::new(3, seed);
    world.task_duration_ms = 600_000;
    world.run(5_000);
    for (number, zone) in [(1, "east"), (2, "west")] {
        let mut submission = job(number, "t1", tasks, 600.0);
        submission["yard"] = json!(zone);
        world.accept(0, &submission);
    }
    world.run(40_000);
    assert_eq!(world.oracle.starts.len() as u32, 2 * tasks);
    world
}

/// Number of tasks of a job that are on live machines, including ended ones not yet cleared.
pub(crate) fn tasks_on_machines(world: &World, number: u32) -> usize {
    let machines = world.workers.iter().filter(|worker| worker.alive);
    machines.flat_map(|worker| &worker.tasks).filter(|task| task.job == id(number)).count()
}

/// Returns a machine that has tasks of the job.
pub(crate) fn machine_of(world: &World, number: u32) -> usize {
    let has_it = |worker: &Worker| worker.tasks.iter().any(|task| task.job == id(number));
    world.workers.iter().position(has_it).expect("no machine has tasks of the job")
}

/// Advances the time while the cloud is down. Machines can't be terminated meanwhile, so that only
/// the end of the control lease ends tasks.
pub(crate) fn run_without_cloud(world: &mut World, duration_ms: u64) {
    world.cloud.is_down = true;
    world.run(duration_ms);
    world.cloud.is_down = false;
}
