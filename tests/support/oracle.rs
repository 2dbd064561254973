//! The rules of the protocol, checked at each start of a task, at each tick and at each answer
//! to a user.

use super::recorded_attempts::attempts_of;
use super::{Answer, CANCEL_MS, WorkerTask, World};
use serde_json::Value;
use std::collections::{HashMap, HashSet};
use woadlever::wire::workers::TaskState;

/// Tolerance for rounding errors in sums of CPUs or GPUs.
const QUOTA_TOLERANCE: f64 = 1e-6;
/// Maximum number of tasks per job that are checked for having been started.
pub(super) const MAX_CHECKED_TASKS_PER_JOB: u64 = 200;

/// Quota of a team and the resources that its tasks use.
#[derive(Default)]
struct TeamUsage {
    max_cpus: f64,
    max_gpus: f64,
    /// CPUs in use: an upper bound, because started tasks are added at once and ended tasks are
    /// only removed by a recount.
    cpus: f64,
    /// GPUs in use: an upper bound in the same way.
    gpus: f64,
}

impl TeamUsage {
    fn is_over_limit(&self) -> bool {
        self.cpus > self.max_cpus + QUOTA_TOLERANCE || self.gpus > self.max_gpus + QUOTA_TOLERANCE
    }

    /// Adds one task of a job with this specification.
    fn add(&mut self, spec: &Value) {
        self.cpus += spec["cores"].as_f64().unwrap_or(0.0);
        self.gpus += spec["cards"].as_f64().unwrap_or(0.0);
    }
}

/// Faults that a leader has found by itself in its term.
#[derive(Debug, Clone, Copy, Default)]
struct LeaderFaults {
    quota_violations: u64,
    duplicate_admissions: u64,
}

/// Task starts so far, and the rules that were broken.
#[derive(Default)]
pub struct Oracle {
    /// Number of starts of each task.
    pub starts: HashMap<String, u32>,
    /// Violations of the rules, each with its time and cause.
    pub violations: Vec<String>,
    /// Number of starts that were checked against the quota of their team.
    pub checked_starts: u64,
    /// Faults that each node had found at the last tick.
    leader_faults: HashMap<usize, LeaderFaults>,
    /// Jobs recorded as done whose tasks have been checked.
    checked_done_jobs: HashSet<String>,
    /// Usage by team name.
    teams: HashMap<String, TeamUsage>,
    /// Tasks that started after their job's cancellation was confirmed, and how many milliseconds
    /// after it.
    pub late_starts: Vec<(String, u64)>,
    /// Tasks that have been started in other cells.
    pub elsewhere: HashSet<String>,
}

impl World {
    /// Returns the jobs that a job depends on, directly or transitively.
    fn dependencies_of(&self, id: &str) -> Vec<String> {
        let mut found: Vec<String> = Vec::new();
        let mut unvisited = vec![id.to_string()];
        while let Some(id) = unvisited.pop() {
            let spec = self.users.jobs.get(&id);
            let listed = spec.and_then(|spec| spec["awaits"].as_array());
            for dependency in listed.into_iter().flatten() {
                let dependency = dependency.as_str().unwrap_or_default().to_string();
                if !found.contains(&dependency) {
                    found.push(dependency.clone());
                    unvisited.push(dependency);
                }
            }
        }
        found
    }

    /// Checks an answer to a user against the statuses reported before.
    pub(super) fn check_answer(&mut self, answer: &Answer) {
        let body: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        let (Some(id), Some(status)) = (body["name_id"].as_str(), body["status"].as_str()) else {
            return;
        };
        if let Some(earlier) =
            self.users.reported_final_status.get(id).filter(|earlier| *earlier != status)
        {
            self.oracle
                .violations
                .push(format!("{} went_back {id}: {earlier}, then {status}", self.now));
        }
        match status {
            "queued" | "running" => self.check_unfinished_answer(id),
            "withdrawn" => self.check_cancelled_answer(id),
            _ => {
                self.users.reported_final_status.insert(id.into(), status.into());
            }
        }
    }

    /// Returns the job and all jobs that it depends on.
    fn with_dependencies(&self, id: &str) -> Vec<String> {
        let mut jobs = self.dependencies_of(id);
        jobs.push(id.to_string());
        jobs
    }

    /// Checks that a job isn't reported as unfinished more than [`CANCEL_MS`] after it or a
    /// dependency was cancelled.
    fn check_unfinished_answer(&mut self, id: &str) {
        let was_cancelled_long_ago =
            |job: &&String| self.users.cancelled.get(*job).is_some_and(|at| self.now > at + CANCEL_MS);
        if let Some(cancelled) = self.with_dependencies(id).iter().find(was_cancelled_long_ago) {
            self.oracle.violations.push(format!("{} orphaned {id}: {cancelled} is withdrawn", self.now));
        }
    }

