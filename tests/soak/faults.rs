//! Random faults, each of which ends at a random time of its own.

use crate::support::network::WORKERS;
use crate::support::{World, WriteFault};
use rand::RngExt;
use std::collections::BTreeSet;
use std::ops::Range;
use woadlever::core::HttpRequest;
use woadlever::wire::workers::WorkerHeartbeat;

/// Duration of about one lease of a leader, which lasts five seconds: faults of this duration end
/// close to the expiry of the lease.
const ABOUT_A_LEASE_MS: Range<u64> = 2_500..7_500;
/// Time within which all nodes crash when the whole cluster is lost.
const CLUSTER_CRASH_WINDOW_MS: u64 = 1_000;
/// Latency of direct commands without a fault.
const DIRECT_COMMAND_LATENCY_MS: u64 = 2;
/// Maximum number of heartbeat copies that are kept for later delivery.
const MAX_HEARTBEAT_COPIES: usize = 2_000;

/// An action at a later time, which ends a fault or, in the loss of a whole cluster, crashes a node.
#[derive(Debug, Clone)]
enum ScheduledAction {
    AcceptStoreCalls(usize),
    ResumeNode(usize),
    StartStore,
    StopAnswerLoss,
    RestoreLink(usize, usize),
    RestoreZoneLinks,
    ReconnectWorker(usize),
    DeliverHeartbeats(usize),
    DeliverReplies(usize),
    RestoreCommandLatency,
    ApplyLateWrites,
    RestoreLatency,
    Crash { node: usize, back_ms: u64 },
}

impl ScheduledAction {
    fn apply(self, world: &mut World) {
        match self {
            ScheduledAction::AcceptStoreCalls(node) => {
                world.store.refused_nodes.remove(&node);
            }
            ScheduledAction::ResumeNode(node) => world.resume_node(node),
            ScheduledAction::StartStore => world.store.is_down = false,
            ScheduledAction::StopAnswerLoss => world.store_faults.lost_answer_share = 0.0,
            ScheduledAction::RestoreLink(one, other) => {
                world.network.unreachable_pairs.remove(&(one, other));
            }
            ScheduledAction::RestoreZoneLinks => world.heal_zones(),
            ScheduledAction::ReconnectWorker(worker) => world.workers[worker].unreachable = false,
            ScheduledAction::DeliverHeartbeats(worker) => world.workers[worker].heartbeats_lost = false,
            ScheduledAction::DeliverReplies(worker) => {
                world.network.lost_replies.remove(&worker);
            }
            ScheduledAction::RestoreCommandLatency => {
                world.network.direct_commands_ms = DIRECT_COMMAND_LATENCY_MS;
            }
            ScheduledAction::ApplyLateWrites => {
                world.store_faults.targeted_writes = None;
                world.apply_late_writes();
            }
            ScheduledAction::RestoreLatency => {
                world.network.lag.clear();
                world.store_faults.slow.clear();
                world.store_faults.slow_writes.clear();
            }
            ScheduledAction::Crash { node, back_ms } => world.crash(node, back_ms),
        }
    }
}

/// The faults in effect, with the times at which they end.
#[derive(Default)]
pub struct Faults {
    scheduled: Vec<(u64, ScheduledAction)>,
    heartbeat_copies: Vec<WorkerHeartbeat>,
    /// Versions of the leader's record that were seen.
    terms: BTreeSet<u64>,
}

impl Faults {
    /// Advances the simulated time and ends the faults whose time is over.
    pub fn run(&mut self, world: &mut World, ms: u64) {
        let end = world.now + ms;
        while world.now < end {
            world.run(50);
            self.terms.extend(world.store.records.get("w/leader").map(|record| record.version));
            let now = world.now;
            tracing::debug!(now, "simulated time");
            for (_, action) in self.scheduled.extract_if(.., |(at, _)| *at <= now) {
                tracing::info!(now, ?action, "fault ends");
                action.apply(world);
            }
        }
    }

    /// Number of leaders that were elected while the faults ran.
    pub fn takeovers(&self) -> usize {
        self.terms.len()
    }

    /// Ends all faults now, and drops the crashes that are still scheduled.
    pub fn end(&mut self, world: &mut World) {
        for (_, action) in self.scheduled.drain(..) {
            match action {
                ScheduledAction::Crash { .. } => {}
                other => other.apply(world),
            }
        }
    }

