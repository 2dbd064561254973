//! An in-memory world for scenarios: state service, cloud, workers, users and a
//! network, written from the protocol, with simulated time and fixed seeds.
//! An oracle checks the rules at every start of a task.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod cells;
mod cloud;
mod production;
mod recorder;
mod rules;
mod settings;
mod state_service;
mod users;
mod workers;

use recorder::Recorder;
pub use settings::{Next, job, platform};
use settings::{Size, sized_platform};
use state_service::State;
pub use workers::{Orders, WTask, Worker};

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use woadlever::config::Operator;
use woadlever::core::{
    Answer, CloudRequest, CloudResponse, Core, HttpRequest, Input, Output, StoreRequest, StoreResponse,
};
use woadlever::wire::peer::Frame;
use woadlever::wire::store::{CompareAndSwap, Mutation, WatchAnswer};
use woadlever::wire::workers::{DirectCommands, WorkerHeartbeat};
use woadlever_cells::message::CellMessage;

pub const ZONES: [&str; 2] = ["east", "west"];
pub const LEASE_MS: u64 = 20_000;
pub const CANCEL_MS: u64 = 40_000;
const CLOUD_RPS: f64 = 5.0;

enum Ev {
    StateReq { node: usize, inc: u64, call: u64, op: StoreRequest, silent: bool, late: bool },
    StateRes { node: usize, inc: u64, call: u64, result: StoreResponse },
    CloudReq { node: usize, inc: u64, call: u64, op: CloudRequest },
    CloudRes { node: usize, inc: u64, call: u64, result: CloudResponse },
    Frame { to: usize, inc: u64, frame: Frame },
    WorkerHeartbeat { worker: usize, id: u64, node: usize, heartbeat: Box<WorkerHeartbeat> },
    Reply { worker: usize, node: usize, id: u64, answer: Answer },
    Direct { worker: usize, order: DirectCommands },
    User { req: u64, answer: Answer },
}

/// What becomes of a transaction that a scenario picks out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fate {
    /// No answer; carried out when the scenario says so.
    Late,
    /// Carried out at once, and only its answer is lost.
    AnswerLost,
}

