//! Answers to users: accepted jobs stay known, answers never go back in time, and rejections name
//! the field.

use crate::fixtures::world;
use crate::support::{World, job};
use serde_json::{Value, json};
use woadlever::core::HttpRequest;

/// An accepted job is known to every node, also if it was accepted just before a crash of all
/// nodes, with a write of unknown outcome, or during an election.
#[test]
fn an_accepted_job_stays_known_to_every_node() {
    let mut world = world(68);
    let mut known = Vec::new();
    let mut id = 1;
    for case in 0..12 {
        world.store_faults.lost_answer_share = if case % 3 == 1 { 0.5 } else { 0.0 };
        let mut asked = Vec::new();
        for node in 0..3 {
            asked.push((id, world.submit(node, &job(id, "t1", 1, 5.0))));
            id += 1;
        }
        world.run(6 + 4 * case);
        match case % 4 {
            0 => (0..3).for_each(|node| world.crash(node, 300)),
            1 => world.store.is_down = true,
            2 => {
                let leader = world.leader().unwrap_or(0);
                world.crash(leader, 5_000);
            }
            _ => {}
        }
        world.run(6_000);
        world.store.is_down = false;
        world.store_faults.lost_answer_share = 0.0;
        world.run(3_000);
        let accepted = |request: &u64| {
            world
                .users
                .answers
                .get(request)
                .is_some_and(|answer| answer.status == 200 || answer.status == 201)
        };
        known.extend(asked.iter().filter(|(_, request)| accepted(request)).map(|(id, _)| *id));
    }
    assert!(known.len() > 12, "{}", known.len());

    world.run(8_000);
    for id in known {
        let name = format!("run-{id:06}");
        for node in 0..3 {
            let status = world.status(node, &name);
            assert!(
                ["queued", "running", "done"].contains(&status.as_str()),
                "{name} at n{node}: {status}"
            );
        }
        assert!(world.until_done(&name, 120_000), "{name}");
    }
    world.assert_rules_kept();
}

/// Hundreds of status requests arrive while the store is slow: requests that can't be answered are
/// rejected at once, and no id waits behind another one forever.
#[test]
fn a_flood_of_status_requests_leaves_none_unanswered() {
    let mut world = world(69);
    world.accept(0, &job(1, "t1", 1, 5.0));
    world.store_faults.slow.insert(0, 1_500);
    let asked: Vec<u64> = (0..1_000)
        .map(|number| {
            world.ask(
                0,
                HttpRequest::Status(format!("run-{:06}", if number % 2 == 0 { 1 } else { number })),
            )
        })
        .collect();
    world.run(200);
    let at_once = asked.iter().filter(|request| world.users.answers.contains_key(request)).count();
    assert!(at_once >= 500, "only {at_once} were rejected at once");

    world.run(4_000);
    assert!(asked.iter().all(|request| world.users.answers.contains_key(request)));
    assert!(asked.iter().all(|request| {
        let answer = &world.users.answers[request];
        answer.status != 503 || answer.retry_after_s.is_some()
    }));

    world.store_faults.slow.clear();
    world.run(2_000);
    assert_ne!(world.status(0, "run-000001"), "503");
}

#[test]
fn invalid_submissions_are_rejected_at_once_and_name_the_field() {
    let mut world = world(19);
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
        let mut submission = job(7, "t0", 2, 10.0);
        submission[field] = value.clone();
        let request = world.ask(0, HttpRequest::Submit(submission.to_string().into_bytes()));
        world.run(100);
        let answer = &world.users.answers[&request];
        assert_eq!(answer.status, status, "{field} = {value}: {}", answer.body);

        if status == 400 {
            assert!(answer.body.contains(field), "{}", answer.body);
        }
    }
    for body in [&b"not json"[..], b"[1]", b"", b"{}"] {
        let request = world.ask(0, HttpRequest::Submit(body.to_vec()));
        world.run(100);
        assert_eq!(world.users.answers[&request].status, 400);
    }
    for id in ["run-000007", "x", "run-", "run-1/2"] {
        assert_eq!(world.status(1, id), "404");
    }
}

#[test]
fn submissions_are_deferred_until_machine_types_are_known() {
    let mut world = World::new(3, 30);
    world.cloud.is_down = true;
    world.run(4_000);
    let request = world.submit(0, &job(1, "t0", 1, 10.0));
    world.run(100);
    assert_eq!(
        (world.users.answers[&request].status, world.users.answers[&request].retry_after_s),
        (503, Some(1))
    );
    world.cloud.is_down = false;
    world.accept(0, &job(1, "t0", 1, 10.0));
    assert!(world.until_done("run-000001", 90_000));
}
