//! Simulation of a cluster for tests: in-memory fakes of the store, the cloud, workers, users
//! and the network, written from the protocol, with simulated time and fixed seeds. An oracle
//! checks the rules of the protocol at each start of a task, at each tick and at each answer to a
//! user.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod cells;
mod cloud;
mod controllers;
mod events;
pub mod network;
mod oracle;
mod production;
mod recorded_attempts;
mod recorder;
mod settings;
pub mod store;
pub mod store_faults;
mod users;
mod workers;

pub use settings::{AnnouncedLimits, SaturatedTeams, job, platform};
pub use store_faults::WriteFault;
pub use workers::{CommandCounts, Worker, WorkerTask};

use cloud::Cloud;
use controllers::Controller;
use events::Event;
use network::Network;
use oracle::Oracle;
use rand::SeedableRng;
use rand::rngs::StdRng;
use recorder::Recorder;
use serde_json::Value;
use settings::Size;
use std::collections::{BTreeMap, HashMap};
use store::{LoweredLimits, Store, StoreRates};
use store_faults::StoreFaults;
use users::Users;
use woadlever::config::Operator;
use woadlever::core::{Answer, Input};
use woadlever_cells::message::CellMessage;

/// The zones of each simulated cluster; nodes and machines alternate between them.
pub const ZONES: [&str; 2] = ["east", "west"];
/// Duration of a worker's lease.
pub const LEASE_MS: u64 = 20_000;
/// Time within which all tasks of a cancelled job must have ended.
pub const CANCEL_MS: u64 = 40_000;
/// Time between two ticks of all controllers and workers.
const TICK_MS: u64 = 25;
/// Run time of tasks, unless a test sets [`World::task_duration_ms`].
const DEFAULT_TASK_DURATION_MS: u64 = 10_000;
/// Time to fetch an image, unless a test sets [`World::fetch_ms`].
const DEFAULT_FETCH_MS: u64 = 500;

/// Rate limits of the store in the settings of [`World::large`].
const LARGE_RATES: StoreRates = StoreRates { requests: 150.0, mutations: 20.0 };
/// Rate limits of the store in the settings of [`World::fleet`].
const FLEET_RATES: StoreRates = StoreRates { requests: 200.0, mutations: 70.0 };

/// A simulated cluster with its store, cloud, workers, users and network.
pub struct World {
    /// Simulated time in milliseconds.
    pub now: u64,
    /// Random number generator of the simulation, seeded by the test.
    pub rng: StdRng,
    /// Number of nodes that run controllers.
    pub node_count: usize,
    /// The nodes with their processes, by node number.
    pub controllers: Vec<Controller>,
    /// All machines, including those that no longer exist, with their workers.
    pub workers: Vec<Worker>,
    /// The key-value store.
    pub store: Store,
    /// Faults injected into calls to the store.
    pub store_faults: StoreFaults,
    /// The cloud.
    pub cloud: Cloud,
    /// The network that connects controllers, workers and other cells.
    pub network: Network,
    /// Requests of users and the answers to them.
    pub users: Users,
    /// Task starts so far, and the rules that were broken.
    pub oracle: Oracle,
    /// Counts of commands that arrived at workers; a test may reset them.
    pub commands: CommandCounts,
    /// Run time of each task.
    pub task_duration_ms: u64,
    /// Time from the start command until the image of the task is fetched.
    pub fetch_ms: u64,
    /// A team that is missing from the settings of processes started from now on.
    pub without_team: Option<&'static str>,
    /// Operator settings of all nodes.
    pub operator: Operator,
    size: Size,
    /// Lower limits of the store that the settings announce, if any.
    announced_limits: Option<AnnouncedLimits>,
    last_incarnation: u64,
    /// Heartbeats without an answer yet: worker index and heartbeat id, by node and request id.
    worker_requests: HashMap<(usize, u64), (usize, u64)>,
    /// Scheduled events, by delivery time and sequence number.
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    recorder: Option<Recorder>,
}

impl World {
    /// Creates a cluster for a few machines that shares load with no other cell.
    pub fn new(nodes: usize, seed: u64) -> World {
        World::sized(nodes, seed, Size::Small, None, Operator::default())
    }

    /// Creates a cluster for a few machines that shares load with the cells in its operator
    /// settings.
    pub fn cell(nodes: usize, seed: u64, operator: Operator) -> World {
        World::sized(nodes, seed, Size::Small, None, operator)
    }

    /// Like [`World::cell`] for thousands of machines: the store enforces the rate limits of the
    /// settings, and the cloud has no capacity until the test sets it.
    pub fn large_cell(nodes: usize, seed: u64, operator: Operator) -> World {
        let mut world = World::sized(nodes, seed, Size::Fleet, None, operator);
        world.store.rates = Some(FLEET_RATES);
        world.cloud.capacity = 0;
        world
    }

