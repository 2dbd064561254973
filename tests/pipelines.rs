//! Scenarios of pipelines, and of an upgrade to them while machines serve.
//!
//! `fixtures/` was made by the code of the version that `deploy/service.toml`
//! names as production: frames as its encoder writes them, and what its three
//! processes had left in the store and on 60 machines in a scenario of
//! theirs. They are not to be made anew by later code.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod support;

use serde_json::{Value, json};
use std::collections::HashSet;
use support::store::StoredRecord;
use support::{AnnouncedLimits, World, job};
use woadlever::core::HttpRequest;

/// What the store takes after its limits have fallen.
const NEXT: AnnouncedLimits = AnnouncedLimits { value_kb: 2.0, mutations: 4, mutations_per_s: 15.0 };

fn world(seed: u64) -> World {
    let mut w = World::with_announced_limits(3, seed, NEXT);
    w.run(5_000);
    w
}

fn id(n: u32) -> String {
    format!("run-{n:06}")
}

/// A job of two tasks that awaits others.
fn stage(n: u32, awaits: &[u32]) -> Value {
    let mut j = job(n, "t1", 2, 10.0);
    j["awaits"] = json!(awaits.iter().map(|a| id(*a)).collect::<Vec<_>>());
    j
}

/// Sends a submission to a node; status and body of the answer.
fn submit(w: &mut World, node: usize, body: &Value) -> (u16, String) {
    let r = w.submit(node, body);
    w.run(1_500);
    w.users.answers.get(&r).map_or((0, String::new()), |a| (a.status, a.body.clone()))
}

/// 1 -> (2, 3) -> 4, and 5 behind it: a fan out, a fan in and a chain.
fn pipeline(w: &mut World) {
    for (n, awaits) in [(1, &[][..]), (2, &[1]), (3, &[1]), (4, &[2, 3]), (5, &[4])] {
        w.accept(n as usize % 3, &stage(n, awaits));
    }
}

fn state_of(w: &World, n: u32) -> String {
    let state = w.store.job(&id(n)).and_then(|record| record["s"].as_str());
    state.unwrap_or_default().to_string()
}

#[test]
fn stages_run_in_order_across_changes_of_leader() {
    for seed in [1, 2, 3] {
        let mut w = world(seed);
        pipeline(&mut w);
        assert_eq!(w.status(1, &id(5)), "queued");
        for _ in 0..4 {
            w.run(9_000);
            if let Some(leader) = w.leader() {
                w.crash(leader, 4_000);
            }
        }
        assert!(w.until_done(&id(5), 200_000), "seed {seed}");
        assert_eq!(w.oracle.starts.len(), 10);
        assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
        w.fair();
    }
}

/// Whichever stage is cancelled, and whenever: what needs it is cancelled with it
/// and never runs, the rest completes.
#[test]
fn a_cancellation_takes_all_that_needs_it_and_nothing_else() {
    for (seed, cancelled, gone) in [(4, 1, &[1, 2, 3, 4, 5][..]), (5, 3, &[3, 4, 5]), (6, 5, &[5])] {
        let mut w = world(seed);
        w.run_ms = 15_000;
        pipeline(&mut w);
        assert_eq!(w.cancel((seed as usize) % 3, &id(cancelled)), 200);
        // Named afterwards: accepted, and cancelled from the start.
        let (status, body) = submit(&mut w, 0, &stage(6, &[cancelled]));
        assert!(status == 201 && body.contains("withdrawn"), "{status} {body}");
        w.run(40_000);
        for n in 1..=6 {
            let expected = if gone.contains(&n) || n == 6 { "c" } else { "d" };
            if expected == "d" {
                assert!(w.until_done(&id(n), 200_000));
            }
            assert_eq!(state_of(&w, n), expected, "job {n} with {cancelled} cancelled");
        }
        w.fair();
    }
}

