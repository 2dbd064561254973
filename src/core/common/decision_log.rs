//! The most recent decisions of a role, kept in memory.
//!
//! Each decision about an attempt is logged at debug level when it is made. There are too many
//! for the info level, so the most recent ones are kept here and logged at error level when a
//! rule is found to be violated.

use crate::model::Ms;
use std::collections::VecDeque;

/// Maximum number of decisions kept.
const MAX_ENTRIES: usize = 4_096;

/// The most recent decisions with the times at which they were made.
#[derive(Debug)]
pub struct DecisionLog<Decision> {
    entries: VecDeque<(Ms, Decision)>,
}

impl<Decision> Default for DecisionLog<Decision> {
    fn default() -> DecisionLog<Decision> {
        DecisionLog { entries: VecDeque::new() }
    }
}

impl<Decision> DecisionLog<Decision> {
    /// Adds a decision, and drops the oldest one if the log is full.
    pub fn push(&mut self, now: Ms, decision: Decision) {
        if self.entries.len() >= MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back((now, decision));
    }

    /// Removes and returns all decisions, oldest first, each with its age.
    pub fn take(&mut self, now: Ms) -> impl Iterator<Item = (Ms, Decision)> {
        let entries = std::mem::take(&mut self.entries);
        entries.into_iter().map(move |(made_at, decision)| (now.saturating_sub(made_at), decision))
    }
}
