//! Writes whose answer is lost, or that the store carries out late.

use crate::fixtures::{id, state_of, tasks_on_machines};
use crate::support::{World, WriteFault, job};
use serde_json::json;
use woadlever::core::{HttpRequest, StoreResponse};

/// Loses the answers to each kind of write. The writes are carried out either at once, so that other
/// nodes read the new values, or late, after newer writes of the same node.
fn check_writes_without_answers(fault: WriteFault) {
    for (index, prefix) in
        ["w/job/", "w/block/", "place/", "progress/", "fleet", "w/leader", "w/catalog"]
            .into_iter()
            .enumerate()
    {
        for node in 0..3 {
            let mut world = World::new(3, 540 + index as u64);
            world.task_duration_ms = 12_000;
            if prefix != "w/catalog" {
                world.run(5_000);
            }
            world.store_faults.targeted_writes = Some((node, prefix.into(), fault));
            if prefix == "w/leader" {
                let old = world.leader().unwrap();
                world.crash(old, 400);
            }
            for number in 1..5 {
                world.submit(number as usize % 3, &job(number, "t0", 3, 12.0));
            }
            world.run(9_000);
            // Users submit again, as they do if no answer arrived.
            for number in 1..5 {
                world.submit((number as usize + 1) % 3, &job(number, "t0", 3, 12.0));
            }
            if prefix == "w/block/" {
                world.crash((node + 1) % 3, 5_000);
            }
            world.run(9_000);
            world.users.asked_to_cancel.insert(id(4));
            world.ask(node, HttpRequest::Cancel(id(4)));
            world.run(6_000);
            world.store_faults.targeted_writes = None;
            world.run(4_000);
            world.apply_late_writes();
            world.run(3_000);
            for number in 1..5 {
                world.accept(number as usize % 3, &job(number, "t0", 3, 12.0));
            }
            // Another node leads from here on and starts from the stored records.
            let leader = world.leader().unwrap();
            world.crash(leader, 3_000);
            for number in 1..4 {
                assert!(
                    world.until_done(&id(number), 240_000),
                    "{prefix} of node {node}: {number} does not complete"
                );
            }
            world.cancel(0, &id(4));
            world.run(30_000);
            assert!(matches!(state_of(&world, 4).as_str(), "c" | "d"));
            world.assert_rules_kept();
        }
    }
}

#[test]
fn writes_carried_out_at_once_without_an_answer_do_no_harm() {
    check_writes_without_answers(WriteFault::AnswerLost);
}

#[test]
fn writes_carried_out_late_after_newer_ones_do_no_harm() {
    check_writes_without_answers(WriteFault::Held);
}

/// A late write of a progress record must not clear bits of tasks that have been cleared from their
/// machines, since nothing else knows of their success.
#[test]
fn a_late_record_of_progress_takes_nothing_back() {
    let mut world = World::new(3, 548);
    world.task_duration_ms = 6_000;
    world.run(5_000);

    let leader = world.leader().unwrap();

    // The quota lets the tasks run in several waves, so that the job outlasts the first two.
    world.accept(leader, &job(1, "t0", 30, 6.0));
    world.store_faults.targeted_writes = Some((leader, "progress/".into(), WriteFault::Held));
    while world.store_faults.targeted_count == 0 {
        world.run(25);
    }
    world.store_faults.targeted_writes = None;
    world.run(12_000);
    let key = format!("progress/{}/0", id(1));
    let before = world.store.records[&key].clone();
    assert!(
        world.apply_late_writes().iter().all(|response| matches!(response, StoreResponse::Conflict(_)))
    );
    assert_eq!(
        world.store.records[&key].value, before.value,
        "a late write changed the progress record"
    );

    world.crash(leader, 5_000);
    assert!(world.until_done(&id(1), 120_000));
    assert!(world.each_task_started_once(), "done tasks ran again: {:?}", world.oracle.starts);
    world.assert_rules_kept();
}

/// The placement write of a task that a former leader admitted fails. The placement must not be
/// recorded by a later write of the same record whose answer is lost, since that write compares
/// neither the job nor the term.
#[test]
fn a_failed_placement_is_not_revived_by_a_write_with_a_lost_answer() {
    // n1 alone owns the shards in the west, and another node leads.
    let mut world = World::new(3, 550);
    world.task_duration_ms = 60_000;
    world.cloud.capacity = 0;
    world.run(3_000);

    world.crash(1, 8_000);
    world.run(20_000);
    world.add_worker(2, "west", false, 1_000);
    world.add_worker(4, "west", false, 1_000);
    world.run(9_000);
    assert!(world.leader() != Some(1) && world.shard_owner_of(0) == 1);

    let mut submission = job(1, "t1", 3, 60.0);
    submission["yard"] = json!("west");
    world.accept(0, &submission);
    world.run(12_000);
    assert_eq!(tasks_on_machines(&world, 1), 3);

    // The write that places another job is in flight for 7.5 s.
    world.store_faults.slow_writes.insert(1, 7_500);
    world.accept(0, &job(2, "t0", 2, 60.0));
    world.store_faults.slow_writes.clear();
    let old = world.leader().unwrap();
    let free = (0..3).find(|node| *node != 1 && *node != old).unwrap();

    // Meanwhile the placement record lists attempts that have ended, so that it must be written in
    // any case.
    world.cancel(free, &id(1));
    world.run(1_800);

    // There is free capacity elsewhere from here on.
    for number in 5..9 {
        world.add_worker(number, "east", false, 10);
    }
    world.crash(old, 60_000);
    world.run(2_000);
    world.network.one_way_losses.extend([(1, 0), (1, 2), (0, 1), (2, 1)]);
    world.store_faults.timeout_ms = 100;
    world.store_faults.targeted_writes = Some((1, "place/".into(), WriteFault::AnswerLost));
    world.run(12_000);
    assert_eq!(world.leader(), Some(free));
    assert!(tasks_on_machines(&world, 2) > 0, "the new leader did not start it elsewhere");

    world.store_faults.targeted_writes = None;
    world.network.one_way_losses.clear();
    assert!(world.until_done(&id(2), 240_000));
    world.assert_rules_kept();
}
