//! Several cells, each a [`World`] of its own, and the network between them. An oracle
//! compares the starts of all cells.

use super::{CANCEL_MS, Fate, World};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use woadlever::config::Operator;
use woadlever::core::HttpRequest;
use woadlever::wire::workers::TaskState;
use woadlever_cells::message::CellMessage;

/// Time for which each cell runs in turn.
const STEP_MS: u64 = 25;
/// Time between two checks where machines are many.
const LARGE_CHECK_GAP_MS: u64 = 1_000;
/// How long a message between cells takes.
const LATENCY_MS: u64 = 20;
/// The longest delay of a late copy of a message.
const LATEST_COPY_MS: u64 = 90_000;

/// Cells that know each other, in lockstep.
pub struct Cells {
    /// The cells, by number.
    pub worlds: Vec<World>,
    /// (from, to): messages on this way are lost.
    pub cut: HashSet<(usize, usize)>,
    /// (from, to): messages on this way wait until they are let go.
    pub held: HashMap<(usize, usize), Vec<CellMessage>>,
    /// Messages of one way (from, to), kept for later.
    pub recorded: Option<((usize, usize), Vec<CellMessage>)>,
    /// Share of messages that are lost.
    pub loss: f64,
    /// Share of messages of which a late copy arrives.
    pub late_copies: f64,
    /// Time between two checks of all tasks by the oracle.
    check_gap_ms: u64,
    /// The longest message between cells, in bytes, where machines are many.
    pub longest_message: usize,
    /// Messages sent between cells.
    pub messages: usize,
    queue: BTreeMap<(u64, u64), (usize, CellMessage)>,
    sequence: u64,
    rng: StdRng,
    broken: Vec<String>,
}

/// Settings of cell `index` of `count`, with the extra lines in its `[cells]` section.
fn operator(index: usize, count: usize, extra: &str) -> Operator {
    let mut text = format!(
        "[cells]\nenabled=true\nname=c{index}\nlisten_port=8082\nspill_after_s=10\n\
         silence_s=12\nidle_s=45\n{extra}\n"
    );
    for other in (0..count).filter(|other| *other != index) {
        text += &format!("[cell c{other}]\ncontrollers=127.0.0.1:{}\n", 9000 + other);
    }
    Operator::parse("cells.ini", &text).expect("settings")
}

impl Cells {
    /// `count` cells of three controllers each, with the capacity that their clouds have.
    pub fn new(count: usize, seed: u64) -> Cells {
        Cells::with_settings(count, seed, "")
    }

    /// The same with further settings of all cells.
    pub fn with_settings(count: usize, seed: u64, extra: &str) -> Cells {
        let world = |index| World::cell(3, seed * 10 + index as u64, operator(index, count, extra));
        Cells::of((0..count).map(world).collect(), seed)
    }

    /// Cells for thousands of machines, without any as yet.
    pub fn large(count: usize, seed: u64) -> Cells {
        let world = |index| World::large_cell(3, seed * 10 + index as u64, operator(index, count, ""));
        Cells { check_gap_ms: LARGE_CHECK_GAP_MS, ..Cells::of((0..count).map(world).collect(), seed) }
    }

    fn of(worlds: Vec<World>, seed: u64) -> Cells {
        Cells {
            worlds,
            check_gap_ms: STEP_MS,
            longest_message: 0,
            cut: HashSet::new(),
            held: HashMap::new(),
            recorded: None,
            loss: 0.0,
            late_copies: 0.0,
            messages: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            broken: Vec::new(),
        }
    }

    /// Simulated time in milliseconds, the same in all cells.
    pub fn now(&self) -> u64 {
        self.worlds[0].now
    }

