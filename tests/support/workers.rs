//! In-memory fakes of workers, written from the protocol.

use super::events::Event;
use super::network::WORKERS;
use super::{Answer, LEASE_MS, World};
use rand::RngExt;
use serde_json::Value;
use std::collections::HashMap;
use woadlever::wire::workers::{
    Command, CommandAction, DirectCommands, HeartbeatResponse, HeartbeatTask, TaskState, WorkerHeartbeat,
};

/// Time after which a worker stops waiting for the answer to a heartbeat.
const HEARTBEAT_TIMEOUT_MS: u64 = 4_000;

/// A task on a worker. The worker lists it in its heartbeats until a command to forget it arrives.
pub struct WorkerTask {
    /// Id of its job.
    pub job: String,
    /// Number of the task in its job.
    pub task: u32,
    /// Number of the attempt.
    pub attempt: u64,
    /// Current state of the task.
    pub state: TaskState,
    /// Why the task has ended, if it has.
    pub end_reason: Option<String>,
    /// Time of the next transition: the end of the fetch or of the run.
    pub next_transition_at: u64,
}

/// A machine and the worker on it.
pub struct Worker {
    /// Name of the machine; also the address of its worker.
    pub name: String,
    /// Name of the machine type.
    pub type_name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether the machine is a spot instance.
    pub spot: bool,
    /// Time at which the machine was created.
    pub created_at: u64,
    /// Time at which the machine has booted.
    pub up_at: u64,
    /// Whether the machine still exists.
    pub alive: bool,
    /// Whether the worker is unreachable: it sends no heartbeats, and nothing reaches it.
    pub unreachable: bool,
    /// Whether the worker's heartbeats are lost, while direct commands reach it.
    pub heartbeats_lost: bool,
    /// Time until which the worker hangs: it does nothing, and messages to it wait.
    pub hung_until: u64,
    /// Whether all tasks on the worker fail as soon as they start.
    pub fails_tasks: bool,
    /// Incarnation of the worker: 1 at first, and one more each time its lease expires.
    pub incarnation: u64,
    /// Sequence number of the last heartbeat in this incarnation.
    pub sequence: u64,
    /// The highest fencing token that the worker has seen.
    pub fencing_token: u64,
    /// Tasks that the worker lists in its heartbeats.
    pub tasks: Vec<WorkerTask>,
    /// Start of the lease: the time at which the last answered heartbeat was sent.
    pub(super) lease_from: u64,
    /// The heartbeat that is waiting for an answer, if any.
    pub(super) in_flight: Option<SentHeartbeat>,
    /// Time at which the next heartbeat is due.
    pub(super) next_at: u64,
    /// Time at which the last heartbeat was sent.
    pub(super) heartbeat_at: u64,
    /// The node that the worker sends its heartbeats to.
    pub(super) node: usize,
    /// Whether the worker's state has changed since its last heartbeat.
    pub(super) changed: bool,
}

/// A heartbeat that is waiting for an answer.
#[derive(Clone, Copy)]
pub(super) struct SentHeartbeat {
    id: u64,
    sent_at: u64,
}

impl Worker {
    /// Returns the heartbeat that the worker would send now.
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
                    end_reason: known.end_reason.clone(),
                })
                .collect(),
        }
    }
}

impl WorkerTask {
    /// Whether the task is running or saving and so uses resources of its machine.
    pub(super) fn runs(&self) -> bool {
        matches!(self.state, TaskState::Running | TaskState::Saving)
    }

    fn exit(&mut self, end_reason: &str) {
        self.state = TaskState::Ended;
        self.end_reason = Some(end_reason.into());
    }
}

impl Worker {
    /// Drops all tasks and begins a new incarnation if the lease has expired.
    fn expire_lease(&mut self, now: u64) {
        if now > self.lease_from + LEASE_MS {
            self.tasks.clear();
            self.incarnation += 1;
            self.sequence = 0;
            self.lease_from = now;
            self.in_flight = None;
        }
    }

