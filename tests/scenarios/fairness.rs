//! No job starves; lower priorities and work beyond a guarantee are preempted.

use crate::fixtures::world;
use crate::support::{World, job};
use serde_json::json;

/// For minutes, urgent jobs arrive at twice the rate that the machines can handle. Jobs of low
/// priority, with tasks as large as a machine, or of another team still begin within four minutes
/// and complete in the end.
#[test]
fn nobody_starves_under_a_lasting_burst() {
    let mut world = world(62);
    world.cloud.capacity = 4;
    world.task_duration_ms = 10_000;
    let mut next = 100;
    let mut burst = |world: &mut World, seconds: u64| {
        for _ in 0..seconds / 4 {
            let mut submission = job(next, "t1", 12, 10.0);
            submission["urgency"] = json!("urgent");
            world.submit(next as usize % 3, &submission);
            next += 1;
            world.run(4_000);
        }
    };
    burst(&mut world, 60);
    let mut huge = job(1, "t1", 6, 10.0);
    huge["urgency"] = json!("idle");
    huge["cores"] = json!(16.0);
    let mut low = job(2, "t1", 30, 10.0);
    low["urgency"] = json!("idle");
    let mut other = job(3, "t0", 12, 10.0);
    other["urgency"] = json!("normal");
    for (node, submission) in [&huge, &low, &other].into_iter().enumerate() {
        world.submit(node, submission);
    }
    burst(&mut world, 232);
    for id in 1..4 {
        let began = world.oracle.starts.keys().any(|task| task.starts_with(&format!("run-{id:06}")));
        assert!(began, "job {id} has not begun after four minutes");
    }
    for id in 1..4 {
        assert!(world.until_done(&format!("run-{id:06}"), 1_500_000), "job {id} does not complete");
    }
    world.assert_rules_kept();
}

/// Returns a world of two machines that are full of long tasks, so that a further job has to wait or
/// to preempt them.
fn world_without_free_capacity(seed: u64, urgency: &str, team: &str) -> World {
    let mut world = world(seed);
    world.task_duration_ms = 600_000;
    world.cloud.capacity = 2;
    let mut submission = job(1, team, 8, 600.0);
    submission["urgency"] = json!(urgency);
    world.accept(0, &submission);
    world.run(40_000);
    assert_eq!(world.oracle.starts.len(), 8);
    world
}

/// Submits a second job and returns how many of its tasks have started after six minutes.
fn starts_of_second_job(world: &mut World, urgency: &str, team: &str) -> usize {
    world.task_duration_ms = 5_000;
    let mut submission = job(2, team, 2, 5.0);
    submission["urgency"] = json!(urgency);
    world.accept(0, &submission);
    world.run(360_000);
    world.assert_rules_kept();
    world.oracle.starts.keys().filter(|task| task.starts_with("run-000002")).count()
}

#[test]
fn a_job_of_lower_priority_is_preempted() {
    let mut world = world_without_free_capacity(50, "normal", "t1");
    assert_eq!(starts_of_second_job(&mut world, "urgent", "t1"), 2);
    // The preempted tasks run again afterwards.
    assert!(world.until_done("run-000001", 700_000));
    world.assert_rules_kept();
}

#[test]
fn work_beyond_a_guarantee_is_preempted_by_guaranteed_work() {
    let mut world = world_without_free_capacity(51, "urgent", "t1");
    assert_eq!(starts_of_second_job(&mut world, "normal", "t0"), 2);
}

#[test]
fn a_job_of_equal_priority_of_the_same_team_waits() {
    let mut world = world_without_free_capacity(52, "normal", "t1");
    assert_eq!(starts_of_second_job(&mut world, "normal", "t1"), 0);
}
