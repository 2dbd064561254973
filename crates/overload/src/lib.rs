//! Overload control: which connections and requests a node admits, and in which order, when
//! more arrive than it can serve.
//!
//! Clients time out after some seconds and retry over a new connection. An overloaded node that
//! serves requests in order of arrival spends its time on requests whose clients no longer wait,
//! while retries arrive at the same rate as before. The load then never falls, although the node
//! could serve all of it (a metastable failure). To avoid this, the node decides early and at low
//! cost which work to reject:
//!
//! - [`lag`] measures how late the event loop is, which is the only measure of pressure;
//! - [`admission`] limits the rate of new connections, by importance;
//! - [`queue`] orders the requests between the socket and the core by importance and drops those
//!   whose clients have waited for too long;
//! - [`class`] determines the importance of a request from its first bytes;
//! - [`retry`] determines when rejected clients should retry.
//!
//! This crate reads no clock and no socket; its callers pass in the time.

pub mod admission;
pub mod class;
pub mod lag;
pub mod queue;
pub mod retry;

/// Time of a monotonic clock or a duration, in milliseconds.
pub type Millis = u64;
