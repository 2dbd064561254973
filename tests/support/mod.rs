//! An in-memory world for stories: state service, cloud, workers, users and a
//! network, written from the protocol, with simulated time and fixed seeds.
//! An oracle checks the rules at every start of a task.

#![allow(dead_code)]

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::ops::Bound;
use std::sync::Arc;
use woadlever::config::{Operator, Platform};
use woadlever::core::{
    Answer, CloudOp, CloudResult, Core, HttpCall, Input, Output, StateOp, StateResult,
};
use woadlever::wire::encoded::Encoded;
use woadlever::wire::peer::Frame;
use woadlever::wire::state::{Change, Event as StateEvent, Item, Page, Txn, WatchAnswer};
use woadlever::wire::workers::{DirectCommands, Op, Report, ReportAnswer, ReportTask, TaskState};

pub const ZONES: [&str; 2] = ["east", "west"];
pub const LEASE_MS: u64 = 20_000;
pub const CANCEL_MS: u64 = 40_000;
const CLOUD_RPS: f64 = 5.0;

pub fn platform(node: usize, nodes: usize) -> Platform {
    Platform::parse("test.toml", &settings(node, nodes)).expect("settings")
}

/// Limits that the settings announce: KiB a value, changes a transaction, and
/// changes a second.
pub type Next = (f64, usize, f64);

fn sized_platform(size: Size, node: usize, nodes: usize, next: Option<Next>) -> Platform {
    let mut s = match size {
        Size::Small => settings(node, nodes),
        Size::Large => large_settings(node, nodes),
        Size::Fleet => fleet_settings(node, nodes),
    };
    if let Some((kb, ops, rate)) = next {
        s += &format!("[cluster.state.next]\nvalue_kb={kb:?}\ntxn_ops={ops}\nwrite_rps={rate:?}\n");
    }
    Platform::parse("test.toml", &s).expect("settings")
}

/// The same for hundreds of machines: large teams, few changes a second, and
/// rare reports.
fn large_settings(node: usize, nodes: usize) -> String {
    settings(node, nodes)
        .replace("report_s=3.0", "report_s=8.0")
        .replace("cpus_max=64.0", "cpus_max=4000.0")
        .replace("write_rps=200.0", "write_rps=20.0")
        .replace("rps=500.0", "rps=150.0")
}

/// The same for thousands of machines, whose work no team's limit holds back.
fn fleet_settings(node: usize, nodes: usize) -> String {
    settings(node, nodes)
        .replace("report_s=3.0", "report_s=8.0")
        .replace("cpus_max=64.0", "cpus_max=40000.0")
        .replace("cpus=16.0", "cpus=9000.0")
        .replace("write_rps=200.0", "write_rps=70.0")
        .replace("rps=500.0", "rps=200.0")
        .replace("max_connections=800", "max_connections=2500")
}

fn settings(node: usize, nodes: usize) -> String {
    let mut s = format!(
        "host_name=\"n{node}\"\ndomain=\"{}\"\nbind=\"127.0.0.1:1\"\ninternal_addr=\"127.0.0.1:2\"\n",
        ZONES[node % 2]
    );
    for p in (0..nodes).filter(|p| *p != node) {
        s += &format!(
            "[[known]]\nhost_name=\"n{p}\"\ndomain=\"{}\"\nendpoint=\"127.0.0.1:3\"\n",
            ZONES[p % 2]
        );
    }
    s += "[endpoints]\ncloud=\"127.0.0.1:4\"\nstate=\"127.0.0.1:5\"\n[cluster]\nzones=[\"east\",\"west\"]\n\
          [[cluster.teams]]\nname=\"t0\"\ncpus=16.0\ncpus_max=32.0\n\
          [[cluster.teams]]\nname=\"t1\"\ncpus=16.0\ncpus_max=64.0\n\
          [cluster.workers]\nreport_s=3.0\nlease_s=20.0\ncancel_s=40.0\n\
          [cluster.state]\nrps=500.0\nwrite_rps=200.0\nvalue_kb=8.0\ntxn_ops=12\n\
          [cluster.cloud]\nrps=5.0\nlist_lag_s=4.0\n\
          [cluster.limits]\nmax_connections=800\n";
    s
}

pub fn job(id: u32, team: &str, tasks: u32, run_s: f64) -> Value {
    json!({"name_id": format!("run-{id:06}"), "jobclass": "c", "crew": team, "shape": "batch",
        "urgency": "normal", "pieces": tasks, "cores": 4.0, "cards": 0.0, "memory_gb": 4.0,
        "hulltypes": null, "yard": null, "one_zone": false, "scatter": false, "standby": true,
        "bundle": "img", "pull_gb": 0.5, "guess_s": run_s, "bookmark_s": 0.0, "stow_s": 0.0})
}

// ---- state service ----

#[derive(Default)]
pub struct State {
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub revision: u64,
    leases: HashMap<u64, (u64, u64)>,
    next_lease: u64,
    log: Vec<StateEvent>,
    /// Changes up to here are no longer kept.
    pub floor: u64,
    pub down: bool,
    pub refuses: HashSet<usize>,
    watches: Vec<(usize, u64, u64, String, u64, u64)>,
    pub writes: u64,
    /// Calls that reached the service, watches included.
    pub requests: u64,
    /// Requests and changes a second, with bursts of a second's worth; none:
    /// not enforced.
    pub rates: Option<(f64, f64)>,
    tokens: (f64, f64, u64),
    pub refused: u64,
    /// KiB a value and changes a transaction, since the limits have fallen.
    pub fallen: Option<(f64, usize)>,
    /// Keys of what was rejected for its size since.
    pub rejected: Vec<String>,
    /// Items on a page, where not few.
    pub page_size: Option<usize>,
}

