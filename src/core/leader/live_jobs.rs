//! Live jobs that may run, as the leader keeps them.

use super::Leader;
use super::attempts::AttemptView;
use super::progress::ProgressSegment;
use crate::core::common::context::NodeContext;
use crate::core::common::job_table::Job;
use crate::model::{InstanceIndex, JobIndex, JobSpec, Ms, Priority, ShardIndex, TaskSet};
use crate::wire::peer::ReportedPhase;
use crate::wire::store::JobState;
use rustc_hash::FxHashSet;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Which cell runs a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobLocation {
    /// This one, whose job it is.
    Local,
    /// Another one; so many of its tasks run there.
    Away { running: u32 },
    /// This one, for the cell that it belongs to.
    Hosted {
        /// The newest message of that cell lists it.
        is_listed: bool,
    },
}

#[derive(Debug)]
pub struct LiveJob {
    pub spec: Arc<JobSpec>,
    pub team: usize,
    pub done: TaskSet,
    pub(super) recorded: TaskSet,
    /// Done but not yet in a record.
    pub(super) unrecorded: Vec<u32>,
    pub(super) recording: bool,
    pub(super) rereading: bool,
    /// Records of its progress, with the version that each has; none: in doubt.
    pub(super) segments: BTreeMap<ProgressSegment, Option<u64>>,
    /// Tasks with an attempt, or waiting in `retry`.
    pub issued: TaskSet,
    pub(super) next: u32,
    pub retry: Vec<u32>,
    /// Times that tasks failed without any having succeeded since.
    pub failures: u32,
    pub failed_on: FxHashSet<InstanceIndex>,
    pub backoff_until: Ms,
    /// Within its team's guarantee, with the team's earlier jobs.
    pub is_within_guarantee: bool,
    /// Time of day since when it could be started.
    pub ready_at_ms: u64,
    /// Its own priority, or a higher one of a job that needs it.
    pub priority: Priority,
    pub(super) finish_busy: bool,
    pub(super) finish_at: Ms,
    /// Which cell runs it.
    pub location: JobLocation,
}

impl LiveJob {
    pub(super) fn new(spec: Arc<JobSpec>, team: usize, ready_at_ms: u64) -> LiveJob {
        let n = spec.tasks;
        LiveJob {
            team,
            done: TaskSet::with_room(n),
            recorded: TaskSet::with_room(n),
            unrecorded: Vec::new(),
            recording: false,
            rereading: false,
            segments: BTreeMap::new(),
            issued: TaskSet::with_room(n),
            next: 0,
            retry: Vec::new(),
            failures: 0,
            failed_on: FxHashSet::default(),
            backoff_until: 0,
            is_within_guarantee: false,
            ready_at_ms,
            priority: spec.priority,
            finish_busy: false,
            finish_at: 0,
            location: JobLocation::Local,
            spec,
        }
    }

    /// Takes in a record of its progress.
    pub(super) fn read_chunk(&mut self, segment: ProgressSegment, bits: &str, version: u64) {
        self.done.add_hex(segment.first_word(), bits);
        self.recorded.add_hex(segment.first_word(), bits);
        self.segments.insert(segment, Some(version));
    }

    /// Seconds since the job could be started, at a time of day in milliseconds.
    pub fn age_s(&self, wall_ms: u64) -> f64 {
        wall_ms.saturating_sub(self.ready_at_ms) as f64 / 1000.0
    }

    /// Whether only another cell may run it.
    pub fn is_away(&self) -> bool {
        matches!(self.location, JobLocation::Away { .. })
    }

    /// Whether it belongs to another cell.
    pub fn is_hosted(&self) -> bool {
        matches!(self.location, JobLocation::Hosted { .. })
    }

    /// Whether tasks may be granted as far as other cells are concerned.
    pub fn is_schedulable(&self) -> bool {
        matches!(self.location, JobLocation::Local | JobLocation::Hosted { is_listed: true })
    }

    /// Follows the job's record.
    fn follow_location(&mut self, job: &Job) {
        self.location = match (job.is_away(), job.origin(), self.location) {
            (true, _, JobLocation::Away { running }) => JobLocation::Away { running },
            (true, _, _) => JobLocation::Away { running: 0 },
            (false, Some(_), JobLocation::Hosted { is_listed }) => JobLocation::Hosted { is_listed },
            (false, Some(_), _) => JobLocation::Hosted { is_listed: false },
            (false, None, _) => JobLocation::Local,
        };
    }

    /// Takes in tasks that are done in another cell, as hexadecimal bits.
    pub(super) fn take_done_elsewhere(&mut self, bits: &str) {
        let mut done = TaskSet::with_room(self.spec.tasks);
        done.add_hex(0, bits);
        for task in (0..self.spec.tasks).filter(|task| done.contains(*task)) {
            self.finish_task(task);
        }
    }

