//! Fakes of workers, written from the protocol.

use super::events::Event;
use super::network::WORKERS;
use super::{Answer, LEASE_MS, World, settings::Size};
use rand::RngExt;
use serde_json::Value;
use std::collections::HashMap;
use woadlever::wire::workers::{
    Command, CommandAction, DirectCommands, HeartbeatResponse, HeartbeatTask, TaskState, WorkerHeartbeat,
};

pub struct WorkerTask {
    pub job: String,
    pub task: u32,
    pub attempt: u64,
    pub state: TaskState,
    pub why: Option<String>,
    pub at: u64,
}

pub struct Worker {
    pub name: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub rented: u64,
    pub up_at: u64,
    pub alive: bool,
    pub cut: bool,
    /// Its heartbeats reach nobody, while direct commands reach it.
    pub mute: bool,
    /// It hangs until then: it does nothing, and what reaches it waits.
    pub hung_until: u64,
    pub sick: bool,
    pub incarnation: u64,
    pub sequence: u64,
    pub fencing_token: u64,
    pub tasks: Vec<WorkerTask>,
    /// When the last answered heartbeat was sent.
    pub(super) lease_from: u64,
    pub(super) in_flight: Option<(u64, u64)>,
    pub(super) next_at: u64,
    pub(super) heartbeat_at: u64,
    pub(super) node: usize,
    pub(super) changed: bool,
}

impl Worker {
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
                .map(|t| HeartbeatTask {
                    task: format!("{}/{}", t.job, t.task),
                    attempt: t.attempt,
                    state: t.state,
                    why: t.why.clone(),
                })
                .collect(),
        }
    }
}

/// Commands that arrived at workers.
#[derive(Debug, Clone, Default)]
pub struct CommandCounts {
    /// Attempts that workers were told to run, by how often.
    pub runs: HashMap<(String, u64), u32>,
    pub stops: u32,
    pub clears: u32,
}