    /// Like [`World::new`], with settings that announce lower limits of the store. They take
    /// effect with [`World::lower_store_limits`].
    pub fn with_announced_limits(nodes: usize, seed: u64, limits: AnnouncedLimits) -> World {
        World::sized(nodes, seed, Size::Small, Some(limits), Operator::default())
    }

    /// Makes the store enforce the announced limits, without notice to the controllers.
    pub fn lower_store_limits(&mut self) {
        let AnnouncedLimits { value_kb, mutations, mutations_per_s } =
            self.announced_limits.expect("limits were announced");
        self.store.lowered_limits = Some(LoweredLimits { value_kb, mutations });
        if let Some(rates) = &mut self.store.rates {
            rates.mutations = mutations_per_s;
        }
    }

    /// Creates a cluster for hundreds of machines: the store enforces the rate limits of the
    /// settings, and there are only the machines that the test adds, as the cloud has no capacity.
    pub fn large(nodes: usize, seed: u64) -> World {
        let mut world = World::sized(nodes, seed, Size::Large, None, Operator::default());
        world.store.rates = Some(LARGE_RATES);
        world.cloud.capacity = 0;
        world
    }

    /// Like [`World::large`] for thousands of machines.
    pub fn fleet(nodes: usize, seed: u64) -> World {
        let mut world = World::sized(nodes, seed, Size::Fleet, None, Operator::default());
        world.store.rates = Some(FLEET_RATES);
        world.cloud.capacity = 0;
        world
    }

    /// Creates a cluster whose teams, each at its limit, use all machines. The store enforces the
    /// rate limits of the settings, and the cloud has no capacity.
    pub fn saturated(nodes: usize, seed: u64, teams: SaturatedTeams) -> World {
        let mut world = World::sized(nodes, seed, Size::Saturated(teams), None, Operator::default());
        world.store.rates = Some(if teams.is_fleet { FLEET_RATES } else { LARGE_RATES });
        world.cloud.capacity = 0;
        world
    }

    fn sized(
        nodes: usize,
        seed: u64,
        size: Size,
        announced_limits: Option<AnnouncedLimits>,
        operator: Operator,
    ) -> World {
        let mut world = World {
            now: 1000,
            rng: StdRng::seed_from_u64(seed),
            node_count: nodes,
            controllers: (0..nodes).map(|_| Controller::default()).collect(),
            workers: Vec::new(),
            store: Store::default(),
            store_faults: StoreFaults::default(),
            cloud: Cloud::default(),
            network: Network::default(),
            users: Users::default(),
            oracle: Oracle::default(),
            commands: CommandCounts::default(),
            task_duration_ms: DEFAULT_TASK_DURATION_MS,
            fetch_ms: DEFAULT_FETCH_MS,
            without_team: None,
            operator,
            size,
            announced_limits,
            last_incarnation: 100,
            worker_requests: HashMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            recorder: Recorder::from_env(),
        };
        world.load_team_limits();
        for node in 0..nodes {
            world.boot(node);
        }
        world
    }

    /// Delivers a message from another cell to a node.
    pub fn cell_message(&mut self, node: usize, message: CellMessage) {
        self.step(node, Input::Cell(Box::new(message)));
    }

    /// Returns the key of the placement record that lists a machine, and the machine's row in it.
    pub fn placement_of(&self, name: &str) -> Option<(String, Value)> {
        self.store.records_under("place/").find_map(|(key, record)| {
            let rows = record.value["m"].as_array()?;
            Some((key.clone(), rows.iter().find(|row| row[0] == name)?.clone()))
        })
    }

    /// Advances simulated time by `ms`, rounded up to a whole tick.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            let next_tick = (self.now / TICK_MS + 1) * TICK_MS;
            while let Some(first) = self.queue.first_entry() {
                if first.key().0 > next_tick {
                    break;
                }
                self.now = self.now.max(first.key().0);
                let event = first.remove();
                self.handle(event);
            }
            self.now = next_tick;
            self.tick();
        }
    }

    fn tick(&mut self) {
        self.store.expire_leases(self.now);
        self.answer_watches();
        for node in 0..self.node_count {
            let controller = &self.controllers[node];
            if controller.process.is_none() && self.now >= controller.restart_at {
                self.boot(node);
            }
            self.step(node, Input::Tick);
        }
        self.answer_watches();
        for worker in 0..self.workers.len() {
            self.worker_tick(worker);
        }
        self.check();
    }
}
