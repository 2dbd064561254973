//! Cancelled jobs end within the time limit and stay cancelled.

use crate::fixtures::{busy_machine, busy_world, world};
use crate::support::job;

#[test]
fn a_cancelled_job_ends_in_time_and_stays_cancelled() {
    let mut world = world(4);
    world.task_duration_ms = 300_000;
    world.accept(0, &job(1, "t1", 8, 300.0));
    world.run(40_000);
    assert!(!world.oracle.starts.is_empty());
    assert_eq!(world.cancel(1, "run-000001"), 200);

    for node in 0..3 {
        assert_eq!(world.status(node, "run-000001"), "withdrawn");
    }
    world.run(60_000);
    assert!(world.workers.iter().all(|worker| worker.tasks.is_empty()));

    // A repeated submission changes nothing.
    let repeated = world.submit(2, &job(1, "t1", 8, 300.0));
    world.run(500);
    assert_eq!(world.users.answers[&repeated].status, 200);
    assert!(world.users.answers[&repeated].body.contains("withdrawn"));
    world.assert_rules_kept();
}

/// Invariant 5: a shard owner that can reach only its workers must let their leases end before the
/// time limit of a cancellation that it has not seen.
#[test]
fn a_shard_owner_that_reaches_only_its_workers_lets_cancelled_tasks_end_in_time() {
    let mut world = busy_world(5, 8);
    let (_, victim) = busy_machine(&world);
    for other in (0..3).filter(|node| *node != victim) {
        world.network.unreachable_pairs.insert((victim, other));
    }
    world.store.refused_nodes.insert(victim);

    // The machines can't be terminated through the cloud either.
    world.cloud.is_down = true;
    world.run(500);
    let leader = world.leader().unwrap();
    for id in ["run-000001", "run-000002"] {
        assert_eq!(world.cancel(leader, id), 200);
    }
    world.run(120_000);
    world.assert_rules_kept();
}

/// Invariant 7: a job is never both done and cancelled, however late the leader learns of a
/// cancellation.
#[test]
fn a_cancelled_job_is_never_reported_done() {
    let mut world = world(46);
    world.accept(0, &job(1, "t1", 4, 10.0));
    let leader = world.leader().unwrap();
    while world.oracle.starts.len() < 4 {
        world.run(500);
    }

    // The tasks end while the leader's write that records this is in flight for 9 s.
    world.store_faults.slow_writes.insert(leader, 9_000);
    world.run(12_500);
    assert_eq!(world.cancel((leader + 1) % 3, "run-000001"), 200);

    world.run(20_000);
    world.store_faults.slow_writes.clear();
    world.run(20_000);
    assert_eq!(world.store.job("run-000001").unwrap()["s"], "c");

    for node in 0..3 {
        assert_eq!(world.status(node, "run-000001"), "withdrawn");
    }
}
