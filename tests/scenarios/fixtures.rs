//! Worlds and looks at them that several subjects share.

use crate::support::{World, job};
use serde_json::json;

pub(crate) fn world(seed: u64) -> World {
    let mut w = World::new(3, seed);
    w.run(5_000);
    w
}

/// Jobs in both zones, so that several nodes hold busy machines.
pub(crate) fn busy_world(seed: u64, tasks: u32) -> World {
    let mut w = world(seed);
    w.run_ms = 600_000;
    for (id, zone) in [(1, "east"), (2, "west")] {
        let mut j = job(id, "t1", tasks, 600.0);
        j["yard"] = json!(zone);
        w.accept(0, &j);
    }
    w.run(40_000);
    assert_eq!(w.oracle.starts.len() as u32, 2 * tasks);
    w
}

/// A busy machine whose shard owner is not the leader.
pub(crate) fn busy_machine(w: &World) -> (usize, usize) {
    let leader = w.leader().unwrap();
    (0..w.workers.len())
        .filter(|i| !w.workers[*i].tasks.is_empty())
        .map(|i| (i, w.shard_owner_of(i)))
        .find(|(_, h)| *h != leader)
        .expect("a busy machine held by a follower")
}

/// Four idle machines in the east, two with each of n0 and n2; n1 leads.
pub(crate) fn idle_east() -> World {
    for seed in 60..100 {
        let mut w = World::new(3, seed);
        w.run_ms = 60_000;
        w.cloud.capacity = 0;
        for i in 1..5 {
            w.add_worker(i, "east", false, 1_000);
        }
        w.run(9_000);
        if w.leader() == Some(1) {
            return w;
        }
    }
    panic!("n1 never leads");
}
