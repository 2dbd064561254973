//! Machines are rented and returned as the window rule and the cloud allow.

use crate::fixtures::world;
use crate::support::{World, ZONES, job};

/// Need that grows far beyond the fleet between two windows does not wait for
/// the next one.
#[test]
fn need_far_beyond_the_fleet_opens_a_window() {
    let mut w = World::large(3, 72);
    w.cloud.capacity = 400;
    w.run(5_000);
    // One machine is up, so that no job is stranded.
    w.submit(0, &job(1, "t1", 4, 60.0));
    w.run(21_000);
    let before = w.cloud.rented;
    for id in 2..6 {
        w.submit(id as usize % 3, &job(id, "t1", 240, 10.0));
    }
    w.run(4_000);
    assert!(w.cloud.rented > before + 200, "{} machines after 4 s", w.cloud.rented - before);
    w.fair();
}

/// With no machine up, present need alone decides, and all of it at once:
/// machines come fifty to a call, within the cloud's rate.
#[test]
fn a_first_scale_out_to_hundreds_of_machines_takes_few_calls() {
    let mut w = World::large(3, 55);
    w.cloud.capacity = 400;
    w.run(5_000);
    let calls = w.cloud.calls;
    for id in 0..4 {
        w.submit(id as usize % 3, &job(id, "t1", 240, 10.0));
    }
    w.run(6_000);
    assert!(w.cloud.rented >= 240, "{} machines after 6 s", w.cloud.rented);
    assert!(w.cloud.calls - calls < 20, "{} calls", w.cloud.calls - calls);
    for id in 0..4 {
        assert!(w.until_done(&format!("run-{id:06}"), 120_000));
    }
    assert_eq!(w.cloud.refused, 0);
    w.fair();
}

/// A new leader has not heard of machines that run well; it must not take
/// them for machines that never booted.
#[test]
fn a_new_leader_terminates_no_machine_that_runs() {
    let mut w = world(16);
    w.run_ms = 200_000;
    w.accept(0, &job(1, "t1", 16, 200.0));
    w.run(60_000);
    let old = w.leader().unwrap();
    let before = w.cloud.returned.clone();
    w.crash(old, 4_000);
    w.crash((old + 1) % 3, 4_000);
    w.run(12_000);
    let busy: Vec<&String> = w
        .cloud
        .returned
        .iter()
        .filter(|n| !before.contains(n))
        .filter(|n| w.placement_of(n).is_some_and(|(_, row)| !row[3].as_array().unwrap().is_empty()))
        .collect();
    assert!(busy.is_empty(), "returned {busy:?}");
    assert!(w.oracle.starts.values().all(|n| *n == 1));
}

#[test]
fn refused_capacity_is_not_asked_for_in_a_loop() {
    let mut w = world(31);
    w.cloud.capacity = 1;
    w.accept(0, &job(1, "t1", 12, 10.0));
    assert!(w.until_done("run-000001", 300_000));
    w.fair();
}

/// A process that leads right after its start knows machines older than itself,
/// and gives back at once what nobody needs any more.
#[test]
fn a_leader_that_has_just_started_drains_what_is_surplus() {
    let mut w = world(91);
    w.accept(0, &job(1, "t1", 16, 10.0));
    assert!(w.until_done("run-000001", 90_000));
    w.run(60_000);
    let there = w.workers.iter().filter(|x| x.alive).count();
    for i in 0..8 {
        w.add_worker(500 + i, ZONES[i % 2], false, 100);
    }
    w.run(20_000);
    for n in 0..3 {
        w.crash(n, 1_000);
    }
    // Well over a minute old by now, and idle.
    w.run(45_000);
    let left = w.workers.iter().filter(|x| x.alive).count();
    assert!(left <= there + 1, "{left} machines are still there");
    w.fair();
}

/// The longer the history and the more kinds of machines, the longer the record
/// of the fleet; past the limit no window would be kept any more.
#[test]
fn the_record_of_the_fleet_stays_within_the_limit() {
    let mut w = World::new(1, 83);
    w.cloud.more_types = 14;
    w.run(5_000);
    w.accept(0, &job(1, "t0", 2, 5.0));
    w.run(900_000);
    let at = w.store.records["fleet"].value["at"].as_u64().unwrap();
    assert!(at + 11_000 > 1_000_000_000 + w.now, "the newest window is on record");
    w.fair();
}
