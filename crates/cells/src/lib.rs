//! Cells that share load: a whole job moves from its origin cell, whose users submitted
//! it, to a host cell that has capacity, and is never run by two cells at once.
//!
//! Each cell is a cluster of its own, with its own controllers, key-value store and
//! machines. Safety rests on three things:
//!
//! - **Ownership** is one record of the origin cell. It names at most one host cell and
//!   an epoch, and changes by compare-and-swap only ([`record`]).
//! - **A lease** lets the host run the job. It ends by itself early enough that all tasks
//!   are gone within the origin's bound for a cancellation ([`lease`]). Taking a job back
//!   from a silent host is therefore a cancellation there.
//! - **A tombstone** at the host outlives the end of the job there, so that a late offer of the same
//!   or an earlier epoch is not accepted ([`host`]).
//!
//! Cells exchange whole states ([`message`]); a lost, repeated or late message is made
//! good by the next one. [`origin`] and [`host`] decide the steps of the two sides,
//! [`neighbor`] what is known of another cell, [`routing`] which cell a job goes to,
//! [`event`] what is logged.
//!
//! Nothing here reads a clock, a socket or a store.

pub mod event;
pub mod host;
pub mod lease;
pub mod message;
pub mod neighbor;
pub mod origin;
pub mod record;
pub mod routing;

/// Milliseconds, of a steady clock or of the time of day as the name says.
pub type Millis = u64;
