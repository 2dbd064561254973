//! Bounds on what a node keeps in memory and on how often it runs its most expensive computations,
//! checked by counting instead of measuring time.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod support;

use support::{World, job};
use woadlever::core::common::named_table::NamedTable;
use woadlever::core::common::recent_names::RecentNames;
use woadlever::model::MachineIndex;

#[test]
fn terminated_machines_leave_nothing_behind() {
    let mut world = World::new(1, 1);
    world.run(5_000);
    for number in 1..=6 {
        world.accept(0, &job(number, "t1", 8, 10.0));
        assert!(world.until_done(&format!("run-{number:06}"), 120_000));
        world.run(90_000);
    }
    assert!(world.cloud.terminated.len() >= 6, "{} machines terminated", world.cloud.terminated.len());
    let alive = world.workers.iter().filter(|worker| worker.alive).count();
    let statistics = world.core(0).expect("a node").statistics();
    assert!(statistics.owned_machines <= alive, "{statistics:?}, {alive} machines");
    assert!(statistics.fleet_machines <= alive, "{statistics:?}, {alive} machines");
    world.assert_rules_kept();
}

#[test]
fn a_table_forgets_removed_entries_and_reuses_no_index() {
    let mut table: NamedTable<MachineIndex, u32> = NamedTable::default();
    let (first, _) = table.get_or_insert_with("a", || 1);
    assert_eq!(table.get_or_insert_with("a", || 2), (first, &mut 1));
    assert_eq!(table.remove(first), Some(1));
    assert_eq!((table.index_of("a"), table.get(first), table.len()), (None, None, 0));
    let (second, _) = table.get_or_insert_with("a", || 3);
    assert_ne!(first, second);
    assert_eq!(table.remove(first), None);
    assert_eq!(table.values().copied().collect::<Vec<u32>>(), [3]);
}

#[test]
fn only_the_most_recent_names_are_kept() {
    let mut names = RecentNames::new(100);
    for number in 0..1_000 {
        assert!(names.insert(&format!("host-{number}")));
        assert!(!names.insert(&format!("host-{number}")));
    }
    assert_eq!(names.len(), 100);
    assert!(names.contains("host-900") && !names.contains("host-899"));
}

/// Tasks are waiting throughout, so that every plan covers all attempts and machines.
#[test]
fn a_leader_makes_two_plans_a_second_and_one_for_each_refusal() {
    let mut world = World::new(1, 2);
    world.cloud.capacity = 1;
    world.run(5_000);
    for number in 1..=4 {
        world.accept(0, &job(number, "t1", 30, 600.0));
    }
    let plans = |world: &World| world.core(0).expect("a node").statistics().plans;
    let before = plans(&world);
    world.run(20_000);
    let made = plans(&world) - before;
    // A refusal by the cloud leads to one more plan at once.
    assert!((30..=52).contains(&made), "{made} plans in 20 s");
}
