//! Messages between the leaders of two cells.
//!
//! Each message carries the whole state of both sides: the jobs that the sender has
//! forwarded to the receiver, and those of the receiver that the sender hosts.

use crate::Millis;
use crate::routing::ClassCapacity;
use bitcode::{Decode, Encode};

/// Version of the messages. Cells are upgraded one by one; messages of a version that
/// is not known are dropped.
pub const VERSION: u16 = 1;

/// The `retry_after_ms` of a cell that can never run the job. Other jobs may be offered to it
/// at once.
pub const NEVER_RETRY: Millis = 0;

/// One cell's state, as far as it concerns another.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct CellMessage {
    /// The cell that sends it.
    pub cell: String,
    /// Term of the leader that sends it.
    pub term: u64,
    /// Revision of the sender's key-value store that the message rests on.
    pub revision: u64,
    /// What the sender has forwarded to the receiver.
    pub forwarded: ForwardedState,
    /// What the sender hosts for the receiver.
    pub hosted: HostedState,
}

/// Jobs that a cell has forwarded to another.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct ForwardedState {
    /// Time of day until which the host may run these jobs.
    pub lease_until_ms: Millis,
    /// All of them. A hosted job that is missing here has ended or was cancelled.
    pub jobs: Vec<ForwardedJob>,
}

/// A job that is forwarded to the receiver.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ForwardedJob {
    /// Id of the job.
    pub id: String,
    /// Epoch of the forwarding.
    pub epoch: u64,
    /// Whether the host must give it back.
    pub is_recalled: bool,
    /// Description of the job (JSON), until the host has accepted it.
    pub spec: Option<Vec<u8>>,
}

/// Jobs that a cell hosts for another, and what it has capacity for.
#[derive(Debug, Clone, Default, PartialEq, Encode, Decode)]
pub struct HostedState {
    /// Time within which all tasks of a job are gone once its lease has ended.
    pub stop_within_ms: Millis,
    /// Capacity by class of machines; empty if no job is taken now.
    pub capacity: Vec<ClassCapacity>,
    /// One entry for each job of the newest [`ForwardedState`] that there is something
    /// to say about.
    pub jobs: Vec<HostedJob>,
}

/// A job as its host cell has it.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct HostedJob {
    /// Id of the job.
    pub id: String,
    /// Epoch of the forwarding.
    pub epoch: u64,
    /// How far it is.
    pub phase: HostedPhase,
    /// The tasks that are done, as hexadecimal bits.
    pub done: String,
}

/// How far a job is at its host cell.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub enum HostedPhase {
    /// Not accepted; another job may be offered after this time.
    Refused {
        /// Time until the cell should be asked again; [`NEVER_RETRY`] if only this job can
        /// never run there.
        retry_after_ms: Millis,
    },
    /// Accepted and not done.
    Live {
        /// Tasks that are done.
        done: u32,
        /// Tasks that run.
        running: u32,
    },
    /// All tasks are done.
    Done,
    /// No task of it is or will be at the host cell.
    Released,
}
