//! The importance of a request.

use crate::Millis;

/// What is asked, the most important first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RequestClass {
    /// The load balancer asks whether the node is ready.
    Probe,
    /// A worker's report: unanswered, its tasks are lost.
    WorkerHeartbeat,
    /// A user's cancellation.
    Cancellation,
    /// A user's submission.
    Submission,
    /// A user's question.
    Question,
}

/// Bytes of a request that are enough to tell its class.
pub const HEAD_BYTES: usize = 64;

/// How long a worker waits for the answer to a report.
const REPORT_PATIENCE_MS: Millis = 4_000;
/// How long a user waits for the answer to a submission or a cancellation.
const SUBMISSION_PATIENCE_MS: Millis = 5_000;
/// How long a user waits for the answer to a question.
const QUESTION_PATIENCE_MS: Millis = 2_000;
/// How long the load balancer waits.
const PROBE_PATIENCE_MS: Millis = 1_000;

impl RequestClass {
    /// All classes, the most important first.
    pub const ALL: [RequestClass; 5] = [
        RequestClass::Probe,
        RequestClass::WorkerHeartbeat,
        RequestClass::Cancellation,
        RequestClass::Submission,
        RequestClass::Question,
    ];

    /// The class of a request that begins with these bytes. What can't be told is
    /// taken for a question, the least important class.
    pub fn of_head(head: &[u8]) -> RequestClass {
        let line = head.split(|byte| *byte == b'\r').next().unwrap_or_default();
        let mut words = line.split(|byte| *byte == b' ');
        let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        match (method, path) {
            (b"GET", b"/ready") => RequestClass::Probe,
            (b"POST", b"/checkin") => RequestClass::WorkerHeartbeat,
            (b"POST", b"/api/jobs") => RequestClass::Submission,
            (b"POST", path) if path.ends_with(b"/cancel") => RequestClass::Cancellation,
            _ => RequestClass::Question,
        }
    }

    /// How long whoever asks waits for the answer.
    pub fn patience_ms(self) -> Millis {
        match self {
            RequestClass::Probe => PROBE_PATIENCE_MS,
            RequestClass::WorkerHeartbeat => REPORT_PATIENCE_MS,
            RequestClass::Cancellation | RequestClass::Submission => SUBMISSION_PATIENCE_MS,
            RequestClass::Question => QUESTION_PATIENCE_MS,
        }
    }

    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            RequestClass::Probe => "probe",
            RequestClass::WorkerHeartbeat => "report",
            RequestClass::Cancellation => "cancellation",
            RequestClass::Submission => "submission",
            RequestClass::Question => "question",
        }
    }

    /// The class with this name.
    pub fn from_name(name: &str) -> Option<RequestClass> {
        RequestClass::ALL.into_iter().find(|class| class.name() == name)
    }

    /// Place of the class in [`RequestClass::ALL`].
    pub(crate) fn index(self) -> usize {
        self as usize
    }
}
