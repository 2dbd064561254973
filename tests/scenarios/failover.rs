//! Leaders and shard owners end, come back, stand still or are cut off.

use crate::fixtures::{busy_machine, busy_world, idle_east, world};
use crate::support::{World, ZONES, job};

/// Twelve tasks on three of the machines: at least one of them is n0's.
fn admit_to_a_slow_shard_owner(w: &mut World, ms: u64) {
    w.store_faults.slow_writes.insert(0, ms);
    let r = w.submit(1, &job(1, "t1", 12, 60.0));
    w.run(400);
    assert_eq!(w.users.answers[&r].status, 201);
}

/// Invariant 1, the shard's fencing token: a shard owner whose write is slow, and that has
/// not heard that its shard went elsewhere, must not get the write through.
#[test]
fn a_slow_write_of_a_former_shard_owner_fails() {
    let mut w = idle_east();
    admit_to_a_slow_shard_owner(&mut w, 8_000);
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
    // takes the shard from a shard owner without a store.
    admit_to_a_slow_shard_owner(&mut w, 6_500);
    w.store.refuses.insert(0);
    w.crash(1, 90_000);
    w.run(25_000);
    assert!(!w.oracle.starts.is_empty());
    w.fair();
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
    let term = w.store.records["w/leader"].version;
    w.crash(old, 200);
    w.run(1_500);
    assert!(w.leader().is_some());
    assert!(
        w.store.records["w/leader"].version > term,
        "waited for the lease of a process known to be gone"
    );
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

/// A shard owner's state message that was under way when the leader granted a task says
/// nothing about that task.
#[test]
fn a_reported_state_older_than_the_admission_loses_nothing() {
    let mut w = world(48);
    w.network.frame_ms = 1_200;
    w.accept(0, &job(1, "t1", 16, 10.0));
    assert!(w.until_done("run-000001", 200_000));
    assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
    w.fair();
}

/// A shard owner that hears of a job later than of its tasks gives the tasks up; it
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

/// A change of shard owner, or its restart, is no sign that a machine is deaf.
#[test]
fn restarts_of_shard_owners_leave_machines_in_use() {
    let mut w = busy_world(59, 4);
    for round in 0..3 {
        for n in 0..3 {
            w.crash(n, 200 + 700 * round);
            w.run(4_000);
        }
    }
    assert!(w.oracle.starts.values().all(|n| *n == 1), "{:?}", w.oracle.starts);
    // Several heartbeats later, machines with room are still used.
    for i in 80..84 {
        w.add_worker(i, ZONES[i % 2], false, 100);
    }
    w.run(14_000);
    let before = w.cloud.rented;
    w.accept(0, &job(3, "t1", 2, 5.0));
    w.run(4_000);
    assert_eq!(w.oracle.starts.keys().filter(|k| k.starts_with("run-000003")).count(), 2);
    assert_eq!(w.cloud.rented, before);
    w.fair();
}

/// Machines go with their leader and shard owner. The new leader has never heard of
/// them, but a record names them and no list does: they go back at once, and
/// their tasks don't wait for the end of every lease that might have been.
#[test]
fn machines_that_went_with_their_leader_are_noticed() {
    let mut w = busy_world(71, 6);
    for i in 60..64 {
        w.add_worker(i, ZONES[i % 2], false, 100);
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

/// A node, leader or shard owner, that loses the store and the other nodes
/// but not its workers: they go on to the new shard owner before their leases end,
/// what is cancelled meanwhile ends in time, and the node takes part again.
#[test]
fn a_node_alone_with_its_workers_stops_answering_them_in_time() {
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
        let owns_a_shard =
            w.store.records_under("w/block/").any(|(_, record)| record.value["node"] == name.as_str());
        assert!(owns_a_shard, "it does not take part again");
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
/// shards back and kept them without ever placing a task. The others must open
/// their links anew, and it holds nothing until it hears the leader.
#[test]
fn a_node_that_hears_nobody_is_told_and_owns_no_shard() {
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

/// A leader that also holds machines stands still for longer than any control lease lasts:
/// its work is done elsewhere meanwhile. On waking it finds a pile of old heartbeats,
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

/// A node several times slower than its peers, shard owner or leader, keeps what it
/// can and harms nothing; when it gets still slower its shards go elsewhere.
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
