//! Load sharing between cells: a whole job is forwarded to another cell and runs exactly once,
//! despite the loss of controllers, of whole cells and of messages between them.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

#[path = "../support/mod.rs"]
mod support;

mod fixtures;
mod late_messages;
mod losses;
mod moves;
