//! Clusters with many recorded final jobs.

use crate::support::store::StoredRecord;
use crate::support::{World, ZONES, job};
use serde_json::{Value, json};
use woadlever::core::HttpRequest;
use woadlever::core::common::job_table::{FINAL_JOBS_BATCH, MAX_FINAL_JOBS};
use woadlever::wire::workers::{HeartbeatTask, TaskState};

/// Number of recorded final jobs: 100,000 more than an operator's cluster records in one day, at 26 a
/// minute.
const RECORDED_JOBS: u32 = 26 * 60 * 24 + 100_000;
const FIRST_OLD_JOB: u32 = 500_000;

/// Returns the id of the job with this number.
pub(crate) fn id(number: u32) -> String {
    format!("run-{number:06}")
}

fn job_key(number: u32) -> String {
    format!("w/job/{}", id(number))
}

fn done_record() -> Value {
    json!({"s": "d", "n": 2, "t": 1})
}

fn cancelled_record() -> Value {
    json!({"s": "c", "n": 2})
}

fn jobs_in_memory(world: &World, node: usize) -> usize {
    world.core(node).map_or(0, |core| core.context.jobs.len())
}

fn crash_all(world: &mut World, back_ms: u64) {
    for node in 0..world.node_count {
        world.crash(node, back_ms);
    }
}

/// Returns three nodes that have just been restarted with recorded final jobs: those with even
/// numbers are done, those with odd numbers cancelled.
fn restarted_with(final_jobs: u32, seed: u64) -> World {
    let mut world = World::new(3, seed);
    world.run(3_000);
    crash_all(&mut world, 500);
    for number in 0..final_jobs {
        let value = if number % 2 == 0 { done_record() } else { cancelled_record() };
        world.store.put_record(&job_key(FIRST_OLD_JOB + number), value);
    }
    world.store.compacted_revision = world.store.revision;
    world.store.page_size = Some(500);
    world.run(6_000);
    world
}

fn send_request(world: &mut World, node: usize, call: HttpRequest) -> (u16, Value, Option<u32>) {
    let request = world.ask(node, call);
    world.run(1_500);
    let answer = world.users.answers[&request].clone();
    let body = serde_json::from_str(&answer.body).unwrap_or_default();
    (answer.status, body, answer.retry_after_s)
}

#[test]
fn nodes_restarted_with_many_final_jobs_resume_within_ten_seconds_and_keep_few_in_memory() {
    let mut world = World::new(3, 1);
    world.run(3_000);

    world.accept(0, &job(1, "t1", 2, 60.0));
    world.run(10_000);
    crash_all(&mut world, 1_000);
    for number in 0..RECORDED_JOBS {
        world.store.put_record(&job_key(FIRST_OLD_JOB + number), done_record());
    }
    world.store.compacted_revision = world.store.revision;
    world.store.page_size = Some(500);
    world.run(11_000);
    assert!(world.leader().is_some(), "no leader ten seconds after the start");

    for node in 0..3 {
        assert_eq!(jobs_in_memory(&world, node), 1);
    }
    assert_eq!(world.status(1, &id(1)), "running", "the tasks on the machines did not keep running");
    assert!(world.until_done(&id(1), 120_000));
    assert_eq!(world.oracle.starts.len(), 2);
    world.assert_rules_kept();
}

#[test]
fn a_job_no_longer_in_memory_is_answered_from_its_record() {
    let mut world = restarted_with(40, 2);
    let (old_done, old_cancelled) = (id(FIRST_OLD_JOB), id(FIRST_OLD_JOB + 1));
    assert_eq!(jobs_in_memory(&world, 0), 0);
    for node in 0..3 {
        let (status, body, _) = send_request(&mut world, node, HttpRequest::Status(old_done.clone()));
        assert_eq!((status, &body["status"], &body["done"]), (200, &json!("done"), &json!(2)));
        let (status, body, _) =
            send_request(&mut world, node, HttpRequest::Status(old_cancelled.clone()));
        assert_eq!((status, &body["status"]), (200, &json!("withdrawn")));
    }
    let (status, ..) = send_request(&mut world, 0, HttpRequest::Status(id(499_999)));
    assert_eq!(status, 404);
}

#[test]
fn without_the_store_a_job_no_longer_in_memory_is_not_reported_as_unknown() {
    let mut world = restarted_with(40, 3);
    world.store.is_down = true;
    for call in [HttpRequest::Status(id(FIRST_OLD_JOB)), HttpRequest::Cancel(id(FIRST_OLD_JOB))] {
        let (status, _, retry_after_s) = send_request(&mut world, 0, call);
        assert_eq!((status, retry_after_s), (503, Some(1)));
    }
}

