//! Jobs move when, and only when, another cell has capacity for them.

use crate::fixtures::{HOST, JOB, ORIGIN, OTHER, assert_each_task_started_once, full_origin, spilled};
use crate::support::cells::Cells;
use crate::support::job;
use woadlever::config::Operator;
use woadlever::core::HttpRequest;

#[test]
fn a_job_that_finds_no_capacity_moves_and_runs_once() {
    let mut cells = full_origin(2, 1);
    let host = spilled(&mut cells, 6, 10.0);
    cells.run(3_000);
    assert_eq!(cells.status(ORIGIN, JOB), "running");
    assert_eq!(cells.status(host, JOB), "404", "the host's users know nothing of it");
    assert!(cells.until_done(ORIGIN, JOB, 120_000));
    assert_eq!(cells.status(ORIGIN, JOB), "done");
    assert_eq!(cells.starts(ORIGIN, JOB), 0);
    assert_each_task_started_once(&cells, JOB, 6);
    cells.assert_rules_kept();
}

/// Simulated seconds until 24 jobs of four tasks are done that all come to one small cell.
fn crowd_s(cells_in_all: usize) -> u64 {
    let mut cells = Cells::new(cells_in_all, 240);
    for world in &mut cells.worlds {
        world.run_ms = 20_000;
    }
    cells.worlds[ORIGIN].cloud.capacity = 2;
    cells.run(8_000);
    let began = cells.now();
    for id in 1..=24 {
        cells.accept(ORIGIN, &job(id, "t1", 4, 20.0));
    }
    for id in 1..=24 {
        assert!(cells.until_done(ORIGIN, &format!("run-{id:06}"), 900_000), "run-{id:06}");
        assert_each_task_started_once(&cells, &format!("run-{id:06}"), 4);
    }
    cells.assert_rules_kept();
    (cells.now() - began) / 1_000
}

#[test]
fn a_crowd_at_one_cell_is_done_sooner_with_others_beside_it() {
    let (alone, shared) = (crowd_s(1), crowd_s(3));
    println!("a crowd at one cell: {alone} s alone, {shared} s with two others");
    assert!(shared * 2 < alone, "{shared} s with two others, {alone} s alone");
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
        let host = spilled(&mut cells, 6, 10.0);
        let other = if host == HOST { OTHER } else { HOST };
        assert!(cells.until_done(ORIGIN, JOB, 120_000), "seed {seed}");
        assert_eq!(cells.starts(other, JOB), 0, "seed {seed}");
        assert!(cells.record(other, JOB).is_none(), "seed {seed}: the other cell knows nothing of it");
        assert_each_task_started_once(&cells, JOB, 6);
        cells.assert_rules_kept();
    }
}

#[test]
fn a_cell_that_cannot_run_a_job_at_all_does_not_keep_others_out() {
    let mut cells = full_origin(2, 230);
    for world in &mut cells.worlds {
        world.run_ms = 5_000;
    }

    // The other cell has no team t0, which its free capacity doesn't show.
    cells.worlds[HOST].without_team = Some("t0");
    cells.crash_cell(HOST, 100);
    cells.run(10_000);
    for id in 2..=4 {
        cells.accept(ORIGIN, &job(id, "t0", 2, 5.0));
    }
    let are_back = |cells: &Cells| {
        let is_back = |id: u32| cells.record(ORIGIN, &format!("run-{id:06}")).unwrap()["f"]["p"] == "b";
        (2..=4).all(is_back)
    };
    assert!(cells.until(60_000, are_back), "refused");

    cells.accept(ORIGIN, &job(1, "t1", 2, 5.0));
    let is_offered = |cells: &Cells| cells.forwarded_to(ORIGIN, JOB).is_some();
    assert!(cells.until(13_000, is_offered), "offered as soon as it has waited");
    assert!(cells.until_done(ORIGIN, JOB, 120_000));
    assert_eq!(cells.starts(HOST, JOB), 2);
    cells.assert_rules_kept();
}