    /// A user of one cell submits a job; its description is there for all workers.
    pub fn accept(&mut self, cell: usize, body: &Value) {
        let id = body["name_id"].as_str().unwrap().to_string();
        for world in &mut self.worlds {
            world.users.jobs.insert(id.clone(), body.clone());
        }
        let node = 0;
        for _ in 0..60 {
            let request = self.worlds[cell].submit(node, body);
            self.run(1_000);
            let answer = self.worlds[cell].users.answers.get(&request);
            if answer.is_some_and(|answer| answer.status == 200 || answer.status == 201) {
                return;
            }
        }
        panic!("not accepted: {body}");
    }

    /// A user of one cell cancels a job; whether that was confirmed.
    pub fn cancel(&mut self, cell: usize, id: &str) -> bool {
        self.worlds[cell].users.asked_to_cancel.insert(id.into());
        for _ in 0..20 {
            let request = self.worlds[cell].ask(0, HttpRequest::Cancel(id.into()));
            self.run(500);
            let answer = self.worlds[cell].users.answers.get(&request);
            if answer.is_some_and(|answer| answer.body.contains("withdrawn")) {
                let now = self.now();
                for world in &mut self.worlds {
                    world.users.cancelled.entry(id.into()).or_insert(now);
                }
                return true;
            }
        }
        false
    }

    /// What a user of a cell is told of a job.
    pub fn status(&mut self, cell: usize, id: &str) -> String {
        let request = self.worlds[cell].ask(0, HttpRequest::Status(id.into()));
        self.run(300);
        self.worlds[cell].status_answered(request)
    }

    /// The state of a job on record in a cell, with its forwarding and origin.
    pub fn record(&self, cell: usize, id: &str) -> Option<Value> {
        self.worlds[cell].store.job(id).cloned()
    }

    /// Where the record of the origin says that the job is: none if it is there.
    pub fn forwarded_to(&self, origin: usize, id: &str) -> Option<String> {
        let record = self.record(origin, id)?;
        let is_away = record["f"]["p"] == "a" || record["f"]["p"] == "r";
        is_away.then(|| record["f"]["c"].as_str().unwrap_or_default().to_string())
    }

    /// Starts of a job's tasks in one cell.
    pub fn starts(&self, cell: usize, id: &str) -> u32 {
        let prefix = format!("{id}/");
        let starts = self.worlds[cell].oracle.starts.iter();
        starts.filter(|(task, _)| task.starts_with(&prefix)).map(|(_, starts)| starts).sum()
    }

    /// Tasks of a job that run in a cell now.
    pub fn running(&self, cell: usize, id: &str) -> usize {
        let workers = self.worlds[cell].workers.iter().filter(|worker| worker.alive);
        let tasks = workers.flat_map(|worker| &worker.tasks);
        tasks.filter(|task| task.job == id && task.state != TaskState::Exited).count()
    }

    /// Ends all processes of a cell; they start anew after `back_ms`.
    pub fn crash_cell(&mut self, cell: usize, back_ms: u64) {
        for node in 0..3 {
            self.worlds[cell].crash(node, back_ms);
        }
    }

    /// Messages between the two cells are lost, both ways.
    pub fn part(&mut self, one: usize, other: usize) {
        self.cut.extend([(one, other), (other, one)]);
    }

    /// All messages between cells arrive again.
    pub fn join(&mut self) {
        self.cut.clear();
    }

    /// A message arrives at a cell once more.
    pub fn repeat(&mut self, to: usize, message: CellMessage) {
        self.push(0, to, message);
        self.deliver();
    }

    /// Writes to the record of a job by a cell's leader are under way until further notice.
    pub fn hold_writes(&mut self, cell: usize, id: &str) {
        let leader = self.worlds[cell].leader().unwrap();
        self.worlds[cell].store_faults.pick = Some((leader, format!("w/job/{id}"), Fate::Late));
    }

    /// Delivers the messages that are held on a way, in their order.
    pub fn release_held(&mut self, from: usize, to: usize) {
        for message in self.held.remove(&(from, to)).unwrap_or_default() {
            self.push(1, to, message);
        }
    }

    fn push(&mut self, delay: u64, to: usize, message: CellMessage) {
        self.sequence += 1;
        self.queue.insert((self.now() + delay, self.sequence), (to, message));
    }

