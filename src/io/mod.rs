//! Sockets, timers and the loop round the core.

mod client;
mod cloud;
pub mod driver;
pub mod frames;
mod gate;
mod requests;
mod server;
mod store;
