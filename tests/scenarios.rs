//! Scenarios of the whole service on fakes: one per rule and invariant.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod support;

use rand::RngExt;
use serde_json::{Value, json};
use support::{World, job};
use woadlever::core::HttpRequest;
use woadlever::wire::workers::WorkerHeartbeat;

fn world(seed: u64) -> World {
    let mut w = World::new(3, seed);
    w.run(5_000);
    w
}

#[test]
fn a_job_runs_once_and_is_called_done_by_every_node() {
    let mut w = world(1);
    w.accept(0, &job(1, "t0", 6, 10.0));
    assert!(w.until_done("run-000001", 90_000));
    w.run(3_000);
    for n in 0..3 {
        assert_eq!(w.status(n, "run-000001"), "done");
    }
    assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
    assert_eq!(w.oracle.starts.len(), 6);
    w.fair();
}

#[test]
fn the_team_limit_holds_however_much_is_asked() {
    let mut w = world(2);
    w.accept(0, &job(1, "t0", 30, 10.0));
    w.accept(1, &job(2, "t0", 30, 10.0));
    assert!(w.until_done("run-000002", 300_000));
    w.fair();
}

#[test]
fn zones_types_and_kinds_are_as_the_job_allows() {
    let mut w = world(3);
    let mut a = job(1, "t1", 9, 10.0);
    a["scatter"] = json!(true);
    let mut b = job(2, "t1", 5, 10.0);
    b["one_zone"] = json!(true);
    b["standby"] = json!(false);
    let mut c = job(3, "t1", 3, 10.0);
    c["yard"] = json!("west");
    for j in [&a, &b, &c] {
        w.accept(0, j);
    }
    for id in ["run-000001", "run-000002", "run-000003"] {
        assert!(w.until_done(id, 200_000), "{id}");
    }
    w.fair();
}

#[test]
fn a_cancelled_job_is_gone_in_time_and_stays_cancelled() {
    let mut w = world(4);
    w.run_ms = 300_000;
    w.accept(0, &job(1, "t1", 8, 300.0));
    w.run(40_000);
    assert!(!w.oracle.starts.is_empty());
    assert_eq!(w.cancel(1, "run-000001"), 200);
    for n in 0..3 {
        assert_eq!(w.status(n, "run-000001"), "withdrawn");
    }
    w.run(60_000);
    assert!(w.workers.iter().all(|x| x.tasks.is_empty()));
    // A repeated submission changes nothing.
    let r = w.submit(2, &job(1, "t1", 8, 300.0));
    w.run(500);
    assert_eq!(w.users.answers[&r].status, 200);
    assert!(w.users.answers[&r].body.contains("withdrawn"));
    w.fair();
}

/// Jobs in both zones, so that several nodes hold busy machines.
fn busy_world(seed: u64, tasks: u32) -> World {
    let mut w = world(seed);
    w.run_ms = 600_000;
    for (id, zone) in [(1, "east"), (2, "west")] {
        let mut j = job(id, "t1", tasks, 600.0);
        j["yard"] = json!(zone);
        w.accept(0, &j);
    }
    w.run(40_000);
    assert_eq!(w.oracle.starts.len() as u32, 2 * tasks);
    w
}

/// A busy machine whose holder is not the leader.
fn busy_machine(w: &World) -> (usize, usize) {
    let leader = w.leader().unwrap();
    (0..w.workers.len())
        .filter(|i| !w.workers[*i].tasks.is_empty())
        .map(|i| (i, w.shard_owner_of(i)))
        .find(|(_, h)| *h != leader)
        .expect("a busy machine held by a follower")
}

/// Invariant 5: a holder cut off from all but its workers must let their
/// leases end before a cancellation that it never saw is overdue.
#[test]
fn a_holder_cut_off_from_all_but_its_workers_keeps_nothing_cancelled() {
    let mut w = busy_world(5, 8);
    let (_, victim) = busy_machine(&w);
    for other in (0..3).filter(|n| *n != victim) {
        w.network.cuts.insert((victim, other));
    }
    w.store.refuses.insert(victim);
    // Nor can the machines be returned.
    w.cloud.is_down = true;
    w.run(500);
    let leader = w.leader().unwrap();
    for id in ["run-000001", "run-000002"] {
        assert_eq!(w.cancel(leader, id), 200);
    }
    w.run(120_000);
    w.fair();
}

/// Four idle machines in the east, two with each of n0 and n2; n1 leads.
fn idle_east() -> World {
    for seed in 60..100 {
        let mut w = World::new(3, seed);
        w.run_ms = 60_000;
        w.cloud.capacity = 0;
        for i in 1..5 {
            w.add_worker(i, "east", false, 1_000);
        }
        w.run(9_000);
        if w.leader() == Some(1) {
            return w;
        }
    }
    panic!("n1 never leads");
}

/// Twelve tasks on three of the machines: at least one of them is n0's.
fn grant_to_a_slow_holder(w: &mut World, ms: u64) {
    w.store_faults.slow_writes.insert(0, ms);
    let r = w.submit(1, &job(1, "t1", 12, 60.0));
    w.run(400);
    assert_eq!(w.users.answers[&r].status, 201);
}

/// Invariant 1, the block's grant: a holder whose write is slow, and that has
/// not heard that its block went elsewhere, must not get the write through.
#[test]
fn a_slow_write_of_a_former_holder_fails() {
    let mut w = idle_east();
    grant_to_a_slow_holder(&mut w, 8_000);
    w.store.refuses.insert(0);
    w.network.cuts.insert((0, 1));
    w.network.cuts.insert((0, 2));
    w.run(25_000);
    assert!(!w.oracle.starts.is_empty());
    w.fair();
}

/// Invariant 1, the term: a binding granted by a former leader, written late,
/// must not stand beside what the new leader has granted since.
#[test]
fn a_slow_write_for_a_former_leader_fails() {
    let mut w = idle_east();
    // Late enough for the new leader to have read the records, and before it
    // takes the block from a holder without state service.
    grant_to_a_slow_holder(&mut w, 6_500);
    w.store.refuses.insert(0);
    w.crash(1, 90_000);
    w.run(25_000);
    assert!(!w.oracle.starts.is_empty());
    w.fair();
}

