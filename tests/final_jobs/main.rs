//! Final jobs are dropped from memory: a node keeps a bounded number of them, and status requests,
//! dependencies and stop commands work as before for the others.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

#[path = "../support/mod.rs"]
mod support;

mod clusters;
mod job_table;