impl State {
    /// Whether the service has to answer 429.
    fn over_rate(&mut self, now: u64, op: &StateOp) -> bool {
        let Some((rps, writes)) = self.rates else { return false };
        let passed = (now - self.tokens.2) as f64 / 1000.0;
        self.tokens.0 = (self.tokens.0 + rps * passed).min(rps);
        self.tokens.1 = (self.tokens.1 + writes * passed).min(writes);
        self.tokens.2 = now;
        let n = if let StateOp::Txn(t) = op { t.changes.len() as f64 } else { 0.0 };
        if self.tokens.0 < 1.0 || self.tokens.1 < n {
            self.refused += 1;
            return true;
        }
        self.tokens.0 -= 1.0;
        self.tokens.1 -= n;
        false
    }

    /// A record as some other process has written it.
    pub fn put_record(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.change(key, Some((value, None)));
    }

    fn change(&mut self, key: &str, value: Option<(Value, Option<u64>)>) {
        let version = self.revision;
        let (put, delete) =
            if value.is_some() { (Some(key.to_string()), None) } else { (None, Some(key.to_string())) };
        let data = value.as_ref().map_or(Value::Null, |v| v.0.clone());
        self.log.push(StateEvent { put, delete, value: Encoded::new(&data), version });
        match value {
            Some((v, lease)) => {
                self.keys.insert(key.into(), (v, version, lease));
            }
            None => {
                self.keys.remove(key);
            }
        }
    }

    fn expire(&mut self, now: u64) {
        if self.down {
            // After an outage every lease has its full time again.
            for l in self.leases.values_mut() {
                l.1 = now + l.0;
            }
            return;
        }
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.1 <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, v)| v.2 == Some(id)).map(|(k, _)| k.clone()).collect();
        for k in keys {
            self.revision += 1;
            self.change(&k, None);
        }
    }

    fn txn(&mut self, t: &Txn) -> StateResult {
        let failed: Vec<String> = t
            .conds
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |v| v.1) != c.version)
            .map(|c| c.key.clone())
            .collect();
        for c in &t.changes {
            if let Change::Put { lease: Some(l), .. } = c
                && !self.leases.contains_key(l)
            {
                return StateResult::NoLease;
            }
        }
        if !failed.is_empty() {
            return StateResult::Failed(failed);
        }
        let bytes = serde_json::to_string(t).map_or(0, |s| s.len());
        assert!(bytes <= 64 << 10, "transaction of {bytes} bytes");
        if let Some((kb, ops)) = self.fallen {
            let too_long = |c: &&Change| match c {
                Change::Put { value, .. } => value.len() as f64 > kb * 1024.0,
                Change::Delete { .. } => false,
            };
            if let Some(Change::Put { key, .. }) = t.changes.iter().find(too_long) {
                self.rejected.push(key.clone());
                return StateResult::Bad;
            }
            assert!(t.changes.len() <= ops && t.conds.len() <= 4 * ops, "transaction over its limits");
        }
        assert!(t.changes.len() <= 12 && t.conds.len() <= 48, "transaction over its limits");
        self.revision += 1;
        self.writes += t.changes.len() as u64;
        for c in &t.changes {
            match c {
                Change::Put { key, value, lease } => {
                    assert!(value.len() <= 8 << 10, "value over its limit: {key}");
                    let value = value.decode().expect("JSON");
                    self.change(key, Some((value, *lease)));
                }
                Change::Delete { key } => self.change(key, None),
            }
        }
        StateResult::Done { revision: self.revision }
    }

    fn run(&mut self, now: u64, op: &StateOp) -> StateResult {
        match op {
            StateOp::Get(k) => match self.keys.get(k) {
                Some((v, s, _)) => {
                    StateResult::Item(Item { key: k.clone(), value: Encoded::new(v), version: *s })
                }
                None => StateResult::Missing,
            },
            StateOp::List { prefix, since, most } => {
                // Small pages, so that every story pages.
                let page = self.page_size.unwrap_or(20).min(*most as usize);
                let from = match since {
                    Some(key) => Bound::Excluded(key.clone()),
                    None => Bound::Included(prefix.clone()),
                };
                let mut items: Vec<Item> = self
                    .keys
                    .range((from, Bound::Unbounded))
                    .take_while(|(k, _)| k.starts_with(prefix.as_str()))
                    .take(page + 1)
                    .map(|(k, v)| Item { key: k.clone(), value: Encoded::new(&v.0), version: v.1 })
                    .collect();
                let more = items.len() > page;
                items.truncate(page);
                StateResult::Page(Page { items, more, revision: self.revision })
            }
            StateOp::Txn(t) => self.txn(t),
            StateOp::Grant { ttl_ms } => {
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (*ttl_ms, now + ttl_ms));
                StateResult::Lease(self.next_lease)
            }
            StateOp::Renew(id) => match self.leases.get_mut(id) {
                Some(l) => {
                    l.1 = now + l.0;
                    StateResult::Done { revision: 0 }
                }
                None => StateResult::NoLease,
            },
            StateOp::Release(id) => {
                self.end_lease(*id);
                StateResult::Done { revision: 0 }
            }
            StateOp::Watch { .. } => unreachable!("watches are kept by the world"),
        }
    }

    fn watch(&self, prefix: &str, since: u64) -> Option<StateResult> {
        if since < self.floor {
            return Some(StateResult::TooOld);
        }
        let touches = |e: &StateEvent| {
            let k = e.put.as_ref().or(e.delete.as_ref());
            e.version > since && k.is_some_and(|k| k.starts_with(prefix))
        };
        let from = self.log.partition_point(|e| e.version <= since);
        let events: Vec<StateEvent> = self.log[from..].iter().filter(|e| touches(e)).cloned().collect();
        (!events.is_empty())
            .then_some(StateResult::Watch(WatchAnswer { revision: self.revision, events }))
    }
}

