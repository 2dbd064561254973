//! Admission control for new connections.
//!
//! A token bucket limits the rate of admitted connections. Under pressure its rate is halved, at
//! most once per interval; it then rises again by a fixed amount per second (additive increase,
//! multiplicative decrease). The rate stays between two bounds that are proportional to the
//! node's share of a processor core. Less important classes leave a part of the bucket to more
//! important ones.

use crate::Millis;
use crate::class::RequestClass;
use crate::retry;

/// Settings of admission control. All rates are those of a whole processor core and are scaled
/// down to the node's share of one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// Number of new connections per second that a whole core can handle.
    pub connections_per_core: f64,
    /// Number of connections per second that a whole core could reject if it did nothing else.
    pub rejections_per_core: f64,
    /// Minimum rate of admitted connections, as a share of `connections_per_core`.
    pub min_share: f64,
    /// Minimum time between two cuts of the rate, in milliseconds. Without pressure the rate rises
    /// from its minimum to its maximum in [`RECOVERY_INTERVALS`] times as long.
    pub cut_interval_ms: Millis,
}

/// Number of cut intervals without pressure in which the rate rises from its minimum to its
/// maximum.
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

/// Time over which the retries of the clients rejected in one second are spread, as a multiple of
/// the time that it takes to admit them.
const RETRY_SPREAD: f64 = 2.0;
/// Share of the node's processor time that may be spent on rejecting connections.
const REJECTION_SHARE: f64 = 0.25;
/// Length of the kernel's backlog of connections that are not accepted yet, in seconds: it holds
/// as many connections as the node admits or rejects in this time. A load balancer's probe waits
/// in the backlog no longer than that. The kernel refuses further connections at once, at no cost
/// to the node. With a shorter backlog it would also refuse the probes of a node that works.
const BACKLOG_S: f64 = 0.4;
/// Minimum length of the kernel's backlog, in connections.
const MIN_BACKLOG: u32 = 16;
/// Maximum length of the kernel's backlog, in connections.
const MAX_BACKLOG: u32 = 1_024;

/// Maximum value of `Retry-After`, in seconds. Clients wait no longer than this, whatever the
/// header says.
const MAX_RETRY_AFTER_S: u32 = 30;

/// Admission control for new connections: decides which of them are admitted.
#[derive(Debug)]
pub struct Admission {
    min_rate: f64,
    max_rate: f64,
    rate: f64,
    tokens: f64,
    /// Rate of the token bucket that limits rejections.
    rejection_rate: f64,
    /// Tokens of the bucket that limits rejections; negative if it is overdrawn.
    rejection_tokens: f64,
    cut_interval_ms: Millis,
    next_cut: Millis,
    last_refill: Millis,
    is_limiting: bool,
    /// Tokens that only one class may use, by the index of that class.
    guaranteed_tokens: [f64; RequestClass::ALL.len()],
    /// Number of connections rejected in the current and in the previous second.
    rejected: RejectionCounter,
}

/// Counts rejected connections per second.
#[derive(Debug, Default)]
struct RejectionCounter {
    second: u64,
    current: u32,
    previous: u32,
}

impl RejectionCounter {
    fn add(&mut self, now: Millis) {
        self.advance_to(now);
        self.current += 1;
    }

    /// Starts a new second if the current one is over.
    fn advance_to(&mut self, now: Millis) {
        let second = now / 1_000;
        if second != self.second {
            self.previous = if second == self.second + 1 { self.current } else { 0 };
            self.current = 0;
            self.second = second;
        }
    }

    /// Returns the count of the previous second, or of the current one if that is higher.
    fn per_second(&mut self, now: Millis) -> u32 {
        self.advance_to(now);
        self.current.max(self.previous)
    }
}

impl Admission {
    /// Creates the admission control of a node that has `core_share` of a processor core.
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
            guaranteed_tokens: [0.0; RequestClass::ALL.len()],
            rejected: RejectionCounter::default(),
        }
    }

    /// Records whether the node is under pressure at `now`, and cuts the rate if it is.
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

    /// Whether admission is limited, so that connections have to be classified. Otherwise all are
    /// admitted.
    pub fn is_limiting(&self) -> bool {
        self.is_limiting
    }

    /// Decides whether a new connection with a request of this class is admitted, and takes a
    /// token for it. Probes are always admitted: if they were rejected, the load balancer would
    /// remove a node that works.
    pub fn admit(&mut self, class: RequestClass, now: Millis) -> bool {
        self.refill(now);
        if !self.is_limiting || class == RequestClass::Probe {
            return true;
        }
        let guaranteed = &mut self.guaranteed_tokens[class.index()];
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

    /// Returns how long to wait before the next connection is accepted, in milliseconds. The delay
    /// limits the share of the node's time that is spent on rejecting connections. Connections
    /// that the node can't even reject in time are left to the kernel, which refuses them when its
    /// backlog is full.
    pub fn accept_delay_ms(&mut self, now: Millis) -> Millis {
        self.refill(now);
        if !self.is_limiting || self.rejection_tokens >= 1.0 {
            return 0;
        }
        ((1.0 - self.rejection_tokens) / self.rejection_rate * 1_000.0).ceil() as Millis
    }

    /// Returns the length of the kernel's backlog of connections that are not accepted yet.
    pub fn backlog(&self) -> u32 {
        (((self.max_rate + self.rejection_rate) * BACKLOG_S) as u32).clamp(MIN_BACKLOG, MAX_BACKLOG)
    }

    /// Returns the seconds after which a client that is rejected now should retry. The retries of
    /// all rejected clients are spread in proportion to the time that it takes to admit them, so
    /// that rejecting them again doesn't itself overload the node. `random` is any random number.
    pub fn retry_after_s(&mut self, random: u32, now: Millis) -> u32 {
        let rejected = f64::from(self.rejected.per_second(now));
        let max_s = (RETRY_SPREAD * rejected / self.rate).ceil() as u32;
        retry::retry_after_s(max_s.min(MAX_RETRY_AFTER_S), random)
    }

    /// Returns the number of tokens that a class must leave to more important ones.
    fn reserve(&self, class: RequestClass) -> f64 {
        let share = match class {
            RequestClass::Probe | RequestClass::WorkerHeartbeat | RequestClass::Cancellation => 0.0,
            RequestClass::Submission => 0.125,
            RequestClass::StatusQuery => 0.25,
        };
        self.rate * share
    }

    /// Returns the share of the rate that only this class may use, so that no class starves. A
    /// user who never gets the status of a job would have to assume that the job is lost.
    fn guaranteed_share(class: RequestClass) -> f64 {
        match class {
            RequestClass::Probe | RequestClass::WorkerHeartbeat => 0.0,
            RequestClass::Cancellation => 0.05,
            RequestClass::Submission => 0.1,
            // Users query the status of jobs far more often than they submit jobs.
            RequestClass::StatusQuery => 0.3,
        }
    }

    /// Returns the current rate limit, in new connections per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn refill(&mut self, now: Millis) {
        let passed_ms = now.saturating_sub(self.last_refill);
        self.last_refill = now.max(self.last_refill);
        let passed_s = passed_ms as f64 / 1_000.0;
        // Each bucket is capped at the tokens of one second, however long ago the last refill was.
        let mut shared = 1.0;
        for class in RequestClass::ALL {
            let share = Admission::guaranteed_share(class);
            shared -= share;
            let guaranteed = &mut self.guaranteed_tokens[class.index()];
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
