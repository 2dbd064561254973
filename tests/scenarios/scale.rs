//! Fleets of thousands of machines, and the cost of an idle cluster.

use crate::fixtures::world;
use crate::support::{World, ZONES, job};

/// Crashes all nodes of a very large fleet at its busiest: requests to the store and the cloud stay
/// within the configured rates, machines keep their tasks, and every job completes.
fn fleet_scenario(nodes: usize, machines: usize, jobs: u32, seed: u64) {
    let mut world = World::fleet(nodes, seed);
    world.task_duration_ms = 20_000;
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
    let unfinished = |world: &World| {
        let done = |id: &u32| world.store.job(&format!("run-{id:06}")).unwrap()["s"] == "d";
        (0..jobs).filter(|id| !done(id)).count()
    };
    let from = world.now;
    while unfinished(&world) > 0 && world.now < from + 120_000 {
        world.run(500);
    }
    assert_eq!(unfinished(&world), 0, "jobs that did not complete");
    assert!(world.each_task_started_once(), "a task was started again although its lease had not ended");
    assert_eq!((world.store.refused, world.cloud.refused), (0, 0));
    assert!(
        world.network.longest_frame < woadlever::wire::peer::MAX_FRAME_BYTES / 4,
        "{} bytes",
        world.network.longest_frame
    );
    world.assert_rules_kept();
}

#[test]
fn twelve_hundred_machines_on_three_nodes_survive_a_crash_of_all_nodes() {
    fleet_scenario(3, 1_200, 70, 71);
}

#[test]
fn twenty_three_hundred_machines_on_five_nodes_survive_a_crash_of_all_nodes() {
    fleet_scenario(5, 2_300, 80, 72);
}

/// An idle cluster sends few requests and frames. On the smallest machines this background work is
/// the larger part of a node's processor time.
#[test]
fn an_idle_cluster_sends_few_requests_and_frames() {
    let mut world = world(610);
    world.run(20_000);
    let (requests, frames, calls) = (world.store.requests, world.network.frames, world.cloud.calls);
    world.run(60_000);
    let per_second = |count: u64| count as f64 / 60.0;
    // The requests are watches of two seconds on three nodes, renewals of a lease, and a record in
    // each forecast window.
    let requests = per_second(world.store.requests - requests);
    assert!(requests < 3.0, "{requests} requests a second");
    // Two peer heartbeats a second in each direction make 12 frames a second. Two desired and
    // two reported states a second, for each of the two shards that the leader doesn't own, make 8
    // more.
    let frames = per_second(world.network.frames - frames);
    assert!(frames < 21.0, "{frames} frames a second");
    assert!(world.cloud.calls - calls < 25, "{} calls to the cloud", world.cloud.calls - calls);
}