// ---- workers and cloud ----

pub struct WTask {
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
    /// Its reports reach nobody, while direct commands reach it.
    pub mute: bool,
    /// It hangs until then: it does nothing, and what reaches it waits.
    pub hung_until: u64,
    pub sick: bool,
    pub session: u64,
    pub seq: u64,
    pub token: u64,
    pub tasks: Vec<WTask>,
    /// When the last answered report was sent.
    lease_from: u64,
    in_flight: Option<(u64, u64)>,
    next_at: u64,
    report_at: u64,
    node: usize,
    changed: bool,
}

impl Worker {
    pub fn report(&self) -> Report {
        Report {
            machine: self.name.clone(),
            addr: self.name.clone(),
            machine_type: self.type_name.clone(),
            zone: self.zone.clone(),
            spot: self.spot,
            session: self.session,
            seq: self.seq,
            token: self.token,
            notice_s: None,
            tasks: self
                .tasks
                .iter()
                .map(|t| ReportTask {
                    task: format!("{}/{}", t.job, t.task),
                    attempt: t.attempt,
                    state: t.state,
                    why: t.why.clone(),
                })
                .collect(),
        }
    }
}

enum Ev {
    StateReq { node: usize, inc: u64, call: u64, op: StateOp, silent: bool, late: bool },
    StateRes { node: usize, inc: u64, call: u64, result: StateResult },
    CloudReq { node: usize, inc: u64, call: u64, op: CloudOp },
    CloudRes { node: usize, inc: u64, call: u64, result: CloudResult },
    Frame { to: usize, inc: u64, frame: Frame },
    Report { worker: usize, id: u64, node: usize, report: Box<Report> },
    Reply { worker: usize, node: usize, id: u64, answer: Answer },
    Direct { worker: usize, order: DirectCommands },
    User { req: u64, answer: Answer },
}

/// What becomes of a transaction that a story picks out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fate {
    /// No answer; carried out when the story says so.
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
    seq: u64,
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
    under_way: Vec<Txn>,
    /// Tasks that started after their job's cancellation was confirmed: how long
    /// after.
    pub late_starts: Vec<(String, u64)>,
    /// How long rented machines take to boot.
    pub boot_ms: std::ops::Range<u64>,
}

/// How large a world is, and with it how rare its reports are.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Size {
    Small,
    Large,
    Fleet,
}

impl World {
    pub fn new(nodes: usize, seed: u64) -> World {
        World::sized(nodes, seed, Size::Small, None)
    }

    /// With limits announced that come later, by `fall`.
    pub fn announced(nodes: usize, seed: u64, next: Next) -> World {
        World::sized(nodes, seed, Size::Small, Some(next))
    }

    /// As the version in production left it, with all processes new: its
    /// records, and its machines in the midst of their tasks.
    pub fn from_production(seed: u64, next: Next) -> World {
        let text = include_str!("../fixtures/production.json");
        let d: Value = serde_json::from_str(text).expect("fixture");
        let mut w = World::sized(3, seed, Size::Large, Some(next));
        w.state.rates = Some((150.0, 20.0));
        w.capacity = 0;
        w.run_ms = 200_000;
        w.now = d["now"].as_u64().unwrap();
        for i in 0..3 {
            w.boot(i);
        }
        let number = |v: &Value| v.as_u64().unwrap();
        w.state.revision = number(&d["revision"]);
        w.state.floor = w.state.revision;
        for k in d["keys"].as_array().unwrap() {
            let lease = k[1]["lease"].as_u64();
            if let Some(l) = lease {
                w.state.leases.insert(l, (5_000, w.now + 5_000));
                w.state.next_lease = l;
            }
            let value = (k[1].clone(), number(&k[2]), lease);
            w.state.keys.insert(k[0].as_str().unwrap().into(), value);
        }
        for (i, x) in d["workers"].as_array().unwrap().iter().enumerate() {
            let r: Report = serde_json::from_value(x.clone()).expect("worker");
            w.add_worker(i, &r.zone, r.spot, 0);
            let left = x["left_ms"].as_array().unwrap();
            let worker = &mut w.workers[i];
            (worker.session, worker.seq, worker.token) = (r.session, r.seq, r.token);
            for (t, left) in r.tasks.into_iter().zip(left) {
                let (job, task) = t.task.rsplit_once('/').unwrap();
                worker.tasks.push(WTask {
                    job: job.into(),
                    task: task.parse().unwrap(),
                    attempt: t.attempt,
                    state: t.state,
                    why: t.why,
                    at: w.now + number(left),
                });
                w.starts.insert(format!("{job}/{task}"), 1);
            }
        }
        for (id, j) in d["jobs"].as_object().unwrap() {
            w.jobs.insert(id.clone(), j.clone());
            let key = |k: &str| w.state.keys.get(k).map(|v| v.0.clone());
            if key(&format!("w/job/{id}")).is_some_and(|v| v["s"] == "c") {
                w.asked_to_cancel.insert(id.clone());
            }
            if key(&format!("progress/{id}/0")).is_some() {
                // As many as the oracle looks at.
                w.starts.extend((0..200).map(|t| (format!("{id}/{t}"), 1)));
            }
        }
        w
    }

