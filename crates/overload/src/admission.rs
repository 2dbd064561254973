//! How many new connections a second a node takes on.
//!
//! Under pressure the rate is cut by half, at most once for each interval, and it
//! rises again by a fixed amount a second (additive increase, multiplicative
//! decrease). It stays between two bounds in proportion to the node's share of a
//! core. Less important classes leave a part of the bucket to more important ones.

use crate::Millis;
use crate::class::RequestClass;
use crate::retry;

/// Settings of admission. All rates are for a whole core and are scaled down to the
/// node's share of one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionSettings {
    /// New connections a second that a whole core is taken to handle.
    pub connections_per_core: f64,
    /// Connections that a whole core could turn away in a second if it did nothing else.
    pub rejections_per_core: f64,
    /// Share of that which is always taken on.
    pub least_share: f64,
    /// Time after a cut before the next one, and in which the whole range is regained
    /// [`RECOVERY_INTERVALS`] times over.
    pub interval_ms: Millis,
}

/// Intervals without pressure after which the rate is back at its highest.
pub const RECOVERY_INTERVALS: f64 = 20.0;

impl Default for AdmissionSettings {
    fn default() -> Self {
        AdmissionSettings {
            connections_per_core: 4_000.0,
            rejections_per_core: 40_000.0,
            least_share: 0.2,
            interval_ms: 1_000,
        }
    }
}

/// Those turned away in a second come back spread over so many times the time that it
/// takes to take them on.
const RETRY_SPREAD: f64 = 2.0;
/// Share of the node's time that turning connections away may take.
const REJECTION_SHARE: f64 = 0.25;
/// Connections that the kernel keeps until they are accepted: so many seconds' worth of
/// those that are taken on or turned away. A load balancer's probe waits no longer than
/// that, and what is beyond it is refused at once without any work here. A shorter one
/// refuses the probes of a node that serves.
const BACKLOG_S: f64 = 0.4;
const LEAST_BACKLOG: u32 = 16;
const MOST_BACKLOG: u32 = 1_024;

/// Clients wait no longer than this, whatever they are told.
const MOST_RETRY_S: u32 = 30;

/// Decides which new connections are taken on.
#[derive(Debug)]
pub struct Admission {
    least_rate: f64,
    most_rate: f64,
    rate: f64,
    tokens: f64,
    /// Rate and tokens of connections that may be accepted only to be turned away.
    rejection_rate: f64,
    rejection_tokens: f64,
    interval_ms: Millis,
    next_cut: Millis,
    last_refill: Millis,
    is_limiting: bool,
    /// Tokens that only one class may use, by its place in the list of classes.
    guaranteed: [f64; RequestClass::ALL.len()],
    /// Connections turned away in the present and in the last interval.
    turned_away: Interval,
}

/// A count per interval of a second.
#[derive(Debug, Default)]
struct Interval {
    second: u64,
    present: u32,
    last: u32,
}

impl Interval {
    fn count(&mut self, now: Millis) {
        self.roll(now);
        self.present += 1;
    }

    fn roll(&mut self, now: Millis) {
        let second = now / 1_000;
        if second != self.second {
            self.last = if second == self.second + 1 { self.present } else { 0 };
            self.present = 0;
            self.second = second;
        }
    }

    /// Count of a second: of the last one, or of the present one if that has more.
    fn per_second(&mut self, now: Millis) -> u32 {
        self.roll(now);
        self.present.max(self.last)
    }
}

impl Admission {
    /// For a node with this share of a core.
    pub fn new(settings: &AdmissionSettings, core_share: f64, now: Millis) -> Admission {
        let most_rate = (settings.connections_per_core * core_share).max(1.0);
        let rejection_rate = (settings.rejections_per_core * core_share * REJECTION_SHARE).max(1.0);
        Admission {
            least_rate: (most_rate * settings.least_share).max(1.0),
            most_rate,
            rate: most_rate,
            tokens: most_rate,
            rejection_rate,
            rejection_tokens: rejection_rate,
            interval_ms: settings.interval_ms,
            next_cut: 0,
            last_refill: now,
            is_limiting: false,
            guaranteed: [0.0; RequestClass::ALL.len()],
            turned_away: Interval::default(),
        }
    }

