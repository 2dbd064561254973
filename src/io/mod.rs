//! Sockets, timers and the event loop around the core.
//!
//! [`driver`] owns the loop: it passes inputs to the core one at a time and carries out its
//! outputs. Everything here runs on one thread, as tasks of one local task set. The core makes
//! all scheduling decisions; this module only performs the input and output.

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
