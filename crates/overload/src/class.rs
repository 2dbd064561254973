//! The importance of a request, and how long its client waits for the answer.

use crate::Millis;

/// What a request is about, the most important first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// The load balancer checks whether the node is ready.
    Probe,
    /// A worker's heartbeat: left unanswered for a lease, its tasks are lost.
    WorkerHeartbeat,
    /// A user's cancellation.
    Cancellation,
    /// A user's submission.
    Submission,
    /// A user's poll for the status of a job.
    StatusQuery,
}

/// Bytes at the beginning of a request that are enough to tell its class.
pub const HEAD_BYTES: usize = 64;

/// How long a worker waits for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT_MS: Millis = 4_000;
/// How long a user waits for the answer to a submission or a cancellation.
const SUBMISSION_TIMEOUT_MS: Millis = 5_000;
/// How long a user waits for the status of a job.
const STATUS_QUERY_TIMEOUT_MS: Millis = 2_000;
/// How long the load balancer waits for the answer to a probe.
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

    /// The class of a request that begins with these bytes. What can't be recognized is
    /// taken for a status query, the least important class.
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

    /// How long a client waits for the answer, in milliseconds.
    pub fn client_timeout_ms(self) -> Millis {
        match self {
            RequestClass::Probe => PROBE_TIMEOUT_MS,
            RequestClass::WorkerHeartbeat => HEARTBEAT_TIMEOUT_MS,
            RequestClass::Cancellation | RequestClass::Submission => SUBMISSION_TIMEOUT_MS,
            RequestClass::StatusQuery => STATUS_QUERY_TIMEOUT_MS,
        }
    }

    /// Name in reports for operators.
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