/// The cancellation and the submission of the next stage cross each other, at
/// two nodes that don't know of each other's yet.
#[test]
fn a_submission_that_races_with_a_cancellation_is_cancelled_too() {
    for (seed, slow) in [(7, 0), (8, 1_500), (9, 6_000)] {
        let mut w = world(seed);
        w.run_ms = 60_000;
        w.accept(0, &stage(1, &[]));
        w.accept(0, &stage(2, &[1]));
        // n1's watch lags, so that it takes the job before for live.
        w.store_faults.slow_watch.insert(1, slow);
        w.run(2 * slow + 100);
        w.users.asked_to_cancel.insert(id(1));
        let c = w.ask(0, HttpRequest::Cancel(id(1)));
        w.run(40);
        let s = w.submit(1, &stage(3, &[2]));
        w.run(500);
        assert_eq!(w.users.answers[&c].status, 200);
        w.users.cancelled.insert(id(1), w.now);
        assert!([201, 503].contains(&w.users.answers[&s].status));
        let accepted = w.users.answers[&s].status == 201;
        w.store_faults.slow_watch.clear();
        w.run(20_000);
        for n in 0..3 {
            assert_eq!(w.status(n, &id(2)), "withdrawn");
            if accepted {
                assert_eq!(w.status(n, &id(3)), "withdrawn");
            }
        }
        w.fair();
    }
}

/// A cancellation answered with `done` withdraws nothing.
#[test]
fn what_awaits_a_job_that_was_done_before_its_cancellation_goes_on() {
    let mut w = world(10);
    w.accept(0, &stage(1, &[]));
    w.accept(1, &stage(2, &[1]));
    assert!(w.until_done(&id(1), 90_000));
    let r = w.ask(2, HttpRequest::Cancel(id(1)));
    w.run(500);
    assert!(w.users.answers[&r].body.contains("done"));
    // Named when it is over already, by a job of another team.
    let mut late = stage(3, &[1, 2]);
    late["crew"] = json!("t0");
    assert_eq!(submit(&mut w, 2, &late).0, 201);
    assert!(w.until_done(&id(3), 120_000));
    w.fair();
}

#[test]
fn a_bad_list_is_refused_by_name_and_a_known_job_never_is() {
    let mut w = world(11);
    w.accept(0, &stage(1, &[]));
    let mut j = stage(2, &[]);
    for (awaits, status) in [
        (json!("run-000001"), 400),
        (json!({"run-000001": 1}), 400),
        (json!([1]), 400),
        (json!(["run-000001", "x-1"]), 400),
        (json!([null]), 400),
        (json!((0..101).map(id).collect::<Vec<_>>()), 400),
        (json!([id(2)]), 422),
        (json!([id(1), id(77)]), 422),
    ] {
        j["awaits"] = awaits;
        let (got, body) = submit(&mut w, 1, &j);
        assert_eq!(got, status, "{j} {body}");
        assert!(body.contains("\"field\":\"awaits\""), "{body}");
    }
    assert_eq!(w.status(0, &id(2)), "404");
    // Repeats count once; null and nothing are the same.
    j["awaits"] = json!([id(1), id(1), id(1)]);
    assert_eq!(submit(&mut w, 2, &j).0, 201);
    let rec = w.store.job(&id(2)).unwrap().clone();
    assert_eq!(rec["w"], "000001");
    j = stage(3, &[]);
    j["awaits"] = Value::Null;
    assert_eq!(submit(&mut w, 2, &j).0, 201);
    // Accepted: whatever it says now, and at whatever node, it gets its state.
    for (node, awaits) in [(0, json!("x")), (1, json!([id(88)])), (2, json!([id(2)]))] {
        let mut again = stage(2, &[]);
        again["awaits"] = awaits;
        let (status, body) = submit(&mut w, node, &again);
        assert!(status == 200 && body.contains("status"), "{status} {body}");
    }
    assert!(w.until_done(&id(2), 90_000));
    w.fair();
}

/// That a job was never accepted, and that one was not accepted before, is said
/// on a read of the store, not on a watch that lags.
#[test]
fn a_node_that_lags_refuses_nothing_that_was_accepted() {
    let mut w = world(12);
    w.store_faults.slow_watch.insert(1, 20_000);
    w.run(3_000);
    let first = submit(&mut w, 0, &stage(1, &[]));
    assert_eq!(first.0, 201);
    assert_eq!(submit(&mut w, 1, &stage(2, &[1])).0, 201);
    // The first answer was lost, and the user repeats it elsewhere, with a body
    // that a new job would be refused for.
    assert_eq!(submit(&mut w, 0, &stage(5, &[])).0, 201);
    let mut again = stage(5, &[99]);
    again["crew"] = json!("nobody");
    let (status, body) = submit(&mut w, 1, &again);
    assert!(status == 200 && body.contains("queued"), "{status} {body}");
    assert_eq!(submit(&mut w, 1, &stage(3, &[98])).0, 422);
    // In an outage nothing is known, and nothing is refused for good.
    w.store.down = true;
    w.run(200);
    assert_eq!(submit(&mut w, 1, &stage(4, &[97])).0, 503);
    w.store.down = false;
    w.store_faults.slow_watch.clear();
    assert!(w.until_done(&id(2), 120_000));
    w.fair();
}

