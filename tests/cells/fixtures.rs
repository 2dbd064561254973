//! Clusters of cells and forwarded jobs shared by the tests of this program.

use crate::support::cells::Cells;
use crate::support::job;

/// The cell that users submit to.
pub(crate) const ORIGIN: usize = 0;
/// The cell that jobs are forwarded to when there are only two cells.
pub(crate) const HOST: usize = 1;
/// A third cell.
pub(crate) const OTHER: usize = 2;
/// Id of the job that is forwarded.
pub(crate) const JOB: &str = "run-000001";

/// Returns `count` cells of which the origin can create no machines.
pub(crate) fn full_origin(count: usize, seed: u64) -> Cells {
    let mut cells = Cells::new(count, seed);
    cells.worlds[ORIGIN].cloud.capacity = 0;
    cells.run(8_000);
    cells
}

/// Submits [`JOB`] to the full origin, waits until it runs in another cell and returns the index of
/// that cell.
pub(crate) fn forward_job(cells: &mut Cells, tasks: u32, run_s: f64) -> usize {
    for world in &mut cells.worlds {
        world.task_duration_ms = (run_s * 1_000.0) as u64;
    }
    cells.accept(ORIGIN, &job(1, "t1", tasks, run_s));
    let runs_elsewhere =
        |cells: &Cells| (1..cells.worlds.len()).any(|cell| cells.running(cell, JOB) > 0);
    assert!(cells.until(90_000, runs_elsewhere), "{:?}", cells.record(ORIGIN, JOB));
    (1..cells.worlds.len()).find(|cell| cells.running(*cell, JOB) > 0).unwrap()
}

/// Asserts that each task of a job was started exactly once across all cells.
pub(crate) fn assert_each_task_started_once(cells: &Cells, id: &str, tasks: u32) {
    let starts: u32 = (0..cells.worlds.len()).map(|cell| cells.starts(cell, id)).sum();
    assert_eq!(starts, tasks, "starts of {id}");
}

/// Returns two cells with two jobs of the full origin, of 300 s each, that run in the host cell.
pub(crate) fn two_forwarded_jobs(seed: u64) -> Cells {
    let mut cells = full_origin(2, seed);
    cells.worlds[HOST].task_duration_ms = 300_000;
    cells.accept(ORIGIN, &job(1, "t1", 4, 300.0));
    cells.accept(ORIGIN, &job(2, "t1", 4, 300.0));
    let both_run =
        |cells: &Cells| cells.running(HOST, JOB) == 4 && cells.running(HOST, "run-000002") == 4;
    assert!(cells.until(120_000, both_run));
    cells
}
