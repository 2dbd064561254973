//! Heartbeats that are old.

use crate::fixtures::{busy, machine_of, run_without_cloud};
use crate::support::{LEASE_MS, Worker, World, job};
use serde_json::json;

/// Two old heartbeats reach a new shard owner, one of an earlier incarnation and one of this
/// incarnation from before the tasks were started: together they look like an incarnation
/// that has ended.
#[test]
fn old_heartbeats_of_two_incarnations_prove_nothing_to_a_new_shard_owner() {
    let mut w = World::new(3, 570);
    w.run_ms = 600_000;
    w.cloud.capacity = 0;
    for i in 1..5 {
        w.add_worker(i, if i % 2 == 0 { "east" } else { "west" }, false, 500);
    }
    w.run(8_000);
    let first: Vec<_> = w.workers.iter().map(Worker::heartbeat).collect();
    for x in &mut w.workers {
        x.cut = true;
    }
    run_without_cloud(&mut w, LEASE_MS + 3_000);
    for x in &mut w.workers {
        x.cut = false;
    }
    w.run(9_000);
    let second: Vec<_> = w.workers.iter().map(Worker::heartbeat).collect();
    assert!(second.iter().all(|r| r.incarnation == 2));
    for (n, zone) in [(1, "east"), (2, "west")] {
        let mut j = job(n, "t1", 2, 600.0);
        j["yard"] = json!(zone);
        w.accept(0, &j);
    }
    w.run(12_000);
    assert_eq!(w.oracle.starts.len(), 4);
    let m = machine_of(&w, 1);
    let shard_owner = w.shard_owner_of(m);
    // The machine itself is not heard for a while.
    w.workers[m].cut = true;
    w.crash(shard_owner, 30_000);
    w.run(6_000);
    let now = w.shard_owner_of(m);
    assert_ne!(now, shard_owner);
    for r in [&first[m], &second[m]] {
        w.late_heartbeat(now, r.clone());
    }
    w.run(3_000);
    w.workers[m].cut = false;
    w.run(40_000);
    assert!(
        w.oracle.starts.values().all(|n| *n == 1),
        "given up on the word of old reports: {:?}",
        w.oracle.starts
    );
    w.fair();
}

/// Old heartbeats reach every controller just as a new leader begins, of machines in
/// use, of one returned long ago and with attempts that are no more; and some are
/// kept until the new leader has acted.
#[test]
fn old_heartbeats_reach_every_controller_as_a_new_leader_begins() {
    for (seed, wait) in [(571, 0), (572, 5_600), (573, 9_000)] {
        let mut w = busy(seed, 8);
        let old: Vec<_> = w.workers.iter().map(Worker::heartbeat).collect();
        // What ran then ends, on some machines by a lease that ran out.
        let m = machine_of(&w, 2);
        w.workers[m].cut = true;
        w.run(LEASE_MS + 4_000);
        w.workers[m].cut = false;
        w.run(30_000);
        let starts = w.oracle.starts.clone();
        let leader = w.leader().unwrap();
        w.crash(leader, 3_000);
        w.run(wait);
        for n in 0..3 {
            for r in &old {
                w.late_heartbeat(n, r.clone());
            }
            w.run(25);
        }
        w.run(60_000);
        assert_eq!(w.oracle.starts, starts, "after {wait}");
        w.fair();
    }
}
