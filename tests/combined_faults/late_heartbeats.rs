//! Old heartbeats that arrive late.

use crate::fixtures::{busy_world, machine_of, run_without_cloud};
use crate::support::{LEASE_MS, Worker, World, job};
use serde_json::json;

/// A new shard owner receives two old heartbeats of a machine: one of an earlier incarnation, and one
/// of the current incarnation from before the tasks were started. Together they look like the end of
/// an incarnation and its tasks.
#[test]
fn old_heartbeats_of_two_incarnations_prove_nothing_to_a_new_shard_owner() {
    let mut world = World::new(3, 570);
    world.task_duration_ms = 600_000;
    world.cloud.capacity = 0;
    for number in 1..5 {
        world.add_worker(number, if number % 2 == 0 { "east" } else { "west" }, false, 500);
    }
    world.run(8_000);

    let first: Vec<_> = world.workers.iter().map(Worker::heartbeat).collect();
    for worker in &mut world.workers {
        worker.unreachable = true;
    }
    run_without_cloud(&mut world, LEASE_MS + 3_000);
    for worker in &mut world.workers {
        worker.unreachable = false;
    }
    world.run(9_000);
    let second: Vec<_> = world.workers.iter().map(Worker::heartbeat).collect();
    assert!(second.iter().all(|heartbeat| heartbeat.incarnation == 2));

    for (number, zone) in [(1, "east"), (2, "west")] {
        let mut submission = job(number, "t1", 2, 600.0);
        submission["yard"] = json!(zone);
        world.accept(0, &submission);
    }
    world.run(12_000);
    assert_eq!(world.oracle.starts.len(), 4);

    let machine = machine_of(&world, 1);
    let shard_owner = world.shard_owner_of(machine);

    // The machine's own heartbeats don't arrive for a while.
    world.workers[machine].unreachable = true;
    world.crash(shard_owner, 30_000);
    world.run(6_000);
    let new_owner = world.shard_owner_of(machine);
    assert_ne!(new_owner, shard_owner);

    for heartbeat in [&first[machine], &second[machine]] {
        world.late_heartbeat(new_owner, heartbeat.clone());
    }
    world.run(3_000);
    world.workers[machine].unreachable = false;
    world.run(40_000);
    assert!(
        world.each_task_started_once(),
        "tasks were given up because of old heartbeats: {:?}",
        world.oracle.starts
    );
    world.assert_rules_kept();
}

/// Old heartbeats reach every controller around the time at which a new leader takes over. They come
/// from machines in use and from one whose lease has ended since, and list attempts that have ended.
/// With the longest wait, they arrive only after the new leader has acted.
#[test]
fn old_heartbeats_reach_every_controller_as_a_new_leader_begins() {
    for (seed, wait_ms) in [(571, 0), (572, 5_600), (573, 9_000)] {
        let mut world = busy_world(seed, 8);
        let old: Vec<_> = world.workers.iter().map(Worker::heartbeat).collect();

        // Tasks that ran at that time end, on one machine because its lease expires.
        let machine = machine_of(&world, 2);
        world.workers[machine].unreachable = true;
        world.run(LEASE_MS + 4_000);
        world.workers[machine].unreachable = false;
        world.run(30_000);
        let starts = world.oracle.starts.clone();
        let leader = world.leader().unwrap();
        world.crash(leader, 3_000);
        world.run(wait_ms);
        for node in 0..3 {
            for heartbeat in &old {
                world.late_heartbeat(node, heartbeat.clone());
            }
            world.run(25);
        }
        world.run(60_000);
        assert_eq!(world.oracle.starts, starts, "after {wait_ms} ms");
        world.assert_rules_kept();
    }
}
