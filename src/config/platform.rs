//! The platform's file: this node, its peers, the external services, and settings that all nodes
//! share.

use super::error::read_file;
use super::{
    CloudLimits, ConfigError, InvalidSetting, Operator, ProcessLimits, SettingError, StoreLimits,
};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use woadlever_cells::lease::CellTiming;

/// Smallest usable duration of a control lease. A node would lose a shorter lease between two
/// ordinary calls.
const MIN_CONTROL_LEASE_S: f64 = 1.0;
/// Maximum relative drift between two monotonic clocks, each of which is off by at most 0.05%.
const MAX_CLOCK_DRIFT_RATIO: f64 = 0.001;
/// Share of the time between the end of a worker's lease and the end of the cancellation time that
/// is reserved for timer delays and for stopping tasks, subject to the following bounds.
const MARGIN_SHARE: f64 = 0.12;
const MIN_MARGIN_S: f64 = 0.5;
const MAX_MARGIN_S: f64 = 3.0;

/// The platform's file. By agreement with the platform, unknown fields are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// Name of this node.
    #[serde(rename = "host_name")]
    pub node: String,
    /// Zone of this node.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address on which this node listens for users and workers.
    #[serde(rename = "bind")]
    pub listen: SocketAddr,
    /// Address on which this node listens for the other nodes.
    #[serde(rename = "internal_addr")]
    pub peer_listen: SocketAddr,
    /// The other nodes.
    #[serde(rename = "known", default)]
    pub peers: Vec<PeerEntry>,
    /// Addresses of the external services.
    pub endpoints: Endpoints,
    /// Settings that all nodes share.
    pub cluster: Cluster,
}

/// Another node of the cluster.
#[derive(Debug, Clone, Deserialize)]
pub struct PeerEntry {
    /// Its name.
    #[serde(rename = "host_name")]
    pub node: String,
    /// Its zone.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address on which it listens for other nodes.
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// Addresses of the external services.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Address of the key-value store.
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

/// Settings that all nodes share.
#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    /// Zones in which machines can be rented.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Teams with their quotas.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives for classes of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Timing of the worker protocol.
    pub workers: WorkerTimes,
    /// Maximum error of the wall clock, in milliseconds.
    #[serde(default = "default_clock_off_ms")]
    pub clock_off_ms: f64,
    /// Limits of the key-value store.
    pub state: StoreLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of this process.
    pub limits: ProcessLimits,
}

/// Maximum error of the wall clock, in milliseconds, if the file does not state it.
fn default_clock_off_ms() -> f64 {
    500.0
}

/// Quota of a team. A guarantee of 0 means no guarantee, and a maximum of 0 allows no use at all.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// CPUs that the team is guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// CPUs that the team may use at most.
    #[serde(default)]
    pub cpus_max: f64,
    /// GPUs that the team is guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// GPUs that the team may use at most.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective for a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// Kind of the objective, such as `wait` or `deadline`.
    pub kind: String,
    /// Class of jobs that the objective applies to; `None` means all classes.
    #[serde(default)]
    pub class: Option<String>,
    /// Share of jobs that should meet the objective.
    #[serde(default)]
    pub share: Option<f64>,
    /// Time that the objective allows, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Factor by which a job's own deadline is multiplied.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Timing of the worker protocol.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTimes {
    /// Time between two heartbeats of a worker, in seconds.
    pub report_s: f64,
    /// Time without a response after which a worker drops its tasks, in seconds.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job must be gone, in seconds.
    pub cancel_s: f64,
}

impl WorkerTimes {
    /// Returns the maximum duration of the control lease, in seconds. The lease counts from when the
    /// call that renews it is sent, and a worker may be answered until the lease ends. The worker's
    /// own lease then counts from its heartbeat, which was sent before the response. The time that
    /// remains until the end of the cancellation time must cover the drift of both clocks, timer
    /// delays and the time for stopping tasks.
    fn max_control_lease_s(&self) -> f64 {
        let slack = self.cancel_s - self.lease_s;
        let margin = (slack * MARGIN_SHARE).clamp(MIN_MARGIN_S, MAX_MARGIN_S);
        slack - margin - self.cancel_s * MAX_CLOCK_DRIFT_RATIO
    }
}

