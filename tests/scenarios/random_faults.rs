//! Random faults, under which every rule must hold.

use crate::fixtures::world;
use crate::support::network::WORKERS;
use crate::support::{World, job};
use rand::RngExt;
use serde_json::json;
use woadlever::wire::workers::WorkerHeartbeat;

/// Delivers copies of heartbeats that are seconds to minutes old to random nodes.
fn repeat_old_heartbeats(world: &mut World, copies: &mut Vec<WorkerHeartbeat>) {
    for _ in 0..4 {
        let index = world.rng.random_range(0..world.workers.len());
        copies.push(world.workers[index].heartbeat());
        let index = world.rng.random_range(0..copies.len());
        let node = world.rng.random_range(0..3);
        world.late_heartbeat(node, copies[index].clone());
    }
}

/// Starts or ends a randomly chosen fault.
fn random_fault(world: &mut World, ids: &[String], copies: &mut Vec<WorkerHeartbeat>) {
    match world.rng.random_range(0..19) {
        0 => {
            let node = world.rng.random_range(0..3);
            let back = world.rng.random_range(100..6_000);
            world.crash(node, back);
        }
        1 => world.store.is_down = !world.store.is_down,
        2 => {
            let node = world.rng.random_range(0..3);
            world.store.refused_nodes.insert(node);
        }
        3 => world.store.refused_nodes.clear(),
        4 => {
            let (one, other) = (world.rng.random_range(0..3), world.rng.random_range(0..4));
            world.network.unreachable_pairs.insert((one, if other == 3 { WORKERS } else { other }));
        }
        5 => world.network.unreachable_pairs.clear(),
        6 if !world.workers.is_empty() => {
            let index = world.rng.random_range(0..world.workers.len());
            world.workers[index].unreachable = !world.workers[index].unreachable;
        }
        7 if !world.workers.is_empty() => {
            let index = world.rng.random_range(0..world.workers.len());
            world.workers[index].alive = false;
            let name = world.workers[index].name.clone();
            world.cloud.terminated.push(name);
        }
        8 => {
            world.store_faults.lost_answer_share =
                if world.store_faults.lost_answer_share > 0.0 { 0.0 } else { 0.2 }
        }
        9 => world.cloud.is_down = !world.cloud.is_down,
        11 if !world.workers.is_empty() => {
            let index = world.rng.random_range(0..world.workers.len());
            world.network.lost_replies.insert(index);
        }
        12 => world.network.lost_replies.clear(),
        13 if !world.workers.is_empty() => {
            let index = world.rng.random_range(0..world.workers.len());
            world.restart_worker(index);
        }
        14 | 15 if !world.workers.is_empty() => {
            repeat_old_heartbeats(world, copies);
        }
        16 => {
            // The node reaches only its workers.
            let node = world.rng.random_range(0..3);
            world.store.refused_nodes.insert(node);
            world
                .network
                .unreachable_pairs
                .extend((0..3).filter(|peer| *peer != node).map(|peer| (node, peer)));
        }
        10 if !ids.is_empty() => {
            let index = world.rng.random_range(0..ids.len());
            let id = ids[index].clone();
            world.cancel(0, &id);
        }
        _ => {}
    }
}

/// Ends all faults, except that unreachable machines stay unreachable.
fn end_faults(world: &mut World) {
    world.store.is_down = false;
    world.store.refused_nodes.clear();
    world.network.unreachable_pairs.clear();
    world.store_faults.lost_answer_share = 0.0;
    world.cloud.is_down = false;
    world.network.lost_replies.clear();
    world.run(5_000);
}

/// Injects random faults of every kind into the whole service and checks every rule. Accepted jobs
/// have to complete once the faults are over.
#[test]
fn random_faults_break_no_rule() {
    for seed in 0..20 {
        let mut world = world(100 + seed);
        world.task_duration_ms = 8_000;
        let mut ids = Vec::new();
        let mut copies = Vec::new();
        for step in 0..60u32 {
            if step % 5 == 0 && step < 40 {
                let id = 1 + step;
                let team = if step % 10 == 0 { "t0" } else { "t1" };
                let tasks = world.rng.random_range(1..14);
                let node = world.rng.random_range(0..3);
                let request = world.submit(node, &job(id, team, tasks, 8.0));
                world.run(300);
                if world.users.answers.get(&request).is_some_and(|answer| answer.status < 300) {
                    ids.push(format!("run-{id:06}"));
                }
            }
            random_fault(&mut world, &ids, &mut copies);
            let pause_ms = world.rng.random_range(200..4_000);
            world.run(pause_ms);
        }
        end_faults(&mut world);

        // Every node knows every accepted job, whatever faults occurred.
        for id in &ids {
            for node in 0..3 {
                let status = world.status(node, id);
                assert!(
                    !["404", "503", "none"].contains(&status.as_str()),
                    "seed {seed}: {id} at n{node}: {status}"
                );
            }
        }
        for worker in &mut world.workers {
            worker.unreachable = false;
        }
        world.run(60_000);
        for id in &ids {
            if !world.users.cancelled.contains_key(id) {
                let state = world.store.job(id).map(|record| record["s"].clone());
                assert!(
                    state == Some(json!("c")) || world.until_done(id, 200_000),
                    "seed {seed}: {id} is stuck as {state:?}"
                );
            }
        }
        assert!(
            world.oracle.violations.is_empty(),
            "seed {seed}: {:?}",
            &world.oracle.violations[..world.oracle.violations.len().min(5)]
        );
    }
}
