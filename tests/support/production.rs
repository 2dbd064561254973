//! A cluster in the state that the production version of the service leaves behind.

use super::oracle::MAX_CHECKED_TASKS_PER_JOB;
use super::settings::{AnnouncedLimits, Size};
use super::store::{Lease, StoredRecord};
use super::{LARGE_RATES, WorkerTask, World};
use serde_json::Value;
use woadlever::config::Operator;
use woadlever::wire::workers::WorkerHeartbeat;

const NODES: usize = 3;
/// Duration of the restored leases, counted from the start of the test.
const LEASE_TTL_MS: u64 = 5_000;

impl World {
    /// Creates a cluster from a snapshot of the production version: with its store records, with
    /// machines that are still running its tasks, and with new controller processes.
    pub fn from_production(seed: u64, announced: AnnouncedLimits) -> World {
        let text = include_str!("../fixtures/production.json");
        let fixture: Value = serde_json::from_str(text).expect("fixture");
        let mut world = World::sized(NODES, seed, Size::Large, Some(announced), Operator::default());
        world.store.rates = Some(LARGE_RATES);
        world.cloud.capacity = 0;
        world.task_duration_ms = 200_000;
        world.now = fixture["now"].as_u64().unwrap();
        for node in 0..NODES {
            world.boot(node);
        }
        world.restore_store(&fixture);
        for (index, worker) in fixture["workers"].as_array().unwrap().iter().enumerate() {
            world.restore_worker(index, worker);
        }
        for (id, spec) in fixture["jobs"].as_object().unwrap() {
            world.restore_job(id, spec);
        }
        world
    }

    /// Restores the store records and the leases they are attached to.
    fn restore_store(&mut self, fixture: &Value) {
        self.store.revision = number(&fixture["revision"]);
        self.store.compacted_revision = self.store.revision;
        for entry in fixture["keys"].as_array().unwrap() {
            let (key, value, version) = (&entry[0], &entry[1], &entry[2]);
            let lease = value["lease"].as_u64();
            if let Some(id) = lease {
                let ends_at = self.now + LEASE_TTL_MS;
                self.store.leases.insert(id, Lease { ttl_ms: LEASE_TTL_MS, ends_at });
                self.store.last_lease = id;
            }
            let record = StoredRecord { value: value.clone(), version: number(version), lease };
            let key = key.as_str().unwrap();
            if key.starts_with("place/") {
                self.store.recorded_attempts.add_existing(&record.value);
            }
            self.store.records.insert(key.into(), record);
        }
    }

    /// Restores a worker that continues with its incarnation and its tasks.
    fn restore_worker(&mut self, index: usize, fixture: &Value) {
        let heartbeat: WorkerHeartbeat = serde_json::from_value(fixture.clone()).expect("worker");
        self.add_worker(index, &heartbeat.zone, heartbeat.spot, 0);
        let left_ms = fixture["left_ms"].as_array().unwrap();
        let worker = &mut self.workers[index];
        worker.incarnation = heartbeat.incarnation;
        worker.sequence = heartbeat.sequence;
        worker.fencing_token = heartbeat.fencing_token;
        for (listed, left_ms) in heartbeat.tasks.into_iter().zip(left_ms) {
            let (job, task) = listed.task.rsplit_once('/').unwrap();
            worker.tasks.push(WorkerTask {
                job: job.into(),
                task: task.parse().unwrap(),
                attempt: listed.attempt,
                state: listed.state,
                end_reason: listed.end_reason,
                next_transition_at: self.now + number(left_ms),
            });
            self.oracle.starts.insert(format!("{job}/{task}"), 1);
        }
    }

    /// Restores a job, with the cancellations and task starts that follow from its records.
    fn restore_job(&mut self, id: &str, spec: &Value) {
        self.users.jobs.insert(id.into(), spec.clone());
        if self.store.job(id).is_some_and(|record| record["s"] == "c") {
            self.users.asked_to_cancel.insert(id.into());
        }
        if self.store.value(&format!("progress/{id}/0")).is_some() {
            let tasks = (0..MAX_CHECKED_TASKS_PER_JOB).map(|task| (format!("{id}/{task}"), 1));
            self.oracle.starts.extend(tasks);
        }
    }
}

fn number(value: &Value) -> u64 {
    value.as_u64().unwrap()
}
