//! Settings for the behaviour under overload (docs/overload.md).

use super::value::{boolean, number_within};
use super::{InvalidSetting, SettingError};
use woadlever_overload::admission::AdmissionSettings;

/// How a node behaves when it receives more requests than it can process.
#[derive(Debug, Clone)]
pub struct OverloadSettings {
    /// Whether connections and requests are admitted by importance at all.
    pub enabled: bool,
    /// Lag of the event loop up to which the node is not under pressure, in milliseconds.
    pub lag_target_ms: u64,
    /// How long a greater lag has to last to count as pressure, in milliseconds.
    pub lag_interval_ms: u64,
    /// Maximum number of requests queued between the HTTP server and the core.
    pub queue: usize,
    /// Rate limits for new connections.
    pub admission: AdmissionSettings,
}

impl Default for OverloadSettings {
    fn default() -> Self {
        OverloadSettings {
            enabled: false,
            lag_target_ms: 100,
            lag_interval_ms: 500,
            queue: 256,
            admission: AdmissionSettings::default(),
        }
    }
}

impl OverloadSettings {
    /// Parses the value of one setting and stores it.
    pub(super) fn set(&mut self, key: &str, value: &str) -> Result<(), SettingError> {
        match key {
            "enabled" => self.enabled = boolean(value)?,
            "lag_target_ms" => self.lag_target_ms = number_within(value, 10.0, 10_000.0)? as u64,
            "lag_interval_ms" => self.lag_interval_ms = number_within(value, 10.0, 60_000.0)? as u64,
            "queue" => self.queue = number_within(value, 16.0, 4_096.0)? as usize,
            "connections_per_core" => {
                self.admission.connections_per_core = number_within(value, 10.0, 1e6)?;
            }
            "rejections_per_core" => {
                self.admission.rejections_per_core = number_within(value, 10.0, 1e7)?;
            }
            "least_share" => self.admission.min_share = number_within(value, 0.01, 1.0)?,
            "cut_interval_ms" => {
                self.admission.cut_interval_ms = number_within(value, 100.0, 60_000.0)? as u64;
            }
            _ => return Err(SettingError::Unknown),
        }
        Ok(())
    }

    /// Checks that the settings don't contradict each other.
    pub(super) fn check(&self) -> Result<(), InvalidSetting> {
        if self.lag_interval_ms < self.lag_target_ms {
            let why = SettingError::BelowSetting("lag_target_ms");
            return Err(why.at("[overload] lag_interval_ms"));
        }
        if self.admission.rejections_per_core < self.admission.connections_per_core {
            let why = SettingError::BelowSetting("connections_per_core");
            return Err(why.at("[overload] rejections_per_core"));
        }
        Ok(())
    }
}
