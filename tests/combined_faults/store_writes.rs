//! Writes whose answer is lost, or that are carried out late.

use crate::fixtures::{id, on_machines, state_of};
use crate::support::{Fate, World, job};
use serde_json::json;
use woadlever::core::{HttpRequest, StoreResponse};

/// Each kind of write loses its answer, and is carried out at once while other
/// nodes read what it wrote, or late, after newer ones of the same node.
fn lost_answers(fate: Fate) {
    for (k, prefix) in ["w/job/", "w/block/", "place/", "progress/", "fleet", "w/leader", "w/catalog"]
        .into_iter()
        .enumerate()
    {
        for node in 0..3 {
            let mut w = World::new(3, 540 + k as u64);
            w.run_ms = 12_000;
            if prefix != "w/catalog" {
                w.run(5_000);
            }
            w.store_faults.pick = Some((node, prefix.into(), fate));
            if prefix == "w/leader" {
                let old = w.leader().unwrap();
                w.crash(old, 400);
            }
            for n in 1..5 {
                w.submit(n as usize % 3, &job(n, "t0", 3, 12.0));
            }
            w.run(9_000);
            // Users come again where no answer came.
            for n in 1..5 {
                w.submit((n as usize + 1) % 3, &job(n, "t0", 3, 12.0));
            }
            if prefix == "w/block/" {
                w.crash((node + 1) % 3, 5_000);
            }
            w.run(9_000);
            w.users.asked_to_cancel.insert(id(4));
            w.ask(node, HttpRequest::Cancel(id(4)));
            w.run(6_000);
            w.store_faults.pick = None;
            w.run(4_000);
            w.carry_out_late();
            w.run(3_000);
            for n in 1..5 {
                w.accept(n as usize % 3, &job(n, "t0", 3, 12.0));
            }
            // Another leads from here on, and starts from the records.
            let leader = w.leader().unwrap();
            w.crash(leader, 3_000);
            for n in 1..4 {
                assert!(w.until_done(&id(n), 240_000), "{prefix} of node {node}: {n} never ends");
            }
            w.cancel(0, &id(4));
            w.run(30_000);
            assert!(matches!(state_of(&w, 4).as_str(), "c" | "d"));
            w.fair();
        }
    }
}

#[test]
fn writes_carried_out_at_once_without_an_answer_do_no_harm() {
    lost_answers(Fate::AnswerLost);
}

#[test]
fn writes_carried_out_late_after_newer_ones_do_no_harm() {
    lost_answers(Fate::Late);
}

/// A late record of progress must not take back bits whose tasks have been
/// cleared from their machines.
#[test]
fn a_late_record_of_progress_takes_nothing_back() {
    let mut w = World::new(3, 548);
    w.run_ms = 6_000;
    w.run(5_000);
    let leader = w.leader().unwrap();
    // Two waves of ends; a last task that outlives both.
    w.accept(leader, &job(1, "t0", 30, 6.0));
    w.store_faults.pick = Some((leader, "progress/".into(), Fate::Late));
    while w.store_faults.picked == 0 {
        w.run(25);
    }
    w.store_faults.pick = None;
    w.run(12_000);
    let key = format!("progress/{}/0", id(1));
    let before = w.store.records[&key].clone();
    assert!(w.carry_out_late().iter().all(|r| matches!(r, StoreResponse::Conflict(_))));
    assert_eq!(w.store.records[&key].value, before.value, "bits went back");
    w.crash(leader, 5_000);
    assert!(w.until_done(&id(1), 120_000));
    assert!(w.oracle.starts.values().all(|n| *n == 1), "done tasks ran again: {:?}", w.oracle.starts);
    w.fair();
}

/// A binding granted by a leader that is no more fails; it must not come back
/// with a later write of the record that loses its answer, as that one checks
/// neither the job nor who granted it.
#[test]
fn a_failed_placement_is_not_revived_by_a_write_with_a_lost_answer() {
    // n1 alone holds the west, and another leads.
    let mut w = World::new(3, 550);
    w.run_ms = 60_000;
    w.cloud.capacity = 0;
    w.run(3_000);
    w.crash(1, 8_000);
    w.run(20_000);
    w.add_worker(2, "west", false, 1_000);
    w.add_worker(4, "west", false, 1_000);
    w.run(9_000);
    assert!(w.leader() != Some(1) && w.shard_owner_of(0) == 1);
    let mut j = job(1, "t1", 3, 60.0);
    j["yard"] = json!("west");
    w.accept(0, &j);
    w.run(12_000);
    assert_eq!(on_machines(&w, 1), 3);
    // Bindings of another job are under way for long.
    w.store_faults.slow_writes.insert(1, 7_500);
    w.accept(0, &job(2, "t0", 2, 60.0));
    w.store_faults.slow_writes.clear();
    let old = w.leader().unwrap();
    let free = (0..3).find(|n| *n != 1 && *n != old).unwrap();
    // Meanwhile the record comes to list what is gone, so that it is due to be
    // written in any case.
    w.cancel(free, &id(1));
    w.run(1_800);
    // There is room elsewhere from here on.
    for i in 5..9 {
        w.add_worker(i, "east", false, 10);
    }
    w.crash(old, 60_000);
    w.run(2_000);
    w.network.one_way.extend([(1, 0), (1, 2), (0, 1), (2, 1)]);
    w.store_faults.timeout_ms = 100;
    w.store_faults.pick = Some((1, "place/".into(), Fate::AnswerLost));
    w.run(12_000);
    assert_eq!(w.leader(), Some(free));
    assert!(on_machines(&w, 2) > 0, "the new leader has it start elsewhere");
    w.store_faults.pick = None;
    w.network.one_way.clear();
    assert!(w.until_done(&id(2), 240_000));
    w.fair();
}
