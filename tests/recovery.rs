//! Recovery from the loss of all controllers: workers' heartbeats are reconciled with the records
//! before commands are sent, and no more commands are sent than needed.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod support;

use serde_json::Value;
use std::collections::HashSet;
use support::{CommandCounts, WorkerTask, World, job};
use woadlever::core::HttpRequest;
use woadlever::wire::workers::TaskState;

const NODES: usize = 3;
/// Maximum ratio of the commands that are sent after a restart to the least number that is needed.
const MAX_COMMAND_RATIO: f64 = 1.1;

/// Returns a busy cluster: long tasks run on all machines, and more tasks are queued.
fn busy_cluster(seed: u64) -> World {
    let mut world = World::new(NODES, seed);
    world.task_duration_ms = 60_000;
    world.run(5_000);
    for id in 1..=4 {
        world.accept(id as usize % NODES, &job(id, if id == 1 { "t0" } else { "t1" }, 6, 60.0));
    }
    world.run(35_000);
    assert!(running_tasks(&world).len() >= 20, "{} tasks run", running_tasks(&world).len());
    world
}

/// Crashes all nodes, which restart after `back_ms`.
fn crash_all(world: &mut World, back_ms: u64) {
    for node in 0..NODES {
        world.crash(node, back_ms);
    }
}

/// Returns the tasks that are on a machine and have not ended.
fn running_tasks(world: &World) -> HashSet<String> {
    let live = world.workers.iter().filter(|worker| worker.alive).flat_map(|worker| &worker.tasks);
    live.filter(|task| task.state != TaskState::Ended)
        .map(|task| format!("{}/{}", task.job, task.task))
        .collect()
}

/// Returns the number of tasks that are neither on a machine nor done, according to the actual state
/// of the workers and the records: at least as many start commands are needed.
fn count_needed_starts(world: &World) -> usize {
    let on_machines: HashSet<String> = world
        .workers
        .iter()
        .filter(|worker| worker.alive)
        .flat_map(|worker| &worker.tasks)
        .filter(|task| task.state != TaskState::Ended || task.end_reason.as_deref() == Some("done"))
        .map(|task| format!("{}/{}", task.job, task.task))
        .collect();
    let is_open = |id: &str| world.store.job(id).is_some_and(|record| record["s"] == "l");
    let mut needed = 0;
    for (id, spec) in world.users.jobs.iter().filter(|(id, _)| is_open(id)) {
        let tasks = spec["pieces"].as_u64().unwrap();
        let missing = (0..tasks).filter(|task| !on_machines.contains(&format!("{id}/{task}")));
        needed += missing.filter(|task| !is_recorded_done(world, id, *task)).count();
    }
    needed
}

/// Whether the progress record lists a task as done.
fn is_recorded_done(world: &World, id: &str, task: u64) -> bool {
    let Some(progress) = world.store.value(&format!("progress/{id}/0")) else { return false };
    let digits = progress.as_str().unwrap_or_default().as_bytes();
    let byte = (task / 8) as usize;
    let digit_index = byte * 2 + usize::from(task % 8 < 4);
    let digit = digits.get(digit_index).and_then(|digit| (*digit as char).to_digit(16)).unwrap_or(0);
    digit & (1 << (task % 4)) != 0
}

/// Advances the simulated time until all jobs are done.
fn run_until_all_done(world: &mut World) {
    let ids: Vec<String> = world.users.jobs.keys().cloned().collect();
    for id in ids {
        assert!(world.until_done(&id, 300_000), "{id} is not done");
    }
}

fn assert_no_task_ran_again(world: &World) {
    let again: Vec<_> = world.oracle.starts.iter().filter(|(_, starts)| **starts > 1).collect();
    assert!(again.is_empty(), "started again: {again:?}");
}

#[test]
fn running_tasks_are_kept_and_no_unneeded_command_is_sent() {
    for seed in 0..6 {
        let mut world = busy_cluster(700 + seed);
        crash_all(&mut world, 3_000 + seed * 1_000);
        world.commands = CommandCounts::default();
        let needed = count_needed_starts(&world);
        let running_before = running_tasks(&world);
        world.run(20_000);
        let running_after = running_tasks(&world);
        assert!(
            running_before.is_subset(&running_after),
            "seed {seed}: lost {:?}",
            running_before.difference(&running_after)
        );
        assert_eq!(world.commands.stops, 0, "seed {seed}");

        run_until_all_done(&mut world);
        let sent = world.commands.attempts();
        assert!(
            sent as f64 <= needed as f64 * MAX_COMMAND_RATIO,
            "seed {seed}: {sent} attempts sent, {needed} needed"
        );
        assert_no_task_ran_again(&world);
        world.assert_rules_kept();
    }
}

