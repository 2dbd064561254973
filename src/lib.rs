//! woadlever: a cluster scheduler that rents its machines ahead of demand.
//!
//! [`core`] makes all decisions and performs no input or output, and [`io`] carries the decisions
//! out. [`wire`] defines the formats of messages and records that both use.

pub mod config;
pub mod core;
pub mod io;
pub mod model;
pub mod wire;
