//! What the records of a job and of a lease say about cells.

use crate::Millis;
use crate::origin::RecallReason;
use serde::{Deserialize, Serialize};

/// Where a job of this cell has been forwarded to. Part of the job's record in its
/// origin cell, which alone decides who may run the job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forwarding {
    /// The host cell.
    #[serde(rename = "c")]
    pub cell: String,
    /// Version of the job's record before it was forwarded: rises with each attempt to
    /// forward the job, so that messages about an earlier one are told apart.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// How far the forwarding is.
    #[serde(rename = "p")]
    pub phase: ForwardPhase,
    /// The host had no capacity for the job.
    #[serde(rename = "n", default, skip_serializing_if = "is_false")]
    pub is_refused: bool,
    /// Cells that can't run the job, accepted it and did not run it, or were silent. It is
    /// not forwarded to them again.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub tried: Vec<String>,
}

#[allow(clippy::trivially_copy_pass_by_ref, reason = "serde asks for a reference")]
fn is_false(flag: &bool) -> bool {
    !*flag
}

impl Forwarding {
    /// The job is forwarded to `cell`, by a change of its record of version `epoch`.
    pub fn begin(cell: &str, epoch: u64, previous: Option<&Forwarding>) -> Forwarding {
        let tried = previous.map(|previous| previous.tried.clone()).unwrap_or_default();
        let (cell, phase) = (cell.to_string(), ForwardPhase::Active);
        Forwarding { cell, epoch, phase, is_refused: false, tried }
    }

    /// The host cell must give the job back.
    pub fn recalled(&self, reason: RecallReason) -> Forwarding {
        let is_refused = reason == RecallReason::Refused;
        Forwarding { phase: ForwardPhase::Recalled, is_refused, ..self.clone() }
    }

    /// The job is at its origin cell again.
    pub fn returned(&self) -> Forwarding {
        let mut tried = self.tried.clone();
        if !self.is_refused {
            tried.push(self.cell.clone());
        }
        Forwarding { phase: ForwardPhase::Returned, tried, ..self.clone() }
    }

    /// Whether only the host cell may run the job, if anyone.
    pub fn is_away(&self) -> bool {
        self.phase != ForwardPhase::Returned
    }
}

/// How far a forwarding is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ForwardPhase {
    /// The host cell may run the job.
    #[serde(rename = "a")]
    Active,
    /// The host cell must give the job back; it may still have tasks of it.
    #[serde(rename = "r")]
    Recalled,
    /// No task of the job is or will be at the host cell.
    #[serde(rename = "b")]
    Returned,
}

/// The cell that a hosted job belongs to. Part of the job's record in its host cell, and
/// of the tombstone that is left there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The origin cell.
    #[serde(rename = "c")]
    pub cell: String,
    /// Epoch of the forwarding.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// In a tombstone: the tasks that were done here, as hexadecimal bits.
    #[serde(rename = "d", default, skip_serializing_if = "String::is_empty")]
    pub done: String,
}

/// The lease that an origin cell has given to a host cell, for all jobs that the host
/// has of it. Kept by the host cell, and followed by all its controllers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellLease {
    /// Time of day at which it ends.
    #[serde(rename = "u")]
    pub until_ms: Millis,
    /// Revision of the origin's key-value store that it rests on. Older messages are ignored.
    #[serde(rename = "r")]
    pub revision: u64,
}
