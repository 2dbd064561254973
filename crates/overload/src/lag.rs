//! How late the event loop is.
//!
//! A loop that gets to its timer late has had more to do than its share of the processor
//! allows. Clients whose requests arrived meanwhile have waited at least as long, wherever in
//! the process or the kernel the requests were. That makes the lag of a timer a better
//! measure of pressure than the length of any one queue, as most requests that wait are in
//! no queue of this process.

use crate::Millis;

/// Decides from the lag of a timer whether the node is under pressure.
#[derive(Debug)]
pub struct LagMonitor {
    target_ms: Millis,
    interval_ms: Millis,
    /// Since when every timer has been later than the target.
    late_since: Option<Millis>,
    last_lag_ms: Millis,
}

impl LagMonitor {
    /// Lag beyond `target_ms` is pressure once it has lasted for `interval_ms`, so that
    /// a single long step is none.
    pub fn new(target_ms: Millis, interval_ms: Millis) -> LagMonitor {
        LagMonitor { target_ms, interval_ms, late_since: None, last_lag_ms: 0 }
    }

    /// Notes that a timer set for `due` was served at `now`.
    pub fn note_timer(&mut self, due: Millis, now: Millis) {
        self.last_lag_ms = now.saturating_sub(due);
        if self.last_lag_ms > self.target_ms {
            // Late since it was due, as nothing was served in between.
            self.late_since.get_or_insert(due);
        } else {
            self.late_since = None;
        }
    }

    /// Whether the loop has been late for long enough.
    pub fn is_under_pressure(&self, now: Millis) -> bool {
        self.late_since.is_some_and(|since| now >= since + self.interval_ms)
    }

    /// How late the last timer was, in milliseconds.
    pub fn lag_ms(&self) -> Millis {
        self.last_lag_ms
    }
}
