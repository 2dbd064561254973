//! The formats of all that is sent and stored: the JSON of the outer protocols ([`users`],
//! [`workers`], [`cloud`], [`store`]) and the binary frames between our own nodes ([`peer`]).
//!
//! The names of the outer protocols stand in `serde` attributes here, each once for each
//! message that has it, and nowhere behind this module. Nothing here sends anything.

pub mod cloud;
pub mod encoded;
pub mod peer;
pub mod store;
pub mod users;
pub mod workers;
