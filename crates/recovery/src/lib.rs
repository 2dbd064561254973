//! Recovery: reconciling what workers report with what is on record before any command
//! is given.
//!
//! A process that becomes the owner of a shard, after a restart of all nodes, after the
//! loss of another owner or because the shard was moved, knows two things of it: the
//! placement records, as of a revision after it became the owner, and the heartbeats of
//! the workers. Neither is enough alone. A record lists attempts that may never have
//! reached their machine, and a heartbeat may be a late copy, or older than a start
//! command that a former owner sent.
//!
//! This crate decides, without input or output, what both together prove:
//!
//! - [`worker`]: which heartbeats count, and what they prove about the worker;
//! - [`attempt`]: the verdict on each attempt, and the action that is allowed for it;
//! - [`shard`]: the phase of a shard's recovery, from reading its records to reconciled;
//! - [`disposition`]: the leader's side: which attempts a new leader keeps, adopts or
//!   takes for gone.
//!
//! The gate is per machine: no task is started or stopped on a machine before its own
//! heartbeat has been reconciled with what is on record for it, and no machine waits for
//! another. Cancellations are the exception: tasks of cancelled jobs may be stopped in any
//! phase.

pub mod attempt;
pub mod disposition;
pub mod shard;
pub mod worker;

/// Milliseconds of a steady clock.
pub type Millis = u64;
