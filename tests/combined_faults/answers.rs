//! Users send requests within milliseconds, with odd contents, or while the store is slow.

use crate::fixtures::{busy_world, id};
use crate::support::{CANCEL_MS, World, job};
use serde_json::json;
use woadlever::core::HttpRequest;

/// Within milliseconds after a job was accepted, cancelled or done, all nodes get status requests and
/// repeated submissions of it, while their watches lag. No answer may be older than an earlier one.
#[test]
fn no_node_answers_something_older_within_milliseconds() {
    let mut world = World::new(3, 530);
    world.task_duration_ms = 5_000;
    world.run(5_000);

    for node in 0..3 {
        world.store_faults.slow_watch.insert(node, 1_500);
    }
    for number in 1..9 {
        let body = job(number, "t0", 1, 5.0);
        let first_node = number as usize % 3;
        let first = world.submit(first_node, &body);

        // The same submission again before the first is answered: one of the two creates the record.
        let again = world.submit((first_node + 1) % 3, &body);
        while world.users.answers.get(&first).is_none_or(|answer| answer.status != 201)
            && world.users.answers.get(&again).is_none_or(|answer| answer.status != 201)
        {
            world.run(5);
        }
        for node in 0..3 {
            let asked = world.ask(node, HttpRequest::Status(id(number)));
            let sent = world.submit(node, &body);
            world.run(100);
            for request in [asked, sent] {
                assert!(matches!(
                    world.status_answered(request).as_str(),
                    "queued" | "running" | "done"
                ));
            }
        }
        if number % 2 == 0 {
            check_answers_after_cancellation(&mut world, number);
        } else {
            check_answers_after_completion(&mut world, number);
        }
    }
    world.assert_rules_kept();
}

/// Cancels a job at one node and checks that all nodes give the same answer from then on.
fn check_answers_after_cancellation(world: &mut World, number: u32) {
    let body = job(number, "t0", 1, 5.0);
    let cancelling_node = (number as usize + 2) % 3;
    world.users.asked_to_cancel.insert(id(number));
    let cancellation = world.ask(cancelling_node, HttpRequest::Cancel(id(number)));
    while !world.users.answers.contains_key(&cancellation) {
        world.run(5);
    }
    let status = world.status_answered(cancellation);
    assert!(status == "withdrawn" || status == "done", "{status}");

    let mut asked = Vec::new();
    for node in 0..3 {
        asked.push(world.ask(node, HttpRequest::Status(id(number))));
        asked.push(world.submit(node, &body));
        asked.push(world.ask(node, HttpRequest::Cancel(id(number))));
    }
    world.run(100);
    for request in asked {
        assert_eq!(world.status_answered(request), status);
    }
}

/// Waits until one node reports a job done and checks that all nodes do from then on.
fn check_answers_after_completion(world: &mut World, number: u32) {
    let body = job(number, "t0", 1, 5.0);
    let polled_node = number as usize % 3;
    let mut request = 0;
    for _ in 0..200 {
        request = world.ask(polled_node, HttpRequest::Status(id(number)));
        world.run(200);
        if world.status_answered(request) == "done" {
            break;
        }
    }
    assert_eq!(world.status_answered(request), "done");

    for node in 0..3 {
        let asked = [world.ask(node, HttpRequest::Status(id(number))), world.submit(node, &body)];
        world.run(100);
        assert!(asked.iter().all(|request| world.status_answered(*request) == "done"));
    }
}

/// A node learns of a job's cancellation while an older read for a status request is still in flight:
/// the status request must be answered with the newer state.
#[test]
fn an_answer_under_way_is_not_older_than_what_is_known() {
    let mut world = World::new(3, 531);
    world.run(5_000);
    world.accept(0, &job(1, "t0", 1, 300.0));
    // The store is read before the cancellation, and the result arrives after it.
    world.network.lag.insert(1, 900);
    let asked = world.ask(1, HttpRequest::Status(id(1)));
    world.run(25);
    world.network.lag.remove(&1);
    assert_eq!(world.cancel(1, &id(1)), 200);
    world.run(2_000);
    assert_eq!(world.status_answered(asked), "withdrawn");
    world.assert_rules_kept();
}

