//! Shard owners whose workers list tasks of a job that has not been read yet.

use crate::fixtures::id;
use crate::support::{World, job};
use serde_json::{Value, json};
use woadlever::wire::store::JobRecord;
use woadlever::wire::workers::TaskState;

/// Job of a team near its quota, which is cancelled.
const CANCELLED: u32 = 1;
/// Job of the same team that waits for quota.
const WAITING: u32 = 2;
/// Job of another team, which ends and leaves machines free.
const ENDING: u32 = 3;
/// Tasks of each job. Those of the first two together exceed the quota.
const TASKS: u32 = 2;
/// Time by which reads of the cancelled job are late.
const LATE_READ_MS: u64 = 12_000;
/// Time for which replies to the machines of the cancelled job are lost, within their lease.
const LOST_REPLIES_MS: u64 = 16_000;
/// Time by which shard owners read their records late.
const LATE_PLACEMENTS_MS: u64 = 4_000;

fn large_job(number: u32, team: &str) -> Value {
    let mut submission = job(number, team, TASKS, 300.0);
    submission["cores"] = json!(12.0);
    submission
}

/// Returns a world of one node in which all tasks of the job run.
fn world_with_running_job(seed: u64) -> World {
    let mut world = World::new(1, seed);
    world.run(5_000);
    world.task_duration_ms = 300_000;
    world.accept(0, &large_job(CANCELLED, "t0"));
    world.run(20_000);
    world
}

/// Restarts all nodes after the cancellation of the job, which they read late. The shard owners
/// answer the first heartbeats before they have read their records.
fn restart_all_after_cancellation(world: &mut World) {
    for node in 0..world.node_count {
        world.crash(node, 200);
    }
    let record = serde_json::to_value(JobRecord::cancelled(TASKS)).expect("JSON");
    world.store.put_record(&format!("w/job/{}", id(CANCELLED)), record);
    world.users.asked_to_cancel.insert(id(CANCELLED));
    let late = &mut world.store_faults.slow_reads;
    late.insert(format!("w/job/{}", id(CANCELLED)), LATE_READ_MS);
    for key in world.store.records.keys() {
        if let Some(shard) = key.strip_prefix("w/block/") {
            late.insert(format!("place/{shard}/"), LATE_PLACEMENTS_MS);
        }
    }
}

/// Loses the replies to each of these machines once it knows a newer fencing token than now.
fn lose_replies_once_owned_anew(world: &mut World, machines: &[usize]) {
    let token = |world: &World, machine: usize| world.workers[machine].heartbeat().fencing_token;
    let old_tokens: Vec<u64> = machines.iter().map(|machine| token(world, *machine)).collect();
    while world.network.lost_replies.len() < machines.len() {
        world.run(25);
        for (machine, old_token) in machines.iter().zip(&old_tokens) {
            if token(world, *machine) != *old_token {
                world.network.lost_replies.insert(*machine);
            }
        }
    }
}

#[test]
fn a_team_keeps_to_its_quota_while_a_worker_lists_tasks_of_an_unread_job() {
    let mut world = world_with_running_job(40);
    let machines: Vec<usize> = (0..world.workers.len()).collect();
    world.task_duration_ms = 24_000;
    world.accept(0, &large_job(ENDING, "t1"));
    world.accept(0, &large_job(WAITING, "t0"));
    world.run(18_000);
    assert_eq!(world.oracle.starts.len() as u32, 2 * TASKS);

    world.task_duration_ms = 300_000;
    restart_all_after_cancellation(&mut world);
    lose_replies_once_owned_anew(&mut world, &machines);
    world.run(LOST_REPLIES_MS);
    world.assert_rules_kept();
    world.network.lost_replies.clear();
    world.run(60_000);
    assert!(world.oracle.starts.contains_key(&format!("{}/0", id(WAITING))));
    world.assert_rules_kept();
}

#[test]
fn tasks_of_an_unread_job_are_stopped_before_its_record_is_read() {
    let mut world = world_with_running_job(41);
    restart_all_after_cancellation(&mut world);
    world.run(LATE_READ_MS - 1_000);
    let mut tasks = world.workers.iter().flat_map(|worker| &worker.tasks);
    assert!(tasks.all(|task| task.state == TaskState::Ended));
    world.run(30_000);
    assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);
    world.assert_rules_kept();
}
