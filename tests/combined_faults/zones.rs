//! Jobs bound to one zone while all nodes restart.

use crate::fixtures::id;
use crate::support::{World, job};
use serde_json::json;

/// Number of tasks that fit on one machine.
const TASKS_PER_MACHINE: usize = 4;

/// Number of tasks of a job that run in a zone.
fn running_in(world: &World, number: u32, zone: &str) -> usize {
    let machines = world.workers.iter().filter(|worker| worker.zone == zone);
    let tasks = machines.flat_map(|worker| &worker.tasks);
    tasks.filter(|task| task.job == id(number) && task.end_reason.is_none()).count()
}

/// Whether a placement record of the zone lists the job.
fn is_on_record(world: &World, number: u32, zone: &str) -> bool {
    let prefix = format!("place/{zone}");
    let records = world.store.records_under(&prefix);
    records.into_iter().any(|(_, record)| record.value["j"].to_string().contains(&id(number)))
}

/// Guards against a job bound to one zone that ran in two. Its first tasks were done in one zone, and
/// its next tasks were placed in the other, which had free capacity. The placement records of the
/// first zone still listed the done tasks when all nodes crashed. The next leader counted these in
/// the first zone and the running ones in the second, and took either zone for the job's own. So it
/// admitted tasks in both: under random faults, `task=14 shard="east.0" decision=Admitted` and
/// `task=12 shard="west.1" decision=Admitted` were logged in one scheduling cycle of term 179, and a
/// task started in the west beside three in the east.
#[test]
fn a_job_bound_to_one_zone_stays_there_when_records_still_list_another() {
    let mut world = World::new(2, 660);
    world.cloud.capacity = 0;
    for number in 0..3 {
        world.add_worker(number, "east", false, 500);
    }
    world.run(10_000);
    world.task_duration_ms = 90_000;
    let mut cancelled_later = job(3, "t1", 4, 90.0);
    cancelled_later["yard"] = json!("east");
    world.accept(0, &cancelled_later);
    world.run(2_000);
    world.task_duration_ms = 8_000;
    let mut bound = job(1, "t1", 16, 8.0);
    bound["one_zone"] = json!(true);
    world.accept(0, &bound);
    world.run(2_000);
    assert_eq!(running_in(&world, 1, "east"), 2 * TASKS_PER_MACHINE);

    // An urgent job takes the capacity in the east when the first tasks are done, so that the next
    // tasks are placed in the west.
    world.task_duration_ms = 90_000;
    let mut urgent = job(2, "t0", 8, 90.0);
    urgent["urgency"] = json!("urgent");
    urgent["yard"] = json!("east");
    world.accept(0, &urgent);
    world.add_worker(3, "west", false, 500);
    let end = world.now + 20_000;
    while running_in(&world, 1, "west") < TASKS_PER_MACHINE && world.now < end {
        world.run(25);
    }
    assert_eq!(running_in(&world, 1, "west"), TASKS_PER_MACHINE);
    assert!(is_on_record(&world, 1, "east"), "the done tasks are no longer recorded");
    // The done tasks are still recorded when all nodes crash, and no heartbeat reports otherwise for
    // a while.
    for worker in &mut world.workers {
        worker.heartbeats_lost = worker.tasks.iter().any(|task| task.job == id(2));
    }
    (0..2).for_each(|node| world.crash(node, 200));
    world.run(1_000);
    world.cancel(0, &id(3));
    world.run(12_000);

    world.assert_rules_kept();
}
