//! Workers are late, silent, unreachable, restarted or sick.

use crate::fixtures::{busy_machine, busy_world, idle_east, world};
use crate::support::store::StoredRecord;
use crate::support::{World, job};
use serde_json::{Value, json};

/// Invariant 3: a heartbeat from before the task started, arriving late at a new
/// shard owner, proves nothing about the task.
#[test]
fn a_late_heartbeat_is_no_proof_of_absence() {
    let mut w = busy_world(44, 8);
    let (m, shard_owner) = busy_machine(&w);
    let mut old = w.workers[m].heartbeat();
    old.tasks.clear();
    old.sequence = 1;
    old.fencing_token = 0;
    w.workers[m].cut = true;
    w.crash(shard_owner, 30_000);
    w.run(6_000);
    let now = w.shard_owner_of(m);
    assert_ne!(now, shard_owner);
    w.late_heartbeat(now, old);
    w.run(3_000);
    w.workers[m].cut = false;
    w.run(30_000);
    w.fair();
    assert!(w.oracle.starts.values().all(|n| *n == 1), "given up on the word of a late report");
}

/// Records may list an older attempt, gone long ago, beside the newer one that
/// runs. When the older one's machine is given up, the task stays where it is.
#[test]
fn a_stale_record_of_an_older_attempt_starts_nothing() {
    let mut w = busy_world(45, 6);
    let (m, _) = busy_machine(&w);
    let name = w.workers[m].name.clone();
    let (key, old_row) = w.placement_of(&name).unwrap();
    let old = w.store.records[&key].value.clone();
    w.workers[m].alive = false;
    w.run(60_000);
    let again: u32 = w.oracle.starts.values().filter(|n| **n == 2).count() as u32;
    assert!(again > 0, "its tasks run elsewhere now");
    // Where they run, no room is left; elsewhere there is some.
    let zone = w.workers[m].zone.clone();
    let mut fill = job(3, "t0", 2, 600.0);
    fill["yard"] = json!(zone);
    w.accept(0, &fill);
    w.run(15_000);
    w.add_worker(90, &zone, false, 100);
    w.add_worker(91, &zone, false, 100);
    // A late write brings the old record back, and no return settles it.
    w.cloud.is_down = true;
    w.store.revision += 1;
    let revision = w.store.revision;
    let mut rec = w.store.records[&key].value.clone();
    // The old row counts jobs by their place in the old record.
    let jobs = rec["j"].as_array().unwrap().len();
    let old_jobs = old["j"].as_array().unwrap().clone();
    rec["j"].as_array_mut().unwrap().extend(old_jobs);
    let mut row = old_row;
    let number = |v: &Value| v.as_u64().unwrap();
    let base = number(&rec["b"]).min(number(&old["b"]));
    for r in rec["m"].as_array_mut().unwrap().iter_mut() {
        let more = number(&w.store.records[&key].value["b"]) - base;
        for t in r[3].as_array_mut().unwrap().chunks_mut(3) {
            t[2] = json!(number(&t[2]) + more);
        }
    }
    for t in row[3].as_array_mut().unwrap().chunks_mut(3) {
        t[0] = json!(number(&t[0]) as usize + jobs);
        t[2] = json!(number(&t[2]) + number(&old["b"]) - base);
    }
    rec["b"] = json!(base);
    rec["m"].as_array_mut().unwrap().retain(|r| r[0] != name.as_str());
    rec["m"].as_array_mut().unwrap().push(row);
    let record = StoredRecord { value: rec, version: revision, lease: None };
    w.store.records.insert(key, record);
    for n in 0..3 {
        w.crash(n, 1_000);
    }
    w.run(90_000);
    w.fair();
    assert!(w.oracle.starts.values().all(|n| *n <= 2), "{:?}", w.oracle.starts);
}

