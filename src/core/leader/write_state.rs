//! Pacing of a write to the store that is retried until it succeeds.

use super::timer::Timer;
use crate::model::Ms;

/// Keeps a kind of write to one at a time, with a pause after a failed one.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct WriteState {
    is_in_flight: bool,
    retry: Timer,
}

impl WriteState {
    /// Whether a write may start now: none is in flight, and the pause is over.
    pub(super) fn is_ready(&self, now: Ms) -> bool {
        !self.is_in_flight && self.retry.is_due(now)
    }

    /// A write has been sent.
    pub(super) fn start(&mut self) {
        self.is_in_flight = true;
    }

    /// The write has been answered.
    pub(super) fn finish(&mut self) {
        self.is_in_flight = false;
    }

    /// The write has been answered, and the next one must wait until a time.
    pub(super) fn finish_and_wait(&mut self, retry_at: Ms) {
        self.is_in_flight = false;
        self.retry.set(retry_at);
    }
}