    fn schedule(&mut self, world: &mut World, delay_ms: Range<u64>, action: ScheduledAction) {
        let at = world.now + world.rng.random_range(delay_ms);
        tracing::info!(now = world.now, at, ?action, "fault begins");
        self.scheduled.push((at, action));
    }

    /// Draws a fault at random and begins it.
    pub fn draw(&mut self, world: &mut World) {
        match world.rng.random_range(0..6) {
            0 | 1 => self.draw_store_fault(world),
            2 => self.draw_node_fault(world),
            3 => self.draw_network_fault(world),
            4 => self.draw_machine_fault(world),
            _ => self.draw_user_action(world),
        }
    }

    /// Kills all nodes within a moment, and in half of the cases begins a short fault of the store.
    pub fn restart_all(&mut self, world: &mut World) {
        for node in 0..world.node_count {
            let back_ms = world.rng.random_range(100..5_000);
            let action = ScheduledAction::Crash { node, back_ms };
            self.schedule(world, 1..CLUSTER_CRASH_WINDOW_MS, action);
        }
        match world.rng.random_range(0..4) {
            0 => {
                world.store.is_down = true;
                self.schedule(world, 1_000..6_000, ScheduledAction::StartStore);
            }
            1 => {
                let node = world.rng.random_range(0..world.node_count);
                world.store.refused_nodes.insert(node);
                self.schedule(world, ABOUT_A_LEASE_MS, ScheduledAction::AcceptStoreCalls(node));
            }
            _ => {}
        }
    }

    /// Returns the leader, if there is one, in 60 % of the cases, and otherwise any node.
    fn draw_node(world: &mut World) -> usize {
        let any = world.rng.random_range(0..world.node_count);
        if world.rng.random_bool(0.6) { world.leader().unwrap_or(any) } else { any }
    }

    fn draw_store_fault(&mut self, world: &mut World) {
        let node = Faults::draw_node(world);
        match world.rng.random_range(0..10) {
            0..=3 => {
                world.store.refused_nodes.insert(node);
                self.schedule(world, ABOUT_A_LEASE_MS, ScheduledAction::AcceptStoreCalls(node));
            }
            4 => {
                // The node is cut off from the store and from all other nodes, but not from its
                // workers.
                world.store.refused_nodes.insert(node);
                let ends_at = world.now + world.rng.random_range(ABOUT_A_LEASE_MS);
                self.scheduled.push((ends_at, ScheduledAction::AcceptStoreCalls(node)));
                for peer in (0..world.node_count).filter(|peer| *peer != node) {
                    world.network.unreachable_pairs.insert((node, peer));
                    self.scheduled.push((ends_at, ScheduledAction::RestoreLink(node, peer)));
                }
            }
            5 => {
                world.store.is_down = true;
                self.schedule(world, 1_000..12_000, ScheduledAction::StartStore);
            }
            6 => {
                world.store_faults.lost_answer_share = 0.3;
                self.schedule(world, 3_000..15_000, ScheduledAction::StopAnswerLoss);
            }
            7 => {
                let fault =
                    if world.rng.random_bool(0.5) { WriteFault::Held } else { WriteFault::AnswerLost };
                world.store_faults.targeted_writes = Some((node, "place/".into(), fault));
                self.schedule(world, 1_000..8_000, ScheduledAction::ApplyLateWrites);
            }
            8 => {
                let delay_ms = world.rng.random_range(200..3_000);
                world.store_faults.slow_writes.insert(node, delay_ms);
                self.schedule(world, 2_000..9_000, ScheduledAction::RestoreLatency);
            }
            _ => {
                let delay_ms = world.rng.random_range(50..800);
                world.store_faults.slow.insert(node, delay_ms);
                world.network.lag.insert(node, delay_ms / 2);
                self.schedule(world, 2_000..9_000, ScheduledAction::RestoreLatency);
            }
        }
    }

    fn draw_node_fault(&mut self, world: &mut World) {
        let node = Faults::draw_node(world);
        match world.rng.random_range(0..4) {
            0 => {
                let back_ms = world.rng.random_range(100..6_000);
                world.crash(node, back_ms);
            }
            1 => {
                for node in 0..world.node_count {
                    let back_ms = world.rng.random_range(100..5_000);
                    self.schedule(
                        world,
                        1..CLUSTER_CRASH_WINDOW_MS,
                        ScheduledAction::Crash { node, back_ms },
                    );
                }
            }
            _ if !self.is_suspended(node) => {
                world.suspend_node(node);
                self.schedule(world, 500..9_000, ScheduledAction::ResumeNode(node));
            }
            _ => {}
        }
    }

