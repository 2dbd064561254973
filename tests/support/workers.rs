//! Fakes of workers, written from the protocol.

use super::events::Event;
use super::network::WORKERS;
use super::{Answer, LEASE_MS, World};
use rand::RngExt;
use serde_json::Value;
use std::collections::HashMap;
use woadlever::wire::workers::{
    Command, CommandAction, DirectCommands, HeartbeatResponse, HeartbeatTask, TaskState, WorkerHeartbeat,
};

/// A worker gives an answer up after this time.
const TIMEOUT_MS: u64 = 4_000;

/// A task that a worker knows.
pub struct WorkerTask {
    /// Id of its job.
    pub job: String,
    /// Number of the task in its job.
    pub task: u32,
    /// Number of the attempt.
    pub attempt: u64,
    /// What it does now.
    pub state: TaskState,
    /// Why it has exited.
    pub why: Option<String>,
    /// When its state changes next by itself.
    pub at: u64,
}

/// A machine and the worker on it.
pub struct Worker {
    /// Name of the machine; also the address of its worker.
    pub name: String,
    /// Name of the machine type.
    pub type_name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// When it was rented.
    pub rented: u64,
    /// When it has booted.
    pub up_at: u64,
    /// False once the machine is gone for good.
    pub alive: bool,
    /// It sends no heartbeats, and nothing reaches it.
    pub cut: bool,
    /// Its heartbeats reach nobody, while direct commands reach it.
    pub mute: bool,
    /// It hangs until then: it does nothing, and what reaches it waits.
    pub hung_until: u64,
    /// Its tasks fail as soon as they start.
    pub sick: bool,
    /// Counts the ends of its lease, from 1.
    pub incarnation: u64,
    /// Number of its last heartbeat in this incarnation.
    pub sequence: u64,
    /// The newest fencing token that it has seen.
    pub fencing_token: u64,
    /// Tasks that it lists in its heartbeats.
    pub tasks: Vec<WorkerTask>,
    /// When the last answered heartbeat was sent.
    pub(super) lease_from: u64,
    /// The heartbeat that waits for its answer.
    pub(super) in_flight: Option<SentHeartbeat>,
    /// When the next heartbeat is due.
    pub(super) next_at: u64,
    /// When the last heartbeat was sent.
    pub(super) heartbeat_at: u64,
    /// The node that it sends its heartbeats to.
    pub(super) node: usize,
    /// Whether it has news since its last heartbeat.
    pub(super) changed: bool,
}

/// A heartbeat that waits for its answer.
#[derive(Clone, Copy)]
pub(super) struct SentHeartbeat {
    id: u64,
    sent_at: u64,
}

impl Worker {
    /// The heartbeat that it would send now.
    pub fn heartbeat(&self) -> WorkerHeartbeat {
        WorkerHeartbeat {
            machine: self.name.clone(),
            addr: self.name.clone(),
            machine_type: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            incarnation: self.incarnation,
            sequence: self.sequence,
            fencing_token: self.fencing_token,
            preemption_notice_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|known| HeartbeatTask {
                    task: format!("{}/{}", known.job, known.task),
                    attempt: known.attempt,
                    state: known.state,
                    why: known.why.clone(),
                })
                .collect(),
        }
    }
}

impl WorkerTask {
    /// Whether it uses its machine.
    pub(super) fn runs(&self) -> bool {
        matches!(self.state, TaskState::Running | TaskState::Saving)
    }

    fn exit(&mut self, why: &str) {
        self.state = TaskState::Exited;
        self.why = Some(why.into());
    }
}

impl Worker {
    /// At the end of its lease a worker drops its tasks and begins a new incarnation.
    fn expire_lease(&mut self, now: u64) {
        if now > self.lease_from + LEASE_MS {
            self.tasks.clear();
            self.incarnation += 1;
            self.sequence = 0;
            self.lease_from = now;
            self.in_flight = None;
        }
    }

