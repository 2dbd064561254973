//! The leader's side of recovery: which attempts a new leader keeps from the records,
//! adopts from a shard owner's state message, or takes for gone.

/// What the leader does with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptDisposition {
    /// It shall go on; its task gets no second attempt.
    Keep,
    /// It is to be stopped, and counts against quotas until it is proven gone.
    Stop,
}

/// What the leader knows of the task that an attempt is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskStatus {
    /// Whether its job is live; false for a job that is final, or not in memory because it
    /// is.
    pub job_is_live: bool,
    /// Whether the task is done.
    pub is_done: bool,
}

/// What the leader knows of an attempt that a shard owner reports to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedAttemptStatus {
    /// Whether the leader knows another attempt at the same task.
    pub has_other_attempt: bool,
    /// Whether a heartbeat has listed it: it is on its machine, or was.
    pub is_on_machine: bool,
}

impl AttemptDisposition {
    /// What a new leader does with an attempt that the placement records list.
    pub fn of_recorded(task: TaskStatus) -> AttemptDisposition {
        if task.job_is_live && !task.is_done {
            AttemptDisposition::Keep
        } else {
            AttemptDisposition::Stop
        }
    }

    /// What the leader does with an attempt that a shard owner reports and that the
    /// records did not list when the leader read them: bound for an earlier leader.
    /// Another attempt at the same task is newer, as it was admitted after this one was
    /// proven gone or never seen. One that was never seen on its machine was not recorded in
    /// time: this leader has not counted it in what it has admitted since.
    pub fn of_reported(task: TaskStatus, attempt: ReportedAttemptStatus) -> AttemptDisposition {
        if attempt.has_other_attempt || !attempt.is_on_machine {
            AttemptDisposition::Stop
        } else {
            AttemptDisposition::of_recorded(task)
        }
    }
}

/// Whether a state message of a shard owner proves an attempt gone that it does not list.
/// It does if it answers a desired state that named the attempt: until then the shard
/// owner may not have known of it.
///
/// `first_named_in` is the serial of the first desired state that named the attempt under
/// the present fencing token, `echo` that of the newest one answered.
pub fn is_proven_gone(is_listed: bool, first_named_in: Option<u64>, echo: u64) -> bool {
    !is_listed && first_named_in.is_some_and(|serial| serial <= echo)
}

/// An attempt with the task that it is at. The order is by job, task and attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TaskAttempt<Job> {
    /// The job.
    pub job: Job,
    /// Number of the task within the job.
    pub task: u32,
    /// Id of the attempt; newer attempts have larger ones.
    pub attempt: u64,
}

impl<Job: PartialEq> TaskAttempt<Job> {
    /// Whether both are attempts at one task.
    pub fn is_same_task(&self, other: &TaskAttempt<Job>) -> bool {
        self.job == other.job && self.task == other.task
    }
}

/// The ids of attempts that are superseded. Of several attempts at a task only the newest
/// can still matter: it was admitted after the others were proven gone. `attempts` must be
/// in ascending order.
pub fn superseded<Job: PartialEq>(attempts: &[TaskAttempt<Job>]) -> Vec<u64> {
    attempts
        .windows(2)
        .filter_map(|pair| match pair {
            [older, newer] if older.is_same_task(newer) => Some(older.attempt),
            _ => None,
        })
        .collect()
}
