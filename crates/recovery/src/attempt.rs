//! The verdict on an attempt, and the order that is allowed for it.

use crate::worker::{HeartbeatVersion, WorkerLiveness};

/// How far an attempt is, as far as its holder knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptPhase {
    /// Bound by this holder; no report has listed it yet.
    Bound,
    /// From the record of a former holder; may or may not be on the machine.
    Inherited,
    /// Waits for its image.
    Fetching,
    /// Runs.
    Running,
    /// Was told to stop and saves.
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
        use AttemptPhase::{Done, Failed, Refused, Stopped};
        matches!(self, Done | Stopped | Failed | Refused)
    }

    /// Whether a report has shown the attempt alive.
    pub fn is_alive(self) -> bool {
        use AttemptPhase::{Fetching, Running, Saving};
        matches!(self, Fetching | Running | Saving)
    }
}

/// What the verdict on an attempt rests on, beside the worker's session.
#[derive(Debug, Clone, Copy)]
pub struct AttemptState {
    /// How far it is.
    pub phase: AttemptPhase,
    /// Whether the leader wants it there.
    pub wanted: bool,
    /// The report whose answer first carried its `run`.
    pub run_sent: Option<HeartbeatVersion>,
}

/// What a report that was taken in proves about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The report lists it.
    Present,
    /// Nothing is proven yet: its `run` is on its way, waits to be sent, or may have
    /// been sent by a former holder.
    Pending,
    /// It succeeded; kept as knowledge until the success is on record.
    SuccessKept,
    /// It is not on the machine and never will be.
    Absent,
    /// Its `run` was sent and never arrived: absent, and answers don't reach the
    /// machine.
    Undelivered,
}

/// The verdict on an attempt after the newest report, which lists it or doesn't.
pub fn judge(attempt: &AttemptState, listed: bool, incarnation: &WorkerLiveness) -> Verdict {
    if listed {
        return Verdict::Present;
    }
    match attempt.phase {
        AttemptPhase::Done if attempt.wanted => Verdict::SuccessKept,
        // Sent in an answer to an earlier report: the worker sends the next one only
        // after that answer, or having given it up, so what this one does not list
        // never came.
        AttemptPhase::Bound if attempt.wanted => match attempt.run_sent {
            Some(sent) if sent < incarnation.newest() => Verdict::Undelivered,
            None if incarnation.is_unreachable() => Verdict::Absent,
            _ => Verdict::Pending,
        },
        // The former holder's answer can't be under way any more once the worker knows
        // our token. A later session proves nothing before that: both reports may be
        // late copies, older than the `run`, and the task would run twice.
        AttemptPhase::Inherited if !incarnation.is_fenced() => Verdict::Pending,
        _ => Verdict::Absent,
    }
}

/// Whether the end of the worker's lease proves the attempt gone: all but a success
/// that is still to be recorded.
pub fn ends_with_lease(attempt: &AttemptState) -> bool {
    attempt.phase != AttemptPhase::Done || !attempt.wanted
}

/// Whether an attempt that the leader no longer wants is gone without a report: it
/// was never sent, or it ended on a machine that is no more.
pub fn ends_when_unwanted(attempt: &AttemptState, lease_ended: bool) -> bool {
    let never_sent = attempt.phase == AttemptPhase::Bound && attempt.run_sent.is_none();
    !attempt.wanted && (never_sent || lease_ended && attempt.phase.has_ended())
}

/// What is known of an attempt's job.
#[derive(Debug, Clone, Copy)]
pub struct JobEligibility {
    /// On record and neither done nor withdrawn.
    pub is_live: bool,
    /// Its cancellation is confirmed, as far as is known here.
    pub is_cancelled: bool,
    /// Its tasks can save when they are stopped.
    pub saves: bool,
}

/// What a worker is to do with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerAction {
    /// Start it.
    Run,
    /// Stop it; `save` leaves it time to save.
    Stop {
        /// Whether it may save first.
        save: bool,
    },
    /// Leave it out of later reports.
    Clear,
}

/// The order for an attempt that is allowed in the answer to the newest report.
///
/// `on_record` says that the attempt is durably recorded, `listed` that a report has
/// listed it at least once, `starts_allowed` that its machine is not being returned.
/// An attempt that no report has listed, and that this holder did not bind, gets no
/// order at all.
pub fn allowed_action(
    attempt: &AttemptState,
    job: &JobEligibility,
    incarnation: &WorkerLiveness,
    on_record: bool,
    listed: bool,
    starts_allowed: bool,
) -> Option<WorkerAction> {
    let phase = attempt.phase;
    if phase == AttemptPhase::Bound {
        let may_run = attempt.wanted && on_record && job.is_live && !job.is_cancelled;
        return (may_run && starts_allowed && incarnation.may_start()).then_some(WorkerAction::Run);
    }
    if phase.is_alive() && (job.is_cancelled || !attempt.wanted) {
        if phase == AttemptPhase::Saving && !job.is_cancelled {
            return None;
        }
        return Some(WorkerAction::Stop { save: job.saves && !job.is_cancelled });
    }
    (phase.has_ended() && !attempt.wanted && listed).then_some(WorkerAction::Clear)
}

/// The order for an attempt that a report lists and no record speaks of: nobody's, so
/// it must not go on. The records have been read after our grant, so there is none
/// that could still appear.
pub fn action_for_unrecorded(has_exited: bool) -> WorkerAction {
    if has_exited { WorkerAction::Clear } else { WorkerAction::Stop { save: false } }
}

/// Whether a cancelled attempt may be on its machine, so that a direct command has to
/// stop it. This holds in every phase of recovery.
pub fn may_need_direct_stop(attempt: &AttemptState) -> bool {
    match attempt.phase {
        AttemptPhase::Inherited => true,
        AttemptPhase::Bound => attempt.run_sent.is_some(),
        phase => phase.is_alive(),
    }
}