    /// Lets the time pass in all cells.
    pub fn run(&mut self, ms: u64) {
        let end = self.now() + ms;
        while self.now() < end {
            for world in &mut self.worlds {
                world.run(STEP_MS);
            }
            self.collect();
            self.deliver();
            if self.now().is_multiple_of(self.check_gap_ms) {
                self.check();
            }
        }
    }

    /// Lets the time pass until something holds; whether it did within the limit.
    pub fn until(&mut self, limit_ms: u64, holds: impl Fn(&Cells) -> bool) -> bool {
        let end = self.now() + limit_ms;
        while self.now() < end && !holds(self) {
            self.run(250);
        }
        holds(self)
    }

    /// The same until a cell has a job on record as done.
    pub fn until_done(&mut self, cell: usize, id: &str, limit_ms: u64) -> bool {
        self.until(limit_ms, |cells| cells.record(cell, id).is_some_and(|record| record["s"] == "d"))
    }

    fn collect(&mut self) {
        for from in 0..self.worlds.len() {
            for (cell, message) in std::mem::take(&mut self.worlds[from].network.cell_messages) {
                let to: usize = cell[1..].parse().unwrap();
                self.messages += 1;
                if self.check_gap_ms > STEP_MS {
                    self.longest_message = self.longest_message.max(bitcode::encode(&message).len());
                }
                if let Some((way, recorded)) = &mut self.recorded
                    && *way == (from, to)
                {
                    recorded.push(message.clone());
                }
                if let Some(held) = self.held.get_mut(&(from, to)) {
                    held.push(message);
                    continue;
                }
                if self.cut.contains(&(from, to)) || self.rng.random_range(0.0..1.0) < self.loss {
                    continue;
                }
                if self.rng.random_range(0.0..1.0) < self.late_copies {
                    let delay = self.rng.random_range(1_000..LATEST_COPY_MS);
                    self.push(delay, to, message.clone());
                }
                self.push(LATENCY_MS, to, message);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now();
        while let Some(entry) = self.queue.first_entry().filter(|entry| entry.key().0 <= now) {
            let (to, message) = entry.remove();
            for node in 0..3 {
                if self.worlds[to].core(node).is_some() {
                    self.worlds[to].cell_message(node, message.clone());
                }
            }
        }
    }

    /// No task runs in two cells at once, and none in any cell for longer than `cancel_s`
    /// after the cancellation of its job; a job has one final state.
    fn check(&mut self) {
        let now = self.now();
        let mut seen: HashMap<(String, u32), usize> = HashMap::new();
        for (cell, world) in self.worlds.iter().enumerate() {
            for worker in world.workers.iter().filter(|worker| worker.alive) {
                let is_there =
                    |state: TaskState| matches!(state, TaskState::Running | TaskState::Saving);
                for task in worker.tasks.iter().filter(|task| is_there(task.state)) {
                    let other = seen.insert((task.job.clone(), task.task), cell);
                    if other.is_some_and(|other| other != cell) {
                        self.broken.push(format!("{now} {}/{} runs in two cells", task.job, task.task));
                    }
                    let cancelled_at = world.users.cancelled.get(&task.job);
                    if cancelled_at.is_some_and(|at| now > at + CANCEL_MS) {
                        self.broken.push(format!("{now} ran_cancelled {} in c{cell}", task.job));
                    }
                }
            }
        }
        let started: BTreeSet<String> =
            self.worlds.iter().flat_map(|world| world.oracle.starts.keys().cloned()).collect();
        for world in &mut self.worlds {
            world.oracle.elsewhere.extend(started.iter().cloned());
        }
    }

    /// Ends the test if a rule was broken, in a cell or between cells.
    pub fn assert_rules_kept(&self) {
        let few = &self.broken[..self.broken.len().min(5)];
        assert!(self.broken.is_empty(), "rules broken between cells: {few:?}");
        for world in &self.worlds {
            world.assert_rules_kept();
        }
    }
}
