//! Overload control: which connections and requests a node admits, and in which order, when
//! more arrive than it can serve.
//!
//! Clients give up after some seconds and retry, over a new connection. A node that serves
//! requests in the order of arrival is then busy with those that nobody waits for any more,
//! while new ones arrive as fast as before: the load never falls, although the node could
//! serve all of it (a metastable overload). The remedy is to decide early and cheaply:
//!
//! - [`lag`]: how late the event loop is, which is the one measure of pressure;
//! - [`admission`]: how many new connections a second are admitted, by importance;
//! - [`queue`]: requests between the socket and the core, by importance and the
//!   time that their clients wait;
//! - [`class`]: the importance of a request, from the first bytes that it sends;
//! - [`retry`]: when clients that are rejected should come back.
//!
//! Nothing here reads a clock or a socket.

pub mod admission;
pub mod class;
pub mod lag;
pub mod queue;
pub mod retry;

/// Milliseconds of a steady clock.
pub type Millis = u64;
