//! The state service's interface, and the records that we keep in it.

use super::encoded::Encoded;
use super::users::ID_PREFIX;
use crate::model::JobSpec;
use serde::{Deserialize, Serialize};
use woadlever_cells::record::{Forwarding, Origin};

/// A record with its key.
#[derive(Debug, Clone, Deserialize)]
pub struct KeyValue {
    /// Key of the record.
    #[serde(rename = "k")]
    pub key: String,
    /// Its value.
    #[serde(rename = "data")]
    pub value: Encoded,
    /// Revision of its last change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of records.
#[derive(Debug, Clone, Deserialize)]
pub struct Page {
    /// Records on this page.
    #[serde(rename = "pairs")]
    pub items: Vec<KeyValue>,
    /// Whether another page follows.
    #[serde(rename = "has_next", default)]
    pub more: bool,
    /// Revision of the whole store when the page was read.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a transaction: the record has this version, or none if 0.
#[derive(Debug, Clone, Serialize)]
pub struct Compare {
    /// Key of the record.
    #[serde(rename = "k")]
    pub key: String,
    /// Version that it must have.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change that a transaction makes.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub enum Mutation {
    /// Writes a record.
    Put {
        /// Key of the record.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        #[serde(rename = "data")]
        value: Encoded,
        /// Lease with whose end the record goes.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a record.
    Delete {
        /// Key of the record.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// Changes that are made together, or not at all.
#[derive(Debug, Clone, Serialize, Default)]
pub struct CompareAndSwap {
    /// Conditions that all have to hold.
    #[serde(rename = "if")]
    pub compares: Vec<Compare>,
    /// What is changed then.
    #[serde(rename = "apply")]
    pub mutations: Vec<Mutation>,
}

/// Answer to a transaction that was carried out.
#[derive(Debug, Clone, Deserialize)]
pub struct CompareAndSwapCommitted {
    /// Revision of its changes.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// Answer to a transaction whose conditions did not hold.
#[derive(Debug, Clone, Deserialize)]
pub struct CompareAndSwapConflict {
    /// Keys whose version differs.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// Answer to a request for a lease.
#[derive(Debug, Clone, Deserialize)]
pub struct LeaseOpened {
    /// Number of the lease.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// Changes since a revision.
#[derive(Debug, Clone, Deserialize)]
pub struct WatchAnswer {
    /// Revision up to which changes are told.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes in their order.
    #[serde(rename = "log", default)]
    pub events: Vec<Event>,
}

/// One change of a record.
#[derive(Debug, Clone, Deserialize)]
pub struct Event {
    /// Key, if it was written.
    #[serde(rename = "write", default)]
    pub put: Option<String>,
    /// Key, if it was deleted.
    #[serde(rename = "drop", default)]
    pub delete: Option<String>,
    /// Value that was written.
    #[serde(rename = "data", default)]
    pub value: Encoded,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

// ---- our own records ----

/// `w/leader`: written only at election, so that its version is the term.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct LeaderRecord {
    /// Name of the leading node.
    pub node: String,
    /// Process that leads.
    pub incarnation: u64,
    /// Lease that the record hangs on.
    pub lease: u64,
}

/// `w/block/<b>`: its version is the grant and, being unique and rising, also
/// the fencing token that the holder shows to workers.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ShardRecord {
    /// Name of the holder.
    pub node: String,
    /// Process that holds the block.
    pub incarnation: u64,
}

/// `w/job/<id>`: final records keep only the state.
///
/// The version before pipelines reads these records too and ignores the fields
/// that it doesn't know. A job that awaits others keeps its description in a
/// field of its own, so that such a leader, which would start it at once, finds
/// nothing to start, while its users are answered as ever.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct JobRecord {
    /// State of the job.
    #[serde(rename = "s")]
    pub state: JobState,
    #[serde(rename = "j", default, skip_serializing_if = "Option::is_none")]
    spec: Option<JobSpec>,
    /// Number of tasks, kept for the answers about a final job.
    #[serde(rename = "n", default)]
    pub tasks: u32,
    /// The description of a job that awaits others.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    staged: Option<JobSpec>,
    /// What it awaits: the digits of the ids, apart by spaces.
    #[serde(rename = "w", default, skip_serializing_if = "String::is_empty")]
    awaits: String,
    /// Time of day at which the job was done: from then on count the times of
    /// the jobs that await it.
    #[serde(rename = "t", default, skip_serializing_if = "is_zero")]
    pub done_ms: u64,
    /// Where the job has been forwarded to.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub forwarding: Option<Forwarding>,
    /// The description of a job that another cell hosts: in a field of its own, so that
    /// a controller that knows nothing of cells finds nothing to start.
    #[serde(rename = "q", default, skip_serializing_if = "Option::is_none")]
    away: Option<JobSpec>,
    /// The cell that a hosted job belongs to.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub origin: Option<Origin>,
}

fn is_zero(n: &u64) -> bool {
    *n == 0
}

impl JobRecord {
    /// The record of a job that has just been accepted.
    pub fn live(spec: JobSpec, awaits: &[String]) -> JobRecord {
        let tasks = spec.tasks;
        let digits: Vec<&str> = awaits.iter().filter_map(|id| id.strip_prefix(ID_PREFIX)).collect();
        let (spec, staged) = if awaits.is_empty() { (Some(spec), None) } else { (None, Some(spec)) };
        JobRecord { spec, staged, awaits: digits.join(" "), ..JobRecord::of(JobState::Live, tasks) }
    }

    /// The record of a live job that is, or was, forwarded to another cell.
    pub fn forwarded(spec: JobSpec, awaits: &[String], forwarding: Forwarding) -> JobRecord {
        let mut record = JobRecord::live(spec, awaits);
        if forwarding.is_away() {
            record.away = record.spec.take().or(record.staged.take());
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

    /// The record of a job whose tasks are all done.
    pub fn done(tasks: u32, done_ms: u64) -> JobRecord {
        JobRecord { done_ms, ..JobRecord::of(JobState::Done, tasks) }
    }

    /// The same record, of a job that belongs to this cell if `origin` is none.
    pub fn with_origin(self, origin: Option<Origin>) -> JobRecord {
        JobRecord { origin, ..self }
    }

    /// The record of a job that was withdrawn.
    pub fn cancelled(tasks: u32) -> JobRecord {
        JobRecord::of(JobState::Cancelled, tasks)
    }

    fn of(state: JobState, tasks: u32) -> JobRecord {
        JobRecord {
            state,
            spec: None,
            tasks,
            staged: None,
            awaits: String::new(),
            done_ms: 0,
            forwarding: None,
            away: None,
            origin: None,
        }
    }

    /// The description, if the job is live, and the ids of what it awaits.
    pub fn into_parts(self) -> (Option<JobSpec>, Vec<String>) {
        let ids = self.awaits.split_ascii_whitespace().map(|d| format!("{ID_PREFIX}{d}")).collect();
        (self.spec.or(self.staged).or(self.away), ids)
    }
}

/// State of a job, as far as it is on record.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, PartialEq, Eq)]
pub enum JobState {
    /// Accepted and neither done nor withdrawn.
    #[serde(rename = "l")]
    Live,
    /// All tasks are done.
    #[serde(rename = "d")]
    Done,
    /// Withdrawn.
    #[serde(rename = "c")]
    Cancelled,
}

/// `place/<block>/<record>`: every attempt that may be on the machines of one
/// record. Many machines share a record, so that a scheduling cycle of bindings costs one
/// change and not one for each machine. Lists instead of named fields, and
/// attempts counted from the smallest, keep it small: how many tasks a record
/// holds bounds how many can run.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Default)]
pub struct PlacementRecord {
    /// The smallest attempt below.
    #[serde(rename = "b", default)]
    pub base: u64,
    /// Machine types named below by their place here.
    #[serde(rename = "y", default)]
    pub types: Vec<String>,
    /// Jobs named below by their place here.
    #[serde(rename = "j", default)]
    pub jobs: Vec<RecordedJob>,
    /// Machines with their attempts.
    #[serde(rename = "m", default)]
    pub machines: Vec<RecordedMachine>,
}

/// Name, team, and what one task takes: CPUs, GPUs, memory. The resources
/// stand beside the attempts, because the job's record may have shrunk to its
/// final state while its tasks still use them.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct RecordedJob(pub String, pub String, pub f64, pub f64, pub f64);

/// Name, type, flags, and three numbers for each attempt: its job's place
/// above, its task, and the attempt from `base`.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct RecordedMachine(pub String, pub u32, pub u8, pub Vec<u64>);

impl RecordedMachine {
    /// Flag: a spot machine.
    pub const SPOT: u8 = 1;
    /// Flag: gets no new tasks until it is drained.
    pub const CORDONED: u8 = 2;
    /// Flag: is being returned and never used again.
    pub const TERMINATING: u8 = 4;

    /// Whether the flag is set.
    pub fn is(&self, flag: u8) -> bool {
        self.2 & flag != 0
    }

    /// The attempts as (job's place, task, attempt). An incomplete row, of
    /// another hand, ends the list.
    pub fn tasks(&self, base: u64) -> impl Iterator<Item = (usize, u32, u64)> {
        self.3
            .as_chunks::<3>()
            .0
            .iter()
            .map(move |t| (t[0] as usize, t[1] as u32, base.saturating_add(t[2])))
    }
}