/// Users cancel jobs and ask for their status while the store is slow, then refuses the leader alone,
/// and then is down for all nodes for longer than a cancellation may take. Requests that can't be
/// answered are rejected at once, and no job is forgotten.
#[test]
fn users_ask_and_cancel_through_a_slow_store_and_an_outage() {
    let mut world = busy_world(601, 6);
    for node in 0..3 {
        world.store_faults.slow.insert(node, 700);
    }
    world.run(3_000);
    let old = world.leader().unwrap();
    world.store.refused_nodes.insert(old);
    world.run(2_000);
    assert_eq!(world.cancel((old + 1) % 3, &id(1)), 0, "answered within half a second");

    world.run(1_000);
    world.store.is_down = true;
    for round in 0..10 {
        for node in 0..3 {
            let request = world.ask(node, HttpRequest::Status(id(2)));
            world.run(2_100);
            let answer = &world.users.answers[&request];
            assert_eq!((answer.status, answer.retry_after_s), (503, Some(1)), "{round}");
        }
        let request = world.ask(round % 3, HttpRequest::Cancel(id(2)));
        world.run(2_100);
        assert_ne!(world.users.answers[&request].status, 200);
    }
    assert!(world.now > CANCEL_MS);

    world.store.is_down = false;
    world.store.refused_nodes.clear();
    world.store_faults.slow.clear();
    world.run(5_000);
    for node in 0..3 {
        assert_eq!(world.status(node, &id(1)), "withdrawn");
        assert_eq!(world.cancel(node, &id(2)), 200);
    }
    world.run(CANCEL_MS + 5_000);
    world.assert_rules_kept();
}

/// Invalid submissions are rejected before anything is recorded. An accepted job stays accepted,
/// whatever a later submission with its id contains.
#[test]
fn odd_requests_are_answered_and_leave_no_record() {
    let mut world = World::new(3, 603);
    world.task_duration_ms = 4_000;
    world.run(5_000);

    let complete = job(1, "t0", 1, 4.0);
    let optional = ["hulltypes", "yard", "due_s", "awaits"];
    for field in complete.as_object().unwrap().keys().filter(|name| !optional.contains(&name.as_str())) {
        let mut submission = complete.clone();
        submission.as_object_mut().unwrap().remove(field);
        let request = world.ask(0, HttpRequest::Submit(submission.to_string().into_bytes()));
        world.run(100);
        let answer = &world.users.answers[&request];
        assert_eq!(answer.status, 400, "{field}: {}", answer.body);
        assert!(answer.body.contains(field.as_str()), "{}", answer.body);
    }
    for (field, value) in [("cores", json!(17.0)), ("memory_gb", json!(65.0)), ("yard", json!("north"))]
    {
        let mut submission = complete.clone();
        submission[field] = value;
        let request = world.ask(1, HttpRequest::Submit(submission.to_string().into_bytes()));
        world.run(100);
        assert_eq!(world.users.answers[&request].status, 422, "{field}");
    }
    assert!(!world.store.records.contains_key("w/job/run-000001"));

    world.accept(0, &complete);

    // Submit the job again, with all fields and with one missing, before it is done and afterwards.
    let mut incomplete = complete.clone();
    incomplete.as_object_mut().unwrap().remove("crew");
    for node in 0..3 {
        for body in [&complete, &incomplete] {
            let request = world.ask(node, HttpRequest::Submit(body.to_string().into_bytes()));
            world.run(100);
            assert_eq!(
                world.users.answers[&request].status, 200,
                "{}",
                world.users.answers[&request].body
            );
        }
    }
    assert!(world.until_done(&id(1), 90_000));

    world.run(500);
    for node in 0..3 {
        let request = world.ask(node, HttpRequest::Cancel(id(1)));
        world.run(100);
        assert_eq!(world.status_answered(request), "done");

        let request = world.ask(node, HttpRequest::Submit(incomplete.to_string().into_bytes()));
        world.run(100);
        assert_eq!(world.status_answered(request), "done");
    }
    world.assert_rules_kept();
}
