//! Worlds, and questions about them, that several subjects share.

use crate::support::{Worker, World, job};
use serde_json::json;

/// The id of the job with a number.
pub(crate) fn id(number: u32) -> String {
    format!("run-{number:06}")
}

/// The state of a job on record, as stored: "l" for live, "d" for done, "c" for cancelled;
/// empty without a record.
pub(crate) fn state_of(world: &World, number: u32) -> String {
    let state = world.store.job(&id(number)).and_then(|record| record["s"].as_str());
    state.unwrap_or_default().to_string()
}

/// A world with jobs of long tasks, one in each zone, all of them running.
pub(crate) fn busy(seed: u64, tasks: u32) -> World {
    let mut world = World::new(3, seed);
    world.run_ms = 600_000;
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

/// Tasks of a job that are on machines.
pub(crate) fn on_machines(world: &World, number: u32) -> usize {
    let machines = world.workers.iter().filter(|worker| worker.alive);
    machines.flat_map(|worker| &worker.tasks).filter(|task| task.job == id(number)).count()
}

/// A machine with tasks of the job.
pub(crate) fn machine_of(world: &World, number: u32) -> usize {
    let has_it = |worker: &Worker| worker.tasks.iter().any(|task| task.job == id(number));
    world.workers.iter().position(has_it).expect("no machine runs it")
}

/// Lets the time pass with the cloud out: it takes no machine back, so that nothing but the
/// end of the control lease ends tasks.
pub(crate) fn run_without_cloud(world: &mut World, duration_ms: u64) {
    world.cloud.is_down = true;
    world.run(duration_ms);
    world.cloud.is_down = false;
}
