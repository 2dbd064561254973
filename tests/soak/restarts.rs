//! Pipelines whose first jobs are done, while all nodes are killed again and again and a share of
//! the store's answers is late.

use crate::faults::Faults;
use crate::support::store_faults::SlowCalls;
use crate::support::{World, job};
use crate::{Cluster, FAULT_PHASE_MS, Outcome, finish};
use rand::RngExt;
use rand::seq::IndexedRandom;
use serde_json::json;

/// Jobs that the first dependents wait for.
const FIRST_JOBS: u32 = 30;
/// Time within which these are done.
const FIRST_JOBS_MS: u64 = 20_000;
const TASKS_PER_JOB: u32 = 4;
/// Maximum number of jobs that a job depends on.
const MAX_DEPENDENCIES: usize = 3;
/// Jobs submitted between two restarts.
const JOBS_PER_RESTART: u32 = 12;
/// Time between two restarts of all nodes, in milliseconds: less than a worker's lease, so that its
/// tasks run on.
const RESTART_INTERVAL_MS: std::ops::Range<u64> = 6_000..18_000;
/// A quarter of all calls is many times slower than the others.
const SLOW_CALLS: SlowCalls = SlowCalls { share: 0.25, delay_ms: 20..500 };

/// Submits a job that depends on a few of the accepted ones.
fn submit_dependent(world: &mut World, number: u32, teams: u32) {
    let mut ids: Vec<String> = world.users.jobs.keys().cloned().collect();
    ids.retain(|id| world.store.job(id).is_some());
    ids.sort();
    let count = world.rng.random_range(1..=MAX_DEPENDENCIES);
    let dependencies: Vec<String> = ids.sample(&mut world.rng, count).cloned().collect();
    let mut submission = job(number, &format!("t{}", number % teams), TASKS_PER_JOB, 10.0);
    submission["awaits"] = json!(dependencies);
    let node = world.rng.random_range(0..world.node_count);
    world.submit(node, &submission);
    world.run(25);
}

/// Runs a seed.
pub fn run_pipelines(cluster: Cluster, seed: u64) -> Outcome {
    let mut world = cluster.start_idle(seed);
    world.task_duration_ms = 2_000;
    for number in 0..FIRST_JOBS {
        let team = format!("t{}", number % cluster.teams.count);
        world.submit(number as usize % cluster.nodes, &job(number, &team, 1, 2.0));
        world.run(25);
    }
    world.run(FIRST_JOBS_MS);
    world.store_faults.slow_calls = Some(SLOW_CALLS);
    let mut faults = Faults::default();
    let mut next_job = FIRST_JOBS;
    let end = world.now + FAULT_PHASE_MS;
    while world.now < end {
        world.task_duration_ms = world.rng.random_range(4_000..30_000);
        for _ in 0..JOBS_PER_RESTART {
            submit_dependent(&mut world, next_job, cluster.teams.count);
            next_job += 1;
        }
        let pause_ms = world.rng.random_range(RESTART_INTERVAL_MS);
        faults.run(&mut world, pause_ms);
        faults.restart_all(&mut world);
    }
    faults.end(&mut world);
    world.store_faults.slow_calls = None;
    world.task_duration_ms = 5_000;
    finish(world, faults.takeovers())
}
