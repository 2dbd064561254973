//! Machines that are lost or unreachable while another fault occurs.

use crate::fixtures::{busy_world, id, machine_of, tasks_on_machines};
use crate::support::{LEASE_MS, World, job};
use serde_json::json;

/// Every team is at its quota. The machines of one team are unreachable, hang, or have their
/// heartbeats lost while its job is cancelled and the leader changes. Tasks that may still run count
/// against the quota.
#[test]
fn a_team_at_its_quota_whose_machines_cannot_be_asked_gets_nothing_more() {
    for (seed, fault) in [(580, "unreachable"), (581, "hang"), (582, "heartbeats_lost")] {
        let mut world = World::new(3, seed);
        world.task_duration_ms = 600_000;
        world.run(5_000);

        world.accept(0, &job(1, "t0", 8, 600.0));
        world.accept(1, &job(2, "t1", 16, 600.0));
        world.run(60_000);
        assert_eq!(tasks_on_machines(&world, 1), 8, "its quota is not used up");

        for machine in 0..world.workers.len() {
            if world.workers[machine].tasks.iter().any(|task| task.job == id(1)) {
                match fault {
                    "unreachable" => world.workers[machine].unreachable = true,
                    "heartbeats_lost" => world.workers[machine].heartbeats_lost = true,
                    _ => world.workers[machine].hung_until = world.now + 16_000,
                }
            }
        }
        world.cloud.is_down = true;
        world.run(1_000);
        let leader = world.leader().unwrap();
        assert_eq!(world.cancel((leader + 1) % 3, &id(1)), 200);

        world.accept(leader, &job(3, "t0", 8, 600.0));
        world.crash(leader, 2_000);
        world.run(9_000);
        let next = world.leader().unwrap();
        world.crash(next, 2_000);
        world.run(12_000);
        for worker in &mut world.workers {
            (worker.unreachable, worker.heartbeats_lost) = (false, false);
        }
        world.cloud.is_down = false;
        world.run(90_000);
        assert!(tasks_on_machines(&world, 3) > 0, "{fault}: no task of the next job runs");
        world.assert_rules_kept();
    }
}

/// New machines boot within two seconds and get tasks at once, while writes are slow and the leader
/// that created the machines crashes before the cloud lists them.
#[test]
fn machines_up_at_once_while_writes_lag_and_the_leader_ends() {
    for (seed, wait_ms) in [(590, 1_500), (591, 3_000), (592, 5_000)] {
        let mut world = World::new(3, seed);
        world.cloud.boot_ms = 300..2_000;
        world.task_duration_ms = 30_000;
        world.run(5_000);

        for node in 0..3 {
            world.store_faults.slow_writes.insert(node, 700);
        }
        world.accept(0, &job(1, "t1", 12, 30.0));
        world.run(wait_ms);
        let leader = world.leader().unwrap();
        world.crash(leader, 1_000);
        world.run(9_000);
        world.store_faults.slow_writes.clear();
        assert!(world.until_done(&id(1), 150_000));
        assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);
        world.assert_rules_kept();
    }
}

/// Jobs bound to one zone lose machines and complete there. One names its zone, the other needs all
/// its tasks in the same zone.
#[test]
fn jobs_bound_to_a_zone_lose_machines() {
    let mut world = World::new(3, 593);
    world.task_duration_ms = 25_000;
    world.run(5_000);

    let mut in_east = job(1, "t1", 8, 25.0);
    in_east["yard"] = json!("east");
    let mut in_one_zone = job(2, "t0", 6, 25.0);
    in_one_zone["one_zone"] = json!(true);
    for submission in [&in_east, &in_one_zone] {
        world.accept(0, submission);
    }
    world.run(30_000);
    for number in [1, 2] {
        if let Some(machine) = world
            .workers
            .iter()
            .position(|worker| worker.tasks.iter().any(|task| task.job == id(number)))
        {
            world.workers[machine].alive = false;
        }
    }
    let leader = world.leader().unwrap();
    world.crash(leader, 1_000);
    for number in [1, 2] {
        assert!(world.until_done(&id(number), 200_000), "{number}");
    }
    world.assert_rules_kept();
}

/// A leader crashes while one machine with long tasks can't be reached, and another doesn't receive
/// the answers to its heartbeats.
#[test]
fn a_leader_ends_while_machines_are_out_of_reach() {
    let mut world = busy_world(594, 8);
    let (cut_off, unanswered) = (machine_of(&world, 1), machine_of(&world, 2));
    world.workers[cut_off].unreachable = true;
    world.network.lost_replies.insert(unanswered);
    let leader = world.leader().unwrap();
    world.crash(leader, 4_000);
    world.run(11_000);
    world.workers[cut_off].unreachable = false;
    world.network.lost_replies.clear();
    world.run(60_000);
    assert!(
        world.each_task_started_once(),
        "tasks were started again within their leases: {:?}",
        world.oracle.starts
    );
    world.assert_rules_kept();
}

/// A heartbeat of a silent machine arrives again just before its lease ends. A task sent in the answer
/// to that heartbeat may coincide with the end of the incarnation, be given up with the first
/// heartbeat of the next one, and start elsewhere within the same second. So no task is sent before
/// a second heartbeat of the machine has arrived.
#[test]
fn a_machine_heard_again_after_a_long_silence_gets_work_with_its_next_heartbeat() {
    let mut world = World::new(3, 620);
    world.cloud.capacity = 0;
    world.task_duration_ms = 20_000;
    world.add_worker(1, "east", false, 500);
    world.run(9_000);

    world.accept(0, &job(1, "t1", 1, 20.0));
    world.run(9_000);
    assert_eq!(tasks_on_machines(&world, 1), 1);

    world.workers[0].unreachable = true;
    world.run(LEASE_MS / 2 + 4_000);

    // Meanwhile another job arrives, and the machine has free capacity for it.
    world.accept(0, &job(2, "t1", 2, 20.0));
    world.workers[0].unreachable = false;
    let sequence = world.workers[0].sequence;
    while world.workers[0].sequence == sequence {
        world.run(25);
    }
    world.run(1_200);
    assert_eq!(tasks_on_machines(&world, 2), 0, "sent in the answer to its first heartbeat");
    assert!(world.until_done(&id(2), 60_000));
    assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);
    world.assert_rules_kept();
}
