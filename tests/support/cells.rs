//! Several cells, each simulated by its own [`World`], and the network between them. An oracle
//! checks the task starts of all cells against each other.

use super::{CANCEL_MS, World, WriteFault};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use woadlever::config::Operator;
use woadlever::core::HttpRequest;
use woadlever::wire::workers::TaskState;
use woadlever_cells::message::CellMessage;

/// Simulated time by which each cell advances before the next one does.
const STEP_MS: u64 = 25;
/// Time between two checks of all tasks in [`Cells::large`].
const LARGE_CHECK_INTERVAL_MS: u64 = 1_000;
/// Delivery latency of messages between cells.
const LATENCY_MS: u64 = 20;
/// Upper bound (exclusive) of the delay of a duplicate message.
const MAX_DUPLICATE_DELAY_MS: u64 = 90_000;

/// Cells that are configured as each other's peers and advance in lockstep.
pub struct Cells {
    /// The cells, by number.
    pub worlds: Vec<World>,
    /// Directions (from, to) between two cells in which all messages are lost.
    pub blocked_directions: HashSet<(usize, usize)>,
    /// Messages held back until [`Cells::release_held`], by (from, to).
    pub held: HashMap<(usize, usize), Vec<CellMessage>>,
    /// The direction (from, to) to record, and copies of the messages sent in it.
    pub recorded: Option<((usize, usize), Vec<CellMessage>)>,
    /// Fraction of messages that are lost at random.
    pub loss_fraction: f64,
    /// Fraction of messages that are delivered twice, the duplicate with a long delay.
    pub duplicate_fraction: f64,
    /// Time between two checks of all tasks by the oracle.
    check_interval_ms: u64,
    /// Size in bytes of the largest message between cells; measured in [`Cells::large`] only.
    pub longest_message: usize,
    /// Number of messages sent between cells.
    pub messages: usize,
    queue: BTreeMap<(u64, u64), (usize, CellMessage)>,
    sequence: u64,
    rng: StdRng,
    violations: Vec<String>,
}

