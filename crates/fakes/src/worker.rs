//! A fake worker: sends heartbeats to the controllers and runs tasks that do nothing for a
//! while.

use crate::cloud::MACHINE_TYPE;
use crate::history::{History, Step};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::task::AbortHandle;

/// Workers take no direct commands: this address refuses all connections.
pub const NO_ADDRESS: &str = "127.0.0.1:9";
/// How long a worker waits for the response to a heartbeat.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time before the next node is tried after a failure.
const NEXT_NODE_DELAY: Duration = Duration::from_secs(1);
/// How often a worker looks after its tasks and its lease.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The shortest time between two heartbeats.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// What all workers have in common.
#[derive(Debug, Clone)]
pub struct WorkerSettings {
    /// Controllers by name, in the order in which they are tried.
    pub nodes: Vec<(String, SocketAddr)>,
    /// Time between two heartbeats.
    pub heartbeat: Duration,
    /// Time without a response after which all tasks are dropped.
    pub lease: Duration,
    /// How long each task runs.
    pub run: Duration,
    /// Where everything is recorded.
    pub history: History,
}

/// A rented machine.
#[derive(Debug, Clone)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
}

/// An attempt of a task.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct AttemptKey {
    task: String,
    attempt: u64,
}

/// How far an attempt is.
enum AttemptState {
    /// Running until this time.
    Running(Instant),
    /// Ended for this cause, as the protocol names it.
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
    lease_from: Instant,
    /// Whether anything has changed since the last heartbeat.
    changed: bool,
}

/// Starts a worker; it ends when it is aborted.
pub fn spawn(machine: Machine, settings: WorkerSettings) -> AbortHandle {
    let worker = Worker {
        node: machine.name.len() % settings.nodes.len().max(1),
        machine,
        settings,
        attempts: HashMap::new(),
        incarnation: 1,
        sequence: 0,
        fencing_token: 0,
        lease_from: Instant::now(),
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

    /// Drops all tasks when the lease has expired; a new incarnation begins.
    fn check_lease(&mut self) {
        if self.lease_from.elapsed() <= self.settings.lease {
            return;
        }
        for (key, _) in self.attempts.drain() {
            record(&self.settings.history, &key, &self.machine, Step::Stopped);
        }
        self.incarnation += 1;
        self.sequence = 0;
        self.lease_from = Instant::now();
    }

    /// Completes attempts whose time is over.
    fn complete_attempts(&mut self) {
        for (key, state) in &mut self.attempts {
            if matches!(state, AttemptState::Running(ends) if Instant::now() >= *ends) {
                *state = AttemptState::Ended("done");
                record(&self.settings.history, key, &self.machine, Step::Completed);
                self.changed = true;
            }
        }
    }

    /// The body of a heartbeat.
    fn message(&self) -> Value {
        let attempts: Vec<Value> =
            self.attempts.iter().map(|(key, state)| attempt_message(key, state)).collect();
        json!({"hull": self.machine.name, "endpoint": NO_ADDRESS, "hulltype": MACHINE_TYPE,
            "yard": self.machine.zone, "standby": self.machine.spot, "shift": self.incarnation,
            "tally": self.sequence, "baton": self.fencing_token, "warning_s": null, "pieces": attempts})
    }

    /// Sends a heartbeat; the result is the time until the next one.
    async fn send_heartbeat(&mut self, client: &reqwest::Client) -> Duration {
        self.changed = false;
        self.sequence += 1;
        let sent = Instant::now();
        let (_, address) = &self.settings.nodes[self.node];
        let request = client.post(format!("http://{address}/checkin")).timeout(RESPONSE_TIMEOUT);
        let Ok(response) = request.json(&self.message()).send().await else {
            return self.try_next_node();
        };
        let status = response.status().as_u16();
        let Ok(body) = response.json::<Value>().await else { return self.try_next_node() };
        match status {
            200 => {
                self.accept(&body, sent);
                self.settings.heartbeat
            }
            421 => self.follow_redirect(&body),
            _ => self.try_next_node(),
        }
    }

    /// Turns to the node that a response names, if that is another one.
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

    /// Takes a response in, unless its fencing token is out of date: renews the lease from
    /// the time at which the heartbeat was sent, and executes the commands.
    fn accept(&mut self, body: &Value, sent: Instant) {
        let fencing_token = body["baton"].as_u64().unwrap_or_default();
        if fencing_token < self.fencing_token {
            return;
        }
        self.changed |= fencing_token > self.fencing_token;
        self.fencing_token = fencing_token;
        self.lease_from = self.lease_from.max(sent);
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
                record(&self.settings.history, &key, &self.machine, Step::Stopped);
                self.changed = true;
            }
            ("clear", Some(state)) if state.has_ended() => {
                self.attempts.remove(&key);
                self.changed = true;
            }
            _ => {}
        }
    }

    /// Starts an attempt, unless another attempt of the task is here.
    fn start(&mut self, key: AttemptKey) {
        record(&self.settings.history, &key, &self.machine, Step::Ordered);
        let is_in_use =
            self.attempts.iter().any(|(other, state)| other.task == key.task && !state.has_ended());
        let state = if is_in_use {
            AttemptState::Ended("in_use")
        } else {
            record(&self.settings.history, &key, &self.machine, Step::Started);
            AttemptState::Running(Instant::now() + self.settings.run)
        };
        self.attempts.insert(key, state);
        self.changed = true;
    }
}

fn record(history: &History, key: &AttemptKey, machine: &Machine, step: Step) {
    history.record(&key.task, key.attempt, &machine.name, step);
}

fn attempt_message(key: &AttemptKey, state: &AttemptState) -> Value {
    let (status, cause) = match state {
        AttemptState::Running(_) => ("running", None),
        AttemptState::Ended(cause) => ("ended", Some(cause)),
    };
    json!({"piece": key.task, "try": key.attempt, "status": status, "cause": cause})
}