    /// Checks that a job is reported as cancelled only if a user asked to cancel it or a
    /// dependency, or a dependency is recorded as cancelled.
    fn check_cancelled_answer(&mut self, id: &str) {
        let is_on_record = |job: &str| self.store.job(job).is_some_and(|record| record["s"] == "c");
        let was_cancelled =
            |job: &String| self.users.asked_to_cancel.contains(job) || is_on_record(job) && job != id;
        if !self.with_dependencies(id).iter().any(was_cancelled) {
            self.oracle.violations.push(format!("{} went_back {id}: nobody cancelled it", self.now));
        }
        self.users.reported_final_status.insert(id.into(), "withdrawn".into());
        if self.users.asked_to_cancel.contains(id) {
            self.users.cancelled.entry(id.into()).or_insert(self.now);
        }
    }

    /// Checks the rules at the start of a task.
    pub(super) fn check_start(&mut self, worker: usize, job: &str, task: u32) {
        *self.oracle.starts.entry(format!("{job}/{task}")).or_default() += 1;
        self.check_cancelled(job, task);
        self.check_runs_once(worker, job, task);
        let Some(spec) = self.users.jobs.get(job).cloned() else {
            self.oracle.violations.push(format!("started an unknown job {job}"));
            return;
        };
        self.check_dependencies(&spec, job, task);
        let started_on = &self.workers[worker];
        let is_wrong_zone = spec["yard"].as_str().is_some_and(|zone| zone != started_on.zone);
        if spec["standby"] == false && started_on.spot || is_wrong_zone {
            self.oracle.violations.push(format!("{} wrong_place {job}/{task}", self.now));
        }
        self.check_quota(&spec, job, task);
        // Checking all tasks of all machines at each start would take longer than the service
        // itself.
        if !self.size.is_fleet() || self.oracle.starts.len().is_multiple_of(200) {
            self.check_zones(&spec, job, task);
        }
    }

    /// Reads the quotas of the teams from the settings of the nodes.
    pub(super) fn load_team_limits(&mut self) {
        for team in self.platform_of(0).cluster.teams {
            let (max_cpus, max_gpus) = (team.cpus_max, team.gpus_max);
            self.oracle
                .teams
                .insert(team.name, TeamUsage { max_cpus, max_gpus, ..TeamUsage::default() });
        }
    }

    /// Checks the usage of the team, including the task that starts. Only starts increase the
    /// usage, so a check at each start misses no violation.
    fn check_quota(&mut self, spec: &Value, job: &str, task: u32) {
        self.oracle.checked_starts += 1;
        let name = spec["crew"].as_str().unwrap_or_default();
        let Some(team) = self.oracle.teams.get_mut(name) else { return };
        team.add(spec);
        if !team.is_over_limit() {
            return;
        }
        self.recount_team_usage(name);
        let team = &self.oracle.teams[name];
        if team.is_over_limit() {
            let violation = format!(
                "{} quota {name}: {} of {} CPUs with {job}/{task}",
                self.now, team.cpus, team.max_cpus
            );
            self.oracle.violations.push(violation);
        }
    }

    /// Recounts the resources that a team's tasks use. A task counts from the moment its image is
    /// fetched until the task or its machine has ended, also on machines that hang or are
    /// unreachable.
    fn recount_team_usage(&mut self, name: &str) {
        let Some(team) = self.oracle.teams.get_mut(name) else { return };
        (team.cpus, team.gpus) = (0.0, 0.0);
        for worker in self.workers.iter().filter(|worker| worker.alive) {
            for running in worker.tasks.iter().filter(|running| running.runs()) {
                let spec = self.users.jobs.get(&running.job);
                if let Some(spec) = spec.filter(|spec| spec["crew"] == name) {
                    team.add(spec);
                }
            }
        }
    }

    fn check_cancelled(&mut self, job: &str, task: u32) {
        let Some(at) = self.users.cancelled.get(job) else { return };
        self.oracle.late_starts.push((format!("{job}/{task}"), self.now - at));
        if self.now > at + CANCEL_MS {
            self.oracle.violations.push(format!("{} ran_cancelled {job}/{task} started", self.now));
        }
    }

    fn check_runs_once(&mut self, worker: usize, job: &str, task: u32) {
        let is_same_task = |other: &WorkerTask| other.task == task && other.job == job && other.runs();
        for (index, other) in self.workers.iter().enumerate() {
            if index != worker && other.alive && other.tasks.iter().any(is_same_task) {
                self.oracle.violations.push(format!("{} ran_twice {job}/{task}", self.now));
            }
        }
    }

    fn check_dependencies(&mut self, spec: &Value, job: &str, task: u32) {
        for dependency in spec["awaits"].as_array().into_iter().flatten() {
            let record = self.store.job(dependency.as_str().unwrap_or_default());
            if record.is_none_or(|record| record["s"] != "d") {
                let violation = format!("{} too_early {job}/{task}: {dependency} is not done", self.now);
                self.oracle.violations.push(violation);
            }
        }
    }

