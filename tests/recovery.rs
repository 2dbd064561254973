//! Recovery from the loss of all controllers: workers' heartbeats are reconciled with what is
//! on record before commands are sent, and no more commands are sent than needed.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod support;

use serde_json::Value;
use std::collections::HashSet;
use support::{CommandCounts, WorkerTask, World, job};
use woadlever::core::HttpRequest;
use woadlever::wire::workers::TaskState;

const NODES: usize = 3;
/// Commands sent after a restart may exceed the least that is needed by this factor.
const COMMAND_FACTOR: f64 = 1.1;

/// A busy cluster: long tasks on all machines, and some that wait.
fn busy(seed: u64) -> World {
    let mut world = World::new(NODES, seed);
    world.run_ms = 60_000;
    world.run(5_000);
    for id in 1..=4 {
        world.accept(id as usize % NODES, &job(id, if id == 1 { "t0" } else { "t1" }, 6, 60.0));
    }
    world.run(35_000);
    assert!(running_tasks(&world).len() >= 20, "{} tasks run", running_tasks(&world).len());
    world
}

/// Ends all processes; they start anew after `back_ms`.
fn crash_all(world: &mut World, back_ms: u64) {
    for node in 0..NODES {
        world.crash(node, back_ms);
    }
}

/// Tasks that are on a machine and have not ended.
fn running_tasks(world: &World) -> HashSet<String> {
    let live = world.workers.iter().filter(|worker| worker.alive).flat_map(|worker| &worker.tasks);
    live.filter(|task| task.state != TaskState::Exited)
        .map(|task| format!("{}/{}", task.job, task.task))
        .collect()
}

