//! Cancellations meet other faults.

use crate::fixtures::{busy, id, machine_of, on_machines, state_of};
use crate::support::{CANCEL_MS, World, job};
use woadlever::core::HttpRequest;

/// The word of the node that confirms a cancellation stops tasks at a shard owner whose
/// watch lags, those that wait for their image included, and by direct command.
#[test]
fn a_cancellation_stops_at_once_what_a_lagging_shard_owner_started() {
    let mut w = World::new(3, 510);
    w.run_ms = 600_000;
    w.run(5_000);
    w.accept(0, &job(1, "t1", 12, 600.0));
    w.run(20_000);
    for n in 0..3 {
        w.store_faults.slow_watch.insert(n, 8_000);
    }
    w.run(1_000);
    assert!(on_machines(&w, 1) > 0);
    assert_eq!(w.cancel(0, &id(1)), 200);
    w.run(600);
    let live = |w: &World| {
        let tasks = w.workers.iter().flat_map(|x| &x.tasks);
        tasks.filter(|t| t.why.is_none()).count()
    };
    assert_eq!(live(&w), 0, "the watch shows it seconds later, and reports are rare");
    assert_eq!(w.oracle.late_starts, [], "started after the confirmation");
    // Bound and on record, its `run` not yet sent: it never is.
    w.accept(0, &job(2, "t1", 12, 600.0));
    let on_record = |w: &World| {
        let mut records = w.store.records_under("place/");
        records.any(|(_, record)| {
            let jobs = record.value["j"].as_array().unwrap();
            jobs.iter().any(|job| job[0] == id(2))
        })
    };
    for x in &mut w.workers {
        x.mute = true;
    }
    while !on_record(&w) {
        w.run(5);
    }
    assert_eq!(w.cancel(0, &id(2)), 200);
    for x in &mut w.workers {
        x.mute = false;
    }
    w.run(30_000);
    assert_eq!(w.oracle.late_starts, [], "started after the confirmation");
    w.fair();
}

/// A machine whose heartbeats reach nobody is still told to stop.
#[test]
fn a_machine_without_heartbeats_is_stopped_by_direct_command() {
    let mut w = busy(511, 4);
    let m = machine_of(&w, 1);
    w.workers[m].mute = true;
    w.run(3_000);
    assert_eq!(w.cancel(0, &id(1)), 200);
    w.run(200);
    let ended = w.workers[m].tasks.iter().all(|t| t.why.as_deref() == Some("halted"));
    assert!(ended, "long before its lease ends");
    w.run(60_000);
    w.fair();
}

/// Jobs are called off while machines that run them hang; they go on within their
/// lease and must not keep the tasks.
#[test]
fn what_hung_when_it_was_cancelled_ends_when_it_goes_on() {
    for (seed, hang) in [(512, 6_000), (513, 17_000), (514, 19_900), (515, 33_000)] {
        let mut w = busy(seed, 6);
        for n in [1, 2] {
            let m = machine_of(&w, n);
            w.workers[m].hung_until = w.now + hang;
        }
        for n in [1, 2] {
            assert_eq!(w.cancel(n as usize, &id(n)), 200);
        }
        w.run(hang + 1_500);
        let live = w.workers.iter().flat_map(|x| &x.tasks).filter(|t| t.why.is_none()).count();
        assert_eq!(live, 0, "{hang}");
        w.run(CANCEL_MS);
        w.fair();
    }
}

/// Jobs are cancelled in the moments in which a node's shards change hands: before
/// the new shard owner has read its records, and while the old one still answers.
#[test]
fn cancelled_while_shards_change_owners() {
    for (seed, wait) in [(516, 0), (517, 200), (518, 2_600), (519, 3_100), (520, 3_400)] {
        let mut w = busy(seed, 8);
        let m = machine_of(&w, 1);
        let shard_owner = w.shard_owner_of(m);
        let other = (shard_owner + 1) % 3;
        for n in (0..3).filter(|n| *n != shard_owner) {
            w.network.cuts.insert((shard_owner, n));
        }
        w.run(wait);
        assert_eq!(w.cancel(other, &id(1)), 200);
        assert_eq!(w.cancel(other, &id(2)), 200);
        w.run(8_000);
        w.network.cuts.clear();
        w.run(CANCEL_MS);
        assert_eq!(on_machines(&w, 1) + on_machines(&w, 2), 0, "{wait}");
        w.fair();
    }
}

/// A cancellation, a question and a repeated submission meet the end of a job's
/// last task, to the millisecond: either all say done or all say cancelled.
#[test]
fn a_cancellation_meets_the_end_of_the_last_task() {
    let mut seen = [0, 0];
    for k in 0..24 {
        let mut w = World::new(3, 521);
        w.run_ms = 4_000;
        w.run(5_000);
        let body = job(1, "t0", 1, 4.0);
        w.accept(0, &body);
        // To the tick before the end is on record, then so much further.
        while state_of(&w, 1) == "l" && w.workers.iter().flat_map(|x| &x.tasks).all(|t| t.why.is_none())
        {
            w.run(25);
        }
        w.run(k * 25);
        w.users.asked_to_cancel.insert(id(1));
        let (a, b, c) = (
            w.ask(1, HttpRequest::Cancel(id(1))),
            w.submit(2, &body),
            w.ask(0, HttpRequest::Status(id(1))),
        );
        w.run(1_500);
        let end = state_of(&w, 1);
        assert!(end == "d" || end == "c", "{end}");
        seen[usize::from(end == "c")] += 1;
        let word = if end == "d" { "done" } else { "withdrawn" };
        assert_eq!(w.status_answered(a), word);
        for r in [b, c] {
            let s = w.status_answered(r);
            assert!(s == word || s == "queued" || s == "running", "{s}");
        }
        for n in 0..3 {
            assert_eq!(w.status(n, &id(1)), word);
        }
        w.run(20_000);
        w.fair();
    }
    assert!(seen[0] > 0 && seen[1] > 0, "both outcomes were met: {seen:?}");
}
