//! Limits of the outer services and of this process.

use super::{InvalidSetting, SettingError};
use serde::Deserialize;

/// Below this not even the record of an ordinary job fits.
const MIN_VALUE_KB: f64 = 1.0;
/// Below this a compare-and-swap could not change a record and mark that it did.
const MIN_TXN_OPS: usize = 2;
/// Fewer requests or changes a second than this are of no use.
const MIN_RATE: f64 = 1.0;
/// Below this a process would be ended for memory before it serves anybody: about 2 MB to
/// start with, 2 MB for final jobs, 1 MB for names of terminated machines, and as much again
/// for the records of a first read and a few machines.
const MIN_MEMORY_MB: f64 = 8.0;
const MIN_CONNECTIONS: usize = 32;

/// Limits of the key-value store. When `next` announces other limits, these are the smaller
/// of both from the start: the change comes without notice, and what was written before
/// should fit by then.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreLimits {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Length of a value, in KiB.
    pub value_kb: f64,
    /// Changes in one compare-and-swap.
    pub txn_ops: usize,
    /// Limits that are announced.
    #[serde(default)]
    pub next: Option<AnnouncedLimits>,
    /// The limit of a value today, before `next`.
    #[serde(skip)]
    pub today_kb: f64,
}

/// Limits to come; what is left out stays as it is.
#[derive(Debug, Clone, Deserialize)]
pub struct AnnouncedLimits {
    /// Requests a second.
    pub rps: Option<f64>,
    /// Changes a second.
    pub write_rps: Option<f64>,
    /// Length of a value, in KiB.
    pub value_kb: Option<f64>,
    /// Changes in one compare-and-swap.
    pub txn_ops: Option<usize>,
}

impl StoreLimits {
    /// Checks today's number of changes, and the limits that are announced. The other limits
    /// of today are checked with those of the cluster.
    pub(super) fn check(&self) -> Result<(), InvalidSetting> {
        if self.txn_ops < MIN_TXN_OPS {
            return Err(SettingError::TooSmall(MIN_TXN_OPS as f64).at("cluster.state.txn_ops"));
        }
        self.next.as_ref().map_or(Ok(()), AnnouncedLimits::check)
    }

    /// Takes the smaller of today's and the announced limits.
    pub(super) fn apply_announced(&mut self) {
        self.today_kb = self.value_kb;
        if let Some(next) = &self.next {
            self.rps = self.rps.min(next.rps.unwrap_or(f64::INFINITY));
            self.write_rps = self.write_rps.min(next.write_rps.unwrap_or(f64::INFINITY));
            self.value_kb = self.value_kb.min(next.value_kb.unwrap_or(f64::INFINITY));
            self.txn_ops = self.txn_ops.min(next.txn_ops.unwrap_or(usize::MAX));
        }
    }

    /// Bytes that a value may have.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
    }
}

impl AnnouncedLimits {
    fn check(&self) -> Result<(), InvalidSetting> {
        let numbers = [
            ("cluster.state.next.rps", self.rps, MIN_RATE),
            ("cluster.state.next.write_rps", self.write_rps, MIN_RATE),
            ("cluster.state.next.value_kb", self.value_kb, MIN_VALUE_KB),
        ];
        for (field, limit, least) in numbers {
            if limit.is_some_and(|limit| !(limit.is_finite() && limit >= least)) {
                return Err(SettingError::NotAtLeast(least).at(field));
            }
        }
        if self.txn_ops.is_some_and(|changes| changes < MIN_TXN_OPS) {
            return Err(SettingError::TooSmall(MIN_TXN_OPS as f64).at("cluster.state.next.txn_ops"));
        }
        Ok(())
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Calls a second.
    pub rps: f64,
    /// How far the machine list lags behind, in seconds.
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// Share of a core.
    #[serde(default = "whole_core")]
    pub cpu: f64,
    /// Memory that the process may use, in MB; `None`: not limited.
    #[serde(default)]
    pub mem_mb: Option<f64>,
    /// Sockets that the process may have open.
    pub max_connections: usize,
}

/// Taken for the share of a core where the file does not say.
fn whole_core() -> f64 {
    1.0
}

impl ProcessLimits {
    /// Checks memory and connections. The share of a core is checked with the limits of the
    /// cluster.
    pub(super) fn check(&self) -> Result<(), InvalidSetting> {
        if self.mem_mb.is_some_and(|mb| !(mb.is_finite() && mb >= MIN_MEMORY_MB)) {
            return Err(SettingError::TooSmall(MIN_MEMORY_MB).at("cluster.limits.mem_mb"));
        }
        if self.max_connections < MIN_CONNECTIONS {
            let why = SettingError::TooSmall(MIN_CONNECTIONS as f64);
            return Err(why.at("cluster.limits.max_connections"));
        }
        Ok(())
    }
}
