//! Sockets, timers and the loop round the core.

pub mod client;
pub mod cloud;
pub mod driver;
pub mod peers;
pub mod server;
pub mod state;
