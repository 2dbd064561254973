//! Workers that are late, silent, unreachable, restarted or faulty.

use crate::fixtures::{busy_machine, busy_world, idle_east, world};
use crate::support::store::StoredRecord;
use crate::support::{Worker, World, job};
use serde_json::{Value, json};

/// Invariant 3: a heartbeat that was sent before a task started, and that reaches a new shard owner
/// late, does not prove that the task is absent.
#[test]
fn a_late_heartbeat_is_no_proof_of_absence() {
    let mut world = busy_world(44, 8);
    let (machine, shard_owner) = busy_machine(&world);
    let mut old = world.workers[machine].heartbeat();
    old.tasks.clear();
    old.sequence = 1;
    old.fencing_token = 0;
    world.workers[machine].unreachable = true;
    world.crash(shard_owner, 30_000);
    world.run(6_000);
    let new_owner = world.shard_owner_of(machine);
    assert_ne!(new_owner, shard_owner);

    world.late_heartbeat(new_owner, old);
    world.run(3_000);
    world.workers[machine].unreachable = false;
    world.run(30_000);
    world.assert_rules_kept();
    assert!(world.each_task_started_once(), "given up because of a late heartbeat");
}

/// Records may list an older attempt that ended long ago beside the newer one that runs. When the
/// machine of the older attempt is given up, the newer attempt keeps running.
#[test]
fn a_stale_record_of_an_older_attempt_starts_nothing() {
    let mut world = busy_world(45, 6);
    let (machine, _) = busy_machine(&world);
    let name = world.workers[machine].name.clone();
    let (key, old_row) = world.placement_of(&name).unwrap();
    let old = world.store.records[&key].value.clone();
    world.workers[machine].alive = false;
    world.run(60_000);
    let again: u32 = world.oracle.starts.values().filter(|starts| **starts == 2).count() as u32;
    assert!(again > 0, "its tasks were not started elsewhere");

    // No capacity is left on the machines that run the tasks, but there is some on other machines.
    let zone = world.workers[machine].zone.clone();
    let mut fill = job(3, "t0", 2, 600.0);
    fill["yard"] = json!(zone);
    world.accept(0, &fill);
    world.run(15_000);
    world.add_worker(90, &zone, false, 100);
    world.add_worker(91, &zone, false, 100);

    // A late write restores the old record, and with the cloud down no termination resolves it.
    world.cloud.is_down = true;
    world.store.revision += 1;
    let revision = world.store.revision;
    let mut placements = world.store.records[&key].value.clone();

    // The old row refers to jobs by their index in the old record.
    let jobs = placements["j"].as_array().unwrap().len();
    let old_jobs = old["j"].as_array().unwrap().clone();
    placements["j"].as_array_mut().unwrap().extend(old_jobs);
    let mut row = old_row;
    let number = |value: &Value| value.as_u64().unwrap();
    let base = number(&placements["b"]).min(number(&old["b"]));
    for row in placements["m"].as_array_mut().unwrap().iter_mut() {
        let offset = number(&world.store.records[&key].value["b"]) - base;
        for attempt in row[3].as_array_mut().unwrap().chunks_mut(3) {
            attempt[2] = json!(number(&attempt[2]) + offset);
        }
    }
    for attempt in row[3].as_array_mut().unwrap().chunks_mut(3) {
        attempt[0] = json!(number(&attempt[0]) as usize + jobs);
        attempt[2] = json!(number(&attempt[2]) + number(&old["b"]) - base);
    }
    placements["b"] = json!(base);
    placements["m"].as_array_mut().unwrap().retain(|row| row[0] != name.as_str());
    placements["m"].as_array_mut().unwrap().push(row);
    let record = StoredRecord { value: placements, version: revision, lease: None };
    world.store.records.insert(key, record);
    for node in 0..3 {
        world.crash(node, 1_000);
    }
    world.run(90_000);
    world.assert_rules_kept();
    assert!(world.oracle.starts.values().all(|starts| *starts <= 2), "{:?}", world.oracle.starts);
}

