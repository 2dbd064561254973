//! Parsers for values of the operators' file.

use super::SettingError;

/// Parses a number from `least` to `most`.
pub(super) fn number_within(text: &str, least: f64, most: f64) -> Result<f64, SettingError> {
    match text.trim().parse::<f64>() {
        // No range contains NaN.
        Ok(number) if (least..=most).contains(&number) => Ok(number),
        _ => Err(SettingError::NotInRange { text: text.into(), least, most }),
    }
}

/// Parses `true` or `false`.
pub(super) fn boolean(text: &str) -> Result<bool, SettingError> {
    match text.trim() {
        "true" => Ok(true),
        "false" => Ok(false),
        other => Err(SettingError::NotBoolean(other.into())),
    }
}