    /// Starts and ends tasks whose transition is due. Returns the tasks that were started.
    fn advance_tasks(&mut self, now: u64, task_duration_ms: u64) -> Vec<(String, u32)> {
        let mut started = Vec::new();
        for task in self.tasks.iter_mut().filter(|task| now >= task.next_transition_at) {
            if task.state == TaskState::Fetching {
                task.state = TaskState::Running;
                task.next_transition_at = now + task_duration_ms;
                started.push((task.job.clone(), task.task));
                self.changed = true;
                if self.fails_tasks {
                    task.exit("error");
                }
            } else if task.state == TaskState::Running {
                task.exit("done");
                self.changed = true;
            }
        }
        started
    }

    /// Stops waiting for a heartbeat that has timed out, and sends the next one to another node.
    fn time_out_heartbeat(&mut self, now: u64, nodes: usize) {
        if self.in_flight.is_some_and(|heartbeat| now > heartbeat.sent_at + HEARTBEAT_TIMEOUT_MS) {
            self.in_flight = None;
            self.node = (self.node + 1) % nodes;
            self.next_at = now + 1000;
        }
    }

    fn is_heartbeat_due(&self, now: u64) -> bool {
        let has_news = self.changed && now >= self.heartbeat_at + 500;
        self.in_flight.is_none() && (now >= self.next_at || has_news) && !self.unreachable
    }

    fn note_sent(&mut self, id: u64, now: u64, interval: u64) {
        self.changed = false;
        self.sequence += 1;
        self.in_flight = Some(SentHeartbeat { id, sent_at: now });
        self.heartbeat_at = now;
        self.next_at = now + interval;
    }

    /// Executes a command from the answer to a heartbeat. The image of a new task is fetched after
    /// `fetch_ms`.
    fn execute_command(&mut self, command: &Command, now: u64, fetch_ms: u64) {
        let Some((job, task)) = command.task.rsplit_once('/') else { return };
        let task: u32 = task.parse().unwrap();
        let is_same_task = |known: &WorkerTask| known.job == job && known.task == task;
        let is_same_attempt =
            |known: &WorkerTask| is_same_task(known) && known.attempt == command.attempt;
        match (command.action, self.tasks.iter().position(is_same_attempt)) {
            (CommandAction::Start, None) => {
                let is_unfinished = |known: &WorkerTask| known.state != TaskState::Ended;
                let is_in_use =
                    self.tasks.iter().any(|known| is_same_task(known) && is_unfinished(known));
                self.tasks.push(WorkerTask {
                    job: job.into(),
                    task,
                    attempt: command.attempt,
                    state: if is_in_use { TaskState::Ended } else { TaskState::Fetching },
                    end_reason: is_in_use.then(|| "in_use".into()),
                    next_transition_at: now + fetch_ms,
                });
            }
            (CommandAction::Stop, Some(found)) if self.tasks[found].state != TaskState::Ended => {
                self.tasks[found].exit("halted");
            }
            (CommandAction::Forget, Some(found)) if self.tasks[found].state == TaskState::Ended => {
                self.tasks.remove(found);
            }
            _ => return,
        }
        self.changed = true;
    }
}

/// Counts of the commands in answers to heartbeats that reached the workers.
#[derive(Debug, Clone, Default)]
pub struct CommandCounts {
    /// Number of start commands for each attempt, by task and attempt number.
    pub starts: HashMap<(String, u64), u32>,
    /// Number of commands to stop an attempt.
    pub stops: u32,
    /// Number of commands to forget an attempt that has ended.
    pub forgets: u32,
}

impl CommandCounts {
    fn count(&mut self, command: &Command) {
        match command.action {
            CommandAction::Start => {
                *self.starts.entry((command.task.clone(), command.attempt)).or_default() += 1;
            }
            CommandAction::Stop => self.stops += 1,
            CommandAction::Forget => self.forgets += 1,
        }
    }