/// The first heartbeat of a machine that boots long after its shard was assigned is parked like any
/// other. This must not be taken to mean that the machine's lease has ended.
#[test]
fn a_machine_that_comes_up_late_keeps_the_work_of_its_first_heartbeat() {
    let mut world = World::new(3, 53);
    world.cloud.capacity = 0;
    world.run(90_000);

    world.network.frame_ms = 20;
    for number in 1..5 {
        world.add_worker(number, "east", false, 9_000);
    }

    // The cloud lists the machines while they boot.
    world.run(9_600);
    let request = world.submit(1, &job(1, "t1", 16, 10.0));
    world.run(1_200);
    assert_eq!(world.users.answers[&request].status, 201);
    assert_eq!(world.oracle.starts.len(), 16, "the tasks were taken for lost");

    world.run(20_000);
    assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);
    world.assert_rules_kept();
}

/// The heartbeats of a machine arrive, but the answers to them don't, so that its lease ends again
/// and again while it looks alive. Its tasks are placed elsewhere, it gets no further tasks, and it
/// is terminated.
#[test]
fn an_unreachable_machine_gets_no_work_and_is_terminated() {
    let mut world = world(58);
    world.task_duration_ms = 8_000;
    world.cloud.capacity = 3;

    // More tasks than the machines can run at once, so that none of them is surplus.
    for id in 1..6 {
        world.accept(0, &job(id, "t1", 24, 8.0));
    }
    world.run(15_000);
    let victim = world.workers.iter().position(|worker| !worker.tasks.is_empty()).unwrap();
    world.network.lost_replies.insert(victim);
    world.run(35_000);

    // Its lease has ended. The attempts whose commands never reached it have been given up, and no
    // new task is placed on it.
    let name = world.workers[victim].name.clone();
    let row = world.placement_of(&name).map(|(_, row)| row[3].as_array().unwrap().len());
    assert!(row.unwrap_or(0) == 0, "{row:?}");

    world.run(25_000);
    assert!(world.cloud.terminated.contains(&name), "it was not terminated");

    for id in 1..6 {
        assert!(world.until_done(&format!("run-{id:06}"), 120_000));
    }
    world.assert_rules_kept();
}

/// After an answer with commands was lost, the next heartbeat proves that their tasks are absent,
/// and a machine that can be reached again gets tasks again.
#[test]
fn a_machine_that_is_reached_again_is_used_again() {
    let mut world = idle_east();
    world.task_duration_ms = 5_000;
    world.network.lost_replies = (0..4).collect();
    let request = world.submit(1, &job(1, "t1", 12, 5.0));
    // Long enough for each worker to return to its shard owner after trying the other nodes.
    world.run(18_000);
    assert_eq!(world.users.answers[&request].status, 201);
    assert!(world.oracle.starts.is_empty());
    world.network.lost_replies.clear();
    assert!(world.until_done("run-000001", 45_000));
    assert!(world.cloud.terminated.is_empty());
    assert!(world.each_task_started_once());
    world.assert_rules_kept();
}

/// Copies of old heartbeats reach shard owners that have received no other heartbeat yet. They must
/// not bring a lost machine back, prove anything about tasks, or delay the actual workers.
#[test]
fn late_copies_of_heartbeats_change_nothing() {
    let mut world = busy_world(60, 8);
    let idle = world.workers.iter().position(|worker| worker.tasks.is_empty());
    let copies: Vec<_> = world.workers.iter().map(Worker::heartbeat).collect();
    let (machine, shard_owner) = busy_machine(&world);

    // A machine is lost for good and its shard owner crashes; then copies of all heartbeats reach
    // every node again and again.
    world.workers[machine].alive = false;
    let name = world.workers[machine].name.clone();
    world.cloud.terminated.push(name.clone());
    world.crash(shard_owner, 2_000);
    let lost = world.workers[machine].tasks.len();
    for _ in 0..20 {
        for copy in &copies {
            for node in 0..3 {
                if world.core(node).is_some() {
                    world.late_heartbeat(node, copy.clone());
                }
            }
        }
        world.run(3_000);
    }
    assert!(idle.is_none_or(|machine| world.workers[machine].incarnation == 1));
    assert!(
        world.workers.iter().all(|worker| !worker.alive || worker.incarnation == 1),
        "a live worker lost its lease"
    );

    let again = world.oracle.starts.values().filter(|starts| **starts > 1).count();
    assert_eq!(again, lost, "exactly the lost tasks run again");
    assert!(world.placement_of(&name).is_none_or(|(_, row)| row[3].as_array().unwrap().is_empty()));
    world.assert_rules_kept();
}

