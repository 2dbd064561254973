//! Leaders and shard owners crash, restart, or have delayed writes.

use crate::fixtures::{busy_machine, busy_world, idle_east, world};
use crate::support::{World, ZONES, job};

/// Submits a job of twelve tasks while the writes of n0 are delayed. The tasks need three of the
/// four machines, so that n0 owns the shard of at least one of them.
fn admit_to_a_slow_shard_owner(world: &mut World, delay_ms: u64) {
    world.store_faults.slow_writes.insert(0, delay_ms);
    let request = world.submit(1, &job(1, "t1", 12, 60.0));
    world.run(400);
    assert_eq!(world.users.answers[&request].status, 201);
}

/// Invariant 1, the shard's fencing token: a delayed write of a shard owner must fail if the shard
/// has been assigned to another node since, even though the former owner doesn't know it yet.
#[test]
fn a_slow_write_of_a_former_shard_owner_fails() {
    let mut world = idle_east();
    admit_to_a_slow_shard_owner(&mut world, 8_000);
    world.store.refused_nodes.insert(0);
    world.network.unreachable_pairs.insert((0, 1));
    world.network.unreachable_pairs.insert((0, 2));
    world.run(25_000);
    assert!(!world.oracle.starts.is_empty());
    world.assert_rules_kept();
}

/// Invariant 1, the term: a delayed write of a placement that a former leader admitted must fail,
/// because the new leader may have admitted other tasks in the meantime.
#[test]
fn a_slow_write_for_a_former_leader_fails() {
    let mut world = idle_east();
    // The write arrives after the new leader has read the records, and before the new leader
    // reassigns the shard of the owner that the store refuses.
    admit_to_a_slow_shard_owner(&mut world, 6_500);
    world.store.refused_nodes.insert(0);
    world.crash(1, 90_000);
    world.run(25_000);
    assert!(!world.oracle.starts.is_empty());
    world.assert_rules_kept();
}

#[test]
fn running_tasks_survive_a_restart_of_all_nodes() {
    let mut world = world(6);
    world.task_duration_ms = 40_000;
    world.accept(0, &job(1, "t1", 8, 40.0));
    world.run(30_000);
    let before = world.oracle.starts.clone();
    assert!(!before.is_empty());

    for node in 0..3 {
        world.crash(node, 3_000);
    }
    world.run(4_000);
    assert!(world.until_done("run-000001", 150_000));
    assert_eq!(world.status(1, "run-000001"), "done");

    for (task, count) in &world.oracle.starts {
        assert_eq!(*count, 1, "{task} was started again although its lease had not ended");
    }
    world.assert_rules_kept();
}

#[test]
fn a_crashed_leader_is_replaced_and_jobs_complete() {
    let mut world = world(7);
    world.accept(0, &job(1, "t1", 24, 10.0));
    world.run(25_000);
    let old = world.leader().unwrap();
    world.crash(old, 60_000);
    world.run(9_000);
    assert_ne!(world.leader().unwrap(), old);
    assert!(world.until_done("run-000001", 150_000));
    world.assert_rules_kept();
}

#[test]
fn a_leader_that_restarts_at_once_does_not_wait_for_its_former_lease() {
    let mut world = world(8);
    let old = world.leader().unwrap();
    let term = world.store.records["w/leader"].version;
    world.crash(old, 200);
    world.run(1_500);
    assert!(world.leader().is_some());
    assert!(
        world.store.records["w/leader"].version > term,
        "waited for the lease of a process that is known to have ended"
    );
}

/// Invariant 7: a finished task is cleared from its machine only after its success is recorded in
/// the store; until then only the machine knows of it.
#[test]
fn a_success_that_the_leader_could_not_record_is_not_lost() {
    let mut world = world(47);
    world.accept(0, &job(1, "t1", 4, 10.0));
    let leader = world.leader().unwrap();
    while world.oracle.starts.len() < 4 {
        world.run(500);
    }
    world.store_faults.slow_writes.insert(leader, 60_000);
    world.run(15_000);
    world.store_faults.slow_writes.clear();
    world.crash(leader, 30_000);
    assert!(world.until_done("run-000001", 60_000));
    assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);
}

