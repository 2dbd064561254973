//! Placement respects quotas, zones, machine types and the capacity of machines, and tasks start
//! soon.

use crate::fixtures::world;
use crate::support::{World, ZONES, job};
use serde_json::json;

#[test]
fn a_job_runs_once_and_every_node_reports_it_done() {
    let mut world = world(1);
    world.accept(0, &job(1, "t0", 6, 10.0));
    assert!(world.until_done("run-000001", 90_000));
    world.run(3_000);
    for node in 0..3 {
        assert_eq!(world.status(node, "run-000001"), "done");
    }
    assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);
    assert_eq!(world.oracle.starts.len(), 6);
    world.assert_rules_kept();
}

#[test]
fn the_team_limit_holds_for_any_number_of_submitted_tasks() {
    let mut world = world(2);
    world.accept(0, &job(1, "t0", 30, 10.0));
    world.accept(1, &job(2, "t0", 30, 10.0));
    assert!(world.until_done("run-000002", 300_000));
    world.assert_rules_kept();
}

#[test]
fn placement_follows_the_zone_and_spot_constraints_of_a_job() {
    let mut world = world(3);
    let mut spread = job(1, "t1", 9, 10.0);
    spread["scatter"] = json!(true);
    let mut in_one_zone = job(2, "t1", 5, 10.0);
    in_one_zone["one_zone"] = json!(true);
    in_one_zone["standby"] = json!(false);
    let mut in_west = job(3, "t1", 3, 10.0);
    in_west["yard"] = json!("west");
    for submission in [&spread, &in_one_zone, &in_west] {
        world.accept(0, submission);
    }
    for id in ["run-000001", "run-000002", "run-000003"] {
        assert!(world.until_done(id, 200_000), "{id}");
    }
    world.assert_rules_kept();
}

/// Hundreds of tasks start on hundreds of machines within the store's rate limits: the placements of
/// a scheduling cycle cost one mutation per placement record, not one per machine.
#[test]
fn hundreds_of_tasks_start_within_the_rate_of_mutations() {
    let mut world = World::large(3, 54);
    world.run(5_000);

    for number in 0..300 {
        world.add_worker(number, ZONES[number % 2], false, 100);
    }
    world.run(3_000);
    for id in 0..12 {
        world.submit(id as usize % 3, &job(id, "t1", 50, 10.0));
    }
    let (from, writes) = (world.now, world.store.committed_mutations);
    while world.oracle.starts.len() < 600 && world.now < from + 30_000 {
        world.run(250);
    }
    assert_eq!(world.oracle.starts.len(), 600);
    assert!(world.now < from + 8_000, "took {} ms", world.now - from);
    assert!(
        world.store.committed_mutations - writes < 100,
        "{} mutations",
        world.store.committed_mutations - writes
    );

    for id in 0..12 {
        assert!(world.until_done(&format!("run-{id:06}"), 60_000));
    }
    assert!(world.each_task_started_once());
    assert_eq!(world.store.refused, 0);
    world.assert_rules_kept();
}

/// Small tasks of varying lengths refill a machine before it is ever empty. A task that needs a
/// whole machine gets one reserved once it has waited long enough.
#[test]
fn a_machine_is_reserved_for_a_task_of_its_size() {
    let mut world = World::new(3, 70);
    world.cloud.capacity = 0;

    // All machines are in one shard, so that its shard owner can choose among them.
    for number in 0..4 {
        world.add_worker(1 + 2 * number, "east", false, 1_000);
    }
    world.run(6_000);

    for step in 0..150u32 {
        let mut submission = job(100 + step, "t1", 11, 10.0);
        submission["urgency"] = json!("urgent");
        submission["cores"] = json!(2.0);
        world.task_duration_ms = 6_000 + u64::from(step * 1_700 % 9_000);
        world.submit(step as usize % 3, &submission);
        if step == 10 {
            let mut huge = job(1, "t1", 1, 10.0);
            huge["urgency"] = json!("idle");
            huge["cores"] = json!(16.0);
            world.submit(0, &huge);
        }
        world.run(1_800);
    }
    assert!(world.oracle.starts.contains_key("run-000001/0"));
    world.assert_rules_kept();
}

/// If a machine has more tasks than one placement record holds, the next record holds the rest. If
/// the shard owner refused them instead, the leader would admit them again and again.
#[test]
fn a_full_placement_record_refuses_no_task() {
    let mut world = World::large(3, 57);
    world.run(5_000);

    for number in 1..3 {
        world.add_worker(number, "west", false, 100);
    }
    world.run(1_500);
    world.task_duration_ms = 60_000;
    for id in 0..4 {
        let mut submission = job(id, "t1", 250, 60.0);
        submission["cores"] = json!(0.03);
        submission["memory_gb"] = json!(0.1);
        world.submit(0, &submission);
    }
    world.run(15_000);
    assert_eq!(world.oracle.starts.len(), 1000);

    let old = world.leader().unwrap();
    world.crash(old, 4_000);
    world.crash((old + 1) % 3, 4_000);
    for id in 0..4 {
        assert!(world.until_done(&format!("run-{id:06}"), 120_000));
    }
    assert!(world.each_task_started_once());
    world.assert_rules_kept();
}

/// Where heartbeats are rare, a machine whose next heartbeat is merely due still counts as capacity
/// and must not lead to a scale-out.
#[test]
fn a_machine_between_two_rare_heartbeats_still_gets_work() {
    // One of these start times coincides with the start of a forecast window.
    for start in 0..4 {
        let mut world = World::large(3, 56);
        world.run(5_000 + 2_500 * start);

        world.add_worker(1, "east", false, 100);
        world.add_worker(2, "east", false, 100);
        world.run(1_500);

        // The next heartbeats are lost.
        for worker in &mut world.workers {
            worker.unreachable = true;
        }
        world.run(9_500);
        world.cloud.capacity = 20;
        world.submit(0, &job(1, "t1", 8, 10.0));
        world.run(3_500);
        for worker in &mut world.workers {
            worker.unreachable = false;
        }
        assert!(world.until_done("run-000001", 60_000));
        assert_eq!(world.cloud.created_count, 0, "machines were created although free ones existed");
        world.assert_rules_kept();
    }
}

/// A job that must spread over the zones runs no more than half of its tasks at once if only one
/// zone has machines.
#[test]
fn tasks_that_must_spread_wait_while_one_zone_has_machines() {
    let mut world = World::new(3, 49);
    world.cloud.capacity = 0;
    for number in 1..5 {
        world.add_worker(number, "east", false, 1_000);
    }
    world.run(8_000);
    let mut submission = job(1, "t1", 9, 10.0);
    submission["scatter"] = json!(true);
    world.accept(0, &submission);
    world.run(9_000);
    assert_eq!(world.oracle.starts.len(), 5);
    assert!(world.until_done("run-000001", 90_000));
    world.assert_rules_kept();
}

#[test]
fn a_job_of_many_tasks_survives_a_change_of_leader() {
    let mut world = world(18);
    world.task_duration_ms = 300;
    let mut submission = job(1, "t1", 100_000, 1.0);
    submission["cores"] = json!(0.5);
    submission["memory_gb"] = json!(0.1);
    world.accept(0, &submission);
    world.run(60_000);
    let started = world.oracle.starts.len();
    assert!(started > 100, "{started}");

    let old = world.leader().unwrap();
    world.crash(old, 5_000);
    world.run(20_000);
    assert!(world.oracle.starts.len() > started);
    assert!(world.status((old + 1) % 3, "run-000001") != "done");
    world.assert_rules_kept();
}
