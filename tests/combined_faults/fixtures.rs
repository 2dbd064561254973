//! Worlds and looks at them that several subjects share.

use crate::support::{World, job};
use serde_json::{Value, json};

pub(crate) fn id(n: u32) -> String {
    format!("run-{n:06}")
}

pub(crate) fn status_of(w: &World, req: u64) -> String {
    let Some(a) = w.users.answers.get(&req) else { return "none".into() };
    let v: Value = serde_json::from_str(&a.body).unwrap_or_default();
    v["status"].as_str().map_or(a.status.to_string(), str::to_string)
}

pub(crate) fn state_of(w: &World, n: u32) -> String {
    let rec = w.store.keys.get(&format!("w/job/{}", id(n)));
    rec.and_then(|v| v.0["s"].as_str().map(str::to_string)).unwrap_or_default()
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
    w.workers.iter().filter(|x| x.alive).flat_map(|x| &x.tasks).filter(|t| t.job == id(n)).count()
}

/// A machine with tasks of the job.
pub(crate) fn machine_of(w: &World, n: u32) -> usize {
    w.workers.iter().position(|x| x.tasks.iter().any(|t| t.job == id(n))).expect("no machine runs it")
}

/// The cloud takes nothing back meanwhile, so that nothing but the rules on
/// the end of the control lease makes an end of tasks.
pub(crate) fn run_without_cloud(w: &mut World, ms: u64) {
    w.cloud.is_down = true;
    w.run(ms);
    w.cloud.is_down = false;
}
