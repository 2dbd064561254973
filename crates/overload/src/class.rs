//! Classes of requests by importance, and the timeouts of their clients.

use crate::Millis;

/// Class of a request. The most important class comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// A readiness probe of the load balancer.
    Probe,
    /// A worker's heartbeat. If a worker gets no answer for the duration of its lease, its tasks
    /// are lost.
    WorkerHeartbeat,
    /// A user's cancellation of a job.
    Cancellation,
    /// A user's submission of a job.
    Submission,
    /// A user's query for the status of a job.
    StatusQuery,
}

/// Number of bytes at the beginning of a request that are enough to determine its class.
pub const HEAD_BYTES: usize = 64;

/// Time that a worker waits for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT_MS: Millis = 4_000;
/// Time that a user waits for the answer to a submission or a cancellation.
const SUBMISSION_TIMEOUT_MS: Millis = 5_000;
/// Time that a user waits for the status of a job.
const STATUS_QUERY_TIMEOUT_MS: Millis = 2_000;
/// Time that the load balancer waits for the answer to a probe.
const PROBE_TIMEOUT_MS: Millis = 1_000;

impl RequestClass {
    /// All classes, the most important first.
    pub const ALL: [RequestClass; 5] = [
        RequestClass::Probe,
        RequestClass::WorkerHeartbeat,
        RequestClass::Cancellation,
        RequestClass::Submission,
        RequestClass::StatusQuery,
    ];

    /// Returns the class of a request that begins with these bytes. A request that isn't
    /// recognized is treated as a status query, the least important class.
    pub fn from_head(head: &[u8]) -> RequestClass {
        let line = head.split(|byte| *byte == b'\r').next().unwrap_or_default();
        let mut words = line.split(|byte| *byte == b' ');
        let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        match (method, path) {
            (b"GET", b"/ready") => RequestClass::Probe,
            (b"POST", b"/checkin") => RequestClass::WorkerHeartbeat,
            (b"POST", b"/api/jobs") => RequestClass::Submission,
            (b"POST", path) if path.ends_with(b"/cancel") => RequestClass::Cancellation,
            _ => RequestClass::StatusQuery,
        }
    }

    /// Returns the time that a client waits for the answer, in milliseconds.
    pub fn client_timeout_ms(self) -> Millis {
        match self {
            RequestClass::Probe => PROBE_TIMEOUT_MS,
            RequestClass::WorkerHeartbeat => HEARTBEAT_TIMEOUT_MS,
            RequestClass::Cancellation | RequestClass::Submission => SUBMISSION_TIMEOUT_MS,
            RequestClass::StatusQuery => STATUS_QUERY_TIMEOUT_MS,
        }
    }

    /// Name of the class in reports for operators.
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::Probe => "probe",
            RequestClass::WorkerHeartbeat => "report",
            RequestClass::Cancellation => "cancellation",
            RequestClass::Submission => "submission",
            RequestClass::StatusQuery => "question",
        }
    }

    /// Index of the class in [`RequestClass::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }
}
