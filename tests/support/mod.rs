//! An in-memory world for scenarios: fakes of the store, the cloud, workers, users and the
//! network, written from the protocol, with simulated time and fixed seeds.
//! An oracle checks the rules at every start of a task.

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
mod store_faults;
mod users;
mod workers;

pub use settings::{AnnouncedLimits, PinnedTeams, job, platform};
pub use store_faults::Fate;
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

/// The zones of each world; nodes and machines alternate between them.
pub const ZONES: [&str; 2] = ["east", "west"];
/// How long a worker's lease lasts.
pub const LEASE_MS: u64 = 20_000;
/// The time within which a cancelled job has to end.
pub const CANCEL_MS: u64 = 40_000;
/// Time between two ticks of all controllers and workers.
const TICK_MS: u64 = 25;
/// How long tasks run, unless a test says otherwise.
const RUN_MS: u64 = 10_000;
/// How long fetching an image takes, unless a test says otherwise.
const FETCH_MS: u64 = 500;

/// Rates of the store as the settings of large worlds say.
const LARGE_RATES: StoreRates = StoreRates { requests: 150.0, mutations: 20.0 };
/// The same for worlds of thousands of machines.
const FLEET_RATES: StoreRates = StoreRates { requests: 200.0, mutations: 70.0 };

/// A cluster with all that is around it.
pub struct World {
    /// Simulated time in milliseconds.
    pub now: u64,
    /// The source of all that is random, seeded by the test.
    pub rng: StdRng,
    /// Nodes that controllers run on.
    pub node_count: usize,
    /// The nodes with their processes, by number.
    pub controllers: Vec<Controller>,
    /// All machines that there ever were, with their workers.
    pub workers: Vec<Worker>,
    /// The key-value store.
    pub store: Store,
    /// What goes wrong with calls to the store.
    pub store_faults: StoreFaults,
    /// The cloud.
    pub cloud: Cloud,
    /// The network between all of them.
    pub network: Network,
    /// What users asked and were answered.
    pub users: Users,
    /// What has been started, and which rules were broken.
    pub oracle: Oracle,
    /// Commands that arrived at workers; a test may start the count anew.
    pub commands: CommandCounts,
    /// How long each task runs.
    pub run_ms: u64,
    /// How long a machine takes to fetch the image of a task that is told to start.
    pub fetch_ms: u64,
    /// A team that processes started from now on don't know.
    pub without_team: Option<&'static str>,
    /// The operators' settings of all nodes.
    pub operator: Operator,
    size: Size,
    /// Limits of the store that are announced.
    announced_limits: Option<AnnouncedLimits>,
    last_incarnation: u64,
    /// Heartbeats without an answer yet: the worker and its number, by node and request.
    worker_requests: HashMap<(usize, u64), (usize, u64)>,
    queue: BTreeMap<(u64, u64), Event>,
    sequence: u64,
    recorder: Option<Recorder>,
}

impl World {
    /// A small world of one cell.
    pub fn new(nodes: usize, seed: u64) -> World {
        World::sized(nodes, seed, Size::Small, None, Operator::default())
    }

    /// A cell that shares load with others, as its operators' settings say.
    pub fn cell(nodes: usize, seed: u64, operator: Operator) -> World {
        World::sized(nodes, seed, Size::Small, None, operator)
    }

    /// The same for thousands of machines, with the rates of the settings enforced.
    pub fn large_cell(nodes: usize, seed: u64, operator: Operator) -> World {
        let mut world = World::sized(nodes, seed, Size::Fleet, None, operator);
        world.store.rates = Some(FLEET_RATES);
        world.cloud.capacity = 0;
        world
    }

    /// A small world whose settings announce lower limits of the store; they come into
    /// force with [`World::lower_store_limits`].
    pub fn with_announced_limits(nodes: usize, seed: u64, limits: AnnouncedLimits) -> World {
        World::sized(nodes, seed, Size::Small, Some(limits), Operator::default())
    }

    /// The announced limits come into force, without notice.
    pub fn lower_store_limits(&mut self) {
        let AnnouncedLimits { value_kb, mutations, mutations_per_s } =
            self.announced_limits.expect("limits were announced");
        self.store.lowered_limits = Some(LoweredLimits { value_kb, mutations });
        if let Some(rates) = &mut self.store.rates {
            rates.mutations = mutations_per_s;
        }
    }

    /// A world for hundreds of machines, with the rates of the settings enforced, and no
    /// machines to be had but those that a scenario adds.
    pub fn large(nodes: usize, seed: u64) -> World {
        let mut world = World::sized(nodes, seed, Size::Large, None, Operator::default());
        world.store.rates = Some(LARGE_RATES);
        world.cloud.capacity = 0;
        world
    }

    /// The same for thousands of machines.
    pub fn fleet(nodes: usize, seed: u64) -> World {
        let mut world = World::sized(nodes, seed, Size::Fleet, None, Operator::default());
        world.store.rates = Some(FLEET_RATES);
        world.cloud.capacity = 0;
        world
    }

    /// A world whose teams take all of its machines at their limits, with the rates of the
    /// settings enforced.
    pub fn pinned(nodes: usize, seed: u64, teams: PinnedTeams) -> World {
        let mut world = World::sized(nodes, seed, Size::Pinned(teams), None, Operator::default());
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
            run_ms: RUN_MS,
            fetch_ms: FETCH_MS,
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
        world.read_team_limits();
        for node in 0..nodes {
            world.boot(node);
        }
        world
    }

    /// A message of another cell reaches a node.
    pub fn cell_message(&mut self, node: usize, message: CellMessage) {
        self.step(node, Input::Cell(Box::new(message)));
    }

    /// The key of the placement record that lists a machine, and the machine's row in it.
    pub fn placement_of(&self, name: &str) -> Option<(String, Value)> {
        self.store.records_under("place/").find_map(|(key, record)| {
            let rows = record.value["m"].as_array()?;
            Some((key.clone(), rows.iter().find(|row| row[0] == name)?.clone()))
        })
    }

    /// Lets the time pass.
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
        self.store.expire(self.now);
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
