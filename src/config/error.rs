//! Errors in settings. Operators see their texts.

use std::path::Path;
use thiserror::Error;

/// An error in a settings file. Its `Display` output is the single line that operators see.
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
    /// The platform's file is not valid TOML, lacks a required setting, or contains a setting of
    /// the wrong type.
    #[error("{file}: line {line} ({text}): {message}")]
    Toml {
        /// Path of the file.
        file: String,
        /// Number of the line.
        line: usize,
        /// Text of the line.
        text: String,
        /// What is wrong with the line, without line breaks.
        message: String,
    },
    /// The operators' file is not valid INI.
    #[error("{file}: {source}")]
    Ini {
        /// Path of the file.
        file: String,
        /// The line, and what is wrong with it.
        source: ini::ParseError,
    },
    /// A setting is invalid.
    #[error("{file}: {source}")]
    Setting {
        /// Path of the file.
        file: String,
        /// The setting and what is wrong with it.
        source: InvalidSetting,
    },
}

/// An invalid setting.
#[derive(Debug, Error)]
#[error("{field}: {why}")]
pub struct InvalidSetting {
    /// Section or table, and key of the setting.
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
    /// The setting must not be empty.
    #[error("must not be empty")]
    Empty,
    /// Not a number, or a number out of range.
    #[error("{text:?} is not a number from {least} to {most}")]
    NotInRange {
        /// Value in the file.
        text: String,
        /// Smallest allowed number.
        least: f64,
        /// Largest allowed number.
        most: f64,
    },
    /// Not a boolean.
    #[error("{0:?} is neither true nor false")]
    NotBoolean(String),
    /// Not a socket address.
    #[error("{0:?} is not an address and port")]
    NotAddress(String),
    /// Not a valid name of a cell.
    #[error("{0:?} is not a name of 1 to 64 letters, digits, - and _")]
    NotCellName(String),
    /// Not a finite number above 0.
    #[error("must be a number above 0")]
    NotPositive,
    /// Not a finite number of at least 0.
    #[error("must be 0 or more")]
    Negative,
    /// The number is too small.
    #[error("must be at least {0}")]
    TooSmall(f64),
    /// Not a finite number, or a number that is too small.
    #[error("must be a number of at least {0}")]
    NotAtLeast(f64),
    /// The number is below that of another setting, which it must not be.
    #[error("must be no less than {0}")]
    BelowSetting(&'static str),
    /// The time for a cancellation is too short for any control lease.
    #[error("must be above lease_s by 1.5 s and a thousandth of itself at least")]
    CancelTimeTooShort,
    /// A peer has the same name as this node.
    #[error("names this very node")]
    ThisNode,
    /// Another cell has the same name as this cell.
    #[error("is this very cell")]
    ThisCell,
    /// Another cell is listed more than once.
    #[error("stands twice")]
    Duplicate,
}

impl SettingError {
    /// Returns this error for the given setting.
    pub(super) fn at(self, field: impl Into<String>) -> InvalidSetting {
        InvalidSetting { field: field.into(), why: self }
    }
}

impl InvalidSetting {
    /// Returns this error for the given file.
    pub(super) fn in_file(self, file: &str) -> ConfigError {
        ConfigError::Setting { file: file.into(), source: self }
    }
}

/// Reads a file. Returns its path, for use in errors, and its text.
pub(super) fn read_file(path: &Path) -> Result<(String, String), ConfigError> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => Ok((file, text)),
        Err(source) => Err(ConfigError::Unreadable { file, source }),
    }
}