/// A reported state that was in flight when the leader admitted a task must not be read as the
/// absence of that task.
#[test]
fn a_reported_state_older_than_an_admission_drops_no_task() {
    let mut world = world(48);
    world.network.frame_ms = 1_200;
    world.accept(0, &job(1, "t1", 16, 10.0));
    assert!(world.until_done("run-000001", 200_000));
    assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);
    world.assert_rules_kept();
}

/// A shard owner that learns of a job only after the desired state that names its tasks gives the
/// tasks up. It must not place them later, when the job becomes known.
#[test]
fn tasks_given_up_for_an_unknown_job_are_not_bound_later() {
    for delay_ms in [2_800, 3_000, 3_200] {
        let mut world = idle_east();
        world.network.frame_ms = 700;
        world.store_faults.slow_watch.insert(0, delay_ms);
        let mut answer = 0;
        for step in 0..40 {
            if step == 6 {
                answer = world.submit(1, &job(1, "t1", 12, 60.0));
            }
            // The node's other calls to the store are served, so that the node counts as alive.
            world.status(0, "run-000009");
            world.run(700);
        }
        assert_eq!(world.users.answers[&answer].status, 201);
        assert!(!world.oracle.starts.is_empty());
        world.assert_rules_kept();
        assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);
    }
}

/// A machine must not be taken for unreachable because its shard owner restarts or changes.
#[test]
fn restarts_of_shard_owners_leave_machines_in_use() {
    let mut world = busy_world(59, 4);
    for round in 0..3 {
        for node in 0..3 {
            world.crash(node, 200 + 700 * round);
            world.run(4_000);
        }
    }
    assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);

    // Machines with free capacity are still used several heartbeats later.
    for number in 80..84 {
        world.add_worker(number, ZONES[number % 2], false, 100);
    }
    world.run(14_000);
    let before = world.cloud.created_count;
    world.accept(0, &job(3, "t1", 2, 5.0));
    world.run(4_000);
    assert_eq!(world.oracle.starts.keys().filter(|task| task.starts_with("run-000003")).count(), 2);
    assert_eq!(world.cloud.created_count, before);
    world.assert_rules_kept();
}

/// A machine is lost together with the leader and its shard owner. The new leader has received no
/// heartbeat of it, but a placement record names it and the cloud's list doesn't: it is terminated
/// at once, and its tasks are started elsewhere without waiting for a lease that may still be held.
#[test]
fn machines_lost_together_with_the_leader_are_detected() {
    let mut world = busy_world(71, 6);
    for number in 60..64 {
        world.add_worker(number, ZONES[number % 2], false, 100);
    }
    world.run(6_000);
    let (machine, shard_owner) = busy_machine(&world);
    let lost = world.workers[machine].tasks.len();
    world.workers[machine].alive = false;
    let name = world.workers[machine].name.clone();
    world.cloud.terminated.push(name);
    let leader = world.leader().unwrap();
    world.crash(leader, 1_000);
    world.crash(shard_owner, 1_000);
    world.run(26_000);
    assert_eq!(world.oracle.starts.values().filter(|starts| **starts == 2).count(), lost);
    world.assert_rules_kept();
}

/// The processes of the leader and of a candidate restart within a fraction of a second, before
/// and during the election.
#[test]
fn fast_restarts_around_an_election_start_no_task_again() {
    for (seed, back) in [(64, 30), (65, 150), (66, 400), (67, 900)] {
        let mut world = busy_world(seed, 6);
        for round in 0..4 {
            let old = world.leader().unwrap_or(0);
            world.crash(old, back);
            world.run(back / 2);
            world.crash((old + 1) % 3, back);
            world.run(back + 40 * round);
            world.crash(old, back);
            world.run(7_000);
            assert!(world.leader().is_some());
        }
        world.run(10_000);
        assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);

        world.accept(0, &job(3, "t0", 2, 5.0));
        world.assert_rules_kept();
    }
}
