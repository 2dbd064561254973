//! Loss of controllers, of whole cells or of links between cells while a job is forwarded.

use crate::fixtures::{HOST, JOB, ORIGIN, assert_each_task_started_once, forward_job, full_origin};
use crate::support::cells::Cells;
use crate::support::{CANCEL_MS, job};

#[test]
fn all_controllers_of_the_origin_are_lost_and_the_job_goes_on() {
    for seed in 0..4 {
        let mut cells = full_origin(2, 40 + seed);
        forward_job(&mut cells, 6, 30.0);
        cells.crash_cell(ORIGIN, 3_000);
        assert!(cells.until_done(ORIGIN, JOB, 120_000), "seed {seed}");
        assert_each_task_started_once(&cells, JOB, 6);
        cells.assert_rules_kept();
    }
}

#[test]
fn all_controllers_of_the_host_are_lost_and_the_job_goes_on() {
    for seed in 0..4 {
        let mut cells = full_origin(2, 50 + seed);
        let host = forward_job(&mut cells, 6, 30.0);
        cells.crash_cell(host, 3_000);
        assert!(cells.until_done(ORIGIN, JOB, 120_000), "seed {seed}");
        assert_each_task_started_once(&cells, JOB, 6);
        cells.assert_rules_kept();
    }
}

#[test]
fn the_leaders_of_both_cells_are_killed_at_every_step_of_a_move() {
    // The job is offered about ten seconds after its acceptance; the rest of the move takes a few
    // steps of a quarter of a second each.
    for step in 0..12 {
        let mut cells = full_origin(2, 60 + step);
        cells.worlds[HOST].task_duration_ms = 20_000;
        cells.accept(ORIGIN, &job(1, "t1", 4, 20.0));
        cells.until(30_000, |cells| cells.forwarded_to(ORIGIN, JOB).is_some());
        cells.run(step * 100);
        for cell in [ORIGIN, HOST] {
            let leader = cells.worlds[cell].leader().unwrap_or(0);
            cells.worlds[cell].crash(leader, 500 + step * 300);
        }
        let is_done_or_recalled = |cells: &Cells| {
            let record = cells.record(ORIGIN, JOB).unwrap();
            record["s"] == "d" || record["f"]["p"] == "r" || record["f"]["p"] == "b"
        };
        assert!(cells.until(240_000, is_done_or_recalled), "step {step}");
        assert_eq!(cells.record(ORIGIN, JOB).unwrap()["s"], "d", "step {step}: recalled");
        assert!(cells.until_done(ORIGIN, JOB, 240_000), "step {step}: {:?}", cells.record(ORIGIN, JOB));
        assert_each_task_started_once(&cells, JOB, 4);
        cells.assert_rules_kept();
    }
}

#[test]
fn a_leader_tolerates_messages_that_arrive_before_it_has_read_the_records() {
    for cell in [ORIGIN, HOST] {
        let mut cells = full_origin(2, 75);
        forward_job(&mut cells, 6, 40.0);
        // Reading the records takes a few seconds, and messages arrive twice a second.
        for node in 0..3 {
            cells.worlds[cell].store_faults.slow.insert(node, 1_000);
        }
        cells.crash_cell(cell, 500);
        cells.run(10_000);
        cells.worlds[cell].store_faults.slow.clear();
        assert!(cells.until_done(ORIGIN, JOB, 120_000), "cell {cell}");
        cells.assert_rules_kept();
    }
}

#[test]
fn a_host_that_goes_silent_gives_the_job_up_before_the_origin_runs_it() {
    for seed in 0..3 {
        let mut cells = full_origin(2, 80 + seed);
        let host = forward_job(&mut cells, 6, 300.0);

        // The host cell keeps its workers but is partitioned from the origin.
        cells.partition(ORIGIN, host);
        cells.worlds[ORIGIN].cloud.capacity = 12;
        cells.worlds[ORIGIN].task_duration_ms = 10_000;
        assert!(
            cells.until(60_000, |cells| cells.running(host, JOB) == 0),
            "the host still runs the job after its cell lease ended"
        );
        assert!(cells.until_done(ORIGIN, JOB, 180_000), "seed {seed}");
        assert_eq!(cells.starts(ORIGIN, JOB), 6, "seed {seed}");

        let starts_at_host = cells.starts(host, JOB);
        cells.heal();
        cells.run(60_000);
        assert_eq!(
            cells.starts(host, JOB),
            starts_at_host,
            "seed {seed}: a task started again at the host"
        );
        assert_eq!(cells.record(host, JOB).unwrap()["s"], "c", "seed {seed}: the host has no tombstone");
        assert_eq!(cells.status(ORIGIN, JOB), "done");
        cells.assert_rules_kept();
    }
}

