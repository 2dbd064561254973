//! The leader's state of a live job: which of its tasks are done, have an attempt or wait, and
//! the values that determine its position in the order of jobs.
//!
//! A live job holds no reference to attempts or machines and writes no records.

use super::progress::{JobProgress, ProgressSegment};
use super::write_pacing::WritePacing;
use crate::core::common::job_table::Job;
use crate::model::{InstanceIndex, JobSpec, Ms, Priority, TaskSet};
use rustc_hash::FxHashSet;
use std::sync::Arc;

/// Number of instances on which a job's tasks have to fail before the job itself is considered at
/// fault.
const FAULTY_JOB_INSTANCES: usize = 3;
/// Initial backoff of a job that is at fault. Further failures double it, up to a limit.
const FAULTY_JOB_BACKOFF_MS: Ms = 2_000;
/// Number of failures after which each further one doubles the backoff.
const FAILURES_BEFORE_DOUBLING: u32 = 3;
/// Maximum number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Which cell runs a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum JobLocation {
    /// This cell, which the job belongs to.
    Local,
    /// Another cell.
    Forwarded {
        /// Number of its tasks that run there.
        running: u32,
    },
    /// This cell, on behalf of the cell that the job belongs to.
    Hosted {
        /// Whether the latest message of that cell lists the job as active.
        is_listed: bool,
    },
}

/// A job that is live and whose dependencies are all done.
#[derive(Debug)]
pub(super) struct LiveJob {
    /// The job as it was submitted.
    pub spec: Arc<JobSpec>,
    /// Index of its team in the settings.
    pub team: usize,
    /// Tasks that are done.
    pub done: TaskSet,
    /// Which of the done tasks are recorded in the store.
    pub(super) progress: JobProgress,
    /// Tasks that have had an attempt. They get another one only through `retries`.
    attempted: TaskSet,
    /// Lowest number of a task that may not have had an attempt.
    next_new_task: u32,
    /// Stack of tasks whose attempt is gone without success; the last one is retried first.
    retries: Vec<u32>,
    /// Number of failures of its tasks since the last success.
    failures: u32,
    /// Instances on which its tasks have failed since the last success.
    failed_on: FxHashSet<InstanceIndex>,
    /// Time until which none of its tasks is admitted; `Ms::MAX` blocks admission until the value
    /// is reset.
    pub backoff_until: Ms,
    /// Whether the job, together with the team's earlier jobs, is within the team's guarantee.
    pub is_within_guarantee: bool,
    /// Wall-clock time from which the job could be started.
    pub ready_at_ms: u64,
    /// Priority of the job, or a higher one of a job that depends on it.
    pub priority: Priority,
    /// State of the write of the job's final record.
    pub(super) final_write: WritePacing,
    /// Which cell runs the job.
    pub location: JobLocation,
}

impl LiveJob {
    /// Creates a job of which only the specification is known.
    pub(super) fn new(spec: Arc<JobSpec>, team: usize, ready_at_ms: u64) -> LiveJob {
        let tasks = spec.tasks;
        LiveJob {
            team,
            done: TaskSet::with_capacity(tasks),
            progress: JobProgress::new(tasks),
            attempted: TaskSet::with_capacity(tasks),
            next_new_task: 0,
            retries: Vec::new(),
            failures: 0,
            failed_on: FxHashSet::default(),
            backoff_until: 0,
            is_within_guarantee: false,
            ready_at_ms,
            priority: spec.priority,
            final_write: WritePacing::default(),
            location: JobLocation::Local,
            spec,
        }
    }

    /// Whether all tasks are done.
    pub(super) fn is_complete(&self) -> bool {
        self.done.len() == self.spec.tasks
    }

    /// Returns the seconds from when the job could be started until `wall_ms`, a wall-clock
    /// time in milliseconds.
    pub(super) fn age_s(&self, wall_ms: u64) -> f64 {
        wall_ms.saturating_sub(self.ready_at_ms) as f64 / 1000.0
    }

    /// Whether only another cell may run the job.
    pub(super) fn is_forwarded(&self) -> bool {
        matches!(self.location, JobLocation::Forwarded { .. })
    }

    /// Whether the job belongs to another cell.
    pub(super) fn is_hosted(&self) -> bool {
        matches!(self.location, JobLocation::Hosted { .. })
    }

    /// Whether the job's location allows its tasks to be admitted in this cell.
    pub(super) fn is_schedulable(&self) -> bool {
        matches!(self.location, JobLocation::Local | JobLocation::Hosted { is_listed: true })
    }

