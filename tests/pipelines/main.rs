//! Scenarios of pipelines (jobs that depend on others), and of an upgrade to them while
//! machines serve.
//!
//! `tests/fixtures/` was made by the code of the version that `deploy/service.toml` names as
//! production: frames as its encoder writes them, and what its three processes had left in
//! the store and on 60 machines in one of its scenarios. They are not to be made anew by
//! later code.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

#[path = "../support/mod.rs"]
mod support;

mod dependencies;
mod fixtures;
mod upgrade;