#[test]
fn repeated_crashes_during_reconciliation_lose_no_task() {
    for seed in 0..4 {
        let mut world = busy_cluster(720 + seed);
        world.commands = CommandCounts::default();
        let running_before = running_tasks(&world);

        // Crashes the nodes one by one, then all of them before the last is back, and all again
        // while machines are still being reconciled.
        for node in 0..NODES {
            world.crash(node, 1_000 + 900 * node as u64);
        }
        world.run(2_000);
        crash_all(&mut world, 1_500);
        world.run(2_200);
        crash_all(&mut world, 800);
        world.run(15_000);
        let running_after = running_tasks(&world);
        assert!(
            running_before.is_subset(&running_after),
            "seed {seed}: lost {:?}",
            running_before.difference(&running_after)
        );

        run_until_all_done(&mut world);
        assert_no_task_ran_again(&world);
        world.assert_rules_kept();
    }
}

/// Adds to a machine a running attempt that no placement record lists.
fn add_unrecorded_attempt(world: &mut World, worker: usize, job: &str, task: u32, attempt: u64) {
    let at = world.now + 600_000;
    let task = WorkerTask {
        job: job.into(),
        task,
        attempt,
        state: TaskState::Running,
        end_reason: None,
        next_transition_at: at,
    };
    world.workers[worker].tasks.push(task);
}

fn has_live_attempt(world: &World, worker: usize, attempt: u64) -> bool {
    let tasks = &world.workers[worker].tasks;
    tasks.iter().any(|task| task.attempt == attempt && task.state != TaskState::Ended)
}

#[test]
fn attempts_without_a_record_are_stopped_and_no_others() {
    let mut world = busy_cluster(740);
    let finished = job(9, "t0", 1, 5.0);
    world.task_duration_ms = 5_000;
    world.accept(0, &finished);
    assert!(world.until_done("run-000009", 120_000));

    world.task_duration_ms = 60_000;
    crash_all(&mut world, 4_000);
    let running_before = running_tasks(&world);

    // Attempts of a job that was never accepted, of a task that runs elsewhere, of a known job from
    // an earlier incarnation, and of a job that is done.
    add_unrecorded_attempt(&mut world, 0, "run-777777", 0, 5);
    add_unrecorded_attempt(&mut world, 1, "run-000002", 1, 7);
    add_unrecorded_attempt(&mut world, 2, "run-000003", 2, 3);
    add_unrecorded_attempt(&mut world, 3, "run-000009", 0, 11);
    world.commands = CommandCounts::default();
    world.run(25_000);
    for (worker, attempt) in [(0, 5), (1, 7), (2, 3), (3, 11)] {
        assert!(!has_live_attempt(&world, worker, attempt), "attempt {attempt} was not stopped");
    }
    assert!(
        running_before.iter().all(|task| running_tasks(&world).contains(task)),
        "a recorded attempt was stopped"
    );

    // Each command may be sent again with the answer to the next heartbeat.
    assert!((4..=8).contains(&world.commands.stops), "{} stops", world.commands.stops);

    run_until_all_done(&mut world);
    assert_eq!(world.status(0, "run-777777"), "404");
    world.assert_rules_kept();
}

#[test]
fn recorded_tasks_that_no_worker_reports_are_run_once_more() {
    let mut world = busy_cluster(760);
    crash_all(&mut world, 4_000);

    // Two workers restart, and lose their tasks, while no controller runs.
    let mut lost = HashSet::new();
    for worker in [0, 1] {
        let tasks = &world.workers[worker].tasks;
        lost.extend(tasks.iter().map(|task| format!("{}/{}", task.job, task.task)));
        world.restart_worker(worker);
    }
    assert!(!lost.is_empty());

    world.commands = CommandCounts::default();
    let needed = count_needed_starts(&world);
    run_until_all_done(&mut world);
    let sent = world.commands.attempts();
    assert!(sent as f64 <= needed as f64 * MAX_COMMAND_RATIO, "{sent} attempts sent, {needed} needed");

    for (task, starts) in &world.oracle.starts {
        assert_eq!(*starts, if lost.contains(task) { 2 } else { 1 }, "{task}");
    }
    world.assert_rules_kept();
}

#[test]
fn tasks_of_an_unreachable_machine_move_only_after_its_lease_ends() {
    let mut world = busy_cluster(770);
    crash_all(&mut world, 2_000);
    let unreachable = world.workers[0].name.clone();
    let its_tasks: Vec<String> =
        world.workers[0].tasks.iter().map(|task| format!("{}/{}", task.job, task.task)).collect();

    // The machine is unreachable but up: its tasks keep running until its own lease ends.
    world.workers[0].unreachable = true;
    world.run(12_000);
    let count_elsewhere = |world: &World| {
        let others = world.workers.iter().filter(|worker| worker.name != unreachable && worker.alive);
        let tasks: Vec<String> = others
            .flat_map(|worker| &worker.tasks)
            .map(|task| format!("{}/{}", task.job, task.task))
            .collect();
        its_tasks.iter().filter(|task| tasks.contains(task)).count()
    };
    assert_eq!(count_elsewhere(&world), 0, "tasks moved before the lease of their machine ended");

    run_until_all_done(&mut world);
    world.assert_rules_kept();
}

