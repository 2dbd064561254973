//! Two cells for four thousand machines: all jobs of a cell without capacity move to the other.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod support;

use support::cells::Cells;
use support::job;

const ORIGIN: usize = 0;
const HOST: usize = 1;
const MACHINES: usize = 4_000;
/// Tasks that fit on one machine.
const TASKS_PER_MACHINE: u32 = 4;
const TASKS_PER_JOB: u32 = 80;
const JOBS: u32 = MACHINES as u32 * TASKS_PER_MACHINE / TASKS_PER_JOB;

/// Number of jobs that the store of the origin records as done.
fn done_jobs(cells: &Cells) -> usize {
    let is_done = |id: &u32| {
        cells.record(ORIGIN, &format!("run-{id:06}")).is_some_and(|record| record["s"] == "d")
    };
    (0..JOBS).filter(is_done).count()
}

#[test]
fn the_work_of_four_thousand_machines_moves_outlasts_both_leaders_and_runs_once() {
    let mut cells = Cells::large(2, 95);
    cells.worlds[HOST].cloud.capacity = MACHINES;
    cells.worlds[HOST].cloud.boot_ms = 5_000..8_000;
    cells.worlds[HOST].task_duration_ms = 60_000;
    cells.run(8_000);
    for id in 0..JOBS {
        let body = job(id, "t1", TASKS_PER_JOB, 60.0);
        for world in &mut cells.worlds {
            world.users.jobs.insert(format!("run-{id:06}"), body.clone());
        }
        cells.worlds[ORIGIN].submit(id as usize % 3, &body);
        cells.run(100);
    }
    let started = |cells: &Cells| cells.worlds[HOST].oracle.starts.len();
    let total_tasks = (JOBS * TASKS_PER_JOB) as usize;
    assert!(
        cells.until(120_000, |cells| started(cells) > total_tasks / 2),
        "{} started",
        started(&cells)
    );

    for cell in [ORIGIN, HOST] {
        let leader = cells.worlds[cell].leader().expect("a leader");
        cells.worlds[cell].crash(leader, 4_000);
    }
    cells.until(300_000, |cells| done_jobs(cells) == JOBS as usize);
    assert_eq!(done_jobs(&cells), JOBS as usize);

    let starts = &cells.worlds[HOST].oracle.starts;
    assert_eq!(starts.len(), total_tasks);
    assert!(cells.worlds[HOST].each_task_started_once(), "a task was started again");
    assert!(cells.worlds[ORIGIN].oracle.starts.is_empty());

    for world in &cells.worlds {
        assert_eq!((world.store.refused, world.cloud.refused), (0, 0), "calls beyond the limits");
    }
    let limit = woadlever::wire::peer::MAX_FRAME_BYTES / 4;
    assert!(cells.longest_message < limit, "a message of {} bytes", cells.longest_message);
    cells.assert_rules_kept();
}
