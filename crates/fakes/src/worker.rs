//! A fake worker. It sends heartbeats to the controllers and simulates tasks, each of which
//! occupies the worker for a fixed time and does nothing.

use crate::cloud::MACHINE_TYPE;
use crate::history::{AttemptEvent, History};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// Endpoint that all workers report. Fake workers accept no direct commands: connections to this
/// address are refused.
pub const UNREACHABLE_ENDPOINT: &str = "127.0.0.1:9";
/// How long a worker waits for the response to a heartbeat.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Delay before the next node is tried after a failed heartbeat.
const NEXT_NODE_DELAY: Duration = Duration::from_secs(1);
/// Interval at which a worker checks its tasks and its lease.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two heartbeats.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Settings shared by all workers.
#[derive(Debug, Clone)]
pub struct WorkerSettings {
    /// Names and addresses of the controllers, in the order in which they are tried.
    pub nodes: Vec<(String, SocketAddr)>,
    /// Interval between two heartbeats.
    pub heartbeat_interval: Duration,
    /// Duration of the lease. A worker that gets no response for this long drops all its tasks.
    pub lease_duration: Duration,
    /// Duration of each task.
    pub task_duration: Duration,
    /// History in which the events of all attempts are recorded.
    pub history: History,
}

/// A rented machine.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Name of the machine.
    pub name: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub spot: bool,
}

/// Identifies an attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct AttemptKey {
    task: String,
    attempt: u64,
}

/// The state of an attempt.
enum AttemptState {
    /// The attempt runs until this time.
    Running(Instant),
    /// The attempt ended for this cause, in the terms of the worker protocol.
    Ended(&'static str),
}

impl AttemptState {
    fn has_ended(&self) -> bool {
        matches!(self, AttemptState::Ended(_))
    }
}

struct Worker {
    machine: Machine,
    settings: WorkerSettings,
    attempts: HashMap<AttemptKey, AttemptState>,
    incarnation: u64,
    sequence: u64,
    fencing_token: u64,
    /// Index of the node that heartbeats go to.
    node: usize,
    /// Time from which the duration of the lease is counted.
    lease_start: Instant,
    /// Whether an attempt or the fencing token has changed since the last heartbeat.
    changed: bool,
}

/// Starts a worker. It runs until it is aborted with the returned handle.
pub fn spawn(machine: Machine, settings: WorkerSettings) -> AbortHandle {
    let worker = Worker {
        node: machine.name.len() % settings.nodes.len().max(1),
        machine,
        settings,
        attempts: HashMap::new(),
        incarnation: 1,
        sequence: 0,
        fencing_token: 0,
        lease_start: Instant::now(),
        changed: false,
    };
    tokio::spawn(worker.run()).abort_handle()
}

impl Worker {
    async fn run(mut self) {
        let client = reqwest::Client::new();
        let mut next_heartbeat = Instant::now();
        let mut last_heartbeat = Instant::now();
        loop {
            tokio::time::sleep(POLL_INTERVAL).await;
            self.check_lease();
            self.complete_attempts();
            let now = Instant::now();
            let is_early = self.changed && now >= last_heartbeat + MIN_HEARTBEAT_INTERVAL;
            if now < next_heartbeat && !is_early {
                continue;
            }
            last_heartbeat = now;
            next_heartbeat = now + self.send_heartbeat(&client).await;
        }
    }

    /// Drops all tasks and begins a new incarnation if the lease has expired.
    fn check_lease(&mut self) {
        if self.lease_start.elapsed() <= self.settings.lease_duration {
            return;
        }
        for (key, _) in self.attempts.drain() {
            record(&self.settings.history, &key, &self.machine, AttemptEvent::Stopped);
        }
        self.incarnation += 1;
        self.sequence = 0;
        self.lease_start = Instant::now();
    }

    /// Completes attempts that have run for the duration of a task.
    fn complete_attempts(&mut self) {
        for (key, state) in &mut self.attempts {
            if matches!(state, AttemptState::Running(ends_at) if Instant::now() >= *ends_at) {
                *state = AttemptState::Ended("done");
                record(&self.settings.history, key, &self.machine, AttemptEvent::Completed);
                self.changed = true;
            }
        }
    }

