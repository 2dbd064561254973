//! Reconciles the leader's attempts with the states that shard owners report: which attempts
//! exist, what phase they are in, and which are gone.
//!
//! A reported state lists everything that may be in a shard. Listed attempts that the leader
//! doesn't know are adopted or stopped, known ones are updated. An attempt that is not listed is
//! gone once the reported state answers a desired state that named the attempt.

use super::Leader;
use super::attempt_decisions::{AttemptDecision, Decision};
use super::attempts::{Attempt, Evidence};
use super::quota_watch::usage_in_report;
use super::run_times::learn_run_time;
use crate::core::common::context::NodeContext;
use crate::model::{AttemptId, FencingToken, InstanceIndex, JobIndex, Resources, ShardIndex, Term};
use crate::wire::peer::{ReportedJob, ReportedPhase, ReportedState, ReportedTask};
use rustc_hash::FxHashSet;
use woadlever_recovery::disposition::{
    AttemptDisposition, ReportedAttemptStatus, TaskStatus, is_proven_gone,
};

/// A job in a reported state, looked up once for all its tasks.
struct ReportedJobInfo {
    job: JobIndex,
    team: Option<usize>,
    demand: Resources,
}

impl ReportedJobInfo {
    fn new(context: &mut NodeContext, reported: &ReportedJob) -> ReportedJobInfo {
        let teams = &context.platform.cluster.teams;
        let team = teams.iter().position(|team| team.name == reported.team);
        let demand =
            Resources { cpus: reported.cpus, gpus: reported.gpus, memory_gb: reported.memory_gb };
        ReportedJobInfo { job: context.job_index_or_lookup(&reported.job), team, demand }
    }
}

/// An attempt in a reported state, with its shard and instance.
struct ReportedAttempt<'a> {
    shard: ShardIndex,
    instance: InstanceIndex,
    job: &'a ReportedJobInfo,
    task: &'a ReportedTask,
    /// Whether a heartbeat has confirmed that the worker knows the fencing token of the shard's
    /// owner.
    knows_fencing_token: bool,
}

impl ReportedAttempt<'_> {
    /// Returns the log entry of a decision about the attempt.
    fn decision_entry(&self, decision: Decision) -> AttemptDecision {
        AttemptDecision {
            attempt: AttemptId::new(self.task.attempt),
            job: self.job.job,
            task: self.task.task,
            shard: self.shard,
            decision,
        }
    }
}

impl Leader {
    /// Handles a state that a shard owner reports. It is ignored if it is meant for another term,
    /// or if the sender is not the owner with the current fencing token.
    pub(crate) fn on_reported_state(
        &mut self,
        context: &mut NodeContext,
        from: &str,
        reported: ReportedState,
    ) {
        let shard = ShardIndex::new(reported.shard);
        if !self.accepts_reported_state(context, from, &reported) {
            return;
        }
        let assignment = &mut self.shards[shard.as_usize()];
        if !assignment.has_reported {
            assignment.has_reported = true;
            self.cycle_due = true;
        }
        let teams = &context.platform.cluster.teams;
        self.shards[shard.as_usize()].reported_usage = usage_in_report(teams, &reported);
        let listed = self.apply_reported_state(context, shard, &reported);
        self.remove_gone_attempts(context, shard, &listed, reported.answered_serial);
    }

    fn accepts_reported_state(
        &self,
        context: &NodeContext,
        from: &str,
        reported: &ReportedState,
    ) -> bool {
        let index = ShardIndex::new(reported.shard).as_usize();
        let Some(assignment) = self.shards.get(index) else { return false };
        let owner = context.shards.owner(index);
        self.is_active
            && Term::new(reported.term) == self.term
            && assignment.fencing_token == Some(FencingToken::new(reported.fencing_token))
            && owner.is_some_and(|owner| owner.record.node == from)
    }

    /// Applies all machines and tasks of a reported state. Returns the ids of the attempts that it
    /// lists.
    fn apply_reported_state(
        &mut self,
        context: &mut NodeContext,
        shard: ShardIndex,
        reported: &ReportedState,
    ) -> FxHashSet<AttemptId> {
        let mut listed: FxHashSet<AttemptId> = FxHashSet::default();
        let zone = context.shards[shard.as_usize()].zone.clone();
        let jobs: Vec<ReportedJobInfo> =
            reported.jobs.iter().map(|job| ReportedJobInfo::new(context, job)).collect();
        for reported_machine in &reported.machines {
            let type_name =
                reported.types.get(reported_machine.machine_type as usize).map_or("", String::as_str);
            let instance = self.fleet.on_reported_machine(context, reported_machine, type_name, &zone);
            let known = self.fleet.instances.get(instance);
            if known.is_some_and(|instance| instance.shard != shard) {
                continue;
            }
            for task in &reported_machine.tasks {
                let Some(job) = jobs.get(task.job as usize) else { continue };
                listed.insert(AttemptId::new(task.attempt));
                let knows_fencing_token = reported_machine.knows_fencing_token;
                let attempt = ReportedAttempt { shard, instance, job, task, knows_fencing_token };
                self.apply_reported_attempt(context, &attempt);
            }
        }
        listed
    }

