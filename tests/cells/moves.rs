//! Jobs are forwarded if their own cell lacks capacity and another cell has it, and only then.

use crate::fixtures::{
    HOST, JOB, ORIGIN, OTHER, assert_each_task_started_once, forward_job, full_origin,
};
use crate::support::cells::Cells;
use crate::support::job;
use woadlever::config::Operator;
use woadlever::core::HttpRequest;

#[test]
fn a_job_without_capacity_at_its_origin_is_forwarded_and_runs_once() {
    let mut cells = full_origin(2, 1);
    let host = forward_job(&mut cells, 6, 10.0);
    cells.run(3_000);
    assert_eq!(cells.status(ORIGIN, JOB), "running");
    assert_eq!(cells.status(host, JOB), "404", "the job is visible to the host's users");
    assert!(cells.until_done(ORIGIN, JOB, 120_000));
    assert_eq!(cells.status(ORIGIN, JOB), "done");
    assert_eq!(cells.starts(ORIGIN, JOB), 0);
    assert_each_task_started_once(&cells, JOB, 6);
    cells.assert_rules_kept();
}

/// Returns the simulated time, in seconds, in which a burst of 24 jobs of four tasks each completes
/// when all of them are submitted to one small cell out of `cell_count`.
fn burst_completion_s(cell_count: usize) -> u64 {
    let mut cells = Cells::new(cell_count, 240);
    for world in &mut cells.worlds {
        world.task_duration_ms = 20_000;
    }
    cells.worlds[ORIGIN].cloud.capacity = 2;
    cells.run(8_000);
    let started_at = cells.now();
    for id in 1..=24 {
        cells.accept(ORIGIN, &job(id, "t1", 4, 20.0));
    }
    for id in 1..=24 {
        assert!(cells.until_done(ORIGIN, &format!("run-{id:06}"), 900_000), "run-{id:06}");
        assert_each_task_started_once(&cells, &format!("run-{id:06}"), 4);
    }
    cells.assert_rules_kept();
    (cells.now() - started_at) / 1_000
}

#[test]
fn a_burst_at_one_cell_completes_sooner_with_other_cells() {
    let (alone, shared) = (burst_completion_s(1), burst_completion_s(3));
    println!("burst at one cell: {alone} s alone, {shared} s with two other cells");
    assert!(shared * 2 < alone, "{shared} s with two other cells, {alone} s alone");
}

#[test]
fn nothing_moves_while_the_origin_has_capacity() {
    let mut cells = Cells::new(2, 2);
    cells.run(8_000);
    for id in 1..=4 {
        cells.accept(ORIGIN, &job(id, "t1", 2, 10.0));
    }
    for id in 1..=4 {
        let id = format!("run-{id:06}");
        assert!(cells.until_done(ORIGIN, &id, 120_000), "{id}");
        assert_eq!(cells.starts(HOST, &id), 0, "{id}");
    }
    cells.assert_rules_kept();
}

#[test]
fn two_cells_offer_capacity_at_once_and_one_gets_the_job() {
    for seed in 0..4 {
        let mut cells = full_origin(3, 30 + seed);
        let host = forward_job(&mut cells, 6, 10.0);
        let other = if host == HOST { OTHER } else { HOST };
        assert!(cells.until_done(ORIGIN, JOB, 120_000), "seed {seed}");
        assert_eq!(cells.starts(other, JOB), 0, "seed {seed}");
        assert!(cells.record(other, JOB).is_none(), "seed {seed}: the other cell has a record of it");
        assert_each_task_started_once(&cells, JOB, 6);
        cells.assert_rules_kept();
    }
}

#[test]
fn jobs_that_a_cell_can_never_run_do_not_block_other_jobs() {
    let mut cells = full_origin(2, 230);
    for world in &mut cells.worlds {
        world.task_duration_ms = 5_000;
    }

    // The other cell doesn't know team t0, which the free capacity that it reports doesn't show.
    cells.worlds[HOST].without_team = Some("t0");
    cells.crash_cell(HOST, 100);
    cells.run(10_000);
    for id in 2..=4 {
        cells.accept(ORIGIN, &job(id, "t0", 2, 5.0));
    }
    let all_returned = |cells: &Cells| {
        let is_returned =
            |id: u32| cells.record(ORIGIN, &format!("run-{id:06}")).unwrap()["f"]["p"] == "b";
        (2..=4).all(is_returned)
    };
    assert!(cells.until(60_000, all_returned), "the jobs were not refused and returned");

    cells.accept(ORIGIN, &job(1, "t1", 2, 5.0));
    let is_offered = |cells: &Cells| cells.forwarded_to(ORIGIN, JOB).is_some();
    assert!(cells.until(13_000, is_offered), "not offered once its waiting time was over");
    assert!(cells.until_done(ORIGIN, JOB, 120_000));
    assert_eq!(cells.starts(HOST, JOB), 2);
    cells.assert_rules_kept();
}

