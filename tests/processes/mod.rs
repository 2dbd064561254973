//! Runs real processes of the service on loopback, against this repository's fakes.

#![allow(dead_code, reason = "each test file uses a part of it")]

use serde_json::{Value, json};
use std::fmt::Write as _;
use std::fs::OpenOptions;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// The zones of each cluster; nodes alternate between them.
pub const ZONES: [&str; 2] = ["east", "west"];
/// Number of unsuccessful checks after which a test that would not end otherwise is aborted.
pub const MAX_CHECKS: u32 = 1_200;
/// Time between two checks.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Listening addresses of one controller.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Address for users and workers.
    pub public: SocketAddr,
    /// Address for the other controllers.
    pub internal: SocketAddr,
}

/// Settings of a cluster.
pub struct ClusterSettings {
    /// Name of the directory for its files.
    pub name: &'static str,
    /// Addresses of the controllers.
    pub nodes: Vec<Addresses>,
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Address of the store.
    pub state: SocketAddr,
    /// Heartbeat interval of a worker.
    pub report_s: f64,
    /// Duration of a worker's lease.
    pub lease_s: f64,
    /// Time within which all tasks of a cancelled job must have ended.
    pub cancel_s: f64,
    /// Contents of each node's operator settings file.
    pub operator: Vec<String>,
}

/// Controllers that run as processes, with their settings on disk.
pub struct Cluster {
    /// The platform and the operator settings file of each node.
    files: Vec<(PathBuf, PathBuf)>,
    processes: Vec<Child>,
}

impl Cluster {
    /// Writes the settings files and removes old logs, without starting a process.
    pub fn new(settings: &ClusterSettings) -> Cluster {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(settings.name);
        std::fs::create_dir_all(&directory).unwrap();
        let mut files = Vec::new();
        for (node, operator) in settings.operator.iter().enumerate() {
            let (platform_file, operator_file) =
                (directory.join(format!("n{node}.toml")), directory.join(format!("n{node}.ini")));
            std::fs::write(&platform_file, settings.platform_text(node)).unwrap();
            std::fs::write(&operator_file, operator).unwrap();
            let _ = std::fs::remove_file(platform_file.with_extension("log"));
            files.push((platform_file, operator_file));
        }
        Cluster { files, processes: Vec::new() }
    }

    /// Starts a process for each node.
    pub fn start(&mut self) {
        for (platform, operator) in &self.files {
            // Logs of the node's processes stay on disk for the analysis of failures.
            let log = OpenOptions::new().create(true).append(true).open(platform.with_extension("log"));
            let process = Command::new(env!("CARGO_BIN_EXE_woadlever"))
                .arg("--operator")
                .arg(operator)
                .arg("--config")
                .arg(platform)
                .env("LOG_LEVEL", "info")
                .stderr(log.map_or_else(|_| Stdio::null(), Stdio::from))
                .spawn()
                .unwrap();
            self.processes.push(process);
        }
    }

    /// Kills all processes and waits until they have ended.
    pub fn kill(&mut self) {
        for mut process in self.processes.drain(..) {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.kill();
    }
}

impl ClusterSettings {
    /// Returns the platform settings of one node.
    fn platform_text(&self, node: usize) -> String {
        let mut text = format!(
            "host_name=\"n{node}\"\ndomain=\"{}\"\nbind=\"{}\"\ninternal_addr=\"{}\"\n",
            ZONES[node % 2],
            self.nodes[node].public,
            self.nodes[node].internal
        );
        for peer in (0..self.nodes.len()).filter(|peer| *peer != node) {
            let (zone, internal) = (ZONES[peer % 2], self.nodes[peer].internal);
            write!(
                text,
                "[[known]]\nhost_name=\"n{peer}\"\ndomain=\"{zone}\"\nendpoint=\"{internal}\"\n"
            )
            .unwrap();
        }
        let (cloud, state) = (self.cloud, self.state);
        let (report_s, lease_s, cancel_s) = (self.report_s, self.lease_s, self.cancel_s);
        write!(
            text,
            "[endpoints]\ncloud=\"{cloud}\"\nstate=\"{state}\"\n[cluster]\nzones=[\"east\",\"west\"]\n\
             [[cluster.teams]]\nname=\"t0\"\ncpus=4000.0\ncpus_max=8000.0\n\
             [cluster.workers]\nreport_s={report_s:?}\nlease_s={lease_s:?}\ncancel_s={cancel_s:?}\n\
             [cluster.state]\nrps=2000.0\nwrite_rps=500.0\nvalue_kb=16.0\ntxn_ops=40\n\
             [cluster.cloud]\nrps=20.0\nlist_lag_s=1.0\n[cluster.limits]\nmax_connections=1500\n"
        )
        .unwrap();
        text
    }
}

/// Returns loopback addresses with different ports, which were free at the time of the call.
pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind(("127.0.0.1", 0)).unwrap()).collect();
    listeners.iter().map(|listener| listener.local_addr().unwrap()).collect()
}

/// Returns the submission of a batch job with the id `run-{id}`.
pub fn job(id: u32, tasks: u32) -> Value {
    json!({"name_id": format!("run-{id:06}"), "jobclass": "c", "crew": "t0", "shape": "batch",
        "urgency": "normal", "pieces": tasks, "cores": 4.0, "cards": 0.0, "memory_gb": 4.0,
        "hulltypes": null, "yard": null, "one_zone": false, "scatter": false, "standby": true,
        "bundle": "img", "pull_gb": 0.0, "guess_s": 12.0, "bookmark_s": 0.0, "stow_s": 0.0})
}

/// Sends a request to the nodes in turn until one answers as wanted; panics after
/// [`MAX_CHECKS`] attempts.
pub async fn poll_until(
    client: &reqwest::Client,
    addresses: &[SocketAddr],
    what: &str,
    request: impl Fn(&reqwest::Client, SocketAddr) -> reqwest::RequestBuilder,
    wanted: impl Fn(u16, &Value) -> bool,
) {
    for attempt in 0..MAX_CHECKS {
        let address = addresses[attempt as usize % addresses.len()];
        if let Ok(response) = request(client, address).timeout(Duration::from_secs(5)).send().await {
            let status = response.status().as_u16();
            let body = response.json::<Value>().await.unwrap_or_default();
            if wanted(status, &body) {
                return;
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    panic!("timed out waiting for: {what}");
}

/// Submits a job to the nodes in turn until it is accepted.
pub async fn submit(client: &reqwest::Client, addresses: &[SocketAddr], job: &Value) {
    let post = |client: &reqwest::Client, address: SocketAddr| {
        client.post(format!("http://{address}/api/jobs")).json(job)
    };
    poll_until(client, addresses, "accepted", post, |status, _| status == 200 || status == 201).await;
}

/// Queries the status of a job until it is done.
pub async fn until_done(client: &reqwest::Client, addresses: &[SocketAddr], id: u32) {
    let get = |client: &reqwest::Client, address: SocketAddr| {
        client.get(format!("http://{address}/api/jobs/run-{id:06}"))
    };
    let is_done = |status: u16, body: &Value| status == 200 && body["status"] == "done";
    poll_until(client, addresses, &format!("run-{id:06} done"), get, is_done).await;
}

/// Checks repeatedly until a condition holds; panics after [`MAX_CHECKS`] checks.
pub async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..MAX_CHECKS {
        if holds() {
            return;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    panic!("timed out waiting for: {what}");
}
