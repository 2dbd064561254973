//! Sockets, timers and the event loop around the core.
//!
//! [`driver`] owns the loop: it hands inputs to the core one at a time and has its outputs
//! carried out. Everything here runs on one thread, as tasks of one local task set; what to
//! do is decided by the core alone.

mod client;
mod cloud;
pub mod driver;
pub mod frames;
mod gate;
mod inputs;
mod links;
mod listeners;
mod outputs;
mod owned_task;
mod requests;
mod server;
mod store;
