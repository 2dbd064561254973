//! Duration of the lease under which a host cell may run the jobs of another cell.
//!
//! The origin guarantees its users that the tasks of a cancelled job are gone within
//! `cancel_s`, wherever they run. A host that receives no further messages must therefore stop
//! on its own: the sum of the lease and the time that stopping takes stays below that bound.
//! Points in time that cells exchange are wall-clock times, whose error is bounded by the
//! settings.

use crate::Millis;

/// Bound on the drift between two monotonic clocks.
const DRIFT_PER_MILLE: Millis = 1;
/// Allowance for responses in flight and timer delays at the host after a lease has ended.
const STOP_MARGIN_MS: Millis = 1_500;
/// Allowance for timer delays and clock drift at the origin.
const ORIGIN_MARGIN_MS: Millis = 500;
/// Shortest duration of a lease; a shorter one would end between two regular messages.
pub const MIN_LEASE_MS: Millis = 6_000;

/// Settings of one cell that determine the durations of leases.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CellTiming {
    /// Time without a response after which a worker stops and discards its tasks.
    pub worker_lease_ms: Millis,
    /// Time within which the tasks of a cancelled job must be gone.
    pub cancel_ms: Millis,
    /// Bound on the error of the wall clock.
    pub clock_error_ms: Millis,
}

impl CellTiming {
    /// Time after the end of a lease within which this cell, as a host, has no task left. After
    /// the end no response lets a worker continue, and the last response before it lets the
    /// worker's tasks run for at most one more worker lease.
    pub fn stop_within_ms(&self) -> Millis {
        self.worker_lease_ms + self.worker_lease_ms * DRIFT_PER_MILLE / 1_000 + STOP_MARGIN_MS
    }

    /// Duration of a lease that this cell, as the origin, grants to a host that stops within
    /// `host_stop_within_ms`; none if the host takes too long to stop.
    pub fn lease_duration_ms(&self, host_stop_within_ms: Millis) -> Option<Millis> {
        let duration_ms = self.cancel_ms.checked_sub(host_stop_within_ms + ORIGIN_MARGIN_MS)?;
        (duration_ms >= MIN_LEASE_MS).then_some(duration_ms)
    }

    /// Wall-clock time until which a host may run the jobs that the origin's records list.
    /// `renewed_wall_ms` is the wall-clock time at which these records were last known to be
    /// current. None if the host takes too long to stop.
    pub fn lease_until_ms(
        &self,
        renewed_wall_ms: Millis,
        host_stop_within_ms: Millis,
    ) -> Option<Millis> {
        let duration_ms = self.lease_duration_ms(host_stop_within_ms)?;
        Some(renewed_wall_ms.saturating_sub(self.clock_error_ms) + duration_ms)
    }

    /// Whether a lease that ends at the wall-clock time `until_ms` may have ended when the local
    /// wall clock, which may be behind by its error, reads `wall_ms`.
    pub fn lease_may_have_ended(&self, until_ms: Millis, wall_ms: Millis) -> bool {
        wall_ms + self.clock_error_ms >= until_ms
    }

    /// Time after which a host, even a silent one, has no task of a recalled job left, counted from
    /// when the durable recall was seen. Every lease that covers the job is based on records older than
    /// the recall, so this is the same bound as for cancellations.
    pub fn reclaim_after_ms(&self) -> Millis {
        self.cancel_ms + self.cancel_ms * DRIFT_PER_MILLE / 1_000
    }
}