#[test]
fn heartbeats_from_before_the_crash_end_no_running_task() {
    let mut world = busy_cluster(780);

    // A heartbeat from before the tasks were started.
    let mut old_heartbeat = world.workers[0].heartbeat();
    old_heartbeat.tasks.clear();
    old_heartbeat.sequence = 1;
    old_heartbeat.fencing_token = 0;
    crash_all(&mut world, 2_000);
    let running_before = running_tasks(&world);
    world.run(2_300);
    for step in 0..20 {
        for node in 0..NODES {
            world.late_heartbeat(node, old_heartbeat.clone());
        }
        world.run(100 + step * 20);
    }
    world.run(8_000);
    assert!(
        running_before.is_subset(&running_tasks(&world)),
        "tasks were given up because of an old heartbeat"
    );

    run_until_all_done(&mut world);
    assert_no_task_ran_again(&world);
    world.assert_rules_kept();
}

#[test]
fn a_second_store_outage_while_records_are_read_loses_no_task() {
    for seed in 0..4 {
        let mut world = busy_cluster(790 + seed);
        world.store.is_down = true;
        crash_all(&mut world, 500);
        let running_before = running_tasks(&world);
        world.run(4_000);
        world.store.is_down = false;

        // Long enough to read some pages of the records, but not all.
        world.run(60 + seed * 40);
        world.store.is_down = true;
        world.run(3_000);
        world.store.is_down = false;
        world.run(12_000);
        let running_after = running_tasks(&world);
        assert!(
            running_before.is_subset(&running_after),
            "seed {seed}: lost {:?}",
            running_before.difference(&running_after)
        );

        run_until_all_done(&mut world);
        assert_no_task_ran_again(&world);
        world.assert_rules_kept();
    }
}

#[test]
fn a_cancellation_takes_effect_on_machines_that_are_not_reconciled() {
    let mut world = busy_cluster(800);

    // Machines whose heartbeats reach no node are never reconciled; direct commands reach them.
    for worker in 0..3 {
        world.workers[worker].heartbeats_lost = true;
    }
    crash_all(&mut world, 1_000);
    world.run(3_500);
    let mut status = 0;
    for _ in 0..10 {
        status = world.cancel(0, "run-000002");
        if status == 200 {
            break;
        }
        world.run(1_000);
    }
    assert_eq!(status, 200);

    world.run(support::CANCEL_MS + 5_000);
    assert!(running_tasks(&world).iter().all(|task| !task.starts_with("run-000002/")));
    world.assert_rules_kept();
}

#[test]
fn a_terminating_machine_gets_no_work_when_its_heartbeat_arrives() {
    let mut world = World::new(NODES, 810);
    world.task_duration_ms = 5_000;
    world.run(5_000);

    world.accept(0, &job(1, "t1", 8, 5.0));
    assert!(world.until_done("run-000001", 120_000));

    // Idle machines are drained; the nodes crash once a termination is recorded.
    let terminating = |world: &World| -> Vec<String> {
        let records = world.store.records_under("place/");
        let rows =
            records.flat_map(|(_, record)| record.value["m"].as_array().cloned().unwrap_or_default());
        rows.filter(|row: &Value| row[2].as_u64().unwrap_or(0) & 4 != 0)
            .map(|row| row[0].as_str().unwrap().to_string())
            .collect()
    };
    world.cloud.is_down = true;
    let end = world.now + 200_000;
    while terminating(&world).is_empty() && world.now < end {
        world.run(100);
    }
    let terminating_machines = terminating(&world);
    assert!(!terminating_machines.is_empty(), "no termination was recorded");

    crash_all(&mut world, 1_000);
    world.run(3_000);
    world.accept(0, &job(2, "t1", 8, 5.0));
    world.run(10_000);
    for worker in world.workers.iter().filter(|worker| terminating_machines.contains(&worker.name)) {
        assert!(worker.tasks.is_empty(), "{} got work", worker.name);
    }
    world.cloud.is_down = false;
    run_until_all_done(&mut world);
    world.assert_rules_kept();
}

#[test]
fn heartbeats_are_answered_while_the_records_are_still_being_read() {
    let mut world = busy_cluster(820);
    for node in 0..NODES {
        world.store_faults.slow.insert(node, 900);
    }
    crash_all(&mut world, 1_000);
    let running_before = running_tasks(&world);
    world.run(30_000);
    assert!(running_before.is_subset(&running_tasks(&world)), "leases ended while records were read");
    world.store_faults.slow.clear();
    run_until_all_done(&mut world);
    assert_no_task_ran_again(&world);
    world.assert_rules_kept();
}

#[test]
fn every_node_answers_users_after_a_crash_of_all_nodes() {
    let mut world = busy_cluster(830);
    crash_all(&mut world, 2_000);
    world.run(8_000);
    for node in 0..NODES {
        for id in 1..=4 {
            let request = world.ask(node, HttpRequest::Status(format!("run-{id:06}")));
            world.run(300);
            assert_eq!(world.users.answers[&request].status, 200, "run-{id:06} at n{node}");
        }
    }
    world.assert_rules_kept();
}
