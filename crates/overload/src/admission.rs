//! How many new connections a second a node admits.
//!
//! Under pressure the rate of a token bucket is cut by half, at most once for each interval,
//! and it rises again by a fixed amount a second (additive increase, multiplicative
//! decrease). It stays between two bounds in proportion to the node's share of a core. Less
//! important classes leave a part of the bucket to more important ones.

use crate::Millis;
use crate::class::RequestClass;
use crate::retry;

/// Settings of admission. All rates are those of a whole core and are scaled down to the
/// node's share of one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// New connections a second that a whole core can handle.
    pub connections_per_core: f64,
    /// Connections that a whole core could reject in a second if it did nothing else.
    pub rejections_per_core: f64,
    /// Share of `connections_per_core` that is always admitted.
    pub min_share: f64,
    /// Time between two cuts of the rate, in milliseconds. Without pressure the rate is back
    /// at its maximum after [`RECOVERY_INTERVALS`] times as long.
    pub cut_interval_ms: Millis,
}

/// Intervals without pressure after which the rate is back at its maximum.
pub const RECOVERY_INTERVALS: f64 = 20.0;

impl Default for AdmissionSettings {
    fn default() -> Self {
        AdmissionSettings {
            connections_per_core: 4_000.0,
            rejections_per_core: 40_000.0,
            min_share: 0.2,
            cut_interval_ms: 1_000,
        }
    }
}

/// The clients rejected in a second are spread over this many times the time that it takes
/// to admit them.
const RETRY_SPREAD: f64 = 2.0;
/// Share of the node's time that may go into rejecting connections.
const REJECTION_SHARE: f64 = 0.25;
/// Length of the kernel's backlog of connections that were not accepted yet, in seconds'
/// worth of those that are admitted or rejected. A load balancer's probe waits no longer
/// than that, and what is beyond it is refused at once without any work here. A shorter one
/// refuses the probes of a node that serves.
const BACKLOG_S: f64 = 0.4;
const MIN_BACKLOG: u32 = 16;
const MAX_BACKLOG: u32 = 1_024;

/// Clients wait no longer than this, whatever `Retry-After` says.
const MAX_RETRY_AFTER_S: u32 = 30;

/// Decides which new connections are admitted.
#[derive(Debug)]
pub struct Admission {
    min_rate: f64,
    max_rate: f64,
    rate: f64,
    tokens: f64,
    /// Rate and tokens of connections that may be accepted only to be rejected.
    rejection_rate: f64,
    rejection_tokens: f64,
    cut_interval_ms: Millis,
    next_cut: Millis,
    last_refill: Millis,
    is_limiting: bool,
    /// Tokens that only one class may use, by its index.
    guaranteed: [f64; RequestClass::ALL.len()],
    /// Connections rejected in the present and in the last second.
    rejected: RejectionCounter,
}

/// Counts rejected connections by the second.
#[derive(Debug, Default)]
struct RejectionCounter {
    second: u64,
    present: u32,
    last: u32,
}

impl RejectionCounter {
    fn add(&mut self, now: Millis) {
        self.start_second(now);
        self.present += 1;
    }

    /// Begins a new second if the present one is over.
    fn start_second(&mut self, now: Millis) {
        let second = now / 1_000;
        if second != self.second {
            self.last = if second == self.second + 1 { self.present } else { 0 };
            self.present = 0;
            self.second = second;
        }
    }

    /// The count of the last second, or of the present one if that is higher.
    fn per_second(&mut self, now: Millis) -> u32 {
        self.start_second(now);
        self.present.max(self.last)
    }
}

impl Admission {
    /// Admission to a node with this share of a core.
    pub fn new(settings: &AdmissionSettings, core_share: f64, now: Millis) -> Admission {
        let max_rate = (settings.connections_per_core * core_share).max(1.0);
        let rejection_rate = (settings.rejections_per_core * core_share * REJECTION_SHARE).max(1.0);
        Admission {
            min_rate: (max_rate * settings.min_share).max(1.0),
            max_rate,
            rate: max_rate,
            tokens: max_rate,
            rejection_rate,
            rejection_tokens: rejection_rate,
            cut_interval_ms: settings.cut_interval_ms,
            next_cut: 0,
            last_refill: now,
            is_limiting: false,
            guaranteed: [0.0; RequestClass::ALL.len()],
            rejected: RejectionCounter::default(),
        }
    }

