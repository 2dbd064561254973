//! Six thousand machines: as many as the operators run, and half as many again.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod support;

use support::{World, job};

const NODES: usize = 5;
const MACHINES: usize = 6_000;
/// Tasks that fit on one machine.
const TASKS_A_MACHINE: u32 = 4;
const TASKS_A_JOB: u32 = 200;

/// Machines with tasks.
fn used(world: &World) -> usize {
    world.workers.iter().filter(|worker| worker.alive && !worker.tasks.is_empty()).count()
}

/// Machines that have not been terminated.
fn there(world: &World) -> usize {
    world.workers.iter().filter(|worker| worker.alive).count()
}

/// Rented on demand, run, kept through the loss of the leader, and drained.
#[test]
fn six_thousand_machines_are_rented_run_outlast_their_leader_and_go_back() {
    let mut world = World::fleet(NODES, 91);
    world.cloud.capacity = MACHINES;
    world.run_ms = 60_000;
    world.cloud.boot_ms = 5_000..8_000;
    world.run(5_000);

    let jobs = MACHINES as u32 * TASKS_A_MACHINE / TASKS_A_JOB;
    for id in 0..jobs {
        world.submit(id as usize % NODES, &job(id, "t1", TASKS_A_JOB, 60.0));
        world.run(25);
    }

    // The cloud takes 250 machines a second at most.
    let end = world.now + 150_000;
    while used(&world) < MACHINES * 9 / 10 && world.now < end {
        world.run(1_000);
    }
    assert!(used(&world) >= MACHINES * 9 / 10, "{} of {} machines in use", used(&world), there(&world));

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
    let open = (0..jobs).filter(|id| !done(&world, *id)).count();
    assert_eq!(open, 0, "jobs that are not done; {starts} tasks had started when the leader ended");
    assert!(world.each_task_started_once(), "a task was started again");

    let end = world.now + 200_000;
    while there(&world) > MACHINES / 20 && world.now < end {
        world.run(2_000);
    }
    assert!(there(&world) <= MACHINES / 20, "{} machines are still there", there(&world));
    assert_eq!((world.store.refused, world.cloud.refused), (0, 0), "calls beyond the limits");

    let longest = woadlever::wire::peer::MAX_FRAME / 4;
    assert!(world.network.longest_frame < longest, "a frame of {} bytes", world.network.longest_frame);
    world.assert_rules_kept();
}
