//! Placement records: which attempts may be on which machines.

use crate::model::Resources;
use serde::{Deserialize, Serialize};

/// Record `place/<shard>/<record>`: every attempt that may be on the machines of this record.
///
/// Many machines share a record, so that the bindings of a scheduling cycle need one mutation
/// instead of one per machine. The record is kept small by rows without field names and by attempt
/// ids relative to the smallest, because the number of tasks that fit into a record limits how
/// many tasks can run.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Default)]
pub struct PlacementRecord {
    /// Smallest attempt id in the record.
    #[serde(rename = "b", default)]
    pub base: u64,
    /// Machine types. The rows of machines refer to them by index.
    #[serde(rename = "y", default)]
    pub types: Vec<String>,
    /// Jobs. Attempts refer to them by index.
    #[serde(rename = "j", default)]
    pub jobs: Vec<RecordedJob>,
    /// Machines with their attempts.
    #[serde(rename = "m", default)]
    pub machines: Vec<RecordedMachine>,
}

/// A job of a placement record as a row: id, team, and the CPUs, GPUs and memory that one task
/// demands. The demand is repeated here because the job's own record may already contain only its
/// final state while its tasks still use resources.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct RecordedJob(pub String, pub String, pub f64, pub f64, pub f64);

impl RecordedJob {
    /// Creates the row of a job.
    pub fn new(id: String, team: String, demand: &Resources) -> RecordedJob {
        RecordedJob(id, team, demand.cpus, demand.gpus, demand.memory_gb)
    }

    /// Returns the id of the job.
    pub fn id(&self) -> &str {
        &self.0
    }

    /// Returns the name of its team.
    pub fn team(&self) -> &str {
        &self.1
    }

    /// Returns the resource demand of one task.
    pub fn demand(&self) -> Resources {
        Resources { cpus: self.2, gpus: self.3, memory_gb: self.4 }
    }
}

/// A machine of a placement record as a row: name, index of its type, flags, and three numbers for
/// each attempt: the index of its job, the number of its task, and the attempt id minus
/// [`PlacementRecord::base`].
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct RecordedMachine(pub String, pub u32, pub u8, pub Vec<u64>);

/// An attempt that a placement record lists on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordedAttempt {
    /// Index of its job in [`PlacementRecord::jobs`].
    pub job: usize,
    /// Number of the task.
    pub task: u32,
    /// Id of the attempt.
    pub attempt: u64,
}

impl RecordedMachine {
    /// Flag: the machine is a spot instance.
    pub const SPOT: u8 = 1;
    /// Flag: the machine gets no new tasks until it is drained.
    pub const CORDONED: u8 = 2;
    /// Flag: the machine is being terminated and is never used again.
    pub const TERMINATING: u8 = 4;

    /// Creates the row of a machine. `attempts` holds three numbers for each attempt.
    pub fn new(name: String, type_index: u32, flags: u8, attempts: Vec<u64>) -> RecordedMachine {
        RecordedMachine(name, type_index, flags, attempts)
    }

    /// Returns the name of the machine.
    pub fn name(&self) -> &str {
        &self.0
    }

    /// Returns the index of its type in [`PlacementRecord::types`].
    pub fn type_index(&self) -> usize {
        self.1 as usize
    }

    /// Whether any of `flags` is set.
    pub fn has_any_flag(&self, flags: u8) -> bool {
        self.2 & flags != 0
    }

    /// Whether any attempt is listed.
    pub fn has_attempts(&self) -> bool {
        !self.3.is_empty()
    }

    /// Returns the attempts; `base` is that of the record. An incomplete row at the end, which
    /// another program may have written, is ignored.
    pub fn attempts(&self, base: u64) -> impl Iterator<Item = RecordedAttempt> {
        let (rows, _) = self.3.as_chunks::<3>();
        rows.iter().map(move |&[job, task, offset]| RecordedAttempt {
            job: job as usize,
            task: task as u32,
            attempt: base.saturating_add(offset),
        })
    }
}
