//! A timer of the leader's periodic work.

use crate::model::Ms;

/// A point in time from which something is due. A new timer is due immediately.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::core::leader) struct Timer {
    due_at: Ms,
}

impl Timer {
    /// Whether the timer is due at `now`.
    pub(in crate::core::leader) fn is_due(self, now: Ms) -> bool {
        now >= self.due_at
    }

    /// Sets the time from which it is due, whatever was set before.
    pub(in crate::core::leader) fn set(&mut self, due_at: Ms) {
        self.due_at = due_at;
    }

    /// Delays it until this time, unless it is due even later.
    pub(in crate::core::leader) fn postpone(&mut self, due_at: Ms) {
        self.due_at = self.due_at.max(due_at);
    }
}
