//! Machines are lost or out of reach while something else goes wrong.

use crate::fixtures::{busy, id, machine_of, on_machines};
use crate::support::{LEASE_MS, World, job};
use serde_json::json;

/// Every team is at its limit; its machines are cut off, hang or are mute, jobs
/// are cancelled there and the leader changes: what may still run counts on.
#[test]
fn a_team_at_its_quota_whose_machines_cannot_be_asked_gets_nothing_more() {
    for (seed, trouble) in [(580, "cut"), (581, "hang"), (582, "mute")] {
        let mut w = World::new(3, seed);
        w.run_ms = 600_000;
        w.run(5_000);
        w.accept(0, &job(1, "t0", 8, 600.0));
        w.accept(1, &job(2, "t1", 16, 600.0));
        w.run(60_000);
        assert_eq!(on_machines(&w, 1), 8, "its limit is full");
        for m in 0..w.workers.len() {
            if w.workers[m].tasks.iter().any(|t| t.job == id(1)) {
                match trouble {
                    "cut" => w.workers[m].cut = true,
                    "mute" => w.workers[m].mute = true,
                    _ => w.workers[m].hung_until = w.now + 16_000,
                }
            }
        }
        w.cloud.is_down = true;
        w.run(1_000);
        let leader = w.leader().unwrap();
        assert_eq!(w.cancel((leader + 1) % 3, &id(1)), 200);
        w.accept(leader, &job(3, "t0", 8, 600.0));
        w.crash(leader, 2_000);
        w.run(9_000);
        let next = w.leader().unwrap();
        w.crash(next, 2_000);
        w.run(12_000);
        for x in &mut w.workers {
            (x.cut, x.mute) = (false, false);
        }
        w.cloud.is_down = false;
        w.run(90_000);
        assert!(on_machines(&w, 3) > 0, "{trouble}: nothing of the next job runs");
        w.fair();
    }
}

/// New machines are up within two seconds and get work at once, while writes lag,
/// and the leader that rented them ends before any list shows them.
#[test]
fn machines_up_at_once_while_writes_lag_and_the_leader_ends() {
    for (seed, wait) in [(590, 1_500), (591, 3_000), (592, 5_000)] {
        let mut w = World::new(3, seed);
        w.cloud.boot_ms = 300..2_000;
        w.run_ms = 30_000;
        w.run(5_000);
        for n in 0..3 {
            w.store_faults.slow_writes.insert(n, 700);
        }
        w.accept(0, &job(1, "t1", 12, 30.0));
        w.run(wait);
        let leader = w.leader().unwrap();
        w.crash(leader, 1_000);
        w.run(9_000);
        w.store_faults.slow_writes.clear();
        assert!(w.until_done(&id(1), 150_000));
        assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
        w.fair();
    }
}

/// Jobs bound to one zone, one of them an array that needs all its tasks in one,
/// lose machines, and complete there.
#[test]
fn jobs_bound_to_a_zone_lose_machines() {
    let mut w = World::new(3, 593);
    w.run_ms = 25_000;
    w.run(5_000);
    let mut a = job(1, "t1", 8, 25.0);
    a["yard"] = json!("east");
    let mut b = job(2, "t0", 6, 25.0);
    b["one_zone"] = json!(true);
    for j in [&a, &b] {
        w.accept(0, j);
    }
    w.run(30_000);
    for n in [1, 2] {
        if let Some(m) = w.workers.iter().position(|x| x.tasks.iter().any(|t| t.job == id(n))) {
            w.workers[m].alive = false;
        }
    }
    let leader = w.leader().unwrap();
    w.crash(leader, 1_000);
    for n in [1, 2] {
        assert!(w.until_done(&id(n), 200_000), "{n}");
    }
    w.fair();
}

/// A leader ends while machines with long tasks can't be reached, and others do
/// not hear the new leader's answer.
#[test]
fn a_leader_ends_while_machines_are_out_of_reach() {
    let mut w = busy(594, 8);
    let (a, b) = (machine_of(&w, 1), machine_of(&w, 2));
    w.workers[a].cut = true;
    w.network.lose_replies.insert(b);
    let leader = w.leader().unwrap();
    w.crash(leader, 4_000);
    w.run(11_000);
    w.workers[a].cut = false;
    w.network.lose_replies.clear();
    w.run(60_000);
    assert!(w.oracle.starts.values().all(|n| *n == 1), "all within their leases: {:?}", w.oracle.starts);
    w.fair();
}

/// A machine is heard again just before its lease ends. A task sent in the answer to
/// that heartbeat may meet the end of the incarnation, be given up with the first heartbeat of
/// the next and start elsewhere within the same second: none is sent before the
/// machine has been heard a second time.
#[test]
fn a_machine_heard_again_after_a_long_silence_gets_work_with_its_next_heartbeat() {
    let mut w = World::new(3, 620);
    w.cloud.capacity = 0;
    w.run_ms = 20_000;
    w.add_worker(1, "east", false, 500);
    w.run(9_000);
    w.accept(0, &job(1, "t1", 1, 20.0));
    w.run(9_000);
    assert_eq!(on_machines(&w, 1), 1);
    w.workers[0].cut = true;
    w.run(LEASE_MS / 2 + 4_000);
    // More to do meanwhile, and room for it there.
    w.accept(0, &job(2, "t1", 2, 20.0));
    w.workers[0].cut = false;
    let sequence = w.workers[0].sequence;
    while w.workers[0].sequence == sequence {
        w.run(25);
    }
    w.run(1_200);
    assert_eq!(on_machines(&w, 2), 0, "in the answer to its first report");
    assert!(w.until_done(&id(2), 60_000));
    assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
    w.fair();
}