/// A job that waits takes no part of its team's limit or guarantee, asks for no
/// machine, and its clocks stand.
#[test]
fn a_waiting_job_holds_nothing() {
    let mut w = world(13);
    w.run_ms = 150_000;
    w.accept(0, &job(1, "t1", 2, 150.0));
    let mut large = job(2, "t0", 8, 10.0);
    large["awaits"] = json!([id(1)]);
    large["urgency"] = json!("prod");
    w.accept(1, &large);
    w.run(30_000);
    let rented = w.cloud.rented;
    assert!(rented <= 2, "{rented} machines for two tasks of four CPUs");
    // The team's whole limit is there for others.
    w.accept(2, &job(3, "t0", 8, 150.0));
    w.run(60_000);
    assert_eq!(w.oracle.starts.keys().filter(|k| k.starts_with("run-000003")).count(), 8);
    // Ready, it waits for its team's limit like any other, stops nobody, and
    // had no part in what its waiting would have earned it.
    w.run(80_000);
    assert_eq!(state_of(&w, 1), "d");
    assert!(w.until_done(&id(2), 400_000));
    assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
    w.fair();
}

/// When its last awaited job was done stands on record: a new leader counts from
/// there, and does not stop others for a job that has just become ready.
#[test]
fn the_moment_a_job_became_ready_survives_a_change_of_leader() {
    let mut w = world(14);
    w.cloud.capacity = 2;
    w.run_ms = 190_000;
    w.accept(0, &job(1, "t1", 1, 190.0));
    let mut last = job(2, "t1", 1, 10.0);
    last["cores"] = json!(16.0);
    last["urgency"] = json!("prod");
    last["awaits"] = json!([id(1)]);
    w.accept(0, &last);
    w.run(120_000);
    // All that is left carries work of low priority when the job becomes ready.
    let mut low = job(3, "t1", 8, 190.0);
    low["urgency"] = json!("idle");
    w.accept(0, &low);
    while state_of(&w, 1) != "d" {
        w.run(500);
    }
    let at = w.store.job(&id(1)).unwrap()["t"].as_u64().unwrap();
    let now = 1_000_000_000 + w.now;
    assert!(at <= now && at + 5_000 > now);
    let leader = w.leader().unwrap();
    w.crash(leader, 5_000);
    w.run(60_000);
    let stopped = w.workers.iter().flat_map(|x| &x.tasks).any(|t| t.why.as_deref() == Some("halted"));
    assert!(!stopped && !w.oracle.starts.contains_key("run-000002/0"), "others stopped for it at once");
    w.fair();
}

#[test]
fn a_restart_of_all_nodes_forgets_no_link() {
    let mut w = world(15);
    pipeline(&mut w);
    w.run(4_000);
    for n in 0..3 {
        w.crash(n, 2_000 + 500 * n as u64);
    }
    w.run(3_000);
    assert_eq!(w.cancel(2, &id(2)), 200);
    w.run(30_000);
    for n in [2, 4, 5] {
        assert_eq!(w.status(0, &id(n)), "withdrawn");
    }
    assert!(w.until_done(&id(3), 120_000));
    w.fair();
}

/// One node after the other is asked for the first time after an outage that was
/// longer than a cancellation may take: none calls a job live whose predecessor
/// is cancelled, and none goes back on it.
#[test]
fn the_first_answer_after_a_long_outage_is_no_orphan() {
    for seed in [16, 17] {
        let mut w = world(seed);
        w.run_ms = 100_000;
        for (n, awaits) in [(1, &[][..]), (2, &[1]), (3, &[2]), (4, &[3])] {
            w.accept(0, &stage(n, awaits));
        }
        // No leader is there to pass it on before the outage begins.
        let leader = w.leader().unwrap();
        let door = (leader + 1) % 3;
        w.crash(leader, 1_000);
        w.run(50);
        assert_eq!(w.cancel(door, &id(1)), 200);
        w.store.down = true;
        w.run(support::CANCEL_MS + 8_000);
        w.store.down = false;
        // The one that knows nothing yet is asked first.
        for n in [4, 3, 2] {
            for node in [leader, (door + 1) % 3, door] {
                let r = w.ask(node, HttpRequest::Status(id(n)));
                w.run(15);
                if let Some(a) = w.users.answers.get(&r) {
                    assert!(a.status == 503 || a.body.contains("withdrawn"), "{}", a.body);
                }
            }
        }
        w.run(5_000);
        for node in 0..3 {
            assert_eq!(w.status(node, &id(4)), "withdrawn");
        }
        w.fair();
    }
}

