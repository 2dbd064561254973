//! Values of the operators' file, which are texts until they are parsed here.

use super::SettingError;

/// A number from `least` to `most`.
pub(super) fn number_within(text: &str, least: f64, most: f64) -> Result<f64, SettingError> {
    match text.trim().parse::<f64>() {
        // NaN is in no range.
        Ok(number) if (least..=most).contains(&number) => Ok(number),
        _ => Err(SettingError::NotInRange { text: text.into(), least, most }),
    }
}

/// `true` or `false`.
pub(super) fn boolean(text: &str) -> Result<bool, SettingError> {
    match text.trim() {
        "true" => Ok(true),
        "false" => Ok(false),
        other => Err(SettingError::NotBoolean(other.into())),
    }
}
