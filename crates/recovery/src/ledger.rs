//! Former names of [`crate::disposition`], until their callers have changed over.

use crate::disposition::{self, TaskAttempt, TaskStatus};

pub use crate::disposition::AttemptDisposition;
pub use crate::disposition::is_proven_gone as is_gone;

/// See [`AttemptDisposition::of_recorded`].
pub fn from_record(job_is_live: bool, is_done: bool) -> AttemptDisposition {
    AttemptDisposition::of_recorded(TaskStatus { job_is_live, is_done })
}

/// See [`AttemptDisposition::of_reported`].
pub fn from_shard_owner(
    job_is_live: bool,
    is_done: bool,
    has_other_attempt: bool,
) -> AttemptDisposition {
    AttemptDisposition::of_reported(TaskStatus { job_is_live, is_done }, has_other_attempt)
}

/// See [`disposition::superseded`].
pub fn superseded<Job: PartialEq + Copy>(rows: &[(Job, u32, u64)]) -> Vec<u64> {
    let attempts: Vec<TaskAttempt<Job>> =
        rows.iter().map(|&(job, task, attempt)| TaskAttempt { job, task, attempt }).collect();
    disposition::superseded(&attempts)
}