    fn is_suspended(&self, node: usize) -> bool {
        self.scheduled.iter().any(
            |(_, action)| matches!(action, ScheduledAction::ResumeNode(suspended) if *suspended == node),
        )
    }

    fn draw_network_fault(&mut self, world: &mut World) {
        let node = Faults::draw_node(world);
        match world.rng.random_range(0..5) {
            0 => {
                world.network.unreachable_pairs.insert((node, WORKERS));
                self.schedule(world, 1_000..12_000, ScheduledAction::RestoreLink(node, WORKERS));
            }
            1 => {
                let peer = (node + 1) % world.node_count;
                world.network.unreachable_pairs.insert((node, peer));
                self.schedule(world, 1_000..10_000, ScheduledAction::RestoreLink(node, peer));
            }
            2 if !self
                .scheduled
                .iter()
                .any(|(_, action)| matches!(action, ScheduledAction::RestoreZoneLinks)) =>
            {
                world.partition_zones();
                self.schedule(world, 1_000..12_000, ScheduledAction::RestoreZoneLinks);
            }
            3 => {
                world.network.direct_commands_ms = world.rng.random_range(2_000..16_000);
                self.schedule(world, 3_000..15_000, ScheduledAction::RestoreCommandLatency);
            }
            _ => self.replay_old_heartbeats(world),
        }
    }

    /// Delivers copies of heartbeats, some of them minutes old, to random nodes.
    fn replay_old_heartbeats(&mut self, world: &mut World) {
        for _ in 0..world.workers.len() / 4 {
            let worker = world.rng.random_range(0..world.workers.len());
            let copy = world.workers[worker].heartbeat();
            if self.heartbeat_copies.len() < MAX_HEARTBEAT_COPIES {
                self.heartbeat_copies.push(copy);
            } else {
                let index = world.rng.random_range(0..MAX_HEARTBEAT_COPIES);
                self.heartbeat_copies[index] = copy;
            }
            let index = world.rng.random_range(0..self.heartbeat_copies.len());
            let node = world.rng.random_range(0..world.node_count);
            world.late_heartbeat(node, self.heartbeat_copies[index].clone());
        }
    }

    fn draw_machine_fault(&mut self, world: &mut World) {
        let divisor = if world.rng.random_bool(0.3) { 8 } else { 40 };
        let kind = world.rng.random_range(0..5);
        for _ in 0..world.workers.len() / divisor {
            let worker = world.rng.random_range(0..world.workers.len());
            match kind {
                0 => {
                    world.workers[worker].hung_until = world.now + world.rng.random_range(500..15_000);
                }
                1 => {
                    world.workers[worker].unreachable = true;
                    self.schedule(world, 1_000..30_000, ScheduledAction::ReconnectWorker(worker));
                }
                2 => {
                    world.workers[worker].heartbeats_lost = true;
                    self.schedule(world, 1_000..30_000, ScheduledAction::DeliverHeartbeats(worker));
                }
                3 => {
                    world.network.lost_replies.insert(worker);
                    self.schedule(world, 1_000..15_000, ScheduledAction::DeliverReplies(worker));
                }
                _ if world.workers[worker].alive => lose_machine(world, worker),
                _ => {}
            }
        }
    }

    fn draw_user_action(&mut self, world: &mut World) {
        let mut ids: Vec<String> = world.users.jobs.keys().cloned().collect();
        ids.sort();
        if ids.is_empty() || world.rng.random_bool(0.5) {
            return self.replay_old_heartbeats(world);
        }
        for _ in 0..2 {
            let id = ids[world.rng.random_range(0..ids.len())].clone();
            let node = world.rng.random_range(0..world.node_count);
            world.users.asked_to_cancel.insert(id.clone());
            world.ask(node, HttpRequest::Cancel(id));
        }
    }
}

/// Ends a machine permanently and adds a new one in its place. Restarts of a worker on the same
/// machine are not among these faults: the protocol does not provide for them, and late copies of
/// heartbeats from before a restart could not be told from new ones.
fn lose_machine(world: &mut World, worker: usize) {
    let lost = &mut world.workers[worker];
    lost.alive = false;
    let (name, zone, spot) = (lost.name.clone(), lost.zone.clone(), lost.spot);
    world.cloud.terminated.push(name);
    let boot_ms = world.rng.random_range(200..6_000);
    world.cloud.created_count += 1;
    world.add_worker(world.cloud.created_count, &zone, spot, boot_ms);
}