/// Invariant 3: a report from before the task started, arriving late at a new
/// holder, proves nothing about the task.
#[test]
fn a_late_report_is_no_proof_of_absence() {
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
    let (key, old_row) = w.record_of(&name).unwrap();
    let old = w.store.keys[&key].0.clone();
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
    let mut rec = w.store.keys[&key].0.clone();
    // The old row counts jobs by their place in the old record.
    let jobs = rec["j"].as_array().unwrap().len();
    let old_jobs = old["j"].as_array().unwrap().clone();
    rec["j"].as_array_mut().unwrap().extend(old_jobs);
    let mut row = old_row;
    let number = |v: &Value| v.as_u64().unwrap();
    let base = number(&rec["b"]).min(number(&old["b"]));
    for r in rec["m"].as_array_mut().unwrap().iter_mut() {
        let more = number(&w.store.keys[&key].0["b"]) - base;
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
    w.store.keys.insert(key, (rec, revision, None));
    for n in 0..3 {
        w.crash(n, 1_000);
    }
    w.run(90_000);
    w.fair();
    assert!(w.oracle.starts.values().all(|n| *n <= 2), "{:?}", w.oracle.starts);
}

#[test]
fn a_restart_of_all_nodes_keeps_running_tasks_and_forgets_nothing() {
    let mut w = world(6);
    w.run_ms = 40_000;
    w.accept(0, &job(1, "t1", 8, 40.0));
    w.run(30_000);
    let before = w.oracle.starts.clone();
    assert!(!before.is_empty());
    for n in 0..3 {
        w.crash(n, 3_000);
    }
    w.run(4_000);
    assert!(w.until_done("run-000001", 150_000));
    assert_eq!(w.status(1, "run-000001"), "done");
    for (t, n) in &w.oracle.starts {
        assert_eq!(*n, 1, "{t} was started again although its lease lasted");
    }
    w.fair();
}

#[test]
fn a_crashed_leader_is_replaced_and_work_goes_on() {
    let mut w = world(7);
    w.accept(0, &job(1, "t1", 24, 10.0));
    w.run(25_000);
    let old = w.leader().unwrap();
    w.crash(old, 60_000);
    w.run(9_000);
    assert_ne!(w.leader().unwrap(), old);
    assert!(w.until_done("run-000001", 150_000));
    w.fair();
}

#[test]
fn a_leader_back_at_once_gives_up_its_former_lease() {
    let mut w = world(8);
    let old = w.leader().unwrap();
    let term = w.store.keys["w/leader"].1;
    w.crash(old, 200);
    w.run(1_500);
    assert!(w.leader().is_some());
    assert!(w.store.keys["w/leader"].1 > term, "waited for the lease of a process known to be gone");
}

/// After an outage shorter than the leases, work goes on where it was.
#[test]
fn a_short_outage_of_the_state_service_loses_no_work() {
    let mut w = world(9);
    w.run_ms = 60_000;
    w.accept(0, &job(1, "t1", 8, 60.0));
    w.run(35_000);
    w.store.down = true;
    w.run(10_000);
    assert_eq!(w.status(0, "run-999999"), "503", "no answer may rest on what is not known");
    w.store.down = false;
    assert!(w.until_done("run-000001", 150_000));
    assert!(w.oracle.starts.values().all(|n| *n == 1));
    w.fair();
}

#[test]
fn a_long_outage_ends_leases_and_every_task_still_completes() {
    let mut w = world(10);
    w.run_ms = 30_000;
    w.accept(0, &job(1, "t1", 8, 30.0));
    w.run(25_000);
    w.store.down = true;
    w.run(70_000);
    w.store.down = false;
    assert!(w.until_done("run-000001", 250_000));
    w.fair();
}

/// A node that the state service refuses alone is not ready and loses its
/// blocks; in an outage for all, everyone stays ready.
#[test]
fn readiness_tells_a_lone_refusal_from_an_outage() {
    let mut w = world(11);
    let victim = (w.leader().unwrap() + 1) % 3;
    let ready = |w: &mut World, n: usize| {
        let r = w.ask(n, HttpRequest::Ready);
        w.run(50);
        w.users.answers[&r].status
    };
    w.store.refuses.insert(victim);
    w.run(8_000);
    assert_eq!(ready(&mut w, victim), 503);
    let name = format!("n{victim}");
    let held =
        w.store.keys.iter().any(|(k, v)| k.starts_with("w/block/") && v.0["node"] == name.as_str());
    assert!(!held, "it keeps blocks that it can't serve");
    w.store.refuses.clear();
    w.run(5_000);
    assert_eq!(ready(&mut w, victim), 200);
    w.store.down = true;
    w.run(8_000);
    for n in 0..3 {
        assert_eq!(ready(&mut w, n), 200);
    }
}

/// Invariant 2 and 3: an answer that the worker never got proves nothing, and
/// the `run` in it is sent again instead of the task being put elsewhere.
#[test]
fn a_lost_answer_neither_loses_nor_doubles_a_task() {
    let mut w = world(12);
    w.accept(0, &job(1, "t1", 8, 10.0));
    w.run(12_000);
    w.network.lose_replies = (0..w.workers.len()).collect();
    w.run(8_000);
    w.network.lose_replies.clear();
    assert!(w.until_done("run-000001", 150_000));
    assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
    w.fair();
}

/// Transactions whose answer is lost, and that run seconds later.
#[test]
fn late_transactions_do_no_harm() {
    for seed in 0..4 {
        let mut w = world(20 + seed);
        w.store_faults.loss = 0.3;
        w.accept(0, &job(1, "t1", 16, 10.0));
        w.accept(1, &job(2, "t0", 6, 10.0));
        w.run(60_000);
        w.store_faults.loss = 0.0;
        assert!(w.until_done("run-000001", 200_000));
        assert!(w.until_done("run-000002", 200_000));
        w.fair();
    }
}

/// Invariant 7: done and withdrawn exclude each other, however late the leader
/// hears of a cancellation.
#[test]
fn a_cancelled_job_is_never_called_done() {
    let mut w = world(46);
    w.accept(0, &job(1, "t1", 4, 10.0));
    let leader = w.leader().unwrap();
    while w.oracle.starts.len() < 4 {
        w.run(500);
    }
    // The tasks end, and the leader's word of it is under way for long.
    w.store_faults.slow_writes.insert(leader, 9_000);
    w.run(12_500);
    assert_eq!(w.cancel((leader + 1) % 3, "run-000001"), 200);
    w.run(20_000);
    w.store_faults.slow_writes.clear();
    w.run(20_000);
    assert_eq!(w.store.keys["w/job/run-000001"].0["s"], "c");
    for n in 0..3 {
        assert_eq!(w.status(n, "run-000001"), "withdrawn");
    }
}

/// Invariant 7: a success is cleared from its machine only once it is on
/// record; until then the machine is the only one that knows.
#[test]
fn a_success_that_the_leader_could_not_record_is_not_lost() {
    let mut w = world(47);
    w.accept(0, &job(1, "t1", 4, 10.0));
    let leader = w.leader().unwrap();
    while w.oracle.starts.len() < 4 {
        w.run(500);
    }
    w.store_faults.slow_writes.insert(leader, 60_000);
    w.run(15_000);
    w.store_faults.slow_writes.clear();
    w.crash(leader, 30_000);
    assert!(w.until_done("run-000001", 60_000));
    assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
}

/// A holder's state message that was under way when the leader granted a task says
/// nothing about that task.
#[test]
fn a_picture_older_than_the_grant_loses_nothing() {
    let mut w = world(48);
    w.network.frame_ms = 1_200;
    w.accept(0, &job(1, "t1", 16, 10.0));
    assert!(w.until_done("run-000001", 200_000));
    assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
    w.fair();
}

/// A holder that hears of a job later than of its tasks gives the tasks up; it
/// must not bind them after all when the job shows up.
#[test]
fn tasks_given_up_for_an_unknown_job_are_not_bound_later() {
    for ms in [2_800, 3_000, 3_200] {
        let mut w = idle_east();
        w.network.frame_ms = 700;
        w.store_faults.slow_watch.insert(0, ms);
        let mut answer = 0;
        for step in 0..40 {
            if step == 6 {
                answer = w.submit(1, &job(1, "t1", 12, 60.0));
            }
            // Other calls of the node are served, so that it counts as alive.
            w.status(0, "run-000009");
            w.run(700);
        }
        assert_eq!(w.users.answers[&answer].status, 201);
        assert!(!w.oracle.starts.is_empty());
        w.fair();
        assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
    }
}

/// The first report of a machine that comes up long after its block was granted
/// waits for work like any other; that is no lease that has ended.
#[test]
fn a_machine_that_comes_up_late_keeps_the_work_of_its_first_report() {
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

/// Many tasks on many machines, within the state service's rates: a scheduling cycle of
/// bindings costs a change for a record of machines, not one for each of them.
#[test]
fn hundreds_of_tasks_start_within_the_rate_of_changes() {
    let mut w = World::large(3, 54);
    w.run(5_000);
    for i in 0..300 {
        w.add_worker(i, support::ZONES[i % 2], false, 100);
    }
    w.run(3_000);
    for id in 0..12 {
        w.submit(id as usize % 3, &job(id, "t1", 50, 10.0));
    }
    let (from, writes) = (w.now, w.store.writes);
    while w.oracle.starts.len() < 600 && w.now < from + 30_000 {
        w.run(250);
    }
    assert_eq!(w.oracle.starts.len(), 600);
    assert!(w.now < from + 8_000, "took {} ms", w.now - from);
    assert!(w.store.writes - writes < 100, "{} changes", w.store.writes - writes);
    for id in 0..12 {
        assert!(w.until_done(&format!("run-{id:06}"), 60_000));
    }
    assert!(w.oracle.starts.values().all(|n| *n == 1));
    assert_eq!(w.store.refused, 0);
    w.fair();
}

/// Reports arrive, answers don't: its lease ends again and again while it looks
/// alive. Its tasks go elsewhere, it gets no more, and it goes back.
#[test]
fn a_machine_that_nothing_reaches_gets_no_work_and_is_returned() {
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
    let row = w.record_of(&name).map(|(_, row)| row[3].as_array().unwrap().len());
    assert!(row.unwrap_or(0) == 0, "{row:?}");
    w.run(25_000);
    assert!(w.cloud.returned.contains(&name), "it is still there");
    for id in 1..6 {
        assert!(w.until_done(&format!("run-{id:06}"), 120_000));
    }
    w.fair();
}

/// What an answer carried that never arrived is proven absent by the next
/// report, and a machine that is reached again gets work again.
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

/// A change of holder, or its restart, is no sign that a machine is deaf.
#[test]
fn restarts_of_holders_leave_machines_in_use() {
    let mut w = busy_world(59, 4);
    for round in 0..3 {
        for n in 0..3 {
            w.crash(n, 200 + 700 * round);
            w.run(4_000);
        }
    }
    assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
    // Several reports later, machines with room are still used.
    for i in 80..84 {
        w.add_worker(i, support::ZONES[i % 2], false, 100);
    }
    w.run(14_000);
    let before = w.cloud.rented;
    w.accept(0, &job(3, "t1", 2, 5.0));
    w.run(4_000);
    assert_eq!(w.oracle.starts.keys().filter(|k| k.starts_with("run-000003")).count(), 2);
    assert_eq!(w.cloud.rented, before);
    w.fair();
}

/// Copies of old reports arrive at holders that have seen nothing yet: they
/// bring no machine back, prove nothing, and hold up no true worker.
#[test]
fn late_copies_of_reports_change_nothing() {
    let mut w = busy_world(60, 8);
    let gone = w.workers.iter().position(|x| x.tasks.is_empty());
    let copies: Vec<_> = w.workers.iter().map(|x| x.heartbeat()).collect();
    let (m, shard_owner) = busy_machine(&w);
    // A machine goes for good, and its node with it; later copies of all
    // reports reach every node, again and again.
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
    assert!(w.record_of(&name).is_none_or(|(_, row)| row[3].as_array().unwrap().is_empty()));
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

/// All nodes are new and know nothing of a return; a report that was under way
/// since before it brings no work to a machine that is no more.
#[test]
fn a_late_report_of_a_returned_machine_gets_no_work() {
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
        let row = w.record_of(&name).map(|(_, row)| row[3].as_array().unwrap().len());
        assert!(row.unwrap_or(0) == 0, "work for a machine that is gone");
    }
    assert_eq!(w.users.answers[&r].status, 201);
    assert_eq!(w.oracle.starts.len(), 12);
    w.fair();
}

/// A burst of urgent work of twice what the machines can do, for minutes. Every
/// other job begins within four minutes all the same: of a low priority, of
/// tasks as large as a machine, of another team; and completes in the end.
#[test]
fn nobody_starves_under_a_lasting_burst() {
    let mut w = world(62);
    w.cloud.capacity = 4;
    w.run_ms = 10_000;
    let mut next = 100;
    let mut burst = |w: &mut World, seconds: u64| {
        for _ in 0..seconds / 4 {
            let mut j = job(next, "t1", 12, 10.0);
            j["urgency"] = json!("urgent");
            w.submit(next as usize % 3, &j);
            next += 1;
            w.run(4_000);
        }
    };
    burst(&mut w, 60);
    let mut huge = job(1, "t1", 6, 10.0);
    huge["urgency"] = json!("idle");
    huge["cores"] = json!(16.0);
    let mut low = job(2, "t1", 30, 10.0);
    low["urgency"] = json!("idle");
    let mut other = job(3, "t0", 12, 10.0);
    other["urgency"] = json!("normal");
    for (n, j) in [&huge, &low, &other].into_iter().enumerate() {
        w.submit(n, j);
    }
    burst(&mut w, 232);
    for id in 1..4 {
        let began = w.oracle.starts.keys().any(|k| k.starts_with(&format!("run-{id:06}")));
        assert!(began, "job {id} has not begun after four minutes");
    }
    for id in 1..4 {
        assert!(w.until_done(&format!("run-{id:06}"), 1_500_000), "job {id} never ends");
    }
    w.fair();
}

/// Machines go with their leader and holder. The new leader has never heard of
/// them, but a record names them and no list does: they go back at once, and
/// their tasks don't wait for the end of every lease that might have been.
#[test]
fn machines_that_went_with_their_leader_are_noticed() {
    let mut w = busy_world(71, 6);
    for i in 60..64 {
        w.add_worker(i, support::ZONES[i % 2], false, 100);
    }
    w.run(6_000);
    let (m, shard_owner) = busy_machine(&w);
    let lost = w.workers[m].tasks.len();
    w.workers[m].alive = false;
    let name = w.workers[m].name.clone();
    w.cloud.returned.push(name);
    let leader = w.leader().unwrap();
    w.crash(leader, 1_000);
    w.crash(shard_owner, 1_000);
    w.run(26_000);
    assert_eq!(w.oracle.starts.values().filter(|n| **n == 2).count(), lost);
    w.fair();
}

/// Small tasks of all lengths refill a machine before it is ever free; one that
/// has waited for all of it gets it kept.
#[test]
fn a_task_as_large_as_a_machine_gets_one_kept() {
    let mut w = World::new(3, 70);
    w.cloud.capacity = 0;
    // All in one block, so that its holder has a choice.
    for i in 0..4 {
        w.add_worker(1 + 2 * i, "east", false, 1_000);
    }
    w.run(6_000);
    for step in 0..150u32 {
        let mut j = job(100 + step, "t1", 11, 10.0);
        j["urgency"] = json!("urgent");
        j["cores"] = json!(2.0);
        w.run_ms = 6_000 + u64::from(step * 1_700 % 9_000);
        w.submit(step as usize % 3, &j);
        if step == 10 {
            let mut huge = job(1, "t1", 1, 10.0);
            huge["urgency"] = json!("idle");
            huge["cores"] = json!(16.0);
            w.submit(0, &huge);
        }
        w.run(1_800);
    }
    assert!(w.oracle.starts.contains_key("run-000001/0"));
    w.fair();
}

/// A node, leader or holder, that loses the state service and the other nodes
/// but not its workers: they go on to the new holder before their leases end,
/// what is cancelled meanwhile ends in time, and the node takes part again.
#[test]
fn a_node_alone_with_its_workers_gives_them_up_in_time() {
    for leader in [false, true] {
        let mut w = busy_world(63, 8);
        let (_, follower) = busy_machine(&w);
        let victim = if leader { w.leader().unwrap() } else { follower };
        for other in (0..3).filter(|n| *n != victim) {
            w.network.cuts.insert((victim, other));
        }
        w.store.refuses.insert(victim);
        w.run(9_000);
        assert_ne!(w.leader(), Some(victim));
        let asked = (victim + 1) % 3;
        assert_eq!(w.cancel(asked, "run-000002"), 200);
        w.run(60_000);
        let alive = w.workers.iter().filter(|x| x.alive);
        assert!(alive.clone().all(|x| x.incarnation == 1), "a lease ended");
        assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
        w.store.refuses.clear();
        w.network.cuts.clear();
        w.run(12_000);
        let name = format!("n{victim}");
        let held =
            w.store.keys.iter().any(|(k, v)| k.starts_with("w/block/") && v.0["node"] == name.as_str());
        assert!(held, "it does not take part again");
        assert_eq!(w.status(victim, "run-000001"), "running");
        w.fair();
    }
}

/// Processes back within a fraction of a second, the leader's and a
/// candidate's, before and amid the election.
#[test]
fn processes_back_at_once_amid_an_election_change_nothing() {
    for (seed, back) in [(64, 30), (65, 150), (66, 400), (67, 900)] {
        let mut w = busy_world(seed, 6);
        for round in 0..4 {
            let old = w.leader().unwrap_or(0);
            w.crash(old, back);
            w.run(back / 2);
            w.crash((old + 1) % 3, back);
            w.run(back + 40 * round);
            w.crash(old, back);
            w.run(7_000);
            assert!(w.leader().is_some());
        }
        w.run(10_000);
        assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
        w.accept(0, &job(3, "t0", 2, 5.0));
        w.fair();
    }
}

/// What was accepted is known, however it was accepted and whoever is asked:
/// before a crash of all nodes, with a write of unknown outcome, in an election.
#[test]
fn an_accepted_job_is_known_to_every_node_ever_after() {
    let mut w = world(68);
    let mut known = Vec::new();
    let mut id = 1;
    for case in 0..12 {
        w.store_faults.loss = if case % 3 == 1 { 0.5 } else { 0.0 };
        let mut asked = Vec::new();
        for n in 0..3 {
            asked.push((id, w.submit(n, &job(id, "t1", 1, 5.0))));
            id += 1;
        }
        w.run(6 + 4 * case);
        match case % 4 {
            0 => (0..3).for_each(|n| w.crash(n, 300)),
            1 => w.store.down = true,
            2 => {
                let leader = w.leader().unwrap_or(0);
                w.crash(leader, 5_000);
            }
            _ => {}
        }
        w.run(6_000);
        w.store.down = false;
        w.store_faults.loss = 0.0;
        w.run(3_000);
        let taken = |r: &u64| w.users.answers.get(r).is_some_and(|a| a.status == 200 || a.status == 201);
        known.extend(asked.iter().filter(|(_, r)| taken(r)).map(|(id, _)| *id));
    }
    assert!(known.len() > 12, "{}", known.len());
    w.run(8_000);
    for id in known {
        let name = format!("run-{id:06}");
        for n in 0..3 {
            let s = w.status(n, &name);
            assert!(["queued", "running", "done"].contains(&s.as_str()), "{name} at n{n}: {s}");
        }
        assert!(w.until_done(&name, 120_000), "{name}");
    }
    w.fair();
}

/// Questions by the hundred while the state service is slow: what can't be
/// answered is turned away at once, and no id waits behind another for good.
#[test]
fn a_flood_of_questions_leaves_none_unanswered() {
    let mut w = world(69);
    w.accept(0, &job(1, "t1", 1, 5.0));
    w.store_faults.slow.insert(0, 1_500);
    let asked: Vec<u64> = (0..1_000)
        .map(|i| w.ask(0, HttpRequest::Status(format!("run-{:06}", if i % 2 == 0 { 1 } else { i }))))
        .collect();
    w.run(200);
    let at_once = asked.iter().filter(|r| w.users.answers.contains_key(r)).count();
    assert!(at_once >= 500, "{at_once} were turned away at once");
    w.run(4_000);
    assert!(asked.iter().all(|r| w.users.answers.contains_key(r)));
    assert!(asked.iter().all(|r| {
        let a = &w.users.answers[r];
        a.status != 503 || a.retry_after_s.is_some()
    }));
    w.store_faults.slow.clear();
    w.run(2_000);
    assert_ne!(w.status(0, "run-000001"), "503");
}

/// Need that grows far beyond the fleet between two windows does not wait for
/// the next one.
#[test]
fn need_far_beyond_the_fleet_opens_a_window() {
    let mut w = World::large(3, 72);
    w.cloud.capacity = 400;
    w.run(5_000);
    // One machine is up, so that no job is stranded.
    w.submit(0, &job(1, "t1", 4, 60.0));
    w.run(21_000);
    let before = w.cloud.rented;
    for id in 2..6 {
        w.submit(id as usize % 3, &job(id, "t1", 240, 10.0));
    }
    w.run(4_000);
    assert!(w.cloud.rented > before + 200, "{} machines after 4 s", w.cloud.rented - before);
    w.fair();
}

/// More tasks on one machine than one record holds: the next record takes them.
/// A holder that refused them would have the leader grant them again for ever.
#[test]
fn a_full_record_refuses_no_task() {
    let mut w = World::large(3, 57);
    w.run(5_000);
    for i in 1..3 {
        w.add_worker(i, "west", false, 100);
    }
    w.run(1_500);
    w.run_ms = 60_000;
    for id in 0..4 {
        let mut j = job(id, "t1", 250, 60.0);
        j["cores"] = json!(0.03);
        j["memory_gb"] = json!(0.1);
        w.submit(0, &j);
    }
    w.run(15_000);
    assert_eq!(w.oracle.starts.len(), 1000);
    let old = w.leader().unwrap();
    w.crash(old, 4_000);
    w.crash((old + 1) % 3, 4_000);
    for id in 0..4 {
        assert!(w.until_done(&format!("run-{id:06}"), 120_000));
    }
    assert!(w.oracle.starts.values().all(|n| *n == 1));
    w.fair();
}

/// With no machine up, present need alone decides, and all of it at once:
/// machines come fifty to a call, within the cloud's rate.
#[test]
fn a_first_demand_of_hundreds_of_machines_is_rented_in_few_calls() {
    let mut w = World::large(3, 55);
    w.cloud.capacity = 400;
    w.run(5_000);
    let calls = w.cloud.calls;
    for id in 0..4 {
        w.submit(id as usize % 3, &job(id, "t1", 240, 10.0));
    }
    w.run(6_000);
    assert!(w.cloud.rented >= 240, "{} machines after 6 s", w.cloud.rented);
    assert!(w.cloud.calls - calls < 20, "{} calls", w.cloud.calls - calls);
    for id in 0..4 {
        assert!(w.until_done(&format!("run-{id:06}"), 120_000));
    }
    assert_eq!(w.cloud.refused, 0);
    w.fair();
}

/// Where reports are rare, a machine that has just not reported is no reason to
/// rent another one.
#[test]
fn a_machine_between_two_rare_reports_still_gets_work() {
    // A window of the forecast begins at one time or another of these.
    for start in 0..4 {
        let mut w = World::large(3, 56);
        w.run(5_000 + 2_500 * start);
        w.add_worker(1, "east", false, 100);
        w.add_worker(2, "east", false, 100);
        w.run(1_500);
        // The next reports are lost on their way.
        for x in &mut w.workers {
            x.cut = true;
        }
        w.run(9_500);
        w.cloud.capacity = 20;
        w.submit(0, &job(1, "t1", 8, 10.0));
        w.run(3_500);
        for x in &mut w.workers {
            x.cut = false;
        }
        assert!(w.until_done("run-000001", 60_000));
        assert_eq!(w.cloud.rented, 0, "machines that are there were passed over");
        w.fair();
    }
}

/// With machines in one zone only, no more than half of the tasks run at once.
#[test]
fn scattered_tasks_wait_rather_than_crowd_one_zone() {
    let mut w = World::new(3, 49);
    w.cloud.capacity = 0;
    for i in 1..5 {
        w.add_worker(i, "east", false, 1_000);
    }
    w.run(8_000);
    let mut j = job(1, "t1", 9, 10.0);
    j["scatter"] = json!(true);
    w.accept(0, &j);
    w.run(9_000);
    assert_eq!(w.oracle.starts.len(), 5);
    assert!(w.until_done("run-000001", 90_000));
    w.fair();
}

/// Two machines full of long tasks; the wait of a newcomer decides.
fn full_world(seed: u64, urgency: &str, team: &str) -> World {
    let mut w = world(seed);
    w.run_ms = 600_000;
    w.cloud.capacity = 2;
    let mut a = job(1, team, 8, 600.0);
    a["urgency"] = json!(urgency);
    w.accept(0, &a);
    w.run(40_000);
    assert_eq!(w.oracle.starts.len(), 8);
    w
}

fn newcomer(w: &mut World, urgency: &str, team: &str) -> usize {
    w.run_ms = 5_000;
    let mut b = job(2, team, 2, 5.0);
    b["urgency"] = json!(urgency);
    w.accept(0, &b);
    w.run(360_000);
    w.fair();
    w.oracle.starts.keys().filter(|k| k.starts_with("run-000002")).count()
}

#[test]
fn a_lower_priority_gives_way() {
    let mut w = full_world(50, "normal", "t1");
    assert_eq!(newcomer(&mut w, "urgent", "t1"), 2);
    // What was stopped runs again afterwards.
    assert!(w.until_done("run-000001", 700_000));
    w.fair();
}

#[test]
fn work_beyond_a_guarantee_gives_way_to_a_guarantee() {
    let mut w = full_world(51, "urgent", "t1");
    assert_eq!(newcomer(&mut w, "normal", "t0"), 2);
}

#[test]
fn equal_work_of_the_same_team_waits() {
    let mut w = full_world(52, "normal", "t1");
    assert_eq!(newcomer(&mut w, "normal", "t1"), 0);
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
fn a_sick_machine_is_shunned_and_the_job_completes() {
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

#[test]
fn a_watch_that_fell_behind_leads_to_a_fresh_read() {
    let mut w = world(15);
    w.accept(0, &job(1, "t1", 2, 10.0));
    w.store.floor = u64::MAX;
    w.run(4_000);
    w.store.floor = w.store.revision;
    w.accept(1, &job(2, "t1", 2, 10.0));
    assert!(w.until_done("run-000001", 90_000));
    assert!(w.until_done("run-000002", 90_000));
    w.fair();
}

/// A new leader has not heard of machines that run well; it must not take
/// them for machines that never booted.
#[test]
fn a_new_leader_returns_no_machine_that_runs() {
    let mut w = world(16);
    w.run_ms = 200_000;
    w.accept(0, &job(1, "t1", 16, 200.0));
    w.run(60_000);
    let old = w.leader().unwrap();
    let before = w.cloud.returned.clone();
    w.crash(old, 4_000);
    w.crash((old + 1) % 3, 4_000);
    w.run(12_000);
    let busy: Vec<&String> = w
        .cloud
        .returned
        .iter()
        .filter(|n| !before.contains(n))
        .filter(|n| w.record_of(n).is_some_and(|(_, row)| !row[3].as_array().unwrap().is_empty()))
        .collect();
    assert!(busy.is_empty(), "returned {busy:?}");
    assert!(w.oracle.starts.values().all(|n| *n == 1));
}

/// Frames written into a connection to a process that is no more vanish
/// without an error; the sender has to leave it by itself.
#[test]
fn links_to_a_restarted_or_silent_node_are_opened_anew() {
    let mut w = world(17);
    w.network.reconnects.clear();
    w.crash(2, 300);
    w.run(2_000);
    assert!(w.network.reconnects.iter().any(|(n, to)| *n == 0 && to == "n2"));
    w.network.reconnects.clear();
    w.network.cuts.insert((0, 1));
    w.run(5_000);
    assert!(w.network.reconnects.iter().any(|(n, to)| *n == 0 && to == "n1"));
}

/// After a standstill a node may hear nobody while all hear it. It was given its
/// blocks back and kept them without ever placing a task. The others must open
/// their links anew, and it holds nothing until it hears the leader.
#[test]
fn a_node_that_hears_nobody_is_told_and_holds_nothing() {
    let mut w = busy_world(81, 6);
    let (_, victim) = busy_machine(&w);
    w.run_ms = 5_000;
    let others: Vec<usize> = (0..3).filter(|n| *n != victim).collect();
    w.network.one_way.extend(others.iter().map(|n| (*n, victim)));
    w.run(8_000);
    for n in &others {
        let link = (*n, format!("n{victim}"));
        assert!(w.network.reconnects.contains(&link), "{:?}", w.network.reconnects);
    }
    for i in 0..w.workers.len() {
        assert_ne!(w.shard_owner_of(i), victim);
    }
    w.accept(others[0], &job(3, "t1", 6, 5.0));
    assert!(w.until_done("run-000003", 60_000));
    w.network.one_way.clear();
    w.run(12_000);
    assert!((0..w.workers.len()).any(|i| w.shard_owner_of(i) == victim), "its blocks come home");
    w.fair();
}

#[test]
fn a_job_of_many_tasks_is_accepted_recorded_and_survives_a_new_leader() {
    let mut w = world(18);
    w.run_ms = 300;
    let mut j = job(1, "t1", 100_000, 1.0);
    j["cores"] = json!(0.5);
    j["memory_gb"] = json!(0.1);
    w.accept(0, &j);
    w.run(60_000);
    let started = w.oracle.starts.len();
    assert!(started > 100, "{started}");
    let old = w.leader().unwrap();
    w.crash(old, 5_000);
    w.run(20_000);
    assert!(w.oracle.starts.len() > started);
    assert!(w.status((old + 1) % 3, "run-000001") != "done");
    w.fair();
}

#[test]
fn what_cannot_be_taken_is_answered_at_once_and_names_the_field() {
    let mut w = world(19);
    let cases: Vec<(&str, Value, u16)> = vec![
        ("name_id", json!("job-1"), 400),
        ("shape", json!("ensemble"), 400),
        ("urgency", json!("soon"), 400),
        ("pieces", json!(0), 400),
        ("pieces", json!(100_001), 400),
        ("pieces", json!(1.5), 400),
        ("cores", json!(-1.0), 400),
        ("cores", json!("many"), 400),
        ("memory_gb", Value::Null, 400),
        ("standby", json!("yes"), 400),
        ("hulltypes", json!([1]), 400),
        ("due_s", json!(-5), 400),
        ("crew", json!("nobody"), 422),
        ("cores", json!(17.0), 422),
        ("hulltypes", json!(["other"]), 422),
    ];
    for (field, value, status) in cases {
        let mut j = job(7, "t0", 2, 10.0);
        j[field] = value.clone();
        let r = w.ask(0, HttpRequest::Submit(j.to_string().into_bytes()));
        w.run(100);
        let a = &w.users.answers[&r];
        assert_eq!(a.status, status, "{field} = {value}: {}", a.body);
        if status == 400 {
            assert!(a.body.contains(field), "{}", a.body);
        }
    }
    for body in [&b"not json"[..], b"[1]", b"", b"{}"] {
        let r = w.ask(0, HttpRequest::Submit(body.to_vec()));
        w.run(100);
        assert_eq!(w.users.answers[&r].status, 400);
    }
    for id in ["run-000007", "x", "run-", "run-1/2"] {
        assert_eq!(w.status(1, id), "404");
    }
}

#[test]
fn before_the_types_are_known_users_are_told_to_come_back() {
    let mut w = World::new(3, 30);
    w.cloud.is_down = true;
    w.run(4_000);
    let r = w.submit(0, &job(1, "t0", 1, 10.0));
    w.run(100);
    assert_eq!((w.users.answers[&r].status, w.users.answers[&r].retry_after_s), (503, Some(1)));
    w.cloud.is_down = false;
    w.accept(0, &job(1, "t0", 1, 10.0));
    assert!(w.until_done("run-000001", 90_000));
}

#[test]
fn refused_capacity_is_not_asked_for_in_a_loop() {
    let mut w = world(31);
    w.cloud.capacity = 1;
    w.accept(0, &job(1, "t1", 12, 10.0));
    assert!(w.until_done("run-000001", 300_000));
    w.fair();
}

/// One fault, drawn at random, or the end of one.
fn random_fault(w: &mut World, ids: &[String], copies: &mut Vec<WorkerHeartbeat>) {
    match w.rng.random_range(0..19) {
        0 => {
            let n = w.rng.random_range(0..3);
            let back = w.rng.random_range(100..6_000);
            w.crash(n, back);
        }
        1 => w.store.down = !w.store.down,
        2 => {
            let n = w.rng.random_range(0..3);
            w.store.refuses.insert(n);
        }
        3 => w.store.refuses.clear(),
        4 => {
            let (a, b) = (w.rng.random_range(0..3), w.rng.random_range(0..4));
            w.network.cuts.insert((a, if b == 3 { usize::MAX } else { b }));
        }
        5 => w.network.cuts.clear(),
        6 if !w.workers.is_empty() => {
            let i = w.rng.random_range(0..w.workers.len());
            w.workers[i].cut = !w.workers[i].cut;
        }
        7 if !w.workers.is_empty() => {
            let i = w.rng.random_range(0..w.workers.len());
            w.workers[i].alive = false;
            let name = w.workers[i].name.clone();
            w.cloud.returned.push(name);
        }
        8 => w.store_faults.loss = if w.store_faults.loss > 0.0 { 0.0 } else { 0.2 },
        9 => w.cloud.is_down = !w.cloud.is_down,
        11 if !w.workers.is_empty() => {
            let i = w.rng.random_range(0..w.workers.len());
            w.network.lose_replies.insert(i);
        }
        12 => w.network.lose_replies.clear(),
        13 if !w.workers.is_empty() => {
            let i = w.rng.random_range(0..w.workers.len());
            w.restart_worker(i);
        }
        14 | 15 if !w.workers.is_empty() => {
            // Copies from seconds to minutes ago reach any node.
            for _ in 0..4 {
                let i = w.rng.random_range(0..w.workers.len());
                copies.push(w.workers[i].heartbeat());
                let c = w.rng.random_range(0..copies.len());
                let n = w.rng.random_range(0..3);
                w.late_heartbeat(n, copies[c].clone());
            }
        }
        16 => {
            // Alone with its workers.
            let n = w.rng.random_range(0..3);
            w.store.refuses.insert(n);
            w.network.cuts.extend((0..3).filter(|o| *o != n).map(|o| (n, o)));
        }
        10 if !ids.is_empty() => {
            let i = w.rng.random_range(0..ids.len());
            let id = ids[i].clone();
            w.cancel(0, &id);
        }
        _ => {}
    }
}

/// Everything works again, but for machines that are cut off.
fn end_faults(w: &mut World) {
    w.store.down = false;
    w.store.refuses.clear();
    w.network.cuts.clear();
    w.store_faults.loss = 0.0;
    w.cloud.is_down = false;
    w.network.lose_replies.clear();
    w.run(5_000);
}

/// Random faults of every kind over the whole service, with the rules as the
/// oracle. What was accepted has to complete once the faults are over.
#[test]
fn random_faults_break_no_rule() {
    for seed in 0..20 {
        let mut w = world(100 + seed);
        w.run_ms = 8_000;
        let mut ids = Vec::new();
        let mut copies = Vec::new();
        for step in 0..60u32 {
            if step % 5 == 0 && step < 40 {
                let id = 1 + step;
                let team = if step % 10 == 0 { "t0" } else { "t1" };
                let tasks = w.rng.random_range(1..14);
                let node = w.rng.random_range(0..3);
                let r = w.submit(node, &job(id, team, tasks, 8.0));
                w.run(300);
                if w.users.answers.get(&r).is_some_and(|a| a.status < 300) {
                    ids.push(format!("run-{id:06}"));
                }
            }
            random_fault(&mut w, &ids, &mut copies);
            let ms = w.rng.random_range(200..4_000);
            w.run(ms);
        }
        end_faults(&mut w);
        // Whatever happened, what was accepted is known to all.
        for id in &ids {
            for n in 0..3 {
                let s = w.status(n, id);
                assert!(!["404", "503", "none"].contains(&s.as_str()), "seed {seed}: {id} at n{n}: {s}");
            }
        }
        for x in &mut w.workers {
            x.cut = false;
        }
        w.run(60_000);
        for id in &ids {
            if !w.users.cancelled.contains_key(id) {
                let s = w.store.keys.get(&format!("w/job/{id}")).map(|v| v.0["s"].clone());
                assert!(
                    s == Some(json!("c")) || w.until_done(id, 200_000),
                    "seed {seed}: {id} is stuck as {s:?}"
                );
            }
        }
        assert!(
            w.oracle.broken.is_empty(),
            "seed {seed}: {:?}",
            &w.oracle.broken[..w.oracle.broken.len().min(5)]
        );
    }
}

/// A leader that also holds machines stands still for longer than any authority:
/// its work is done elsewhere meanwhile. On waking it finds a pile of old reports,
/// answers and records, and may do nothing on them.
#[test]
fn a_node_that_stood_still_is_replaced_and_harms_nothing() {
    for seed in [84, 85, 86] {
        let mut w = busy_world(seed, 8);
        w.run_ms = 8_000;
        let leader = w.leader().unwrap();
        w.freeze(leader);
        let other = (leader + 1) % 3;
        w.run(8_000);
        assert_ne!(w.leader(), Some(leader));
        assert!((0..w.workers.len()).all(|i| w.shard_owner_of(i) != leader));
        w.accept(other, &job(3, "t0", 16, 8.0));
        assert!(w.until_done("run-000003", 45_000));
        assert_eq!(w.cancel(other, "run-000002"), 200);
        w.thaw(leader);
        w.run(30_000);
        assert_eq!(w.status(leader, "run-000002"), "withdrawn");
        w.accept(leader, &job(4, "t0", 8, 8.0));
        assert!(w.until_done("run-000004", 60_000));
        w.fair();
    }
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

/// A process that leads right after its start knows machines older than itself,
/// and gives back at once what nobody needs any more.
#[test]
fn a_leader_that_has_just_started_drains_what_is_surplus() {
    let mut w = world(91);
    w.accept(0, &job(1, "t1", 16, 10.0));
    assert!(w.until_done("run-000001", 90_000));
    w.run(60_000);
    let there = w.workers.iter().filter(|x| x.alive).count();
    for i in 0..8 {
        w.add_worker(500 + i, support::ZONES[i % 2], false, 100);
    }
    w.run(20_000);
    for n in 0..3 {
        w.crash(n, 1_000);
    }
    // Well over a minute old by now, and idle.
    w.run(45_000);
    let left = w.workers.iter().filter(|x| x.alive).count();
    assert!(left <= there + 1, "{left} machines are still there");
    w.fair();
}

/// A node several times slower than its peers, holder or leader, keeps what it
/// can and harms nothing; when it gets still slower its blocks go elsewhere.
#[test]
fn a_node_several_times_slower_loses_and_doubles_nothing() {
    for (seed, lag, leads) in [(93, 400, true), (94, 900, false), (95, 2_500, false), (96, 2_500, true)]
    {
        let mut w = busy_world(seed, 6);
        w.run_ms = 8_000;
        let leader = w.leader().unwrap();
        let slow = if leads { leader } else { (leader + 1) % 3 };
        w.network.lag.insert(slow, lag);
        for id in 3..9 {
            let node = (slow + 1 + id as usize % 2) % 3;
            w.accept(node, &job(id, "t1", 4, 8.0));
        }
        w.run(20_000);
        let other = (0..3).find(|n| *n != slow && *n != leader).unwrap();
        w.crash(other, 5_000);
        w.run(20_000);
        assert_eq!(w.cancel((slow + 1) % 3, "run-000001"), 200);
        for id in 3..9 {
            assert!(w.until_done(&format!("run-{id:06}"), 150_000), "seed {seed}: job {id}");
        }
        w.network.lag.clear();
        w.run(20_000);
        w.fair();
    }
}

/// Two zones are apart and packets between them wait; within the cut the leader,
/// or another node, crashes. When the cut ends, all that waited arrives at once.
#[test]
fn a_zone_cut_with_packets_held_and_a_crash_in_it_harms_nothing() {
    for (seed, cut_ms, leader_too) in [(97, 12_000, true), (98, 40_000, true), (99, 40_000, false)] {
        let mut w = busy_world(seed, 6);
        w.run_ms = 10_000;
        for id in 3..7 {
            w.accept(id as usize % 3, &job(id, "t1", 6, 10.0));
        }
        let leader = w.leader().unwrap();
        w.part_zones();
        w.run(4_000);
        w.crash(if leader_too { leader } else { (leader + 1) % 3 }, 3_000);
        w.run(cut_ms);
        let now = w.leader().unwrap();
        assert_eq!(w.cancel(now, "run-000002"), 200);
        w.join_zones();
        w.run(30_000);
        for id in 3..7 {
            assert!(w.until_done(&format!("run-{id:06}"), 150_000), "seed {seed}: job {id}");
        }
        for n in 0..3 {
            assert_eq!(w.status(n, "run-000002"), "withdrawn");
        }
        w.fair();
    }
}

/// What is tried again and again in a long outage must not be paid for after it:
/// the node that leads writes and places as soon as it is over. And machines
/// that nobody could answer meanwhile were not silent.
#[test]
fn a_long_outage_leaves_no_debt_and_costs_no_machine() {
    let mut w = World::large(3, 92);
    w.run_ms = 12_000;
    w.run(5_000);
    for i in 0..40 {
        w.add_worker(i, support::ZONES[i % 2], false, 100);
    }
    w.run(9_000);
    for id in 0..40 {
        w.submit(id as usize % 3, &job(id, "t1", 3, 12.0));
        w.run(100);
    }
    // More than all machines can take at once, so that none is surplus.
    w.submit(0, &job(50, "t1", 600, 12.0));
    w.run(4_000);
    w.store.down = true;
    w.run(60_000);
    w.store.down = false;
    let before = w.oracle.starts.len();
    w.run(25_000);
    assert!(
        w.oracle.starts.len() > before + 150,
        "{} starts after the outage",
        w.oracle.starts.len() - before
    );
    assert!(w.cloud.returned.is_empty(), "{} machines returned", w.cloud.returned.len());
    assert!(w.until_done("run-000050", 120_000));
    w.fair();
}

/// The longer the history and the more kinds of machines, the longer the record
/// of the fleet; past the limit no window would be kept any more.
#[test]
fn the_record_of_the_fleet_stays_within_the_limit() {
    let mut w = World::new(1, 83);
    w.cloud.more_types = 14;
    w.run(5_000);
    w.accept(0, &job(1, "t0", 2, 5.0));
    w.run(900_000);
    let at = w.store.keys["fleet"].0["at"].as_u64().unwrap();
    assert!(at + 11_000 > 1_000_000_000 + w.now, "the newest window is on record");
    w.fair();
}

/// A fleet far larger than ever, through a crash of all nodes at its busiest:
/// all that it asks of the outer systems stays within the settings, machines
/// keep their tasks, and every job completes.
fn fleet_scenario(nodes: usize, machines: usize, jobs: u32, seed: u64) {
    let mut w = World::fleet(nodes, seed);
    w.run_ms = 20_000;
    w.run(5_000);
    for i in 0..machines {
        w.add_worker(i, support::ZONES[i % 2], false, 100 + (i as u64 * 7) % 5_000);
    }
    w.run(9_000);
    for id in 0..jobs {
        w.submit(id as usize % nodes, &job(id, "t1", 60, 20.0));
        w.run(50);
    }
    w.run(5_000);
    assert!(w.oracle.starts.len() > machines, "{} starts", w.oracle.starts.len());
    for n in 0..nodes {
        w.crash(n, 3_000 + 400 * n as u64);
    }
    let left = |w: &World| {
        let done = |id: &u32| w.store.keys[&format!("w/job/run-{id:06}")].0["s"] == "d";
        (0..jobs).filter(|id| !done(id)).count()
    };
    let from = w.now;
    while left(&w) > 0 && w.now < from + 120_000 {
        w.run(500);
    }
    assert_eq!(left(&w), 0, "jobs that did not complete");
    assert!(w.oracle.starts.values().all(|n| *n == 1), "a lease lasted, its tasks did not");
    assert_eq!((w.store.refused, w.cloud.refused), (0, 0));
    assert!(
        w.network.longest_frame < woadlever::wire::peer::MAX_FRAME / 4,
        "{} bytes",
        w.network.longest_frame
    );
    w.fair();
}

#[test]
fn twelve_hundred_machines_on_three_nodes_outlast_a_crash_of_all() {
    fleet_scenario(3, 1_200, 70, 71);
}

#[test]
fn twenty_three_hundred_machines_on_five_nodes_outlast_a_crash_of_all() {
    fleet_scenario(5, 2_300, 80, 72);
}

/// With nothing to do a node costs little: on the smallest machines what it does all
/// the same is the larger part of its processor time.
#[test]
fn an_idle_cluster_asks_and_tells_little() {
    let mut w = world(610);
    w.run(20_000);
    let (requests, frames, calls) = (w.store.requests, w.network.frames, w.cloud.calls);
    w.run(60_000);
    let a_second = |n: u64| n as f64 / 60.0;
    // Watches of two seconds on three nodes, a lease kept, a record a window.
    let requests = a_second(w.store.requests - requests);
    assert!(requests < 3.0, "{requests} requests a second");
    // Two beats a second each way make 12, and two state messages a second both ways for
    // each of two blocks that are not the leader's own another 8.
    let frames = a_second(w.network.frames - frames);
    assert!(frames < 21.0, "{frames} frames a second");
    assert!(w.cloud.calls - calls < 25, "{} calls to the cloud", w.cloud.calls - calls);
}