    /// Starts and ends tasks; those that were started.
    fn advance_tasks(&mut self, now: u64, run_ms: u64) -> Vec<(String, u32)> {
        let mut started = Vec::new();
        for task in self.tasks.iter_mut().filter(|task| now >= task.at) {
            if task.state == TaskState::Fetching {
                task.state = TaskState::Running;
                task.at = now + run_ms;
                started.push((task.job.clone(), task.task));
                self.changed = true;
                if self.sick {
                    task.exit("error");
                }
            } else if task.state == TaskState::Running {
                task.exit("done");
                self.changed = true;
            }
        }
        started
    }

    /// A heartbeat without an answer is given up, and the next goes to another node.
    fn give_up_heartbeat(&mut self, now: u64, nodes: usize) {
        if self.in_flight.is_some_and(|heartbeat| now > heartbeat.sent_at + TIMEOUT_MS) {
            self.in_flight = None;
            self.node = (self.node + 1) % nodes;
            self.next_at = now + 1000;
        }
    }

    fn is_heartbeat_due(&self, now: u64) -> bool {
        let has_news = self.changed && now >= self.heartbeat_at + 500;
        self.in_flight.is_none() && (now >= self.next_at || has_news) && !self.cut
    }

    fn note_sent(&mut self, id: u64, now: u64, gap: u64) {
        self.changed = false;
        self.sequence += 1;
        self.in_flight = Some(SentHeartbeat { id, sent_at: now });
        self.heartbeat_at = now;
        self.next_at = now + gap;
    }

    /// Carries out a command from the answer to a heartbeat; a task that starts has its image
    /// after `fetch_ms`.
    fn obey(&mut self, command: &Command, now: u64, fetch_ms: u64) {
        let Some((job, task)) = command.task.rsplit_once('/') else { return };
        let task: u32 = task.parse().unwrap();
        let is_same_task = |known: &WorkerTask| known.job == job && known.task == task;
        let is_it = |known: &WorkerTask| is_same_task(known) && known.attempt == command.attempt;
        match (command.action, self.tasks.iter().position(is_it)) {
            (CommandAction::Start, None) => {
                let is_alive = |known: &WorkerTask| known.state != TaskState::Exited;
                let busy = self.tasks.iter().any(|known| is_same_task(known) && is_alive(known));
                self.tasks.push(WorkerTask {
                    job: job.into(),
                    task,
                    attempt: command.attempt,
                    state: if busy { TaskState::Exited } else { TaskState::Fetching },
                    why: busy.then(|| "in_use".into()),
                    at: now + fetch_ms,
                });
            }
            (CommandAction::Stop, Some(found)) if self.tasks[found].state != TaskState::Exited => {
                self.tasks[found].exit("halted");
            }
            (CommandAction::Forget, Some(found)) if self.tasks[found].state == TaskState::Exited => {
                self.tasks.remove(found);
            }
            _ => return,
        }
        self.changed = true;
    }
}

/// Commands that arrived at workers.
#[derive(Debug, Clone, Default)]
pub struct CommandCounts {
    /// Attempts that workers were told to run, by how often.
    pub runs: HashMap<(String, u64), u32>,
    /// Commands to stop an attempt.
    pub stops: u32,
    /// Commands to forget an attempt that has exited.
    pub clears: u32,
}

impl CommandCounts {
    fn count(&mut self, command: &Command) {
        match command.action {
            CommandAction::Start => {
                *self.runs.entry((command.task.clone(), command.attempt)).or_default() += 1;
            }
            CommandAction::Stop => self.stops += 1,
            CommandAction::Forget => self.clears += 1,
        }
    }

    /// Attempts that workers were told to run.
    pub fn attempts(&self) -> usize {
        self.runs.len()
    }
}

impl World {
    /// Adds a machine that boots for `boot` ms; its name.
    pub fn add_worker(&mut self, number: usize, zone: &str, spot: bool, boot: u64) -> String {
        let name = format!("host-{number:06}");
        let up_at = self.now + boot;
        self.workers.push(Worker {
            name: name.clone(),
            type_name: "m16".into(),
            zone: zone.into(),
            spot,
            rented: self.now,
            up_at,
            alive: true,
            cut: false,
            mute: false,
            hung_until: 0,
            sick: false,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            tasks: Vec::new(),
            lease_from: up_at,
            in_flight: None,
            next_at: up_at,
            heartbeat_at: 0,
            node: number % self.node_count,
            changed: false,
        });
        name
    }

