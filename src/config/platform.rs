//! The platform's file.

use super::{ConfigError, Operator, read};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::Path;
use woadlever_cells::lease::CellTiming;

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
    /// The cloud that machines are rented from.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
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
    /// Aims per class of jobs.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Times of the worker protocol.
    pub workers: Workers,
    /// Bound on the error of the time of day, in milliseconds.
    #[serde(default = "default_clock_off_ms")]
    pub clock_off_ms: f64,
    /// Limits of the state service.
    pub state: StateLimits,
    /// Limits of the cloud.
    pub cloud: CloudLimits,
    /// Limits of this process.
    pub limits: Limits,
}

/// 0 means "none": no guarantee, or nothing allowed at all.
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

/// An aim for a class of jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is measured, such as `wait` or `deadline`.
    pub kind: String,
    /// The class of jobs; all classes if absent.
    #[serde(default)]
    pub class: Option<String>,
    /// Share of jobs that shall meet the aim.
    #[serde(default)]
    pub share: Option<f64>,
    /// Time that the aim allows, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
    /// Factor on a job's own deadline.
    #[serde(default)]
    pub times: Option<f64>,
}

/// Times of the worker protocol.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Time between two reports of a worker, in seconds.
    pub report_s: f64,
    /// Time without an answer after which a worker drops its tasks.
    pub lease_s: f64,
    /// Time within which the tasks of a cancelled job must be gone.
    pub cancel_s: f64,
}

/// With less, a node would lose its authority between two ordinary answers.
const LEAST_AUTHORITY_S: f64 = 1.0;
/// Two steady clocks differ by twice 0.05% at most.
const CLOCK_DRIFT: f64 = 0.001;

impl Workers {
    /// The time that is left for authority: a proof is sent, the last worker is
    /// answered so long after it, and its lease counts from its report, which was
    /// sent before that. What remains covers the drift of both clocks, timers and
    /// the time to stop.
    fn authority_s(&self) -> f64 {
        let slack = self.cancel_s - self.lease_s;
        let margin = (slack * 0.12).clamp(0.5, 3.0);
        slack - margin - self.cancel_s * CLOCK_DRIFT
    }
}

/// What the state service takes. When `next` announces other limits, these are
/// the smaller of both from the start: the change comes without notice, and
/// what was written before should fit by then.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// Length of a value, in KiB.
    pub value_kb: f64,
    /// Changes in one transaction.
    pub txn_ops: usize,
    /// Limits that are announced.
    #[serde(default)]
    pub next: Option<NextLimits>,
    /// The limit of a value today, before `next`.
    #[serde(skip)]
    pub today_kb: f64,
}

/// Limits to come; what is left out stays as it is.
#[derive(Debug, Clone, Deserialize)]
pub struct NextLimits {
    /// Requests a second.
    pub rps: Option<f64>,
    /// Changes a second.
    pub write_rps: Option<f64>,
    /// Length of a value, in KiB.
    pub value_kb: Option<f64>,
    /// Changes in one transaction.
    pub txn_ops: Option<usize>,
}

/// Below this not even the record of an ordinary job fits.
const LEAST_VALUE_KB: f64 = 1.0;

impl StateLimits {
    fn check(&self) -> Result<(), (&'static str, &'static str)> {
        let Some(n) = &self.next else { return Ok(()) };
        let usable = |v: Option<f64>, least: f64| v.is_none_or(|v| v.is_finite() && v >= least);
        if !usable(n.rps, 1.0) {
            return Err(("cluster.state.next.rps", "must be a number of at least 1"));
        }
        if !usable(n.write_rps, 1.0) {
            return Err(("cluster.state.next.write_rps", "must be a number of at least 1"));
        }
        if !usable(n.value_kb, LEAST_VALUE_KB) {
            return Err(("cluster.state.next.value_kb", "must be a number of at least 1"));
        }
        if n.txn_ops.is_some_and(|n| n < 2) {
            return Err(("cluster.state.next.txn_ops", "must be at least 2"));
        }
        Ok(())
    }

    /// Takes the smaller of today's and the next limits.
    fn settle(&mut self) {
        self.today_kb = self.value_kb;
        if let Some(n) = &self.next {
            self.rps = self.rps.min(n.rps.unwrap_or(f64::INFINITY));
            self.write_rps = self.write_rps.min(n.write_rps.unwrap_or(f64::INFINITY));
            self.value_kb = self.value_kb.min(n.value_kb.unwrap_or(f64::INFINITY));
            self.txn_ops = self.txn_ops.min(n.txn_ops.unwrap_or(usize::MAX));
        }
    }

