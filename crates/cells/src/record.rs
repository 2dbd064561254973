//! Parts of stored records that concern cells: the forwarding of a job, its origin, and leases.

use crate::Millis;
use crate::origin::RecallReason;
use serde::{Deserialize, Serialize};

/// Forwarding of a job to another cell. It is part of the job's record in its origin cell, and
/// that record alone decides which cell may run the job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forwarding {
    /// The host cell.
    #[serde(rename = "c")]
    pub cell: String,
    /// Version of the job's record before the job was forwarded. It increases with each
    /// forwarding of the job, so that messages about an earlier one can be recognized.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Phase of the forwarding.
    #[serde(rename = "p")]
    pub phase: ForwardPhase,
    /// Whether the job was recalled because the host had no capacity for it.
    #[serde(rename = "n", default, skip_serializing_if = "is_false")]
    pub is_refused: bool,
    /// Cells that can't run the job, that accepted it and did not run it, or that were silent.
    /// The job is not forwarded to them again.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub excluded_cells: Vec<String>,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde asks for a reference")]
fn is_false(flag: &bool) -> bool {
    !*flag
}

impl Forwarding {
    /// Returns a new forwarding of a job to `cell`. `epoch` is the version of the job's record
    /// that is being updated.
    pub fn begin(cell: &str, epoch: u64, previous: Option<&Forwarding>) -> Forwarding {
        let excluded_cells =
            previous.map(|previous| previous.excluded_cells.clone()).unwrap_or_default();
        let (cell, phase) = (cell.to_string(), ForwardPhase::Active);
        Forwarding { cell, epoch, phase, is_refused: false, excluded_cells }
    }

    /// Returns this forwarding after its recall: the host cell must give the job back.
    pub fn recalled(&self, reason: RecallReason) -> Forwarding {
        let is_refused = reason == RecallReason::Refused;
        Forwarding { phase: ForwardPhase::Recalled, is_refused, ..self.clone() }
    }

    /// Returns this forwarding after the job has come back to its origin cell.
    pub fn returned(&self) -> Forwarding {
        let mut excluded_cells = self.excluded_cells.clone();
        if !self.is_refused {
            excluded_cells.push(self.cell.clone());
        }
        Forwarding { phase: ForwardPhase::Returned, excluded_cells, ..self.clone() }
    }

    /// Whether no cell other than the host cell may run the job.
    pub fn is_forwarded(&self) -> bool {
        self.phase != ForwardPhase::Returned
    }
}

/// Phase of a forwarding.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardPhase {
    /// The host cell may run the job.
    #[serde(rename = "a")]
    Active,
    /// The host cell must give the job back; it may still have tasks of the job.
    #[serde(rename = "r")]
    Recalled,
    /// No task of the job is or will be at the host cell.
    #[serde(rename = "b")]
    Returned,
}

/// Origin of a hosted job. It is part of the job's record in its host cell, and of the tombstone
/// that remains there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The origin cell.
    #[serde(rename = "c")]
    pub cell: String,
    /// Epoch of the forwarding.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// In a tombstone, the set of the tasks that were done here, as a hexadecimal bit set.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    pub done: String,
}

/// Lease that an origin cell has granted to a host cell, for all jobs of the origin that the host
/// runs. The host cell stores it, and all controllers of the host cell obey it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellLease {
    /// Wall-clock time at which the lease ends.
    #[serde(rename = "u")]
    pub until_ms: Millis,
    /// Revision of the origin's key-value store on which the lease is based. Older messages are
    /// ignored.
    #[serde(rename = "r")]
    pub revision: u64,
}