    /// Updates which cell runs the job from the job's record.
    pub(super) fn update_location(&mut self, job: &Job) {
        self.location = match (job.is_forwarded(), job.origin(), self.location) {
            (true, _, JobLocation::Forwarded { running }) => JobLocation::Forwarded { running },
            (true, _, _) => JobLocation::Forwarded { running: 0 },
            (false, Some(_), JobLocation::Hosted { is_listed }) => JobLocation::Hosted { is_listed },
            (false, Some(_), _) => JobLocation::Hosted { is_listed: false },
            (false, None, _) => JobLocation::Local,
        };
    }

    /// Applies a progress record; `bits` are hexadecimal digits.
    pub(super) fn apply_progress(&mut self, segment: ProgressSegment, bits: &str, version: u64) {
        self.done.add_hex(segment.first_word(), bits);
        self.progress.apply_record(segment, bits, version);
    }

    /// Marks the tasks that another cell has finished as done; `bits` are hexadecimal digits.
    pub(super) fn apply_remote_progress(&mut self, bits: &str) {
        let mut done = TaskSet::with_capacity(self.spec.tasks);
        done.add_hex(0, bits);
        for task in (0..self.spec.tasks).filter(|task| done.contains(*task)) {
            self.finish_task(task);
        }
    }

    /// Marks all tasks as done after another cell has finished them.
    pub(super) fn apply_remote_completion(&mut self) {
        for task in 0..self.spec.tasks {
            self.finish_task(task);
        }
    }

    /// Marks a task as done. Returns whether it was not marked before.
    fn finish_task(&mut self, task: u32) -> bool {
        let is_new = self.done.insert(task);
        if is_new {
            self.progress.add_unrecorded(task);
        }
        is_new
    }

    /// Handles the success of an attempt at a task. Returns whether the task was not done before.
    pub(super) fn on_task_succeeded(&mut self, task: u32) -> bool {
        let is_new = self.finish_task(task);
        if is_new {
            self.failures = 0;
            self.failed_on.clear();
        }
        is_new
    }

    /// Handles the failure of an attempt on an instance. Returns whether the job itself is
    /// considered at fault, in which case it backs off.
    pub(super) fn on_task_failed(&mut self, now: Ms, instance: InstanceIndex) -> bool {
        self.failures += 1;
        self.failed_on.insert(instance);
        let is_at_fault = self.failed_on.len() >= FAULTY_JOB_INSTANCES;
        if is_at_fault {
            let repeated = self.failures.saturating_sub(FAILURES_BEFORE_DOUBLING);
            let factor = 1 << repeated.min(MAX_BACKOFF_DOUBLINGS);
            self.backoff_until = now + FAULTY_JOB_BACKOFF_MS * factor;
        }
        is_at_fault
    }

    /// Returns the next task that needs an attempt.
    pub(super) fn next_task(&mut self) -> Option<u32> {
        while let Some(&task) = self.retries.last() {
            if !self.done.contains(task) {
                return Some(task);
            }
            self.retries.pop();
        }
        while self.next_new_task < self.spec.tasks {
            if self.is_untried(self.next_new_task) {
                return Some(self.next_new_task);
            }
            self.next_new_task += 1;
        }
        None
    }

    /// Marks the task that [`LiveJob::next_task`] returns as attempted, and returns it.
    pub(super) fn admit_next_task(&mut self) -> Option<u32> {
        let task = self.next_task()?;
        if self.retries.last() == Some(&task) {
            self.retries.pop();
        } else {
            self.next_new_task += 1;
        }
        self.attempted.insert(task);
        Some(task)
    }

    /// Marks a task as attempted whose attempt this leader has not created.
    pub(super) fn mark_attempted(&mut self, task: u32) {
        self.attempted.insert(task);
    }

    /// Removes a task from the retries, as an attempt at it has turned out to exist.
    pub(super) fn cancel_retry(&mut self, task: u32) {
        self.retries.retain(|queued| *queued != task);
    }

    /// Queues a task for another attempt, unless it is done or queued.
    pub(super) fn queue_retry(&mut self, task: u32) {
        if !self.done.contains(task) && !self.retries.contains(&task) {
            self.retries.push(task);
        }
    }

    /// Returns the number of tasks that need an attempt, but at most `most`.
    pub(super) fn waiting(&self, most: u32) -> u32 {
        let mut waiting = self.retries.iter().filter(|task| !self.done.contains(**task)).count() as u32;
        let mut task = self.next_new_task;
        while waiting < most && task < self.spec.tasks {
            waiting += u32::from(self.is_untried(task));
            task += 1;
        }
        waiting.min(most)
    }

    fn is_untried(&self, task: u32) -> bool {
        !self.done.contains(task) && !self.attempted.contains(task)
    }
}
