//! The verdict on an attempt, and the action that is allowed for it.

use crate::worker::{HeartbeatVersion, WorkerLiveness};

/// How far an attempt is, as far as its shard owner knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptPhase {
    /// Bound by this shard owner; no heartbeat has listed it yet.
    Bound,
    /// Recorded by a former shard owner; may or may not be on the machine.
    Inherited,
    /// Waits for its image.
    Fetching,
    /// Runs.
    Running,
    /// Was told to stop and saves a checkpoint.
    Saving,
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Failed.
    Failed,
    /// The machine refused the start.
    Refused,
}

impl AttemptPhase {
    /// Whether the attempt has ended on its machine.
    pub fn has_ended(self) -> bool {
        matches!(
            self,
            AttemptPhase::Done | AttemptPhase::Stopped | AttemptPhase::Failed | AttemptPhase::Refused
        )
    }

    /// Whether the last heartbeat that listed the attempt has shown it alive.
    pub fn is_alive(self) -> bool {
        matches!(self, AttemptPhase::Fetching | AttemptPhase::Running | AttemptPhase::Saving)
    }
}

/// What the verdict on an attempt rests on, beside what is known about the worker.
#[derive(Debug, Clone, Copy)]
pub struct AttemptState {
    /// How far it is.
    pub phase: AttemptPhase,
    /// Whether the leader wants it there.
    pub is_wanted: bool,
    /// The heartbeat whose response first carried its start command.
    pub start_sent: Option<HeartbeatVersion>,
}

/// What a heartbeat that was accepted proves about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The heartbeat lists it.
    Present,
    /// Nothing is proven yet: its start command is on its way, waits to be sent, or may
    /// have been sent by a former shard owner.
    Pending,
    /// It is not listed, but known to have succeeded; kept until the success is on record.
    Succeeded,
    /// It is not on the machine and never will be.
    Absent,
    /// Its start command was sent and never arrived: absent, and responses don't reach the
    /// machine.
    Undelivered,
}

/// The verdict on an attempt after the newest heartbeat, which lists it or doesn't.
pub fn judge(attempt: &AttemptState, is_listed: bool, liveness: &WorkerLiveness) -> Verdict {
    if is_listed {
        return Verdict::Present;
    }
    match attempt.phase {
        AttemptPhase::Done if attempt.is_wanted => Verdict::Succeeded,
        // Sent in the response to an earlier heartbeat: the worker sends the next one only
        // after that response, or having given it up, so what this one does not list never
        // came.
        AttemptPhase::Bound if attempt.is_wanted => match attempt.start_sent {
            Some(sent) if sent < liveness.newest() => Verdict::Undelivered,
            None if liveness.is_unreachable() => Verdict::Absent,
            _ => Verdict::Pending,
        },
        // The former owner's response can't be under way any more once the worker knows our
        // fencing token. A later incarnation proves nothing before that: both heartbeats
        // may be late copies, older than the start command, and the task would run twice.
        AttemptPhase::Inherited if !liveness.is_fenced() => Verdict::Pending,
        _ => Verdict::Absent,
    }
}

/// Whether the end of the worker's lease proves the attempt gone: all but a success that
/// is still to be recorded.
pub fn ends_with_lease(attempt: &AttemptState) -> bool {
    attempt.phase != AttemptPhase::Done || !attempt.is_wanted
}

/// Whether an attempt that the leader no longer wants is gone without a heartbeat: its
/// start command was never sent, or it ended on a machine whose lease is over.
pub fn ends_when_unwanted(attempt: &AttemptState, lease_ended: bool) -> bool {
    let never_sent = attempt.phase == AttemptPhase::Bound && attempt.start_sent.is_none();
    !attempt.is_wanted && (never_sent || lease_ended && attempt.phase.has_ended())
}

/// What the job of an attempt allows.
#[derive(Debug, Clone, Copy)]
pub struct JobEligibility {
    /// On record and neither done nor cancelled.
    pub is_live: bool,
    /// Its cancellation is confirmed, as far as is known here.
    pub is_cancelled: bool,
    /// Its tasks can save a checkpoint when they are stopped.
    pub can_checkpoint: bool,
}

/// What the shard owner knows of an attempt and its machine, beside the attempt's state.
#[derive(Debug, Clone, Copy)]
pub struct ActionConditions {
    /// The attempt is durably recorded.
    pub is_recorded: bool,
    /// A heartbeat has listed the attempt at least once.
    pub was_listed: bool,
    /// Its machine is not being terminated.
    pub starts_allowed: bool,
}

/// What a worker is to do with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerAction {
    /// Start it.
    Start,
    /// Stop it.
    Stop {
        /// Whether it has time to save a checkpoint first.
        with_checkpoint: bool,
    },
    /// Leave it out of later heartbeats.
    Forget,
}

/// The action for an attempt that is allowed in the response to the newest heartbeat.
///
/// There is none for an attempt that no heartbeat has listed and that this shard owner did
/// not bind.
pub fn allowed_action(
    attempt: &AttemptState,
    job: &JobEligibility,
    liveness: &WorkerLiveness,
    conditions: &ActionConditions,
) -> Option<WorkerAction> {
    let phase = attempt.phase;
    if phase == AttemptPhase::Bound {
        let is_due = attempt.is_wanted && conditions.is_recorded;
        let job_may_start = job.is_live && !job.is_cancelled;
        let worker_may_start = conditions.starts_allowed && liveness.may_start();
        return (is_due && job_may_start && worker_may_start).then_some(WorkerAction::Start);
    }
    if phase.is_alive() && (job.is_cancelled || !attempt.is_wanted) {
        if phase == AttemptPhase::Saving && !job.is_cancelled {
            return None;
        }
        let with_checkpoint = job.can_checkpoint && !job.is_cancelled;
        return Some(WorkerAction::Stop { with_checkpoint });
    }
    let is_known_end = phase.has_ended() && conditions.was_listed;
    (is_known_end && !attempt.is_wanted).then_some(WorkerAction::Forget)
}

/// The action for an attempt that a heartbeat lists and no record does: it is nobody's, so
/// it must not go on. The records have been read after we became the shard owner, so none
/// can still appear that lists it.
pub fn action_for_unrecorded(has_exited: bool) -> WorkerAction {
    if has_exited { WorkerAction::Forget } else { WorkerAction::Stop { with_checkpoint: false } }
}

/// Whether a cancelled attempt may be on its machine, so that a direct command has to stop
/// it. This holds in every phase of recovery.
pub fn may_need_direct_stop(attempt: &AttemptState) -> bool {
    match attempt.phase {
        AttemptPhase::Inherited => true,
        AttemptPhase::Bound => attempt.start_sent.is_some(),
        phase => phase.is_alive(),
    }
}
