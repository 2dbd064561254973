//! Records of which attempts may be on which machines.

use crate::model::Resources;
use serde::{Deserialize, Serialize};

/// `place/<shard>/<record>`: every attempt that may be on the machines of one record.
///
/// Many machines share a record, so that a scheduling cycle of bindings costs one change
/// and not one for each machine. Rows instead of named fields, and attempts counted from
/// the smallest, keep it small: the number of tasks that a record holds bounds how many
/// can run.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq, Default)]
pub struct PlacementRecord {
    /// The smallest attempt below.
    #[serde(rename = "b", default)]
    pub base: u64,
    /// Machine types, to which the rows of machines refer by index.
    #[serde(rename = "y", default)]
    pub types: Vec<String>,
    /// Jobs, to which attempts refer by index.
    #[serde(rename = "j", default)]
    pub jobs: Vec<RecordedJob>,
    /// Machines with their attempts.
    #[serde(rename = "m", default)]
    pub machines: Vec<RecordedMachine>,
}

/// A job of a placement record: id, team, and what one task takes of CPUs, GPUs and memory.
/// The resources stand here, because the job's own record may have shrunk to its final state
/// while its tasks still use them.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct RecordedJob(pub String, pub String, pub f64, pub f64, pub f64);

impl RecordedJob {
    /// The row of a job.
    pub fn new(id: String, team: String, demand: &Resources) -> RecordedJob {
        RecordedJob(id, team, demand.cpus, demand.gpus, demand.mem)
    }

    /// Id of the job.
    pub fn id(&self) -> &str {
        &self.0
    }

    /// Name of its team.
    pub fn team(&self) -> &str {
        &self.1
    }

    /// What one task takes.
    pub fn demand(&self) -> Resources {
        Resources { cpus: self.2, gpus: self.3, mem: self.4 }
    }
}

/// A machine of a placement record: name, index of its type, flags, and three numbers for
/// each attempt: index of its job, number of the task, and the attempt counted from
/// [`PlacementRecord::base`].
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct RecordedMachine(pub String, pub u32, pub u8, pub Vec<u64>);

/// An attempt that may be on a machine, as a placement record lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecordedAttempt {
    /// Index of its job in [`PlacementRecord::jobs`].
    pub job: usize,
    /// Number of the task.
    pub task: u32,
    /// Number of the attempt.
    pub attempt: u64,
}

impl RecordedMachine {
    /// Flag: a spot machine.
    pub const SPOT: u8 = 1;
    /// Flag: gets no new tasks until it is drained.
    pub const CORDONED: u8 = 2;
    /// Flag: is being terminated and never used again.
    pub const TERMINATING: u8 = 4;

    /// The row of a machine; `attempts` holds three numbers for each of them.
    pub fn new(name: String, type_index: u32, flags: u8, attempts: Vec<u64>) -> RecordedMachine {
        RecordedMachine(name, type_index, flags, attempts)
    }

    /// Name of the machine.
    pub fn name(&self) -> &str {
        &self.0
    }

    /// Index of its type in [`PlacementRecord::types`].
    pub fn type_index(&self) -> usize {
        self.1 as usize
    }

    /// Whether one of these flags is set.
    pub fn is(&self, flags: u8) -> bool {
        self.2 & flags != 0
    }

    /// Whether any attempt is listed.
    pub fn has_attempts(&self) -> bool {
        !self.3.is_empty()
    }

    /// The attempts, with `base` of the record. An incomplete row, as another program may
    /// have written, ends the list.
    pub fn attempts(&self, base: u64) -> impl Iterator<Item = RecordedAttempt> {
        let (rows, _) = self.3.as_chunks::<3>();
        rows.iter().map(move |&[job, task, offset]| RecordedAttempt {
            job: job as usize,
            task: task as u32,
            attempt: base.saturating_add(offset),
        })
    }
}
