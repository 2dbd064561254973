//! The origin's side: the next step with a job that was forwarded.

use crate::Millis;
use crate::message::{HostedPhase, NEVER_RETRY};
use crate::record::ForwardPhase;

/// Time limits after which the origin acts on a forwarded job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OriginLimits {
    /// Silence of a host cell after which its jobs are recalled.
    pub silence_ms: Millis,
    /// Time without progress after which a job is recalled: no task of it has run for this long
    /// at the host, and none is done.
    pub idle_ms: Millis,
    /// Time after a recall at which the job is reclaimed from a host that has not reported it as
    /// done or released; see [`crate::lease::CellTiming::reclaim_after_ms`].
    pub reclaim_after_ms: Millis,
}

/// A forwarded job as the origin's leader knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardView {
    /// Recorded phase of the forwarding.
    pub phase: ForwardPhase,
    /// Time since this leader first saw the record in this phase.
    pub in_phase_ms: Millis,
    /// Phase that the host reported for this epoch.
    pub reported: Option<HostedPhase>,
    /// Time since this leader last received a message from the host cell.
    pub host_silent_ms: Millis,
    /// Time for which the host has shown no progress: no task is running or done.
    pub idle_ms: Millis,
}

/// Reason why a job is recalled from its host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecallReason {
    /// The host has no capacity for the job now.
    Refused,
    /// The host can never run the job.
    Unfit,
    /// The host cell is silent.
    Silent,
    /// The host accepted the job and made no progress with it.
    Idle,
}

/// The origin's next step with a forwarded job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginStep {
    /// Do nothing.
    Wait,
    /// Record that the job is recalled.
    Recall(RecallReason),
    /// Record that the job is back at its origin.
    Return {
        /// Whether the host reported that it released the job. If false, the host reported
        /// nothing final, and its lease must have ended.
        is_confirmed: bool,
    },
    /// Record that the job is done.
    Finish,
}

/// Returns the origin's next step with a forwarded job.
///
/// A host's report that the job is done or released is final. Without one, the job is recalled
/// if the host refused it or a time limit has passed, and returns to its origin at
/// `reclaim_after_ms` after the recall.
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
