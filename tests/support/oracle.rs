//! The rules of the protocol, checked at each start of a task, each step of time
//! and each answer to a user.

use super::{Answer, CANCEL_MS, WorkerTask, World, settings::Size};
use serde_json::Value;
use std::collections::{HashMap, HashSet};
use woadlever::wire::workers::TaskState;

/// What has been started, and the rules that were broken.
#[derive(Default)]
pub struct Oracle {
    /// Starts by task.
    pub starts: HashMap<String, u32>,
    pub broken: Vec<String>,
    called_done: HashSet<String>,
    /// Tasks that started after their job's cancellation was confirmed: how long
    /// after.
    pub late_starts: Vec<(String, u64)>,
    /// Tasks that have been started in other cells.
    pub elsewhere: HashSet<String>,
}

impl World {
    /// The jobs that a job awaits, directly or through others.
    pub fn before(&self, id: &str) -> Vec<String> {
        let mut out: Vec<String> = Vec::new();
        let mut list = vec![id.to_string()];
        while let Some(id) = list.pop() {
            for a in self.users.jobs.get(&id).and_then(|j| j["awaits"].as_array()).into_iter().flatten()
            {
                let a = a.as_str().unwrap_or_default().to_string();
                if !out.contains(&a) {
                    out.push(a.clone());
                    list.push(a);
                }
            }
        }
        out
    }

    /// Holds an answer to a user against what users were told before.
    pub(super) fn hear(&mut self, answer: &Answer) {
        let v: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        let (Some(id), Some(status)) = (v["name_id"].as_str(), v["status"].as_str()) else { return };
        if let Some(before) = self.users.told.get(id).filter(|b| *b != status) {
            self.oracle.broken.push(format!("{} went_back {id}: {before}, then {status}", self.now));
        }
        let mut family = self.before(id);
        family.push(id.to_string());
        match status {
            "queued" | "running" => {
                let late = |a: &&String| {
                    self.users.cancelled.get(*a).is_some_and(|at| self.now > at + CANCEL_MS)
                };
                if let Some(a) = family.iter().find(late) {
                    self.oracle.broken.push(format!("{} orphaned {id}: {a} is withdrawn", self.now));
                }
            }
            "withdrawn" => {
                let key = |a: &String| format!("w/job/{a}");
                let cancelled = |a: &String| {
                    self.users.asked_to_cancel.contains(a)
                        || self.store.keys.get(&key(a)).is_some_and(|v| v.0["s"] == "c" && a != id)
                };
                if !family.iter().any(cancelled) {
                    self.oracle.broken.push(format!("{} went_back {id}: nobody cancelled it", self.now));
                }
                self.users.told.insert(id.into(), status.into());
                if self.users.asked_to_cancel.contains(id) {
                    self.users.cancelled.entry(id.into()).or_insert(self.now);
                }
            }
            _ => {
                self.users.told.insert(id.into(), status.into());
            }
        }
    }

    /// Checks the rules at the start of a task.
    pub(super) fn started(&mut self, worker: usize, job: &str, task: u32) {
        *self.oracle.starts.entry(format!("{job}/{task}")).or_default() += 1;
        self.check_cancelled(job, task);
        self.check_runs_once(worker, job, task);
        let Some(spec) = self.users.jobs.get(job).cloned() else {
            self.oracle.broken.push(format!("started an unknown job {job}"));
            return;
        };
        self.check_dependencies(&spec, job, task);
        let started_on = &self.workers[worker];
        let is_wrong_zone = spec["yard"].as_str().is_some_and(|zone| zone != started_on.zone);
        if spec["standby"] == false && started_on.spot || is_wrong_zone {
            self.oracle.broken.push(format!("{} wrong_place {job}/{task}", self.now));
        }
        // A look at all tasks of all machines for each start would take longer
        // than the service itself; no team's limit is near here.
        if self.size != Size::Fleet || self.oracle.starts.len().is_multiple_of(200) {
            self.check_sums(&spec, job, task);
        }
    }

    fn check_cancelled(&mut self, job: &str, task: u32) {
        let Some(at) = self.users.cancelled.get(job) else { return };
        self.oracle.late_starts.push((format!("{job}/{task}"), self.now - at));
        if self.now > at + CANCEL_MS {
            self.oracle.broken.push(format!("{} ran_cancelled {job}/{task} started", self.now));
        }
    }

