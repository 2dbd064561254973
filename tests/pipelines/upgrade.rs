//! What the version in production left, and limits of the store that are lowered, while
//! machines serve.

use crate::fixtures::{ANNOUNCED_LIMITS, id, stage, submit, world};
use crate::support::store::StoredRecord;
use crate::support::{World, ZONES, job};
use serde_json::{Value, json};
use std::collections::HashSet;
use woadlever::wire::peer::Frame;
use woadlever::wire::store::{JobRecord, JobState};

/// Lets the time pass, and ends the test if a task is on no placement record at any moment.
fn run_always_on_record(world: &mut World, duration_ms: u64) {
    let end = world.now + duration_ms;
    while world.now < end {
        world.run(50);
        let off_record = world.off_record();
        assert!(
            off_record.is_empty(),
            "{}: on no record: {:?}",
            world.now,
            &off_record[..off_record.len().min(5)]
        );
    }
}

/// Length of the longest value under a prefix, in bytes.
fn longest_value(world: &World, prefix: &str) -> usize {
    let records = world.store.records_under(prefix);
    records.map(|(_, record)| record.value.to_string().len()).max().unwrap_or(0)
}

/// What the version in production left is taken over, and split to fit the announced limits
/// before they come into force; nothing is lost or done twice.
#[test]
fn what_production_left_is_taken_up_and_brought_under_the_limits() {
    for (seed, first) in [(20, false), (21, true)] {
        let mut world = World::from_production(seed, ANNOUNCED_LIMITS);
        assert!(longest_value(&world, "place/") > 5_000);

        let running = world.oracle.starts.len();

        // The limits may come first, while the long records are there.
        if first {
            world.lower_store_limits();
        }
        run_always_on_record(&mut world, 6_000);

        // A shard owner is lost while it splits its records.
        let victim = (world.leader().unwrap() + 1) % 3;
        world.crash(victim, 2_000);
        run_always_on_record(&mut world, 12_000);
        assert!(longest_value(&world, "place/") <= 2_048, "{} bytes", longest_value(&world, "place/"));

        if !first {
            world.lower_store_limits();
        }
        for node in 0..3 {
            world.crash(node, 3_000);
        }
        run_always_on_record(&mut world, 30_000);

        // Of the largest job ten tasks were left.
        assert_eq!(world.oracle.starts.len(), running + 10);
        assert!(world.each_task_started_once());

        for number in 0..30 {
            assert_eq!(world.status(number as usize % 3, &id(number)), "running");
        }
        assert_eq!(world.status(0, &id(78)), "withdrawn");

        // A job that awaits one of production's, which completes.
        world.accept(1, &stage(90, &[0, 3]));
        assert!(world.until_done(&id(90), 400_000));

        // A job of 40,000 tasks, nearly all on record as done by production, in
        // records longer than the limit by now.
        assert!(world.until_done(&id(77), 200_000));

        world.run(5_000);
        assert!(world.store.records_under("progress/").next().is_none(), "records left behind");

        let long = world.store.rejected.len();
        assert!(long <= 4, "{long} times too long: {:?}", world.store.rejected);
        world.assert_rules_kept();
    }
}

/// A shard owner is lost at the very moment at which attempts are both on the placement
/// record that they leave and on the one that they move to: the next owner counts them once.
#[test]
fn an_attempt_on_two_records_is_one() {
    let mut world = World::from_production(26, ANNOUNCED_LIMITS);
    world.lower_store_limits();
    let twice = |world: &World| {
        let mut seen = HashSet::new();
        let records = world.store.records_under("place/");
        let ids = records.flat_map(|(_, record)| {
            let base = record.value["b"].as_u64().unwrap();
            let rows = record.value["m"].as_array().unwrap().clone();
            rows.into_iter().flat_map(move |row| {
                let attempts = row[3].as_array().unwrap().clone();
                let number = |attempt: &[Value]| base + attempt[2].as_u64().unwrap();
                attempts.chunks(3).map(number).collect::<Vec<_>>()
            })
        });
        ids.filter(|id| !seen.insert(*id)).count()
    };
    while twice(&world) == 0 {
        world.run(25);
        assert!(world.now < 120_000, "nothing was ever moved");
    }
    for node in 0..3 {
        world.crash(node, 1_000);
    }
    run_always_on_record(&mut world, 30_000);
    assert_eq!(twice(&world), 0, "listed twice for good");
    assert!(world.each_task_started_once());
    world.assert_rules_kept();
}

