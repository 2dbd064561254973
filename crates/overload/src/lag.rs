//! Lag of the event loop.
//!
//! If the loop handles its timer late, it had more work than its share of the processor allows.
//! A request that arrived in the meantime has waited at least as long, wherever in the process
//! or the kernel it was. The lag of a timer is therefore a better measure of pressure than the
//! length of any single queue, because most waiting requests are in no queue of this process.

use crate::Millis;

/// Detects from the lag of a periodic timer whether the node is under pressure.
#[derive(Debug)]
pub struct LagMonitor {
    target_ms: Millis,
    interval_ms: Millis,
    /// Time since which the lag of every timer has exceeded the target.
    late_since: Option<Millis>,
    last_lag_ms: Millis,
}

impl LagMonitor {
    /// Creates a monitor that reports pressure once the lag has exceeded `target_ms` for
    /// `interval_ms`, so that a single long step does not count as pressure.
    pub fn new(target_ms: Millis, interval_ms: Millis) -> LagMonitor {
        LagMonitor { target_ms, interval_ms, late_since: None, last_lag_ms: 0 }
    }

    /// Records that a timer due at `due` was handled at `now`.
    pub fn note_timer(&mut self, due: Millis, now: Millis) {
        self.last_lag_ms = now.saturating_sub(due);
        if self.last_lag_ms > self.target_ms {
            // The loop has been late since `due`, because it handled nothing in between.
            self.late_since.get_or_insert(due);
        } else {
            self.late_since = None;
        }
    }

    /// Whether the lag has exceeded the target for at least the interval.
    pub fn is_under_pressure(&self, now: Millis) -> bool {
        self.late_since.is_some_and(|since| now >= since + self.interval_ms)
    }

    /// Returns the lag of the last timer, in milliseconds.
    pub fn lag_ms(&self) -> Millis {
        self.last_lag_ms
    }
}