pub struct World {
    pub now: u64,
    pub nodes: Vec<Option<(Core, u64)>>,
    pub restart_at: Vec<u64>,
    booted: Vec<u64>,
    pub n: usize,
    pub state: State,
    pub workers: Vec<Worker>,
    pub jobs: HashMap<String, Value>,
    queue: BTreeMap<(u64, u64), Ev>,
    sequence: u64,
    pub rng: StdRng,
    /// Nodes that can't reach each other (or `usize::MAX`: the workers).
    pub cuts: HashSet<(usize, usize)>,
    /// (from, to): frames on this way are lost, whatever the sender thinks.
    pub one_way: HashSet<(usize, usize)>,
    /// Nodes that stand still, with what reached them.
    frozen: HashMap<usize, Vec<Input>>,
    pub capacity: usize,
    /// Machine types in the catalog that nobody has a use for.
    pub more_types: usize,
    pub cloud_down: bool,
    charters: HashMap<String, Vec<String>>,
    pub rented: usize,
    pub returned: Vec<String>,
    /// Share of state calls whose answer is lost, and that run late.
    pub lossy: f64,
    reqs: HashMap<u64, (u64, usize)>,
    next_req: u64,
    pub answers: HashMap<u64, Answer>,
    worker_reqs: HashMap<(usize, u64), (usize, u64)>,
    pub starts: HashMap<String, u32>,
    /// Orders that arrived at workers; a test may start the count anew.
    pub orders: Orders,
    pub cancelled: HashMap<String, u64>,
    pub broken: Vec<String>,
    called_done: HashSet<String>,
    pub run_ms: u64,
    next_inc: u64,
    pub reconnects: Vec<(usize, String)>,
    pub lose_replies: HashSet<usize>,
    /// Nodes whose calls to the state service take so long.
    pub slow: HashMap<usize, u64>,
    /// Nodes whose watches are answered so much later.
    pub slow_watch: HashMap<usize, u64>,
    /// Nodes whose transactions are under way so long, and arrive then whatever
    /// has become of the node's connection.
    pub slow_txn: HashMap<usize, u64>,
    /// Nodes that are slow: so long until they get to what reaches them.
    pub lag: HashMap<usize, u64>,
    /// What is held up between two zones that are apart.
    parted: Option<Vec<Ev>>,
    /// How long frames between nodes take.
    pub frame_ms: u64,
    size: Size,
    /// Frames that went from node to node, and the longest of them.
    pub frames: u64,
    pub longest_frame: usize,
    /// Calls to the cloud: left of the rate, as of when, made, refused.
    cloud_rate: (f64, u64),
    pub cloud_calls: u32,
    pub cloud_refused: u32,
    next: Option<Next>,
    /// What users were last told of jobs that are over.
    told: HashMap<String, String>,
    pub asked_to_cancel: HashSet<String>,
    /// How much faster than true each node's steady clock runs.
    pub drift: Vec<f64>,
    /// When such a one is given up: at the end of its time, or sooner where the
    /// connection is reset.
    pub given_up_ms: u64,
    /// Transactions of this node that change a key beginning so, and their fate.
    pub pick: Option<(usize, String, Fate)>,
    /// Those picked out so far, and those of them still under way.
    pub picked: usize,
    under_way: Vec<CompareAndSwap>,
    /// Tasks that started after their job's cancellation was confirmed: how long
    /// after.
    pub late_starts: Vec<(String, u64)>,
    /// How long rented machines take to boot.
    pub boot_ms: std::ops::Range<u64>,
    /// Tasks that have been started in other cells.
    pub elsewhere: HashSet<String>,
    /// Messages to other cells that have not been taken on yet.
    pub cell_messages: Vec<(String, CellMessage)>,
    /// A team that processes started from now on don't know.
    pub without_team: Option<&'static str>,
    /// The operators' settings of all nodes.
    pub operator: Operator,
    recorder: Option<Recorder>,
}

impl World {
    pub fn new(nodes: usize, seed: u64) -> World {
        World::sized(nodes, seed, Size::Small, None, Operator::default())
    }

    /// A cell that shares load with others, as its operators' settings say.
    pub fn cell(nodes: usize, seed: u64, operator: Operator) -> World {
        World::sized(nodes, seed, Size::Small, None, operator)
    }

    /// The same for thousands of machines, with the rates of the settings enforced.
    pub fn large_cell(nodes: usize, seed: u64, operator: Operator) -> World {
        let mut w = World::sized(nodes, seed, Size::Fleet, None, operator);
        w.state.rates = Some((200.0, 70.0));
        w.capacity = 0;
        w
    }

    /// With limits announced that come later, by `fall`.
    pub fn announced(nodes: usize, seed: u64, next: Next) -> World {
        World::sized(nodes, seed, Size::Small, Some(next), Operator::default())
    }

    /// The announced limits come, without notice.
    pub fn fall(&mut self) {
        let (kb, ops, rate) = self.next.expect("limits were announced");
        self.state.fallen = Some((kb, ops));
        if let Some(r) = &mut self.state.rates {
            r.1 = rate;
        }
    }

    /// With the rates of the settings enforced, and no machines to be had but
    /// those that a scenario adds.
    pub fn large(nodes: usize, seed: u64) -> World {
        let mut w = World::sized(nodes, seed, Size::Large, None, Operator::default());
        w.state.rates = Some((150.0, 20.0));
        w.capacity = 0;
        w
    }

    /// The same for thousands of machines.
    pub fn fleet(nodes: usize, seed: u64) -> World {
        let mut w = World::sized(nodes, seed, Size::Fleet, None, Operator::default());
        w.state.rates = Some((200.0, 70.0));
        w.capacity = 0;
        w
    }