#[test]
fn submitting_or_cancelling_a_job_no_longer_in_memory_changes_nothing() {
    let mut world = restarted_with(40, 4);
    let mut submission = job(FIRST_OLD_JOB, "t1", 2, 5.0);
    submission["awaits"] = json!([id(499_999)]);
    let (status, body, _) =
        send_request(&mut world, 0, HttpRequest::Submit(submission.to_string().into_bytes()));
    assert_eq!((status, &body["status"]), (200, &json!("done")));

    let submission = job(FIRST_OLD_JOB + 1, "t1", 2, 5.0);
    let (status, body, _) =
        send_request(&mut world, 1, HttpRequest::Submit(submission.to_string().into_bytes()));
    assert_eq!((status, &body["status"]), (200, &json!("withdrawn")));

    let (status, body, _) = send_request(&mut world, 2, HttpRequest::Cancel(id(FIRST_OLD_JOB + 2)));
    assert_eq!((status, &body["status"]), (200, &json!("done")));

    let records = world.store.records.clone();
    world.run(20_000);
    assert!(world.oracle.starts.is_empty());

    let unchanged = |(key, record): (&String, &StoredRecord)| {
        !key.starts_with("w/job/") || records.get(key) == Some(record)
    };
    assert!(world.store.records.iter().all(unchanged));
}

#[test]
fn a_new_job_may_await_jobs_no_longer_in_memory() {
    let mut world = restarted_with(40, 5);
    let mut ready = job(1, "t1", 2, 5.0);
    ready["awaits"] = json!([id(FIRST_OLD_JOB), id(FIRST_OLD_JOB + 2)]);
    world.accept(0, &ready);
    let mut has_cancelled_dependency = job(2, "t1", 2, 5.0);
    has_cancelled_dependency["awaits"] = json!([id(FIRST_OLD_JOB), id(FIRST_OLD_JOB + 1)]);
    world.accept(1, &has_cancelled_dependency);
    assert_eq!(world.status(2, &id(2)), "withdrawn");
    assert!(world.until_done(&id(1), 120_000));
    world.assert_rules_kept();
}

/// The dependencies are final when the nodes start, and are read before their dependents, so that
/// they are not kept in memory. A node reads their records one by one before it tells any user that
/// a dependent waits.
#[test]
fn restarted_nodes_look_up_the_final_states_of_awaited_jobs() {
    let mut world = World::new(3, 6);
    world.run(3_000);

    let awaiting = |number: u32, awaited: u32| {
        let mut body = job(number, "t1", 2, 5.0);
        body["awaits"] = json!([id(awaited)]);
        body
    };
    for number in [1, 2] {
        world.accept(0, &job(number, "t1", 1, 3_000.0));
    }
    for (number, awaited) in [(11, 1), (12, 2), (13, 12)] {
        world.accept(1, &awaiting(number, awaited));
    }
    crash_all(&mut world, 200);
    world.users.asked_to_cancel.insert(id(2));
    world.users.jobs.remove(&id(1));
    world.store.put_record(&job_key(1), done_record());
    world.store.put_record(&job_key(2), cancelled_record());
    world.store_faults.slow = (0..3).map(|node| (node, 300)).collect();
    world.run(200);
    let mut requests = Vec::new();
    for _ in 0..120 {
        world.run(25);
        for node in 0..3 {
            for number in [12, 13] {
                requests.push(world.ask(node, HttpRequest::Status(id(number))));
            }
        }
    }
    world.store_faults.slow.clear();
    world.run(5_000);
    let answers: Vec<_> =
        requests.iter().filter_map(|request| world.users.answers.get(request)).collect();
    assert!(answers.iter().any(|answer| answer.body.contains("withdrawn")));
    assert!(!answers.iter().any(|answer| answer.body.contains("queued")));
    assert!(world.until_done(&id(11), 120_000));
    world.assert_rules_kept();
}

/// Machines that no node can reach keep running tasks of a cancelled job, which the nodes no longer
/// have in memory after their restart. Until these tasks are gone they count against the team's
/// quota, even before the shard owners have reported them to the leader.
#[test]
fn tasks_of_a_job_no_longer_in_memory_still_use_their_teams_quota() {
    let mut world = World::new(3, 7);
    world.run(3_000);

    world.task_duration_ms = 600_000;
    world.accept(0, &job(1, "t0", 8, 600.0));
    world.run(40_000);
    let running = |world: &World, number: u32| {
        let tasks = world.workers.iter().filter(|worker| worker.alive).flat_map(|worker| &worker.tasks);
        tasks.filter(|task| task.job == id(number) && task.state == TaskState::Running).count()
    };
    assert_eq!(running(&world, 1), 8, "the team is not at its limit");

    world.task_duration_ms = 5_000;
    world.accept(0, &job(2, "t0", 8, 5.0));
    for node in 0..3 {
        world.network.unreachable_pairs.insert((node, usize::MAX));
        world.network.unreachable_pairs.insert((usize::MAX, node));
    }
    for number in 900..912 {
        let zone = ZONES[number % 2];
        world.add_worker(number, zone, false, 0);
    }
    assert_eq!(world.cancel(0, &id(1)), 200);

    crash_all(&mut world, 500);
    world.network.frame_ms = 2_500;
    let leader = (0..400).find_map(|_| {
        world.run(25);
        world.leader()
    });
    let leader = leader.expect("no leader was elected");
    world.network.unreachable_pairs.remove(&(leader, usize::MAX));
    world.network.unreachable_pairs.remove(&(usize::MAX, leader));
    world.run(6_000);
    world.network.unreachable_pairs.clear();
    world.network.frame_ms = 2;
    assert!(world.until_done(&id(2), 180_000));
    assert_eq!(running(&world, 1), 0);
    world.assert_rules_kept();
}

