//! Quotas, zones, machine types and the room on machines are respected, and tasks start soon.

use crate::fixtures::world;
use crate::support::{World, ZONES, job};
use serde_json::json;

#[test]
fn a_job_runs_once_and_is_called_done_by_every_node() {
    let mut w = world(1);
    w.accept(0, &job(1, "t0", 6, 10.0));
    assert!(w.until_done("run-000001", 90_000));
    w.run(3_000);
    for n in 0..3 {
        assert_eq!(w.status(n, "run-000001"), "done");
    }
    assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
    assert_eq!(w.oracle.starts.len(), 6);
    w.fair();
}

#[test]
fn the_team_limit_holds_however_much_is_asked() {
    let mut w = world(2);
    w.accept(0, &job(1, "t0", 30, 10.0));
    w.accept(1, &job(2, "t0", 30, 10.0));
    assert!(w.until_done("run-000002", 300_000));
    w.fair();
}

#[test]
fn zones_types_and_spot_are_as_the_job_allows() {
    let mut w = world(3);
    let mut a = job(1, "t1", 9, 10.0);
    a["scatter"] = json!(true);
    let mut b = job(2, "t1", 5, 10.0);
    b["one_zone"] = json!(true);
    b["standby"] = json!(false);
    let mut c = job(3, "t1", 3, 10.0);
    c["yard"] = json!("west");
    for j in [&a, &b, &c] {
        w.accept(0, j);
    }
    for id in ["run-000001", "run-000002", "run-000003"] {
        assert!(w.until_done(id, 200_000), "{id}");
    }
    w.fair();
}

/// Many tasks on many machines, within the store's rates: a scheduling cycle of
/// bindings costs a change for a record of machines, not one for each of them.
#[test]
fn hundreds_of_tasks_start_within_the_rate_of_mutations() {
    let mut w = World::large(3, 54);
    w.run(5_000);
    for i in 0..300 {
        w.add_worker(i, ZONES[i % 2], false, 100);
    }
    w.run(3_000);
    for id in 0..12 {
        w.submit(id as usize % 3, &job(id, "t1", 50, 10.0));
    }
    let (from, writes) = (w.now, w.store.writes);
    while w.oracle.starts.len() < 600 && w.now < from + 30_000 {
        w.run(250);
    }
    assert_eq!(w.oracle.starts.len(), 600);
    assert!(w.now < from + 8_000, "took {} ms", w.now - from);
    assert!(w.store.writes - writes < 100, "{} changes", w.store.writes - writes);
    for id in 0..12 {
        assert!(w.until_done(&format!("run-{id:06}"), 60_000));
    }
    assert!(w.oracle.starts.values().all(|n| *n == 1));
    assert_eq!(w.store.refused, 0);
    w.fair();
}

/// Small tasks of all lengths refill a machine before it is ever free; one that
/// has waited for all of it gets it kept.
#[test]
fn a_task_as_large_as_a_machine_gets_one_kept() {
    let mut w = World::new(3, 70);
    w.cloud.capacity = 0;
    // All in one shard, so that its shard owner has a choice.
    for i in 0..4 {
        w.add_worker(1 + 2 * i, "east", false, 1_000);
    }
    w.run(6_000);
    for step in 0..150u32 {
        let mut j = job(100 + step, "t1", 11, 10.0);
        j["urgency"] = json!("urgent");
        j["cores"] = json!(2.0);
        w.run_ms = 6_000 + u64::from(step * 1_700 % 9_000);
        w.submit(step as usize % 3, &j);
        if step == 10 {
            let mut huge = job(1, "t1", 1, 10.0);
            huge["urgency"] = json!("idle");
            huge["cores"] = json!(16.0);
            w.submit(0, &huge);
        }
        w.run(1_800);
    }
    assert!(w.oracle.starts.contains_key("run-000001/0"));
    w.fair();
}

/// More tasks on one machine than one record holds: the next record takes them.
/// A shard owner that refused them would have the leader grant them again for ever.
#[test]
fn a_full_record_refuses_no_task() {
    let mut w = World::large(3, 57);
    w.run(5_000);
    for i in 1..3 {
        w.add_worker(i, "west", false, 100);
    }
    w.run(1_500);
    w.run_ms = 60_000;
    for id in 0..4 {
        let mut j = job(id, "t1", 250, 60.0);
        j["cores"] = json!(0.03);
        j["memory_gb"] = json!(0.1);
        w.submit(0, &j);
    }
    w.run(15_000);
    assert_eq!(w.oracle.starts.len(), 1000);
    let old = w.leader().unwrap();
    w.crash(old, 4_000);
    w.crash((old + 1) % 3, 4_000);
    for id in 0..4 {
        assert!(w.until_done(&format!("run-{id:06}"), 120_000));
    }
    assert!(w.oracle.starts.values().all(|n| *n == 1));
    w.fair();
}

/// Where heartbeats are rare, a machine that has just not reported is no reason to
/// rent another one.
#[test]
fn a_machine_between_two_rare_heartbeats_still_gets_work() {
    // A window of the forecast begins at one time or another of these.
    for start in 0..4 {
        let mut w = World::large(3, 56);
        w.run(5_000 + 2_500 * start);
        w.add_worker(1, "east", false, 100);
        w.add_worker(2, "east", false, 100);
        w.run(1_500);
        // The next heartbeats are lost on their way.
        for x in &mut w.workers {
            x.cut = true;
        }
        w.run(9_500);
        w.cloud.capacity = 20;
        w.submit(0, &job(1, "t1", 8, 10.0));
        w.run(3_500);
        for x in &mut w.workers {
            x.cut = false;
        }
        assert!(w.until_done("run-000001", 60_000));
        assert_eq!(w.cloud.rented, 0, "machines that are there were passed over");
        w.fair();
    }
}

/// With machines in one zone only, no more than half of the tasks run at once.
#[test]
fn spread_tasks_wait_rather_than_crowd_one_zone() {
    let mut w = World::new(3, 49);
    w.cloud.capacity = 0;
    for i in 1..5 {
        w.add_worker(i, "east", false, 1_000);
    }
    w.run(8_000);
    let mut j = job(1, "t1", 9, 10.0);
    j["scatter"] = json!(true);
    w.accept(0, &j);
    w.run(9_000);
    assert_eq!(w.oracle.starts.len(), 5);
    assert!(w.until_done("run-000001", 90_000));
    w.fair();
}

#[test]
fn a_job_of_many_tasks_is_accepted_recorded_and_survives_a_new_leader() {
    let mut w = world(18);
    w.run_ms = 300;
    let mut j = job(1, "t1", 100_000, 1.0);
    j["cores"] = json!(0.5);
    j["memory_gb"] = json!(0.1);
    w.accept(0, &j);
    w.run(60_000);
    let started = w.oracle.starts.len();
    assert!(started > 100, "{started}");
    let old = w.leader().unwrap();
    w.crash(old, 5_000);
    w.run(20_000);
    assert!(w.oracle.starts.len() > started);
    assert!(w.status((old + 1) % 3, "run-000001") != "done");
    w.fair();
}
