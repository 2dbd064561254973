//! Limits of the external services and of this process.

use super::{InvalidSetting, SettingError};
use serde::Deserialize;

/// Smallest usable limit on values: not even the record of an ordinary job fits into less.
const MIN_VALUE_KB: f64 = 1.0;
/// Smallest usable limit on mutations: with fewer, a compare-and-swap could not change a record and
/// also write a marker of the change.
const MIN_TXN_OPS: usize = 2;
/// Smallest usable rate of requests or mutations.
const MIN_RATE_PER_S: f64 = 1.0;
/// Smallest usable memory limit. With less, the process would be killed for its memory use before
/// it serves any request: it needs about 2 MB at start, 2 MB for final jobs, 1 MB for the names of
/// terminated machines, and as much again for the records of the first read and a few machines.
const MIN_MEMORY_MB: f64 = 8.0;
const MIN_CONNECTIONS: usize = 32;

/// Limits of the key-value store. If `next` announces other limits, the smaller of the current and
/// the announced limit applies from the start: the change comes without further notice, and records
/// that were written before it should already fit.
#[derive(Debug, Clone, Deserialize)]
pub struct StoreLimits {
    /// Requests per second.
    pub rps: f64,
    /// Mutations per second.
    pub write_rps: f64,
    /// Maximum length of a value in KiB.
    pub value_kb: f64,
    /// Maximum number of mutations in one compare-and-swap.
    pub txn_ops: usize,
    /// Announced future limits, if any.
    #[serde(default)]
    pub next: Option<AnnouncedLimits>,
    /// Current length limit of a value in KiB, regardless of `next`.
    #[serde(skip)]
    pub current_value_kb: f64,
}

/// Announced future limits. A limit that is `None` does not change.
#[derive(Debug, Clone, Deserialize)]
pub struct AnnouncedLimits {
    /// Requests per second.
    pub rps: Option<f64>,
    /// Mutations per second.
    pub write_rps: Option<f64>,
    /// Maximum length of a value in KiB.
    pub value_kb: Option<f64>,
    /// Maximum number of mutations in one compare-and-swap.
    pub txn_ops: Option<usize>,
}

impl StoreLimits {
    /// Checks the current number of mutations and the announced limits. The other current limits are
    /// checked together with the settings of the cluster.
    pub(super) fn check(&self) -> Result<(), InvalidSetting> {
        if self.txn_ops < MIN_TXN_OPS {
            return Err(SettingError::TooSmall(MIN_TXN_OPS as f64).at("cluster.state.txn_ops"));
        }
        self.next.as_ref().map_or(Ok(()), AnnouncedLimits::check)
    }

    /// Sets each limit to the smaller of its current and its announced value.
    pub(super) fn apply_announced(&mut self) {
        self.current_value_kb = self.value_kb;
        if let Some(next) = &self.next {
            self.rps = self.rps.min(next.rps.unwrap_or(f64::INFINITY));
            self.write_rps = self.write_rps.min(next.write_rps.unwrap_or(f64::INFINITY));
            self.value_kb = self.value_kb.min(next.value_kb.unwrap_or(f64::INFINITY));
            self.txn_ops = self.txn_ops.min(next.txn_ops.unwrap_or(usize::MAX));
        }
    }

    /// Returns the maximum length of a value in bytes.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
    }
}

impl AnnouncedLimits {
    fn check(&self) -> Result<(), InvalidSetting> {
        let numbers = [
            ("cluster.state.next.rps", self.rps, MIN_RATE_PER_S),
            ("cluster.state.next.write_rps", self.write_rps, MIN_RATE_PER_S),
            ("cluster.state.next.value_kb", self.value_kb, MIN_VALUE_KB),
        ];
        for (field, limit, least) in numbers {
            if limit.is_some_and(|limit| !(limit.is_finite() && limit >= least)) {
                return Err(SettingError::NotAtLeast(least).at(field));
            }
        }
        if self.txn_ops.is_some_and(|mutations| mutations < MIN_TXN_OPS) {
            return Err(SettingError::TooSmall(MIN_TXN_OPS as f64).at("cluster.state.next.txn_ops"));
        }
        Ok(())
    }
}

/// Limits of the cloud.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Calls per second.
    pub rps: f64,
    /// Lag of the machine list behind the actual state, in seconds.
    pub list_lag_s: f64,
}

/// Limits of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// CPU time that the process may use, as a share of one core.
    #[serde(default = "default_cpu_share")]
    pub cpu: f64,
    /// Memory that the process may use, in MB; `None` means no limit.
    #[serde(default)]
    pub mem_mb: Option<f64>,
    /// Maximum number of open sockets of the process.
    pub max_connections: usize,
}

/// Share of a core that the process may use if the file does not state it: a whole core.
fn default_cpu_share() -> f64 {
    1.0
}

impl ProcessLimits {
    /// Checks the limits on memory and connections. The share of a core is checked together with the
    /// settings of the cluster.
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