/// A worker process that restarts under its old name counts its incarnations from 1 again. Its
/// former tasks are lost, and each of them is started once more, but no other task.
#[test]
fn a_restarted_worker_with_a_lower_incarnation_loses_and_duplicates_no_task() {
    let mut world = busy_world(61, 8);
    world.cloud.capacity = world.workers.len();
    let (machine, _) = busy_machine(&world);
    let lost = world.workers[machine].tasks.len();
    world.workers[machine].incarnation += 3;
    world.run(8_000);
    world.restart_worker(machine);
    world.run(26_000);
    assert!(world.workers[machine].fencing_token > 0, "no shard owner answers it");
    assert!(!world.cloud.terminated.contains(&world.workers[machine].name), "terminated as silent");

    world.run(30_000);
    assert_eq!(world.oracle.starts.values().filter(|starts| **starts == 2).count(), lost);
    assert!(world.oracle.starts.values().all(|starts| *starts <= 2));
    world.assert_rules_kept();
}

/// All nodes have just started and don't know that a machine was terminated. A heartbeat that the
/// machine sent before its termination, and that arrives late, must not get it any tasks.
#[test]
fn a_late_heartbeat_of_a_terminated_machine_gets_no_work() {
    let mut world = idle_east();
    let copy = world.workers[0].heartbeat();
    world.workers[0].alive = false;
    let name = world.workers[0].name.clone();
    world.cloud.terminated.push(name.clone());
    for node in 0..3 {
        world.crash(node, 1_000);
    }
    world.run(9_000);
    for node in 0..3 {
        world.late_heartbeat(node, copy.clone());
    }
    let request = world.submit(1, &job(1, "t1", 16, 60.0));
    for _ in 0..12 {
        world.run(500);
        let row = world.placement_of(&name).map(|(_, row)| row[3].as_array().unwrap().len());
        assert!(row.unwrap_or(0) == 0, "tasks were placed on a terminated machine");
    }
    assert_eq!(world.users.answers[&request].status, 201);
    assert_eq!(world.oracle.starts.len(), 12);
    world.assert_rules_kept();
}

#[test]
fn a_silent_machine_keeps_its_tasks_until_its_lease_ends() {
    let mut world = world(13);
    world.task_duration_ms = 15_000;
    world.accept(0, &job(1, "t1", 8, 15.0));
    world.run(20_000);
    let victim = world.workers.iter().position(|worker| !worker.tasks.is_empty()).unwrap();
    world.workers[victim].unreachable = true;
    world.run(60_000);
    world.workers[victim].unreachable = false;
    assert!(world.until_done("run-000001", 150_000));
    world.assert_rules_kept();
}

#[test]
fn a_failing_machine_is_quarantined_and_the_job_completes() {
    let mut world = world(14);
    world.accept(0, &job(1, "t1", 8, 10.0));
    world.run(8_000);
    if let Some(worker) = world.workers.first_mut() {
        worker.fails_tasks = true;
    }
    assert!(world.until_done("run-000001", 200_000));
    let failed: u32 = world.oracle.starts.values().sum::<u32>() - 8;
    assert!(failed <= 12, "{failed} starts failed on the faulty machine");
    world.assert_rules_kept();
}

/// Half of all machines become unreachable shortly before the leader crashes. If they can be reached
/// again within their lease, no task is lost or runs twice; otherwise their tasks are started again.
#[test]
fn many_unreachable_machines_keep_their_tasks_within_the_lease() {
    for (seed, unreachable_ms, keeps_tasks) in [(87, 12_000, true), (88, 40_000, false)] {
        let mut world = busy_world(seed, 8);
        let before = world.oracle.starts.len();
        for index in (0..world.workers.len()).step_by(2) {
            world.workers[index].unreachable = true;
        }
        world.run(2_000);
        world.crash(world.leader().unwrap(), 3_000);
        world.run(unreachable_ms);
        for worker in &mut world.workers {
            worker.unreachable = false;
        }
        world.run(40_000);
        assert_eq!(world.oracle.starts.len(), before);
        assert_eq!(world.each_task_started_once(), keeps_tasks, "{:?}", world.oracle.starts);
        world.assert_rules_kept();
    }
}