#[test]
fn a_host_whose_controllers_are_gone_for_long_gives_the_job_up() {
    let mut cells = full_origin(2, 90);
    let host = forward_job(&mut cells, 6, 300.0);
    cells.crash_cell(host, 150_000);
    let lost_at = cells.now();
    cells.worlds[ORIGIN].cloud.capacity = 12;
    cells.worlds[ORIGIN].task_duration_ms = 10_000;
    assert!(cells.until(120_000, |cells| cells.running(ORIGIN, JOB) > 0));
    println!(
        "from the loss of the host cell to the first start at the origin: {} ms",
        cells.now() - lost_at
    );
    assert!(cells.until_done(ORIGIN, JOB, 140_000));
    cells.run(90_000);
    assert_eq!(cells.record(host, JOB).unwrap()["s"], "c");
    assert_eq!(cells.starts(ORIGIN, JOB), 6);
    cells.assert_rules_kept();
}

#[test]
fn tasks_that_were_done_at_the_host_are_not_run_again() {
    let mut cells = full_origin(2, 100);
    for world in &mut cells.worlds {
        world.task_duration_ms = 15_000;
    }

    // The host has capacity for four of the twelve tasks at a time.
    cells.worlds[HOST].cloud.capacity = 1;
    cells.accept(ORIGIN, &job(1, "t1", 12, 15.0));
    assert!(cells.until(120_000, |cells| cells.running(HOST, JOB) > 0));

    let some_done = |cells: &Cells| cells.starts(HOST, JOB) > 4;
    assert!(cells.until(120_000, some_done));

    cells.run(1_500);
    cells.partition(ORIGIN, HOST);
    cells.worlds[ORIGIN].cloud.capacity = 12;
    assert!(cells.until_done(ORIGIN, JOB, 240_000));

    let starts_at_origin = cells.starts(ORIGIN, JOB);
    assert!(
        starts_at_origin <= 8,
        "{starts_at_origin} of 12 started at the origin, four were done at the host"
    );
    cells.assert_rules_kept();
}

#[test]
fn a_cancelled_job_ends_in_time_in_another_cell_even_without_messages() {
    for seed in 0..4 {
        let mut cells = full_origin(2, 110 + seed);
        let host = forward_job(&mut cells, 6, 300.0);
        if seed % 2 == 1 {
            cells.partition(ORIGIN, host);
        }
        if seed / 2 == 1 {
            // The host's controllers can't write the cancellation either.
            cells.worlds[host].store.is_down = true;
        }
        assert!(cells.cancel(ORIGIN, JOB));

        cells.run(CANCEL_MS + 1_000);
        assert_eq!(cells.running(host, JOB), 0, "seed {seed}");

        cells.worlds[host].store.is_down = false;
        cells.heal();
        cells.run(60_000);
        assert_eq!(cells.running(host, JOB), 0, "seed {seed}");
        assert_eq!(cells.status(ORIGIN, JOB), "withdrawn");
        cells.assert_rules_kept();
    }
}

#[test]
fn a_one_way_link_failure_runs_no_job_in_two_cells() {
    for (seed, direction) in [(120, (ORIGIN, HOST)), (121, (HOST, ORIGIN))] {
        let mut cells = full_origin(2, seed);
        forward_job(&mut cells, 6, 40.0);
        cells.blocked_directions.insert(direction);
        cells.worlds[ORIGIN].cloud.capacity = 12;
        assert!(cells.until_done(ORIGIN, JOB, 240_000), "{direction:?}");
        cells.heal();
        cells.run(60_000);
        assert_eq!(cells.status(ORIGIN, JOB), "done");
        cells.assert_rules_kept();
    }
}

#[test]
fn the_completion_of_a_hosted_job_survives_the_loss_of_the_hosts_controllers() {
    let mut cells = full_origin(2, 210);
    forward_job(&mut cells, 4, 10.0);
    cells.run(2_000);
    cells.partition(ORIGIN, HOST);
    assert!(cells.until_done(HOST, JOB, 30_000));
    cells.crash_cell(HOST, 500);
    cells.run(4_000);
    cells.heal();
    cells.worlds[ORIGIN].cloud.capacity = 12;
    assert!(cells.until_done(ORIGIN, JOB, 120_000));
    assert_eq!(cells.starts(ORIGIN, JOB), 0);
    assert_each_task_started_once(&cells, JOB, 4);
    cells.assert_rules_kept();
}