/// The name of a machine that is being terminated.
fn terminating_machine(index: usize) -> String {
    format!("host-{:06}", 1_000 + 2 * index)
}

/// Terminating machines are on a record at any moment too: without it a later shard owner
/// could use one whose return is still carried out.
#[test]
fn machines_on_their_way_back_stay_on_record_while_a_long_one_shrinks() {
    for (seed, moves, lossy) in [(27, 40, 0.0), (28, 90, 0.4)] {
        let mut world = World::from_production(seed, ANNOUNCED_LIMITS);
        world.store_faults.loss = lossy;
        let key = "place/east.0/0";
        let record = world.store.records.get_mut(key).unwrap();
        for index in 0..moves {
            let row = json!([terminating_machine(index), 0, 4, []]);
            record.value["m"].as_array_mut().unwrap().push(row);
        }

        // They can't be returned now.
        world.cloud.is_down = true;
        world.lower_store_limits();
        let on_record = |world: &World| {
            let records = world.store.records_under("place/east");
            let rows = records.flat_map(|(_, record)| record.value["m"].as_array().unwrap().clone());
            let terminating: HashSet<String> = rows
                .filter(|row| row[2].as_u64().unwrap() & 4 != 0)
                .map(|row| row[0].as_str().unwrap().to_string())
                .collect();
            (0..moves).filter(|index| terminating.contains(&terminating_machine(*index))).count()
        };
        for _ in 0..1_200 {
            world.run(25);
            assert_eq!(on_record(&world), moves, "at {}", world.now);
        }
        world.store_faults.loss = 0.0;
        world.run(30_000);
        assert!(longest_value(&world, "place/") <= 2_048, "{} bytes", longest_value(&world, "place/"));
        assert!(world.off_record().is_empty());
        world.assert_rules_kept();
    }
}

/// A job of the largest number of tasks is recorded, resumed and finished under the smallest
/// limits, and leaves no record behind.
#[test]
fn a_job_of_many_tasks_goes_on_when_the_limits_are_lowered() {
    let mut world = World::with_announced_limits(3, 22, ANNOUNCED_LIMITS);
    world.cloud.capacity = 0;
    world.run_ms = 300;
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
    let done = |world: &World| world.store.records_under("progress/").count();
    assert_eq!(done(&world), 1);

    // Bits far apart: every whole progress segment is as long as it can be.
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
    assert_eq!(done(&world), 0, "records of progress left behind");
    assert!(world.store.rejected.len() <= 3, "{:?}", world.store.rejected);
    world.assert_rules_kept();
}

/// A catalog too long for one record under the new limits is kept in several, and every
/// user API knows all machine types after a restart.
#[test]
fn a_long_catalog_is_kept_in_parts() {
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

/// Frames and records made by the version in production are read, and what is
/// written while it may still be there has its layout.
#[test]
fn old_frames_and_records_are_read_and_written_as_they_were() {
    for line in include_str!("../fixtures/frames.hex").lines() {
        let byte = |start: usize| u8::from_str_radix(&line[start..start + 2], 16).unwrap();
        let bytes: Vec<u8> = (0..line.len()).step_by(2).map(byte).collect();
        let frame: Frame = bitcode::decode(&bytes).expect("production's frame");
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
        let record: JobRecord = serde_json::from_value(entry[1].clone()).expect("production's record");
        assert_eq!(serde_json::to_value(&record).unwrap(), entry[1], "written back as it was");

        live += usize::from(record.state == JobState::Live);
    }
    assert_eq!(live, 31);

    // An old leader finds no description to start from in a job that awaits others.
    let mut world = world(24);
    world.accept(0, &stage(1, &[]));
    world.accept(0, &stage(2, &[1]));
    let record = |number: u32| world.store.job(&id(number)).unwrap().clone();
    assert!(record(1)["j"].is_object() && record(1).get("w").is_none() && record(1).get("p").is_none());
    assert!(record(2).get("j").is_none() && record(2)["p"].is_object() && record(2)["s"] == "l");
}
