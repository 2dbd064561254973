//! The control lease, which permits answering workers without a fresh read of the store.
//!
//! Each completed full read and each answered watch of the records renews the lease, as of the
//! time at which its first call was *sent*: the data in the answer was current at that time. No
//! worker is answered from data that is older than the lease.

use crate::model::Ms;

/// How long this node may act on the records that it has read.
#[derive(Debug)]
pub struct ControlLease {
    renewed_at: Option<Ms>,
    duration: Ms,
    /// Time since when the lease has been valid without interruption.
    valid_since: Ms,
}

impl ControlLease {
    /// Creates a lease that has never been renewed.
    pub fn new(duration: Ms, now: Ms) -> ControlLease {
        ControlLease { renewed_at: None, duration, valid_since: now }
    }

    /// Renews the lease as of the time at which an answered call was sent.
    pub fn renew(&mut self, sent_at: Ms) {
        self.renewed_at = self.renewed_at.max(Some(sent_at));
    }

    /// Time at which the latest call that renewed the lease was sent.
    pub fn renewed_at(&self) -> Option<Ms> {
        self.renewed_at
    }

    /// Time since the latest call that renewed the lease was sent; `None` if it was never
    /// renewed.
    pub fn age_ms(&self, now: Ms) -> Option<Ms> {
        self.renewed_at.map(|at| now.saturating_sub(at))
    }

    /// Duration of one renewal.
    pub fn duration(&self) -> Ms {
        self.duration
    }

    /// Whether workers may be answered now.
    pub fn is_valid(&self, now: Ms) -> bool {
        self.renewed_at.is_some_and(|at| now < at + self.duration)
    }

    /// Updates `valid_since`. No worker is answered while the lease is not valid, so the silence
    /// of workers counts only from the time at which the lease became valid again.
    pub fn update_valid_since(&mut self, now: Ms) {
        if !self.is_valid(now) {
            self.valid_since = now;
        }
    }

    /// Time since when the lease has been valid, and workers answered, without interruption.
    pub fn valid_since(&self) -> Ms {
        self.valid_since
    }
}
