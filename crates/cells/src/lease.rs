//! How long a host cell may run the jobs of another cell.
//!
//! The origin promises its users that the tasks of a cancelled job are gone within
//! `cancel_s`, wherever they run. A host that hears nothing more must therefore stop by
//! itself: the lease and the time that stopping takes together stay below that bound.
//! All times that cross cells are times of day, whose error is bounded by the settings.

use crate::Millis;

/// Two steady clocks differ by a thousandth at most.
const DRIFT_PER_MILLE: Millis = 1;
/// Answers under way and timers at the host, once a lease has ended.
const STOP_MARGIN_MS: Millis = 1_500;
/// Timers and drift at the origin.
const ORIGIN_MARGIN_MS: Millis = 500;
/// A lease shorter than this would end between two ordinary messages.
pub const MIN_LEASE_MS: Millis = 6_000;

/// The settings of one cell from which the durations of leases follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CellTiming {
    /// Time without an answer after which a worker drops its tasks.
    pub worker_lease_ms: Millis,
    /// Time within which the tasks of a cancelled job must be gone.
    pub cancel_ms: Millis,
    /// The time of day is true within this.
    pub clock_error_ms: Millis,
}

impl CellTiming {
    /// Time within which this cell, as a host, has no task left after a lease has ended:
    /// no worker is told to go on after that, and the last answer before it keeps its
    /// tasks for one worker lease at most.
    pub fn stop_within_ms(&self) -> Millis {
        self.worker_lease_ms + self.worker_lease_ms * DRIFT_PER_MILLE / 1_000 + STOP_MARGIN_MS
    }

    /// Duration of a lease that this cell, as the origin, gives to a host that stops within
    /// `host_stop_within_ms`; none if the host takes too long to stop.
    pub fn lease_duration_ms(&self, host_stop_within_ms: Millis) -> Option<Millis> {
        let left = self.cancel_ms.checked_sub(host_stop_within_ms + ORIGIN_MARGIN_MS)?;
        (left >= MIN_LEASE_MS).then_some(left)
    }

    /// Time of day until which a host may run what the origin's records said at
    /// `renewed_wall_ms`, the time of day at which they were last known to be current.
    pub fn lease_until_ms(
        &self,
        renewed_wall_ms: Millis,
        host_stop_within_ms: Millis,
    ) -> Option<Millis> {
        let duration_ms = self.lease_duration_ms(host_stop_within_ms)?;
        Some(renewed_wall_ms.saturating_sub(self.clock_error_ms) + duration_ms)
    }

    /// Whether a lease that ends at the time of day `until_ms` may have ended at `wall_ms`, by a
    /// clock that may be late by its error.
    pub fn has_ended(&self, until_ms: Millis, wall_ms: Millis) -> bool {
        wall_ms + self.clock_error_ms >= until_ms
    }

    /// Time after a durable recall, counted from when it was seen, after which a silent
    /// host has no task of the job left. Every lease rests on records older than the
    /// recall, so this is the bound that cancellations have.
    pub fn reclaim_after_ms(&self) -> Millis {
        self.cancel_ms + self.cancel_ms * DRIFT_PER_MILLE / 1_000
    }
}