    fn sized(nodes: usize, seed: u64, size: Size, next: Option<Next>, operator: Operator) -> World {
        let mut w = World {
            now: 1000,
            nodes: (0..nodes).map(|_| None).collect(),
            restart_at: vec![0; nodes],
            booted: vec![0; nodes],
            n: nodes,
            state: State::default(),
            workers: Vec::new(),
            jobs: HashMap::new(),
            queue: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            cuts: HashSet::new(),
            one_way: HashSet::new(),
            frozen: HashMap::new(),
            capacity: 12,
            more_types: 0,
            cloud_down: false,
            charters: HashMap::new(),
            rented: 0,
            returned: Vec::new(),
            lossy: 0.0,
            reqs: HashMap::new(),
            next_req: 1 << 40,
            answers: HashMap::new(),
            worker_reqs: HashMap::new(),
            starts: HashMap::new(),
            orders: Orders::default(),
            cancelled: HashMap::new(),
            broken: Vec::new(),
            called_done: HashSet::new(),
            run_ms: 10_000,
            next_inc: 100,
            reconnects: Vec::new(),
            lose_replies: HashSet::new(),
            slow: HashMap::new(),
            slow_watch: HashMap::new(),
            slow_txn: HashMap::new(),
            lag: HashMap::new(),
            parted: None,
            frame_ms: 2,
            size,
            frames: 0,
            longest_frame: 0,
            cloud_rate: (CLOUD_RPS, 0),
            cloud_calls: 0,
            cloud_refused: 0,
            next,
            told: HashMap::new(),
            asked_to_cancel: HashSet::new(),
            drift: vec![0.0; nodes],
            given_up_ms: 2_000,
            pick: None,
            picked: 0,
            under_way: Vec::new(),
            late_starts: Vec::new(),
            boot_ms: 6_000..15_000,
            elsewhere: HashSet::new(),
            cell_messages: Vec::new(),
            without_team: None,
            operator,
            recorder: Recorder::from_env(),
        };
        for i in 0..nodes {
            w.boot(i);
        }
        w
    }

    pub fn boot(&mut self, node: usize) {
        self.next_inc += 1;
        let inc = self.next_inc;
        let mut cfg = sized_platform(self.size, node, self.n, self.next);
        cfg.cluster.teams.retain(|team| Some(team.name.as_str()) != self.without_team);
        let cfg = Arc::new(cfg);
        let core = Core::new(cfg, self.operator.clone(), inc, inc * 7, 1);
        self.booted[node] = self.now;
        self.nodes[node] = Some((core, inc));
    }

    /// A message of another cell reaches a node.
    pub fn cell_message(&mut self, node: usize, message: CellMessage) {
        self.step(node, Input::Cell(Box::new(message)));
    }

    pub fn crash(&mut self, node: usize, back_ms: u64) {
        self.nodes[node] = None;
        self.restart_at[node] = self.now + back_ms;
        self.worker_reqs.retain(|(n, _), _| *n != node);
    }

    /// The process stands still while its clocks run on.
    pub fn freeze(&mut self, node: usize) {
        self.frozen.insert(node, Vec::new());
    }

    /// It goes on, with everything that came in meanwhile, all at one moment.
    pub fn thaw(&mut self, node: usize) {
        for input in self.frozen.remove(&node).unwrap_or_default() {
            if !matches!(input, Input::Tick) {
                self.step(node, input);
            }
        }
    }

    pub fn leader(&self) -> Option<usize> {
        let v = self.state.keys.get("w/leader")?;
        v.0["node"].as_str()?.strip_prefix('n')?.parse().ok()
    }

    /// The two zones can't reach each other; what is sent waits on the way.
    pub fn part_zones(&mut self) {
        self.parted = Some(Vec::new());
    }

