//! Cells that share load: a whole job moves to another cell and runs exactly once, through
//! the loss of controllers, of whole cells and of messages between them.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod support;

use support::cells::Cells;
use support::job;
use woadlever::config::Operator;
use woadlever_cells::message::CellMessage;

const ORIGIN: usize = 0;
const HOST: usize = 1;
const OTHER: usize = 2;
const JOB: &str = "run-000001";

/// Cells of which the first can rent nothing.
fn full_origin(count: usize, seed: u64) -> Cells {
    let mut cells = Cells::new(count, seed);
    cells.worlds[ORIGIN].cloud.capacity = 0;
    cells.run(8_000);
    cells
}

/// A job of the full cell that has begun to run in another one, whose number is told.
fn spilled(cells: &mut Cells, tasks: u32, run_s: f64) -> usize {
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
fn assert_each_task_started_once(cells: &Cells, id: &str, tasks: u32) {
    let starts: u32 = (0..cells.worlds.len()).map(|cell| cells.starts(cell, id)).sum();
    assert_eq!(starts, tasks, "starts of {id}");
}

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
fn nothing_moves_while_there_is_room_at_home() {
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
        assert!(cells.record(other, JOB).is_none(), "seed {seed}: the other cell never heard of it");
        assert_each_task_started_once(&cells, JOB, 6);
        cells.assert_rules_kept();
    }
}

#[test]
fn all_controllers_of_the_origin_are_lost_and_the_job_goes_on() {
    for seed in 0..4 {
        let mut cells = full_origin(2, 40 + seed);
        spilled(&mut cells, 6, 30.0);
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
        let host = spilled(&mut cells, 6, 30.0);
        cells.crash_cell(host, 3_000);
        assert!(cells.until_done(ORIGIN, JOB, 120_000), "seed {seed}");
        assert_each_task_started_once(&cells, JOB, 6);
        cells.assert_rules_kept();
    }
}

#[test]
fn the_leaders_of_both_cells_are_killed_at_every_step_of_a_move() {
    // The job is offered about ten seconds after its acceptance; what follows takes some
    // steps of a quarter of a second each.
    for step in 0..12 {
        let mut cells = full_origin(2, 60 + step);
        cells.worlds[HOST].run_ms = 20_000;
        cells.accept(ORIGIN, &job(1, "t1", 4, 20.0));
        cells.until(30_000, |cells| cells.forwarded_to(ORIGIN, JOB).is_some());
        cells.run(step * 100);
        for cell in [ORIGIN, HOST] {
            let leader = cells.worlds[cell].leader().unwrap_or(0);
            cells.worlds[cell].crash(leader, 500 + step * 300);
        }
        let is_over_or_recalled = |cells: &Cells| {
            let record = cells.record(ORIGIN, JOB).unwrap();
            record["s"] == "d" || record["f"]["p"] == "r" || record["f"]["p"] == "b"
        };
        assert!(cells.until(240_000, is_over_or_recalled), "step {step}");
        assert_eq!(cells.record(ORIGIN, JOB).unwrap()["s"], "d", "step {step}: not taken back");
        assert!(cells.until_done(ORIGIN, JOB, 240_000), "step {step}: {:?}", cells.record(ORIGIN, JOB));
        assert_each_task_started_once(&cells, JOB, 4);
        cells.assert_rules_kept();
    }
}

#[test]
fn messages_that_reach_a_leader_before_it_has_read_the_records_do_no_harm() {
    for cell in [ORIGIN, HOST] {
        let mut cells = full_origin(2, 75);
        spilled(&mut cells, 6, 40.0);
        // Reading takes some seconds, and messages come twice a second.
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
        let host = spilled(&mut cells, 6, 300.0);
        // The host goes on inside, workers and all; nobody outside hears of it.
        cells.part(ORIGIN, host);
        cells.worlds[ORIGIN].cloud.capacity = 12;
        cells.worlds[ORIGIN].run_ms = 10_000;
        assert!(cells.until(60_000, |cells| cells.running(host, JOB) == 0), "the lease ends");
        assert!(cells.until_done(ORIGIN, JOB, 180_000), "seed {seed}");
        assert_eq!(cells.starts(ORIGIN, JOB), 6, "seed {seed}");
        let at_host = cells.starts(host, JOB);
        cells.join();
        cells.run(60_000);
        assert_eq!(cells.starts(host, JOB), at_host, "seed {seed}: nothing starts again at the host");
        assert_eq!(cells.record(host, JOB).unwrap()["s"], "c", "seed {seed}: a tombstone is left");
        assert_eq!(cells.status(ORIGIN, JOB), "done");
        cells.assert_rules_kept();
    }
}