/// A user API whose watch stands still may be able to read all the same. It does not
/// know what was cancelled meanwhile, and says so.
#[test]
fn a_door_whose_watch_stands_still_calls_no_waiting_job_live() {
    let mut w = world(18);
    w.run_ms = 200_000;
    pipeline(&mut w);
    let leader = w.leader().unwrap();
    let door = (leader + 1) % 3;
    w.store_faults.slow_watch.insert(door, 120_000);
    w.run(3_000);
    // Nobody else passes it on: what is answered is the user API's own doing.
    w.crash(leader, 200_000);
    let other = (leader + 2) % 3;
    assert_eq!(w.cancel(other, &id(1)), 200);
    w.crash(other, 200_000);
    for _ in 0..30 {
        w.run(2_000);
        w.status(door, &id(5));
    }
    w.fair();
}

/// A leader may keep its lease and get no write through. Who is asked does not
/// wait for it.
#[test]
fn the_user_api_cancels_what_the_leader_can_not() {
    let mut w = world(25);
    w.run_ms = 200_000;
    pipeline(&mut w);
    let leader = w.leader().unwrap();
    w.store_faults.slow_writes.insert(leader, 90_000);
    let door = (leader + 1) % 3;
    assert_eq!(w.cancel(door, &id(1)), 200);
    w.run(support::CANCEL_MS);
    assert_eq!(w.leader(), Some(leader));
    assert_eq!(state_of(&w, 5), "l", "nobody was asked yet");
    for node in [(leader + 2) % 3, leader, door] {
        assert_eq!(w.status(node, &id(5)), "withdrawn");
    }
    w.fair();
}

/// More jobs behind a cancelled one than many transactions take, while leaders
/// come and go and more join: all cancelled in time.
#[test]
fn long_chains_and_wide_fans_are_cancelled_step_by_step() {
    let mut w = world(19);
    w.run_ms = 300_000;
    w.lower_store_limits();
    w.accept(0, &stage(1, &[]));
    for n in 2..42 {
        let s = stage(n, &[if n < 22 { n - 1 } else { 1 }]);
        w.submit(n as usize % 3, &s);
        w.run(150);
    }
    w.run(2_000);
    assert_eq!(w.cancel(1, &id(1)), 200);
    let from = w.now;
    let leader = w.leader().unwrap();
    w.crash(leader, 3_000);
    for n in 42..50 {
        let node = (leader + 1) % 3;
        w.submit(node, &stage(n, &[n - 1, 21]));
        w.run(200);
    }
    w.run(support::CANCEL_MS - (w.now - from) - 1_000);
    let live: Vec<u32> = (1..50).filter(|n| state_of(&w, *n) == "l").collect();
    assert!(live.is_empty(), "still live: {live:?}");
    for n in 1..50 {
        assert_eq!(w.status(n as usize % 3, &id(n)), "withdrawn");
    }
    w.fair();
}

/// Tasks that run are on a record at any moment.
fn always_on_record(w: &mut World, ms: u64) {
    let end = w.now + ms;
    while w.now < end {
        w.run(50);
        let off = w.off_record();
        assert!(off.is_empty(), "{}: on no record: {:?}", w.now, &off[..off.len().min(5)]);
    }
}

fn longest(w: &World, prefix: &str) -> usize {
    let records = w.store.records_under(prefix);
    records.map(|(_, record)| record.value.to_string().len()).max().unwrap_or(0)
}

