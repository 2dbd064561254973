//! Nodes that are cut off, silent, slow or suspended, and how their links are reopened.

use crate::fixtures::{busy_machine, busy_world, world};
use crate::support::job;

/// A leader or shard owner loses the store and the other nodes, but still reaches its workers. The
/// workers move to the new shard owner before their leases end, a job that is cancelled meanwhile
/// ends in time, and the node owns shards again after the fault.
#[test]
fn a_node_alone_with_its_workers_stops_answering_them_in_time() {
    for leader in [false, true] {
        let mut world = busy_world(63, 8);
        let (_, follower) = busy_machine(&world);
        let victim = if leader { world.leader().unwrap() } else { follower };
        for other in (0..3).filter(|node| *node != victim) {
            world.network.unreachable_pairs.insert((victim, other));
        }
        world.store.refused_nodes.insert(victim);
        world.run(9_000);
        assert_ne!(world.leader(), Some(victim));

        let asked = (victim + 1) % 3;
        assert_eq!(world.cancel(asked, "run-000002"), 200);

        world.run(60_000);
        let alive = world.workers.iter().filter(|worker| worker.alive);
        assert!(alive.clone().all(|worker| worker.incarnation == 1), "a lease ended");
        assert!(world.each_task_started_once(), "{:?}", world.oracle.starts);

        world.store.refused_nodes.clear();
        world.network.unreachable_pairs.clear();
        world.run(12_000);
        let name = format!("n{victim}");
        let owns_a_shard = world
            .store
            .records_under("w/block/")
            .any(|(_, record)| record.value["node"] == name.as_str());
        assert!(owns_a_shard, "it owns no shard after the fault");
        assert_eq!(world.status(victim, "run-000001"), "running");
        world.assert_rules_kept();
    }
}

#[test]
fn a_watch_that_fell_behind_is_replaced_by_a_full_read() {
    let mut world = world(15);
    world.accept(0, &job(1, "t1", 2, 10.0));
    world.store.compacted_revision = u64::MAX;
    world.run(4_000);
    world.store.compacted_revision = world.store.revision;
    world.accept(1, &job(2, "t1", 2, 10.0));
    assert!(world.until_done("run-000001", 90_000));
    assert!(world.until_done("run-000002", 90_000));
    world.assert_rules_kept();
}

/// Frames written to a connection whose peer process has ended are lost without an error, so the
/// sender has to abandon such a connection by itself.
#[test]
fn links_to_a_restarted_or_silent_node_are_opened_anew() {
    let mut world = world(17);
    world.network.reconnects.clear();
    world.crash(2, 300);
    world.run(2_000);
    assert!(world.network.reconnects.iter().any(|(node, to)| *node == 0 && to == "n2"));
    world.network.reconnects.clear();
    world.network.unreachable_pairs.insert((0, 1));
    world.run(5_000);
    assert!(world.network.reconnects.iter().any(|(node, to)| *node == 0 && to == "n1"));
}

/// After a suspension, a node may receive nothing from its peers while they receive its frames. Such
/// a node was once assigned its shards again and kept them without ever placing a task. The peers
/// must reopen their links to it, and it must own no shard until it receives the leader's frames.
#[test]
fn a_node_that_receives_no_frames_is_reconnected_and_owns_no_shard() {
    let mut world = busy_world(81, 6);
    let (_, victim) = busy_machine(&world);
    world.task_duration_ms = 5_000;
    let others: Vec<usize> = (0..3).filter(|node| *node != victim).collect();
    world.network.one_way_losses.extend(others.iter().map(|node| (*node, victim)));
    world.run(8_000);
    for node in &others {
        let link = (*node, format!("n{victim}"));
        assert!(world.network.reconnects.contains(&link), "{:?}", world.network.reconnects);
    }
    for index in 0..world.workers.len() {
        assert_ne!(world.shard_owner_of(index), victim);
    }
    world.accept(others[0], &job(3, "t1", 6, 5.0));
    assert!(world.until_done("run-000003", 60_000));

    world.network.one_way_losses.clear();
    world.run(12_000);
    assert!(
        (0..world.workers.len()).any(|index| world.shard_owner_of(index) == victim),
        "it does not own its shards again"
    );
    world.assert_rules_kept();
}

