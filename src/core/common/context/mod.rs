//! What all roles of a node use, as parts: settings, clock, peers, calls to the store, the
//! control lease, who leads, shards, jobs, machine types and what goes out.
//!
//! Each part keeps its own state; what concerns several of them at once is here:
//!
//! - `requests`: answers to requests, calls and messages;
//! - `other_nodes`: what goes to the other nodes, and what is learnt from them;
//! - `jobs`: what the records of jobs allow.

mod jobs;
mod other_nodes;
mod requests;

use super::cell_leases::CellLeases;
use super::clock::Clock;
use super::control_lease::ControlLease;
use super::job_table::JobTable;
use super::leadership::Leadership;
use super::machine_types::MachineTypes;
use super::outbox::Outbox;
use super::peers::Peers;
use super::shard_map::ShardMap;
use super::store_calls::StoreCalls;
use super::task_counts::TaskCounts;
use crate::config::{Operator, Platform};
use crate::model::{Ms, Term, shards_of};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::sync::Arc;
use woadlever_recovery::worker::Timing;

/// Machines and tasks in state messages that a whole core is taken to handle in a
/// millisecond beside all else; it sets how rare large state messages are.
const ITEMS_PER_MS: f64 = 50.0;
/// The least share of a core that the gaps between state messages allow for.
const MIN_CPU: f64 = 0.01;
/// Instances that one call to the cloud terminates.
pub const MAX_TERMINATIONS: usize = 100;
/// Names of terminated machines that are kept at the least: the cloud's list shows them for
/// seconds, and late heartbeats for minutes.
const MIN_TERMINATED_NAMES: usize = 4_096;
/// Of machines terminated at the highest rate that the cloud takes, the names of this many
/// times the lag of its list are kept.
const TERMINATED_NAMES_LAGS: f64 = 4.0;
/// Longest delay that a long silence of the store adds to a retry.
const MAX_RETRY_EXTENSION_MS: Ms = 1_500;
/// Time for the change to another node, beyond the longest time between two heartbeats.
const FAILOVER_ALLOWANCE_MS: Ms = 5_250;

/// State that all roles of a node use.
pub struct NodeContext {
    /// The platform's settings.
    pub platform: Arc<Platform>,
    /// The operators' settings.
    pub operator: Operator,
    /// Name of this node.
    pub node: String,
    /// Number of this process; later processes of the node have larger ones.
    pub incarnation: u64,
    /// A machine silent for longer gets no new tasks.
    pub fresh_ms: Ms,
    /// Times of the input being handled.
    pub clock: Clock,
    /// The other nodes.
    pub peers: Peers,
    /// Calls to the store.
    pub store: StoreCalls,
    /// The right to answer workers without a fresh read.
    pub control_lease: ControlLease,
    /// Who leads.
    pub leadership: Leadership,
    /// All shards of machines with their owners.
    pub shards: ShardMap,
    /// Jobs in memory.
    pub jobs: JobTable,
    /// Leases under which the jobs of other cells run here.
    pub cell_leases: CellLeases,
    /// Machine types of the catalog.
    pub machine_types: MachineTypes,
    /// How many tasks of each job are done and run, as the leader last told.
    pub task_counts: TaskCounts,
    /// What the present input gives rise to.
    pub outbox: Outbox,
    /// All records have been read at least once.
    pub is_synced: bool,
    /// Cancellations that this node has just confirmed, for the others.
    pub cancellations_to_announce: Vec<String>,
    rng: StdRng,
}

impl NodeContext {
    /// The state of a process that has just started.
    pub fn new(
        platform: Arc<Platform>,
        operator: Operator,
        incarnation: u64,
        seed: u64,
        now: Ms,
    ) -> NodeContext {
        let mut nodes: Vec<(String, String)> =
            platform.peers.iter().map(|peer| (peer.node.clone(), peer.zone.clone())).collect();
        let peer_names = nodes.iter().map(|(name, _)| name.clone()).collect();
        nodes.push((platform.node.clone(), platform.zone.clone()));
        let silence_ms = (operator.node_silence_s * 1000.0) as Ms;
        NodeContext {
            node: platform.node.clone(),
            incarnation,
            fresh_ms: (platform.cluster.workers.report_s * 1250.0) as Ms + FAILOVER_ALLOWANCE_MS,
            clock: Clock::new(now),
            peers: Peers::new(platform.node.clone(), peer_names, silence_ms, now),
            store: StoreCalls::new(&platform, now),
            control_lease: ControlLease::new(platform.control_lease_ms(&operator), now),
            leadership: Leadership::default(),
            shards: ShardMap::new(shards_of(&platform.cluster.zones, &nodes)),
            jobs: JobTable::default(),
            cell_leases: CellLeases::new(platform.cell_timing()),
            machine_types: MachineTypes::default(),
            task_counts: TaskCounts::default(),
            outbox: Outbox::default(),
            is_synced: false,
            cancellations_to_announce: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            platform,
            operator,
        }
    }

    /// How many names of terminated machines are kept. One that is heard after that is
    /// treated as any that the cloud does not list: it gets no work.
    pub fn terminated_names_kept(&self) -> usize {
        let cloud = &self.platform.cluster.cloud;
        let at_most = cloud.rps * MAX_TERMINATIONS as f64 * cloud.list_lag_s * TERMINATED_NAMES_LAGS;
        (at_most as usize).max(MIN_TERMINATED_NAMES)
    }

    /// Times that verdicts on workers rest on.
    pub fn timing(&self) -> Timing {
        let lease_ms = (self.platform.cluster.workers.lease_s * 1000.0) as Ms;
        Timing { lease_ms, control_lease_ms: self.control_lease.duration() }
    }

    /// The term that we lead in, if the watched record names this process.
    pub fn own_term(&self) -> Option<Term> {
        let leader = self.leadership.current()?;
        self.is_self(&leader.record.node, leader.record.incarnation).then_some(leader.term)
    }

    /// Whether a record names this process.
    pub fn is_self(&self, node: &str, incarnation: u64) -> bool {
        node == self.node && incarnation == self.incarnation
    }

    /// Whether our knowledge of shards and cancellations is fresh enough to
    /// answer workers on it.
    pub fn has_control_lease(&self) -> bool {
        self.control_lease.is_valid(self.clock.now())
    }

    /// The gap between two state messages or scheduling cycles: the more there is in one, the
    /// rarer it gets, so that what it costs stays a part of the processor's
    /// share whatever the fleet's size.
    pub fn load_adjusted_gap(&self, base: Ms, size: usize) -> Ms {
        let cpu = self.platform.cluster.limits.cpu.clamp(MIN_CPU, 1.0);
        base + (size as f64 / (ITEMS_PER_MS * cpu)) as Ms
    }

    /// A delay of `base` give or take a quarter, so that nodes don't retry
    /// in step.
    pub fn jitter(&mut self, base: Ms) -> Ms {
        let spread = base / 4;
        base - spread + self.rng.random_range(0..=2 * spread)
    }

    /// When to try again what the store did not take: the later, the
    /// longer it has not answered.
    pub fn retry_ms(&mut self, base: Ms) -> Ms {
        let extension = (self.store_silence_ms() / 8).min(MAX_RETRY_EXTENSION_MS);
        self.jitter(base + extension)
    }
}
