//! Log events of a job that moves between cells.

use crate::origin::RecallReason;

/// Target of the log lines.
pub const LOG_TARGET: &str = "woadlever::cells";
/// Version of the format of the log lines.
pub const LOG_FORMAT: u64 = 1;

/// A step of a job's move between cells that the origin or the host has durably recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MoveEvent {
    /// The origin forwarded the job.
    Forwarded,
    /// The host accepted the job.
    Accepted,
    /// The host wrote a tombstone: it cancelled the job on its side, or never accepted it.
    Tombstoned,
    /// The origin recalled the job because the host has no capacity for it.
    RecalledRefused,
    /// The origin recalled the job because the host can never run it.
    RecalledUnfit,
    /// The origin recalled the job because the host cell is silent.
    RecalledSilent,
    /// The origin recalled the job because the host made no progress with it.
    RecalledIdle,
    /// The job is back at its origin because the host released it.
    Returned,
    /// The job is back at its origin because the host's lease must have ended.
    Reclaimed,
    /// All tasks of the job are done.
    Done,
}

impl MoveEvent {
    /// All events.
    pub const ALL: [MoveEvent; 10] = [
        MoveEvent::Forwarded,
        MoveEvent::Accepted,
        MoveEvent::Tombstoned,
        MoveEvent::RecalledRefused,
        MoveEvent::RecalledUnfit,
        MoveEvent::RecalledSilent,
        MoveEvent::RecalledIdle,
        MoveEvent::Returned,
        MoveEvent::Reclaimed,
        MoveEvent::Done,
    ];

    /// Name of the event in log lines.
    pub fn name(self) -> &'static str {
        match self {
            MoveEvent::Forwarded => "forwarded",
            MoveEvent::Accepted => "accepted",
            MoveEvent::Tombstoned => "withdrawn",
            MoveEvent::RecalledRefused => "recalled_refused",
            MoveEvent::RecalledUnfit => "recalled_unfit",
            MoveEvent::RecalledSilent => "recalled_silent",
            MoveEvent::RecalledIdle => "recalled_idle",
            MoveEvent::Returned => "returned",
            MoveEvent::Reclaimed => "reclaimed",
            MoveEvent::Done => "done",
        }
    }

    /// Returns the event with this name in log lines.
    pub fn from_name(name: &str) -> Option<MoveEvent> {
        MoveEvent::ALL.into_iter().find(|event| event.name() == name)
    }
}

impl From<RecallReason> for MoveEvent {
    fn from(reason: RecallReason) -> MoveEvent {
        match reason {
            RecallReason::Refused => MoveEvent::RecalledRefused,
            RecallReason::Unfit => MoveEvent::RecalledUnfit,
            RecallReason::Silent => MoveEvent::RecalledSilent,
            RecallReason::Idle => MoveEvent::RecalledIdle,
        }
    }
}
