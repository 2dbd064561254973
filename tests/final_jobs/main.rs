//! Final jobs leave memory: the number that a node keeps is bounded, and the others are
//! answered, depended on and stopped as before.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

#[path = "../support/mod.rs"]
mod support;

mod clusters;
mod job_table;
