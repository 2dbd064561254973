//! The controllers: processes that start, crash, are suspended and resumed.

use super::settings::sized_platform;
use super::{World, ZONES};
use std::sync::Arc;
use woadlever::config::Platform;
use woadlever::core::{Core, Input};
use woadlever::wire::peer::Frame;

/// Time of day at which a world's time begins.
const EPOCH_MS: u64 = 1_000_000_000;

/// A process of a node.
pub struct Process {
    /// What it runs.
    pub core: Core,
    /// Tells it from the node's earlier processes.
    pub incarnation: u64,
    /// When it started; its steady clock starts with it.
    started_at: u64,
}

/// A node, with its process if one runs.
#[derive(Default)]
pub struct Controller {
    /// The process that runs, if any.
    pub process: Option<Process>,
    /// When the next process starts, if none runs.
    pub restart_at: u64,
    /// What has reached it while it is suspended.
    paused: Option<Vec<Input>>,
    /// How much faster than true its steady clock runs.
    pub drift: f64,
}

impl Controller {
    /// Whether the process that sent something still runs.
    pub(super) fn runs(&self, incarnation: u64) -> bool {
        self.process.as_ref().is_some_and(|process| process.incarnation == incarnation)
    }
}

impl World {
    /// The core of the process that runs on a node.
    pub fn core(&self, node: usize) -> Option<&Core> {
        self.controllers[node].process.as_ref().map(|process| &process.core)
    }

    /// The platform settings of a node.
    pub(super) fn platform_of(&self, node: usize) -> Platform {
        sized_platform(self.size, node, self.node_count, self.announced_limits)
    }

    /// Starts a process on a node.
    pub fn boot(&mut self, node: usize) {
        self.last_incarnation += 1;
        let incarnation = self.last_incarnation;
        let mut platform = self.platform_of(node);
        platform.cluster.teams.retain(|team| Some(team.name.as_str()) != self.without_team);
        let core = Core::new(Arc::new(platform), self.operator.clone(), incarnation, incarnation * 7, 1);
        self.controllers[node].process = Some(Process { core, incarnation, started_at: self.now });
    }

    /// Ends the process of a node; the next one starts after `back_ms`.
    pub fn crash(&mut self, node: usize, back_ms: u64) {
        self.controllers[node].process = None;
        self.controllers[node].paused = None;
        self.controllers[node].restart_at = self.now + back_ms;
        self.worker_requests.retain(|(asked, _), _| *asked != node);
    }

    /// Suspends the process of a node while its clocks run on.
    pub fn freeze(&mut self, node: usize) {
        self.controllers[node].paused = Some(Vec::new());
    }

    /// Resumes a suspended process, with everything that came in meanwhile at one moment.
    pub fn thaw(&mut self, node: usize) {
        for input in self.controllers[node].paused.take().unwrap_or_default() {
            if !matches!(input, Input::Tick) {
                self.step(node, input);
            }
        }
    }

    /// An input reaches a node; what it puts out goes on its way.
    pub(super) fn step(&mut self, node: usize, input: Input) {
        let (now, wall) = (self.now, EPOCH_MS + self.now);
        let controller = &mut self.controllers[node];
        if let Some(missed) = &mut controller.paused {
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

    /// The node that the leader's record names.
    pub fn leader(&self) -> Option<usize> {
        let record = self.store.value("w/leader")?;
        record["node"].as_str()?.strip_prefix('n')?.parse().ok()
    }

    /// The node that owns a machine's shard, as the records say.
    pub fn shard_owner_of(&self, worker: usize) -> usize {
        let platform = super::platform(0, self.node_count);
        let mut nodes: Vec<(String, String)> =
            platform.peers.iter().map(|peer| (peer.node.clone(), peer.zone.clone())).collect();
        nodes.push((platform.node.clone(), platform.zone.clone()));
        let shards = woadlever::model::shards_of(&platform.cluster.zones, &nodes);
        let worker = &self.workers[worker];
        let shard = woadlever::model::shard_of(&shards, &worker.zone, &worker.name).unwrap();
        let record = &self.store.records[&format!("w/block/{}", shards[shard.place()].name)].value;
        record["node"].as_str().unwrap()[1..].parse().unwrap()
    }
}

/// The zone of a node.
pub(super) fn zone_of(node: usize) -> &'static str {
    ZONES[node % ZONES.len()]
}

/// The node that sent a frame; none if its name isn't one of a world's.
pub(super) fn sender_of(frame: &Frame) -> Option<usize> {
    frame.from[1..].parse().ok()
}
