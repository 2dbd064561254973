//! Job records, which are written when a job is accepted and kept forever.

use crate::model::JobSpec;
use crate::wire::users::ID_PREFIX;
use serde::{Deserialize, Serialize};
use woadlever_cells::record::{Forwarding, Origin};

/// Record `w/job/<id>`. The record of a final job contains no specification of the job.
///
/// Versions that predate job dependencies and cells also read these records, and ignore fields
/// that they don't know. The specification of a job that waits for other jobs, or that another cell
/// hosts, is therefore kept in a separate field: a leader of such a version, which would start the
/// job at once, finds no specification to start it from, while users still get the same answers.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct JobRecord {
    /// State of the job.
    #[serde(rename = "s")]
    pub state: JobState,
    /// Specification of a live job that may start.
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    spec: Option<JobSpec>,
    /// Number of tasks. It is kept for answers to users about a final job.
    #[serde(rename = "n", default)]
    pub tasks: u32,
    /// Specification of a job that waits for the jobs it depends on.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    waiting_spec: Option<JobSpec>,
    /// Jobs that the job depends on: the digits of their ids, separated by spaces.
    #[serde(rename = "w", default, skip_serializing_if = "String::is_empty")]
    dependencies: String,
    /// Wall-clock time at which the job was done, in milliseconds, or 0 if it is not done. A job
    /// that depends on it can't start earlier, so its waiting time counts from then at the earliest.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub done_ms: u64,
    /// The cell that the job has been forwarded to, if any, and the state of the forwarding.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub forwarding: Option<Forwarding>,
    /// Specification of a job that another cell hosts.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    forwarded_spec: Option<JobSpec>,
    /// The cell that a hosted job belongs to; `None` for a job of this cell.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Origin>,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl JobRecord {
    /// Creates the record of a newly accepted job. `dependencies` are the ids of the jobs that it
    /// depends on.
    pub fn live(spec: JobSpec, dependencies: &[String]) -> JobRecord {
        let mut record = JobRecord::without_spec(JobState::Live, spec.tasks);
        if dependencies.is_empty() {
            record.spec = Some(spec);
            return record;
        }
        let digits = dependencies.iter().filter_map(|id| id.strip_prefix(ID_PREFIX));
        record.dependencies = digits.collect::<Vec<_>>().join(" ");
        record.waiting_spec = Some(spec);
        record
    }

    /// Creates the record of a live job that is or was forwarded to another cell.
    pub fn forwarded(spec: JobSpec, dependencies: &[String], forwarding: Forwarding) -> JobRecord {
        let mut record = JobRecord::live(spec, dependencies);
        if forwarding.is_forwarded() {
            record.forwarded_spec = record.spec.take().or(record.waiting_spec.take());
        }
        record.forwarding = Some(forwarding);
        record
    }

    /// Creates the record that a host cell keeps of a live job of another cell.
    pub fn hosted(spec: JobSpec, origin: Origin) -> JobRecord {
        JobRecord::live(spec, &[]).with_origin(Some(origin))
    }

    /// Creates the tombstone of another cell's job that this cell hosted or refused to host.
    pub fn tombstone(tasks: u32, origin: Origin) -> JobRecord {
        JobRecord::cancelled(tasks).with_origin(Some(origin))
    }

    /// Creates the record of a job whose last task was done at the wall-clock time `done_ms`.
    pub fn done(tasks: u32, done_ms: u64) -> JobRecord {
        JobRecord { done_ms, ..JobRecord::without_spec(JobState::Done, tasks) }
    }

    /// Creates the record of a cancelled job.
    pub fn cancelled(tasks: u32) -> JobRecord {
        JobRecord::without_spec(JobState::Cancelled, tasks)
    }

    /// Returns the same record with another origin; `None` means that the job belongs to this cell.
    pub fn with_origin(self, origin: Option<Origin>) -> JobRecord {
        JobRecord { origin, ..self }
    }

    fn without_spec(state: JobState, tasks: u32) -> JobRecord {
        JobRecord {
            state,
            spec: None,
            tasks,
            waiting_spec: None,
            dependencies: String::new(),
            done_ms: 0,
            forwarding: None,
            forwarded_spec: None,
            origin: None,
        }
    }

    /// Returns the specification, if the job is live, and the ids of the jobs it depends on.
    pub fn into_parts(self) -> (Option<JobSpec>, Vec<String>) {
        let digits = self.dependencies.split_ascii_whitespace();
        let ids = digits.map(|digits| format!("{ID_PREFIX}{digits}")).collect();
        (self.spec.or(self.waiting_spec).or(self.forwarded_spec), ids)
    }
}

/// The recorded state of a job.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
pub enum JobState {
    /// Accepted, but neither done nor cancelled.
    #[serde(rename = "l")]
    Live,
    /// All its tasks are done.
    #[serde(rename = "d")]
    Done,
    /// Cancelled.
    #[serde(rename = "c")]
    Cancelled,
}