    fn check_runs_once(&mut self, worker: usize, job: &str, task: u32) {
        let is_it = |other: &WorkerTask| other.task == task && other.job == job && other.runs();
        for (index, other) in self.workers.iter().enumerate() {
            if index != worker && other.alive && other.tasks.iter().any(is_it) {
                self.oracle.broken.push(format!("{} ran_twice {job}/{task}", self.now));
            }
        }
    }

    fn check_dependencies(&mut self, spec: &Value, job: &str, task: u32) {
        for dependency in spec["awaits"].as_array().into_iter().flatten() {
            let key = format!("w/job/{}", dependency.as_str().unwrap_or_default());
            if self.store.keys.get(&key).is_none_or(|record| record.0["s"] != "d") {
                let broken = format!("{} too_early {job}/{task}: {dependency} is not done", self.now);
                self.oracle.broken.push(broken);
            }
        }
    }

    /// Checks the zones of a job's tasks and what teams use in all.
    fn check_sums(&mut self, spec: &Value, job: &str, task: u32) {
        let mut zones: HashMap<&str, u64> = HashMap::new();
        let mut used: HashMap<&str, f64> = HashMap::new();
        for worker in self.workers.iter().filter(|worker| worker.alive) {
            for running in worker.tasks.iter().filter(|running| running.runs()) {
                if running.job == job {
                    *zones.entry(&worker.zone).or_default() += 1;
                }
                if let Some(spec) = self.users.jobs.get(&running.job) {
                    *used.entry(spec["crew"].as_str().unwrap()).or_default() +=
                        spec["cores"].as_f64().unwrap();
                }
            }
        }
        let (one_zone, spread) = (spec["one_zone"] == true, spec["scatter"] == true);
        let most = spec["pieces"].as_u64().unwrap_or(0).div_ceil(2);
        if one_zone && zones.len() > 1 || spread && zones.values().any(|count| *count > most) {
            self.oracle.broken.push(format!("{} wrong_place (zones) {job}/{task}", self.now));
        }
        let quota = match self.size {
            Size::Small => 64.0,
            Size::Large => 4_000.0,
            Size::Fleet => 100_000.0,
        };
        for (team, quota) in [("t0", 32.0), ("t1", quota)] {
            if used.get(team).is_some_and(|used| *used > quota) {
                self.oracle.broken.push(format!("{} quota {team}", self.now));
            }
        }
    }

    pub(super) fn check(&mut self) {
        for (job, at) in &self.users.cancelled {
            if self.now > at + CANCEL_MS
                && self.workers.iter().any(|w| {
                    w.alive && w.tasks.iter().any(|t| t.job == *job && t.state != TaskState::Exited)
                })
            {
                self.oracle.broken.push(format!("{} ran_cancelled {job}", self.now));
            }
        }
        // Starts only grow, so a job is looked at once, when it is called done.
        for (id, spec) in &self.users.jobs {
            if self.oracle.called_done.contains(id) {
                continue;
            }
            let Some(v) = self.store.keys.get(&format!("w/job/{id}")) else { continue };
            if v.0["s"] == "d" {
                self.oracle.called_done.insert(id.clone());
                for t in 0..spec["pieces"].as_u64().unwrap_or(0).min(200) {
                    let task = format!("{id}/{t}");
                    if !self.oracle.starts.contains_key(&task) && !self.oracle.elsewhere.contains(&task)
                    {
                        self.oracle.broken.push(format!("{} not_done {id}/{t}", self.now));
                    }
                }
            }
        }
    }

    pub fn fair(&self) {
        assert!(
            self.oracle.broken.is_empty(),
            "rules broken: {:?}",
            &self.oracle.broken[..self.oracle.broken.len().min(5)]
        );
    }
    /// Tasks on machines that no record speaks of.
    pub fn off_record(&self) -> Vec<String> {
        let mut listed: HashSet<(String, u64)> = HashSet::new();
        for (_, v) in self.store.keys.iter().filter(|(k, _)| k.starts_with("place/")) {
            let base = v.0["b"].as_u64().unwrap();
            for m in v.0["m"].as_array().unwrap() {
                let name = m[0].as_str().unwrap();
                let ids = m[3].as_array().unwrap().chunks(3).map(|t| base + t[2].as_u64().unwrap());
                listed.extend(ids.map(|id| (name.to_string(), id)));
            }
        }
        let mut out = Vec::new();
        for w in self.workers.iter().filter(|w| w.alive) {
            let live = |t: &&WorkerTask| t.state != TaskState::Exited;
            for t in w.tasks.iter().filter(live) {
                if !listed.contains(&(w.name.clone(), t.attempt)) {
                    out.push(format!("{}/{} on {}", t.job, t.task, w.name));
                }
            }
        }
        out
    }
}
