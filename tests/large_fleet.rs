//! Six thousand machines, which is one and a half times as many as the operators run.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod support;

use support::{World, job};

const NODES: usize = 5;
const MACHINES: usize = 6_000;
/// Tasks that fit on one machine.
const TASKS_PER_MACHINE: u32 = 4;
const TASKS_PER_JOB: u32 = 200;

/// Number of machines with tasks.
fn machines_in_use(world: &World) -> usize {
    world.workers.iter().filter(|worker| worker.alive && !worker.tasks.is_empty()).count()
}

/// Number of machines that have not been terminated.
fn live_machines(world: &World) -> usize {
    world.workers.iter().filter(|worker| worker.alive).count()
}

/// Creates six thousand machines on demand, runs tasks on them and crashes the leader. Checks that
/// all jobs are done, each task started once, and the machines are terminated afterwards.
#[test]
fn six_thousand_machines_are_rented_run_outlast_their_leader_and_go_back() {
    let mut world = World::fleet(NODES, 91);
    world.cloud.capacity = MACHINES;
    world.task_duration_ms = 60_000;
    world.cloud.boot_ms = 5_000..8_000;
    world.run(5_000);

    let jobs = MACHINES as u32 * TASKS_PER_MACHINE / TASKS_PER_JOB;
    for id in 0..jobs {
        world.submit(id as usize % NODES, &job(id, "t1", TASKS_PER_JOB, 60.0));
        world.run(25);
    }

    // The rate limit of the cloud allows at most 250 machines per second.
    let end = world.now + 150_000;
    while machines_in_use(&world) < MACHINES * 9 / 10 && world.now < end {
        world.run(1_000);
    }
    assert!(
        machines_in_use(&world) >= MACHINES * 9 / 10,
        "{} of {} machines in use",
        machines_in_use(&world),
        live_machines(&world)
    );

    let leader = world.leader().expect("a leader");
    let starts = world.oracle.starts.len();
    world.crash(leader, 4_000);
    let done = |world: &World, id: u32| {
        world.store.job(&format!("run-{id:06}")).is_some_and(|record| record["s"] == "d")
    };
    let end = world.now + 200_000;
    while !(0..jobs).all(|id| done(&world, id)) && world.now < end {
        world.run(1_000);
    }
    let unfinished = (0..jobs).filter(|id| !done(&world, *id)).count();
    assert_eq!(
        unfinished, 0,
        "jobs that are not done; {starts} tasks had started when the leader crashed"
    );
    assert!(world.each_task_started_once(), "a task was started again");

    let end = world.now + 200_000;
    while live_machines(&world) > MACHINES / 20 && world.now < end {
        world.run(2_000);
    }
    assert!(
        live_machines(&world) <= MACHINES / 20,
        "{} machines are still there",
        live_machines(&world)
    );
    assert_eq!((world.store.refused, world.cloud.refused), (0, 0), "calls beyond the limits");

    let limit = woadlever::wire::peer::MAX_FRAME_BYTES / 4;
    assert!(world.network.longest_frame < limit, "a frame of {} bytes", world.network.longest_frame);
    world.assert_rules_kept();
}