    /// What was held up arrives after all, in order.
    pub fn join_zones(&mut self) {
        for ev in self.parted.take().unwrap_or_default() {
            self.push(1, ev);
        }
    }

    fn crosses_zones(&self, ev: &Ev) -> bool {
        let of_node = |n: usize| ZONES[n % 2];
        let of_worker = |w: usize| self.workers[w].zone.as_str();
        match ev {
            Ev::Frame { to, frame, .. } => {
                frame.from[1..].parse().is_ok_and(|from: usize| of_node(from) != of_node(*to))
            }
            Ev::WorkerHeartbeat { worker, node, .. } | Ev::Reply { worker, node, .. } => {
                of_worker(*worker) != of_node(*node)
            }
            _ => false,
        }
    }

    /// What a slow node still has before it when this reaches it.
    fn lag_of(&self, ev: &Ev) -> u64 {
        let node = match ev {
            Ev::StateRes { node, .. } | Ev::CloudRes { node, .. } | Ev::WorkerHeartbeat { node, .. } => {
                node
            }
            Ev::Frame { to, .. } => to,
            _ => return 0,
        };
        self.lag.get(node).copied().unwrap_or(0)
    }

    fn push(&mut self, delay: u64, ev: Ev) {
        if self.parted.is_some() && self.crosses_zones(&ev) {
            self.parted.get_or_insert_default().push(ev);
            return;
        }
        let delay = delay + self.lag_of(&ev);
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), ev);
    }

    fn step(&mut self, node: usize, input: Input) {
        // A process's steady clock starts with it.
        let age = (self.now - self.booted[node]) as f64 * (1.0 + self.drift[node]);
        let (now, wall) = (age as u64 + 1, 1_000_000_000 + self.now);
        if let Some(missed) = self.frozen.get_mut(&node) {
            missed.push(input);
            return;
        }
        let Some((core, inc)) = &mut self.nodes[node] else { return };
        let inc = *inc;
        let outputs = core.step(now, wall, input);
        if let Some(recorder) = &mut self.recorder {
            recorder.record(self.now, node, &outputs);
        }
        for out in outputs {
            match out {
                Output::Answer { request_id, answer } => {
                    if let Some((worker, id)) = self.worker_reqs.remove(&(node, request_id)) {
                        let d = 1 + self.rng.random_range(0..3);
                        if !self.lose_replies.contains(&worker) {
                            self.push(d, Ev::Reply { worker, node, id, answer });
                        }
                    } else {
                        self.push(1, Ev::User { req: request_id, answer });
                    }
                }
                Output::Store { call, request } => {
                    if let Some(fate) = self.fate_of(node, &request) {
                        let StoreRequest::CompareAndSwap(t) = request else { continue };
                        if fate == Fate::Late {
                            self.under_way.push(t);
                        } else if !self.state.down {
                            self.state.txn(&t);
                        }
                        let result = StoreResponse::OutcomeUnknown;
                        self.push(self.given_up_ms, Ev::StateRes { node, inc, call, result });
                        continue;
                    }
                    let silent = self.lossy > 0.0
                        && matches!(request, StoreRequest::CompareAndSwap(_))
                        && self.rng.random_range(0.0..1.0) < self.lossy;
                    // A lost call may still run, seconds later.
                    let mut slow = self.slow.get(&node).copied().unwrap_or(0);
                    if matches!(request, StoreRequest::CompareAndSwap(_)) {
                        slow += self.slow_txn.get(&node).copied().unwrap_or(0);
                    }
                    let late = slow > 0;
                    let d = slow + if silent { self.rng.random_range(1..8000) } else { 2 };
                    if silent {
                        self.push(
                            2000,
                            Ev::StateRes { node, inc, call, result: StoreResponse::OutcomeUnknown },
                        );
                    }
                    self.push(d, Ev::StateReq { node, inc, call, op: request, silent, late });
                }
                Output::Cloud { call, request } => {
                    self.push(50, Ev::CloudReq { node, inc, call, op: request })
                }
                Output::Send { to, frame } => {
                    let to: usize = to[1..].parse().unwrap();
                    if !self.cut(node, to)
                        && !self.one_way.contains(&(node, to))
                        && let Some((_, inc)) = &self.nodes[to]
                    {
                        let inc = *inc;
                        if self.size == Size::Fleet {
                            self.longest_frame = self.longest_frame.max(bitcode::encode(&frame).len());
                        }
                        self.frames += 1;
                        self.push(self.frame_ms, Ev::Frame { to, inc, frame });
                    }
                }
                Output::DirectCommands { addr, commands: order } => {
                    let found = self.workers.iter().position(|w| w.name == addr);
                    if let Some(worker) = found.filter(|_| !self.cut(node, usize::MAX)) {
                        self.push(2, Ev::Direct { worker, order });
                    }
                }
                Output::SendCell { cell, message } => self.cell_messages.push((cell, *message)),
                Output::Reconnect { to } => self.reconnects.push((node, to)),
            }
        }
    }

    fn fate_of(&mut self, node: usize, op: &StoreRequest) -> Option<Fate> {
        let (at, prefix, fate) = self.pick.as_ref().filter(|p| p.0 == node)?;
        let StoreRequest::CompareAndSwap(t) = op else { return None };
        let touches = |c: &Mutation| match c {
            Mutation::Put { key, .. } | Mutation::Delete { key } => key.starts_with(prefix.as_str()),
        };
        let found = (*at == node && t.mutations.iter().any(touches)).then_some(*fate);
        self.picked += usize::from(found.is_some());
        found
    }

    /// What was under way is carried out after all, in order: what became of it.
    pub fn carry_out_late(&mut self) -> Vec<StoreResponse> {
        let late = std::mem::take(&mut self.under_way);
        late.iter().map(|t| self.state.txn(t)).collect()
    }

    fn cut(&self, a: usize, b: usize) -> bool {
        self.cuts.contains(&(a, b)) || self.cuts.contains(&(b, a))
    }

    /// The node that holds a machine's block, as the records say.
    pub fn shard_owner_of(&self, worker: usize) -> usize {
        let cfg = platform(0, self.n);
        let mut nodes: Vec<(String, String)> =
            cfg.peers.iter().map(|p| (p.node.clone(), p.zone.clone())).collect();
        nodes.push((cfg.node.clone(), cfg.zone.clone()));
        let shards = woadlever::model::shards_of(&cfg.cluster.zones, &nodes);
        let w = &self.workers[worker];
        let b = woadlever::model::shard_of(&shards, &w.zone, &w.name).unwrap();
        let rec = &self.state.keys[&format!("w/block/{}", shards[b.place()].name)].0;
        rec["node"].as_str().unwrap()[1..].parse().unwrap()
    }

    /// The record that lists a machine, and the machine's row in it.
    pub fn record_of(&self, name: &str) -> Option<(String, Value)> {
        let records = self.state.keys.iter().filter(|(k, _)| k.starts_with("place/"));
        records
            .filter_map(|(k, v)| {
                let rows = v.0["m"].as_array()?;
                Some((k.clone(), rows.iter().find(|r| r[0] == name)?.clone()))
            })
            .next()
    }

    pub fn run(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            let next = (self.now / 25 + 1) * 25;
            while let Some(e) = self.queue.first_entry() {
                if e.key().0 > next {
                    break;
                }
                self.now = self.now.max(e.key().0);
                let ev = e.remove();
                self.handle(ev);
            }
            self.now = next;
            self.state.expire(self.now);
            self.watches();
            for i in 0..self.n {
                if self.nodes[i].is_none() && self.now >= self.restart_at[i] {
                    self.boot(i);
                }
                self.step(i, Input::Tick);
            }
            self.watches();
            for i in 0..self.workers.len() {
                self.worker_tick(i);
            }
            self.check();
        }
    }

    fn handle(&mut self, ev: Ev) {
        match ev {
            Ev::StateReq { node, inc, call, op, silent, late } => {
                self.state.requests += 1;
                let refused = self.state.refuses.contains(&node) || self.state.over_rate(self.now, &op);
                if let StoreRequest::Watch { prefix, since, block_ms } = &op {
                    if self.state.down || refused {
                        self.push(
                            2,
                            Ev::StateRes { node, inc, call, result: StoreResponse::NotExecuted },
                        );
                    } else {
                        let until = self.now + block_ms;
                        self.state.watches.push((node, inc, call, prefix.clone(), *since, until));
                    }
                    return;
                }
                if silent {
                    if !self.state.down {
                        self.state.run(self.now, &op);
                    }
                    return;
                }
                let result = if self.state.down || refused && !late {
                    StoreResponse::NotExecuted
                } else {
                    self.state.run(self.now, &op)
                };
                self.push(2, Ev::StateRes { node, inc, call, result });
            }
            Ev::StateRes { node, inc, call, result } => {
                if self.nodes[node].as_ref().is_some_and(|n| n.1 == inc) {
                    self.step(node, Input::Store { call, response: result });
                }
            }
            Ev::CloudReq { node, inc, call, op } => {
                let result = self.cloud(op);
                self.push(50, Ev::CloudRes { node, inc, call, result });
            }
            Ev::CloudRes { node, inc, call, result } => {
                if self.nodes[node].as_ref().is_some_and(|n| n.1 == inc) {
                    self.step(node, Input::Cloud { call, response: result });
                }
            }
            Ev::Frame { to, inc, frame } => {
                if self.nodes[to].as_ref().is_some_and(|n| n.1 == inc) {
                    self.step(to, Input::Frame(frame));
                }
            }
            Ev::WorkerHeartbeat { worker, id, node, heartbeat } => {
                if self.nodes[node].is_none() {
                    return;
                }
                let req = self.next_req;
                self.next_req += 1;
                self.worker_reqs.insert((node, req), (worker, id));
                self.step(
                    node,
                    Input::Http { request_id: req, request: HttpRequest::WorkerHeartbeat(heartbeat) },
                );
            }
            Ev::Reply { worker, id, node, answer } => {
                let wait = self.workers[worker].hung_until.saturating_sub(self.now);
                if wait > 0 {
                    return self.push(wait + 1, Ev::Reply { worker, id, node, answer });
                }
                self.worker_reply(worker, id, answer);
            }
            Ev::Direct { worker, order } => {
                let wait = self.workers[worker].hung_until.saturating_sub(self.now);
                if wait > 0 {
                    return self.push(wait + 1, Ev::Direct { worker, order });
                }
                self.direct(worker, order);
            }
            Ev::User { req, answer } => {
                self.hear(&answer);
                self.answers.insert(req, answer);
            }
        }
    }

    fn watches(&mut self) {
        if self.state.down {
            return;
        }
        let now = self.now;
        let list = std::mem::take(&mut self.state.watches);
        for w in list {
            let found = self.state.watch(&w.3, w.4);
            let late = (now >= w.5).then(|| {
                StoreResponse::Watch(WatchAnswer { revision: self.state.revision, events: vec![] })
            });
            let held = self.state.refuses.contains(&w.0);
            match found.or(late) {
                Some(result) if !held => {
                    let late = self.slow_watch.get(&w.0).copied().unwrap_or(0);
                    self.push(1 + late, Ev::StateRes { node: w.0, inc: w.1, call: w.2, result });
                }
                _ if now > w.5 + 3000 => {
                    let result = StoreResponse::OutcomeUnknown;
                    self.push(1, Ev::StateRes { node: w.0, inc: w.1, call: w.2, result });
                }
                _ => self.state.watches.push(w),
            }
        }
    }
}
