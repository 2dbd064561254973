//! State shared by all roles of a node: settings, clock, peers, calls to the store, the control
//! lease, the current leader, shards, jobs, machine types and the outbox.
//!
//! Each component keeps its own state. Operations that involve several components are here:
//!
//! - `requests`: responses to requests, calls to the store and the cloud, and messages;
//! - `other_nodes`: heartbeats and frames exchanged with the other nodes;
//! - `jobs`: access to jobs and their records.

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

/// Machines and tasks in desired and reported states that one full core is assumed to process per
/// millisecond alongside its other work. Determines how far apart large states are sent.
const ITEMS_PER_MS: f64 = 50.0;
/// Lower bound, in cores, on the CPU limit assumed for the interval between two
/// desired or reported states.
const MIN_CPU_CORES: f64 = 0.01;
/// Maximum number of instances that one call to the cloud terminates.
pub const MAX_TERMINATIONS: usize = 100;
/// Minimum number of names of terminated machines to keep. Terminated machines stay in the
/// cloud's list for seconds, and late heartbeats of them arrive for minutes.
const MIN_TERMINATED_NAMES: usize = 4_096;
/// Time for which the names of terminated machines are kept if machines are terminated at the
/// highest rate that the cloud allows, as a multiple of the lag of the cloud's machine list.
const TERMINATED_NAMES_LAG_FACTOR: f64 = 4.0;
/// Maximum delay added to a retry when the store has not answered for a long time.
const MAX_RETRY_EXTENSION_MS: Ms = 1_500;
/// Time allowed for a worker to fail over to another node, on top of the longest interval
/// between two of its heartbeats.
const FAILOVER_ALLOWANCE_MS: Ms = 5_250;

/// State shared by all roles of a node.
pub struct NodeContext {
    /// The platform's settings.
    pub platform: Arc<Platform>,
    /// The operators' settings.
    pub operator: Operator,
    /// Name of this node.
    pub node: String,
    /// Incarnation number of this process; later processes of the same node have larger numbers.
    pub incarnation: u64,
    /// Time without a heartbeat after which a machine gets no new tasks.
    pub max_heartbeat_age_ms: Ms,
    /// Monotonic and wall-clock time of the input being handled.
    pub clock: Clock,
    /// The other nodes.
    pub peers: Peers,
    /// Calls to the store.
    pub store: StoreCalls,
    /// Lease that permits answering workers without a fresh read of the store.
    pub control_lease: ControlLease,
    /// The current leader.
    pub leadership: Leadership,
    /// All machine shards with their owners.
    pub shards: ShardMap,
    /// Jobs in memory.
    pub jobs: JobTable,
    /// Leases under which the jobs of other cells run here.
    pub cell_leases: CellLeases,
    /// Machine types of the catalog.
    pub machine_types: MachineTypes,
    /// Numbers of done and running tasks of each job, as last reported by the leader.
    pub task_counts: TaskCounts,
    /// Outputs produced while handling the current input.
    pub outbox: Outbox,
    /// Whether all watched records have been read at least once.
    pub is_synced: bool,
    /// Ids of jobs whose cancellation this node has just confirmed, to be announced to the other
    /// nodes.
    pub cancellations_to_announce: Vec<String>,
    rng: StdRng,
}

impl NodeContext {
    /// Creates the state of a process that has just started.
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
            max_heartbeat_age_ms: (platform.cluster.workers.report_s * 1250.0) as Ms
                + FAILOVER_ALLOWANCE_MS,
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

    /// Number of names of terminated machines to keep. A machine that sends a heartbeat after
    /// its name was dropped is treated like any machine that the cloud does not list: it gets
    /// no work.
    pub fn terminated_names_kept(&self) -> usize {
        let cloud = &self.platform.cluster.cloud;
        let at_most =
            cloud.rps * MAX_TERMINATIONS as f64 * cloud.list_lag_s * TERMINATED_NAMES_LAG_FACTOR;
        (at_most as usize).max(MIN_TERMINATED_NAMES)
    }

    /// Lease durations from which the state of workers is judged.
    pub fn timing(&self) -> Timing {
        let lease_ms = (self.platform.cluster.workers.lease_s * 1000.0) as Ms;
        Timing { lease_ms, control_lease_ms: self.control_lease.duration() }
    }

    /// Returns the current term if the watched leader record names this process.
    pub fn own_term(&self) -> Option<Term> {
        let leader = self.leadership.current()?;
        self.is_self(&leader.record.node, leader.record.incarnation).then_some(leader.term)
    }

    /// Whether a record names this process.
    pub fn is_self(&self, node: &str, incarnation: u64) -> bool {
        node == self.node && incarnation == self.incarnation
    }

    /// Whether this node's view of shards and cancellations is fresh enough to answer workers
    /// from it.
    pub fn has_control_lease(&self) -> bool {
        self.control_lease.is_valid(self.clock.now())
    }

    /// Returns the interval between two runs of periodic work, such as sending a desired or reported
    /// state, a scheduling cycle or a load projection. It grows with the number of items in one run,
    /// so that their cost stays a fixed part of the CPU limit whatever the size of the fleet.
    pub fn load_adjusted_interval(&self, base: Ms, items: usize) -> Ms {
        let cpu = self.platform.cluster.limits.cpu.clamp(MIN_CPU_CORES, 1.0);
        base + (items as f64 / (ITEMS_PER_MS * cpu)) as Ms
    }

    /// Returns `base` with a random jitter of up to a quarter in either direction, so that nodes
    /// don't retry in lockstep.
    pub fn jitter(&mut self, base: Ms) -> Ms {
        let spread = base / 4;
        base - spread + self.rng.random_range(0..=2 * spread)
    }

    /// Returns the jittered delay before a failed store request is retried. The delay grows with
    /// the time for which the store has not answered.
    pub fn retry_ms(&mut self, base: Ms) -> Ms {
        let extension = (self.store_silence_ms() / 8).min(MAX_RETRY_EXTENSION_MS);
        self.jitter(base + extension)
    }
}
