//! Why settings can't be used. The texts are what operators see.

use std::path::Path;
use thiserror::Error;

/// Why a file of settings can't be used. `Display` is the one line that operators see.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{file}: cannot be read: {source}")]
    Unreadable {
        /// Path of the file.
        file: String,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The platform's file is no TOML, or lacks a setting, or has one of another type.
    #[error("{file}: line {line} ({text}): {message}")]
    Toml {
        /// Path of the file.
        file: String,
        /// Number of the line.
        line: usize,
        /// What the line says.
        text: String,
        /// What is wrong with it, in one line.
        message: String,
    },
    /// The operators' file is no INI.
    #[error("{file}: {source}")]
    Ini {
        /// Path of the file.
        file: String,
        /// Line and what is wrong with it.
        source: ini::ParseError,
    },
    /// A setting can't be used.
    #[error("{file}: {source}")]
    Setting {
        /// Path of the file.
        file: String,
        /// The setting and what is wrong with it.
        source: InvalidSetting,
    },
}

/// A setting that can't be used.
#[derive(Debug, Error)]
#[error("{field}: {why}")]
pub struct InvalidSetting {
    /// Section and key of the setting.
    pub field: String,
    /// What is wrong with it.
    pub why: SettingError,
}

/// What is wrong with a setting.
#[derive(Debug, Error)]
pub enum SettingError {
    /// There is no such setting.
    #[error("unknown setting")]
    Unknown,
    /// The setting is required.
    #[error("is missing")]
    Missing,
    /// The text must not be empty.
    #[error("must not be empty")]
    Empty,
    /// Not a number, or not one of this range.
    #[error("{text:?} is not a number from {least} to {most}")]
    NotInRange {
        /// What the file says.
        text: String,
        /// The least number that is allowed.
        least: f64,
        /// The greatest number that is allowed.
        most: f64,
    },
    /// Not a boolean.
    #[error("{0:?} is neither true nor false")]
    NotBoolean(String),
    /// Not a socket address.
    #[error("{0:?} is not an address and port")]
    NotAddress(String),
    /// Not the name of a cell.
    #[error("{0:?} is not a name of 1 to 64 letters, digits, - and _")]
    NotCellName(String),
    /// The number is not a finite one above 0.
    #[error("must be a number above 0")]
    NotPositive,
    /// The number is not a finite one of at least 0.
    #[error("must be 0 or more")]
    Negative,
    /// The number is too small.
    #[error("must be at least {0}")]
    TooSmall(f64),
    /// Not a finite number, or too small a one.
    #[error("must be a number of at least {0}")]
    NotAtLeast(f64),
    /// The number must not be below that of another setting.
    #[error("must be no less than {0}")]
    BelowSetting(&'static str),
    /// A cancellation leaves no time for a control lease.
    #[error("must be above lease_s by 1.5 s and a thousandth of itself at least")]
    CancelTimeTooShort,
    /// A peer has the name of this node.
    #[error("names this very node")]
    ThisNode,
    /// Another cell has the name of this cell.
    #[error("is this very cell")]
    ThisCell,
    /// Another cell is there more than once.
    #[error("stands twice")]
    Duplicate,
}

impl SettingError {
    /// The error of this setting.
    pub(super) fn at(self, field: impl Into<String>) -> InvalidSetting {
        InvalidSetting { field: field.into(), why: self }
    }
}

impl InvalidSetting {
    /// The error of this file.
    pub(super) fn in_file(self, file: &str) -> ConfigError {
        ConfigError::Setting { file: file.into(), source: self }
    }
}

/// Reads a file; the result is its path, for errors, and its text.
pub(super) fn read_file(path: &Path) -> Result<(String, String), ConfigError> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(source) => Err(ConfigError::Unreadable { file, source }),
    }
}