/// A leader that also owns shards is suspended for longer than a control lease lasts, and other
/// nodes take over its work. When it resumes, it receives a backlog of old heartbeats, answers and
/// records, and must not act on them.
#[test]
fn a_suspended_node_is_replaced_and_breaks_no_rule() {
    for seed in [84, 85, 86] {
        let mut world = busy_world(seed, 8);
        world.task_duration_ms = 8_000;
        let leader = world.leader().unwrap();
        world.suspend_node(leader);
        let other = (leader + 1) % 3;
        world.run(8_000);
        assert_ne!(world.leader(), Some(leader));
        assert!((0..world.workers.len()).all(|index| world.shard_owner_of(index) != leader));

        world.accept(other, &job(3, "t0", 16, 8.0));
        assert!(world.until_done("run-000003", 45_000));
        assert_eq!(world.cancel(other, "run-000002"), 200);

        world.resume_node(leader);
        world.run(30_000);
        assert_eq!(world.status(leader, "run-000002"), "withdrawn");

        world.accept(leader, &job(4, "t0", 8, 8.0));
        assert!(world.until_done("run-000004", 60_000));
        world.assert_rules_kept();
    }
}

/// A shard owner or leader that is several times slower than its peers keeps its roles as long as
/// it can and breaks no rule; if it is slower still, its shards are assigned to other nodes.
#[test]
fn a_much_slower_node_loses_and_duplicates_no_task() {
    for (seed, lag, leads) in [(93, 400, true), (94, 900, false), (95, 2_500, false), (96, 2_500, true)]
    {
        let mut world = busy_world(seed, 6);
        world.task_duration_ms = 8_000;
        let leader = world.leader().unwrap();
        let slow = if leads { leader } else { (leader + 1) % 3 };
        world.network.lag.insert(slow, lag);
        for id in 3..9 {
            let node = (slow + 1 + id as usize % 2) % 3;
            world.accept(node, &job(id, "t1", 4, 8.0));
        }
        world.run(20_000);
        let other = (0..3).find(|node| *node != slow && *node != leader).unwrap();
        world.crash(other, 5_000);
        world.run(20_000);
        assert_eq!(world.cancel((slow + 1) % 3, "run-000001"), 200);

        for id in 3..9 {
            assert!(world.until_done(&format!("run-{id:06}"), 150_000), "seed {seed}: job {id}");
        }
        world.network.lag.clear();
        world.run(20_000);
        world.assert_rules_kept();
    }
}

/// Two zones are partitioned and the packets between them are held back. During the partition the
/// leader or another node crashes. When it ends, all held packets arrive at once.
#[test]
fn a_zone_partition_with_held_packets_and_a_crash_breaks_no_rule() {
    for (seed, partition_ms, leader_too) in [(97, 12_000, true), (98, 40_000, true), (99, 40_000, false)]
    {
        let mut world = busy_world(seed, 6);
        world.task_duration_ms = 10_000;
        for id in 3..7 {
            world.accept(id as usize % 3, &job(id, "t1", 6, 10.0));
        }
        let leader = world.leader().unwrap();
        world.partition_zones();
        world.run(4_000);
        world.crash(if leader_too { leader } else { (leader + 1) % 3 }, 3_000);
        world.run(partition_ms);
        let new_leader = world.leader().unwrap();
        assert_eq!(world.cancel(new_leader, "run-000002"), 200);

        world.heal_zones();
        world.run(30_000);
        for id in 3..7 {
            assert!(world.until_done(&format!("run-{id:06}"), 150_000), "seed {seed}: job {id}");
        }
        for node in 0..3 {
            assert_eq!(world.status(node, "run-000002"), "withdrawn");
        }
        world.assert_rules_kept();
    }
}
