//! Records of jobs, from their acceptance for ever.

use crate::model::JobSpec;
use crate::wire::users::ID_PREFIX;
use serde::{Deserialize, Serialize};
use woadlever_cells::record::{Forwarding, Origin};

/// `w/job/<id>`: records of final jobs keep only the state.
///
/// Versions from before job dependencies and cells read these records too, and ignore the
/// fields that they don't know. A job that awaits others, or that another cell hosts, has its
/// description in a field of its own: a leader of such a version, which would start the job
/// at once, finds nothing to start, while its users get the same answers.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct JobRecord {
    /// State of the job.
    #[serde(rename = "s")]
    pub state: JobState,
    /// The description of a live job that may start.
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    spec: Option<JobSpec>,
    /// Number of tasks, kept for the answers about a final job.
    #[serde(rename = "n", default)]
    pub tasks: u32,
    /// The description of a job that awaits others.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    waiting_spec: Option<JobSpec>,
    /// The jobs it depends on: the digits of their ids, separated by spaces.
    #[serde(rename = "w", default, skip_serializing_if = "String::is_empty")]
    dependencies: String,
    /// Time of day at which the job was done, in milliseconds: the times of jobs that
    /// depend on it count from then on. 0 unless done.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub done_ms: u64,
    /// Where the job has been forwarded to.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub forwarding: Option<Forwarding>,
    /// The description of a job that another cell hosts.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    forwarded_spec: Option<JobSpec>,
    /// The cell that a hosted job belongs to.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Origin>,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

impl JobRecord {
    /// The record of a job that has just been accepted; `dependencies` are ids of jobs.
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

    /// The record of a live job that is, or was, forwarded to another cell.
    pub fn forwarded(spec: JobSpec, dependencies: &[String], forwarding: Forwarding) -> JobRecord {
        let mut record = JobRecord::live(spec, dependencies);
        if forwarding.is_away() {
            record.forwarded_spec = record.spec.take().or(record.waiting_spec.take());
        }
        record.forwarding = Some(forwarding);
        record
    }

    /// The record, in its host cell, of a live job of another cell.
    pub fn hosted(spec: JobSpec, origin: Origin) -> JobRecord {
        JobRecord::live(spec, &[]).with_origin(Some(origin))
    }

    /// What a job of another cell leaves in the cell that hosted it, or refused to.
    pub fn tombstone(tasks: u32, origin: Origin) -> JobRecord {
        JobRecord::cancelled(tasks).with_origin(Some(origin))
    }

    /// The record of a job whose tasks are all done, at this time of day.
    pub fn done(tasks: u32, done_ms: u64) -> JobRecord {
        JobRecord { done_ms, ..JobRecord::without_spec(JobState::Done, tasks) }
    }

    /// The record of a job that was cancelled.
    pub fn cancelled(tasks: u32) -> JobRecord {
        JobRecord::without_spec(JobState::Cancelled, tasks)
    }

    /// The same record of a job that belongs to another cell; `None`: to this one.
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

    /// The description, if the job is live, and the ids of the jobs it depends on.
    pub fn into_parts(self) -> (Option<JobSpec>, Vec<String>) {
        let digits = self.dependencies.split_ascii_whitespace();
        let ids = digits.map(|digits| format!("{ID_PREFIX}{digits}")).collect();
        (self.spec.or(self.waiting_spec).or(self.forwarded_spec), ids)
    }
}

/// State of a job, as far as it is on record.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
pub enum JobState {
    /// Accepted, and neither done nor cancelled.
    #[serde(rename = "l")]
    Live,
    /// All tasks are done.
    #[serde(rename = "d")]
    Done,
    /// Cancelled.
    #[serde(rename = "c")]
    Cancelled,
}
