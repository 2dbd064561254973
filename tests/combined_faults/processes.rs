//! Processes start, end and change roles.

use crate::fixtures::{busy, id, state_of};
use crate::support::{LEASE_MS, World, job};
use serde_json::json;
use woadlever::core::HttpRequest;

/// A new process reads many records in pages. Who holds what stands on the first,
/// the jobs of what is held on the last: taken up from the first page alone, its
/// shard's attempts would be nobody's.
#[test]
fn a_process_owns_no_shard_before_it_knows_every_job() {
    let mut w = World::new(3, 560);
    w.run_ms = 600_000;
    w.run(5_000);
    for n in 1..80 {
        let r = w.submit(0, &job(n, "t0", 1, 5.0));
        w.run(50);
        assert_eq!(w.users.answers[&r].status, 201);
        w.users.asked_to_cancel.insert(id(n));
        w.ask(0, HttpRequest::Cancel(id(n)));
        w.run(50);
    }
    for (n, zone) in [(900, "east"), (901, "west")] {
        let mut j = job(n, "t1", 8, 600.0);
        j["yard"] = json!(zone);
        w.accept(0, &j);
    }
    w.run(60_000);
    let started = w.oracle.starts.clone();
    for node in [2, 1, 0] {
        // Back at once, and its first read comes after the leader has heard it.
        w.crash(node, 100);
        w.store.refuses.insert(node);
        w.run(1_000);
        w.store.refuses.remove(&node);
        w.run(9_000);
    }
    w.run(40_000);
    w.fair();
    assert_eq!(w.oracle.starts, started, "tasks were given up and started again");
}

/// Controllers hand over and back, all end, and one returns, within a second.
#[test]
fn all_end_and_one_returns_within_a_second() {
    for (seed, back) in [(561, 40), (562, 250), (563, 800)] {
        let mut w = busy(seed, 6);
        let first = w.leader().unwrap();
        w.crash(first, back);
        w.run(back + 300);
        w.crash(first, back);
        w.run(6_000);
        for n in 0..3 {
            w.crash(n, if n == 1 { back } else { 9_000 });
        }
        w.run(7_000);
        assert_eq!(w.leader(), Some(1), "the one that is there leads");
        w.run(25_000);
        assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
        w.accept(1, &job(5, "t0", 2, 5.0));
        w.fair();
    }
}

/// Leaders change ten times in two minutes, also within an outage, while jobs come,
/// end and are cancelled.
#[test]
fn ten_leaders_in_two_minutes() {
    let mut w = World::new(3, 564);
    w.run_ms = 15_000;
    w.run(5_000);
    for turn in 0..10u32 {
        let body = job(turn + 1, "t1", 3, 15.0);
        let node = turn as usize % 3;
        w.submit(node, &body);
        w.run(4_000);
        w.store.down = turn == 4 || turn == 7;
        w.run(500);
        if let Some(l) = w.leader() {
            w.crash(l, if turn % 2 == 0 { 300 } else { 4_000 });
        }
        w.run(2_000);
        w.store.down = false;
        if turn % 4 == 3 {
            w.cancel(node, &id(turn));
        }
        w.run(5_500);
        w.submit(node, &body);
    }
    for n in 1..11 {
        if state_of(&w, n) != "c" {
            w.accept(0, &job(n, "t1", 3, 15.0));
            assert!(w.until_done(&id(n), 200_000), "{n}");
        }
    }
    w.fair();
}

/// All controllers are away for longer than a lease.
#[test]
fn all_nodes_away_for_longer_than_a_lease() {
    let mut w = busy(565, 6);
    for n in 0..3 {
        w.crash(n, LEASE_MS + 9_000);
    }
    w.run(LEASE_MS + 9_000);
    w.run_ms = 10_000;
    for n in [1, 2] {
        assert!(w.until_done(&id(n), 240_000));
    }
    w.fair();
}

/// A job's tasks end far apart, with a change of leader between them: what was done
/// under the first is neither lost nor called done too early.
#[test]
fn tasks_that_end_far_apart_across_a_change_of_leader() {
    for (seed, tasks) in [(566, 2), (567, 3)] {
        let mut w = World::new(3, seed);
        w.run_ms = 10_000;
        w.run(5_000);
        w.accept(0, &job(1, "t0", tasks, 10.0));
        while w.oracle.starts.is_empty() {
            w.run(25);
        }
        // The first to start ends soon, the others much later.
        w.run(600);
        w.run_ms = 90_000;
        for x in &mut w.workers {
            for t in x.tasks.iter_mut().skip(1) {
                t.at += 80_000;
            }
        }
        for _ in 0..5 {
            w.run(12_000);
            if state_of(&w, 1) == "l" {
                assert_ne!(w.status(0, &id(1)), "done");
            }
            let l = w.leader().unwrap();
            w.crash(l, 2_000);
        }
        assert!(w.until_done(&id(1), 200_000));
        w.run(3_000);
        for n in 0..3 {
            assert_eq!(w.status(n, &id(1)), "done");
        }
        assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
        w.fair();
    }
}
