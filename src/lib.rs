//! woadlever: a cluster scheduler that rents its machines ahead of demand.
//!
//! `core` decides and does nothing else; `io` carries out what it decides;
//! `wire` holds the formats that both speak.

pub mod config;
pub mod core;
pub mod io;
pub mod model;
pub mod wire;
