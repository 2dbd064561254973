//! Answers to users: never forgotten, never older than what was said, refusals by field.

use crate::fixtures::world;
use crate::support::{World, job};
use serde_json::{Value, json};
use woadlever::core::HttpRequest;

/// What was accepted is known, however it was accepted and whoever is asked:
/// before a crash of all nodes, with a write of unknown outcome, in an election.
#[test]
fn an_accepted_job_is_known_to_every_node_ever_after() {
    let mut w = world(68);
    let mut known = Vec::new();
    let mut id = 1;
    for case in 0..12 {
        w.store_faults.loss = if case % 3 == 1 { 0.5 } else { 0.0 };
        let mut asked = Vec::new();
        for n in 0..3 {
            asked.push((id, w.submit(n, &job(id, "t1", 1, 5.0))));
            id += 1;
        }
        w.run(6 + 4 * case);
        match case % 4 {
            0 => (0..3).for_each(|n| w.crash(n, 300)),
            1 => w.store.down = true,
            2 => {
                let leader = w.leader().unwrap_or(0);
                w.crash(leader, 5_000);
            }
            _ => {}
        }
        w.run(6_000);
        w.store.down = false;
        w.store_faults.loss = 0.0;
        w.run(3_000);
        let taken = |r: &u64| w.users.answers.get(r).is_some_and(|a| a.status == 200 || a.status == 201);
        known.extend(asked.iter().filter(|(_, r)| taken(r)).map(|(id, _)| *id));
    }
    assert!(known.len() > 12, "{}", known.len());
    w.run(8_000);
    for id in known {
        let name = format!("run-{id:06}");
        for n in 0..3 {
            let s = w.status(n, &name);
            assert!(["queued", "running", "done"].contains(&s.as_str()), "{name} at n{n}: {s}");
        }
        assert!(w.until_done(&name, 120_000), "{name}");
    }
    w.fair();
}

/// Questions by the hundred while the store is slow: what can't be
/// answered is turned away at once, and no id waits behind another for good.
#[test]
fn a_flood_of_questions_leaves_none_unanswered() {
    let mut w = world(69);
    w.accept(0, &job(1, "t1", 1, 5.0));
    w.store_faults.slow.insert(0, 1_500);
    let asked: Vec<u64> = (0..1_000)
        .map(|i| w.ask(0, HttpRequest::Status(format!("run-{:06}", if i % 2 == 0 { 1 } else { i }))))
        .collect();
    w.run(200);
    let at_once = asked.iter().filter(|r| w.users.answers.contains_key(r)).count();
    assert!(at_once >= 500, "{at_once} were turned away at once");
    w.run(4_000);
    assert!(asked.iter().all(|r| w.users.answers.contains_key(r)));
    assert!(asked.iter().all(|r| {
        let a = &w.users.answers[r];
        a.status != 503 || a.retry_after_s.is_some()
    }));
    w.store_faults.slow.clear();
    w.run(2_000);
    assert_ne!(w.status(0, "run-000001"), "503");
}

#[test]
fn what_cannot_be_taken_is_answered_at_once_and_names_the_field() {
    let mut w = world(19);
    let cases: Vec<(&str, Value, u16)> = vec![
        ("name_id", json!("job-1"), 400),
        ("shape", json!("ensemble"), 400),
        ("urgency", json!("soon"), 400),
        ("pieces", json!(0), 400),
        ("pieces", json!(100_001), 400),
        ("pieces", json!(1.5), 400),
        ("cores", json!(-1.0), 400),
        ("cores", json!("many"), 400),
        ("memory_gb", Value::Null, 400),
        ("standby", json!("yes"), 400),
        ("hulltypes", json!([1]), 400),
        ("due_s", json!(-5), 400),
        ("crew", json!("nobody"), 422),
        ("cores", json!(17.0), 422),
        ("hulltypes", json!(["other"]), 422),
    ];
    for (field, value, status) in cases {
        let mut j = job(7, "t0", 2, 10.0);
        j[field] = value.clone();
        let r = w.ask(0, HttpRequest::Submit(j.to_string().into_bytes()));
        w.run(100);
        let a = &w.users.answers[&r];
        assert_eq!(a.status, status, "{field} = {value}: {}", a.body);
        if status == 400 {
            assert!(a.body.contains(field), "{}", a.body);
        }
    }
    for body in [&b"not json"[..], b"[1]", b"", b"{}"] {
        let r = w.ask(0, HttpRequest::Submit(body.to_vec()));
        w.run(100);
        assert_eq!(w.users.answers[&r].status, 400);
    }
    for id in ["run-000007", "x", "run-", "run-1/2"] {
        assert_eq!(w.status(1, id), "404");
    }
}

#[test]
fn before_the_types_are_known_users_are_told_to_come_back() {
    let mut w = World::new(3, 30);
    w.cloud.is_down = true;
    w.run(4_000);
    let r = w.submit(0, &job(1, "t0", 1, 10.0));
    w.run(100);
    assert_eq!((w.users.answers[&r].status, w.users.answers[&r].retry_after_s), (503, Some(1)));
    w.cloud.is_down = false;
    w.accept(0, &job(1, "t0", 1, 10.0));
    assert!(w.until_done("run-000001", 90_000));
}
