//! Worlds and helper functions that several modules share.

use crate::support::{World, job};
use serde_json::json;

/// Returns a small world in which a leader has been elected.
pub(crate) fn world(seed: u64) -> World {
    let mut world = World::new(3, seed);
    world.run(5_000);
    world
}

/// Returns a world with running jobs in both zones, so that several nodes own shards with busy
/// machines.
pub(crate) fn busy_world(seed: u64, tasks: u32) -> World {
    let mut world = world(seed);
    world.task_duration_ms = 600_000;
    for (id, zone) in [(1, "east"), (2, "west")] {
        let mut submission = job(id, "t1", tasks, 600.0);
        submission["yard"] = json!(zone);
        world.accept(0, &submission);
    }
    world.run(40_000);
    assert_eq!(world.oracle.starts.len() as u32, 2 * tasks);
    world
}

/// Returns a busy machine whose shard owner is not the leader, and that shard owner.
pub(crate) fn busy_machine(world: &World) -> (usize, usize) {
    let leader = world.leader().unwrap();
    (0..world.workers.len())
        .filter(|index| !world.workers[*index].tasks.is_empty())
        .map(|index| (index, world.shard_owner_of(index)))
        .find(|(_, shard_owner)| *shard_owner != leader)
        .expect("a busy machine of a follower's shard")
}

/// Returns a world that n1 leads, with four idle machines in the east: two in a shard of n0, two in
/// a shard of n2.
pub(crate) fn idle_east() -> World {
    for seed in 60..100 {
        let mut world = World::new(3, seed);
        world.task_duration_ms = 60_000;
        world.cloud.capacity = 0;
        for number in 1..5 {
            world.add_worker(number, "east", false, 1_000);
        }
        world.run(9_000);
        if world.leader() == Some(1) {
            return world;
        }
    }
    panic!("n1 leads with none of the seeds");
}
