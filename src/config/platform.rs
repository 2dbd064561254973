//! The platform's file: this node, its peers, the outer services, and what all nodes share.

use super::error::read_file;
use super::{
    CloudLimits, ConfigError, InvalidSetting, Operator, ProcessLimits, SettingError, StoreLimits,
};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use woadlever_cells::lease::CellTiming;

/// With a shorter control lease a node would lose it between two ordinary calls.
const MIN_CONTROL_LEASE_S: f64 = 1.0;
/// Two steady clocks differ by twice 0.05% at most.
const CLOCK_DRIFT: f64 = 0.001;
/// Share of the time between lease and cancellation that is kept for timers and stopping,
/// within the bounds below.
const MARGIN_SHARE: f64 = 0.12;
const MIN_MARGIN_S: f64 = 0.5;
const MAX_MARGIN_S: f64 = 3.0;

/// The platform's file. Unknown fields are ignored by agreement.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// Name of this node.
    #[serde(rename = "host_name")]
    pub node: String,
    /// Zone that this node is in.
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address for users and workers.
    #[serde(rename = "bind")]
    pub listen: SocketAddr,
    /// Address for the other nodes.
    #[serde(rename = "internal_addr")]
    pub peer_listen: SocketAddr,
    /// The other nodes.
    #[serde(rename = "known", default)]
    pub peers: Vec<PeerEntry>,
    /// Addresses of the outer services.
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
    /// Its address for other nodes.
    #[serde(rename = "endpoint")]
    pub addr: SocketAddr,
}

/// Addresses of the outer services.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud.
    pub cloud: SocketAddr,
    /// The key-value store.
    #[serde(rename = "state")]
    pub store: SocketAddr,
}

/// Settings that all nodes share.
#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    /// Zones in which machines can be rented.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Teams with their guarantees and limits.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Service-level objectives by class of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Times of the worker protocol.
    pub workers: WorkerTimes,
    /// Bound on the error of the time of day, in milliseconds.
    #[serde(default = "default_clock_off_ms")]
    pub clock_off_ms: f64,
    /// Limits of the key-value store.
    pub state: StoreLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of this process.
    pub limits: ProcessLimits,
}

/// Taken for the error of the time of day where the file does not say.
fn default_clock_off_ms() -> f64 {
    500.0
}

/// Quota of a team. 0 means none: no guarantee, or nothing allowed at all.
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
    /// What is measured, such as `wait` or `deadline`.
    pub kind: String,
    /// The class of jobs; `None`: all classes.
    #[serde(default)]
    pub class: Option<String>,
    /// Share of jobs that shall meet the objective.
    #[serde(default)]
    pub share: Option<f64>,
    /// Time that the objective allows, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Factor on a job's own deadline.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Times of the worker protocol.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTimes {
    /// Time between two heartbeats of a worker, in seconds.
    pub report_s: f64,
    /// Time without an answer after which a worker drops its tasks, in seconds.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job must be gone, in seconds.
    pub cancel_s: f64,
}

impl WorkerTimes {
    /// The longest control lease, in seconds. The call that renews it is sent, the last worker
    /// is answered as long after that as the lease lasts, and the worker's own lease counts
    /// from its heartbeat, which was sent before the answer. What remains until the time for a
    /// cancellation is over covers the drift of both clocks, timers and the time to stop.
    fn max_control_lease_s(&self) -> f64 {
        let slack = self.cancel_s - self.lease_s;
        let margin = (slack * MARGIN_SHARE).clamp(MIN_MARGIN_S, MAX_MARGIN_S);
        slack - margin - self.cancel_s * CLOCK_DRIFT
    }
}

impl Platform {
    /// Reads and checks the platform's file.
    pub fn load(path: &Path) -> Result<Platform, ConfigError> {
        let (file, text) = read_file(path)?;
        Platform::parse(&file, &text)
    }

    /// Checks the text of the platform's file; `file` is named in errors.
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

    /// Times that leases between cells follow from.
    pub fn cell_timing(&self) -> CellTiming {
        CellTiming {
            worker_lease_ms: (self.cluster.workers.lease_s * 1000.0) as u64,
            cancel_ms: (self.cluster.workers.cancel_s * 1000.0) as u64,
            clock_error_ms: self.cluster.clock_off_ms.ceil() as u64,
        }
    }

    /// Duration of the control lease, in milliseconds: short enough that a shard owner cut
    /// off from all but its workers lets their leases expire within the time that a
    /// cancellation has.
    pub fn control_lease_ms(&self, operator: &Operator) -> u64 {
        let longest_s = self.cluster.workers.max_control_lease_s();
        (operator.max_control_lease_s.min(longest_s) * 1000.0) as u64
    }
}

impl Cluster {
    fn check(&self) -> Result<(), InvalidSetting> {
        self.check_positive()?;
        let not_negative = [
            ("cluster.clock_off_ms", self.clock_off_ms),
            ("cluster.cloud.list_lag_s", self.cloud.list_lag_s),
        ];
        for (field, number) in not_negative {
            check_not_negative(field, number)?;
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
        check_not_negative("cluster.teams.cpus", self.cpus)?;
        check_not_negative("cluster.teams.cpus_max", self.cpus_max)?;
        check_not_negative("cluster.teams.gpus", self.gpus)?;
        check_not_negative("cluster.teams.gpus_max", self.gpus_max)
    }
}

fn check_not_negative(field: &str, number: f64) -> Result<(), InvalidSetting> {
    if number.is_finite() && number >= 0.0 { Ok(()) } else { Err(SettingError::Negative.at(field)) }
}

/// The error with the line that it is about.
fn toml_error(file: &str, text: &str, error: &toml::de::Error) -> ConfigError {
    let line = error.span().map_or(1, |span| text[..span.start].lines().count().max(1));
    let line_text = text.lines().nth(line - 1).unwrap_or("").trim();
    let message = error.message().lines().collect::<Vec<_>>().join(" ");
    ConfigError::Toml { file: file.into(), line, text: line_text.into(), message }
}
