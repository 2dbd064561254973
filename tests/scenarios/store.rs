//! The key-value store has an outage, refuses a node, or loses answers.

use crate::fixtures::world;
use crate::support::{World, ZONES, job};
use woadlever::core::HttpRequest;

/// After an outage that is shorter than the leases, tasks continue where they ran.
#[test]
fn a_short_outage_of_the_store_loses_no_work() {
    let mut world = world(9);
    world.task_duration_ms = 60_000;
    world.accept(0, &job(1, "t1", 8, 60.0));
    world.run(35_000);
    world.store.is_down = true;
    world.run(10_000);
    assert_eq!(world.status(0, "run-999999"), "503", "answered without knowing the state of the job");
    world.store.is_down = false;
    assert!(world.until_done("run-000001", 150_000));
    assert!(world.each_task_started_once());
    world.assert_rules_kept();
}

#[test]
fn a_long_outage_ends_leases_and_every_task_still_completes() {
    let mut world = world(10);
    world.task_duration_ms = 30_000;
    world.accept(0, &job(1, "t1", 8, 30.0));
    world.run(25_000);
    world.store.is_down = true;
    world.run(70_000);
    world.store.is_down = false;
    assert!(world.until_done("run-000001", 250_000));
    world.assert_rules_kept();
}

/// A node is not ready and loses its shards if the store refuses it alone; in an outage that affects
/// all nodes, every node stays ready.
#[test]
fn readiness_distinguishes_a_refused_node_from_an_outage() {
    let mut world = world(11);
    let victim = (world.leader().unwrap() + 1) % 3;
    let ready = |world: &mut World, node: usize| {
        let request = world.ask(node, HttpRequest::Ready);
        world.run(50);
        world.users.answers[&request].status
    };
    world.store.refused_nodes.insert(victim);
    world.run(8_000);
    assert_eq!(ready(&mut world, victim), 503);

    let name = format!("n{victim}");
    let owns_a_shard =
        world.store.records_under("w/block/").any(|(_, record)| record.value["node"] == name.as_str());
    assert!(!owns_a_shard, "it owns shards that it can't serve");

    world.store.refused_nodes.clear();
    world.run(5_000);
    assert_eq!(ready(&mut world, victim), 200);

    world.store.is_down = true;
    world.run(8_000);
    for node in 0..3 {
        assert_eq!(ready(&mut world, node), 200);
    }
}

/// Invariants 2 and 3: an answer that the worker has not received proves nothing, and the `run`
/// command in it is sent again instead of placing the task on another machine.
#[test]
fn a_lost_answer_neither_loses_nor_duplicates_a_task() {
    let mut world = world(12);
    world.accept(0, &job(1, "t1", 8, 10.0));
    world.run(12_000);
    world.network.lost_replies = (0..world.workers.len()).collect();
    world.run(8_000);
    world.network.lost_replies.clear();
    assert!(world.until_done("run-000001", 150_000));
    assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);
    world.assert_rules_kept();
}

/// The answers to some writes are lost, and the store may execute these writes only
/// seconds later.
#[test]
fn late_writes_break_no_rule() {
    for seed in 0..4 {
        let mut world = world(20 + seed);
        world.store_faults.lost_answer_share = 0.3;
        world.accept(0, &job(1, "t1", 16, 10.0));
        world.accept(1, &job(2, "t0", 6, 10.0));
        world.run(60_000);
        world.store_faults.lost_answer_share = 0.0;
        assert!(world.until_done("run-000001", 200_000));
        assert!(world.until_done("run-000002", 200_000));
        world.assert_rules_kept();
    }
}

/// Retries during a long outage must not use up the rate budget for the time after it: the leader
/// writes and places tasks as soon as the outage is over. Machines whose heartbeats nobody could
/// answer during the outage must not count as silent.
#[test]
fn a_long_outage_leaves_no_debt_and_costs_no_machine() {
    let mut world = World::large(3, 92);
    world.task_duration_ms = 12_000;
    world.run(5_000);

    for number in 0..40 {
        world.add_worker(number, ZONES[number % 2], false, 100);
    }
    world.run(9_000);
    for id in 0..40 {
        world.submit(id as usize % 3, &job(id, "t1", 3, 12.0));
        world.run(100);
    }

    // More tasks than all machines can run at once, so that no machine is surplus.
    world.submit(0, &job(50, "t1", 600, 12.0));
    world.run(4_000);
    world.store.is_down = true;
    world.run(60_000);
    world.store.is_down = false;
    let before = world.oracle.starts.len();
    world.run(25_000);
    assert!(
        world.oracle.starts.len() > before + 150,
        "{} starts after the outage",
        world.oracle.starts.len() - before
    );
    assert!(world.cloud.terminated.is_empty(), "{} machines terminated", world.cloud.terminated.len());
    assert!(world.until_done("run-000050", 120_000));
    world.assert_rules_kept();
}
