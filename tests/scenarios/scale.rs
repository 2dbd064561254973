//! Thousands of machines, and an idle cluster.

use crate::fixtures::world;
use crate::support::{World, ZONES, job};

/// A fleet far larger than ever, through a crash of all nodes at its busiest:
/// all that it asks of the outer systems stays within the settings, machines
/// keep their tasks, and every job completes.
fn fleet_scenario(nodes: usize, machines: usize, jobs: u32, seed: u64) {
    let mut world = World::fleet(nodes, seed);
    world.run_ms = 20_000;
    world.run(5_000);

    for number in 0..machines {
        world.add_worker(number, ZONES[number % 2], false, 100 + (number as u64 * 7) % 5_000);
    }
    world.run(9_000);
    for id in 0..jobs {
        world.submit(id as usize % nodes, &job(id, "t1", 60, 20.0));
        world.run(50);
    }
    world.run(5_000);
    assert!(world.oracle.starts.len() > machines, "{} starts", world.oracle.starts.len());

    for node in 0..nodes {
        world.crash(node, 3_000 + 400 * node as u64);
    }
    let left = |world: &World| {
        let done = |id: &u32| world.store.job(&format!("run-{id:06}")).unwrap()["s"] == "d";
        (0..jobs).filter(|id| !done(id)).count()
    };
    let from = world.now;
    while left(&world) > 0 && world.now < from + 120_000 {
        world.run(500);
    }
    assert_eq!(left(&world), 0, "jobs that did not complete");
    assert!(world.each_task_started_once(), "a lease lasted, its tasks did not");
    assert_eq!((world.store.refused, world.cloud.refused), (0, 0));
    assert!(
        world.network.longest_frame < woadlever::wire::peer::MAX_FRAME / 4,
        "{} bytes",
        world.network.longest_frame
    );
    world.assert_rules_kept();
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
    let mut world = world(610);
    world.run(20_000);
    let (requests, frames, calls) = (world.store.requests, world.network.frames, world.cloud.calls);
    world.run(60_000);
    let per_second = |count: u64| count as f64 / 60.0;
    // Watches of two seconds on three nodes, renewals of a lease, a record in each window.
    let requests = per_second(world.store.requests - requests);
    assert!(requests < 3.0, "{requests} requests a second");
    // Two peer heartbeats a second each way make 12, and two state messages a second both ways for
    // each of two shards that are not the leader's own another 8.
    let frames = per_second(world.network.frames - frames);
    assert!(frames < 21.0, "{frames} frames a second");
    assert!(world.cloud.calls - calls < 25, "{} calls to the cloud", world.cloud.calls - calls);
}
