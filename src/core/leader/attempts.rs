//! The attempts that the leader knows. An attempt is one try to run a task; it is, or may be, on
//! a machine.
//!
//! Attempts come from the leader's own admissions, from placement records that it reads at the
//! start of its term, and from the states that shard owners report. Thousands of attempts are
//! alive at once and a hundred end each second, so an index finds those of a task or job.

use super::Leader;
use super::attempt_decisions::{AttemptDecision, Decision};
use super::free_capacity::InstanceLocation;
use super::shards::ShardAssignment;
use crate::core::common::context::NodeContext;
use crate::model::{AttemptId, InstanceIndex, JobIndex, Ms, Resources, ShardIndex};
use crate::wire::peer::ReportedPhase;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use woadlever_recovery::disposition::{TaskAttempt, superseded};

/// Evidence that an attempt is on a machine, or will be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Evidence {
    /// A record, or a reported state that may be based on a delayed copy of a heartbeat. It may be
    /// stale.
    Record,
    /// This leader has admitted the attempt.
    Admission,
    /// A heartbeat of a worker that knows the fencing token of the shard's owner.
    Heartbeat,
    /// No evidence any more: the attempt has ended, even if a later owner of its shard still finds
    /// it in a record.
    Ended,
}

/// The leader's view of one attempt at a task.
#[derive(Debug)]
pub(crate) struct Attempt {
    /// The job.
    pub job: JobIndex,
    /// Number of the task within the job.
    pub task: u32,
    /// Shard of the instance that the attempt was admitted to.
    pub shard: ShardIndex,
    /// The instance that the shard owner has reported or, before its first report, the one that
    /// this leader has chosen.
    pub instance: Option<InstanceIndex>,
    /// Whether the shard owner may still choose another instance.
    pub may_bind: bool,
    /// Evidence that the attempt is on a machine, or will be.
    pub evidence: Evidence,
    /// Whether the attempt should continue; otherwise the shard owner has to stop it.
    pub is_wanted: bool,
    /// The last phase that the shard owner has reported.
    pub phase: ReportedPhase,
    /// Resources that the task takes on its machine.
    pub demand: Resources,
    /// Index of the team in the settings; `None` if they don't list it.
    pub team: Option<usize>,
    /// Run time as last reported.
    pub ran_ms: Ms,
    /// Serial of the first desired state that named the attempt to the shard owner with the
    /// current fencing token.
    pub first_named_in: Option<u64>,
}

impl Attempt {
    /// Whether the attempt takes, or may take, capacity of its machine and quota of its team.
    pub(crate) fn occupies_capacity(&self) -> bool {
        self.phase.occupies_capacity()
    }

    /// Updates the evidence from a reported phase. `knows_fencing_token` is whether a heartbeat has
    /// confirmed that the worker knows the fencing token of the shard's owner.
    pub(super) fn update_evidence(&mut self, phase: ReportedPhase, knows_fencing_token: bool) {
        if !phase.occupies_capacity() {
            self.evidence = Evidence::Ended;
        } else if knows_fencing_token
            && phase != ReportedPhase::Bound
            && self.evidence != Evidence::Ended
        {
            self.evidence = Evidence::Heartbeat;
        }
    }

    /// Marks the attempt as no longer wanted. The next desired state tells the shard owner.
    pub(crate) fn stop(&mut self, shards: &mut [ShardAssignment]) {
        self.is_wanted = false;
        shards[self.shard.as_usize()].dirty = true;
    }
}

/// All attempts that the leader knows, by id.
#[derive(Debug, Default)]
pub(crate) struct Attempts {
    by_id: FxHashMap<AttemptId, Attempt>,
    /// Index of the attempts by (job, task, attempt id).
    by_task: BTreeSet<(JobIndex, u32, AttemptId)>,
}

impl Attempts {
    /// Adds an attempt.
    pub(crate) fn insert(&mut self, id: AttemptId, attempt: Attempt) {
        self.by_task.insert((attempt.job, attempt.task, id));
        self.by_id.insert(id, attempt);
    }

    /// Removes an attempt and returns it.
    pub(crate) fn remove(&mut self, id: AttemptId) -> Option<Attempt> {
        let attempt = self.by_id.remove(&id)?;
        self.by_task.remove(&(attempt.job, attempt.task, id));
        Some(attempt)
    }

    /// Returns the attempt with this id.
    pub(crate) fn get(&self, id: AttemptId) -> Option<&Attempt> {
        self.by_id.get(&id)
    }