    /// The announced limits come, without notice.
    pub fn fall(&mut self) {
        let (kb, ops, rate) = self.next.expect("limits were announced");
        self.state.fallen = Some((kb, ops));
        if let Some(r) = &mut self.state.rates {
            r.1 = rate;
        }
    }

    /// Tasks on machines that no record speaks of.
    pub fn off_record(&self) -> Vec<String> {
        let mut listed: HashSet<(String, u64)> = HashSet::new();
        for (_, v) in self.state.keys.iter().filter(|(k, _)| k.starts_with("place/")) {
            let base = v.0["b"].as_u64().unwrap();
            for m in v.0["m"].as_array().unwrap() {
                let name = m[0].as_str().unwrap();
                let ids = m[3].as_array().unwrap().chunks(3).map(|t| base + t[2].as_u64().unwrap());
                listed.extend(ids.map(|id| (name.to_string(), id)));
            }
        }
        let mut out = Vec::new();
        for w in self.workers.iter().filter(|w| w.alive) {
            let live = |t: &&WTask| t.state != TaskState::Exited;
            for t in w.tasks.iter().filter(live) {
                if !listed.contains(&(w.name.clone(), t.attempt)) {
                    out.push(format!("{}/{} on {}", t.job, t.task, w.name));
                }
            }
        }
        out
    }

    /// With the rates of the settings enforced, and no machines to be had but
    /// those that a story adds.
    pub fn large(nodes: usize, seed: u64) -> World {
        let mut w = World::sized(nodes, seed, Size::Large, None);
        w.state.rates = Some((150.0, 20.0));
        w.capacity = 0;
        w
    }

    /// The same for thousands of machines.
    pub fn fleet(nodes: usize, seed: u64) -> World {
        let mut w = World::sized(nodes, seed, Size::Fleet, None);
        w.state.rates = Some((200.0, 70.0));
        w.capacity = 0;
        w
    }

