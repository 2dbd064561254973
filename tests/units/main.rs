//! Unit tests of settings, wire formats, records, the model, the forecast and the projection.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod forecast;
mod messages;
mod model;
mod records;
mod settings;
