//! A timer of the leader's periodic work.

use crate::model::Ms;

/// A time from which something is due. A new timer is due at once.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::core::leader) struct Timer {
    due_at: Ms,
}

impl Timer {
    /// Whether the time has come.
    pub(in crate::core::leader) fn is_due(self, now: Ms) -> bool {
        now >= self.due_at
    }

    /// Makes it due at this time, whatever was set before.
    pub(in crate::core::leader) fn set(&mut self, due_at: Ms) {
        self.due_at = due_at;
    }

    /// Makes it due no earlier than this time.
    pub(in crate::core::leader) fn postpone(&mut self, due_at: Ms) {
        self.due_at = self.due_at.max(due_at);
    }
}