    /// Returns the body of a heartbeat.
    fn heartbeat_body(&self) -> Value {
        let attempts: Vec<Value> =
            self.attempts.iter().map(|(key, state)| attempt_json(key, state)).collect();
        json!({"hull": self.machine.name, "endpoint": UNREACHABLE_ENDPOINT, "hulltype": MACHINE_TYPE,
            "yard": self.machine.zone, "standby": self.machine.spot, "shift": self.incarnation,
            "tally": self.sequence, "baton": self.fencing_token, "warning_s": null, "pieces": attempts})
    }

    /// Sends a heartbeat. Returns the delay until the next one.
    async fn send_heartbeat(&mut self, client: &reqwest::Client) -> Duration {
        self.changed = false;
        self.sequence += 1;
        let sent_at = Instant::now();
        let (_, address) = &self.settings.nodes[self.node];
        let request = client.post(format!("http://{address}/checkin")).timeout(RESPONSE_TIMEOUT);
        let Ok(response) = request.json(&self.heartbeat_body()).send().await else {
            return self.try_next_node();
        };
        let status = response.status().as_u16();
        let Ok(body) = response.json::<Value>().await else { return self.try_next_node() };
        match status {
            200 => {
                self.accept_response(&body, sent_at);
                self.settings.heartbeat_interval
            }
            421 => self.follow_redirect(&body),
            _ => self.try_next_node(),
        }
    }

    /// Selects the shard owner that a response names, or else the next node. Returns the delay until
    /// the next heartbeat.
    fn follow_redirect(&mut self, body: &Value) -> Duration {
        let owner = body["foreman"].as_str().unwrap_or_default();
        match self.settings.nodes.iter().position(|(name, _)| name == owner) {
            Some(node) if node != self.node => {
                self.node = node;
                POLL_INTERVAL
            }
            _ => self.try_next_node(),
        }
    }

    fn try_next_node(&mut self) -> Duration {
        self.node = (self.node + 1) % self.settings.nodes.len();
        NEXT_NODE_DELAY
    }

    /// Processes a response unless its fencing token is stale: renews the lease from the time at
    /// which the heartbeat was sent, and executes the commands.
    fn accept_response(&mut self, body: &Value, sent_at: Instant) {
        let fencing_token = body["baton"].as_u64().unwrap_or_default();
        if fencing_token < self.fencing_token {
            return;
        }
        self.changed |= fencing_token > self.fencing_token;
        self.fencing_token = fencing_token;
        self.lease_start = self.lease_start.max(sent_at);
        for command in body["orders"].as_array().into_iter().flatten() {
            let task = command["piece"].as_str().unwrap_or_default().to_string();
            let attempt = command["try"].as_u64().unwrap_or_default();
            self.execute(command["verb"].as_str().unwrap_or_default(), AttemptKey { task, attempt });
        }
    }

    fn execute(&mut self, verb: &str, key: AttemptKey) {
        match (verb, self.attempts.get_mut(&key)) {
            ("run", None) => self.start(key),
            ("kill", Some(state)) if !state.has_ended() => {
                *state = AttemptState::Ended("halted");
                record(&self.settings.history, &key, &self.machine, AttemptEvent::Stopped);
                self.changed = true;
            }
            ("clear", Some(state)) if state.has_ended() => {
                self.attempts.remove(&key);
                self.changed = true;
            }
            _ => {}
        }
    }

    /// Starts an attempt, unless another attempt of the same task is running on this worker.
    fn start(&mut self, key: AttemptKey) {
        record(&self.settings.history, &key, &self.machine, AttemptEvent::CommandReceived);
        let is_in_use =
            self.attempts.iter().any(|(other, state)| other.task == key.task && !state.has_ended());
        let state = if is_in_use {
            AttemptState::Ended("in_use")
        } else {
            record(&self.settings.history, &key, &self.machine, AttemptEvent::Started);
            AttemptState::Running(Instant::now() + self.settings.task_duration)
        };
        self.attempts.insert(key, state);
        self.changed = true;
    }
}

fn record(history: &History, key: &AttemptKey, machine: &Machine, event: AttemptEvent) {
    history.record(&key.task, key.attempt, &machine.name, event);
}

fn attempt_json(key: &AttemptKey, state: &AttemptState) -> Value {
    let (status, cause) = match state {
        AttemptState::Running(_) => ("running", None),
        AttemptState::Ended(cause) => ("ended", Some(cause)),
    };
    json!({"piece": key.task, "try": key.attempt, "status": status, "cause": cause})
}
