//! The control lease: the right to answer workers without a fresh read of the store.
//!
//! It is renewed by each read or watch of the records that is answered, and counts from
//! the moment at which that call was *sent*: what the answer tells was current then. No
//! worker is answered on knowledge that is older than the lease.

use crate::model::Ms;

/// How long this node may act on what it knows.
#[derive(Debug)]
pub struct ControlLease {
    renewed_at: Option<Ms>,
    duration: Ms,
    /// Since when it has been valid without a break.
    valid_since: Ms,
}

impl ControlLease {
    /// A lease that has never been renewed.
    pub fn new(duration: Ms, now: Ms) -> ControlLease {
        ControlLease { renewed_at: None, duration, valid_since: now }
    }

    /// Renews the lease as of the time at which an answered call was sent.
    pub fn renew(&mut self, sent_at: Ms) {
        self.renewed_at = self.renewed_at.max(Some(sent_at));
    }

    /// When the newest call that renewed it was sent.
    pub fn renewed_at(&self) -> Option<Ms> {
        self.renewed_at
    }

    /// Time since the newest call that renewed it was sent; none if it never was renewed.
    pub fn age_ms(&self, now: Ms) -> Option<Ms> {
        self.renewed_at.map(|at| now.saturating_sub(at))
    }

    /// How long one renewal lasts.
    pub fn duration(&self) -> Ms {
        self.duration
    }

    /// Whether workers may be answered now.
    pub fn is_valid(&self, now: Ms) -> bool {
        self.renewed_at.is_some_and(|at| now < at + self.duration)
    }

    /// Follows whether the lease is valid. While it is not, no worker is answered, so
    /// the silence of workers counts only from when they can be heard again.
    pub fn track(&mut self, now: Ms) {
        if !self.is_valid(now) {
            self.valid_since = now;
        }
    }

    /// Since when workers have been answered without a break.
    pub fn valid_since(&self) -> Ms {
        self.valid_since
    }
}
