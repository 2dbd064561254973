//! Load sharing between cells: a whole job moves from its origin cell, whose users submitted
//! it, to a host cell that has capacity, and is never run by two cells at once.
//!
//! Each cell is a separate cluster with its own controllers, key-value store and machines.
//! Three mechanisms ensure that a job runs in one cell at a time:
//!
//! - **Ownership** is a single record in the origin cell. It names at most one host cell and
//!   an epoch, and changes only by compare-and-swap ([`record`]).
//! - **A lease** allows the host to run the job. It expires early enough that all tasks are
//!   gone within the origin's bound for cancellations ([`lease`]). Reclaiming a job from a
//!   silent host is therefore bounded in time like a cancellation there.
//! - **A tombstone** at the host remains after the job has ended there, so that a late offer of
//!   the same or an earlier epoch is not accepted ([`host`]).
//!
//! Every message carries the sender's whole state ([`message`]), so the next one makes up for a
//! lost, repeated or late message. [`origin`] and [`host`] decide the steps of the two sides,
//! [`neighbor`] tracks what is known about another cell, [`routing`] chooses the cell that a job
//! is forwarded to, and [`event`] defines what is logged.
//!
//! Nothing in this crate reads a clock, a socket or a store.

pub mod event;
pub mod host;
pub mod lease;
pub mod message;
pub mod neighbor;
pub mod origin;
pub mod record;
pub mod routing;

/// Milliseconds on a monotonic clock, or of wall-clock time where the name or its documentation
/// says so.
pub type Millis = u64;
