//! Dependents start after their dependencies and are cancelled with them.

use crate::fixtures::{accept_pipeline, id, stage, state_of, submit, world};
use crate::support::{CANCEL_MS, job};
use serde_json::{Value, json};
use woadlever::core::HttpRequest;

#[test]
fn stages_run_in_order_across_changes_of_leader() {
    for seed in [1, 2, 3] {
        let mut world = world(seed);
        accept_pipeline(&mut world);
        assert_eq!(world.status(1, &id(5)), "queued");

        for _ in 0..4 {
            world.run(9_000);
            if let Some(leader) = world.leader() {
                world.crash(leader, 4_000);
            }
        }
        assert!(world.until_done(&id(5), 200_000), "seed {seed}");
        assert_eq!(world.oracle.starts.len(), 10);
        assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);
        world.assert_rules_kept();
    }
}

/// Cancelling a stage also cancels its dependents, which never run, whichever stage it is and
/// whenever it is cancelled; all other stages complete.
#[test]
fn a_cancellation_cancels_all_dependents_and_no_other_job() {
    for (seed, cancelled, with_dependents) in
        [(4, 1, &[1, 2, 3, 4, 5][..]), (5, 3, &[3, 4, 5]), (6, 5, &[5])]
    {
        let mut world = world(seed);
        world.task_duration_ms = 15_000;
        accept_pipeline(&mut world);
        assert_eq!(world.cancel((seed as usize) % 3, &id(cancelled)), 200);

        // A dependent that is submitted afterwards is accepted, and cancelled from the start.
        let (status, body) = submit(&mut world, 0, &stage(6, &[cancelled]));
        assert!(status == 201 && body.contains("withdrawn"), "{status} {body}");

        world.run(40_000);
        for number in 1..=6 {
            let expected = if with_dependents.contains(&number) || number == 6 { "c" } else { "d" };
            if expected == "d" {
                assert!(world.until_done(&id(number), 200_000));
            }
            assert_eq!(state_of(&world, number), expected, "job {number} with {cancelled} cancelled");
        }
        world.assert_rules_kept();
    }
}

/// A job is cancelled at one node while a dependent is submitted at another, and neither node has
/// seen the other's write yet.
#[test]
fn a_submission_that_races_with_a_cancellation_is_cancelled_too() {
    for (seed, slow) in [(7, 0), (8, 1_500), (9, 6_000)] {
        let mut world = world(seed);
        world.task_duration_ms = 60_000;
        world.accept(0, &stage(1, &[]));
        world.accept(0, &stage(2, &[1]));

        // The watch of node n1 lags, so that n1 considers the dependency live.
        world.store_faults.slow_watch.insert(1, slow);
        world.run(2 * slow + 100);
        world.users.asked_to_cancel.insert(id(1));
        let cancellation = world.ask(0, HttpRequest::Cancel(id(1)));
        world.run(40);
        let submission = world.submit(1, &stage(3, &[2]));
        world.run(500);
        assert_eq!(world.users.answers[&cancellation].status, 200);

        world.users.cancelled.insert(id(1), world.now);
        assert!([201, 503].contains(&world.users.answers[&submission].status));

        let accepted = world.users.answers[&submission].status == 201;
        world.store_faults.slow_watch.clear();
        world.run(20_000);
        for node in 0..3 {
            assert_eq!(world.status(node, &id(2)), "withdrawn");
            if accepted {
                assert_eq!(world.status(node, &id(3)), "withdrawn");
            }
        }
        world.assert_rules_kept();
    }
}

/// A cancellation that is answered with `done` cancels no dependents.
#[test]
fn dependents_of_a_job_that_was_done_before_its_cancellation_go_on() {
    let mut world = world(10);
    world.accept(0, &stage(1, &[]));
    world.accept(1, &stage(2, &[1]));
    assert!(world.until_done(&id(1), 90_000));
    let request = world.ask(2, HttpRequest::Cancel(id(1)));
    world.run(500);
    assert!(world.users.answers[&request].body.contains("done"));
    // A job of another team that depends on the done job is submitted afterwards.
    let mut late = stage(3, &[1, 2]);
    late["crew"] = json!("t0");
    assert_eq!(submit(&mut world, 2, &late).0, 201);
    assert!(world.until_done(&id(3), 120_000));
    world.assert_rules_kept();
}