    /// Removes the attempts of a shard that a reported state proves gone.
    fn remove_gone_attempts(
        &mut self,
        context: &NodeContext,
        shard: ShardIndex,
        listed: &FxHashSet<AttemptId>,
        answered_serial: u64,
    ) {
        let gone: Vec<AttemptId> = self
            .attempts
            .iter()
            .filter(|(_, attempt)| attempt.shard == shard)
            .filter(|(id, attempt)| {
                is_proven_gone(listed.contains(id), attempt.first_named_in, answered_serial)
            })
            .map(|(id, _)| id)
            .collect();
        for id in gone {
            if let Some(attempt) = self.attempts.remove(id) {
                let Attempt { job, task, first_named_in, .. } = attempt;
                let decision = Decision::Gone { first_named_in, answered_serial };
                self.log_decision(context, AttemptDecision { attempt: id, job, task, shard, decision });
                self.requeue(job, task);
            }
        }
    }

    fn apply_reported_attempt(&mut self, context: &NodeContext, reported: &ReportedAttempt) {
        if !self.attempts.contains(AttemptId::new(reported.task.attempt)) {
            self.adopt_attempt(context, reported);
        }
        if !self.update_attempt(reported) {
            return;
        }
        self.cycle_due = true;
        if !reported.task.state.occupies_capacity() {
            self.log_decision(context, reported.decision_entry(Decision::Ended(reported.task.state)));
        }
        match reported.task.state {
            ReportedPhase::Done => self.on_attempt_done(AttemptId::new(reported.task.attempt)),
            ReportedPhase::Failed => self.on_attempt_failed(context, reported),
            ReportedPhase::Stopped | ReportedPhase::Refused => {
                self.stop_attempt(AttemptId::new(reported.task.attempt));
            }
            ReportedPhase::Bound
            | ReportedPhase::Fetching
            | ReportedPhase::Running
            | ReportedPhase::Saving => {}
        }
    }

    /// Adds an attempt that the leader doesn't know. It was bound for an earlier leader and is
    /// not in the records that this leader has read: it was already gone, has been superseded by
    /// a newer attempt, or was never recorded. This leader has not checked the conditions of
    /// admission for it (quota, zones, capacity), so it continues only if it is already on its
    /// machine.
    fn adopt_attempt(&mut self, context: &NodeContext, reported: &ReportedAttempt) {
        let ReportedAttempt {
            shard, instance, job: &ReportedJobInfo { job, team, demand }, task, ..
        } = *reported;
        let task_has_attempt = self.attempts.has_task(job, task.task);
        let is_done = self.jobs.get(&job).is_some_and(|live| live.done.contains(task.task));
        let status = TaskStatus { job: self.job_status(context, job), is_done };
        let seen = ReportedAttemptStatus {
            has_other_attempt: task_has_attempt,
            is_on_machine: task.state != ReportedPhase::Bound,
        };
        let disposition = AttemptDisposition::of_reported(status, seen);
        let is_wanted = disposition == AttemptDisposition::Keep;
        // The task gets no other attempt until this one is gone.
        if let Some(live) = self.jobs.get_mut(&job) {
            live.mark_attempted(task.task);
            live.cancel_retry(task.task);
        }
        let attempt = Attempt {
            job,
            task: task.task,
            shard,
            instance: Some(instance),
            may_bind: false,
            evidence: Evidence::Record,
            is_wanted,
            phase: task.state,
            demand,
            team,
            ran_ms: task.ran_ms,
            first_named_in: None,
        };
        self.attempts.insert(AttemptId::new(task.attempt), attempt);
        self.shards[shard.as_usize()].dirty = true;
        self.log_decision(context, reported.decision_entry(Decision::Adopted { is_wanted }));
    }

    /// Updates the instance, run time and phase of an attempt. Returns whether the phase has changed.
    fn update_attempt(&mut self, reported: &ReportedAttempt) -> bool {
        let ReportedAttempt { instance, task, knows_fencing_token, .. } = *reported;
        let Some(attempt) = self.attempts.get_mut(AttemptId::new(task.attempt)) else { return false };
        if attempt.instance != Some(instance) || attempt.may_bind {
            self.cycle_due = true;
        }
        attempt.instance = Some(instance);
        attempt.may_bind = false;
        attempt.ran_ms = task.ran_ms;
        attempt.update_evidence(task.state, knows_fencing_token);
        let has_changed = attempt.phase != task.state;
        attempt.phase = task.state;
        has_changed
    }

    /// Handles a success. The attempt is kept until the success is recorded. As long as the job is
    /// undetermined, the success counts only later (see `Leader::claim_attempts`).
    pub(super) fn on_attempt_done(&mut self, id: AttemptId) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let Some(live) = self.jobs.get_mut(&attempt.job) else { return };
        if live.on_task_succeeded(attempt.task) {
            if let Some(instance) = attempt.instance {
                self.fleet.on_task_succeeded(instance);
            }
            learn_run_time(&mut self.ratios, &live.spec, attempt.ran_ms);
        } else if live.progress.is_recorded(attempt.task) {
            self.stop_attempt(id);
        }
    }

    /// Handles a failure. After failures on several instances the job itself is considered at fault
    /// and backs off; otherwise the failure counts against the instance.
    fn on_attempt_failed(&mut self, context: &NodeContext, reported: &ReportedAttempt) {
        let ReportedAttempt { instance, job, task, .. } = *reported;
        self.stop_attempt(AttemptId::new(task.attempt));
        let now = context.clock.now();
        let Some(live) = self.jobs.get_mut(&job.job) else { return };
        if !live.on_task_failed(now, instance) {
            self.fleet.on_task_failed(now, instance, job.job);
        }
    }

    pub(super) fn stop_attempt(&mut self, id: AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.stop(&mut self.shards);
        }
    }
}