    /// Checks that the tasks of a job run in one zone, or are spread over the zones, if the job
    /// demands it.
    fn check_zones(&mut self, spec: &Value, job: &str, task: u32) {
        let mut zones: HashMap<&str, u64> = HashMap::new();
        for worker in self.workers.iter().filter(|worker| worker.alive) {
            let of_job = worker.tasks.iter().filter(|running| running.runs() && running.job == job);
            let count = of_job.count() as u64;
            if count > 0 {
                *zones.entry(&worker.zone).or_default() += count;
            }
        }
        let (one_zone, spread) = (spec["one_zone"] == true, spec["scatter"] == true);
        let max_per_zone = spec["pieces"].as_u64().unwrap_or(0).div_ceil(2);
        if one_zone && zones.len() > 1 || spread && zones.values().any(|count| *count > max_per_zone) {
            self.oracle.violations.push(format!("{} wrong_place (zones) {job}/{task}", self.now));
        }
    }

    /// Checks the rules that must hold at every tick.
    pub(super) fn check(&mut self) {
        self.check_cancelled_jobs_are_gone();
        self.check_done_jobs_were_started();
        self.check_leader_faults();
        let unadmitted = self.store.recorded_attempts.take_unadmitted();
        let violations = unadmitted.into_iter().map(|found| format!("{} {found}", self.now));
        self.oracle.violations.extend(violations);
    }

    /// Checks that no leader has found a fault: its own usage counts must agree with the reports of
    /// the shard owners and with the limits, and it must not try to admit a task that has an
    /// attempt.
    fn check_leader_faults(&mut self) {
        for node in 0..self.node_count {
            let found = self.core(node).map_or(LeaderFaults::default(), |core| {
                let statistics = core.statistics();
                LeaderFaults {
                    quota_violations: statistics.quota_violations,
                    duplicate_admissions: statistics.duplicate_admissions,
                }
            });
            let known = self.oracle.leader_faults.insert(node, found).unwrap_or_default();
            if found.quota_violations > known.quota_violations
                || found.duplicate_admissions > known.duplicate_admissions
            {
                self.oracle.violations.push(format!("{} alarm at n{node}: {found:?}", self.now));
            }
        }
    }

    fn check_cancelled_jobs_are_gone(&mut self) {
        for (job, at) in &self.users.cancelled {
            let is_unfinished = |task: &WorkerTask| task.job == *job && task.state != TaskState::Ended;
            if self.now > at + CANCEL_MS
                && self
                    .workers
                    .iter()
                    .any(|worker| worker.alive && worker.tasks.iter().any(is_unfinished))
            {
                self.oracle.violations.push(format!("{} ran_cancelled {job}", self.now));
            }
        }
    }

    /// Checks that all tasks of a done job were started. The set of starts only grows, so each job
    /// is checked once, when it is recorded as done.
    fn check_done_jobs_were_started(&mut self) {
        for (id, spec) in &self.users.jobs {
            let is_done = || self.store.job(id).is_some_and(|record| record["s"] == "d");
            if self.oracle.checked_done_jobs.contains(id) || !is_done() {
                continue;
            }
            self.oracle.checked_done_jobs.insert(id.clone());
            for number in 0..spec["pieces"].as_u64().unwrap_or(0).min(MAX_CHECKED_TASKS_PER_JOB) {
                let task = format!("{id}/{number}");
                if !self.oracle.starts.contains_key(&task) && !self.oracle.elsewhere.contains(&task) {
                    self.oracle.violations.push(format!("{} not_done {task}", self.now));
                }
            }
        }
    }

    /// Panics if a rule was broken.
    pub fn assert_rules_kept(&self) {
        assert!(
            self.oracle.violations.is_empty(),
            "rules broken: {:?}",
            &self.oracle.violations[..self.oracle.violations.len().min(5)]
        );
    }

    /// Whether no task was started more than once.
    pub fn each_task_started_once(&self) -> bool {
        self.oracle.starts.values().all(|starts| *starts == 1)
    }

    /// Returns the unfinished tasks on machines that no placement record lists.
    pub fn unrecorded_tasks(&self) -> Vec<String> {
        let recorded = self.recorded_attempts();
        let mut found = Vec::new();
        for worker in self.workers.iter().filter(|worker| worker.alive) {
            for task in worker.tasks.iter().filter(|task| task.state != TaskState::Ended) {
                if !recorded.contains(&(worker.name.clone(), task.attempt)) {
                    found.push(format!("{}/{} on {}", task.job, task.task, worker.name));
                }
            }
        }
        found
    }

    /// Returns the machines and attempts that the placement records list.
    fn recorded_attempts(&self) -> HashSet<(String, u64)> {
        let records = self.store.records_under("place/");
        records.flat_map(|(_, record)| attempts_of(&record.value)).collect()
    }
}