#[test]
fn an_invalid_awaits_list_is_rejected_unless_the_job_is_already_accepted() {
    let mut world = world(11);
    world.accept(0, &stage(1, &[]));
    let mut submission = stage(2, &[]);
    for (awaits, expected) in [
        (json!("run-000001"), 400),
        (json!({"run-000001": 1}), 400),
        (json!([1]), 400),
        (json!(["run-000001", "x-1"]), 400),
        (json!([null]), 400),
        (json!((0..101).map(id).collect::<Vec<_>>()), 400),
        (json!([id(2)]), 422),
        (json!([id(1), id(77)]), 422),
    ] {
        submission["awaits"] = awaits;
        let (status, body) = submit(&mut world, 1, &submission);
        assert_eq!(status, expected, "{submission} {body}");
        assert!(body.contains("\"field\":\"awaits\""), "{body}");
    }
    assert_eq!(world.status(0, &id(2)), "404");

    // Duplicate ids count once; a null list is the same as none.
    submission["awaits"] = json!([id(1), id(1), id(1)]);
    assert_eq!(submit(&mut world, 2, &submission).0, 201);

    let record = world.store.job(&id(2)).unwrap().clone();
    assert_eq!(record["w"], "000001");

    submission = stage(3, &[]);
    submission["awaits"] = Value::Null;
    assert_eq!(submit(&mut world, 2, &submission).0, 201);

    // A resubmission of an accepted job is answered with the job's state, whatever its list says
    // and whichever node receives it.
    for (node, awaits) in [(0, json!("x")), (1, json!([id(88)])), (2, json!([id(2)]))] {
        let mut again = stage(2, &[]);
        again["awaits"] = awaits;
        let (status, body) = submit(&mut world, node, &again);
        assert!(status == 200 && body.contains("status"), "{status} {body}");
    }
    assert!(world.until_done(&id(2), 90_000));
    world.assert_rules_kept();
}

/// A node decides from a read of the store, not from its lagging watch, that a dependency was never
/// accepted or that a submitted job is new.
#[test]
fn a_lagging_node_rejects_no_accepted_job_or_dependency() {
    let mut world = world(12);
    world.store_faults.slow_watch.insert(1, 20_000);
    world.run(3_000);
    let first = submit(&mut world, 0, &stage(1, &[]));
    assert_eq!(first.0, 201);
    assert_eq!(submit(&mut world, 1, &stage(2, &[1])).0, 201);

    // The first answer was lost, and the user retries at another node with a body that would be
    // rejected for a new job.
    assert_eq!(submit(&mut world, 0, &stage(5, &[])).0, 201);

    let mut again = stage(5, &[99]);
    again["crew"] = json!("nobody");
    let (status, body) = submit(&mut world, 1, &again);
    assert!(status == 200 && body.contains("queued"), "{status} {body}");
    assert_eq!(submit(&mut world, 1, &stage(3, &[98])).0, 422);

    // During an outage of the store a node can't know what was accepted, and rejects nothing
    // permanently.
    world.store.is_down = true;
    world.run(200);
    assert_eq!(submit(&mut world, 1, &stage(4, &[97])).0, 503);

    world.store.is_down = false;
    world.store_faults.slow_watch.clear();
    assert!(world.until_done(&id(2), 120_000));
    world.assert_rules_kept();
}

