//! What is cancelled is gone in time and stays cancelled.

use crate::fixtures::{busy_machine, busy_world, world};
use crate::support::job;

#[test]
fn a_cancelled_job_is_gone_in_time_and_stays_cancelled() {
    let mut w = world(4);
    w.run_ms = 300_000;
    w.accept(0, &job(1, "t1", 8, 300.0));
    w.run(40_000);
    assert!(!w.oracle.starts.is_empty());
    assert_eq!(w.cancel(1, "run-000001"), 200);
    for n in 0..3 {
        assert_eq!(w.status(n, "run-000001"), "withdrawn");
    }
    w.run(60_000);
    assert!(w.workers.iter().all(|x| x.tasks.is_empty()));
    // A repeated submission changes nothing.
    let r = w.submit(2, &job(1, "t1", 8, 300.0));
    w.run(500);
    assert_eq!(w.users.answers[&r].status, 200);
    assert!(w.users.answers[&r].body.contains("withdrawn"));
    w.fair();
}

/// Invariant 5: a shard owner cut off from all but its workers must let their
/// leases end before a cancellation that it never saw is overdue.
#[test]
fn a_shard_owner_cut_off_from_all_but_its_workers_keeps_nothing_cancelled() {
    let mut w = busy_world(5, 8);
    let (_, victim) = busy_machine(&w);
    for other in (0..3).filter(|n| *n != victim) {
        w.network.cuts.insert((victim, other));
    }
    w.store.refuses.insert(victim);
    // Nor can the machines be returned.
    w.cloud.is_down = true;
    w.run(500);
    let leader = w.leader().unwrap();
    for id in ["run-000001", "run-000002"] {
        assert_eq!(w.cancel(leader, id), 200);
    }
    w.run(120_000);
    w.fair();
}

/// Invariant 7: done and cancelled exclude each other, however late the leader
/// hears of a cancellation.
#[test]
fn a_cancelled_job_is_never_called_done() {
    let mut w = world(46);
    w.accept(0, &job(1, "t1", 4, 10.0));
    let leader = w.leader().unwrap();
    while w.oracle.starts.len() < 4 {
        w.run(500);
    }
    // The tasks end, and the leader's word of it is under way for long.
    w.store_faults.slow_writes.insert(leader, 9_000);
    w.run(12_500);
    assert_eq!(w.cancel((leader + 1) % 3, "run-000001"), 200);
    w.run(20_000);
    w.store_faults.slow_writes.clear();
    w.run(20_000);
    assert_eq!(w.store.job("run-000001").unwrap()["s"], "c");
    for n in 0..3 {
        assert_eq!(w.status(n, "run-000001"), "withdrawn");
    }
}
