//! What is logged of a job that moves between cells.

use crate::origin::RecallReason;

/// Target of the log lines.
pub const LOG_TARGET: &str = "woadlever::cells";
/// Version of their fields.
pub const LOG_FORMAT: u64 = 1;

/// A step of a move, as the origin or the host has put it on record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum MoveEvent {
    /// The origin forwards the job.
    Forwarded,
    /// The host has accepted it.
    Accepted,
    /// The host has left a tombstone: it cancelled the job there, or never accepted it.
    Tombstoned,
    /// The origin takes the job back, as the host has no capacity for it.
    RecalledRefused,
    /// The same, as the host can never run it.
    RecalledUnfit,
    /// The same, as the host cell is silent.
    RecalledSilent,
    /// The same, as the host has not begun it.
    RecalledIdle,
    /// The job is at its origin again, as the host released it.
    Returned,
    /// The same, as the host's lease must have ended.
    Reclaimed,
    /// All tasks are done.
    Done,
}

impl MoveEvent {
    /// All of them.
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

    /// Its name in the log.
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

    /// The step with this name in the log.
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
