//! The state in which the version in production leaves a cluster.

use super::settings::{Next, Size};
use super::{WorkerTask, World};
use serde_json::Value;
use woadlever::config::Operator;
use woadlever::wire::workers::WorkerHeartbeat;

impl World {
    /// As the version in production left it, with all processes new: its
    /// records, and its machines in the midst of their tasks.
    pub fn from_production(seed: u64, next: Next) -> World {
        let text = include_str!("../fixtures/production.json");
        let d: Value = serde_json::from_str(text).expect("fixture");
        let mut w = World::sized(3, seed, Size::Large, Some(next), Operator::default());
        w.store.rates = Some((150.0, 20.0));
        w.cloud.capacity = 0;
        w.run_ms = 200_000;
        w.now = d["now"].as_u64().unwrap();
        for i in 0..3 {
            w.boot(i);
        }
        let number = |v: &Value| v.as_u64().unwrap();
        w.store.revision = number(&d["revision"]);
        w.store.floor = w.store.revision;
        for k in d["keys"].as_array().unwrap() {
            let lease = k[1]["lease"].as_u64();
            if let Some(l) = lease {
                w.store.leases.insert(l, (5_000, w.now + 5_000));
                w.store.next_lease = l;
            }
            let value = (k[1].clone(), number(&k[2]), lease);
            w.store.keys.insert(k[0].as_str().unwrap().into(), value);
        }
        for (i, x) in d["workers"].as_array().unwrap().iter().enumerate() {
            let r: WorkerHeartbeat = serde_json::from_value(x.clone()).expect("worker");
            w.add_worker(i, &r.zone, r.spot, 0);
            let left = x["left_ms"].as_array().unwrap();
            let worker = &mut w.workers[i];
            (worker.incarnation, worker.sequence, worker.fencing_token) =
                (r.incarnation, r.sequence, r.fencing_token);
            for (t, left) in r.tasks.into_iter().zip(left) {
                let (job, task) = t.task.rsplit_once('/').unwrap();
                worker.tasks.push(WorkerTask {
                    job: job.into(),
                    task: task.parse().unwrap(),
                    attempt: t.attempt,
                    state: t.state,
                    why: t.why,
                    at: w.now + number(left),
                });
                w.oracle.starts.insert(format!("{job}/{task}"), 1);
            }
        }
        for (id, j) in d["jobs"].as_object().unwrap() {
            w.users.jobs.insert(id.clone(), j.clone());
            let key = |k: &str| w.store.keys.get(k).map(|v| v.0.clone());
            if key(&format!("w/job/{id}")).is_some_and(|v| v["s"] == "c") {
                w.users.asked_to_cancel.insert(id.clone());
            }
            if key(&format!("progress/{id}/0")).is_some() {
                // As many as the oracle looks at.
                w.oracle.starts.extend((0..200).map(|t| (format!("{id}/{t}"), 1)));
            }
        }
        w
    }
}
