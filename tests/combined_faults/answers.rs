//! Users ask within milliseconds, oddly, or through a slow store.

use crate::fixtures::{busy, id};
use crate::support::{CANCEL_MS, World, job};
use serde_json::json;
use woadlever::core::HttpRequest;

/// Right after a job was accepted, cancelled or ended, all nodes are asked within
/// milliseconds, also by a repeated submission, while their watches lag.
#[test]
fn no_node_answers_something_older_within_milliseconds() {
    let mut w = World::new(3, 530);
    w.run_ms = 5_000;
    w.run(5_000);
    for n in 0..3 {
        w.store_faults.slow_watch.insert(n, 1_500);
    }
    for n in 1..9 {
        let body = job(n, "t0", 1, 5.0);
        let at = n as usize % 3;
        let first = w.submit(at, &body);
        // The same again before the first is settled: one of them creates it.
        let again = w.submit((at + 1) % 3, &body);
        while w.users.answers.get(&first).is_none_or(|a| a.status != 201)
            && w.users.answers.get(&again).is_none_or(|a| a.status != 201)
        {
            w.run(5);
        }
        for node in 0..3 {
            let asked = w.ask(node, HttpRequest::Status(id(n)));
            let sent = w.submit(node, &body);
            w.run(100);
            for r in [asked, sent] {
                assert!(matches!(w.status_answered(r).as_str(), "queued" | "running" | "done"));
            }
        }
        if n % 2 == 0 {
            w.users.asked_to_cancel.insert(id(n));
            let c = w.ask((at + 2) % 3, HttpRequest::Cancel(id(n)));
            while !w.users.answers.contains_key(&c) {
                w.run(5);
            }
            let word = w.status_answered(c);
            assert!(word == "withdrawn" || word == "done", "{word}");
            let mut asked = Vec::new();
            for node in 0..3 {
                asked.push(w.ask(node, HttpRequest::Status(id(n))));
                asked.push(w.submit(node, &body));
                asked.push(w.ask(node, HttpRequest::Cancel(id(n))));
            }
            w.run(100);
            for r in asked {
                assert_eq!(w.status_answered(r), word);
            }
        } else {
            let mut r = 0;
            for _ in 0..200 {
                r = w.ask(at, HttpRequest::Status(id(n)));
                w.run(200);
                if w.status_answered(r) == "done" {
                    break;
                }
            }
            assert_eq!(w.status_answered(r), "done");
            for node in 0..3 {
                let asked = [w.ask(node, HttpRequest::Status(id(n))), w.submit(node, &body)];
                w.run(100);
                assert!(asked.iter().all(|r| w.status_answered(*r) == "done"));
            }
        }
    }
    w.fair();
}

/// The end of a job becomes known while an answer that says otherwise is still
/// under way: the newer knowledge is told.
#[test]
fn an_answer_under_way_is_not_older_than_what_is_known() {
    let mut w = World::new(3, 531);
    w.run(5_000);
    w.accept(0, &job(1, "t0", 1, 300.0));
    // Read before the cancellation; what was read comes in after it.
    w.network.lag.insert(1, 900);
    let asked = w.ask(1, HttpRequest::Status(id(1)));
    w.run(25);
    w.network.lag.remove(&1);
    assert_eq!(w.cancel(1, &id(1)), 200);
    w.run(2_000);
    assert_eq!(w.status_answered(asked), "withdrawn");
    w.fair();
}

/// The store answers slowly, then refuses the leader alone, then everybody
/// for longer than a cancellation may take, while users cancel and ask: whatever
/// can't be answered is answered so at once, and nothing is forgotten.
#[test]
fn users_ask_and_cancel_through_a_slow_store_and_an_outage() {
    let mut w = busy(601, 6);
    for n in 0..3 {
        w.store_faults.slow.insert(n, 700);
    }
    w.run(3_000);
    let old = w.leader().unwrap();
    w.store.refuses.insert(old);
    w.run(2_000);
    assert_eq!(w.cancel((old + 1) % 3, &id(1)), 0, "not within half a second");
    w.run(1_000);
    w.store.down = true;
    for k in 0..10 {
        for node in 0..3 {
            let r = w.ask(node, HttpRequest::Status(id(2)));
            w.run(2_100);
            let a = &w.users.answers[&r];
            assert_eq!((a.status, a.retry_after_s), (503, Some(1)), "{k}");
        }
        let r = w.ask(k % 3, HttpRequest::Cancel(id(2)));
        w.run(2_100);
        assert_ne!(w.users.answers[&r].status, 200);
    }
    assert!(w.now > CANCEL_MS);
    w.store.down = false;
    w.store.refuses.clear();
    w.store_faults.slow.clear();
    w.run(5_000);
    for node in 0..3 {
        assert_eq!(w.status(node, &id(1)), "withdrawn");
        assert_eq!(w.cancel(node, &id(2)), 200);
    }
    w.run(CANCEL_MS + 5_000);
    w.fair();
}

/// What makes no sense is refused before anything is recorded; a job that was
/// accepted stays so, whatever a later submission of it says.
#[test]
fn odd_requests_are_answered_and_leave_no_record() {
    let mut w = World::new(3, 603);
    w.run_ms = 4_000;
    w.run(5_000);
    let whole = job(1, "t0", 1, 4.0);
    let may_be_left_out = ["hulltypes", "yard", "due_s", "awaits"];
    for field in whole.as_object().unwrap().keys().filter(|f| !may_be_left_out.contains(&f.as_str())) {
        let mut j = whole.clone();
        j.as_object_mut().unwrap().remove(field);
        let r = w.ask(0, HttpRequest::Submit(j.to_string().into_bytes()));
        w.run(100);
        assert_eq!(w.users.answers[&r].status, 400, "{field}: {}", w.users.answers[&r].body);
        assert!(w.users.answers[&r].body.contains(field.as_str()), "{}", w.users.answers[&r].body);
    }
    for (field, value) in [("cores", json!(17.0)), ("memory_gb", json!(65.0)), ("yard", json!("north"))]
    {
        let mut j = whole.clone();
        j[field] = value;
        let r = w.ask(1, HttpRequest::Submit(j.to_string().into_bytes()));
        w.run(100);
        assert_eq!(w.users.answers[&r].status, 422, "{field}");
    }
    assert!(!w.store.records.contains_key("w/job/run-000001"));
    w.accept(0, &whole);
    // Again, unfinished and then done, whole and with a field missing.
    let mut lacking = whole.clone();
    lacking.as_object_mut().unwrap().remove("crew");
    for node in 0..3 {
        for body in [&whole, &lacking] {
            let r = w.ask(node, HttpRequest::Submit(body.to_string().into_bytes()));
            w.run(100);
            assert_eq!(w.users.answers[&r].status, 200, "{}", w.users.answers[&r].body);
        }
    }
    assert!(w.until_done(&id(1), 90_000));
    w.run(500);
    for node in 0..3 {
        let r = w.ask(node, HttpRequest::Cancel(id(1)));
        w.run(100);
        assert_eq!(w.status_answered(r), "done");
        let r = w.ask(node, HttpRequest::Submit(lacking.to_string().into_bytes()));
        w.run(100);
        assert_eq!(w.status_answered(r), "done");
    }
    w.fair();
}