impl Platform {
    /// Reads and checks the platform's file.
    pub fn load(path: &Path) -> Result<Platform, ConfigError> {
        let (file, text) = read_file(path)?;
        Platform::parse(&file, &text)
    }

    /// Parses and checks the text of the platform's file. Errors name `file`.
    pub fn parse(file: &str, text: &str) -> Result<Platform, ConfigError> {
        let mut platform: Platform =
            toml::from_str(text).map_err(|error| toml_error(file, text, &error))?;
        platform.check().map_err(|invalid| invalid.in_file(file))?;
        platform.cluster.state.apply_announced();
        Ok(platform)
    }

    fn check(&self) -> Result<(), InvalidSetting> {
        if self.node.is_empty() {
            return Err(SettingError::Empty.at("host_name"));
        }
        if self.peers.iter().any(|peer| peer.node == self.node) {
            return Err(SettingError::ThisNode.at("known.host_name"));
        }
        self.cluster.check()
    }

    /// Returns the times from which the leases between cells are derived.
    pub fn cell_timing(&self) -> CellTiming {
        CellTiming {
            worker_lease_ms: (self.cluster.workers.lease_s * 1000.0) as u64,
            cancel_ms: (self.cluster.workers.cancel_s * 1000.0) as u64,
            clock_error_ms: self.cluster.clock_off_ms.ceil() as u64,
        }
    }

    /// Returns the duration of the control lease, in milliseconds. It is short enough that a shard
    /// owner that is cut off from everything except its workers lets their leases expire within the
    /// time allowed for a cancellation.
    pub fn control_lease_ms(&self, operator: &Operator) -> u64 {
        let longest_s = self.cluster.workers.max_control_lease_s();
        (operator.max_control_lease_s.min(longest_s) * 1000.0) as u64
    }
}

impl Cluster {
    fn check(&self) -> Result<(), InvalidSetting> {
        self.check_positive()?;
        let non_negative = [
            ("cluster.clock_off_ms", self.clock_off_ms),
            ("cluster.cloud.list_lag_s", self.cloud.list_lag_s),
        ];
        for (field, number) in non_negative {
            check_non_negative(field, number)?;
        }
        if self.workers.max_control_lease_s() < MIN_CONTROL_LEASE_S {
            return Err(SettingError::CancelTimeTooShort.at("cluster.workers.cancel_s"));
        }
        self.state.check()?;
        self.limits.check()?;
        self.teams.iter().try_for_each(Team::check)
    }

    fn check_positive(&self) -> Result<(), InvalidSetting> {
        let positive = [
            ("cluster.workers.report_s", self.workers.report_s),
            ("cluster.workers.lease_s", self.workers.lease_s),
            ("cluster.workers.cancel_s", self.workers.cancel_s),
            ("cluster.state.rps", self.state.rps),
            ("cluster.state.write_rps", self.state.write_rps),
            ("cluster.state.value_kb", self.state.value_kb),
            ("cluster.cloud.rps", self.cloud.rps),
            ("cluster.limits.cpu", self.limits.cpu),
        ];
        for (field, number) in positive {
            if !(number.is_finite() && number > 0.0) {
                return Err(SettingError::NotPositive.at(field));
            }
        }
        Ok(())
    }
}

impl Team {
    fn check(&self) -> Result<(), InvalidSetting> {
        check_non_negative("cluster.teams.cpus", self.cpus)?;
        check_non_negative("cluster.teams.cpus_max", self.cpus_max)?;
        check_non_negative("cluster.teams.gpus", self.gpus)?;
        check_non_negative("cluster.teams.gpus_max", self.gpus_max)
    }
}

fn check_non_negative(field: &str, number: f64) -> Result<(), InvalidSetting> {
    if number.is_finite() && number >= 0.0 { Ok(()) } else { Err(SettingError::Negative.at(field)) }
}

/// Returns the settings error for a TOML error, with the line that caused it.
fn toml_error(file: &str, text: &str, error: &toml::de::Error) -> ConfigError {
    let line = error.span().map_or(1, |span| text[..span.start].lines().count().max(1));
    let line_text = text.lines().nth(line - 1).unwrap_or("").trim();
    let message = error.message().lines().collect::<Vec<_>>().join(" ");
    ConfigError::Toml { file: file.into(), line, text: line_text.into(), message }
}