/// The first heartbeat of a machine that comes up long after its shard was granted
/// waits for work like any other; that is no lease that has ended.
#[test]
fn a_machine_that_comes_up_late_keeps_the_work_of_its_first_heartbeat() {
    let mut w = World::new(3, 53);
    w.cloud.capacity = 0;
    w.run(90_000);
    w.network.frame_ms = 20;
    for i in 1..5 {
        w.add_worker(i, "east", false, 9_000);
    }
    // The list names them while they boot.
    w.run(9_600);
    let r = w.submit(1, &job(1, "t1", 16, 10.0));
    w.run(1_200);
    assert_eq!(w.users.answers[&r].status, 201);
    assert_eq!(w.oracle.starts.len(), 16, "they were taken for lost");
    w.run(20_000);
    assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
    w.fair();
}

/// Reports arrive, answers don't: its lease ends again and again while it looks
/// alive. Its tasks go elsewhere, it gets no more, and it goes back.
#[test]
fn an_unreachable_machine_gets_no_work_and_is_terminated() {
    let mut w = world(58);
    w.run_ms = 8_000;
    w.cloud.capacity = 3;
    // More work than the machines can take, so that none of them is surplus.
    for id in 1..6 {
        w.accept(0, &job(id, "t1", 24, 8.0));
    }
    w.run(15_000);
    let victim = w.workers.iter().position(|x| !x.tasks.is_empty()).unwrap();
    w.network.lose_replies.insert(victim);
    w.run(35_000);
    // Its lease has ended. What was sent there in vain has been given up for
    // others, and nothing new is bound to it.
    let name = w.workers[victim].name.clone();
    let row = w.placement_of(&name).map(|(_, row)| row[3].as_array().unwrap().len());
    assert!(row.unwrap_or(0) == 0, "{row:?}");
    w.run(25_000);
    assert!(w.cloud.returned.contains(&name), "it is still there");
    for id in 1..6 {
        assert!(w.until_done(&format!("run-{id:06}"), 120_000));
    }
    w.fair();
}

/// What an answer carried that never arrived is proven absent by the next
/// heartbeat, and a machine that is reached again gets work again.
#[test]
fn a_machine_that_is_reached_again_is_used_again() {
    let mut w = idle_east();
    w.run_ms = 5_000;
    w.network.lose_replies = (0..4).collect();
    let r = w.submit(1, &job(1, "t1", 12, 5.0));
    // Long enough for each to come back after it has tried the other nodes.
    w.run(18_000);
    assert_eq!(w.users.answers[&r].status, 201);
    assert!(w.oracle.starts.is_empty());
    w.network.lose_replies.clear();
    assert!(w.until_done("run-000001", 45_000));
    assert!(w.cloud.returned.is_empty());
    assert!(w.oracle.starts.values().all(|n| *n == 1));
    w.fair();
}

/// Copies of old heartbeats arrive at shard owners that have seen nothing yet: they
/// bring no machine back, prove nothing, and hold up no true worker.
#[test]
fn late_copies_of_heartbeats_change_nothing() {
    let mut w = busy_world(60, 8);
    let gone = w.workers.iter().position(|x| x.tasks.is_empty());
    let copies: Vec<_> = w.workers.iter().map(|x| x.heartbeat()).collect();
    let (m, shard_owner) = busy_machine(&w);
    // A machine goes for good, and its node with it; later copies of all
    // heartbeats reach every node, again and again.
    w.workers[m].alive = false;
    let name = w.workers[m].name.clone();
    w.cloud.returned.push(name.clone());
    w.crash(shard_owner, 2_000);
    let lost = w.workers[m].tasks.len();
    for _ in 0..20 {
        for c in &copies {
            for n in 0..3 {
                if w.core(n).is_some() {
                    w.late_heartbeat(n, c.clone());
                }
            }
        }
        w.run(3_000);
    }
    assert!(gone.is_none_or(|g| w.workers[g].incarnation == 1));
    assert!(w.workers.iter().all(|x| !x.alive || x.incarnation == 1), "a true worker lost its lease");
    let again = w.oracle.starts.values().filter(|n| **n > 1).count();
    assert_eq!(again, lost, "just what was lost runs again");
    assert!(w.placement_of(&name).is_none_or(|(_, row)| row[3].as_array().unwrap().is_empty()));
    w.fair();
}

