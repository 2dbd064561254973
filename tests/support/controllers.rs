//! Simulated controllers: nodes whose processes start, crash, are suspended and are resumed.

use super::settings::sized_platform;
use super::{World, ZONES};
use std::sync::Arc;
use woadlever::config::Platform;
use woadlever::core::{Core, Input};
use woadlever::wire::peer::Frame;

/// Wall-clock time of the controllers when simulated time is zero.
const START_WALL_CLOCK_MS: u64 = 1_000_000_000;

/// A controller process on a node.
pub struct Process {
    /// The core of the controller.
    pub core: Core,
    /// Number that distinguishes the process from all earlier ones.
    pub incarnation: u64,
    /// Simulated time at which the process started; its monotonic clock starts then.
    started_at: u64,
}

/// A node, with its controller process if one runs.
#[derive(Default)]
pub struct Controller {
    /// The running process, if any.
    pub process: Option<Process>,
    /// Simulated time at which the next process starts, if none runs.
    pub restart_at: u64,
    /// Inputs that have arrived since the process was suspended; `None` if it isn't suspended.
    suspended_inputs: Option<Vec<Input>>,
    /// Relative error of the process's monotonic clock; positive if the clock runs fast.
    pub drift: f64,
}

impl Controller {
    /// Whether the process with this incarnation still runs.
    pub(super) fn runs(&self, incarnation: u64) -> bool {
        self.process.as_ref().is_some_and(|process| process.incarnation == incarnation)
    }
}

impl World {
    /// Returns the core of the process that runs on a node, if any.
    pub fn core(&self, node: usize) -> Option<&Core> {
        self.controllers[node].process.as_ref().map(|process| &process.core)
    }

    /// Returns the platform settings of a node.
    pub(super) fn platform_of(&self, node: usize) -> Platform {
        sized_platform(self.size, node, self.node_count, self.announced_limits)
    }

    /// Starts a new process on a node, with empty state.
    pub fn boot(&mut self, node: usize) {
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let mut platform = self.platform_of(node);
        platform.cluster.teams.retain(|team| Some(team.name.as_str()) != self.without_team);
        let core = Core::new(Arc::new(platform), self.operator.clone(), incarnation, incarnation * 7, 1);
        self.controllers[node].process = Some(Process { core, incarnation, started_at: self.now });
    }

    /// Kills the process of a node; a new one starts after `restart_after_ms`.
    pub fn crash(&mut self, node: usize, restart_after_ms: u64) {
        self.controllers[node].process = None;
        self.controllers[node].suspended_inputs = None;
        self.controllers[node].restart_at = self.now + restart_after_ms;
        self.worker_requests.retain(|(asked, _), _| *asked != node);
    }

    /// Suspends the process of a node while its clocks run on.
    pub fn suspend_node(&mut self, node: usize) {
        self.controllers[node].suspended_inputs = Some(Vec::new());
    }

    /// Resumes a suspended process, which then gets all inputs that arrived meanwhile at once,
    /// except ticks.
    pub fn resume_node(&mut self, node: usize) {
        for input in self.controllers[node].suspended_inputs.take().unwrap_or_default() {
            if !matches!(input, Input::Tick) {
                self.step(node, input);
            }
        }
    }

    /// Passes an input to the process of a node and carries out the outputs. A suspended process
    /// gets the input when it is resumed.
    pub(super) fn step(&mut self, node: usize, input: Input) {
        let (now, wall) = (self.now, START_WALL_CLOCK_MS + self.now);
        let controller = &mut self.controllers[node];
        if let Some(missed) = &mut controller.suspended_inputs {
            missed.push(input);
            return;
        }
        let Some(process) = &mut controller.process else { return };
        let age = (now - process.started_at) as f64 * (1.0 + controller.drift);
        let outputs = process.core.step(age as u64 + 1, wall, input);
        let incarnation = process.incarnation;
        if let Some(recorder) = &mut self.recorder {
            recorder.record(now, node, &outputs);
        }
        for output in outputs {
            self.carry_out(node, incarnation, output);
        }
    }

    /// Returns the node that the leader record in the store names.
    pub fn leader(&self) -> Option<usize> {
        let record = self.store.value("w/leader")?;
        record["node"].as_str()?.strip_prefix('n')?.parse().ok()
    }

    /// Returns the node that owns a machine's shard according to the shard record in the store.
    pub fn shard_owner_of(&self, worker: usize) -> usize {
        let platform = super::platform(0, self.node_count);
        let mut nodes: Vec<(String, String)> =
            platform.peers.iter().map(|peer| (peer.node.clone(), peer.zone.clone())).collect();
        nodes.push((platform.node.clone(), platform.zone.clone()));
        let shards = woadlever::model::shards_of(&platform.cluster.zones, &nodes);
        let worker = &self.workers[worker];
        let shard = woadlever::model::shard_of(&shards, &worker.zone, &worker.name).unwrap();
        let record = &self.store.records[&format!("w/block/{}", shards[shard.as_usize()].name)].value;
        record["node"].as_str().unwrap()[1..].parse().unwrap()
    }
}

/// Returns the zone of a node.
pub(super) fn zone_of(node: usize) -> &'static str {
    ZONES[node % ZONES.len()]
}

/// Returns the node that sent a frame; `None` if the sender's name has no node number.
pub(super) fn sender_of(frame: &Frame) -> Option<usize> {
    frame.from[1..].parse().ok()
}
