//! Cells, and jobs that move between them, that several subjects share.

use crate::support::cells::Cells;
use crate::support::job;

/// The cell that users submit to.
pub(crate) const ORIGIN: usize = 0;
/// The cell that jobs move to where there are two.
pub(crate) const HOST: usize = 1;
/// The third cell.
pub(crate) const OTHER: usize = 2;
/// The job that moves.
pub(crate) const JOB: &str = "run-000001";

/// Cells of which the first can rent no machines.
pub(crate) fn full_origin(count: usize, seed: u64) -> Cells {
    let mut cells = Cells::new(count, seed);
    cells.worlds[ORIGIN].cloud.capacity = 0;
    cells.run(8_000);
    cells
}

/// Submits a job to the full cell and waits until it runs in another one; the number of that
/// cell.
pub(crate) fn spilled(cells: &mut Cells, tasks: u32, run_s: f64) -> usize {
    for world in &mut cells.worlds {
        world.run_ms = (run_s * 1_000.0) as u64;
    }
    cells.accept(ORIGIN, &job(1, "t1", tasks, run_s));
    let runs_elsewhere =
        |cells: &Cells| (1..cells.worlds.len()).any(|cell| cells.running(cell, JOB) > 0);
    assert!(cells.until(90_000, runs_elsewhere), "{:?}", cells.record(ORIGIN, JOB));
    (1..cells.worlds.len()).find(|cell| cells.running(*cell, JOB) > 0).unwrap()
}

/// Each task was started once in all cells together.
pub(crate) fn assert_each_task_started_once(cells: &Cells, id: &str, tasks: u32) {
    let starts: u32 = (0..cells.worlds.len()).map(|cell| cells.starts(cell, id)).sum();
    assert_eq!(starts, tasks, "starts of {id}");
}

/// Two jobs of the full origin that run in the other cell, the first for long.
pub(crate) fn two_spilled(seed: u64) -> Cells {
    let mut cells = full_origin(2, seed);
    cells.worlds[HOST].run_ms = 300_000;
    cells.accept(ORIGIN, &job(1, "t1", 4, 300.0));
    cells.accept(ORIGIN, &job(2, "t1", 4, 300.0));
    let both_run =
        |cells: &Cells| cells.running(HOST, JOB) == 4 && cells.running(HOST, "run-000002") == 4;
    assert!(cells.until(120_000, both_run));
    cells
}
