//! Lost, duplicated and delayed messages between cells and writes to the store.

use crate::fixtures::{
    HOST, JOB, ORIGIN, assert_each_task_started_once, forward_job, full_origin, two_forwarded_jobs,
};
use crate::support::cells::Cells;
use crate::support::{CANCEL_MS, job};
use woadlever_cells::message::CellMessage;

#[test]
fn a_delayed_offer_is_not_accepted_after_the_recall() {
    let mut cells = full_origin(2, 130);
    cells.held.insert((ORIGIN, HOST), Vec::new());
    // Only this direction is held back: the origin still learns the free capacity of the host.
    cells.accept(ORIGIN, &job(1, "t1", 4, 10.0));
    assert!(cells.until(60_000, |cells| cells.forwarded_to(ORIGIN, JOB).is_some()));
    cells.worlds[ORIGIN].cloud.capacity = 12;
    // The host does not receive the offer and so does not report the job, which the origin recalls
    // as idle.
    assert!(cells.until_done(ORIGIN, JOB, 240_000), "{:?}", cells.record(ORIGIN, JOB));
    cells.release_held(ORIGIN, HOST);
    cells.run(60_000);
    assert_eq!(cells.starts(HOST, JOB), 0);
    assert_each_task_started_once(&cells, JOB, 4);
    cells.assert_rules_kept();
}

