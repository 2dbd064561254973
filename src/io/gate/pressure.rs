//! The state of overload that the event loop, the acceptor and the request queue share.

use crate::config::OverloadSettings;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use woadlever_overload::Millis;
use woadlever_overload::admission::Admission;
use woadlever_overload::class::RequestClass;
use woadlever_overload::lag::LagMonitor;

/// Time between two log lines about what was shed.
const LOG_INTERVAL_MS: Millis = 1_000;
/// Version of the fields in overload's log lines.
const LOG_FORMAT: u32 = 2;

/// Measures the lag of the event loop and decides by it which connections are admitted.
pub(crate) struct Pressure {
    started: Instant,
    state: Mutex<State>,
}

struct State {
    admission: Admission,
    monitor: LagMonitor,
    counts: Counts,
    next_log: Millis,
}

/// Requests and connections by what became of them, since the last log line.
#[derive(Default)]
struct Counts {
    admitted: u32,
    rejected: [u32; RequestClass::ALL.len()],
    expired: u32,
}

impl Pressure {
    /// For a node with this share of a core.
    pub(crate) fn new(settings: &OverloadSettings, core_share: f64) -> Arc<Pressure> {
        let state = State {
            admission: Admission::new(&settings.admission, core_share, 0),
            monitor: LagMonitor::new(settings.lag_target_ms, settings.lag_interval_ms),
            counts: Counts::default(),
            next_log: 0,
        };
        Arc::new(Pressure { started: Instant::now(), state: Mutex::new(state) })
    }

    /// Steady time since this value was made.
    pub(crate) fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // One thread serves everything, and nothing panics while holding it.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the event loop got at `now` to what was due at `due`.
    pub(crate) fn note_timer(&self, due: Millis, now: Millis) {
        let mut state = self.state();
        state.monitor.note_timer(due, now);
        let is_under_pressure = state.monitor.is_under_pressure(now);
        state.admission.note_pressure(is_under_pressure, now);
        if now >= state.next_log {
            state.next_log = now + LOG_INTERVAL_MS;
            state.log();
        }
    }

    /// Whether the node has to choose which requests it serves.
    pub(crate) fn is_limiting(&self) -> bool {
        self.state().admission.is_limiting()
    }

    /// Whether a new connection whose request is of this class is admitted.
    pub(crate) fn admit(&self, class: RequestClass) -> bool {
        let now = self.now();
        let mut state = self.state();
        let is_admitted = state.admission.admit(class, now);
        if is_admitted {
            state.counts.admitted += 1;
        } else {
            state.counts.rejected[class.index()] += 1;
        }
        is_admitted
    }

    /// Counts a connection beyond the limit on connections; its class is not known.
    pub(crate) fn count_over_limit(&self) {
        self.state().counts.rejected[RequestClass::StatusQuery.index()] += 1;
    }

    /// Counts a request whose client no longer waits for the answer.
    pub(crate) fn count_expired(&self) {
        self.state().counts.expired += 1;
    }

    /// Seconds until a client that is rejected should come back.
    pub(crate) fn retry_after_s(&self) -> u32 {
        let now = self.now();
        self.state().admission.retry_after_s(rand::random(), now)
    }

    /// How long to wait before the next connection is accepted.
    pub(crate) fn accept_delay(&self) -> Option<Duration> {
        let now = self.now();
        let accept_delay_ms = self.state().admission.accept_delay_ms(now);
        (accept_delay_ms > 0).then(|| Duration::from_millis(accept_delay_ms))
    }

    /// Connections that the kernel is to keep until they are accepted.
    pub(crate) fn backlog(&self) -> u32 {
        self.state().admission.backlog()
    }
}

impl State {
    fn log(&mut self) {
        let counts = std::mem::take(&mut self.counts);
        let rejected: u32 = counts.rejected.iter().sum();
        if rejected == 0 && counts.expired == 0 {
            return;
        }
        let [probes, heartbeats, cancellations, submissions, questions] = counts.rejected;
        tracing::info!(
            target: "woadlever::overload",
            format = LOG_FORMAT,
            lag_ms = self.monitor.lag_ms(),
            rate = self.admission.rate() as u64,
            admitted = counts.admitted,
            expired = counts.expired,
            probes,
            heartbeats,
            cancellations,
            submissions,
            questions,
            "shed"
        );
    }
}