#[test]
fn a_host_whose_controllers_are_gone_for_long_gives_the_job_up() {
    let mut cells = full_origin(2, 90);
    let host = spilled(&mut cells, 6, 300.0);
    cells.crash_cell(host, 150_000);
    let lost_at = cells.now();
    cells.worlds[ORIGIN].cloud.capacity = 12;
    cells.worlds[ORIGIN].run_ms = 10_000;
    assert!(cells.until(120_000, |cells| cells.running(ORIGIN, JOB) > 0));
    println!("from the loss of the host cell to the first start at home: {} ms", cells.now() - lost_at);
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
        world.run_ms = 15_000;
    }
    // Room for four tasks of twelve at a time.
    cells.worlds[HOST].cloud.capacity = 1;
    cells.accept(ORIGIN, &job(1, "t1", 12, 15.0));
    assert!(cells.until(120_000, |cells| cells.running(HOST, JOB) > 0));
    let some_done = |cells: &Cells| cells.starts(HOST, JOB) > 4;
    assert!(cells.until(120_000, some_done));
    cells.run(1_500);
    cells.part(ORIGIN, HOST);
    cells.worlds[ORIGIN].cloud.capacity = 12;
    assert!(cells.until_done(ORIGIN, JOB, 240_000));
    let at_origin = cells.starts(ORIGIN, JOB);
    assert!(at_origin <= 8, "{at_origin} of 12 started at the origin, four were done at the host");
    cells.assert_rules_kept();
}

#[test]
fn a_cancellation_reaches_tasks_in_another_cell_in_time_even_if_no_message_does() {
    for seed in 0..4 {
        let mut cells = full_origin(2, 110 + seed);
        let host = spilled(&mut cells, 6, 300.0);
        if seed % 2 == 1 {
            cells.part(ORIGIN, host);
        }
        if seed / 2 == 1 {
            // The host's controllers can't write the cancellation either.
            cells.worlds[host].store.down = true;
        }
        assert!(cells.cancel(ORIGIN, JOB));
        cells.run(support::CANCEL_MS + 1_000);
        assert_eq!(cells.running(host, JOB), 0, "seed {seed}");
        cells.worlds[host].store.down = false;
        cells.join();
        cells.run(60_000);
        assert_eq!(cells.running(host, JOB), 0, "seed {seed}");
        assert_eq!(cells.status(ORIGIN, JOB), "withdrawn");
        cells.assert_rules_kept();
    }
}

#[test]
fn a_link_that_fails_one_way_moves_nothing_twice() {
    for (seed, way) in [(120, (ORIGIN, HOST)), (121, (HOST, ORIGIN))] {
        let mut cells = full_origin(2, seed);
        spilled(&mut cells, 6, 40.0);
        cells.cut.insert(way);
        cells.worlds[ORIGIN].cloud.capacity = 12;
        assert!(cells.until_done(ORIGIN, JOB, 240_000), "{way:?}");
        cells.join();
        cells.run(60_000);
        assert_eq!(cells.status(ORIGIN, JOB), "done");
        cells.assert_rules_kept();
    }
}

#[test]
fn an_offer_that_was_held_up_is_not_accepted_after_the_recall() {
    let mut cells = full_origin(2, 130);
    cells.held.insert((ORIGIN, HOST), Vec::new());
    // The origin has heard what the host has room for.
    cells.accept(ORIGIN, &job(1, "t1", 4, 10.0));
    assert!(cells.until(60_000, |cells| cells.forwarded_to(ORIGIN, JOB).is_some()));
    cells.worlds[ORIGIN].cloud.capacity = 12;
    // The host hears nothing, says nothing of the job, and is recalled for being idle.
    assert!(cells.until_done(ORIGIN, JOB, 240_000), "{:?}", cells.record(ORIGIN, JOB));
    cells.let_go(ORIGIN, HOST);
    cells.run(60_000);
    assert_eq!(cells.starts(HOST, JOB), 0);
    assert_each_task_started_once(&cells, JOB, 4);
    cells.assert_rules_kept();
}

#[test]
fn lost_messages_and_late_copies_do_no_harm() {
    for seed in 0..4 {
        let mut cells = full_origin(3, 140 + seed);
        cells.loss = 0.3;
        cells.late_copies = 0.3;
        for world in &mut cells.worlds {
            world.run_ms = 15_000;
        }
        for id in 1..=6 {
            cells.accept(ORIGIN, &job(id, "t1", 4, 15.0));
        }
        for cell in 0..3 {
            let leader = cells.worlds[cell].leader().unwrap_or(0);
            cells.worlds[cell].crash(leader, 1_000);
            cells.run(4_000);
        }
        for id in 1..=6 {
            let id = format!("run-{id:06}");
            assert!(cells.until_done(ORIGIN, &id, 300_000), "seed {seed} {id}");
        }
        cells.run(100_000);
        cells.assert_rules_kept();
    }
}

