//! The formats of all messages and stored records: the JSON of the external protocols ([`users`],
//! [`workers`], [`cloud`], [`store`]) and the binary frames between the nodes of this service
//! ([`peer`]).
//!
//! The names that the external protocols use appear only in this module, in `serde` attributes,
//! once for each message that contains them. This module sends nothing itself.

pub mod cloud;
pub mod encoded;
pub mod peer;
pub mod store;
pub mod users;
pub mod workers;