    fn sized(nodes: usize, seed: u64, size: Size, next: Option<Next>) -> World {
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
            seq: 0,
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
        };
        for i in 0..nodes {
            w.boot(i);
        }
        w
    }

    pub fn boot(&mut self, node: usize) {
        self.next_inc += 1;
        let inc = self.next_inc;
        let cfg = Arc::new(sized_platform(self.size, node, self.n, self.next));
        let core = Core::new(cfg, Operator::default(), inc, inc * 7, 1);
        self.booted[node] = self.now;
        self.nodes[node] = Some((core, inc));
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
            Ev::Report { worker, node, .. } | Ev::Reply { worker, node, .. } => {
                of_worker(*worker) != of_node(*node)
            }
            _ => false,
        }
    }

    /// What a slow node still has before it when this reaches it.
    fn lag_of(&self, ev: &Ev) -> u64 {
        let node = match ev {
            Ev::StateRes { node, .. } | Ev::CloudRes { node, .. } | Ev::Report { node, .. } => node,
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
        self.seq += 1;
        self.queue.insert((self.now + delay, self.seq), ev);
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
        for out in core.step(now, wall, input) {
            match out {
                Output::Answer { req, answer } => {
                    if let Some((worker, id)) = self.worker_reqs.remove(&(node, req)) {
                        let d = 1 + self.rng.random_range(0..3);
                        if !self.lose_replies.contains(&worker) {
                            self.push(d, Ev::Reply { worker, node, id, answer });
                        }
                    } else {
                        self.push(1, Ev::User { req, answer });
                    }
                }
                Output::State { call, op } => {
                    if let Some(fate) = self.fate_of(node, &op) {
                        let StateOp::Txn(t) = op else { continue };
                        if fate == Fate::Late {
                            self.under_way.push(t);
                        } else if !self.state.down {
                            self.state.txn(&t);
                        }
                        let result = StateResult::Unknown;
                        self.push(self.given_up_ms, Ev::StateRes { node, inc, call, result });
                        continue;
                    }
                    let silent = self.lossy > 0.0
                        && matches!(op, StateOp::Txn(_))
                        && self.rng.random_range(0.0..1.0) < self.lossy;
                    // A lost call may still run, seconds later.
                    let mut slow = self.slow.get(&node).copied().unwrap_or(0);
                    if matches!(op, StateOp::Txn(_)) {
                        slow += self.slow_txn.get(&node).copied().unwrap_or(0);
                    }
                    let late = slow > 0;
                    let d = slow + if silent { self.rng.random_range(1..8000) } else { 2 };
                    if silent {
                        self.push(2000, Ev::StateRes { node, inc, call, result: StateResult::Unknown });
                    }
                    self.push(d, Ev::StateReq { node, inc, call, op, silent, late });
                }
                Output::Cloud { call, op } => self.push(50, Ev::CloudReq { node, inc, call, op }),
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
                Output::Direct { addr, commands: order } => {
                    let found = self.workers.iter().position(|w| w.name == addr);
                    if let Some(worker) = found.filter(|_| !self.cut(node, usize::MAX)) {
                        self.push(2, Ev::Direct { worker, order });
                    }
                }
                Output::Reconnect { to } => self.reconnects.push((node, to)),
            }
        }
    }

    fn fate_of(&mut self, node: usize, op: &StateOp) -> Option<Fate> {
        let (at, prefix, fate) = self.pick.as_ref().filter(|p| p.0 == node)?;
        let StateOp::Txn(t) = op else { return None };
        let touches = |c: &Change| match c {
            Change::Put { key, .. } | Change::Delete { key } => key.starts_with(prefix.as_str()),
        };
        let found = (*at == node && t.changes.iter().any(touches)).then_some(*fate);
        self.picked += usize::from(found.is_some());
        found
    }

    /// What was under way is carried out after all, in order: what became of it.
    pub fn carry_out_late(&mut self) -> Vec<StateResult> {
        let late = std::mem::take(&mut self.under_way);
        late.iter().map(|t| self.state.txn(t)).collect()
    }

    fn cut(&self, a: usize, b: usize) -> bool {
        self.cuts.contains(&(a, b)) || self.cuts.contains(&(b, a))
    }

    /// A user's request to one node; the answer shows up in `answers`.
    pub fn ask(&mut self, node: usize, call: HttpCall) -> u64 {
        let req = self.next_req;
        self.next_req += 1;
        self.reqs.insert(req, (self.now, node));
        self.step(node, Input::Http { req, call });
        req
    }

    pub fn submit(&mut self, node: usize, body: &Value) -> u64 {
        let id = body["name_id"].as_str().unwrap_or("").to_string();
        self.jobs.entry(id).or_insert(body.clone());
        self.ask(node, HttpCall::Submit(body.to_string().into_bytes()))
    }

    /// A report that was under way for a long time reaches a node after all.
    pub fn late_report(&mut self, node: usize, report: Report) {
        let req = self.next_req;
        self.next_req += 1;
        self.step(node, Input::Http { req, call: HttpCall::Checkin(Box::new(report)) });
    }

    /// The node that holds a machine's block, as the records say.
    pub fn holder_of(&self, worker: usize) -> usize {
        let cfg = platform(0, self.n);
        let mut nodes: Vec<(String, String)> =
            cfg.peers.iter().map(|p| (p.node.clone(), p.zone.clone())).collect();
        nodes.push((cfg.node.clone(), cfg.zone.clone()));
        let blocks = woadlever::core::model::blocks_of(&cfg.cluster.zones, &nodes);
        let w = &self.workers[worker];
        let b = woadlever::core::model::block_of(&blocks, &w.zone, &w.name).unwrap();
        let rec = &self.state.keys[&format!("w/block/{}", blocks[b as usize].name)].0;
        rec["node"].as_str().unwrap()[1..].parse().unwrap()
    }

    /// The record that lists a machine, and the machine's row in it.
    pub fn shelf_of(&self, name: &str) -> Option<(String, Value)> {
        let shelves = self.state.keys.iter().filter(|(k, _)| k.starts_with("place/"));
        shelves
            .filter_map(|(k, v)| {
                let rows = v.0["m"].as_array()?;
                Some((k.clone(), rows.iter().find(|r| r[0] == name)?.clone()))
            })
            .next()
    }

    /// Submits until accepted.
    pub fn accept(&mut self, node: usize, body: &Value) {
        for _ in 0..60 {
            let r = self.submit(node, body);
            self.run(1000);
            if self.answers.get(&r).is_some_and(|a| a.status == 200 || a.status == 201) {
                return;
            }
        }
        panic!("not accepted: {body}");
    }

    pub fn status(&mut self, node: usize, id: &str) -> String {
        let r = self.ask(node, HttpCall::Status(id.into()));
        self.run(300);
        self.answers.get(&r).map_or("none".into(), |a| {
            let v: Value = serde_json::from_str(&a.body).unwrap_or_default();
            v["status"].as_str().map_or(format!("{}", a.status), str::to_string)
        })
    }

    pub fn until_done(&mut self, id: &str, limit_ms: u64) -> bool {
        let end = self.now + limit_ms;
        while self.now < end {
            self.run(500);
            if self.state.keys.get(&format!("w/job/{id}")).is_some_and(|v| v.0["s"] == "d") {
                return true;
            }
        }
        false
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
                if let StateOp::Watch { prefix, since, block_ms } = &op {
                    if self.state.down || refused {
                        self.push(2, Ev::StateRes { node, inc, call, result: StateResult::NotExecuted });
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
                    StateResult::NotExecuted
                } else {
                    self.state.run(self.now, &op)
                };
                self.push(2, Ev::StateRes { node, inc, call, result });
            }
            Ev::StateRes { node, inc, call, result } => {
                if self.nodes[node].as_ref().is_some_and(|n| n.1 == inc) {
                    self.step(node, Input::State { call, result });
                }
            }
            Ev::CloudReq { node, inc, call, op } => {
                let result = self.cloud(op);
                self.push(50, Ev::CloudRes { node, inc, call, result });
            }
            Ev::CloudRes { node, inc, call, result } => {
                if self.nodes[node].as_ref().is_some_and(|n| n.1 == inc) {
                    self.step(node, Input::Cloud { call, result });
                }
            }
            Ev::Frame { to, inc, frame } => {
                if self.nodes[to].as_ref().is_some_and(|n| n.1 == inc) {
                    self.step(to, Input::Frame(frame));
                }
            }
            Ev::Report { worker, id, node, report } => {
                if self.nodes[node].is_none() {
                    return;
                }
                let req = self.next_req;
                self.next_req += 1;
                self.worker_reqs.insert((node, req), (worker, id));
                self.step(node, Input::Http { req, call: HttpCall::Checkin(report) });
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
                StateResult::Watch(WatchAnswer { revision: self.state.revision, events: vec![] })
            });
            let held = self.state.refuses.contains(&w.0);
            match found.or(late) {
                Some(result) if !held => {
                    let late = self.slow_watch.get(&w.0).copied().unwrap_or(0);
                    self.push(1 + late, Ev::StateRes { node: w.0, inc: w.1, call: w.2, result });
                }
                _ if now > w.5 + 3000 => {
                    let result = StateResult::Unknown;
                    self.push(1, Ev::StateRes { node: w.0, inc: w.1, call: w.2, result });
                }
                _ => self.state.watches.push(w),
            }
        }
    }

    fn cloud(&mut self, op: CloudOp) -> CloudResult {
        if self.cloud_down {
            return CloudResult::NotExecuted;
        }
        self.cloud_calls += 1;
        let (left, at) = self.cloud_rate;
        let left = (left + CLOUD_RPS * (self.now - at) as f64 / 1000.0).min(2.0 * CLOUD_RPS);
        if left < 1.0 {
            self.cloud_rate = (left, self.now);
            self.cloud_refused += 1;
            return CloudResult::NotExecuted;
        }
        self.cloud_rate = (left - 1.0, self.now);
        match op {
            CloudOp::Catalog => {
                let mut types = vec![json!({"label":"m16","cores":16,"cards":0,
                    "memory_gb":64,"cache_gb":50,"pull_gb_per_s":1.0,"price":1.0,"spot_price":0.4,
                    "ready_s":10,"yards":ZONES})];
                for i in 0..self.more_types {
                    types.push(json!({"label":format!("tiny{i}"),"cores":1,"cards":0,"memory_gb":1,
                        "cache_gb":1,"pull_gb_per_s":1.0,"price":9.0,"spot_price":9.0,"ready_s":10,
                        "yards":ZONES}));
                }
                let catalog = json!({ "hulltypes": types });
                CloudResult::Catalog(serde_json::from_value(catalog).unwrap())
            }
            CloudOp::List { since } => {
                let after = since.unwrap_or_default();
                let now = self.now;
                let list: Vec<Value> = self
                    .workers
                    .iter()
                    .filter(|w| w.rented + 4000 <= now && w.name > after)
                    .filter(|w| !self.returned.contains(&w.name))
                    .map(|w| {
                        json!({"name_id":w.name,"hulltype":w.type_name,"yard":w.zone,"standby":w.spot,
                            "status": if now < w.up_at {"starting"} else {"running"},
                            "age_s":(now - w.rented) as f64 / 1000.0})
                    })
                    .collect();
                CloudResult::Page(
                    serde_json::from_value(json!({"hulls":list,"has_next":false})).unwrap(),
                )
            }
            CloudOp::Rent(r) => {
                assert!(r.count <= 50, "{} machines in one request", r.count);
                if let Some(old) = self.charters.get(&r.request) {
                    return CloudResult::Rented(serde_json::from_value(json!({"hulls":old})).unwrap());
                }
                let up = self.workers.iter().filter(|w| !self.returned.contains(&w.name)).count();
                let n = (r.count as usize).min(self.capacity.saturating_sub(up));
                if n == 0 {
                    return CloudResult::NoCapacity;
                }
                let mut names = Vec::new();
                for _ in 0..n {
                    self.rented += 1;
                    let boot = self.rng.random_range(self.boot_ms.clone());
                    names.push(self.add_worker(self.rented, &r.zone, r.spot, boot));
                }
                self.charters.insert(r.request, names.clone());
                CloudResult::Rented(serde_json::from_value(json!({"hulls":names})).unwrap())
            }
            CloudOp::Return(r) => {
                assert!(r.machines.len() <= 100, "{} names in one request", r.machines.len());
                for name in r.machines {
                    if let Some(w) = self.workers.iter_mut().find(|w| w.name == name) {
                        w.alive = false;
                        w.tasks.clear();
                    }
                    self.returned.push(name);
                }
                CloudResult::Returned
            }
        }
    }

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
            session: 1,
            seq: 0,
            token: 0,
            tasks: Vec::new(),
            lease_from: up_at,
            in_flight: None,
            next_at: up_at,
            report_at: 0,
            node: number % self.n,
            changed: false,
        });
        name
    }

    /// The worker's process starts anew on the same machine.
    pub fn restart_worker(&mut self, i: usize) {
        let now = self.now;
        let w = &mut self.workers[i];
        (w.session, w.seq, w.token) = (1, 0, 0);
        w.tasks.clear();
        w.lease_from = now;
        w.in_flight = None;
        w.next_at = now;
    }

    fn worker_tick(&mut self, i: usize) {
        let now = self.now;
        let jitter = self.rng.random_range(0..1500);
        let rare = self.size != Size::Small;
        let w = &mut self.workers[i];
        if !w.alive || now < w.up_at || now < w.hung_until {
            return;
        }
        if now > w.lease_from + LEASE_MS {
            w.tasks.clear();
            w.session += 1;
            w.seq = 0;
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
            w.node = (w.node + 1) % self.n;
            w.next_at = now + 1000;
        }
        if w.in_flight.is_none() && (now >= w.next_at || w.changed && now >= w.report_at + 500) && !w.cut
        {
            w.changed = false;
            w.seq += 1;
            let id = self.seq + 1;
            w.in_flight = Some((id, now));
            w.report_at = now;
            w.next_at = now + if rare { 6_000 + jitter * 8 / 3 } else { 2_250 + jitter };
            let (node, report) = (w.node, Box::new(w.report()));
            if !self.cut(node, usize::MAX) && !self.workers[i].mute {
                self.push(2, Ev::Report { worker: i, id, node, report });
            }
        }
        for (job, task) in started {
            self.started(i, &job, task);
        }
    }

    fn worker_reply(&mut self, i: usize, id: u64, answer: Answer) {
        let now = self.now;
        let n = self.n;
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
        let a: ReportAnswer = serde_json::from_str(&answer.body).expect("answer to a report");
        if a.token < w.token {
            return;
        }
        w.changed |= a.token > w.token;
        w.token = a.token;
        w.lease_from = w.lease_from.max(sent);
        for c in a.commands {
            let Some((job, task)) = c.task.rsplit_once('/') else { continue };
            let task: u32 = task.parse().unwrap();
            let found =
                w.tasks.iter().position(|t| t.job == job && t.task == task && t.attempt == c.attempt);
            match (c.op, found) {
                (Op::Start, None) => {
                    let busy = w
                        .tasks
                        .iter()
                        .any(|t| t.job == job && t.task == task && t.state != TaskState::Exited);
                    w.tasks.push(WTask {
                        job: job.into(),
                        task,
                        attempt: c.attempt,
                        state: if busy { TaskState::Exited } else { TaskState::Fetching },
                        why: busy.then(|| "in_use".into()),
                        at: now + 500,
                    });
                    w.changed = true;
                }
                (Op::Stop, Some(t)) if w.tasks[t].state != TaskState::Exited => {
                    w.tasks[t].state = TaskState::Exited;
                    w.tasks[t].why = Some("halted".into());
                    w.changed = true;
                }
                (Op::Forget, Some(t)) if w.tasks[t].state == TaskState::Exited => {
                    w.tasks.remove(t);
                    w.changed = true;
                }
                _ => {}
            }
        }
    }

    /// A command that came straight to the worker.
    fn direct(&mut self, i: usize, order: DirectCommands) {
        let w = &mut self.workers[i];
        if !w.alive || w.cut {
            return;
        }
        // The answer is a report, and counts as one.
        w.seq += 1;
        if order.token < w.token || order.session != w.session {
            return;
        }
        w.token = order.token;
        for c in order.commands {
            assert_eq!(c.op, Op::Stop, "a direct command may be carried out minutes late");
            let (job, task) = c.task.rsplit_once('/').unwrap();
            let task: u32 = task.parse().unwrap();
            let here = |t: &&mut WTask| t.job == job && t.task == task && t.attempt == c.attempt;
            if let Some(t) = w.tasks.iter_mut().find(here).filter(|t| t.state != TaskState::Exited) {
                t.state = TaskState::Exited;
                t.why = Some("halted".into());
                w.changed = true;
            }
        }
    }

    // ---- the rules ----

    /// The jobs that a job awaits, directly or through others.
    pub fn before(&self, id: &str) -> Vec<String> {
        let mut out: Vec<String> = Vec::new();
        let mut list = vec![id.to_string()];
        while let Some(id) = list.pop() {
            for a in self.jobs.get(&id).and_then(|j| j["awaits"].as_array()).into_iter().flatten() {
                let a = a.as_str().unwrap_or_default().to_string();
                if !out.contains(&a) {
                    out.push(a.clone());
                    list.push(a);
                }
            }
        }
        out
    }

    /// Holds an answer to a user against what users were told before.
    fn hear(&mut self, answer: &Answer) {
        let v: Value = serde_json::from_str(&answer.body).unwrap_or_default();
        let (Some(id), Some(status)) = (v["name_id"].as_str(), v["status"].as_str()) else { return };
        if let Some(before) = self.told.get(id).filter(|b| *b != status) {
            self.broken.push(format!("{} went_back {id}: {before}, then {status}", self.now));
        }
        let mut family = self.before(id);
        family.push(id.to_string());
        match status {
            "queued" | "running" => {
                let late =
                    |a: &&String| self.cancelled.get(*a).is_some_and(|at| self.now > at + CANCEL_MS);
                if let Some(a) = family.iter().find(late) {
                    self.broken.push(format!("{} orphaned {id}: {a} is withdrawn", self.now));
                }
            }
            "withdrawn" => {
                let key = |a: &String| format!("w/job/{a}");
                let cancelled = |a: &String| {
                    self.asked_to_cancel.contains(a)
                        || self.state.keys.get(&key(a)).is_some_and(|v| v.0["s"] == "c" && a != id)
                };
                if !family.iter().any(cancelled) {
                    self.broken.push(format!("{} went_back {id}: nobody cancelled it", self.now));
                }
                self.told.insert(id.into(), status.into());
                if self.asked_to_cancel.contains(id) {
                    self.cancelled.entry(id.into()).or_insert(self.now);
                }
            }
            _ => {
                self.told.insert(id.into(), status.into());
            }
        }
    }

    fn started(&mut self, worker: usize, job: &str, task: u32) {
        *self.starts.entry(format!("{job}/{task}")).or_default() += 1;
        if let Some(at) = self.cancelled.get(job) {
            self.late_starts.push((format!("{job}/{task}"), self.now - at));
            if self.now > at + CANCEL_MS {
                self.broken.push(format!("{} ran_cancelled {job}/{task} started", self.now));
            }
        }
        for (i, w) in self.workers.iter().enumerate() {
            let there = |t: &WTask| {
                t.task == task
                    && t.job == job
                    && matches!(t.state, TaskState::Running | TaskState::Saving)
            };
            if i != worker && w.alive && w.tasks.iter().any(there) {
                self.broken.push(format!("{} ran_twice {job}/{task}", self.now));
            }
        }
        let Some(spec) = self.jobs.get(job) else {
            self.broken.push(format!("started an unknown job {job}"));
            return;
        };
        for a in spec["awaits"].as_array().into_iter().flatten() {
            let key = format!("w/job/{}", a.as_str().unwrap_or_default());
            if self.state.keys.get(&key).is_none_or(|v| v.0["s"] != "d") {
                self.broken.push(format!("{} too_early {job}/{task}: {a} is not done", self.now));
            }
        }
        // A look at all tasks of all machines for each start would take longer
        // than the service itself; no team's limit is near here.
        let sums = self.size != Size::Fleet || self.starts.len().is_multiple_of(200);
        let w = &self.workers[worker];
        if (spec["standby"] == false && w.spot) || spec["yard"].as_str().is_some_and(|y| y != w.zone) {
            self.broken.push(format!("{} wrong_place {job}/{task}", self.now));
        }
        let (one, scatter) = (spec["one_zone"] == true, spec["scatter"] == true);
        let total = spec["pieces"].as_u64().unwrap_or(0);
        let mut zones: HashMap<&str, u64> = HashMap::new();
        let mut used: HashMap<&str, f64> = HashMap::new();
        for w in self.workers.iter().filter(|w| sums && w.alive) {
            for t in w.tasks.iter().filter(|t| matches!(t.state, TaskState::Running | TaskState::Saving))
            {
                if t.job == job {
                    *zones.entry(&w.zone).or_default() += 1;
                }
                if let Some(s) = self.jobs.get(&t.job) {
                    *used.entry(s["crew"].as_str().unwrap()).or_default() +=
                        s["cores"].as_f64().unwrap();
                }
            }
        }
        if one && zones.len() > 1 || scatter && zones.values().any(|n| *n > total.div_ceil(2)) {
            self.broken.push(format!("{} wrong_place (zones) {job}/{task}", self.now));
        }
        let most = match self.size {
            Size::Small => 64.0,
            Size::Large => 4_000.0,
            Size::Fleet => 40_000.0,
        };
        for (team, limit) in [("t0", 32.0), ("t1", most)] {
            if used.get(team).is_some_and(|u| *u > limit) {
                self.broken.push(format!("{} quota {team}", self.now));
            }
        }
    }

    fn check(&mut self) {
        for (job, at) in &self.cancelled {
            if self.now > at + CANCEL_MS
                && self.workers.iter().any(|w| {
                    w.alive && w.tasks.iter().any(|t| t.job == *job && t.state != TaskState::Exited)
                })
            {
                self.broken.push(format!("{} ran_cancelled {job}", self.now));
            }
        }
        // Starts only grow, so a job is looked at once, when it is called done.
        for (id, spec) in &self.jobs {
            if self.called_done.contains(id) {
                continue;
            }
            let Some(v) = self.state.keys.get(&format!("w/job/{id}")) else { continue };
            if v.0["s"] == "d" {
                self.called_done.insert(id.clone());
                for t in 0..spec["pieces"].as_u64().unwrap_or(0).min(200) {
                    if !self.starts.contains_key(&format!("{id}/{t}")) {
                        self.broken.push(format!("{} not_done {id}/{t}", self.now));
                    }
                }
            }
        }
    }

    pub fn cancel(&mut self, node: usize, id: &str) -> u16 {
        self.asked_to_cancel.insert(id.into());
        let r = self.ask(node, HttpCall::Cancel(id.into()));
        self.run(500);
        let a = self.answers.get(&r).cloned();
        if let Some(a) = &a
            && a.body.contains("withdrawn")
        {
            self.cancelled.entry(id.into()).or_insert(self.now);
        }
        a.map_or(0, |a| a.status)
    }

    pub fn fair(&self) {
        assert!(self.broken.is_empty(), "rules broken: {:?}", &self.broken[..self.broken.len().min(5)]);
    }
}
