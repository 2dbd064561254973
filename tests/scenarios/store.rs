//! The key-value store is out, refuses a node, or loses answers.

use crate::fixtures::world;
use crate::support::{World, ZONES, job};
use woadlever::core::HttpRequest;

/// After an outage shorter than the leases, work goes on where it was.
#[test]
fn a_short_outage_of_the_store_loses_no_work() {
    let mut w = world(9);
    w.run_ms = 60_000;
    w.accept(0, &job(1, "t1", 8, 60.0));
    w.run(35_000);
    w.store.down = true;
    w.run(10_000);
    assert_eq!(w.status(0, "run-999999"), "503", "no answer may rest on what is not known");
    w.store.down = false;
    assert!(w.until_done("run-000001", 150_000));
    assert!(w.oracle.starts.values().all(|n| *n == 1));
    w.fair();
}

#[test]
fn a_long_outage_ends_leases_and_every_task_still_completes() {
    let mut w = world(10);
    w.run_ms = 30_000;
    w.accept(0, &job(1, "t1", 8, 30.0));
    w.run(25_000);
    w.store.down = true;
    w.run(70_000);
    w.store.down = false;
    assert!(w.until_done("run-000001", 250_000));
    w.fair();
}

/// A node that the store refuses alone is not ready and loses its
/// shards; in an outage for all, everyone stays ready.
#[test]
fn readiness_tells_a_lone_refusal_from_an_outage() {
    let mut w = world(11);
    let victim = (w.leader().unwrap() + 1) % 3;
    let ready = |w: &mut World, n: usize| {
        let r = w.ask(n, HttpRequest::Ready);
        w.run(50);
        w.users.answers[&r].status
    };
    w.store.refuses.insert(victim);
    w.run(8_000);
    assert_eq!(ready(&mut w, victim), 503);
    let name = format!("n{victim}");
    let owns_a_shard =
        w.store.records_under("w/block/").any(|(_, record)| record.value["node"] == name.as_str());
    assert!(!owns_a_shard, "it keeps shards that it can't serve");
    w.store.refuses.clear();
    w.run(5_000);
    assert_eq!(ready(&mut w, victim), 200);
    w.store.down = true;
    w.run(8_000);
    for n in 0..3 {
        assert_eq!(ready(&mut w, n), 200);
    }
}

/// Invariant 2 and 3: an answer that the worker never got proves nothing, and
/// the `run` in it is sent again instead of the task being put elsewhere.
#[test]
fn a_lost_answer_neither_loses_nor_doubles_a_task() {
    let mut w = world(12);
    w.accept(0, &job(1, "t1", 8, 10.0));
    w.run(12_000);
    w.network.lose_replies = (0..w.workers.len()).collect();
    w.run(8_000);
    w.network.lose_replies.clear();
    assert!(w.until_done("run-000001", 150_000));
    assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
    w.fair();
}

/// Transactions whose answer is lost, and that run seconds later.
#[test]
fn late_writes_do_no_harm() {
    for seed in 0..4 {
        let mut w = world(20 + seed);
        w.store_faults.loss = 0.3;
        w.accept(0, &job(1, "t1", 16, 10.0));
        w.accept(1, &job(2, "t0", 6, 10.0));
        w.run(60_000);
        w.store_faults.loss = 0.0;
        assert!(w.until_done("run-000001", 200_000));
        assert!(w.until_done("run-000002", 200_000));
        w.fair();
    }
}

/// What is tried again and again in a long outage must not be paid for after it:
/// the node that leads writes and places as soon as it is over. And machines
/// that nobody could answer meanwhile were not silent.
#[test]
fn a_long_outage_leaves_no_debt_and_costs_no_machine() {
    let mut w = World::large(3, 92);
    w.run_ms = 12_000;
    w.run(5_000);
    for i in 0..40 {
        w.add_worker(i, ZONES[i % 2], false, 100);
    }
    w.run(9_000);
    for id in 0..40 {
        w.submit(id as usize % 3, &job(id, "t1", 3, 12.0));
        w.run(100);
    }
    // More than all machines can take at once, so that none is surplus.
    w.submit(0, &job(50, "t1", 600, 12.0));
    w.run(4_000);
    w.store.down = true;
    w.run(60_000);
    w.store.down = false;
    let before = w.oracle.starts.len();
    w.run(25_000);
    assert!(
        w.oracle.starts.len() > before + 150,
        "{} starts after the outage",
        w.oracle.starts.len() - before
    );
    assert!(w.cloud.returned.is_empty(), "{} machines returned", w.cloud.returned.len());
    assert!(w.until_done("run-000050", 120_000));
    w.fair();
}