/// Returns the operator settings of cell `index` of `count`, with `extra` appended to the
/// `[cells]` section.
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
    /// Creates `count` cells of three controllers each, with the default cloud capacity.
    pub fn new(count: usize, seed: u64) -> Cells {
        Cells::with_settings(count, seed, "")
    }

    /// Like [`Cells::new`], with `extra` lines in the `[cells]` section of every cell.
    pub fn with_settings(count: usize, seed: u64, extra: &str) -> Cells {
        let world = |index| World::cell(3, seed * 10 + index as u64, operator(index, count, extra));
        Cells::from_worlds((0..count).map(world).collect(), seed)
    }

    /// Creates cells for thousands of machines. They have no machines and no cloud capacity yet.
    pub fn large(count: usize, seed: u64) -> Cells {
        let world = |index| World::large_cell(3, seed * 10 + index as u64, operator(index, count, ""));
        Cells {
            check_interval_ms: LARGE_CHECK_INTERVAL_MS,
            ..Cells::from_worlds((0..count).map(world).collect(), seed)
        }
    }

    fn from_worlds(worlds: Vec<World>, seed: u64) -> Cells {
        Cells {
            worlds,
            check_interval_ms: STEP_MS,
            longest_message: 0,
            blocked_directions: HashSet::new(),
            held: HashMap::new(),
            recorded: None,
            loss_fraction: 0.0,
            duplicate_fraction: 0.0,
            messages: 0,
            queue: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            violations: Vec::new(),
        }
    }

    /// Simulated time in milliseconds, the same in all cells.
    pub fn now(&self) -> u64 {
        self.worlds[0].now
    }

    /// Submits a job to one cell until it is accepted; panics after 60 attempts. The
    /// specification of the job is registered in all cells, because any of them may run its tasks.
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

    /// Cancels a job at one cell. Returns whether the cell confirmed it within 20 attempts.
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

    /// Returns the status of a job that a cell reports to a user, as [`World::status`] does.
    pub fn status(&mut self, cell: usize, id: &str) -> String {
        let request = self.worlds[cell].ask(0, HttpRequest::Status(id.into()));
        self.run(300);
        self.worlds[cell].status_answered(request)
    }

    /// Returns the stored record of a job in a cell, including its forwarding and origin.
    pub fn record(&self, cell: usize, id: &str) -> Option<Value> {
        self.worlds[cell].store.job(id).cloned()
    }

    /// Returns the cell to which the origin's record says the job was forwarded; `None` if the
    /// job is at the origin.
    pub fn forwarded_to(&self, origin: usize, id: &str) -> Option<String> {
        let record = self.record(origin, id)?;
        let is_forwarded = record["f"]["p"] == "a" || record["f"]["p"] == "r";
        is_forwarded.then(|| record["f"]["c"].as_str().unwrap_or_default().to_string())
    }

    /// Number of starts of a job's tasks in one cell.
    pub fn starts(&self, cell: usize, id: &str) -> u32 {
        let prefix = format!("{id}/");
        let starts = self.worlds[cell].oracle.starts.iter();
        starts.filter(|(task, _)| task.starts_with(&prefix)).map(|(_, starts)| starts).sum()
    }

    /// Number of a job's tasks in a cell that have not ended.
    pub fn running(&self, cell: usize, id: &str) -> usize {
        let workers = self.worlds[cell].workers.iter().filter(|worker| worker.alive);
        let tasks = workers.flat_map(|worker| &worker.tasks);
        tasks.filter(|task| task.job == id && task.state != TaskState::Ended).count()
    }

    /// Crashes all controllers of a cell; new processes start after `restart_after_ms`.
    pub fn crash_cell(&mut self, cell: usize, restart_after_ms: u64) {
        for node in 0..3 {
            self.worlds[cell].crash(node, restart_after_ms);
        }
    }

    /// Partitions two cells: messages between them are lost in both directions.
    pub fn partition(&mut self, one: usize, other: usize) {
        self.blocked_directions.extend([(one, other), (other, one)]);
    }

    /// Heals all partitions between cells.
    pub fn heal(&mut self) {
        self.blocked_directions.clear();
    }

    /// Delivers a duplicate of a message to a cell immediately.
    pub fn deliver_duplicate(&mut self, to: usize, message: CellMessage) {
        self.push(0, to, message);
        self.deliver();
    }

    /// Holds the writes of a cell's leader to the record of a job, until the test applies them
    /// with [`World::apply_late_writes`].
    pub fn hold_writes(&mut self, cell: usize, id: &str) {
        let leader = self.worlds[cell].leader().unwrap();
        self.worlds[cell].store_faults.targeted_writes =
            Some((leader, format!("w/job/{id}"), WriteFault::Held));
    }

    /// Delivers the messages that are held in one direction, in their order.
    pub fn release_held(&mut self, from: usize, to: usize) {
        for message in self.held.remove(&(from, to)).unwrap_or_default() {
            self.push(1, to, message);
        }
    }

    fn push(&mut self, delay: u64, to: usize, message: CellMessage) {
        self.sequence += 1;
        self.queue.insert((self.now() + delay, self.sequence), (to, message));
    }

    /// Advances simulated time in all cells by `ms`.
    pub fn run(&mut self, ms: u64) {
        let end = self.now() + ms;
        while self.now() < end {
            for world in &mut self.worlds {
                world.run(STEP_MS);
            }
            self.collect();
            self.deliver();
            if self.now().is_multiple_of(self.check_interval_ms) {
                self.check();
            }
        }
    }

    /// Advances simulated time until the condition holds, for at most about `limit_ms`. Returns
    /// whether it holds.
    pub fn until(&mut self, limit_ms: u64, holds: impl Fn(&Cells) -> bool) -> bool {
        let end = self.now() + limit_ms;
        while self.now() < end && !holds(self) {
            self.run(250);
        }
        holds(self)
    }

    /// Like [`Cells::until`], until the store of a cell has the job recorded as done.
    pub fn until_done(&mut self, cell: usize, id: &str, limit_ms: u64) -> bool {
        self.until(limit_ms, |cells| cells.record(cell, id).is_some_and(|record| record["s"] == "d"))
    }

    /// Takes the messages that the cells have sent and schedules their delivery, with the
    /// configured faults.
    fn collect(&mut self) {
        for from in 0..self.worlds.len() {
            for (cell, message) in std::mem::take(&mut self.worlds[from].network.cell_messages) {
                let to: usize = cell[1..].parse().unwrap();
                self.messages += 1;
                if self.check_interval_ms > STEP_MS {
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
                if self.blocked_directions.contains(&(from, to))
                    || self.rng.random_range(0.0..1.0) < self.loss_fraction
                {
                    continue;
                }
                if self.rng.random_range(0.0..1.0) < self.duplicate_fraction {
                    let delay = self.rng.random_range(1_000..MAX_DUPLICATE_DELAY_MS);
                    self.push(delay, to, message.clone());
                }
                self.push(LATENCY_MS, to, message);
            }
        }
    }

    /// Delivers each message that is due to all running controllers of the receiving cell.
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

    /// Checks that no task runs in two cells at once, and that none runs in any cell for longer
    /// than `cancel_s` after the cancellation of its job. Also passes the tasks started in all
    /// cells to the oracle of each cell, which checks that all tasks of a done job were started:
    /// they may have been started in another cell. These oracles also check that a job has one final
    /// state.
    fn check(&mut self) {
        let now = self.now();
        let mut seen: HashMap<(String, u32), usize> = HashMap::new();
        for (cell, world) in self.worlds.iter().enumerate() {
            for worker in world.workers.iter().filter(|worker| worker.alive) {
                let is_running =
                    |state: TaskState| matches!(state, TaskState::Running | TaskState::Saving);
                for task in worker.tasks.iter().filter(|task| is_running(task.state)) {
                    let other = seen.insert((task.job.clone(), task.task), cell);
                    if other.is_some_and(|other| other != cell) {
                        self.violations
                            .push(format!("{now} {}/{} runs in two cells", task.job, task.task));
                    }
                    let cancelled_at = world.users.cancelled.get(&task.job);
                    if cancelled_at.is_some_and(|at| now > at + CANCEL_MS) {
                        self.violations.push(format!("{now} ran_cancelled {} in c{cell}", task.job));
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

    /// Panics if a rule was broken, in a cell or between cells.
    pub fn assert_rules_kept(&self) {
        let few = &self.violations[..self.violations.len().min(5)];
        assert!(self.violations.is_empty(), "rules broken between cells: {few:?}");
        for world in &self.worlds {
            world.assert_rules_kept();
        }
    }
}