/// What the version in production left is taken up, brought under the limits to
/// come before they come, and nothing is lost or done twice.
#[test]
fn what_production_left_is_taken_up_and_brought_under_the_limits() {
    for (seed, first) in [(20, false), (21, true)] {
        let mut w = World::from_production(seed, NEXT);
        assert!(longest(&w, "place/") > 5_000);
        let running = w.oracle.starts.len();
        // The limits may come first, while the long records are there.
        if first {
            w.lower_store_limits();
        }
        always_on_record(&mut w, 6_000);
        // A shard owner is lost amid the move.
        let victim = (w.leader().unwrap() + 1) % 3;
        w.crash(victim, 2_000);
        always_on_record(&mut w, 12_000);
        assert!(longest(&w, "place/") <= 2_048, "{} bytes", longest(&w, "place/"));
        if !first {
            w.lower_store_limits();
        }
        let all: Vec<usize> = (0..3).collect();
        for n in all {
            w.crash(n, 3_000);
        }
        always_on_record(&mut w, 30_000);
        // Of the largest job ten tasks were left.
        assert_eq!(w.oracle.starts.len(), running + 10);
        assert!(w.oracle.starts.values().all(|n| *n == 1));
        for n in 0..30 {
            assert_eq!(w.status(n as usize % 3, &id(n)), "running");
        }
        assert_eq!(w.status(0, &id(78)), "withdrawn");
        // A job that awaits one of production's, which completes.
        w.accept(1, &stage(90, &[0, 3]));
        assert!(w.until_done(&id(90), 400_000));
        // A job of 40,000 tasks, nearly all on record as done by production, in
        // records longer than the limit by now.
        assert!(w.until_done(&id(77), 200_000));
        w.run(5_000);
        assert!(w.store.records_under("progress/").next().is_none(), "records left behind");
        let long = w.store.rejected.len();
        assert!(long <= 4, "{long} times too long: {:?}", w.store.rejected);
        w.fair();
    }
}

/// A shard owner is lost at the very moment at which attempts stand on the record they
/// leave and on the one they go to: the next one takes both for one.
#[test]
fn an_attempt_on_two_records_is_one() {
    let mut w = World::from_production(26, NEXT);
    w.lower_store_limits();
    let twice = |w: &World| {
        let mut seen = HashSet::new();
        let records = w.store.records_under("place/");
        let ids = records.flat_map(|(_, record)| {
            let base = record.value["b"].as_u64().unwrap();
            let rows = record.value["m"].as_array().unwrap().clone();
            rows.into_iter().flat_map(move |row| {
                let attempts = row[3].as_array().unwrap().clone();
                let number = |attempt: &[Value]| base + attempt[2].as_u64().unwrap();
                attempts.chunks(3).map(number).collect::<Vec<_>>()
            })
        });
        ids.filter(|id| !seen.insert(*id)).count()
    };
    while twice(&w) == 0 {
        w.run(25);
        assert!(w.now < 120_000, "nothing was ever moved");
    }
    for n in 0..3 {
        w.crash(n, 1_000);
    }
    always_on_record(&mut w, 30_000);
    assert_eq!(twice(&w), 0, "listed twice for good");
    assert!(w.oracle.starts.values().all(|n| *n == 1));
    w.fair();
}

/// The name of a machine that is being terminated.
fn terminating_machine(index: usize) -> String {
    format!("host-{:06}", 1_000 + 2 * index)
}

/// Terminating machines are on a record at any moment too: without it a later shard owner
/// could use one whose return is still carried out.
#[test]
fn machines_on_their_way_back_stay_on_record_while_a_long_one_shrinks() {
    for (seed, moves, lossy) in [(27, 40, 0.0), (28, 90, 0.4)] {
        let mut w = World::from_production(seed, NEXT);
        w.store_faults.loss = lossy;
        let key = "place/east.0/0";
        let record = w.store.records.get_mut(key).unwrap();
        for index in 0..moves {
            let row = json!([terminating_machine(index), 0, 4, []]);
            record.value["m"].as_array_mut().unwrap().push(row);
        }
        // They can't be returned now.
        w.cloud.is_down = true;
        w.lower_store_limits();
        let on_record = |w: &World| {
            let records = w.store.records_under("place/east");
            let rows = records.flat_map(|(_, record)| record.value["m"].as_array().unwrap().clone());
            let terminating: HashSet<String> = rows
                .filter(|row| row[2].as_u64().unwrap() & 4 != 0)
                .map(|row| row[0].as_str().unwrap().to_string())
                .collect();
            (0..moves).filter(|index| terminating.contains(&terminating_machine(*index))).count()
        };
        for _ in 0..1_200 {
            w.run(25);
            assert_eq!(on_record(&w), moves, "at {}", w.now);
        }
        w.store_faults.loss = 0.0;
        w.run(30_000);
        assert!(longest(&w, "place/") <= 2_048, "{} bytes", longest(&w, "place/"));
        assert!(w.off_record().is_empty());
        w.fair();
    }
}

