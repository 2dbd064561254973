//! Faults drawn at random break no rule.

use crate::fixtures::world;
use crate::support::{World, job};
use rand::RngExt;
use serde_json::json;
use woadlever::wire::workers::WorkerHeartbeat;

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
                let state = w.store.job(id).map(|record| record["s"].clone());
                assert!(
                    state == Some(json!("c")) || w.until_done(id, 200_000),
                    "seed {seed}: {id} is stuck as {state:?}"
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
