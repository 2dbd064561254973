//! Worlds, and questions about them, that several subjects share.

use crate::support::{World, job};
use serde_json::json;

/// A small world in which a leader has been elected.
pub(crate) fn world(seed: u64) -> World {
    let mut world = World::new(3, seed);
    world.run(5_000);
    world
}

/// A world with jobs in both zones, so that several nodes own shards with busy machines.
pub(crate) fn busy_world(seed: u64, tasks: u32) -> World {
    let mut world = world(seed);
    world.run_ms = 600_000;
    for (id, zone) in [(1, "east"), (2, "west")] {
        let mut submission = job(id, "t1", tasks, 600.0);
        submission["yard"] = json!(zone);
        world.accept(0, &submission);
    }
    world.run(40_000);
    assert_eq!(world.oracle.starts.len() as u32, 2 * tasks);
    world
}

/// A busy machine whose shard owner is not the leader.
pub(crate) fn busy_machine(world: &World) -> (usize, usize) {
    let leader = world.leader().unwrap();
    (0..world.workers.len())
        .filter(|index| !world.workers[*index].tasks.is_empty())
        .map(|index| (index, world.shard_owner_of(index)))
        .find(|(_, shard_owner)| *shard_owner != leader)
        .expect("a busy machine of a follower's shard")
}

/// Four idle machines in the east, two with each of n0 and n2; n1 leads.
pub(crate) fn idle_east() -> World {
    for seed in 60..100 {
        let mut world = World::new(3, seed);
        world.run_ms = 60_000;
        world.cloud.capacity = 0;
        for number in 1..5 {
            world.add_worker(number, "east", false, 1_000);
        }
        world.run(9_000);
        if world.leader() == Some(1) {
            return world;
        }
    }
    panic!("n1 never leads");
}
