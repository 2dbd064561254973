//! The newest decisions of a role, kept in memory.
//!
//! Each decision about an attempt is logged at debug as it is made. Too many are made for the
//! info level, so the newest ones are kept here, and logged as errors once a rule is found
//! broken.

use crate::model::Ms;
use std::collections::VecDeque;

/// Decisions that are kept.
const MAX_KEPT: usize = 4_096;

/// The newest decisions, with the times at which they were made.
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
    /// Adds a decision; the oldest one goes if there are too many.
    pub fn push(&mut self, now: Ms, decision: Decision) {
        if self.entries.len() >= MAX_KEPT {
            self.entries.pop_front();
        }
        self.entries.push_back((now, decision));
    }

    /// Takes all decisions, the oldest first, each with the time since it was made.
    pub fn take(&mut self, now: Ms) -> impl Iterator<Item = (Ms, Decision)> {
        let entries = std::mem::take(&mut self.entries);
        entries.into_iter().map(move |(made_at, decision)| (now.saturating_sub(made_at), decision))
    }
}