    /// Number of different attempts for which start commands reached a worker.
    pub fn attempts(&self) -> usize {
        self.starts.len()
    }
}

impl World {
    /// Adds a machine that takes `boot` ms to boot. Returns its name.
    pub fn add_worker(&mut self, number: usize, zone: &str, spot: bool, boot: u64) -> String {
        let name = format!("host-{number:06}");
        let up_at = self.now + boot;
        self.workers.push(Worker {
            name: name.clone(),
            type_name: "m16".into(),
            zone: zone.into(),
            spot,
            created_at: self.now,
            up_at,
            alive: true,
            unreachable: false,
            heartbeats_lost: false,
            hung_until: 0,
            fails_tasks: false,
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

    /// Restarts the worker process on the same machine, without its state.
    pub fn restart_worker(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        (worker.incarnation, worker.sequence, worker.fencing_token) = (1, 0, 0);
        worker.tasks.clear();
        worker.lease_from = now;
        worker.in_flight = None;
        worker.next_at = now;
    }

    /// Advances one worker to the current time.
    pub(super) fn worker_tick(&mut self, index: usize) {
        let now = self.now;
        let jitter = self.rng.random_range(0..1500);
        let worker = &mut self.workers[index];
        if !worker.alive || now < worker.up_at {
            return;
        }
        // The lease also expires while the machine hangs: afterwards the worker may continue its
        // tasks only if the lease still holds.
        worker.expire_lease(now);
        if now < worker.hung_until {
            return;
        }
        let started = worker.advance_tasks(now, self.task_duration_ms);
        worker.time_out_heartbeat(now, self.node_count);
        if worker.is_heartbeat_due(now) {
            let interval = if self.size.has_frequent_heartbeats() {
                2_250 + jitter
            } else {
                6_000 + jitter * 8 / 3
            };
            let id = self.sequence + 1;
            worker.note_sent(id, now, interval);
            let (node, heartbeat) = (worker.node, Box::new(worker.heartbeat()));
            if !worker.heartbeats_lost && !self.network.is_unreachable(node, WORKERS) {
                self.push(2, Event::WorkerHeartbeat { worker: index, id, node, heartbeat });
            }
        }
        for (job, task) in started {
            self.check_start(index, &job, task);
        }
    }

    /// Delivers the answer to a heartbeat to its worker.
    pub(super) fn on_heartbeat_response(&mut self, index: usize, id: u64, answer: Answer) {
        let now = self.now;
        let nodes = self.node_count;
        let worker = &mut self.workers[index];
        let Some(heartbeat) = worker.in_flight.filter(|heartbeat| heartbeat.id == id) else { return };
        if !worker.alive || worker.unreachable || now > heartbeat.sent_at + HEARTBEAT_TIMEOUT_MS {
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
            worker.execute_command(&command, now, self.fetch_ms);
        }
    }

    /// Delivers direct commands to a worker.
    pub(super) fn on_direct_commands(&mut self, index: usize, direct: DirectCommands) {
        let worker = &mut self.workers[index];
        if !worker.alive || worker.unreachable {
            return;
        }
        // The response to direct commands is a heartbeat and takes a sequence number.
        worker.sequence += 1;
        if direct.fencing_token < worker.fencing_token || direct.incarnation != worker.incarnation {
            return;
        }
        worker.fencing_token = direct.fencing_token;
        for command in direct.commands {
            assert_eq!(
                command.action,
                CommandAction::Stop,
                "only stop commands may be sent directly, since they may arrive minutes late"
            );
            let (job, task) = command.task.rsplit_once('/').unwrap();
            let task: u32 = task.parse().unwrap();
            let is_same_attempt = |known: &&mut WorkerTask| {
                known.job == job && known.task == task && known.attempt == command.attempt
            };
            let found = worker.tasks.iter_mut().find(is_same_attempt);
            if let Some(stopped) = found.filter(|found| found.state != TaskState::Ended) {
                stopped.exit("halted");
                worker.changed = true;
            }
        }
    }
}