#[test]
fn writes_that_are_carried_out_late_do_no_harm() {
    for seed in 0..4 {
        let mut cells = full_origin(2, 150 + seed);
        for world in &mut cells.worlds {
            world.run_ms = 15_000;
            world.store_faults.loss = 0.3;
        }
        for id in 1..=4 {
            cells.accept(ORIGIN, &job(id, "t1", 4, 15.0));
        }
        cells.run(20_000);
        cells.worlds[ORIGIN].cloud.capacity = 4;
        for id in 1..=4 {
            let id = format!("run-{id:06}");
            assert!(cells.until_done(ORIGIN, &id, 400_000), "seed {seed} {id}");
        }
        cells.assert_rules_kept();
    }
}

#[test]
fn a_forwarding_whose_write_is_under_way_leaves_the_job_to_nobody_else() {
    let mut cells = full_origin(2, 170);
    cells.worlds[ORIGIN].run_ms = 30_000;
    cells.accept(ORIGIN, &job(1, "t1", 4, 30.0));
    cells.hold_writes(ORIGIN, JOB);
    cells.run(20_000);
    assert!(cells.worlds[ORIGIN].store_faults.picked > 0, "the forwarding is under way");
    cells.worlds[ORIGIN].cloud.capacity = 12;
    cells.run(30_000);
    cells.worlds[ORIGIN].carry_out_late();
    cells.run(10_000);
    cells.worlds[ORIGIN].store_faults.pick = None;
    assert!(cells.until_done(ORIGIN, JOB, 240_000), "{:?}", cells.record(ORIGIN, JOB));
    assert_each_task_started_once(&cells, JOB, 4);
    cells.assert_rules_kept();
}

/// Two jobs of the full origin that run in the other cell, the first for long.
fn two_spilled(seed: u64) -> Cells {
    let mut cells = full_origin(2, seed);
    cells.worlds[HOST].run_ms = 300_000;
    cells.accept(ORIGIN, &job(1, "t1", 4, 300.0));
    cells.accept(ORIGIN, &job(2, "t1", 4, 300.0));
    let both_run =
        |cells: &Cells| cells.running(HOST, JOB) == 4 && cells.running(HOST, "run-000002") == 4;
    assert!(cells.until(120_000, both_run));
    cells
}

#[test]
fn a_lease_for_other_jobs_does_not_carry_one_whose_withdrawal_is_not_on_record() {
    let mut cells = two_spilled(180);
    cells.hold_writes(HOST, JOB);
    assert!(cells.cancel(ORIGIN, JOB));
    cells.run(support::CANCEL_MS + 1_000);
    assert!(cells.worlds[HOST].store_faults.picked > 0, "the withdrawal is under way");
    assert_eq!(cells.running(HOST, JOB), 0);
    cells.worlds[HOST].store_faults.pick = None;
    assert!(cells.until(60_000, |cells| cells.running(HOST, "run-000002") == 4), "the other goes on");
    cells.assert_rules_kept();
}

#[test]
fn an_acceptance_that_is_carried_out_after_the_recall_starts_nothing() {
    let mut cells = full_origin(2, 190);
    cells.worlds[HOST].run_ms = 400_000;
    cells.accept(ORIGIN, &job(2, "t1", 4, 400.0));
    assert!(cells.until(90_000, |cells| cells.running(HOST, "run-000002") == 4));
    cells.hold_writes(HOST, JOB);
    cells.accept(ORIGIN, &job(1, "t1", 4, 60.0));
    assert!(cells.until(60_000, |cells| cells.forwarded_to(ORIGIN, JOB).is_some()));
    cells.worlds[ORIGIN].cloud.capacity = 12;
    cells.worlds[ORIGIN].run_ms = 60_000;
    assert!(cells.until(240_000, |cells| cells.running(ORIGIN, JOB) == 4), "taken back");
    assert!(cells.worlds[HOST].store_faults.picked > 0);
    // Now the host has a live record of it, a valid lease, and can't write the cancellation.
    cells.worlds[HOST].carry_out_late();
    cells.run(20_000);
    assert_eq!(cells.starts(HOST, JOB), 0);
    cells.worlds[HOST].store_faults.pick = None;
    assert!(cells.until_done(ORIGIN, JOB, 120_000));
    cells.assert_rules_kept();
}

