//! Real processes of the service on loopback, against this repository's fakes.

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
/// Checks after which a test that would never end is ended.
pub const MAX_CHECKS: u32 = 1_200;
/// Time between two checks.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Addresses of one controller.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For users and workers.
    pub front: SocketAddr,
    /// For the other controllers.
    pub inner: SocketAddr,
}

/// Settings of a cluster.
pub struct ClusterSettings {
    /// Names its folder.
    pub name: &'static str,
    /// Addresses of the controllers.
    pub nodes: Vec<Addresses>,
    /// Address of the cloud.
    pub cloud: SocketAddr,
    /// Address of the store.
    pub state: SocketAddr,
    /// Time between two heartbeats of a worker.
    pub report_s: f64,
    /// How long a worker's lease lasts.
    pub lease_s: f64,
    /// The time within which a cancelled job has to end.
    pub cancel_s: f64,
    /// The operators' file of each node.
    pub operator: Vec<String>,
}

/// Controllers as processes, with their settings on disk.
pub struct Cluster {
    files: Vec<(PathBuf, PathBuf)>,
    processes: Vec<Child>,
}

impl Cluster {
    /// Writes the settings; no process is started.
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
            // The logs of a node's processes stay on disk to trace a failure.
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

    /// Kills all processes and waits for their end.
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
    fn platform_text(&self, node: usize) -> String {
        let mut text = format!(
            "host_name=\"n{node}\"\ndomain=\"{}\"\nbind=\"{}\"\ninternal_addr=\"{}\"\n",
            ZONES[node % 2],
            self.nodes[node].front,
            self.nodes[node].inner
        );
        for peer in (0..self.nodes.len()).filter(|peer| *peer != node) {
            let (zone, inner) = (ZONES[peer % 2], self.nodes[peer].inner);
            write!(text, "[[known]]\nhost_name=\"n{peer}\"\ndomain=\"{zone}\"\nendpoint=\"{inner}\"\n")
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

/// Ports that were free a moment ago.
pub fn free_ports(count: usize) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind(("127.0.0.1", 0)).unwrap()).collect();
    listeners.iter().map(|listener| listener.local_addr().unwrap()).collect()
}

/// A job as its user submits it.
pub fn job(id: u32, tasks: u32) -> Value {
    json!({"name_id": format!("run-{id:06}"), "jobclass": "c", "crew": "t0", "shape": "batch",
        "urgency": "normal", "pieces": tasks, "cores": 4.0, "cards": 0.0, "memory_gb": 4.0,
        "hulltypes": null, "yard": null, "one_zone": false, "scatter": false, "standby": true,
        "bundle": "img", "pull_gb": 0.0, "guess_s": 12.0, "bookmark_s": 0.0, "stow_s": 0.0})
}

/// Asks any node until one answers as wanted.
pub async fn until(
    client: &reqwest::Client,
    front: &[SocketAddr],
    what: &str,
    ask: impl Fn(&reqwest::Client, SocketAddr) -> reqwest::RequestBuilder,
    wanted: impl Fn(u16, &Value) -> bool,
) {
    for look in 0..MAX_CHECKS {
        let address = front[look as usize % front.len()];
        if let Ok(response) = ask(client, address).timeout(Duration::from_secs(5)).send().await {
            let status = response.status().as_u16();
            let body = response.json::<Value>().await.unwrap_or_default();
            if wanted(status, &body) {
                return;
            }
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    panic!("never: {what}");
}

/// Submits a job until it is accepted.
pub async fn submit(client: &reqwest::Client, front: &[SocketAddr], job: &Value) {
    let post = |client: &reqwest::Client, address: SocketAddr| {
        client.post(format!("http://{address}/api/jobs")).json(job)
    };
    until(client, front, "accepted", post, |status, _| status == 200 || status == 201).await;
}

/// Asks about a job until it is done.
pub async fn until_done(client: &reqwest::Client, front: &[SocketAddr], id: u32) {
    let get = |client: &reqwest::Client, address: SocketAddr| {
        client.get(format!("http://{address}/api/jobs/run-{id:06}"))
    };
    let is_done = |status: u16, body: &Value| status == 200 && body["status"] == "done";
    until(client, front, &format!("run-{id:06} done"), get, is_done).await;
}

/// Checks again and again until something holds.
pub async fn until_seen(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..MAX_CHECKS {
        if holds() {
            return;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
    panic!("never: {what}");
}