    /// Returns the attempt with this id for modification. Its job and task must not change.
    pub(crate) fn get_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.by_id.get_mut(&id)
    }

    /// Whether an attempt is known.
    pub(crate) fn contains(&self, id: AttemptId) -> bool {
        self.by_id.contains_key(&id)
    }

    /// Number of attempts.
    pub(crate) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// All attempts.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Attempt> {
        self.by_id.values()
    }

    /// All attempts, for modification. Their jobs and tasks must not change.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Attempt> {
        self.by_id.values_mut()
    }

    /// All attempts with their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (AttemptId, &Attempt)> {
        self.by_id.iter().map(|(id, attempt)| (*id, attempt))
    }

    /// All attempts with their ids, for modification. Their jobs and tasks must not change.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (AttemptId, &mut Attempt)> {
        self.by_id.iter_mut().map(|(id, attempt)| (*id, attempt))
    }

    /// Id of an attempt at a task, if any is known.
    pub(crate) fn of_task(&self, job: JobIndex, task: u32) -> Option<AttemptId> {
        let of_task = (job, task, AttemptId::MIN)..=(job, task, AttemptId::MAX);
        self.by_task.range(of_task).next().map(|(_, _, id)| *id)
    }

    /// Whether any attempt at a task is known.
    pub(crate) fn has_task(&self, job: JobIndex, task: u32) -> bool {
        self.of_task(job, task).is_some()
    }

    /// Whether any attempt at a task of a job is known.
    pub(crate) fn has_job(&self, job: JobIndex) -> bool {
        self.by_task.range((job, 0, AttemptId::MIN)..=(job, u32::MAX, AttemptId::MAX)).next().is_some()
    }

    /// Ids of the attempts at all tasks of a job.
    pub(crate) fn ids_of_job(&self, job: JobIndex) -> Vec<AttemptId> {
        self.by_task
            .range((job, 0, AttemptId::MIN)..=(job, u32::MAX, AttemptId::MAX))
            .map(|(_, _, id)| *id)
            .collect()
    }

    /// Removes each attempt whose task has a newer attempt.
    pub(crate) fn drop_superseded(&mut self) {
        let by_task = self.by_task.iter();
        let attempts: Vec<TaskAttempt<JobIndex>> =
            by_task.map(|&(job, task, id)| TaskAttempt { job, task, attempt: id.number() }).collect();
        for id in superseded(&attempts) {
            self.remove(AttemptId::new(id));
        }
    }
}

impl Leader {
    /// Creates an attempt at a task on an instance, unless an attempt at the task is known: it may
    /// be on a machine, and the task must not run twice. That would be a fault of the caller.
    pub(super) fn new_attempt(
        &mut self,
        context: &NodeContext,
        job: JobIndex,
        task: u32,
        location: InstanceLocation,
    ) {
        if let Some(known) = self.attempts.of_task(job, task) {
            return self.refuse_duplicate(context, job, task, known);
        }
        let Some(live) = self.jobs.get(&job) else { return };
        let attempt = Attempt {
            job,
            task,
            shard: location.shard,
            instance: Some(location.instance),
            may_bind: true,
            evidence: Evidence::Admission,
            is_wanted: true,
            phase: ReportedPhase::Bound,
            demand: live.spec.demand(),
            team: Some(live.team),
            ran_ms: 0,
            first_named_in: None,
        };
        let entry = AttemptDecision {
            attempt: self.next_attempt,
            job,
            task,
            shard: location.shard,
            decision: Decision::Admitted,
        };
        self.log_decision(context, entry);
        self.attempts.insert(self.next_attempt, attempt);
        self.next_attempt = self.next_attempt.next();
        self.shards[location.shard.as_usize()].dirty = true;
    }

    /// Counts and logs the refused admission of a task that has an attempt already.
    fn refuse_duplicate(&mut self, context: &NodeContext, job: JobIndex, task: u32, known: AttemptId) {
        self.duplicate_admissions += 1;
        tracing::error!(
            term = self.term.number(),
            job = context.jobs.id(job),
            task,
            attempt = known.number(),
            "refused to admit a task that has an attempt"
        );
        self.log_newest_decisions(context);
    }

    /// Queues a task again after an attempt at it is gone. If another attempt at the task is
    /// known, the task is not queued: an old attempt that was still in a record may disappear
    /// while a newer one runs, and a third attempt would then run the task twice.
    pub(super) fn requeue(&mut self, job: JobIndex, task: u32) {
        self.cycle_due = true;
        if self.attempts.has_task(job, task) {
            return;
        }
        if let Some(live) = self.jobs.get_mut(&job) {
            live.queue_retry(task);
        }
    }
}
