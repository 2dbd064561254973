//! Jobs with dependencies, and simulated clusters for them, shared by the tests of this program.

use crate::support::{AnnouncedLimits, World, job};
use serde_json::{Value, json};

/// Announced limits of the store, which come into force in some tests.
pub(crate) const ANNOUNCED_LIMITS: AnnouncedLimits =
    AnnouncedLimits { value_kb: 2.0, mutations: 4, mutations_per_s: 15.0 };

/// Returns a small world with announced limits in which a leader has been elected.
pub(crate) fn world(seed: u64) -> World {
    let mut world = World::with_announced_limits(3, seed, ANNOUNCED_LIMITS);
    world.run(5_000);
    world
}

/// Returns the id of the job with this number.
pub(crate) fn id(number: u32) -> String {
    format!("run-{number:06}")
}

/// Returns a submission of a job of two tasks that depends on others.
pub(crate) fn stage(number: u32, awaits: &[u32]) -> Value {
    let mut submission = job(number, "t1", 2, 10.0);
    submission["awaits"] = json!(awaits.iter().map(|dependency| id(*dependency)).collect::<Vec<_>>());
    submission
}

/// Submits a job to a node and returns the status and the body of the answer, or 0 and an empty body
/// without an answer.
pub(crate) fn submit(world: &mut World, node: usize, body: &Value) -> (u16, String) {
    let request = world.submit(node, body);
    world.run(1_500);
    world
        .users
        .answers
        .get(&request)
        .map_or((0, String::new()), |answer| (answer.status, answer.body.clone()))
}

/// Submits five jobs, 1 -> (2, 3) -> 4 -> 5: a fan-out, a fan-in and a chain.
pub(crate) fn accept_pipeline(world: &mut World) {
    for (number, awaits) in [(1, &[][..]), (2, &[1]), (3, &[1]), (4, &[2, 3]), (5, &[4])] {
        world.accept(number as usize % 3, &stage(number, awaits));
    }
}

/// Returns the state of a job as stored in its record: "l" for live, "d" for done, "c" for
/// cancelled; empty without a record.
pub(crate) fn state_of(world: &World, number: u32) -> String {
    let state = world.store.job(&id(number)).and_then(|record| record["s"].as_str());
    state.unwrap_or_default().to_string()
}
