//! Takeover of the state that the version in production left, and lowered limits of the store, while
//! machines run tasks.

use crate::fixtures::{ANNOUNCED_LIMITS, id, stage, submit, world};
use crate::support::store::StoredRecord;
use crate::support::{World, ZONES, job};
use serde_json::{Value, json};
use std::collections::HashSet;
use woadlever::wire::peer::Frame;
use woadlever::wire::store::{JobRecord, JobState};

/// Advances the simulated time and asserts that each task on a machine is on a placement record
/// throughout.
fn run_with_all_tasks_recorded(world: &mut World, duration_ms: u64) {
    let end = world.now + duration_ms;
    while world.now < end {
        world.run(50);
        let unrecorded = world.unrecorded_tasks();
        assert!(
            unrecorded.is_empty(),
            "{} ms: on no placement record: {:?}",
            world.now,
            &unrecorded[..unrecorded.len().min(5)]
        );
    }
}

/// Returns the length of the longest value under a prefix, in bytes.
fn longest_value(world: &World, prefix: &str) -> usize {
    let records = world.store.records_under(prefix);
    records.map(|(_, record)| record.value.to_string().len()).max().unwrap_or(0)
}

/// The state that the version in production left is taken over, and split to fit the announced
/// limits before they come into force; no task is lost or run twice.
#[test]
fn production_state_is_taken_over_and_split_to_fit_the_limits() {
    for (seed, limits_first) in [(20, false), (21, true)] {
        let mut world = World::from_production(seed, ANNOUNCED_LIMITS);
        assert!(longest_value(&world, "place/") > 5_000);

        let earlier_starts = world.oracle.starts.len();

        // The limits may come into force first, while the long records still exist.
        if limits_first {
            world.lower_store_limits();
        }
        run_with_all_tasks_recorded(&mut world, 6_000);

        // A shard owner crashes while it splits its records.
        let shard_owner = (world.leader().unwrap() + 1) % 3;
        world.crash(shard_owner, 2_000);
        run_with_all_tasks_recorded(&mut world, 12_000);
        assert!(longest_value(&world, "place/") <= 2_048, "{} bytes", longest_value(&world, "place/"));

        if !limits_first {
            world.lower_store_limits();
        }
        for node in 0..3 {
            world.crash(node, 3_000);
        }
        run_with_all_tasks_recorded(&mut world, 30_000);

        // Ten tasks of the largest job were left to start.
        assert_eq!(world.oracle.starts.len(), earlier_starts + 10);
        assert!(world.each_task_started_once());

        for number in 0..30 {
            assert_eq!(world.status(number as usize % 3, &id(number)), "running");
        }
        assert_eq!(world.status(0, &id(78)), "withdrawn");

        // A job that depends on jobs of the production version completes.
        world.accept(1, &stage(90, &[0, 3]));
        assert!(world.until_done(&id(90), 400_000));

        // A job of 40,000 tasks completes, nearly all of which the production version recorded as
        // done in records that are now longer than the limit.
        assert!(world.until_done(&id(77), 200_000));

        world.run(5_000);
        assert!(world.store.records_under("progress/").next().is_none(), "progress records left behind");

        let rejected = world.store.rejected.len();
        assert!(rejected <= 4, "{rejected} values rejected as too long: {:?}", world.store.rejected);
        world.assert_rules_kept();
    }
}

/// A shard owner crashes while attempts are both on the placement record that they are moved from
/// and on the one that they are moved to: the next owner counts each of them once.
#[test]
fn an_attempt_on_two_placement_records_counts_once() {
    let mut world = World::from_production(26, ANNOUNCED_LIMITS);
    world.lower_store_limits();
    let count_duplicates = |world: &World| {
        let mut seen = HashSet::new();
        let records = world.store.records_under("place/");
        let ids = records.flat_map(|(_, record)| {
            let base = record.value["b"].as_u64().unwrap();
            let rows = record.value["m"].as_array().unwrap().clone();
            rows.into_iter().flat_map(move |row| {
                let attempts = row[3].as_array().unwrap().clone();
                let attempt_id = |attempt: &[Value]| base + attempt[2].as_u64().unwrap();
                attempts.chunks(3).map(attempt_id).collect::<Vec<_>>()
            })
        });
        ids.filter(|id| !seen.insert(*id)).count()
    };
    while count_duplicates(&world) == 0 {
        world.run(25);
        assert!(world.now < 120_000, "no attempt was ever on two records");
    }
    for node in 0..3 {
        world.crash(node, 1_000);
    }
    run_with_all_tasks_recorded(&mut world, 30_000);
    assert_eq!(count_duplicates(&world), 0, "attempts are still on two records");
    assert!(world.each_task_started_once());
    world.assert_rules_kept();
}

/// Returns the name of a machine that is being terminated.
fn terminating_machine(index: usize) -> String {
    format!("host-{:06}", 1_000 + 2 * index)
}

