//! Jobs that are over leave memory: what a node keeps is bounded, and what it no
//! longer keeps is answered, awaited and stopped as before.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod support;

use serde_json::{Value, json};
use std::sync::Arc;
use support::store::StoredRecord;
use support::{World, job, platform};
use woadlever::config::Operator;
use woadlever::core::HttpRequest;
use woadlever::core::common::job_table::{FINAL_JOBS_BATCH, MAX_FINAL_JOBS};
use woadlever::core::common::{context::NodeContext, job_records::RecordSource};
use woadlever::wire::store::{JobRecord, JobState};
use woadlever::wire::workers::{HeartbeatTask, TaskState};
use woadlever_cells::record::Origin;

/// Jobs that an operator's day leaves on record, and a hundred thousand besides.
const RECORDED_JOBS: u32 = 26 * 60 * 24 + 100_000;
const FIRST_OLD_JOB: u32 = 500_000;

fn id(number: u32) -> String {
    format!("run-{number:06}")
}

fn job_key(number: u32) -> String {
    format!("w/job/{}", id(number))
}

fn done() -> Value {
    json!({"s": "d", "n": 2, "t": 1})
}

fn withdrawn() -> Value {
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

/// Three nodes that have just been restarted, with final jobs on record: the even
/// ones are done, the odd ones cancelled.
fn restarted_with(final_jobs: u32, seed: u64) -> World {
    let mut world = World::new(3, seed);
    world.run(3_000);
    crash_all(&mut world, 500);
    for number in 0..final_jobs {
        let value = if number % 2 == 0 { done() } else { withdrawn() };
        world.store.put_record(&job_key(FIRST_OLD_JOB + number), value);
    }
    world.store.floor = world.store.revision;
    world.store.page_size = Some(500);
    world.run(6_000);
    world
}

fn answer(world: &mut World, node: usize, call: HttpRequest) -> (u16, Value, Option<u32>) {
    let request = world.ask(node, call);
    world.run(1_500);
    let answer = world.users.answers[&request].clone();
    let body = serde_json::from_str(&answer.body).unwrap_or_default();
    (answer.status, body, answer.retry_after_s)
}

#[test]
fn a_restart_after_many_days_takes_up_its_roles_within_ten_seconds_and_keeps_few_jobs() {
    let mut world = World::new(3, 1);
    world.run(3_000);
    world.accept(0, &job(1, "t1", 2, 60.0));
    world.run(10_000);
    crash_all(&mut world, 1_000);
    for number in 0..RECORDED_JOBS {
        world.store.put_record(&job_key(FIRST_OLD_JOB + number), done());
    }
    world.store.floor = world.store.revision;
    world.store.page_size = Some(500);
    world.run(11_000);
    assert!(world.leader().is_some(), "nobody leads ten seconds after the start");
    for node in 0..3 {
        assert_eq!(jobs_in_memory(&world, node), 1);
    }
    assert_eq!(world.status(1, &id(1)), "running", "the machines' tasks went on");
    assert!(world.until_done(&id(1), 120_000));
    assert_eq!(world.oracle.starts.len(), 2);
    world.assert_rules_kept();
}

#[test]
fn a_job_no_longer_in_memory_is_answered_from_its_record() {
    let mut world = restarted_with(40, 2);
    let (old_done, old_withdrawn) = (id(FIRST_OLD_JOB), id(FIRST_OLD_JOB + 1));
    assert_eq!(jobs_in_memory(&world, 0), 0);
    for node in 0..3 {
        let (status, body, _) = answer(&mut world, node, HttpRequest::Status(old_done.clone()));
        assert_eq!((status, &body["status"], &body["done"]), (200, &json!("done"), &json!(2)));
        let (status, body, _) = answer(&mut world, node, HttpRequest::Status(old_withdrawn.clone()));
        assert_eq!((status, &body["status"]), (200, &json!("withdrawn")));
    }
    let (status, ..) = answer(&mut world, 0, HttpRequest::Status(id(499_999)));
    assert_eq!(status, 404);
}

#[test]
fn without_the_store_a_job_no_longer_in_memory_is_not_called_unknown() {
    let mut world = restarted_with(40, 3);
    world.store.down = true;
    for call in [HttpRequest::Status(id(FIRST_OLD_JOB)), HttpRequest::Cancel(id(FIRST_OLD_JOB))] {
        let (status, _, retry_after_s) = answer(&mut world, 0, call);
        assert_eq!((status, retry_after_s), (503, Some(1)));
    }
}

#[test]
fn submitting_or_cancelling_a_job_no_longer_in_memory_changes_nothing() {
    let mut world = restarted_with(40, 4);
    let mut submission = job(FIRST_OLD_JOB, "t1", 2, 5.0);
    submission["awaits"] = json!([id(499_999)]);
    let (status, body, _) =
        answer(&mut world, 0, HttpRequest::Submit(submission.to_string().into_bytes()));
    assert_eq!((status, &body["status"]), (200, &json!("done")));
    let submission = job(FIRST_OLD_JOB + 1, "t1", 2, 5.0);
    let (status, body, _) =
        answer(&mut world, 1, HttpRequest::Submit(submission.to_string().into_bytes()));
    assert_eq!((status, &body["status"]), (200, &json!("withdrawn")));
    let (status, body, _) = answer(&mut world, 2, HttpRequest::Cancel(id(FIRST_OLD_JOB + 2)));
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

/// The awaited jobs are final when the nodes start, and are read before those that
/// await them, so that they are not kept. Their records are read by themselves
/// before anybody is told that the job waits.
#[test]
fn a_restart_finds_out_what_became_of_awaited_jobs() {
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
    world.store.put_record(&job_key(1), done());
    world.store.put_record(&job_key(2), withdrawn());
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

/// Machines that nobody reaches keep the tasks of a cancelled job, which the nodes
/// no longer have in memory after their restart. Until they are gone the tasks
/// count against the team's limit, also before the shard owners have told the leader.
#[test]
fn tasks_of_a_job_no_longer_in_memory_still_use_their_teams_limit() {
    let mut world = World::new(3, 7);
    world.run(3_000);
    world.run_ms = 600_000;
    world.accept(0, &job(1, "t0", 8, 600.0));
    world.run(40_000);
    let running = |world: &World, number: u32| {
        let tasks = world.workers.iter().filter(|worker| worker.alive).flat_map(|worker| &worker.tasks);
        tasks.filter(|task| task.job == id(number) && task.state == TaskState::Running).count()
    };
    assert_eq!(running(&world, 1), 8, "the team is at its limit");
    world.run_ms = 5_000;
    world.accept(0, &job(2, "t0", 8, 5.0));
    for node in 0..3 {
        world.network.cuts.insert((node, usize::MAX));
        world.network.cuts.insert((usize::MAX, node));
    }
    for number in 900..912 {
        let zone = support::ZONES[number % 2];
        world.add_worker(number, zone, false, 0);
    }
    assert_eq!(world.cancel(0, &id(1)), 200);
    crash_all(&mut world, 500);
    world.network.frame_ms = 2_500;
    let leader = (0..400).find_map(|_| {
        world.run(25);
        world.leader()
    });
    let leader = leader.expect("a leader");
    world.network.cuts.remove(&(leader, usize::MAX));
    world.network.cuts.remove(&(usize::MAX, leader));
    world.run(6_000);
    world.network.cuts.clear();
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
    let worker = world.workers.iter().position(|worker| worker.alive).expect("a machine");
    let mut heartbeat = world.workers[worker].heartbeat();
    heartbeat.sequence += 1;
    let old_task = |number: u32, state: TaskState| HeartbeatTask {
        task: format!("{}/0", id(number)),
        attempt: 7,
        state,
        why: (state == TaskState::Exited).then(|| "done".into()),
    };
    heartbeat.tasks.push(old_task(FIRST_OLD_JOB, TaskState::Running));
    heartbeat.tasks.push(old_task(FIRST_OLD_JOB + 1, TaskState::Exited));
    let shard_owner = world.shard_owner_of(worker);
    let (status, body, _) =
        answer(&mut world, shard_owner, HttpRequest::WorkerHeartbeat(Box::new(heartbeat)));
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
    world.store.put_record(&job_key(FIRST_OLD_JOB), done());
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
        world.store.put_record(&key, done());
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
    // Nor does a full read after the watch has fallen behind bring them back.
    world.store.floor = world.store.revision + 1;
    world.store.put_record(&job_key(FIRST_OLD_JOB + total), done());
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

fn context() -> NodeContext {
    NodeContext::new(Arc::new(platform(0, 3)), Operator::default(), 1, 1, 1_000)
}

/// As accepted, with a description.
fn live_record() -> JobRecord {
    let body = job(1, "t1", 2, 5.0).to_string();
    let submission = woadlever::wire::users::parse_job(body.as_bytes()).expect("a submission");
    JobRecord::live(submission.spec, &[])
}

fn end_jobs(context: &mut NodeContext, first: u32, count: usize, version: u64) {
    for number in first..first + count as u32 {
        context.apply_job_record(&id(number), JobRecord::done(2, 1), version, RecordSource::Watch);
    }
    context.jobs.clear_changed();
    context.jobs.take_newly_cancelled();
}

#[test]
fn a_dropped_job_is_not_revived_by_an_older_record() {
    let mut context = context();
    context.jobs.set_watched_revision(Some(10));
    assert!(context.apply_job_record(&id(1), live_record(), 10, RecordSource::Watch));
    assert!(context.apply_job_record(&id(1), JobRecord::done(2, 1), 20, RecordSource::Watch));
    end_jobs(&mut context, 1_000, MAX_FINAL_JOBS + FINAL_JOBS_BATCH, 30);
    context.jobs.set_watched_revision(Some(100));
    context.drop_final_jobs(|_| {});
    assert_eq!(context.job_index(&id(1)), None, "the oldest is dropped");
    assert_eq!(context.jobs.len(), MAX_FINAL_JOBS);
    // A read that was under way for long, and a page of a full read.
    assert!(!context.apply_job_record(&id(1), live_record(), 10, RecordSource::Single));
    context.jobs.set_watched_revision(None);
    assert!(!context.apply_job_record(&id(1), live_record(), 10, RecordSource::Single));
    let page = RecordSource::Page { first_revision: 100 };
    assert!(context.apply_job_record(&id(1), JobRecord::done(2, 1), 20, page));
    assert_eq!(context.job_index(&id(1)), None);
    // One that has just been accepted is newer than what the watch has told.
    context.jobs.set_watched_revision(Some(100));
    assert!(context.apply_job_record(&id(2), live_record(), 101, RecordSource::Single));
    assert!(context.job_index(&id(2)).is_some());
}

/// The watch has still to tell that the job was live: dropped before, it would be
/// taken for a new one.
#[test]
fn a_final_job_newer_than_the_watch_is_kept() {
    let mut context = context();
    context.jobs.set_watched_revision(Some(100));
    assert!(context.apply_job_record(&id(1), JobRecord::done(2, 1), 150, RecordSource::Single));
    end_jobs(&mut context, 1_000, MAX_FINAL_JOBS + FINAL_JOBS_BATCH, 30);
    context.drop_final_jobs(|_| {});
    assert!(context.apply_job_record(&id(1), live_record(), 140, RecordSource::Watch));
    let index = context.job_index(&id(1)).expect("still there");
    assert_eq!(context.job(index).state, JobState::Done);
}

#[test]
fn jobs_in_use_are_kept_and_an_index_is_never_used_again() {
    let mut context = context();
    context.jobs.set_watched_revision(Some(100));
    end_jobs(&mut context, 1, 2, 20);
    let (in_use, other) = (context.job_index(&id(1)).unwrap(), context.job_index(&id(2)).unwrap());
    end_jobs(&mut context, 1_000, MAX_FINAL_JOBS + FINAL_JOBS_BATCH, 30);
    context.drop_final_jobs(|indices| {
        indices.insert(in_use);
    });
    assert_eq!(context.job_index(&id(1)), Some(in_use));
    assert_eq!(context.job_index(&id(2)), None);
    assert!(context.must_stop(other), "who kept the index starts nothing");
    assert!(context.apply_job_record(&id(2), JobRecord::done(2, 1), 20, RecordSource::Single));
    assert_ne!(context.job_index(&id(2)), Some(other));
}

/// The tombstone of another cell's job is the one final state that another can follow, and
/// only if its cell offers it anew.
#[test]
fn a_job_that_another_cell_offers_again_is_live_and_stays_in_memory() {
    let mut context = context();
    context.jobs.set_watched_revision(Some(100));
    let origin = |epoch| Origin { cell: "a".into(), epoch, done: String::new() };
    let (spec, _) = live_record().into_parts();
    let hosted = |epoch| JobRecord::hosted(spec.clone().unwrap(), origin(epoch));
    assert!(context.apply_job_record(
        &id(1),
        JobRecord::tombstone(0, origin(5)),
        20,
        RecordSource::Single
    ));
    let index = context.job_index(&id(1)).unwrap();
    assert!(context.apply_job_record(&id(1), hosted(5), 30, RecordSource::Watch));
    assert_eq!(context.job(index).state, JobState::Cancelled, "the same offer, late");
    assert!(context.apply_job_record(&id(1), hosted(7), 40, RecordSource::Watch));
    let job = context.job(index);
    assert_eq!((job.state, job.tasks, job.origin()), (JobState::Live, 2, Some(&origin(7))));
    end_jobs(&mut context, 1_000, MAX_FINAL_JOBS + FINAL_JOBS_BATCH, 50);
    context.drop_final_jobs(|_| {});
    context.clock.advance(context.clock.now() + 1_000_000, 0);
    context.drop_final_specs();
    assert_eq!(context.job_index(&id(1)), Some(index));
    assert!(context.job(index).spec.is_some());
    let done = JobRecord::done(2, 1).with_origin(Some(origin(5)));
    assert!(context.apply_job_record(&id(3), done, 60, RecordSource::Single));
    assert!(context.apply_job_record(&id(3), hosted(7), 70, RecordSource::Watch));
    let ended = context.job_index(&id(3)).unwrap();
    assert_eq!(context.job(ended).state, JobState::Done, "what is done stays done");
    assert!(context.apply_job_record(&id(2), JobRecord::cancelled(2), 60, RecordSource::Single));
    assert!(context.apply_job_record(&id(2), live_record(), 70, RecordSource::Watch));
    let own = context.job_index(&id(2)).unwrap();
    assert_eq!(context.job(own).state, JobState::Cancelled, "a job of this cell stays cancelled");
}