/// A worker that starts anew under its old name counts from the beginning. What
/// it had is gone, and nothing of it runs twice.
#[test]
fn a_worker_back_at_once_with_a_lower_count_loses_and_doubles_nothing() {
    let mut w = busy_world(61, 8);
    w.cloud.capacity = w.workers.len();
    let (m, _) = busy_machine(&w);
    let lost = w.workers[m].tasks.len();
    w.workers[m].incarnation += 3;
    w.run(8_000);
    w.restart_worker(m);
    w.run(26_000);
    assert!(w.workers[m].fencing_token > 0, "no one answers it");
    assert!(!w.cloud.returned.contains(&w.workers[m].name), "taken for silent");
    w.run(30_000);
    assert_eq!(w.oracle.starts.values().filter(|n| **n == 2).count(), lost);
    assert!(w.oracle.starts.values().all(|n| *n <= 2));
    w.fair();
}

/// All nodes are new and know nothing of a return; a heartbeat that was under way
/// since before it brings no work to a machine that is no more.
#[test]
fn a_late_heartbeat_of_a_terminated_machine_gets_no_work() {
    let mut w = idle_east();
    let copy = w.workers[0].heartbeat();
    w.workers[0].alive = false;
    let name = w.workers[0].name.clone();
    w.cloud.returned.push(name.clone());
    for n in 0..3 {
        w.crash(n, 1_000);
    }
    w.run(9_000);
    for n in 0..3 {
        w.late_heartbeat(n, copy.clone());
    }
    let r = w.submit(1, &job(1, "t1", 16, 60.0));
    for _ in 0..12 {
        w.run(500);
        let row = w.placement_of(&name).map(|(_, row)| row[3].as_array().unwrap().len());
        assert!(row.unwrap_or(0) == 0, "work for a machine that is gone");
    }
    assert_eq!(w.users.answers[&r].status, 201);
    assert_eq!(w.oracle.starts.len(), 12);
    w.fair();
}

#[test]
fn a_silent_machine_gives_its_tasks_up_only_with_its_lease() {
    let mut w = world(13);
    w.run_ms = 15_000;
    w.accept(0, &job(1, "t1", 8, 15.0));
    w.run(20_000);
    let victim = w.workers.iter().position(|x| !x.tasks.is_empty()).unwrap();
    w.workers[victim].cut = true;
    w.run(60_000);
    w.workers[victim].cut = false;
    assert!(w.until_done("run-000001", 150_000));
    w.fair();
}

#[test]
fn a_failing_machine_is_quarantined_and_the_job_completes() {
    let mut w = world(14);
    w.accept(0, &job(1, "t1", 8, 10.0));
    w.run(8_000);
    if let Some(x) = w.workers.first_mut() {
        x.sick = true;
    }
    assert!(w.until_done("run-000001", 200_000));
    let failed: u32 = w.oracle.starts.values().sum::<u32>() - 8;
    assert!(failed <= 12, "the sick machine took {failed} starts");
    w.fair();
}

/// Half of all machines hang at once and go on within their lease, while the
/// leader crashes: nothing is lost and nothing runs twice. Those that hang for
/// longer give their tasks up.
#[test]
fn machines_that_hang_in_numbers_keep_their_tasks_within_the_lease() {
    for (seed, hang, keeps) in [(87, 12_000, true), (88, 40_000, false)] {
        let mut w = busy_world(seed, 8);
        let before = w.oracle.starts.len();
        for i in (0..w.workers.len()).step_by(2) {
            w.workers[i].cut = true;
        }
        w.run(2_000);
        w.crash(w.leader().unwrap(), 3_000);
        w.run(hang);
        for x in &mut w.workers {
            x.cut = false;
        }
        w.run(40_000);
        assert_eq!(w.oracle.starts.len(), before);
        assert_eq!(w.oracle.starts.values().all(|n| *n == 1), keeps, "{:?}", w.oracle.starts);
        w.fair();
    }
}
