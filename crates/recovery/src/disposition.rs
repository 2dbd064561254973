//! The leader's side of recovery: which attempts a new leader keeps from the placement records,
//! which it adopts from a shard owner's reported state, and which it considers gone.

/// Decision of the leader on an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptDisposition {
    /// The attempt continues, and its task gets no second attempt.
    Keep,
    /// The attempt is to be stopped. It counts against quotas until it is proven gone.
    Stop,
}

/// What the leader knows about the job of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobStatus {
    /// The job is live, and this cell may run its tasks.
    Live,
    /// The records that tell whether the job is live have not all been read: its own, and those of
    /// the jobs that it depends on.
    Undetermined,
    /// No task of the job may run here: the job is done or cancelled, was never accepted, or is
    /// run by another cell.
    Ended,
}

/// What the leader knows about the task of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskStatus {
    /// What is known about the task's job.
    pub job: JobStatus,
    /// Whether the task is known to be done.
    pub is_done: bool,
}

/// What the leader knows about an attempt that a shard owner reports to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedAttemptStatus {
    /// Whether the leader knows of another attempt at the same task.
    pub has_other_attempt: bool,
    /// Whether a heartbeat has listed the attempt, so that it is or was on its machine.
    pub is_on_machine: bool,
}

impl AttemptDisposition {
    /// Returns the decision of a new leader on an attempt that the placement records list. It is
    /// made again once an undetermined job is known.
    pub fn of_recorded(task: TaskStatus) -> AttemptDisposition {
        match task.job {
            JobStatus::Live | JobStatus::Undetermined if !task.is_done => AttemptDisposition::Keep,
            JobStatus::Live | JobStatus::Undetermined | JobStatus::Ended => AttemptDisposition::Stop,
        }
    }

    /// Returns the leader's decision on an attempt that a shard owner reports but that the
    /// records did not list when the leader read them, because it was bound for an earlier
    /// leader.
    ///
    /// If there is another attempt at the same task, that one is newer: it was admitted after
    /// this one was proven gone or without this one ever having been seen. An attempt that was
    /// never seen on its machine was not recorded in time, so this leader has not counted it
    /// in its admissions since.
    pub fn of_reported(task: TaskStatus, attempt: ReportedAttemptStatus) -> AttemptDisposition {
        if attempt.has_other_attempt || !attempt.is_on_machine {
            AttemptDisposition::Stop
        } else {
            AttemptDisposition::of_recorded(task)
        }
    }
}

/// Whether a shard owner's reported state proves that an attempt is gone. This is the case if the
/// reported state does not list the attempt and answers a desired state that named the attempt:
/// before that, the shard owner may not have known of it.
///
/// `first_named_in` is the serial number of the first desired state that named the attempt under
/// the current fencing token, `answered_serial` that of the newest desired state answered.
pub fn is_proven_gone(is_listed: bool, first_named_in: Option<u64>, answered_serial: u64) -> bool {
    !is_listed && first_named_in.is_some_and(|serial| serial <= answered_serial)
}

/// An attempt together with its task. The order is by job, task and attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskAttempt<Job> {
    /// The job.
    pub job: Job,
    /// Number of the task within the job.
    pub task: u32,
    /// Id of the attempt; newer attempts have larger ids.
    pub attempt: u64,
}

impl<Job: PartialEq> TaskAttempt<Job> {
    /// Whether both are attempts at the same task.
    pub fn is_same_task(&self, other: &TaskAttempt<Job>) -> bool {
        self.job == other.job && self.task == other.task
    }
}

/// Returns the ids of superseded attempts. Of several attempts at a task, all but the newest are
/// superseded, because the newest was admitted after the others were proven gone. `attempts`
/// must be in ascending order.
pub fn superseded<Job: PartialEq>(attempts: &[TaskAttempt<Job>]) -> Vec<u64> {
    attempts
        .windows(2)
        .filter_map(|pair| match pair {
            [older, newer] if older.is_same_task(newer) => Some(older.attempt),
            _ => None,
        })
        .collect()
}
