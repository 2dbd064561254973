//! Combined faults, injected in the order and at the times that are critical.
//! docs/combined-faults.md lists for each combination what keeps the rules.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

#[path = "../support/mod.rs"]
mod support;

mod answers;
mod cancellations;
mod control_lease;
mod fixtures;
mod late_heartbeats;
mod load;
mod machines;
mod processes;
mod quotas;
mod store_writes;
mod zones;
