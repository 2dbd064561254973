//! Scenario tests of the whole service on fakes, at least one for each rule and invariant.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

#[path = "../support/mod.rs"]
mod support;

mod cancellation;
mod failover;
mod fairness;
mod fixtures;
mod fleet;
mod partitions;
mod placement;
mod random_faults;
mod scale;
mod store;
mod users;
mod workers;