#[test]
fn jobs_complete_despite_lost_messages_and_late_duplicates() {
    for seed in 0..4 {
        let mut cells = full_origin(3, 140 + seed);
        cells.loss_fraction = 0.3;
        cells.duplicate_fraction = 0.3;
        for world in &mut cells.worlds {
            world.task_duration_ms = 15_000;
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
fn jobs_complete_despite_store_writes_applied_late() {
    for seed in 0..4 {
        let mut cells = full_origin(2, 150 + seed);
        for world in &mut cells.worlds {
            world.task_duration_ms = 15_000;
            world.store_faults.lost_answer_share = 0.3;
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
fn a_job_whose_forwarding_write_is_in_flight_is_started_only_once() {
    let mut cells = full_origin(2, 170);
    cells.worlds[ORIGIN].task_duration_ms = 30_000;
    cells.accept(ORIGIN, &job(1, "t1", 4, 30.0));
    cells.hold_writes(ORIGIN, JOB);
    cells.run(20_000);
    assert!(
        cells.worlds[ORIGIN].store_faults.targeted_count > 0,
        "the forwarding write is not in flight"
    );

    cells.worlds[ORIGIN].cloud.capacity = 12;
    cells.run(30_000);
    cells.worlds[ORIGIN].apply_late_writes();
    cells.run(10_000);
    cells.worlds[ORIGIN].store_faults.targeted_writes = None;
    assert!(cells.until_done(ORIGIN, JOB, 240_000), "{:?}", cells.record(ORIGIN, JOB));
    assert_each_task_started_once(&cells, JOB, 4);
    cells.assert_rules_kept();
}

#[test]
fn a_lease_renewed_for_other_jobs_does_not_cover_a_job_with_an_unrecorded_cancellation() {
    let mut cells = two_forwarded_jobs(180);
    cells.hold_writes(HOST, JOB);
    assert!(cells.cancel(ORIGIN, JOB));
    cells.run(CANCEL_MS + 1_000);
    assert!(
        cells.worlds[HOST].store_faults.targeted_count > 0,
        "the cancellation write is not in flight"
    );
    assert_eq!(cells.running(HOST, JOB), 0);
    cells.worlds[HOST].store_faults.targeted_writes = None;
    assert!(
        cells.until(60_000, |cells| cells.running(HOST, "run-000002") == 4),
        "the other job did not keep running"
    );
    cells.assert_rules_kept();
}

#[test]
fn an_acceptance_applied_after_the_recall_starts_nothing() {
    let mut cells = full_origin(2, 190);
    cells.worlds[HOST].task_duration_ms = 400_000;
    cells.accept(ORIGIN, &job(2, "t1", 4, 400.0));
    assert!(cells.until(90_000, |cells| cells.running(HOST, "run-000002") == 4));

    cells.hold_writes(HOST, JOB);
    cells.accept(ORIGIN, &job(1, "t1", 4, 60.0));
    assert!(cells.until(60_000, |cells| cells.forwarded_to(ORIGIN, JOB).is_some()));

    cells.worlds[ORIGIN].cloud.capacity = 12;
    cells.worlds[ORIGIN].task_duration_ms = 60_000;
    assert!(
        cells.until(240_000, |cells| cells.running(ORIGIN, JOB) == 4),
        "the origin did not recall and run the job"
    );
    assert!(cells.worlds[HOST].store_faults.targeted_count > 0);

    // The host now has a live record of the job and a valid lease, and can't write the
    // cancellation.
    cells.worlds[HOST].apply_late_writes();
    cells.run(20_000);
    assert_eq!(cells.starts(HOST, JOB), 0);

    cells.worlds[HOST].store_faults.targeted_writes = None;
    assert!(cells.until_done(ORIGIN, JOB, 120_000));
    cells.assert_rules_kept();
}

#[test]
fn a_late_duplicate_of_a_refused_offer_is_not_accepted() {
    let mut cells = full_origin(2, 200);
    cells.worlds[ORIGIN].cloud.boot_ms = 500..1_000;
    for world in &mut cells.worlds {
        world.task_duration_ms = 60_000;
    }

    // The team uses its whole quota in the host cell.
    cells.accept(HOST, &job(8, "t1", 16, 60.0));
    assert!(cells.until(60_000, |cells| cells.running(HOST, "run-000008") == 16));

    cells.recorded = Some(((ORIGIN, HOST), Vec::new()));
    cells.accept(ORIGIN, &job(1, "t1", 4, 60.0));
    let is_returned =
        |cells: &Cells| cells.record(ORIGIN, JOB).is_some_and(|record| record["f"]["p"] == "b");
    assert!(cells.until(60_000, is_returned), "the job was not refused and returned");

    let recorded = cells.recorded.take().unwrap().1;
    let offer =
        recorded.iter().find(|message| message.forwarded.jobs.iter().any(|job| job.spec.is_some()));
    let offer = offer.unwrap().clone();
    cells.worlds[ORIGIN].cloud.capacity = 12;

    // Frees capacity at the host and elects a new leader there that has received no message, then
    // delivers the late duplicate.
    assert!(cells.cancel(HOST, "run-000008"));

    cells.partition(ORIGIN, HOST);
    let leader = cells.worlds[HOST].leader().unwrap();
    cells.worlds[HOST].crash(leader, 500);
    cells.run(4_500);
    for _ in 0..6 {
        cells.deliver_duplicate(HOST, offer.clone());
        cells.run(1_000);
    }
    assert_eq!(
        cells.record(HOST, JOB).unwrap()["s"],
        "c",
        "a duplicate of an earlier epoch was accepted"
    );
    assert_eq!(cells.starts(HOST, JOB), 0);

    // A new offer of the job may be accepted.
    cells.heal();
    assert!(cells.until_done(ORIGIN, JOB, 240_000));
    assert_each_task_started_once(&cells, JOB, 4);
    cells.assert_rules_kept();
}

#[test]
fn a_late_message_sent_before_the_offer_does_not_stop_a_running_job() {
    let mut cells = full_origin(2, 250);
    cells.recorded = Some(((ORIGIN, HOST), Vec::new()));
    forward_job(&mut cells, 4, 60.0);
    let epoch = cells.record(ORIGIN, JOB).unwrap()["f"]["e"].as_u64().unwrap();
    let recorded = cells.recorded.take().unwrap().1;

    // A message sent when the origin had accepted the job but not yet forwarded it.
    let is_before_offer =
        |message: &&CellMessage| message.revision > epoch && message.forwarded.jobs.is_empty();
    let late_message = recorded.iter().rfind(is_before_offer).unwrap().clone();
    cells.partition(ORIGIN, HOST);
    let leader = cells.worlds[HOST].leader().unwrap();
    cells.worlds[HOST].crash(leader, 500);
    cells.run(5_000);
    for _ in 0..3 {
        cells.deliver_duplicate(HOST, late_message.clone());
        cells.run(1_000);
    }
    assert_eq!(cells.record(HOST, JOB).unwrap()["s"], "l");

    cells.heal();
    assert!(cells.until_done(ORIGIN, JOB, 120_000));
    assert_each_task_started_once(&cells, JOB, 4);
    cells.assert_rules_kept();
}