    /// Notes whether the node is under pressure now.
    pub fn note_pressure(&mut self, under_pressure: bool, now: Millis) {
        self.refill(now);
        if under_pressure {
            self.is_limiting = true;
            if now >= self.next_cut {
                self.next_cut = now + self.interval_ms;
                self.rate = (self.rate / 2.0).max(self.least_rate);
                self.tokens = self.tokens.min(self.rate);
            }
        } else if self.rate >= self.most_rate {
            self.is_limiting = false;
        }
    }

    /// Whether connections have to be classified: while they don't, all are taken on.
    pub fn is_limiting(&self) -> bool {
        self.is_limiting
    }

    /// Whether a new connection with a request of this class is taken on. Probes always
    /// are: turned away, they would take a node that serves out of the load balancer.
    pub fn admit(&mut self, class: RequestClass, now: Millis) -> bool {
        self.refill(now);
        if !self.is_limiting || class == RequestClass::Probe {
            return true;
        }
        let own = &mut self.guaranteed[class.index()];
        let is_admitted = if *own >= 1.0 {
            *own -= 1.0;
            true
        } else if self.tokens >= 1.0 + self.reserve(class) {
            self.tokens -= 1.0;
            true
        } else {
            false
        };
        if !is_admitted {
            self.rejection_tokens -= 1.0;
            self.turned_away.count(now);
        }
        is_admitted
    }

    /// How long to wait before the next connection is accepted. More than a part of the
    /// node's time is not spent on turning connections away: what can't be turned away
    /// in time either is left to the kernel, which refuses it when its backlog is full.
    pub fn pause_ms(&mut self, now: Millis) -> Millis {
        self.refill(now);
        if !self.is_limiting || self.rejection_tokens >= 1.0 {
            return 0;
        }
        ((1.0 - self.rejection_tokens) / self.rejection_rate * 1_000.0).ceil() as Millis
    }

    /// Connections that the kernel is to keep until they are accepted.
    pub fn backlog(&self) -> u32 {
        (((self.most_rate + self.rejection_rate) * BACKLOG_S) as u32).clamp(LEAST_BACKLOG, MOST_BACKLOG)
    }

    /// Seconds until one who is turned away now should come back. All who are turned
    /// away are spread over the time that it takes to take them on, so that answering
    /// them again doesn't become the load itself. `random` is any random number.
    pub fn retry_after_s(&mut self, random: u32, now: Millis) -> u32 {
        let waiting = f64::from(self.turned_away.per_second(now));
        let most_s = (RETRY_SPREAD * waiting / self.rate).ceil() as u32;
        retry::retry_after_s(most_s.min(MOST_RETRY_S), random)
    }

    /// Tokens that a class leaves to more important ones.
    fn reserve(&self, class: RequestClass) -> f64 {
        let share = match class {
            RequestClass::Probe | RequestClass::WorkerHeartbeat | RequestClass::Cancellation => 0.0,
            RequestClass::Submission => 0.125,
            RequestClass::Question => 0.25,
        };
        self.rate * share
    }

    /// Part of the rate that is a class's own, so that none starves: a user who never
    /// learns of a job must take it for lost.
    fn guaranteed_share(class: RequestClass) -> f64 {
        match class {
            RequestClass::Probe | RequestClass::WorkerHeartbeat => 0.0,
            RequestClass::Cancellation => 0.05,
            RequestClass::Submission => 0.1,
            // Users ask far more often than they submit.
            RequestClass::Question => 0.3,
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
        // After a standstill there is no more than a second's worth.
        let mut shared = 1.0;
        for class in RequestClass::ALL {
            let share = Admission::guaranteed_share(class);
            shared -= share;
            let own = &mut self.guaranteed[class.index()];
            *own = (*own + self.rate * share * passed_s).min((self.rate * share).max(1.0));
        }
        self.tokens = (self.tokens + self.rate * shared * passed_s).min(self.rate.max(1.0));
        let rejections = self.rejection_tokens + self.rejection_rate * passed_s;
        self.rejection_tokens = rejections.min(self.rejection_rate);
        let range = self.most_rate - self.least_rate;
        let intervals = passed_ms as f64 / self.interval_ms.max(1) as f64;
        self.rate = (self.rate + range * intervals / RECOVERY_INTERVALS).min(self.most_rate);
    }
}
