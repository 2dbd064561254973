//! Quotas, zones, machine types and the capacity of machines are respected, and tasks start
//! soon.

use crate::fixtures::world;
use crate::support::{World, ZONES, job};
use serde_json::json;

#[test]
fn a_job_runs_once_and_is_called_done_by_every_node() {
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
fn the_team_limit_holds_however_much_is_asked() {
    let mut world = world(2);
    world.accept(0, &job(1, "t0", 30, 10.0));
    world.accept(1, &job(2, "t0", 30, 10.0));
    assert!(world.until_done("run-000002", 300_000));
    world.assert_rules_kept();
}

#[test]
fn zones_types_and_spot_are_as_the_job_allows() {
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

/// Many tasks on many machines, within the store's rates: the placements of a scheduling
/// cycle cost one mutation for each placement record, not one for each machine.
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
    let (from, writes) = (world.now, world.store.writes);
    while world.oracle.starts.len() < 600 && world.now < from + 30_000 {
        world.run(250);
    }
    assert_eq!(world.oracle.starts.len(), 600);
    assert!(world.now < from + 8_000, "took {} ms", world.now - from);
    assert!(world.store.writes - writes < 100, "{} changes", world.store.writes - writes);

    for id in 0..12 {
        assert!(world.until_done(&format!("run-{id:06}"), 60_000));
    }
    assert!(world.each_task_started_once());
    assert_eq!(world.store.refused, 0);
    world.assert_rules_kept();
}

/// Small tasks of all lengths refill a machine before it is ever free; one that
/// has waited for all of it gets it kept.
#[test]
fn a_task_as_large_as_a_machine_gets_one_kept() {
    let mut world = World::new(3, 70);
    world.cloud.capacity = 0;

    // All in one shard, so that its shard owner has a choice.
    for number in 0..4 {
        world.add_worker(1 + 2 * number, "east", false, 1_000);
    }
    world.run(6_000);

    for step in 0..150u32 {
        let mut submission = job(100 + step, "t1", 11, 10.0);
        submission["urgency"] = json!("urgent");
        submission["cores"] = json!(2.0);
        world.run_ms = 6_000 + u64::from(step * 1_700 % 9_000);
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

/// More tasks on one machine than one placement record takes: the next record takes them.
/// A shard owner that refused them would have the leader admit them again for ever.
#[test]
fn a_full_placement_record_refuses_no_task() {
    let mut world = World::large(3, 57);
    world.run(5_000);

    for number in 1..3 {
        world.add_worker(number, "west", false, 100);
    }
    world.run(1_500);
    world.run_ms = 60_000;
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

/// Where heartbeats are rare, a machine whose next one is only due is no reason to scale
/// out.
#[test]
fn a_machine_between_two_rare_heartbeats_still_gets_work() {
    // One of these starts meets the beginning of a forecast window.
    for start in 0..4 {
        let mut world = World::large(3, 56);
        world.run(5_000 + 2_500 * start);

        world.add_worker(1, "east", false, 100);
        world.add_worker(2, "east", false, 100);
        world.run(1_500);

        // The next heartbeats are lost on their way.
        for worker in &mut world.workers {
            worker.cut = true;
        }
        world.run(9_500);
        world.cloud.capacity = 20;
        world.submit(0, &job(1, "t1", 8, 10.0));
        world.run(3_500);
        for worker in &mut world.workers {
            worker.cut = false;
        }
        assert!(world.until_done("run-000001", 60_000));
        assert_eq!(world.cloud.rented, 0, "free machines were passed over");
        world.assert_rules_kept();
    }
}

/// With machines in one zone only, no more than half of the tasks run at once.
#[test]
fn spread_tasks_wait_rather_than_crowd_one_zone() {
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
fn a_job_of_many_tasks_is_accepted_recorded_and_survives_a_new_leader() {
    let mut world = world(18);
    world.run_ms = 300;
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