/// A job that waits for its dependencies uses none of its team's quota or guarantee, causes
/// no scale-out, and the time that it spends so doesn't count as waiting time.
#[test]
fn a_job_that_waits_for_its_dependencies_uses_no_quota_or_capacity() {
    let mut world = world(13);
    world.task_duration_ms = 150_000;
    world.accept(0, &job(1, "t1", 2, 150.0));
    let mut large = job(2, "t0", 8, 10.0);
    large["awaits"] = json!([id(1)]);
    large["urgency"] = json!("prod");
    world.accept(1, &large);
    world.run(30_000);
    let created_count = world.cloud.created_count;
    assert!(created_count <= 2, "{created_count} machines for two tasks of four CPUs");

    // The team's whole quota is free for other jobs.
    world.accept(2, &job(3, "t0", 8, 150.0));
    world.run(60_000);
    assert_eq!(world.oracle.starts.keys().filter(|task| task.starts_with("run-000003")).count(), 8);

    // Once ready, the job waits for its team's quota like any other and preempts no task, because
    // the time before it became ready doesn't count.
    world.run(80_000);
    assert_eq!(state_of(&world, 1), "d");
    assert!(world.until_done(&id(2), 400_000));
    assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);
    world.assert_rules_kept();
}

/// The time at which a job's last dependency completed is recorded: a new leader counts the waiting
/// time from then and preempts nothing for a job that has just become ready.
#[test]
fn the_time_at_which_a_job_became_ready_survives_a_change_of_leader() {
    let mut world = world(14);
    world.cloud.capacity = 2;
    world.task_duration_ms = 190_000;
    world.accept(0, &job(1, "t1", 1, 190.0));
    let mut dependent = job(2, "t1", 1, 10.0);
    dependent["cores"] = json!(16.0);
    dependent["urgency"] = json!("prod");
    dependent["awaits"] = json!([id(1)]);
    world.accept(0, &dependent);
    world.run(120_000);

    // All remaining capacity runs tasks of low priority when the job becomes ready.
    let mut low = job(3, "t1", 8, 190.0);
    low["urgency"] = json!("idle");
    world.accept(0, &low);
    while state_of(&world, 1) != "d" {
        world.run(500);
    }
    let ready_at = world.store.job(&id(1)).unwrap()["t"].as_u64().unwrap();
    let now = 1_000_000_000 + world.now;
    assert!(ready_at <= now && ready_at + 5_000 > now);

    let leader = world.leader().unwrap();
    world.crash(leader, 5_000);
    world.run(60_000);
    let preempted = world
        .workers
        .iter()
        .flat_map(|worker| &worker.tasks)
        .any(|task| task.end_reason.as_deref() == Some("halted"));
    assert!(
        !preempted && !world.oracle.starts.contains_key("run-000002/0"),
        "tasks were preempted for a job that has just become ready"
    );
    world.assert_rules_kept();
}

#[test]
fn dependencies_survive_a_restart_of_all_nodes() {
    let mut world = world(15);
    accept_pipeline(&mut world);
    world.run(4_000);
    for node in 0..3 {
        world.crash(node, 2_000 + 500 * node as u64);
    }
    world.run(3_000);
    assert_eq!(world.cancel(2, &id(2)), 200);

    world.run(30_000);
    for number in [2, 4, 5] {
        assert_eq!(world.status(0, &id(number)), "withdrawn");
    }
    assert!(world.until_done(&id(3), 120_000));
    world.assert_rules_kept();
}

/// Each node is asked for the first time after an outage of the store that was longer than a
/// cancellation may take: no node reports a job as live whose dependency is cancelled, and no node
/// contradicts an earlier answer.
#[test]
fn the_first_answer_after_a_long_outage_reports_no_orphan_as_live() {
    for seed in [16, 17] {
        let mut world = world(seed);
        world.task_duration_ms = 100_000;
        for (number, awaits) in [(1, &[][..]), (2, &[1]), (3, &[2]), (4, &[3])] {
            world.accept(0, &stage(number, awaits));
        }

        // No leader is left to propagate the cancellation before the outage begins.
        let leader = world.leader().unwrap();
        let user_api = (leader + 1) % 3;
        world.crash(leader, 1_000);
        world.run(50);
        assert_eq!(world.cancel(user_api, &id(1)), 200);

        world.store.is_down = true;
        world.run(CANCEL_MS + 8_000);
        world.store.is_down = false;

        // The restarted node, which has read nothing yet, is asked first.
        for number in [4, 3, 2] {
            for node in [leader, (user_api + 1) % 3, user_api] {
                let request = world.ask(node, HttpRequest::Status(id(number)));
                world.run(15);
                if let Some(answer) = world.users.answers.get(&request) {
                    assert!(
                        answer.status == 503 || answer.body.contains("withdrawn"),
                        "{}",
                        answer.body
                    );
                }
            }
        }
        world.run(5_000);
        for node in 0..3 {
            assert_eq!(world.status(node, &id(4)), "withdrawn");
        }
        world.assert_rules_kept();
    }
}

