//! Overload control of the node, shared by the event loop, the acceptor and the request queue.

use crate::config::OverloadSettings;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use woadlever_overload::Millis;
use woadlever_overload::admission::Admission;
use woadlever_overload::class::RequestClass;
use woadlever_overload::lag::LagMonitor;

/// Time between two log lines about shed load.
const LOG_INTERVAL_MS: Millis = 1_000;
/// Version of the format of the log lines about shed load.
const LOG_FORMAT: u32 = 2;

/// Tracks the lag of the event loop and decides by it which connections are admitted.
pub(crate) struct OverloadController {
    started: Instant,
    state: Mutex<State>,
}

struct State {
    admission: Admission,
    monitor: LagMonitor,
    counts: Counts,
    next_log: Millis,
}

/// Counts of connections and requests since the last log line.
#[derive(Default)]
struct Counts {
    /// Connections admitted while the node limited admission.
    admitted: u32,
    /// Rejected connections, by index of the request class.
    rejected: [u32; RequestClass::ALL.len()],
    /// Requests dropped because their clients no longer waited or the request queue was full.
    dropped: u32,
}

impl OverloadController {
    /// Creates the controller of a node that has `core_share` of a processor core.
    pub(crate) fn new(settings: &OverloadSettings, core_share: f64) -> Arc<OverloadController> {
        let state = State {
            admission: Admission::new(&settings.admission, core_share, 0),
            monitor: LagMonitor::new(settings.lag_target_ms, settings.lag_interval_ms),
            counts: Counts::default(),
            next_log: 0,
        };
        Arc::new(OverloadController { started: Instant::now(), state: Mutex::new(state) })
    }

    /// Returns the monotonic time since the controller was created.
    pub(crate) fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // Only one thread uses the mutex and nothing panics while holding it, so it is neither
        // contended nor poisoned.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that the event loop handled at `now` a timer that was due at `due`.
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

    /// Whether the node limits the connections that it admits.
    pub(crate) fn is_limiting(&self) -> bool {
        self.state().admission.is_limiting()
    }

    /// Decides whether a new connection with a request of this class is admitted, and counts the
    /// decision.
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

    /// Counts a connection that was rejected because of the limit on connections. Its class is not
    /// known, so it counts as a status query, the least important class.
    pub(crate) fn count_over_limit(&self) {
        self.state().counts.rejected[RequestClass::StatusQuery.index()] += 1;
    }

    /// Counts a request that was dropped, because its client no longer waits for the answer or
    /// because the request queue was full.
    pub(crate) fn count_dropped(&self) {
        self.state().counts.dropped += 1;
    }

    /// Returns the seconds after which a rejected client should retry.
    pub(crate) fn retry_after_s(&self) -> u32 {
        let now = self.now();
        self.state().admission.retry_after_s(rand::random(), now)
    }

    /// Returns how long to wait before the next connection is accepted, or `None` if it can be
    /// accepted at once.
    pub(crate) fn accept_delay(&self) -> Option<Duration> {
        let now = self.now();
        let accept_delay_ms = self.state().admission.accept_delay_ms(now);
        (accept_delay_ms > 0).then(|| Duration::from_millis(accept_delay_ms))
    }

    /// Returns the backlog of the listening socket: the number of connections that the kernel
    /// holds until they are accepted.
    pub(crate) fn backlog(&self) -> u32 {
        self.state().admission.backlog()
    }
}

impl State {
    fn log(&mut self) {
        let counts = std::mem::take(&mut self.counts);
        let rejected: u32 = counts.rejected.iter().sum();
        if rejected == 0 && counts.dropped == 0 {
            return;
        }
        let [probes, heartbeats, cancellations, submissions, questions] = counts.rejected;
        tracing::info!(
            target: "woadlever::overload",
            format = LOG_FORMAT,
            lag_ms = self.monitor.lag_ms(),
            rate = self.admission.rate() as u64,
            admitted = counts.admitted,
            expired = counts.dropped,
            probes,
            heartbeats,
            cancellations,
            submissions,
            questions,
            "shed"
        );
    }
}
