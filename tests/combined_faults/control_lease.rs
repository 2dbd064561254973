//! Cancellations are confirmed elsewhere while a node acts on its control lease.

use crate::fixtures::{busy, id, on_machines, run_without_cloud, state_of};
use crate::support::{CANCEL_MS, World, job};
use woadlever::core::HttpRequest;

/// The leader alone is refused; another node confirms cancellations; a second or
/// two later the service is down for all, longer than a cancellation may take; and
/// all that again after a short recovery. Clocks drift, a machine hangs and goes
/// on, answers are lost. The word of the confirming node does not arrive, so that
/// only the deadline of the control lease is left.
fn cancel_behind_a_cut_off_leader(seed: u64, refused_ms: u64, drift: f64, hang_ms: u64) {
    let mut w = busy(seed, 8);
    for (controller, drift) in w.controllers.iter_mut().zip([drift, -drift, drift]) {
        controller.drift = drift;
    }
    for round in 0..2 {
        let old = w.leader().unwrap();
        let other = (old + 1) % 3;
        w.network.one_way.extend([(0, 1), (0, 2), (1, 0), (1, 2), (2, 0), (2, 1)]);
        // Where the leader holds a busy machine, that one hangs as well.
        if let Some(m) = (0..w.workers.len()).find(|m| !w.workers[*m].tasks.is_empty()) {
            w.workers[m].hung_until = w.now + 1_500 + hang_ms;
            w.network.lose_replies.insert((m + 1) % w.workers.len());
        }
        w.store.refuses.insert(old);
        w.run(400);
        for n in [1, 2, 3] {
            if state_of(&w, n) != "l" {
                continue;
            }
            assert_eq!(w.cancel(other, &id(n)), 200);
        }
        w.run(refused_ms);
        w.store.down = true;
        run_without_cloud(&mut w, CANCEL_MS + 12_000);
        w.network.lose_replies.clear();
        w.store.refuses.clear();
        w.store.down = false;
        w.network.one_way.clear();
        w.run(12_000);
        if round == 0 {
            let r = w.submit(other, &job(3, "t1", 6, 600.0));
            w.run(12_000);
            assert!(matches!(w.status_answered(r).as_str(), "queued" | "running"));
        }
    }
    assert_eq!(w.users.cancelled.len(), 3);
    w.run(60_000);
    w.fair();
    assert_eq!(on_machines(&w, 1) + on_machines(&w, 2) + on_machines(&w, 3), 0);
}

#[test]
fn what_was_cancelled_before_an_outage_is_gone_in_time_on_the_old_leaders_machines() {
    cancel_behind_a_cut_off_leader(501, 300, 0.0005, 3_000);
}

#[test]
fn the_control_lease_ends_in_time_with_slow_clocks_and_a_longer_refusal() {
    cancel_behind_a_cut_off_leader(502, 1_500, -0.0005, 12_000);
}

#[test]
fn the_control_lease_ends_in_time_with_an_outage_in_the_same_second() {
    cancel_behind_a_cut_off_leader(503, 50, -0.0005, 18_000);
}

/// A watch that stays open through a refusal and an outage proves nothing but
/// what was so when it was sent; nor does a renewed lease, a refused write or a
/// peer's word.
#[test]
fn nothing_but_an_answered_read_renews_the_control_lease() {
    let mut w = busy(504, 4);
    let node = w.leader().unwrap();
    let proof = |w: &World| w.core(node).unwrap().context.control_lease.renewed_at();
    w.run(1_000);
    w.store.refuses.insert(node);
    w.run(100);
    let before = proof(&w);
    // The watch under way ends without an answer; all else is refused; the others
    // tell that they are served.
    w.run(9_000);
    assert_eq!(proof(&w), before, "refused all the while");
    w.store.refuses.clear();
    w.run(3_000);
    assert!(proof(&w) > before);
    // Writes that lose their answer, and conditions that fail, are no proof.
    w.store_faults.slow_watch.insert(node, 20_000);
    w.run(2_500);
    let before = proof(&w);
    w.accept(node, &job(9, "t0", 1, 5.0));
    w.run(6_000);
    assert_eq!(proof(&w), before, "answers of other kinds came in");
    // The late answer proves what was so when it was asked for, no more.
    while proof(&w) == before {
        w.run(25);
    }
    let age = w.core(node).unwrap().context.clock.now() - proof(&w).unwrap();
    assert!(age >= 20_000, "{age}");
    w.store_faults.slow_watch.clear();
    w.run(25_000);
    w.fair();
}

/// A leader is cut from the store and from the other controllers while
/// workers and users still reach it, and jobs are cancelled through the new one.
#[test]
fn an_old_leader_alone_with_its_workers_and_users() {
    let mut w = busy(602, 8);
    let old = w.leader().unwrap();
    for n in (0..3).filter(|n| *n != old) {
        w.network.cuts.insert((old, n));
    }
    w.store.refuses.insert(old);
    w.run(8_000);
    let new = w.leader().unwrap();
    assert_ne!(new, old);
    for n in [1, 2] {
        assert_eq!(w.cancel(new, &id(n)), 200);
        // No older answer, and no wrong one.
        let r = w.ask(old, HttpRequest::Status(id(n)));
        w.run(50);
        assert_eq!(w.users.answers[&r].status, 503);
    }
    run_without_cloud(&mut w, CANCEL_MS + 2_000);
    w.fair();
    w.network.cuts.clear();
    w.store.refuses.clear();
    w.run(20_000);
    for n in [1, 2] {
        assert_eq!(w.status(old, &id(n)), "withdrawn");
    }
    w.fair();
}
