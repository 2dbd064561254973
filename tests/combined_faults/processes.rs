//! Processes that start, end and change roles.

use crate::fixtures::{busy_world, id, state_of};
use crate::support::{LEASE_MS, World, job};
use serde_json::json;
use woadlever::core::HttpRequest;

/// A new process reads many records in pages. The shard records are on the first page, and the jobs
/// of a shard's attempts are on the last. With the first page alone, the attempts would belong to
/// unknown jobs.
#[test]
fn a_process_owns_no_shard_before_it_knows_every_job() {
    let mut world = World::new(3, 560);
    world.task_duration_ms = 600_000;
    world.run(5_000);

    for number in 1..80 {
        let request = world.submit(0, &job(number, "t0", 1, 5.0));
        world.run(50);
        assert_eq!(world.users.answers[&request].status, 201);

        world.users.asked_to_cancel.insert(id(number));
        world.ask(0, HttpRequest::Cancel(id(number)));
        world.run(50);
    }
    for (number, zone) in [(900, "east"), (901, "west")] {
        let mut submission = job(number, "t1", 8, 600.0);
        submission["yard"] = json!(zone);
        world.accept(0, &submission);
    }
    world.run(60_000);
    let started = world.oracle.starts.clone();
    for node in [2, 1, 0] {
        // The node restarts at once, and its first read takes place after the leader has received
        // its peer heartbeat.
        world.crash(node, 100);
        world.store.refused_nodes.insert(node);
        world.run(1_000);
        world.store.refused_nodes.remove(&node);
        world.run(9_000);
    }
    world.run(40_000);
    world.assert_rules_kept();
    assert_eq!(world.oracle.starts, started, "tasks were given up and started again");
}

/// Leadership moves between nodes, then all processes end, and one of them restarts within a second.
#[test]
fn all_end_and_one_returns_within_a_second() {
    for (seed, back_ms) in [(561, 40), (562, 250), (563, 800)] {
        let mut world = busy_world(seed, 6);
        let first = world.leader().unwrap();
        world.crash(first, back_ms);
        world.run(back_ms + 300);
        world.crash(first, back_ms);
        world.run(6_000);
        for node in 0..3 {
            world.crash(node, if node == 1 { back_ms } else { 9_000 });
        }
        world.run(7_000);
        assert_eq!(world.leader(), Some(1), "the only node that runs does not lead");

        world.run(25_000);
        assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);

        world.accept(1, &job(5, "t0", 2, 5.0));
        world.assert_rules_kept();
    }
}

/// The leader changes ten times in two minutes, also during an outage of the store, while jobs are
/// submitted, complete and are cancelled.
#[test]
fn ten_leaders_in_two_minutes() {
    let mut world = World::new(3, 564);
    world.task_duration_ms = 15_000;
    world.run(5_000);

    for round in 0..10u32 {
        let body = job(round + 1, "t1", 3, 15.0);
        let node = round as usize % 3;
        world.submit(node, &body);
        world.run(4_000);
        world.store.is_down = round == 4 || round == 7;
        world.run(500);
        if let Some(leader) = world.leader() {
            world.crash(leader, if round % 2 == 0 { 300 } else { 4_000 });
        }
        world.run(2_000);
        world.store.is_down = false;
        if round % 4 == 3 {
            world.cancel(node, &id(round));
        }
        world.run(5_500);
        world.submit(node, &body);
    }
    for number in 1..11 {
        if state_of(&world, number) != "c" {
            world.accept(0, &job(number, "t1", 3, 15.0));
            assert!(world.until_done(&id(number), 200_000), "{number}");
        }
    }
    world.assert_rules_kept();
}

/// All controllers are down for longer than a lease.
#[test]
fn all_nodes_away_for_longer_than_a_lease() {
    let mut world = busy_world(565, 6);
    for node in 0..3 {
        world.crash(node, LEASE_MS + 9_000);
    }
    world.run(LEASE_MS + 9_000);
    world.task_duration_ms = 10_000;
    for number in [1, 2] {
        assert!(world.until_done(&id(number), 240_000));
    }
    world.assert_rules_kept();
}

/// A job's tasks end far apart, with changes of leader in between: the completion of the first task
/// is not lost, and the job is not reported done too early.
#[test]
fn tasks_that_end_far_apart_across_a_change_of_leader() {
    for (seed, tasks) in [(566, 2), (567, 3)] {
        let mut world = World::new(3, seed);
        world.task_duration_ms = 10_000;
        world.run(5_000);

        world.accept(0, &job(1, "t0", tasks, 10.0));
        while world.oracle.starts.is_empty() {
            world.run(25);
        }

        // The first task of a machine ends soon; its other tasks and those that start later end much
        // later.
        world.run(600);
        world.task_duration_ms = 90_000;
        for worker in &mut world.workers {
            for task in worker.tasks.iter_mut().skip(1) {
                task.next_transition_at += 80_000;
            }
        }
        for _ in 0..5 {
            world.run(12_000);
            if state_of(&world, 1) == "l" {
                assert_ne!(world.status(0, &id(1)), "done");
            }
            let leader = world.leader().unwrap();
            world.crash(leader, 2_000);
        }
        assert!(world.until_done(&id(1), 200_000));

        world.run(3_000);
        for node in 0..3 {
            assert_eq!(world.status(node, &id(1)), "done");
        }
        assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);
        world.assert_rules_kept();
    }
}
