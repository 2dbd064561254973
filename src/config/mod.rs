//! Settings: the platform's TOML file and the operators' optional INI file.
//!
//! Both are checked in full before anything starts, so that a mistake is
//! one line naming the file and the field instead of odd behaviour later.

mod cells;
mod operator;
mod overload;
mod platform;

pub use cells::{CellNeighbor, CellSettings};
pub use operator::Operator;
pub use overload::OverloadSettings;
pub use platform::{
    CloudLimits, Cluster, Endpoints, Limits, NextLimits, Objective, PeerEntry, Platform, StateLimits,
    Team, Workers,
};

use std::path::Path;
use thiserror::Error;

/// Why the settings can't be used. `Display` is the one line operators see.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{file}: cannot be read: {why}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// What went wrong.
        why: String,
    },
    /// The file is not of its format.
    #[error("{file}: {why}")]
    Malformed {
        /// Path of the file.
        file: String,
        /// Line and what is wrong with it.
        why: String,
    },
    /// A setting can't be used.
    #[error("{file}: {field}: {why}")]
    Field {
        /// Path of the file.
        file: String,
        /// Section and key of the setting.
        field: String,
        /// What is wrong with it.
        why: String,
    },
}

fn read(path: &Path) -> Result<(String, String), ConfigError> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(e) => Err(ConfigError::Unreadable { file, why: e.to_string() }),
    }
}

/// A number from `least` to `most`, or why the text is none.
fn number_within(text: &str, least: f64, most: f64) -> Result<f64, String> {
    match text.trim().parse::<f64>() {
        Ok(number) if number.is_finite() && number >= least && number <= most => Ok(number),
        _ => Err(format!("{text:?} is not a number from {least} to {most}")),
    }
}

/// `true` or `false`, or why the text is neither.
fn flag(text: &str) -> Result<bool, String> {
    match text.trim() {
        "true" => Ok(true),
        "false" => Ok(false),
        other => Err(format!("{other:?} is neither true nor false")),
    }
}