#[test]
fn an_offer_that_was_refused_is_not_accepted_when_its_copy_comes_late() {
    let mut cells = full_origin(2, 200);
    cells.worlds[ORIGIN].cloud.boot_ms = 500..1_000;
    for world in &mut cells.worlds {
        world.run_ms = 60_000;
    }
    // The team is at its limit in the host cell.
    cells.accept(HOST, &job(8, "t1", 16, 60.0));
    assert!(cells.until(60_000, |cells| cells.running(HOST, "run-000008") == 16));
    cells.recorded = Some(((ORIGIN, HOST), Vec::new()));
    cells.accept(ORIGIN, &job(1, "t1", 4, 60.0));
    let is_back = |cells: &Cells| cells.record(ORIGIN, JOB).is_some_and(|r| r["f"]["p"] == "b");
    assert!(cells.until(60_000, is_back), "refused and recalled");
    let recorded = cells.recorded.take().unwrap().1;
    let offer =
        recorded.iter().find(|message| message.forwarded.jobs.iter().any(|job| job.spec.is_some()));
    let offer = offer.unwrap().clone();
    cells.worlds[ORIGIN].cloud.capacity = 12;
    // Room at the host, a new leader that has heard nothing, and then the late copy.
    assert!(cells.cancel(HOST, "run-000008"));
    cells.part(ORIGIN, HOST);
    let leader = cells.worlds[HOST].leader().unwrap();
    cells.worlds[HOST].crash(leader, 500);
    cells.run(4_500);
    for _ in 0..6 {
        cells.repeat(HOST, offer.clone());
        cells.run(1_000);
    }
    assert_eq!(cells.record(HOST, JOB).unwrap()["s"], "c", "the copy is of a former epoch");
    assert_eq!(cells.starts(HOST, JOB), 0);
    // Offered anew, it may well be taken.
    cells.join();
    assert!(cells.until_done(ORIGIN, JOB, 240_000));
    assert_each_task_started_once(&cells, JOB, 4);
    cells.assert_rules_kept();
}

#[test]
fn a_cell_that_cannot_run_a_job_at_all_does_not_keep_others_out() {
    let mut cells = full_origin(2, 230);
    for world in &mut cells.worlds {
        world.run_ms = 5_000;
    }
    // The other cell has no team t0, which its room does not tell.
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
    // The team is at its limit in the host cell for some tens of seconds.
    cells.accept(HOST, &job(8, "t1", 16, 20.0));
    assert!(cells.until(60_000, |cells| cells.running(HOST, "run-000008") == 16));
    cells.accept(ORIGIN, &job(1, "t1", 4, 20.0));
    let is_back = |cells: &Cells| cells.record(ORIGIN, JOB).is_some_and(|r| r["f"]["p"] == "b");
    assert!(cells.until(60_000, is_back), "refused and recalled");
    assert!(cells.until_done(ORIGIN, JOB, 180_000), "{:?}", cells.record(ORIGIN, JOB));
    assert_eq!(cells.starts(HOST, JOB), 4);
    assert_each_task_started_once(&cells, JOB, 4);
    cells.assert_rules_kept();
}

#[test]
fn a_late_message_from_before_the_offer_does_not_take_a_running_job_away() {
    let mut cells = full_origin(2, 250);
    cells.recorded = Some(((ORIGIN, HOST), Vec::new()));
    spilled(&mut cells, 4, 60.0);
    let epoch = cells.record(ORIGIN, JOB).unwrap()["f"]["e"].as_u64().unwrap();
    let recorded = cells.recorded.take().unwrap().1;
    // The job was accepted when this was sent, and not forwarded yet.
    let is_before = |m: &&CellMessage| m.revision > epoch && m.forwarded.jobs.is_empty();
    let before = recorded.iter().rfind(is_before).unwrap().clone();
    cells.part(ORIGIN, HOST);
    let leader = cells.worlds[HOST].leader().unwrap();
    cells.worlds[HOST].crash(leader, 500);
    cells.run(5_000);
    for _ in 0..3 {
        cells.repeat(HOST, before.clone());
        cells.run(1_000);
    }
    assert_eq!(cells.record(HOST, JOB).unwrap()["s"], "l");
    cells.join();
    assert!(cells.until_done(ORIGIN, JOB, 120_000));
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
    assert_eq!(cells.record(HOST, JOB).unwrap()["s"], "l", "the host has heard nothing");
    cells.run(700_000);
    assert_eq!(cells.record(HOST, JOB).unwrap()["s"], "c");
    assert_eq!(cells.starts(HOST, JOB), 4);
    cells.assert_rules_kept();
}

#[test]
fn the_end_of_a_job_is_not_lost_with_the_hosts_controllers() {
    let mut cells = full_origin(2, 210);
    spilled(&mut cells, 4, 10.0);
    cells.run(2_000);
    cells.part(ORIGIN, HOST);
    assert!(cells.until_done(HOST, JOB, 30_000));
    cells.crash_cell(HOST, 500);
    cells.run(4_000);
    cells.join();
    cells.worlds[ORIGIN].cloud.capacity = 12;
    assert!(cells.until_done(ORIGIN, JOB, 120_000));
    assert_eq!(cells.starts(ORIGIN, JOB), 0);
    assert_each_task_started_once(&cells, JOB, 4);
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
    let request = cells.worlds[host].ask(0, woadlever::core::HttpRequest::Cancel(JOB.into()));
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