/// A user API whose watch gets no answers may still be able to read records. It does not know which
/// jobs were cancelled meanwhile, and must say so rather than report a waiting job as live.
#[test]
fn a_user_api_whose_watch_lags_reports_no_waiting_job_as_live() {
    let mut world = world(18);
    world.task_duration_ms = 200_000;
    accept_pipeline(&mut world);
    let leader = world.leader().unwrap();
    let user_api = (leader + 1) % 3;
    world.store_faults.slow_watch.insert(user_api, 120_000);
    world.run(3_000);

    // No other node propagates the cancellation: the user API answers from what it reads.
    world.crash(leader, 200_000);
    let other = (leader + 2) % 3;
    assert_eq!(world.cancel(other, &id(1)), 200);

    world.crash(other, 200_000);
    for _ in 0..30 {
        world.run(2_000);
        world.status(user_api, &id(5));
    }
    world.assert_rules_kept();
}

/// A leader may keep its lease although none of its writes gets through. A node that is asked for a
/// dependent's state cancels the dependent itself instead of waiting for the leader.
#[test]
fn the_user_api_cancels_dependents_when_the_leader_cannot_write() {
    let mut world = world(25);
    world.task_duration_ms = 200_000;
    accept_pipeline(&mut world);
    let leader = world.leader().unwrap();
    world.store_faults.slow_writes.insert(leader, 90_000);
    let user_api = (leader + 1) % 3;
    assert_eq!(world.cancel(user_api, &id(1)), 200);

    world.run(CANCEL_MS);
    assert_eq!(world.leader(), Some(leader));
    assert_eq!(state_of(&world, 5), "l", "cancelled before any node was asked for the job's state");

    for node in [(leader + 2) % 3, leader, user_api] {
        assert_eq!(world.status(node, &id(5)), "withdrawn");
    }
    world.assert_rules_kept();
}

/// A cancelled job has more dependents than fit into many writes: all of them are cancelled in time,
/// although the leader changes and further dependents are submitted meanwhile.
#[test]
fn long_chains_and_wide_fan_outs_are_cancelled_in_time() {
    let mut world = world(19);
    world.task_duration_ms = 300_000;
    world.lower_store_limits();
    world.accept(0, &stage(1, &[]));
    for number in 2..42 {
        let submission = stage(number, &[if number < 22 { number - 1 } else { 1 }]);
        world.submit(number as usize % 3, &submission);
        world.run(150);
    }
    world.run(2_000);
    assert_eq!(world.cancel(1, &id(1)), 200);

    let cancelled_at = world.now;
    let leader = world.leader().unwrap();
    world.crash(leader, 3_000);
    for number in 42..50 {
        let node = (leader + 1) % 3;
        world.submit(node, &stage(number, &[number - 1, 21]));
        world.run(200);
    }
    world.run(CANCEL_MS - (world.now - cancelled_at) - 1_000);
    let live: Vec<u32> = (1..50).filter(|number| state_of(&world, *number) == "l").collect();
    assert!(live.is_empty(), "still live: {live:?}");

    for number in 1..50 {
        assert_eq!(world.status(number as usize % 3, &id(number)), "withdrawn");
    }
    world.assert_rules_kept();
}
