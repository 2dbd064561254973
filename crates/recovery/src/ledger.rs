//! The leader's side of recovery: which attempts a new leader keeps from the
//! records, adopts from a holder's report, or takes for gone.

/// Where the leader stands with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptDisposition {
    /// It shall go on; its task gets no second attempt.
    Keep,
    /// It is to be stopped, and counts against limits until it is proven gone.
    Stop,
}

/// What a new leader does with an attempt that the records list. `job_is_live` is
/// false for a job that is final, or not in memory because it is.
pub fn from_record(job_is_live: bool, task_is_done: bool) -> AttemptDisposition {
    if job_is_live && !task_is_done { AttemptDisposition::Keep } else { AttemptDisposition::Stop }
}

/// What the leader does with an attempt that a holder reports and that the leader's
/// records did not list: bound for an earlier leader. Another attempt at the same
/// task is newer, as it was granted after this one was proven gone or never seen.
pub fn from_shard_owner(
    job_is_live: bool,
    task_is_done: bool,
    task_has_attempt: bool,
) -> AttemptDisposition {
    if task_has_attempt { AttemptDisposition::Stop } else { from_record(job_is_live, task_is_done) }
}

/// Whether a holder's report that does not list an attempt proves it gone. It does if
/// the report answers a message of the leader that named the attempt: until then the
/// holder may not have known of it. `named_in` is the serial of the first message that
/// named it under the present grant, `echo` that of the newest message answered.
pub fn is_gone(listed: bool, named_in: Option<u64>, echo: u64) -> bool {
    !listed && named_in.is_some_and(|serial| serial <= echo)
}

/// Of several attempts at each task only the newest can still matter: it was granted
/// after the others were proven gone. The rows are (job, task, attempt) in ascending
/// order; the result names the attempts that are superseded.
pub fn superseded<Job: PartialEq>(rows: &[(Job, u32, u64)]) -> Vec<u64> {
    let same_task = |a: &(Job, u32, u64), b: &(Job, u32, u64)| a.0 == b.0 && a.1 == b.1;
    rows.windows(2)
        .filter_map(|pair| match pair {
            [older, newer] if same_task(older, newer) => Some(older.2),
            _ => None,
        })
        .collect()
}
