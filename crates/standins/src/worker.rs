//! A worker: reports to the controllers and runs tasks that do nothing for a while.

use crate::cloud::MACHINE_TYPE;
use crate::history::{History, Step};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// Workers take no direct commands: this address refuses all connections.
pub const NO_ADDRESS: &str = "127.0.0.1:9";
const PATIENCE: Duration = Duration::from_secs(4);
const NEXT_NODE: Duration = Duration::from_secs(1);
const LOOK: Duration = Duration::from_millis(50);
const LEAST_BETWEEN_REPORTS: Duration = Duration::from_millis(500);

/// What all workers have in common.
#[derive(Debug, Clone)]
pub struct WorkerSettings {
    /// Controllers by name, in the order in which they are tried.
    pub nodes: Vec<(String, SocketAddr)>,
    /// Time between two reports.
    pub heartbeat: Duration,
    /// Time without an answer after which all tasks are dropped.
    pub lease: Duration,
    /// How long each task runs.
    pub run: Duration,
    /// Where everything is noted.
    pub history: History,
}

/// A rented machine.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

struct Task {
    status: &'static str,
    cause: Option<&'static str>,
    ends: Instant,
}

struct Worker {
    machine: Machine,
    settings: WorkerSettings,
    tasks: HashMap<(String, u64), Task>,
    shift: u64,
    tally: u64,
    baton: u64,
    node: usize,
    lease_from: Instant,
    changed: bool,
}

/// Starts a worker; it ends when it is aborted.
pub fn spawn(machine: Machine, settings: WorkerSettings) -> AbortHandle {
    let worker = Worker {
        node: machine.name.len() % settings.nodes.len().max(1),
        machine,
        settings,
        tasks: HashMap::new(),
        shift: 1,
        tally: 0,
        baton: 0,
        lease_from: Instant::now(),
        changed: false,
    };
    tokio::spawn(worker.run()).abort_handle()
}

impl Worker {
    async fn run(mut self) {
        let client = reqwest::Client::new();
        let mut next_report = Instant::now();
        let mut last_heartbeat = Instant::now();
        loop {
            tokio::time::sleep(LOOK).await;
            self.advance();
            let now = Instant::now();
            let early = self.changed && now >= last_heartbeat + LEAST_BETWEEN_REPORTS;
            if now < next_report && !early {
                continue;
            }
            last_heartbeat = now;
            next_report = now + self.heartbeat(&client).await;
        }
    }

    /// Tasks that end, and the lease.
    fn advance(&mut self) {
        if self.lease_from.elapsed() > self.settings.lease {
            for ((task, attempt), _) in self.tasks.drain() {
                self.settings.history.note(&task, attempt, &self.machine.name, Step::Stopped);
            }
            self.shift += 1;
            self.tally = 0;
            self.lease_from = Instant::now();
        }
        for ((task, attempt), state) in &mut self.tasks {
            if state.status == "running" && Instant::now() >= state.ends {
                state.status = "ended";
                state.cause = Some("done");
                self.settings.history.note(task, *attempt, &self.machine.name, Step::Completed);
                self.changed = true;
            }
        }
    }

    fn message(&self) -> Value {
        let pieces: Vec<Value> = self
            .tasks
            .iter()
            .map(|((task, attempt), state)| {
                json!({"piece": task, "try": attempt, "status": state.status, "cause": state.cause})
            })
            .collect();
        json!({"hull": self.machine.name, "endpoint": NO_ADDRESS, "hulltype": MACHINE_TYPE,
            "yard": self.machine.zone, "standby": self.machine.spot, "shift": self.shift,
            "tally": self.tally, "baton": self.baton, "warning_s": null, "pieces": pieces})
    }

    /// Sends a report; the time until the next one.
    async fn heartbeat(&mut self, client: &reqwest::Client) -> Duration {
        self.changed = false;
        self.tally += 1;
        let sent = Instant::now();
        let address = self.settings.nodes[self.node].1;
        let request = client.post(format!("http://{address}/checkin")).timeout(PATIENCE);
        let Ok(response) = request.json(&self.message()).send().await else { return self.move_on() };
        let status = response.status().as_u16();
        let Ok(body) = response.json::<Value>().await else { return self.move_on() };
        match status {
            200 => {
                self.obey(&body, sent);
                self.settings.heartbeat
            }
            421 => {
                let shard_owner = body["foreman"].as_str().unwrap_or_default();
                match self.settings.nodes.iter().position(|(name, _)| name == shard_owner) {
                    Some(node) if node != self.node => {
                        self.node = node;
                        LOOK
                    }
                    _ => self.move_on(),
                }
            }
            _ => self.move_on(),
        }
    }

    fn move_on(&mut self) -> Duration {
        self.node = (self.node + 1) % self.settings.nodes.len();
        NEXT_NODE
    }

    fn obey(&mut self, body: &Value, sent: Instant) {
        let baton = body["baton"].as_u64().unwrap_or_default();
        if baton < self.baton {
            return;
        }
        self.changed |= baton > self.baton;
        self.baton = baton;
        self.lease_from = self.lease_from.max(sent);
        for order in body["orders"].as_array().into_iter().flatten() {
            let task = order["piece"].as_str().unwrap_or_default().to_string();
            let attempt = order["try"].as_u64().unwrap_or_default();
            self.execute(order["verb"].as_str().unwrap_or_default(), task, attempt);
        }
    }

    fn execute(&mut self, verb: &str, task: String, attempt: u64) {
        let history = &self.settings.history;
        let key = (task, attempt);
        let known = self.tasks.get_mut(&key);
        match (verb, known) {
            ("run", None) => {
                history.note(&key.0, attempt, &self.machine.name, Step::Ordered);
                let in_use = self.tasks.iter().any(|((t, _), s)| *t == key.0 && s.status != "ended");
                let ends = Instant::now() + self.settings.run;
                let (status, cause) = if in_use { ("ended", Some("in_use")) } else { ("running", None) };
                if !in_use {
                    history.note(&key.0, attempt, &self.machine.name, Step::Started);
                }
                self.tasks.insert(key, Task { status, cause, ends });
                self.changed = true;
            }
            ("kill", Some(state)) if state.status != "ended" => {
                state.status = "ended";
                state.cause = Some("halted");
                history.note(&key.0, attempt, &self.machine.name, Step::Stopped);
                self.changed = true;
            }
            ("clear", Some(state)) if state.status == "ended" => {
                self.tasks.remove(&key);
                self.changed = true;
            }
            _ => {}
        }
    }
}
