//! Messages between the leaders of two cells.
//!
//! Each message carries the sender's whole state in both roles: the jobs that it has forwarded
//! to the receiver, and the receiver's jobs that it hosts.

use crate::Millis;
use crate::routing::ClassCapacity;
use bitcode::{Decode, Encode};

/// Version of the message format. Cells are upgraded one at a time; messages of an unknown
/// version are dropped.
pub const VERSION: u16 = 1;

/// Value of `retry_after_ms` with which a cell says that it can never run the job. Other jobs
/// may be offered to the cell at once.
pub const NEVER_RETRY: Millis = 0;

/// State of one cell, as far as it concerns another one.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct CellMessage {
    /// Name of the sending cell.
    pub cell: String,
    /// Term of the sending leader.
    pub term: u64,
    /// Revision of the sender's key-value store on which the message is based.
    pub revision: u64,
    /// Jobs that the sender has forwarded to the receiver.
    pub forwarded: ForwardedState,
    /// Jobs that the sender hosts for the receiver.
    pub hosted: HostedState,
}

/// Jobs that a cell has forwarded to another, with the lease for them.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct ForwardedState {
    /// Wall-clock time until which the host may run these jobs.
    pub lease_until_ms: Millis,
    /// All forwarded jobs. A hosted job that is missing here has ended or was cancelled.
    pub jobs: Vec<ForwardedJob>,
}

/// A job that is forwarded to the receiver.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ForwardedJob {
    /// Id of the job.
    pub id: String,
    /// Epoch of the forwarding.
    pub epoch: u64,
    /// Whether the host must give the job back.
    pub is_recalled: bool,
    /// Specification of the job (JSON), sent only until the host has accepted the job.
    pub spec: Option<Vec<u8>>,
}

/// Jobs that a cell hosts for another, and the cell's capacity for more.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct HostedState {
    /// Time after the end of its lease within which all tasks of a job are gone.
    pub stop_within_ms: Millis,
    /// Capacity by class of machines; empty if the cell accepts no jobs now.
    pub capacity: Vec<ClassCapacity>,
    /// One entry for each job of the newest [`ForwardedState`] that has a phase to report.
    pub jobs: Vec<HostedJob>,
}

/// State of a job at its host cell.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct HostedJob {
    /// Id of the job.
    pub id: String,
    /// Epoch of the forwarding.
    pub epoch: u64,
    /// Phase of the job at the host.
    pub phase: HostedPhase,
    /// Set of the tasks that are done, as a hexadecimal bit set.
    pub done: String,
}

/// Phase of a job at its host cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum HostedPhase {
    /// The host did not accept the job.
    Refused {
        /// Time after which a job may be offered to the cell again; [`NEVER_RETRY`] if only this
        /// job can never run there.
        retry_after_ms: Millis,
    },
    /// The host accepted the job, which is not done.
    Live {
        /// Number of tasks that are done.
        done: u32,
        /// Number of tasks that are running.
        running: u32,
    },
    /// All tasks are done.
    Done,
    /// No task of the job is or will be at the host cell.
    Released,
}