/// A job of the most tasks there can be is recorded, resumed and finished under
/// the smallest limits, and leaves nothing behind.
#[test]
fn a_job_of_many_tasks_goes_on_when_the_limits_fall() {
    let mut w = World::with_announced_limits(3, 22, NEXT);
    w.cloud.capacity = 0;
    w.run_ms = 300;
    w.run(5_000);
    for i in 0..4 {
        w.add_worker(i, support::ZONES[i % 2], false, 100);
    }
    w.run(3_000);
    let mut j = job(1, "t1", 100_000, 1.0);
    j["cores"] = json!(0.25);
    j["memory_gb"] = json!(0.25);
    w.accept(0, &j);
    w.run(15_000);
    let done = |w: &World| w.store.records_under("progress/").count();
    assert_eq!(done(&w), 1);
    // Bits far apart: every whole chunk is as long as it can be.
    let full = "ff".repeat(2_048);
    for segment in 0..6 {
        w.store.revision += 1;
        let bits = if segment == 5 { &full[..4_000] } else { &full };
        let record = StoredRecord { value: json!(bits), version: w.store.revision, lease: None };
        w.store.records.insert(format!("progress/{}/{segment}", id(1)), record);
    }
    for t in 0..98_000u32 {
        w.oracle.starts.entry(format!("{}/{t}", id(1))).or_insert(1);
    }
    for n in 0..3 {
        w.crash(n, 500);
    }
    w.run(4_000);
    w.lower_store_limits();
    w.run(8_000);
    let leader = w.leader().unwrap();
    w.crash(leader, 1_000);
    assert!(w.until_done(&id(1), 200_000));
    w.run(5_000);
    assert_eq!(done(&w), 0, "records of progress left behind");
    assert!(w.store.rejected.len() <= 3, "{:?}", w.store.rejected);
    w.fair();
}

/// Machine types that fit no record of the new size are kept in several, and every
/// user API knows them all after a restart.
#[test]
fn a_long_catalog_is_kept_in_parts() {
    let mut w = World::with_announced_limits(3, 23, NEXT);
    w.lower_store_limits();
    w.cloud.more_types = 30;
    w.run(20_000);
    assert!(longest(&w, "w/catalog") <= 2_048);
    for n in 0..3 {
        w.crash(n, 500);
    }
    w.cloud.is_down = true;
    w.run(6_000);
    let mut j = job(1, "t1", 1, 5.0);
    j["hulltypes"] = json!(["tiny29"]);
    j["cores"] = json!(1.0);
    j["memory_gb"] = json!(1.0);
    assert_eq!(submit(&mut w, 1, &j).0, 201);
    assert!(w.store.rejected.len() <= 1, "{:?}", w.store.rejected);
    w.fair();
}

/// Frames and records made by the version in production are read, and what is
/// written while it may still be there has its layout.
#[test]
fn old_frames_and_records_are_read_and_written_as_they_were() {
    use woadlever::wire::peer::Frame;
    use woadlever::wire::store::{JobRecord, JobState};
    for line in include_str!("fixtures/frames.hex").lines() {
        let byte = |i: usize| u8::from_str_radix(&line[i..i + 2], 16).unwrap();
        let bytes: Vec<u8> = (0..line.len()).step_by(2).map(byte).collect();
        let frame: Frame = bitcode::decode(&bytes).expect("production's frame");
        assert_eq!(bitcode::encode(&frame), bytes);
    }
    let d: Value = serde_json::from_str(include_str!("fixtures/production.json")).unwrap();
    let mut live = 0;
    for k in d["keys"].as_array().unwrap().iter().filter(|k| k[0].as_str().unwrap().contains("w/job")) {
        let rec: JobRecord = serde_json::from_value(k[1].clone()).expect("production's record");
        assert_eq!(serde_json::to_value(&rec).unwrap(), k[1], "written back as it was");
        live += usize::from(rec.state == JobState::Live);
    }
    assert_eq!(live, 31);
    // An old leader finds no description to start from in a job that awaits others.
    let mut w = world(24);
    w.accept(0, &stage(1, &[]));
    w.accept(0, &stage(2, &[1]));
    let rec = |n: u32| w.store.job(&id(n)).unwrap().clone();
    assert!(rec(1)["j"].is_object() && rec(1).get("w").is_none() && rec(1).get("p").is_none());
    assert!(rec(2).get("j").is_none() && rec(2)["p"].is_object() && rec(2)["s"] == "l");
}
