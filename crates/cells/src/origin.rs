//! The origin's side: what becomes of a job that was forwarded.

use crate::Millis;
use crate::message::{HostedPhase, NEVER_RETRY};
use crate::record::ForwardPhase;

/// Times after which the origin acts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OriginLimits {
    /// A host cell that has been silent for this long must give its jobs back.
    pub silence_ms: Millis,
    /// So must one at which no task of the job has run for this long, and none is done.
    pub idle_ms: Millis,
    /// See [`crate::lease::CellTiming::reclaim_after_ms`].
    pub reclaim_after_ms: Millis,
}

/// A forwarded job as the origin's leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardView {
    /// How far the forwarding is on record.
    pub phase: ForwardPhase,
    /// Time since this leader first saw the record in this phase.
    pub in_phase_ms: Millis,
    /// What the host says of this epoch.
    pub reported: Option<HostedPhase>,
    /// Time since the host cell was last heard, by this leader.
    pub host_silent_ms: Millis,
    /// Time for which the host has shown no progress: nothing runs, nothing is done.
    pub idle_ms: Millis,
}

/// Why a job is to be given back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecallReason {
    /// The host has no capacity for it now.
    Refused,
    /// The host can never run it.
    Unfit,
    /// The host cell is silent.
    Silent,
    /// The host accepted it and has not started it.
    Idle,
}

/// What the origin does next with a forwarded job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginStep {
    /// Nothing.
    Wait,
    /// Put the recall on record.
    Recall(RecallReason),
    /// Put on record that the job is here again.
    Return {
        /// Whether the host released the job. False: it said nothing, and its lease must have
        /// ended.
        is_confirmed: bool,
    },
    /// Put on record that the job is done.
    Finish,
}

/// The next step with a forwarded job. What the host says of one that is done or released is
/// final; all else rests on time.
pub fn next_step(view: &ForwardView, limits: &OriginLimits) -> OriginStep {
    match (view.phase, view.reported) {
        (ForwardPhase::Returned, _) => OriginStep::Wait,
        (_, Some(HostedPhase::Done)) => OriginStep::Finish,
        (_, Some(HostedPhase::Released)) => OriginStep::Return { is_confirmed: true },
        (ForwardPhase::Recalled, _) if view.in_phase_ms >= limits.reclaim_after_ms => {
            OriginStep::Return { is_confirmed: false }
        }
        (ForwardPhase::Recalled, _) => OriginStep::Wait,
        (ForwardPhase::Active, Some(HostedPhase::Refused { retry_after_ms: NEVER_RETRY })) => {
            OriginStep::Recall(RecallReason::Unfit)
        }
        (ForwardPhase::Active, Some(HostedPhase::Refused { .. })) => {
            OriginStep::Recall(RecallReason::Refused)
        }
        (ForwardPhase::Active, _) if view.host_silent_ms >= limits.silence_ms => {
            OriginStep::Recall(RecallReason::Silent)
        }
        (ForwardPhase::Active, _) if view.idle_ms >= limits.idle_ms => {
            OriginStep::Recall(RecallReason::Idle)
        }
        (ForwardPhase::Active, _) => OriginStep::Wait,
    }
}