    /// Notes whether the node is under pressure now.
    pub fn note_pressure(&mut self, under_pressure: bool, now: Millis) {
        self.refill(now);
        if under_pressure {
            self.is_limiting = true;
            if now >= self.next_cut {
                self.next_cut = now + self.cut_interval_ms;
                self.rate = (self.rate / 2.0).max(self.min_rate);
                self.tokens = self.tokens.min(self.rate);
            }
        } else if self.rate >= self.max_rate {
            self.is_limiting = false;
        }
    }

    /// Whether connections have to be classified; while they don't, all are admitted.
    pub fn is_limiting(&self) -> bool {
        self.is_limiting
    }

    /// Whether a new connection with a request of this class is admitted. Probes always
    /// are: rejecting them would have the load balancer remove a node that serves.
    pub fn admit(&mut self, class: RequestClass, now: Millis) -> bool {
        self.refill(now);
        if !self.is_limiting || class == RequestClass::Probe {
            return true;
        }
        let guaranteed = &mut self.guaranteed[class.index()];
        let is_admitted = if *guaranteed >= 1.0 {
            *guaranteed -= 1.0;
            true
        } else if self.tokens >= 1.0 + self.reserve(class) {
            self.tokens -= 1.0;
            true
        } else {
            false
        };
        if !is_admitted {
            self.rejection_tokens -= 1.0;
            self.rejected.add(now);
        }
        is_admitted
    }

    /// How long to wait before the next connection is accepted, in milliseconds. Only a part
    /// of the node's time is spent on rejecting connections: those that can't even be rejected
    /// in time are left to the kernel, which refuses them when its backlog is full.
    pub fn accept_delay_ms(&mut self, now: Millis) -> Millis {
        self.refill(now);
        if !self.is_limiting || self.rejection_tokens >= 1.0 {
            return 0;
        }
        ((1.0 - self.rejection_tokens) / self.rejection_rate * 1_000.0).ceil() as Millis
    }

    /// Length of the kernel's backlog of connections that were not accepted yet.
    pub fn backlog(&self) -> u32 {
        (((self.max_rate + self.rejection_rate) * BACKLOG_S) as u32).clamp(MIN_BACKLOG, MAX_BACKLOG)
    }

    /// Seconds until a client that is rejected now should come back. All that are rejected
    /// are spread over the time that it takes to admit them, so that rejecting them again
    /// doesn't become the load itself. `random` is any random number.
    pub fn retry_after_s(&mut self, random: u32, now: Millis) -> u32 {
        let waiting = f64::from(self.rejected.per_second(now));
        let max_s = (RETRY_SPREAD * waiting / self.rate).ceil() as u32;
        retry::retry_after_s(max_s.min(MAX_RETRY_AFTER_S), random)
    }

    /// Tokens that a class leaves to more important ones.
    fn reserve(&self, class: RequestClass) -> f64 {
        let share = match class {
            RequestClass::Probe | RequestClass::WorkerHeartbeat | RequestClass::Cancellation => 0.0,
            RequestClass::Submission => 0.125,
            RequestClass::StatusQuery => 0.25,
        };
        self.rate * share
    }

    /// Share of the rate that only this class may use, so that none starves: a user who never
    /// gets the status of a job must take it for lost.
    fn guaranteed_share(class: RequestClass) -> f64 {
        match class {
            RequestClass::Probe | RequestClass::WorkerHeartbeat => 0.0,
            RequestClass::Cancellation => 0.05,
            RequestClass::Submission => 0.1,
            // Users poll far more often than they submit.
            RequestClass::StatusQuery => 0.3,
        }
    }

    /// Present rate of new connections a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn refill(&mut self, now: Millis) {
        let passed_ms = now.saturating_sub(self.last_refill);
        self.last_refill = now.max(self.last_refill);
        let passed_s = passed_ms as f64 / 1_000.0;
        // However long it was since the last refill, no bucket holds more than a second's worth.
        let mut shared = 1.0;
        for class in RequestClass::ALL {
            let share = Admission::guaranteed_share(class);
            shared -= share;
            let guaranteed = &mut self.guaranteed[class.index()];
            *guaranteed = (*guaranteed + self.rate * share * passed_s).min((self.rate * share).max(1.0));
        }
        self.tokens = (self.tokens + self.rate * shared * passed_s).min(self.rate.max(1.0));
        let rejections = self.rejection_tokens + self.rejection_rate * passed_s;
        self.rejection_tokens = rejections.min(self.rejection_rate);
        let range = self.max_rate - self.min_rate;
        let intervals = passed_ms as f64 / self.cut_interval_ms.max(1) as f64;
        self.rate = (self.rate + range * intervals / RECOVERY_INTERVALS).min(self.max_rate);
    }
}
