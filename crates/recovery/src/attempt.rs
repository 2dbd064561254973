//! Verdicts on attempts, and the commands that a worker may be sent about them.

use crate::worker::{HeartbeatVersion, WorkerLiveness};

/// Phase of an attempt, as far as its shard owner knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptPhase {
    /// Bound by this shard owner; no heartbeat has listed it yet.
    Bound,
    /// Recorded by a former shard owner; the attempt may or may not be on the machine.
    Inherited,
    /// The worker is fetching the image.
    Fetching,
    /// The task is running.
    Running,
    /// The task is saving a checkpoint after a stop command.
    Saving,
    /// The task completed successfully.
    Done,
    /// The attempt ended because of a stop command.
    Stopped,
    /// The task failed.
    Failed,
    /// The worker refused the start command.
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

    /// Whether the last heartbeat that listed the attempt reported it as not yet ended.
    pub fn is_alive(self) -> bool {
        matches!(self, AttemptPhase::Fetching | AttemptPhase::Running | AttemptPhase::Saving)
    }
}

/// State of an attempt, from which its verdict follows together with the worker's liveness.
#[derive(Debug, Clone, Copy)]
pub struct AttemptState {
    /// Last known phase.
    pub phase: AttemptPhase,
    /// Whether the leader wants the attempt on this machine.
    pub is_wanted: bool,
    /// The heartbeat whose response first carried the attempt's start command.
    pub start_sent: Option<HeartbeatVersion>,
}

/// What an accepted heartbeat proves about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The heartbeat lists the attempt.
    Present,
    /// Nothing is proven yet: the start command is in flight or still to be sent, or a former
    /// shard owner may have sent one.
    Pending,
    /// The heartbeat does not list the attempt, which is already known to have succeeded. It is
    /// kept until the success is durably recorded.
    Succeeded,
    /// The attempt is not on the machine and will never be.
    Absent,
    /// The start command was sent and never arrived: the attempt is absent, and responses do
    /// not reach the machine.
    Undelivered,
}

/// Returns the verdict on an attempt after the worker's newest heartbeat. `is_listed` says
/// whether that heartbeat lists the attempt.
pub fn verdict_on(attempt: &AttemptState, is_listed: bool, liveness: &WorkerLiveness) -> Verdict {
    if is_listed {
        return Verdict::Present;
    }
    match attempt.phase {
        AttemptPhase::Done if attempt.is_wanted => Verdict::Succeeded,
        // A start command sent in the response to an earlier heartbeat: the worker sends its
        // next heartbeat only after it has received that response or stopped waiting for it,
        // so a command whose attempt this heartbeat does not list never arrived.
        AttemptPhase::Bound if attempt.is_wanted => match attempt.start_sent {
            Some(sent) if sent < liveness.newest() => Verdict::Undelivered,
            None if liveness.is_unreachable() => Verdict::Absent,
            _ => Verdict::Pending,
        },
        // Once the worker knows our fencing token, no response of the former owner can still be
        // in flight. Before that, even a later incarnation proves nothing: both heartbeats may
        // be late copies, older than the start command, and the task would run twice.
        AttemptPhase::Inherited if !liveness.knows_fencing_token() => Verdict::Pending,
        _ => Verdict::Absent,
    }
}

/// Whether the end of the worker's lease ends the attempt too. This holds for every attempt
/// except a success that still has to be recorded.
pub fn ends_with_lease(attempt: &AttemptState) -> bool {
    attempt.phase != AttemptPhase::Done || !attempt.is_wanted
}

/// Whether an attempt that the leader no longer wants is known to be gone without another
/// heartbeat: its start command was never sent, or it ended on a machine whose lease has ended.
pub fn ends_when_unwanted(attempt: &AttemptState, lease_ended: bool) -> bool {
    let never_sent = attempt.phase == AttemptPhase::Bound && attempt.start_sent.is_none();
    !attempt.is_wanted && (never_sent || lease_ended && attempt.phase.has_ended())
}

/// What the state of an attempt's job allows.
#[derive(Debug, Clone, Copy)]
pub struct JobEligibility {
    /// Whether the job is recorded and neither done nor cancelled.
    pub is_live: bool,
    /// Whether the job's cancellation is known here to be confirmed.
    pub is_cancelled: bool,
    /// Whether the job's tasks can save a checkpoint when they are stopped.
    pub can_checkpoint: bool,
}

/// Further conditions, known to the shard owner, on which commands about an attempt depend.
#[derive(Debug, Clone, Copy)]
pub struct ActionConditions {
    /// Whether the attempt is durably recorded.
    pub is_recorded: bool,
    /// Whether a heartbeat has listed the attempt at least once.
    pub was_listed: bool,
    /// Whether the machine accepts new attempts: it is not being terminated.
    pub machine_accepts_starts: bool,
}

/// Action that a worker is commanded to take on an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerAction {
    /// Start the attempt.
    Start,
    /// Stop the attempt.
    Stop {
        /// Whether the task is given time to save a checkpoint first.
        with_checkpoint: bool,
    },
    /// Leave the ended attempt out of later heartbeats.
    Forget,
}

/// Returns the action on an attempt that the response to the worker's newest heartbeat may
/// command.
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
        let attempt_may_start = attempt.is_wanted && conditions.is_recorded;
        let job_may_start = job.is_live && !job.is_cancelled;
        let worker_may_start = conditions.machine_accepts_starts && liveness.may_start();
        let may_start = attempt_may_start && job_may_start && worker_may_start;
        return may_start.then_some(WorkerAction::Start);
    }
    if phase.is_alive() && (job.is_cancelled || !attempt.is_wanted) {
        if phase == AttemptPhase::Saving && !job.is_cancelled {
            return None;
        }
        let with_checkpoint = job.can_checkpoint && !job.is_cancelled;
        return Some(WorkerAction::Stop { with_checkpoint });
    }
    let has_reported_end = phase.has_ended() && conditions.was_listed;
    (has_reported_end && !attempt.is_wanted).then_some(WorkerAction::Forget)
}

/// Returns the action on an attempt that a heartbeat lists and no record does. No leader or
/// shard owner accounts for such an attempt, so it must not continue. The records were read
/// after we became the shard owner, so a record that lists it can no longer appear.
pub fn action_for_unrecorded(has_ended: bool) -> WorkerAction {
    if has_ended { WorkerAction::Forget } else { WorkerAction::Stop { with_checkpoint: false } }
}

/// Whether an attempt of a cancelled job may be on its machine, so that a direct command is
/// needed to stop it. The answer is the same in every phase of recovery.
pub fn may_need_direct_stop(attempt: &AttemptState) -> bool {
    match attempt.phase {
        AttemptPhase::Inherited => true,
        AttemptPhase::Bound => attempt.start_sent.is_some(),
        phase => phase.is_alive(),
    }
}
