//! Thousands of machines, and an idle cluster.

use crate::fixtures::world;
use crate::support::{World, ZONES, job};

/// A fleet far larger than ever, through a crash of all nodes at its busiest:
/// all that it asks of the outer systems stays within the settings, machines
/// keep their tasks, and every job completes.
fn fleet_scenario(nodes: usize, machines: usize, jobs: u32, seed: u64) {
    let mut w = World::fleet(nodes, seed);
    w.run_ms = 20_000;
    w.run(5_000);
    for i in 0..machines {
        w.add_worker(i, ZONES[i % 2], false, 100 + (i as u64 * 7) % 5_000);
    }
    w.run(9_000);
    for id in 0..jobs {
        w.submit(id as usize % nodes, &job(id, "t1", 60, 20.0));
        w.run(50);
    }
    w.run(5_000);
    assert!(w.oracle.starts.len() > machines, "{} starts", w.oracle.starts.len());
    for n in 0..nodes {
        w.crash(n, 3_000 + 400 * n as u64);
    }
    let left = |w: &World| {
        let done = |id: &u32| w.store.job(&format!("run-{id:06}")).unwrap()["s"] == "d";
        (0..jobs).filter(|id| !done(id)).count()
    };
    let from = w.now;
    while left(&w) > 0 && w.now < from + 120_000 {
        w.run(500);
    }
    assert_eq!(left(&w), 0, "jobs that did not complete");
    assert!(w.oracle.starts.values().all(|n| *n == 1), "a lease lasted, its tasks did not");
    assert_eq!((w.store.refused, w.cloud.refused), (0, 0));
    assert!(
        w.network.longest_frame < woadlever::wire::peer::MAX_FRAME / 4,
        "{} bytes",
        w.network.longest_frame
    );
    w.fair();
}

#[test]
fn twelve_hundred_machines_on_three_nodes_outlast_a_crash_of_all() {
    fleet_scenario(3, 1_200, 70, 71);
}

#[test]
fn twenty_three_hundred_machines_on_five_nodes_outlast_a_crash_of_all() {
    fleet_scenario(5, 2_300, 80, 72);
}

/// With nothing to do a node costs little: on the smallest machines what it does all
/// the same is the larger part of its processor time.
#[test]
fn an_idle_cluster_asks_and_tells_little() {
    let mut w = world(610);
    w.run(20_000);
    let (requests, frames, calls) = (w.store.requests, w.network.frames, w.cloud.calls);
    w.run(60_000);
    let a_second = |n: u64| n as f64 / 60.0;
    // Watches of two seconds on three nodes, a lease kept, a record a window.
    let requests = a_second(w.store.requests - requests);
    assert!(requests < 3.0, "{requests} requests a second");
    // Two beats a second each way make 12, and two state messages a second both ways for
    // each of two shards that are not the leader's own another 8.
    let frames = a_second(w.network.frames - frames);
    assert!(frames < 21.0, "{frames} frames a second");
    assert!(w.cloud.calls - calls < 25, "{} calls to the cloud", w.cloud.calls - calls);
}
