//! Worlds and looks at them that several subjects share.

use crate::support::{Worker, World, job};
use serde_json::json;

pub(crate) fn id(n: u32) -> String {
    format!("run-{n:06}")
}

pub(crate) fn state_of(w: &World, n: u32) -> String {
    let state = w.store.job(&id(n)).and_then(|record| record["s"].as_str());
    state.unwrap_or_default().to_string()
}

/// A world with jobs of long tasks, one in each zone, all of them running.
pub(crate) fn busy(seed: u64, tasks: u32) -> World {
    let mut w = World::new(3, seed);
    w.run_ms = 600_000;
    w.run(5_000);
    for (n, zone) in [(1, "east"), (2, "west")] {
        let mut j = job(n, "t1", tasks, 600.0);
        j["yard"] = json!(zone);
        w.accept(0, &j);
    }
    w.run(40_000);
    assert_eq!(w.oracle.starts.len() as u32, 2 * tasks);
    w
}

/// Tasks of a job that are on machines.
pub(crate) fn on_machines(w: &World, n: u32) -> usize {
    let machines = w.workers.iter().filter(|worker| worker.alive);
    machines.flat_map(|worker| &worker.tasks).filter(|task| task.job == id(n)).count()
}

/// A machine with tasks of the job.
pub(crate) fn machine_of(w: &World, n: u32) -> usize {
    let has_it = |worker: &Worker| worker.tasks.iter().any(|task| task.job == id(n));
    w.workers.iter().position(has_it).expect("no machine runs it")
}

/// Lets the time pass with the cloud out: it takes no machine back, so that nothing but the
/// end of the control lease ends tasks.
pub(crate) fn run_without_cloud(w: &mut World, ms: u64) {
    w.cloud.is_down = true;
    w.run(ms);
    w.cloud.is_down = false;
}
