//! The order in which waiting jobs are served.

use super::Priority;

/// Sort key of a waiting job. Jobs with a smaller key are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobOrder {
    /// Priority of the job; higher priorities come first.
    pub priority: std::cmp::Reverse<Priority>,
    /// Whether it is too late to start the job in time for any of its service-level objectives.
    pub all_objectives_missed: bool,
    /// Time left, in milliseconds, to start the job in time for its next objective.
    pub slack_ms: i64,
}
