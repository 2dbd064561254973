//! Pacing of a write to the store that is retried until it succeeds.

use super::timer::Timer;
use crate::model::Ms;

/// Limits one kind of write to a single write in flight, with a delay after a failed one.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WritePacing {
    is_in_flight: bool,
    retry: Timer,
}

impl WritePacing {
    /// Whether a write may start now: none is in flight, and the delay has passed.
    pub(super) fn is_ready(&self, now: Ms) -> bool {
        !self.is_in_flight && self.retry.is_due(now)
    }

    /// Marks a write as in flight.
    pub(super) fn start(&mut self) {
        self.is_in_flight = true;
    }

    /// Marks the write as answered.
    pub(super) fn finish(&mut self) {
        self.is_in_flight = false;
    }

    /// Marks the write as answered, and delays the next one until `retry_at`.
    pub(super) fn finish_and_retry_at(&mut self, retry_at: Ms) {
        self.is_in_flight = false;
        self.retry.set(retry_at);
    }
}
