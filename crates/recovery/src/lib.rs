//! Recovery of a shard: worker heartbeats are reconciled with the placement records before any
//! command is sent.
//!
//! A process becomes the owner of a shard after a restart of all nodes, after the loss of
//! another owner, or because the shard was moved. It then knows two things about the shard: the
//! placement records, as of a revision after it became the owner, and the heartbeats of the
//! workers. Neither is enough alone. A record lists attempts that may never have reached their
//! machine, and a heartbeat may be a late copy, or older than a start command that a former
//! owner sent.
//!
//! This crate decides, without any I/O, what the two prove together:
//!
//! - [`worker`]: which heartbeats are accepted, and what they prove about the worker;
//! - [`attempt`]: the verdict on each attempt, and the action that is allowed for it;
//! - [`shard`]: the phase of a shard's recovery, from reading its records to reconciled;
//! - [`disposition`]: the leader's side: which attempts a new leader keeps, adopts or
//!   considers gone.
//!
//! Commands are held back per machine: no task is started or stopped on a machine before the
//! machine's own heartbeat has been reconciled with its records, and no machine waits for
//! another. Cancellations are the exception: tasks of cancelled jobs may be stopped in any
//! phase.

pub mod attempt;
pub mod disposition;
pub mod shard;
pub mod worker;

/// Milliseconds on a monotonic clock.
pub type Millis = u64;