#[test]
fn a_job_that_was_refused_is_taken_by_the_same_cell_once_it_has_capacity() {
    let mut cells = full_origin(2, 290);
    for world in &mut cells.worlds {
        world.run_ms = 20_000;
    }

    // The team is at its quota in the host cell for some tens of seconds.
    cells.accept(HOST, &job(8, "t1", 16, 20.0));
    assert!(cells.until(60_000, |cells| cells.running(HOST, "run-000008") == 16));

    cells.accept(ORIGIN, &job(1, "t1", 4, 20.0));
    let is_back =
        |cells: &Cells| cells.record(ORIGIN, JOB).is_some_and(|record| record["f"]["p"] == "b");
    assert!(cells.until(60_000, is_back), "refused and recalled");
    assert!(cells.until_done(ORIGIN, JOB, 180_000), "{:?}", cells.record(ORIGIN, JOB));
    assert_eq!(cells.starts(HOST, JOB), 4);
    assert_each_task_started_once(&cells, JOB, 4);
    cells.assert_rules_kept();
}

#[test]
fn a_cell_that_takes_no_jobs_is_offered_none() {
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
fn sharing_is_switched_off_and_jobs_come_home() {
    let mut cells = full_origin(2, 270);
    spilled(&mut cells, 4, 300.0);
    cells.worlds[ORIGIN].operator = Operator::default();
    cells.crash_cell(ORIGIN, 1_000);
    cells.worlds[ORIGIN].cloud.capacity = 12;
    cells.worlds[ORIGIN].run_ms = 10_000;
    assert!(cells.until_done(ORIGIN, JOB, 200_000));
    assert_eq!(cells.starts(ORIGIN, JOB), 4);
    assert_eq!(cells.record(HOST, JOB).unwrap()["s"], "l", "the host has received no message");
    cells.run(700_000);
    assert_eq!(cells.record(HOST, JOB).unwrap()["s"], "c");
    assert_eq!(cells.starts(HOST, JOB), 4);
    cells.assert_rules_kept();
}

#[test]
fn a_job_that_has_begun_at_home_stays_there() {
    let mut cells = Cells::new(2, 220);
    cells.worlds[ORIGIN].cloud.capacity = 1;
    cells.worlds[ORIGIN].cloud.boot_ms = 500..1_000;
    cells.worlds[ORIGIN].run_ms = 60_000;
    cells.accept(ORIGIN, &job(1, "t1", 8, 60.0));
    assert!(cells.until(60_000, |cells| cells.running(ORIGIN, JOB) > 0));
    assert!(cells.until_done(ORIGIN, JOB, 300_000));
    assert_eq!(cells.starts(HOST, JOB), 0);
    assert_each_task_started_once(&cells, JOB, 8);
    cells.assert_rules_kept();
}

#[test]
fn an_id_of_another_cells_job_is_refused_and_its_own_job_is_never_hosted_over() {
    let mut cells = full_origin(2, 160);
    let host = spilled(&mut cells, 4, 30.0);
    let request = cells.worlds[host].submit(0, &job(1, "t1", 4, 30.0));
    cells.run(1_000);
    assert_eq!(cells.worlds[host].users.answers[&request].status, 422);

    let request = cells.worlds[host].ask(0, HttpRequest::Cancel(JOB.into()));
    cells.run(1_000);
    assert_eq!(cells.worlds[host].users.answers[&request].status, 404);
    assert!(cells.until_done(ORIGIN, JOB, 120_000));

    // The other way round: both cells have a job of this id, and neither is lost.
    let mut cells = Cells::new(2, 161);
    cells.worlds[ORIGIN].cloud.capacity = 0;
    cells.run(8_000);
    cells.accept(HOST, &job(1, "t1", 2, 5.0));
    cells.accept(ORIGIN, &job(1, "t1", 2, 5.0));
    assert!(cells.until_done(HOST, JOB, 120_000));

    cells.worlds[ORIGIN].cloud.capacity = 12;
    assert!(cells.until_done(ORIGIN, JOB, 240_000), "{:?}", cells.record(ORIGIN, JOB));
}