#[test]
fn a_late_heartbeat_with_tasks_of_a_job_no_longer_in_memory_starts_nothing() {
    let mut world = restarted_with(40, 8);
    world.accept(0, &job(1, "t1", 1, 600.0));
    world.run(40_000);
    let worker = world.workers.iter().position(|worker| worker.alive).expect("no machine is up");
    let mut heartbeat = world.workers[worker].heartbeat();
    heartbeat.sequence += 1;
    let old_task = |number: u32, state: TaskState| HeartbeatTask {
        task: format!("{}/0", id(number)),
        attempt: 7,
        state,
        end_reason: (state == TaskState::Ended).then(|| "done".into()),
    };
    heartbeat.tasks.push(old_task(FIRST_OLD_JOB, TaskState::Running));
    heartbeat.tasks.push(old_task(FIRST_OLD_JOB + 1, TaskState::Ended));
    let shard_owner = world.shard_owner_of(worker);
    let (status, body, _) =
        send_request(&mut world, shard_owner, HttpRequest::WorkerHeartbeat(Box::new(heartbeat)));
    assert_eq!(status, 200);

    let orders = body["orders"].as_array().cloned().unwrap_or_default();
    let verb_of = |number: u32| {
        let task = format!("{}/0", id(number));
        orders.iter().find(|order| order["piece"] == task.as_str()).map(|order| order["verb"].clone())
    };
    assert_eq!(verb_of(FIRST_OLD_JOB), Some(json!("kill")));
    assert_eq!(verb_of(FIRST_OLD_JOB + 1), Some(json!("clear")));

    world.run(20_000);
    assert_eq!(world.oracle.starts.len(), 1);
}

#[test]
fn progress_left_by_a_job_no_longer_in_memory_is_removed() {
    let mut world = World::new(3, 9);
    world.run(3_000);
    crash_all(&mut world, 500);
    world.store.put_record(&job_key(FIRST_OLD_JOB), done_record());
    let progress = format!("progress/{}/0", id(FIRST_OLD_JOB));
    world.store.put_record(&progress, json!("c0"));
    world.run(20_000);
    assert!(!world.store.records.contains_key(&progress));
}

#[test]
fn jobs_that_end_while_a_node_runs_are_dropped_beyond_the_bound() {
    let mut world = World::new(3, 10);
    world.run(3_000);

    world.accept(0, &job(1, "t1", 1, 600.0));
    let live = world.store.records[&job_key(1)].value.clone();
    let total = 3 * (MAX_FINAL_JOBS + FINAL_JOBS_BATCH) as u32;
    for number in 0..total {
        let key = job_key(FIRST_OLD_JOB + number);
        world.store.put_record(&key, live.clone());
        world.store.put_record(&key, done_record());
        if number % 200 == 0 {
            world.run(100);
        }
    }
    world.run(5_000);
    for node in 0..3 {
        let kept = jobs_in_memory(&world, node);
        assert!(kept <= MAX_FINAL_JOBS + FINAL_JOBS_BATCH + 1, "{kept} jobs");
        assert_eq!(world.status(node, &id(FIRST_OLD_JOB)), "done");
        assert_eq!(world.status(node, &id(FIRST_OLD_JOB + total - 1)), "done");
    }

    // A full read after the watch has fallen behind doesn't load the dropped jobs again either.
    world.store.compacted_revision = world.store.revision + 1;
    world.store.put_record(&job_key(FIRST_OLD_JOB + total), done_record());
    world.store.put_record("w/other", json!(1));
    world.store.page_size = Some(500);
    world.run(5_000);
    for node in 0..3 {
        let kept = jobs_in_memory(&world, node);
        assert!(kept <= MAX_FINAL_JOBS + FINAL_JOBS_BATCH + 1, "{kept} jobs");
    }
    assert_eq!(world.oracle.starts.len(), 1);
    world.assert_rules_kept();
}
