//! Scale-out and scale-in by forecast windows, within the limits of the cloud.

use crate::fixtures::world;
use crate::support::{World, ZONES, job};

/// Demand that grows far beyond the fleet starts a forecast window at once instead of waiting for
/// the next regular one.
#[test]
fn demand_far_beyond_the_fleet_starts_a_forecast_window() {
    let mut world = World::large(3, 72);
    world.cloud.capacity = 400;
    world.run(5_000);
    // One machine is up, so that the jobs below count as schedulable.
    world.submit(0, &job(1, "t1", 4, 60.0));
    world.run(21_000);
    let before = world.cloud.created_count;
    for id in 2..6 {
        world.submit(id as usize % 3, &job(id, "t1", 240, 10.0));
    }
    world.run(4_000);
    assert!(
        world.cloud.created_count > before + 200,
        "{} machines after 4 s",
        world.cloud.created_count - before
    );
    world.assert_rules_kept();
}

/// With no machine up, the scale-out follows the present demand alone and covers all of it at once:
/// each call creates up to fifty machines, within the cloud's rate limit.
#[test]
fn a_first_scale_out_to_hundreds_of_machines_takes_few_calls() {
    let mut world = World::large(3, 55);
    world.cloud.capacity = 400;
    world.run(5_000);

    let calls = world.cloud.calls;
    for id in 0..4 {
        world.submit(id as usize % 3, &job(id, "t1", 240, 10.0));
    }
    world.run(6_000);
    assert!(world.cloud.created_count >= 240, "{} machines after 6 s", world.cloud.created_count);
    assert!(world.cloud.calls - calls < 20, "{} calls", world.cloud.calls - calls);

    for id in 0..4 {
        assert!(world.until_done(&format!("run-{id:06}"), 120_000));
    }
    assert_eq!(world.cloud.refused, 0);
    world.assert_rules_kept();
}

/// A new leader has not yet received heartbeats of machines that run well; it must not mistake them
/// for machines that failed to boot.
#[test]
fn a_new_leader_terminates_no_machine_that_runs() {
    let mut world = world(16);
    world.task_duration_ms = 200_000;
    world.accept(0, &job(1, "t1", 16, 200.0));
    world.run(60_000);
    let old = world.leader().unwrap();
    let before = world.cloud.terminated.clone();
    world.crash(old, 4_000);
    world.crash((old + 1) % 3, 4_000);
    world.run(12_000);
    let busy: Vec<&String> = world
        .cloud
        .terminated
        .iter()
        .filter(|name| !before.contains(name))
        .filter(|name| {
            world.placement_of(name).is_some_and(|(_, row)| !row[3].as_array().unwrap().is_empty())
        })
        .collect();
    assert!(busy.is_empty(), "terminated {busy:?}");
    assert!(world.each_task_started_once());
}

#[test]
fn refused_capacity_is_not_requested_in_a_loop() {
    let mut world = world(31);
    world.cloud.capacity = 1;
    world.accept(0, &job(1, "t1", 12, 10.0));
    assert!(world.until_done("run-000001", 300_000));
    world.assert_rules_kept();
}

/// A process that becomes leader right after its start finds machines that are older than itself,
/// and drains those without demand at once.
#[test]
fn a_leader_that_has_just_started_drains_surplus_machines() {
    let mut world = world(91);
    world.accept(0, &job(1, "t1", 16, 10.0));
    assert!(world.until_done("run-000001", 90_000));

    world.run(60_000);
    let alive_before = world.workers.iter().filter(|worker| worker.alive).count();
    for number in 0..8 {
        world.add_worker(500 + number, ZONES[number % 2], false, 100);
    }
    world.run(20_000);
    for node in 0..3 {
        world.crash(node, 1_000);
    }

    // The machines are well over a minute old by now, and idle.
    world.run(45_000);
    let alive_after = world.workers.iter().filter(|worker| worker.alive).count();
    assert!(alive_after <= alive_before + 1, "{alive_after} machines are still alive");
    world.assert_rules_kept();
}

/// The fleet record grows with the history and the number of machine types. Beyond the store's
/// value limit, no further forecast window could be saved.
#[test]
fn the_fleet_record_stays_within_the_value_limit() {
    let mut world = World::new(1, 83);
    world.cloud.more_types = 14;
    world.run(5_000);
    world.accept(0, &job(1, "t0", 2, 5.0));
    world.run(900_000);
    let newest_ms = world.store.records["fleet"].value["at"].as_u64().unwrap();
    assert!(newest_ms + 11_000 > 1_000_000_000 + world.now, "the newest window is not on record");
    world.assert_rules_kept();
}