    /// The worker's process starts anew on the same machine.
    pub fn restart_worker(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        (worker.incarnation, worker.sequence, worker.fencing_token) = (1, 0, 0);
        worker.tasks.clear();
        worker.lease_from = now;
        worker.in_flight = None;
        worker.next_at = now;
    }

    /// Lets the time pass for one worker.
    pub(super) fn worker_tick(&mut self, index: usize) {
        let now = self.now;
        let jitter = self.rng.random_range(0..1500);
        let worker = &mut self.workers[index];
        if !worker.alive || now < worker.up_at {
            return;
        }
        // A machine that hangs may go on within its lease only.
        worker.expire_lease(now);
        if now < worker.hung_until {
            return;
        }
        let started = worker.advance_tasks(now, self.run_ms);
        worker.give_up_heartbeat(now, self.node_count);
        if worker.is_heartbeat_due(now) {
            let gap = if self.size.has_frequent_heartbeats() {
                2_250 + jitter
            } else {
                6_000 + jitter * 8 / 3
            };
            let id = self.sequence + 1;
            worker.note_sent(id, now, gap);
            let (node, heartbeat) = (worker.node, Box::new(worker.heartbeat()));
            if !worker.mute && !self.network.is_cut(node, WORKERS) {
                self.push(2, Event::WorkerHeartbeat { worker: index, id, node, heartbeat });
            }
        }
        for (job, task) in started {
            self.check_start(index, &job, task);
        }
    }

    /// The answer to a heartbeat reaches its worker.
    pub(super) fn on_heartbeat_response(&mut self, index: usize, id: u64, answer: Answer) {
        let now = self.now;
        let nodes = self.node_count;
        let worker = &mut self.workers[index];
        let Some(heartbeat) = worker.in_flight.filter(|heartbeat| heartbeat.id == id) else { return };
        if !worker.alive || worker.cut || now > heartbeat.sent_at + TIMEOUT_MS {
            return;
        }
        worker.in_flight = None;
        match answer.status {
            200 => {}
            421 => {
                let redirect: Value = serde_json::from_str(&answer.body).unwrap_or_default();
                let to = redirect["foreman"].as_str().and_then(|node| node[1..].parse().ok());
                worker.node = to.unwrap_or((worker.node + 1) % nodes);
                worker.next_at = now + 100;
                return;
            }
            _ => {
                worker.node = (worker.node + 1) % nodes;
                worker.next_at = now + 1000;
                return;
            }
        }
        let response: HeartbeatResponse =
            serde_json::from_str(&answer.body).expect("answer to a heartbeat");
        if response.fencing_token < worker.fencing_token {
            return;
        }
        worker.changed |= response.fencing_token > worker.fencing_token;
        worker.fencing_token = response.fencing_token;
        worker.lease_from = worker.lease_from.max(heartbeat.sent_at);
        for command in response.commands {
            self.commands.count(&command);
            worker.obey(&command, now, self.fetch_ms);
        }
    }

    /// A command that came straight to the worker.
    pub(super) fn on_direct_commands(&mut self, index: usize, direct: DirectCommands) {
        let worker = &mut self.workers[index];
        if !worker.alive || worker.cut {
            return;
        }
        // The answer is a heartbeat, and counts as one.
        worker.sequence += 1;
        if direct.fencing_token < worker.fencing_token || direct.incarnation != worker.incarnation {
            return;
        }
        worker.fencing_token = direct.fencing_token;
        for command in direct.commands {
            assert_eq!(
                command.action,
                CommandAction::Stop,
                "a direct command may be carried out minutes late"
            );
            let (job, task) = command.task.rsplit_once('/').unwrap();
            let task: u32 = task.parse().unwrap();
            let is_it = |known: &&mut WorkerTask| {
                known.job == job && known.task == task && known.attempt == command.attempt
            };
            let found = worker.tasks.iter_mut().find(is_it);
            if let Some(stopped) = found.filter(|found| found.state != TaskState::Exited) {
                stopped.exit("halted");
                worker.changed = true;
            }
        }
    }
}