impl CommandCounts {
    fn count(&mut self, command: &Command) {
        match command.op {
            CommandAction::Start => {
                *self.runs.entry((command.task.clone(), command.attempt)).or_default() += 1
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
    pub fn restart_worker(&mut self, i: usize) {
        let now = self.now;
        let w = &mut self.workers[i];
        (w.incarnation, w.sequence, w.fencing_token) = (1, 0, 0);
        w.tasks.clear();
        w.lease_from = now;
        w.in_flight = None;
        w.next_at = now;
    }

    pub(super) fn worker_tick(&mut self, i: usize) {
        let now = self.now;
        let jitter = self.rng.random_range(0..1500);
        let rare = self.size != Size::Small;
        let w = &mut self.workers[i];
        if !w.alive || now < w.up_at || now < w.hung_until {
            return;
        }
        if now > w.lease_from + LEASE_MS {
            w.tasks.clear();
            w.incarnation += 1;
            w.sequence = 0;
            w.lease_from = now;
            w.in_flight = None;
        }
        let mut started = Vec::new();
        for t in &mut w.tasks {
            if t.state == TaskState::Fetching && now >= t.at {
                t.state = TaskState::Running;
                t.at = now + self.run_ms;
                started.push((t.job.clone(), t.task));
                w.changed = true;
                if w.sick {
                    t.state = TaskState::Exited;
                    t.why = Some("error".into());
                }
            } else if t.state == TaskState::Running && now >= t.at {
                t.state = TaskState::Exited;
                t.why = Some("done".into());
                w.changed = true;
            }
        }
        if let Some((_, sent)) = w.in_flight
            && now > sent + 4000
        {
            w.in_flight = None;
            w.node = (w.node + 1) % self.node_count;
            w.next_at = now + 1000;
        }
        if w.in_flight.is_none()
            && (now >= w.next_at || w.changed && now >= w.heartbeat_at + 500)
            && !w.cut
        {
            w.changed = false;
            w.sequence += 1;
            let id = self.sequence + 1;
            w.in_flight = Some((id, now));
            w.heartbeat_at = now;
            w.next_at = now + if rare { 6_000 + jitter * 8 / 3 } else { 2_250 + jitter };
            let (node, heartbeat) = (w.node, Box::new(w.heartbeat()));
            if !self.network.is_cut(node, WORKERS) && !self.workers[i].mute {
                self.push(2, Event::WorkerHeartbeat { worker: i, id, node, heartbeat });
            }
        }
        for (job, task) in started {
            self.started(i, &job, task);
        }
    }

    pub(super) fn on_heartbeat_response(&mut self, i: usize, id: u64, answer: Answer) {
        let now = self.now;
        let n = self.node_count;
        let w = &mut self.workers[i];
        let Some((_, sent)) = w.in_flight.filter(|f| f.0 == id) else { return };
        if !w.alive || w.cut || now > sent + 4000 {
            return;
        }
        w.in_flight = None;
        if answer.status == 421 {
            let r: Value = serde_json::from_str(&answer.body).unwrap_or_default();
            let to = r["foreman"].as_str().and_then(|s| s[1..].parse().ok());
            w.node = to.unwrap_or((w.node + 1) % n);
            w.next_at = now + 100;
            return;
        }
        if answer.status != 200 {
            w.node = (w.node + 1) % n;
            w.next_at = now + 1000;
            return;
        }
        let a: HeartbeatResponse = serde_json::from_str(&answer.body).expect("answer to a heartbeat");
        if a.fencing_token < w.fencing_token {
            return;
        }
        w.changed |= a.fencing_token > w.fencing_token;
        w.fencing_token = a.fencing_token;
        w.lease_from = w.lease_from.max(sent);
        for c in a.commands {
            self.commands.count(&c);
            let Some((job, task)) = c.task.rsplit_once('/') else { continue };
            let task: u32 = task.parse().unwrap();
            let found =
                w.tasks.iter().position(|t| t.job == job && t.task == task && t.attempt == c.attempt);
            match (c.op, found) {
                (CommandAction::Start, None) => {
                    let busy = w
                        .tasks
                        .iter()
                        .any(|t| t.job == job && t.task == task && t.state != TaskState::Exited);
                    w.tasks.push(WorkerTask {
                        job: job.into(),
                        task,
                        attempt: c.attempt,
                        state: if busy { TaskState::Exited } else { TaskState::Fetching },
                        why: busy.then(|| "in_use".into()),
                        at: now + 500,
                    });
                    w.changed = true;
                }
                (CommandAction::Stop, Some(t)) if w.tasks[t].state != TaskState::Exited => {
                    w.tasks[t].state = TaskState::Exited;
                    w.tasks[t].why = Some("halted".into());
                    w.changed = true;
                }
                (CommandAction::Forget, Some(t)) if w.tasks[t].state == TaskState::Exited => {
                    w.tasks.remove(t);
                    w.changed = true;
                }
                _ => {}
            }
        }
    }

    /// A command that came straight to the worker.
    pub(super) fn on_direct_commands(&mut self, i: usize, direct: DirectCommands) {
        let w = &mut self.workers[i];
        if !w.alive || w.cut {
            return;
        }
        // The answer is a heartbeat, and counts as one.
        w.sequence += 1;
        if direct.fencing_token < w.fencing_token || direct.incarnation != w.incarnation {
            return;
        }
        w.fencing_token = direct.fencing_token;
        for c in direct.commands {
            assert_eq!(c.op, CommandAction::Stop, "a direct command may be carried out minutes late");
            let (job, task) = c.task.rsplit_once('/').unwrap();
            let task: u32 = task.parse().unwrap();
            let here = |t: &&mut WorkerTask| t.job == job && t.task == task && t.attempt == c.attempt;
            if let Some(t) = w.tasks.iter_mut().find(here).filter(|t| t.state != TaskState::Exited) {
                t.state = TaskState::Exited;
                t.why = Some("halted".into());
                w.changed = true;
            }
        }
    }
}
