//! Cancellations that coincide with other faults.

use crate::fixtures::{busy_world, id, machine_of, state_of, tasks_on_machines};
use crate::support::{CANCEL_MS, World, job};
use woadlever::core::HttpRequest;

/// A shard owner whose watch lags learns of a cancellation from the peer heartbeat of the node that
/// confirms it, and stops the tasks by direct command, also those that still fetch their image.
#[test]
fn a_cancellation_stops_at_once_what_a_lagging_shard_owner_started() {
    let mut world = World::new(3, 510);
    world.task_duration_ms = 600_000;
    world.run(5_000);

    world.accept(0, &job(1, "t1", 12, 600.0));
    world.run(20_000);
    for node in 0..3 {
        world.store_faults.slow_watch.insert(node, 8_000);
    }
    world.run(1_000);
    assert!(tasks_on_machines(&world, 1) > 0);
    assert_eq!(world.cancel(0, &id(1)), 200);

    world.run(600);
    let live = |world: &World| {
        let tasks = world.workers.iter().flat_map(|worker| &worker.tasks);
        tasks.filter(|task| task.end_reason.is_none()).count()
    };
    // The watch shows the cancellation only seconds later, and heartbeats are rare.
    assert_eq!(live(&world), 0, "direct commands did not stop all tasks");
    assert_eq!(world.oracle.late_starts, [], "started after the confirmation");

    // The job's tasks are placed and recorded, but no `run` command has been sent; after the
    // cancellation none may be sent.
    world.accept(0, &job(2, "t1", 12, 600.0));
    let on_record = |world: &World| {
        let mut records = world.store.records_under("place/");
        records.any(|(_, record)| {
            let jobs = record.value["j"].as_array().unwrap();
            jobs.iter().any(|job| job[0] == id(2))
        })
    };
    for worker in &mut world.workers {
        worker.heartbeats_lost = true;
    }
    while !on_record(&world) {
        world.run(5);
    }
    assert_eq!(world.cancel(0, &id(2)), 200);

    for worker in &mut world.workers {
        worker.heartbeats_lost = false;
    }
    world.run(30_000);
    assert_eq!(world.oracle.late_starts, [], "started after the confirmation");
    world.assert_rules_kept();
}

/// A machine whose heartbeats reach no node is still sent direct commands to stop its tasks.
#[test]
fn a_machine_without_heartbeats_is_stopped_by_direct_command() {
    let mut world = busy_world(511, 4);
    let machine = machine_of(&world, 1);
    world.workers[machine].heartbeats_lost = true;
    world.run(3_000);
    assert_eq!(world.cancel(0, &id(1)), 200);
    world.run(200);
    let ended =
        world.workers[machine].tasks.iter().all(|task| task.end_reason.as_deref() == Some("halted"));
    assert!(ended, "the direct command did not stop its tasks");
    world.run(60_000);
    world.assert_rules_kept();
}

/// Jobs are cancelled while the machines that run them hang. When the machines resume, whether within
/// their lease or after it, the cancelled tasks must end.
#[test]
fn tasks_cancelled_on_a_hanging_machine_end_when_it_resumes() {
    for (seed, hang_ms) in [(512, 6_000), (513, 17_000), (514, 19_900), (515, 33_000)] {
        let mut world = busy_world(seed, 6);
        for number in [1, 2] {
            let machine = machine_of(&world, number);
            world.workers[machine].hung_until = world.now + hang_ms;
        }
        for number in [1, 2] {
            assert_eq!(world.cancel(number as usize, &id(number)), 200);
        }
        world.run(hang_ms + 1_500);
        let live = world
            .workers
            .iter()
            .flat_map(|worker| &worker.tasks)
            .filter(|task| task.end_reason.is_none())
            .count();
        assert_eq!(live, 0, "{hang_ms}");

        world.run(CANCEL_MS);
        world.assert_rules_kept();
    }
}

/// Jobs are cancelled while a node's shards are reassigned: before the new shard owner has read the
/// placement records, and while the old one still answers.
#[test]
fn cancelled_while_shards_change_owners() {
    for (seed, wait_ms) in [(516, 0), (517, 200), (518, 2_600), (519, 3_100), (520, 3_400)] {
        let mut world = busy_world(seed, 8);
        let machine = machine_of(&world, 1);
        let shard_owner = world.shard_owner_of(machine);
        let other = (shard_owner + 1) % 3;
        for node in (0..3).filter(|node| *node != shard_owner) {
            world.network.unreachable_pairs.insert((shard_owner, node));
        }
        world.run(wait_ms);
        assert_eq!(world.cancel(other, &id(1)), 200);
        assert_eq!(world.cancel(other, &id(2)), 200);

        world.run(8_000);
        world.network.unreachable_pairs.clear();
        world.run(CANCEL_MS);
        assert_eq!(tasks_on_machines(&world, 1) + tasks_on_machines(&world, 2), 0, "{wait_ms}");
        world.assert_rules_kept();
    }
}

/// A cancellation, a status request and a repeated submission arrive at moments around the end of a
/// job's last task, in steps of 25 ms: the final answers are either all done or all cancelled.
#[test]
fn a_cancellation_meets_the_end_of_the_last_task() {
    let mut seen = [0, 0];
    for ticks in 0..24 {
        let mut world = World::new(3, 521);
        world.task_duration_ms = 4_000;
        world.run(5_000);

        let body = job(1, "t0", 1, 4.0);
        world.accept(0, &body);

        // Run until the task has ended or its end is recorded, then for the given number of ticks.
        while state_of(&world, 1) == "l"
            && world
                .workers
                .iter()
                .flat_map(|worker| &worker.tasks)
                .all(|task| task.end_reason.is_none())
        {
            world.run(25);
        }
        world.run(ticks * 25);
        world.users.asked_to_cancel.insert(id(1));
        let (cancellation, submission, status_request) = (
            world.ask(1, HttpRequest::Cancel(id(1))),
            world.submit(2, &body),
            world.ask(0, HttpRequest::Status(id(1))),
        );
        world.run(1_500);
        let end = state_of(&world, 1);
        assert!(end == "d" || end == "c", "{end}");

        seen[usize::from(end == "c")] += 1;
        let expected = if end == "d" { "done" } else { "withdrawn" };
        assert_eq!(world.status_answered(cancellation), expected);

        for request in [submission, status_request] {
            let status = world.status_answered(request);
            assert!(status == expected || status == "queued" || status == "running", "{status}");
        }
        for node in 0..3 {
            assert_eq!(world.status(node, &id(1)), expected);
        }
        world.run(20_000);
        world.assert_rules_kept();
    }
    assert!(seen[0] > 0 && seen[1] > 0, "one of the outcomes never occurred: {seen:?}");
}
