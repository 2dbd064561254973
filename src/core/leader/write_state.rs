//! Pacing of a write to the store that is retried until it succeeds.

use crate::model::Ms;

/// Keeps a kind of write to one at a time, with a pause after a failed one.
#[derive(Debug, Clone, Copy, Default)]
pub struct WriteState {
    is_in_flight: bool,
    retry_at: Ms,
}

impl WriteState {
    /// Whether a write may start now: none is in flight, and the pause is over.
    pub fn is_ready(&self, now: Ms) -> bool {
        !self.is_in_flight && now >= self.retry_at
    }

    /// A write has been sent.
    pub fn start(&mut self) {
        self.is_in_flight = true;
    }

    /// The write has been answered.
    pub fn finish(&mut self) {
        self.is_in_flight = false;
    }

    /// The write has been answered, and the next one must wait until a time.
    pub fn finish_and_wait(&mut self, retry_at: Ms) {
        self.is_in_flight = false;
        self.retry_at = retry_at;
    }
}