/// Tasks that are neither on a machine nor done, from the true state of the workers and
/// the records: at least this number of commands to start is needed.
fn count_needed_starts(world: &World) -> usize {
    let on_machines: HashSet<String> = world
        .workers
        .iter()
        .filter(|worker| worker.alive)
        .flat_map(|worker| &worker.tasks)
        .filter(|task| task.state != TaskState::Exited || task.why.as_deref() == Some("done"))
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

/// Whether the progress on record says that a task is done.
fn is_recorded_done(world: &World, id: &str, task: u64) -> bool {
    let Some(progress) = world.store.value(&format!("progress/{id}/0")) else { return false };
    let digits = progress.as_str().unwrap_or_default().as_bytes();
    let byte = (task / 8) as usize;
    let place = byte * 2 + usize::from(task % 8 < 4);
    let digit = digits.get(place).and_then(|digit| (*digit as char).to_digit(16)).unwrap_or(0);
    digit & (1 << (task % 4)) != 0
}

/// Lets the time pass until all jobs are done.
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
fn running_work_is_kept_and_no_command_is_sent_that_is_not_needed() {
    for seed in 0..6 {
        let mut world = busy(700 + seed);
        crash_all(&mut world, 3_000 + seed * 1_000);
        world.commands = CommandCounts::default();
        let least = count_needed_starts(&world);
        let kept = running_tasks(&world);
        world.run(20_000);
        let still = running_tasks(&world);
        assert!(kept.is_subset(&still), "seed {seed}: lost {:?}", kept.difference(&still));
        assert_eq!(world.commands.stops, 0, "seed {seed}");

        run_until_all_done(&mut world);
        let sent = world.commands.attempts();
        assert!(
            sent as f64 <= least as f64 * COMMAND_FACTOR,
            "seed {seed}: {sent} runs, {least} needed"
        );
        assert_no_task_ran_again(&world);
        world.assert_rules_kept();
    }
}

#[test]
fn several_losses_before_the_first_is_reconciled_lose_nothing() {
    for seed in 0..4 {
        let mut world = busy(720 + seed);
        world.commands = CommandCounts::default();
        let kept = running_tasks(&world);

        // One by one, then all again before the last is back, and again while machines
        // are still being reconciled.
        for node in 0..NODES {
            world.crash(node, 1_000 + 900 * node as u64);
        }
        world.run(2_000);
        crash_all(&mut world, 1_500);
        world.run(2_200);
        crash_all(&mut world, 800);
        world.run(15_000);
        let still = running_tasks(&world);
        assert!(kept.is_subset(&still), "seed {seed}: lost {:?}", kept.difference(&still));

        run_until_all_done(&mut world);
        assert_no_task_ran_again(&world);
        world.assert_rules_kept();
    }
}

/// Puts an attempt onto a machine that is on no record.
fn add_unrecorded_attempt(world: &mut World, worker: usize, job: &str, task: u32, attempt: u64) {
    let at = world.now + 600_000;
    let task = WorkerTask { job: job.into(), task, attempt, state: TaskState::Running, why: None, at };
    world.workers[worker].tasks.push(task);
}

fn is_there(world: &World, worker: usize, attempt: u64) -> bool {
    let tasks = &world.workers[worker].tasks;
    tasks.iter().any(|task| task.attempt == attempt && task.state != TaskState::Exited)
}

#[test]
fn attempts_that_no_record_speaks_of_are_stopped_and_nothing_else_is() {
    let mut world = busy(740);
    let finished = job(9, "t0", 1, 5.0);
    world.run_ms = 5_000;
    world.accept(0, &finished);
    assert!(world.until_done("run-000009", 120_000));

    world.run_ms = 60_000;
    crash_all(&mut world, 4_000);
    let kept = running_tasks(&world);

    // A job never accepted, another attempt at a task that runs elsewhere, an attempt of
    // an earlier incarnation at a known job, and one of a job that is done.
    add_unrecorded_attempt(&mut world, 0, "run-777777", 0, 5);
    add_unrecorded_attempt(&mut world, 1, "run-000002", 1, 7);
    add_unrecorded_attempt(&mut world, 2, "run-000003", 2, 3);
    add_unrecorded_attempt(&mut world, 3, "run-000009", 0, 11);
    world.commands = CommandCounts::default();
    world.run(25_000);
    for (worker, attempt) in [(0, 5), (1, 7), (2, 3), (3, 11)] {
        assert!(!is_there(&world, worker, attempt), "attempt {attempt} goes on");
    }
    assert!(kept.iter().all(|task| running_tasks(&world).contains(task)), "kept work was stopped");

    // Each command may be sent again with the answer to the next heartbeat.
    assert!((4..=8).contains(&world.commands.stops), "{} stops", world.commands.stops);

    run_until_all_done(&mut world);
    assert_eq!(world.status(0, "run-777777"), "404");
    world.assert_rules_kept();
}

#[test]
fn what_the_store_lists_and_no_worker_admits_to_is_run_once_more() {
    let mut world = busy(760);
    crash_all(&mut world, 4_000);

    // Their workers start anew while no controller runs.
    let mut lost = HashSet::new();
    for worker in [0, 1] {
        let tasks = &world.workers[worker].tasks;
        lost.extend(tasks.iter().map(|task| format!("{}/{}", task.job, task.task)));
        world.restart_worker(worker);
    }
    assert!(!lost.is_empty());

    world.commands = CommandCounts::default();
    let least = count_needed_starts(&world);
    run_until_all_done(&mut world);
    let sent = world.commands.attempts();
    assert!(sent as f64 <= least as f64 * COMMAND_FACTOR, "{sent} runs, {least} needed");

    for (task, starts) in &world.oracle.starts {
        assert_eq!(*starts, if lost.contains(task) { 2 } else { 1 }, "{task}");
    }
    world.assert_rules_kept();
}

#[test]
fn work_of_a_machine_that_is_gone_moves_only_after_its_lease() {
    let mut world = busy(770);
    crash_all(&mut world, 2_000);
    let gone = world.workers[0].name.clone();
    let lost: Vec<String> =
        world.workers[0].tasks.iter().map(|task| format!("{}/{}", task.job, task.task)).collect();

    // The machine is cut off, not gone: its tasks run on until its own lease ends.
    world.workers[0].cut = true;
    world.run(12_000);
    let elsewhere = |world: &World| {
        let others = world.workers.iter().filter(|worker| worker.name != gone && worker.alive);
        let tasks: Vec<String> = others
            .flat_map(|worker| &worker.tasks)
            .map(|task| format!("{}/{}", task.job, task.task))
            .collect();
        lost.iter().filter(|task| tasks.contains(task)).count()
    };
    assert_eq!(elsewhere(&world), 0, "its lease has not ended");

    run_until_all_done(&mut world);
    world.assert_rules_kept();
}

#[test]
fn heartbeats_older_than_the_loss_prove_nothing() {
    let mut world = busy(780);

    // Heartbeats from before the tasks were there.
    let mut old = world.workers[0].heartbeat();
    old.tasks.clear();
    old.sequence = 1;
    old.fencing_token = 0;
    crash_all(&mut world, 2_000);
    let kept = running_tasks(&world);
    world.run(2_300);
    for step in 0..20 {
        for node in 0..NODES {
            world.late_heartbeat(node, old.clone());
        }
        world.run(100 + step * 20);
    }
    world.run(8_000);
    assert!(kept.is_subset(&running_tasks(&world)), "work was given up because of an old heartbeat");

    run_until_all_done(&mut world);
    assert_no_task_ran_again(&world);
    world.assert_rules_kept();
}

#[test]
fn the_store_comes_back_later_and_goes_again_in_the_middle() {
    for seed in 0..4 {
        let mut world = busy(790 + seed);
        world.store.down = true;
        crash_all(&mut world, 500);
        let kept = running_tasks(&world);
        world.run(4_000);
        world.store.down = false;

        // Long enough to read some pages, not all.
        world.run(60 + seed * 40);
        world.store.down = true;
        world.run(3_000);
        world.store.down = false;
        world.run(12_000);
        let still = running_tasks(&world);
        assert!(kept.is_subset(&still), "seed {seed}: lost {:?}", kept.difference(&still));

        run_until_all_done(&mut world);
        assert_no_task_ran_again(&world);
        world.assert_rules_kept();
    }
}

#[test]
fn a_cancellation_acts_whatever_the_phase() {
    let mut world = busy(800);

    // Machines that reach nobody are never reconciled; direct commands reach them.
    for worker in 0..3 {
        world.workers[worker].mute = true;
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
    world.run_ms = 5_000;
    world.run(5_000);

    world.accept(0, &job(1, "t1", 8, 5.0));
    assert!(world.until_done("run-000001", 120_000));

    // Idle machines are drained; the loss comes once a termination is on record.
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
    let marked = terminating(&world);
    assert!(!marked.is_empty(), "no return was recorded");

    crash_all(&mut world, 1_000);
    world.run(3_000);
    world.accept(0, &job(2, "t1", 8, 5.0));
    world.run(10_000);
    for worker in world.workers.iter().filter(|worker| marked.contains(&worker.name)) {
        assert!(worker.tasks.is_empty(), "{} got work", worker.name);
    }
    world.cloud.is_down = false;
    run_until_all_done(&mut world);
    world.assert_rules_kept();
}

#[test]
fn heartbeats_are_answered_while_the_records_are_still_being_read() {
    let mut world = busy(820);
    for node in 0..NODES {
        world.store_faults.slow.insert(node, 900);
    }
    crash_all(&mut world, 1_000);
    let kept = running_tasks(&world);
    world.run(30_000);
    assert!(kept.is_subset(&running_tasks(&world)), "leases ended while records were read");
    world.store_faults.slow.clear();
    run_until_all_done(&mut world);
    assert_no_task_ran_again(&world);
    world.assert_rules_kept();
}

#[test]
fn users_are_answered_by_every_node_after_the_loss() {
    let mut world = busy(830);
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