#[test]
fn a_refused_job_is_accepted_by_the_same_cell_once_it_has_capacity() {
    let mut cells = full_origin(2, 290);
    for world in &mut cells.worlds {
        world.task_duration_ms = 20_000;
    }

    // The team uses its whole quota in the host cell for a few tens of seconds.
    cells.accept(HOST, &job(8, "t1", 16, 20.0));
    assert!(cells.until(60_000, |cells| cells.running(HOST, "run-000008") == 16));

    cells.accept(ORIGIN, &job(1, "t1", 4, 20.0));
    let is_returned =
        |cells: &Cells| cells.record(ORIGIN, JOB).is_some_and(|record| record["f"]["p"] == "b");
    assert!(cells.until(60_000, is_returned), "the job was not refused and returned");
    assert!(cells.until_done(ORIGIN, JOB, 180_000), "{:?}", cells.record(ORIGIN, JOB));
    assert_eq!(cells.starts(HOST, JOB), 4);
    assert_each_task_started_once(&cells, JOB, 4);
    cells.assert_rules_kept();
}

#[test]
fn a_cell_with_accept_disabled_is_offered_no_jobs() {
    let mut cells = Cells::with_settings(2, 260, "accept=false");
    cells.worlds[ORIGIN].cloud.capacity = 0;
    cells.run(8_000);
    cells.accept(ORIGIN, &job(1, "t1", 4, 10.0));
    cells.run(60_000);
    assert_eq!(cells.forwarded_to(ORIGIN, JOB), None);
    cells.worlds[ORIGIN].cloud.capacity = 12;
    assert!(cells.until_done(ORIGIN, JOB, 120_000));
    assert_each_task_started_once(&cells, JOB, 4);
    cells.assert_rules_kept();
}

#[test]
fn disabling_cells_returns_forwarded_jobs_to_their_origin() {
    let mut cells = full_origin(2, 270);
    forward_job(&mut cells, 4, 300.0);
    cells.worlds[ORIGIN].operator = Operator::default();
    cells.crash_cell(ORIGIN, 1_000);
    cells.worlds[ORIGIN].cloud.capacity = 12;
    cells.worlds[ORIGIN].task_duration_ms = 10_000;
    assert!(cells.until_done(ORIGIN, JOB, 200_000));
    assert_eq!(cells.starts(ORIGIN, JOB), 4);
    assert_eq!(
        cells.record(HOST, JOB).unwrap()["s"],
        "l",
        "the host has changed the record without a message"
    );
    cells.run(700_000);
    assert_eq!(cells.record(HOST, JOB).unwrap()["s"], "c");
    assert_eq!(cells.starts(HOST, JOB), 4);
    cells.assert_rules_kept();
}

#[test]
fn a_job_with_started_tasks_is_not_forwarded() {
    let mut cells = Cells::new(2, 220);
    cells.worlds[ORIGIN].cloud.capacity = 1;
    cells.worlds[ORIGIN].cloud.boot_ms = 500..1_000;
    cells.worlds[ORIGIN].task_duration_ms = 60_000;
    cells.accept(ORIGIN, &job(1, "t1", 8, 60.0));
    assert!(cells.until(60_000, |cells| cells.running(ORIGIN, JOB) > 0));
    assert!(cells.until_done(ORIGIN, JOB, 300_000));
    assert_eq!(cells.starts(HOST, JOB), 0);
    assert_each_task_started_once(&cells, JOB, 8);
    cells.assert_rules_kept();
}

#[test]
fn the_id_of_a_hosted_job_is_refused_and_a_cells_own_job_is_never_overwritten() {
    let mut cells = full_origin(2, 160);
    let host = forward_job(&mut cells, 4, 30.0);
    let request = cells.worlds[host].submit(0, &job(1, "t1", 4, 30.0));
    cells.run(1_000);
    assert_eq!(cells.worlds[host].users.answers[&request].status, 422);

    let request = cells.worlds[host].ask(0, HttpRequest::Cancel(JOB.into()));
    cells.run(1_000);
    assert_eq!(cells.worlds[host].users.answers[&request].status, 404);
    assert!(cells.until_done(ORIGIN, JOB, 120_000));

    // Both cells accept a job of their own with this id; neither job is lost.
    let mut cells = Cells::new(2, 161);
    cells.worlds[ORIGIN].cloud.capacity = 0;
    cells.run(8_000);
    cells.accept(HOST, &job(1, "t1", 2, 5.0));
    cells.accept(ORIGIN, &job(1, "t1", 2, 5.0));
    assert!(cells.until_done(HOST, JOB, 120_000));

    cells.worlds[ORIGIN].cloud.capacity = 12;
    assert!(cells.until_done(ORIGIN, JOB, 240_000), "{:?}", cells.record(ORIGIN, JOB));
}