/// Terminating machines too are on a placement record at all times: otherwise a later shard owner
/// could use a machine whose termination is still in flight.
#[test]
fn terminating_machines_stay_recorded_while_a_long_record_is_split() {
    for (seed, machine_count, loss) in [(27, 40, 0.0), (28, 90, 0.4)] {
        let mut world = World::from_production(seed, ANNOUNCED_LIMITS);
        world.store_faults.lost_answer_share = loss;
        let key = "place/east.0/0";
        let record = world.store.records.get_mut(key).unwrap();
        for index in 0..machine_count {
            let row = json!([terminating_machine(index), 0, 4, []]);
            record.value["m"].as_array_mut().unwrap().push(row);
        }

        // While the cloud is down the machines can't be terminated.
        world.cloud.is_down = true;
        world.lower_store_limits();
        let count_recorded = |world: &World| {
            let records = world.store.records_under("place/east");
            let rows = records.flat_map(|(_, record)| record.value["m"].as_array().unwrap().clone());
            let terminating: HashSet<String> = rows
                .filter(|row| row[2].as_u64().unwrap() & 4 != 0)
                .map(|row| row[0].as_str().unwrap().to_string())
                .collect();
            (0..machine_count).filter(|index| terminating.contains(&terminating_machine(*index))).count()
        };
        for _ in 0..1_200 {
            world.run(25);
            assert_eq!(count_recorded(&world), machine_count, "at {} ms", world.now);
        }
        world.store_faults.lost_answer_share = 0.0;
        world.run(30_000);
        assert!(longest_value(&world, "place/") <= 2_048, "{} bytes", longest_value(&world, "place/"));
        assert!(world.unrecorded_tasks().is_empty());
        world.assert_rules_kept();
    }
}

/// A job of the maximum number of tasks is recorded, resumed and finished under the lowest limits,
/// and leaves no progress record behind.
#[test]
fn a_job_of_many_tasks_completes_when_the_limits_are_lowered() {
    let mut world = World::with_announced_limits(3, 22, ANNOUNCED_LIMITS);
    world.cloud.capacity = 0;
    world.task_duration_ms = 300;
    world.run(5_000);

    for number in 0..4 {
        world.add_worker(number, ZONES[number % 2], false, 100);
    }
    world.run(3_000);
    let mut submission = job(1, "t1", 100_000, 1.0);
    submission["cores"] = json!(0.25);
    submission["memory_gb"] = json!(0.25);
    world.accept(0, &submission);
    world.run(15_000);
    let count_progress_records = |world: &World| world.store.records_under("progress/").count();
    assert_eq!(count_progress_records(&world), 1);

    // The first 97,920 tasks are recorded as done. Segments 0 to 4 have all bits set and so their
    // maximum length of 4,096 digits, because only trailing zeros are omitted. Segment 5 has 4,000
    // digits.
    let full = "ff".repeat(2_048);
    for segment in 0..6 {
        world.store.revision += 1;
        let bits = if segment == 5 { &full[..4_000] } else { &full };
        let record = StoredRecord { value: json!(bits), version: world.store.revision, lease: None };
        world.store.records.insert(format!("progress/{}/{segment}", id(1)), record);
    }
    for task in 0..98_000u32 {
        world.oracle.starts.entry(format!("{}/{task}", id(1))).or_insert(1);
    }
    for node in 0..3 {
        world.crash(node, 500);
    }
    world.run(4_000);
    world.lower_store_limits();
    world.run(8_000);
    let leader = world.leader().unwrap();
    world.crash(leader, 1_000);
    assert!(world.until_done(&id(1), 200_000));

    world.run(5_000);
    assert_eq!(count_progress_records(&world), 0, "progress records left behind");
    assert!(world.store.rejected.len() <= 3, "{:?}", world.store.rejected);
    world.assert_rules_kept();
}

/// A catalog that is too long for one record under the new limits is stored in several, and every
/// user API knows all machine types after a restart.
#[test]
fn a_long_catalog_is_stored_in_several_records() {
    let mut world = World::with_announced_limits(3, 23, ANNOUNCED_LIMITS);
    world.lower_store_limits();
    world.cloud.more_types = 30;
    world.run(20_000);
    assert!(longest_value(&world, "w/catalog") <= 2_048);

    for node in 0..3 {
        world.crash(node, 500);
    }
    world.cloud.is_down = true;
    world.run(6_000);
    let mut submission = job(1, "t1", 1, 5.0);
    submission["hulltypes"] = json!(["tiny29"]);
    submission["cores"] = json!(1.0);
    submission["memory_gb"] = json!(1.0);
    assert_eq!(submit(&mut world, 1, &submission).0, 201);
    assert!(world.store.rejected.len() <= 1, "{:?}", world.store.rejected);
    world.assert_rules_kept();
}

/// Frames and records written by the version in production can be read, and what this version writes
/// while the other may still run has the same layout.
#[test]
fn production_frames_and_records_are_read_and_written_unchanged() {
    for line in include_str!("../fixtures/frames.hex").lines() {
        let byte = |start: usize| u8::from_str_radix(&line[start..start + 2], 16).unwrap();
        let bytes: Vec<u8> = (0..line.len()).step_by(2).map(byte).collect();
        let frame: Frame = bitcode::decode(&bytes).expect("a frame of the production version");
        assert_eq!(bitcode::encode(&frame), bytes);
    }
    let fixture: Value = serde_json::from_str(include_str!("../fixtures/production.json")).unwrap();
    let mut live = 0;
    for entry in fixture["keys"]
        .as_array()
        .unwrap()
        .iter()
        .filter(|entry| entry[0].as_str().unwrap().contains("w/job"))
    {
        let record: JobRecord =
            serde_json::from_value(entry[1].clone()).expect("a record of the production version");
        assert_eq!(serde_json::to_value(&record).unwrap(), entry[1], "not written back unchanged");

        live += usize::from(record.state == JobState::Live);
    }
    assert_eq!(live, 31);

    // A leader of the production version finds no specification in the record of a job that
    // awaits others, and so can't start the job.
    let mut world = world(24);
    world.accept(0, &stage(1, &[]));
    world.accept(0, &stage(2, &[1]));
    let record = |number: u32| world.store.job(&id(number)).unwrap().clone();
    assert!(record(1)["j"].is_object() && record(1).get("w").is_none() && record(1).get("p").is_none());
    assert!(record(2).get("j").is_none() && record(2)["p"].is_object() && record(2)["s"] == "l");
}
