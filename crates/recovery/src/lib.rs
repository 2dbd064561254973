//! Recovery: squaring what workers report with what is on record before any order
//! is given.
//!
//! A process that begins to hold a block of machines, after a restart of all nodes,
//! after the loss of another holder or because the block was moved, knows two
//! things of it: the placement records, as of a revision after its grant, and what
//! the workers report to it. Neither is the truth alone. A record lists attempts
//! that may never have reached their machine, and a report may be a late copy, or
//! older than a `run` that a former holder sent.
//!
//! This crate decides, without input or output, what both together prove:
//!
//! - [`worker`]: which reports count, and what they prove about the worker;
//! - [`attempt`]: the verdict on each attempt, and the order that is allowed for it;
//! - [`shard`]: the phase of a block, from reading its records to squared;
//! - [`ledger`]: the leader's side: which attempts a new leader keeps, adopts or
//!   takes for gone.
//!
//! The gate is per machine: a machine gets no `run` and no `kill` before its own
//! report has been squared with its own record, and no machine waits for another.
//! Cancellations are the exception: what is cancelled on record may be stopped in
//! any phase.

pub mod attempt;
pub mod ledger;
pub mod shard;
pub mod worker;

/// Milliseconds of a steady clock.
pub type Millis = u64;