    /// Bytes that a value may have.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
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
pub struct Limits {
    /// Share of a core.
    #[serde(default = "whole_core")]
    pub cpu: f64,
    /// Memory that the process may use, in MB; absent: not limited.
    #[serde(default)]
    pub mem_mb: Option<f64>,
    /// Sockets that the process may have open.
    pub max_connections: usize,
}

/// Below this a process would be ended for memory before it serves anybody: about
/// 2 MB to start with, 2 MB for final jobs, 1 MB for names of returned machines, and
/// as much again for the records of a first read and a few machines.
const MIN_MEMORY_MB: f64 = 8.0;

/// Taken for the error of the time of day where the file does not say.
fn default_clock_off_ms() -> f64 {
    500.0
}

fn whole_core() -> f64 {
    1.0
}

impl Platform {
    /// Reads and checks the platform's file.
    pub fn load(path: &Path) -> Result<Platform, ConfigError> {
        let (file, text) = read(path)?;
        Platform::parse(&file, &text)
    }

    /// Checks the text of the platform's file; `file` is named in errors.
    pub fn parse(file: &str, text: &str) -> Result<Platform, ConfigError> {
        let mut p: Platform = toml::from_str(text).map_err(|e| {
            let line = e.span().map(|s| text[..s.start].lines().count().max(1)).unwrap_or(1);
            let at = text.lines().nth(line.saturating_sub(1)).unwrap_or("").trim();
            let why = e.message().lines().collect::<Vec<_>>().join(" ");
            ConfigError::Malformed { file: file.into(), why: format!("line {line} ({at}): {why}") }
        })?;
        p.check(file)?;
        p.cluster.state.settle();
        Ok(p)
    }

    fn check(&self, file: &str) -> Result<(), ConfigError> {
        let bad = |field: &str, why: &str| {
            Err(ConfigError::Field { file: file.into(), field: field.into(), why: why.into() })
        };
        if self.node.is_empty() {
            return bad("host_name", "must not be empty");
        }
        if self.peers.iter().any(|p| p.node == self.node) {
            return bad("known.host_name", "names this very node");
        }
        let c = &self.cluster;
        let positive = [
            ("cluster.workers.report_s", c.workers.report_s),
            ("cluster.workers.lease_s", c.workers.lease_s),
            ("cluster.workers.cancel_s", c.workers.cancel_s),
            ("cluster.state.rps", c.state.rps),
            ("cluster.state.write_rps", c.state.write_rps),
            ("cluster.state.value_kb", c.state.value_kb),
            ("cluster.cloud.rps", c.cloud.rps),
            ("cluster.limits.cpu", c.limits.cpu),
        ];
        for (field, v) in positive {
            if !(v.is_finite() && v > 0.0) {
                return bad(field, "must be a number above 0");
            }
        }
        if !(c.clock_off_ms.is_finite() && c.clock_off_ms >= 0.0) {
            return bad("cluster.clock_off_ms", "must be 0 or more");
        }
        if !(c.cloud.list_lag_s.is_finite() && c.cloud.list_lag_s >= 0.0) {
            return bad("cluster.cloud.list_lag_s", "must be 0 or more");
        }
        if c.workers.authority_s() < LEAST_AUTHORITY_S {
            let least = "must be above lease_s by 1.5 s and a thousandth of itself at least";
            return bad("cluster.workers.cancel_s", least);
        }
        if c.state.txn_ops < 2 {
            return bad("cluster.state.txn_ops", "must be at least 2");
        }
        if let Err((field, why)) = c.state.check() {
            return bad(field, why);
        }
        if !(c.limits.cpu.is_finite() && c.limits.cpu > 0.0) {
            return bad("cluster.limits.cpu", "must be above 0");
        }
        if c.limits.mem_mb.is_some_and(|mb| !(mb.is_finite() && mb >= MIN_MEMORY_MB)) {
            return bad("cluster.limits.mem_mb", &format!("must be at least {MIN_MEMORY_MB}"));
        }
        if c.limits.max_connections < 32 {
            return bad("cluster.limits.max_connections", "must be at least 32");
        }
        for t in &c.teams {
            for (name, v) in
                [("cpus", t.cpus), ("cpus_max", t.cpus_max), ("gpus", t.gpus), ("gpus_max", t.gpus_max)]
            {
                if !(v.is_finite() && v >= 0.0) {
                    return bad(&format!("cluster.teams.{name}"), "must be 0 or more");
                }
            }
        }
        Ok(())
    }

    /// Times that leases between cells follow from.
    pub fn cell_timing(&self) -> CellTiming {
        CellTiming {
            worker_lease_ms: (self.cluster.workers.lease_s * 1000.0) as u64,
            cancel_ms: (self.cluster.workers.cancel_s * 1000.0) as u64,
            clock_error_ms: self.cluster.clock_off_ms.ceil() as u64,
        }
    }

    /// How long one proof of authority lasts, in milliseconds: short enough
    /// that a holder cut off from all but its workers lets their leases end
    /// within the time that a cancellation has.
    pub fn control_lease_ms(&self, op: &Operator) -> u64 {
        (op.block_lease_s.min(self.cluster.workers.authority_s()) * 1000.0) as u64
    }
}