    /// All tasks are done in another cell.
    pub(super) fn take_all_done_elsewhere(&mut self) {
        for task in 0..self.spec.tasks {
            self.finish_task(task);
        }
    }

    fn finish_task(&mut self, task: u32) {
        if self.done.insert(task) {
            self.unrecorded.push(task);
        }
    }

    /// The next task that needs an attempt.
    pub fn next_task(&mut self) -> Option<u32> {
        while let Some(&t) = self.retry.last() {
            if !self.done.contains(t) {
                return Some(t);
            }
            self.retry.pop();
        }
        while self.next < self.spec.tasks {
            if !self.done.contains(self.next) && !self.issued.contains(self.next) {
                return Some(self.next);
            }
            self.next += 1;
        }
        None
    }

    /// Takes the task that `peek` showed.
    pub fn admit_next_task(&mut self) -> Option<u32> {
        let t = self.next_task()?;
        if self.retry.last() == Some(&t) {
            self.retry.pop();
        } else {
            self.next += 1;
        }
        self.issued.insert(t);
        Some(t)
    }

    /// Tasks without an attempt, at most `most`.
    pub fn waiting(&self, most: u32) -> u32 {
        let mut n = self.retry.iter().filter(|t| !self.done.contains(**t)).count() as u32;
        let mut t = self.next;
        while n < most && t < self.spec.tasks {
            n += (!self.done.contains(t) && !self.issued.contains(t)) as u32;
            t += 1;
        }
        n.min(most)
    }
}

impl Leader {
    pub(super) fn follow_jobs(&mut self, context: &mut NodeContext) {
        let mut changed = context.jobs.take_changed();
        changed.sort_unstable();
        changed.dedup();
        for ix in changed {
            self.follow_job(context, ix);
            self.cycle_due = true;
        }
    }

    pub(super) fn follow_job(&mut self, context: &mut NodeContext, ix: JobIndex) {
        let job = context.job(ix);
        let id = context.jobs.id(ix).to_string();
        if job.state != JobState::Live || job.cancellation_noticed {
            let known = self.jobs.remove(&ix);
            let left = self.progress.remove(&id);
            for id in self.attempts.of_job(ix) {
                if let Some(a) = self.attempts.get_mut(id) {
                    a.is_wanted = false;
                    self.shards[a.shard.place()].dirty = true;
                }
            }
            // The bits of a final job are of no use to anyone. A job of many
            // tasks has more of them than go along with its last record.
            let mut segments: BTreeSet<ProgressSegment> =
                known.map(|j| j.segments.into_keys().collect()).unwrap_or_default();
            segments.extend(left.into_iter().flatten().map(|(c, ..)| c));
            self.deletions.extend(segments.into_iter().map(|c| c.key(&id)));
            return;
        }
        if job.links.has_cancelled_dependency {
            return self.cancel_later(ix);
        }
        // Not all that it awaits is on record as done: it takes no part in
        // anything, and no task of it may start. Once all is, that is final.
        if job.links.unfinished_dependencies > 0 {
            return;
        }
        if let Some(known) = self.jobs.get_mut(&ix) {
            return known.follow_location(job);
        }
        let Some(spec) = job.spec.clone() else { return };
        let Some(team) = context.platform.cluster.teams.iter().position(|t| t.name == spec.team) else {
            tracing::error!(id, "accepted job of an unknown team");
            return;
        };
        let mut j = LiveJob::new(spec, team, context.jobs.ready_at_ms(ix));
        j.follow_location(job);
        for (segment, bits, version) in self.progress.remove(&id).unwrap_or_default() {
            j.read_chunk(segment, &bits, version);
        }
        self.jobs.insert(ix, j);
    }

    pub fn new_attempt(&mut self, job: JobIndex, task: u32, machine: InstanceIndex, shard: ShardIndex) {
        let Some(j) = self.jobs.get(&job) else { return };
        let a = AttemptView {
            job,
            task,
            shard,
            machine: Some(machine),
            may_bind: true,
            is_wanted: true,
            state: ReportedPhase::Bound,
            demand: j.spec.demand(),
            team: Some(j.team),
            ran_ms: 0,
            first_named_in: None,
        };
        self.attempts.insert(self.next_attempt, a);
        self.next_attempt += 1;
        self.shards[shard.place()].dirty = true;
    }

    /// Puts a task back in line once an attempt at it is gone. An older attempt
    /// that was still in a record may go while a newer one runs; the task is
    /// then in good hands, and a third attempt would run it twice.
    pub(super) fn requeue(&mut self, job: JobIndex, task: u32) {
        self.cycle_due = true;
        if self.attempts.has_task(job, task) {
            return;
        }
        if let Some(j) = self.jobs.get_mut(&job)
            && !j.done.contains(task)
            && !j.retry.contains(&task)
        {
            j.retry.push(task);
        }
    }
}
