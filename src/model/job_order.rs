//! The order in which waiting jobs are served.

use super::Priority;

/// The order in which waiting jobs are served; smaller comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobOrder {
    /// Higher priorities come first.
    pub priority: std::cmp::Reverse<Priority>,
    /// Every service-level objective that it could be started for is missed.
    pub late: bool,
    /// Time left until the job can no longer be started for its next objective.
    pub slack_ms: i64,
}
