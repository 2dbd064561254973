//! The leader of a term: owns admission, the fleet and who holds which block.
//!
//! Everything it decides is written under the condition of its term, and all
//! that it knows is rebuilt from records and from the holders' pictures, so
//! that a new leader starts from what is, not from what was meant.

use super::attempts::{Attempts, LAttempt};
use super::fleet::Fleet;
use super::forecast::History;
use super::model::{Ms, Res, Spec, TaskSet};
use super::pipelines::Cascade;
use super::progress::{Chunk, Trash};
use super::shared::Shared;
use super::sync::{LEADER, block_key, catalog_key};
use super::{CloudResult, Purpose, StateOp, StateResult};
use crate::wire::cloud;
use crate::wire::peer::{Body, Have, HaveJob, HaveState, HaveTask, Want, WantJob};
use crate::wire::state::{
    BlockRecord, Change, Cond, JobRecord, JobState, ShelfMachine, ShelfRecord, Txn,
};
use rustc_hash::FxHashSet;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

const WANT_GAP_MS: Ms = 30;
const WANT_EVERY_MS: Ms = 500;
const POLL_GAP_MS: Ms = 20;
const ROUND_GAP_MS: Ms = 50;
const ROUND_EVERY_MS: Ms = 500;
/// How long a new leader waits for the recorded holders to show themselves.
const HOLDER_GRACE_MS: Ms = 2_500;
/// A node must have been heard for so long before blocks move to it for
/// balance alone.
const SETTLED_MS: Ms = 6_000;
/// A holder whose state service calls fail for so long, while ours succeed,
/// can't place anything.
const HOLDER_STATE_MS: u64 = 4_000;

#[derive(Debug)]
pub enum LeaderCall {
    Places,
    Progress,
    Fleet,
    Block { block: u32 },
    Record { items: Vec<(u32, Vec<u32>)> },
    Finish { job: u32, done_ms: u64, dropped: Vec<Chunk> },
    Forget { keys: Vec<String> },
    Withdraw { list: Vec<u32> },
    SaveFleet,
    SaveCatalog,
}

/// `fleet`: one record per window.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct FleetRecord {
    #[serde(rename = "at", default)]
    pub at_ms: u64,
    #[serde(default)]
    pub counts: BTreeMap<String, u32>,
    #[serde(default)]
    pub history: History,
    /// Learned run time over estimate, per class.
    #[serde(default)]
    pub ratios: BTreeMap<String, f64>,
}

#[derive(Debug)]
pub struct LJob {
    pub spec: Arc<Spec>,
    pub team: usize,
    pub done: TaskSet,
    pub(super) recorded: TaskSet,
    /// Done but not yet in a record.
    pub(super) unrecorded: Vec<u32>,
    pub(super) recording: bool,
    /// Records of its progress.
    pub(super) chunks: BTreeSet<Chunk>,
    /// Tasks with an attempt, or waiting in `retry`.
    pub issued: TaskSet,
    pub(super) next: u32,
    pub retry: Vec<u32>,
    /// Times that tasks failed without any having succeeded since.
    pub fails: u32,
    pub failed_on: HashSet<u32>,
    pub hold_until: Ms,
    /// Within its team's guarantee, with the team's earlier jobs.
    pub within: bool,
    /// Time of day since when it could be started.
    pub ready_ms: u64,
    pub(super) finish_busy: bool,
    pub(super) finish_at: Ms,
}

/// Machine types in as few records as the limit allows.
fn split_catalog(types: &[cloud::MachineType], limit: usize) -> Vec<serde_json::Value> {
    let mut out: Vec<Vec<serde_json::Value>> = vec![Vec::new()];
    let mut bytes = 2;
    for t in types {
        let value = serde_json::to_value(t).unwrap_or_default();
        let more = value.to_string().len() + 1;
        if bytes + more > limit && bytes > 2 {
            out.push(Vec::new());
            bytes = 2;
        }
        bytes += more;
        if let Some(last) = out.last_mut() {
            last.push(value);
        }
    }
    out.into_iter().map(serde_json::Value::Array).collect()
}

impl LJob {
    fn new(spec: Arc<Spec>, team: usize, ready_ms: u64) -> LJob {
        let n = spec.tasks;
        LJob {
            team,
            done: TaskSet::with_room(n),
            recorded: TaskSet::with_room(n),
            unrecorded: Vec::new(),
            recording: false,
            chunks: BTreeSet::new(),
            issued: TaskSet::with_room(n),
            next: 0,
            retry: Vec::new(),
            fails: 0,
            failed_on: HashSet::new(),
            hold_until: 0,
            within: false,
            ready_ms,
            finish_busy: false,
            finish_at: 0,
            spec,
        }
    }

    /// The next task that needs an attempt.
    pub fn peek(&mut self) -> Option<u32> {
        while let Some(&t) = self.retry.last() {
            if !self.done.contains(t) {
                return Some(t);
            }
            self.retry.pop();
        }
        while self.next < self.spec.tasks {
            if !self.done.contains(self.next) && !self.issued.contains(self.next) {
                return Some(self.next);
            }
            self.next += 1;
        }
        None
    }

    /// Takes the task that `peek` showed.
    pub fn take(&mut self) -> Option<u32> {
        let t = self.peek()?;
        if self.retry.last() == Some(&t) {
            self.retry.pop();
        } else {
            self.next += 1;
        }
        self.issued.insert(t);
        Some(t)
    }

    /// Tasks without an attempt, at most `most`.
    pub fn waiting(&self, most: u32) -> u32 {
        let mut n = self.retry.iter().filter(|t| !self.done.contains(**t)).count() as u32;
        let mut t = self.next;
        while n < most && t < self.spec.tasks {
            n += (!self.done.contains(t) && !self.issued.contains(t)) as u32;
            t += 1;
        }
        n.min(most)
    }
}

#[derive(Debug)]
pub struct LBlock {
    serial: u64,
    pub dirty: bool,
    sent_at: Ms,
    /// Attempts in its last picture.
    size: usize,
    grant: u64,
    /// The present holder has shown its whole picture.
    pub shown: bool,
    pub gone: Vec<(String, Ms)>,
    pub waiting: Vec<(u32, u32)>,
    writing: bool,
    retry_at: Ms,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loading {
    Start,
    Busy,
    Done,
}

/// What a block's picture wants of each job: (task, attempt, bind).
type WantedJobs = BTreeMap<u32, Vec<(u32, u64, bool)>>;

/// A job of a holder's picture, looked up once for all its tasks.
struct TaskOf {
    job: Option<u32>,
    team: Option<usize>,
    need: Res,
}

impl TaskOf {
    fn new(sh: &Shared, j: &HaveJob) -> TaskOf {
        TaskOf {
            job: sh.job_ix(&j.job),
            team: sh.cfg.cluster.teams.iter().position(|t| t.name == j.team),
            need: Res { cpus: j.cpus, gpus: j.gpus, mem: j.memory_gb },
        }
    }
}

pub struct Leader {
    pub term: u64,
    since: Ms,
    loading: [Loading; 3],
    load_retry: Ms,
    pub active: bool,
    pub active_at: Ms,
    pub jobs: BTreeMap<u32, LJob>,
    pub attempts: Attempts,
    next_attempt: u64,
    pub blocks: Vec<LBlock>,
    pub fleet: Fleet,
    pub ratios: BTreeMap<String, f64>,
    pub preempt_at: Ms,
    pub rounds: u64,
    pub round_due: bool,
    poll_at: Ms,
    round_at: Ms,
    pub(super) record_at: Ms,
    counts_at: Ms,
    /// Progress read before its job was known.
    progress: HashMap<String, Vec<(Chunk, String)>>,
    /// Records of progress that nobody needs any more.
    pub(super) trash: Trash,
    /// The state service has shown that it takes no more than the next limits.
    pub(super) fine: bool,
    pub(super) cascade: Cascade,
}

impl Leader {
    pub fn new(sh: &mut Shared, term: u64) -> Leader {
        Leader {
            term,
            since: sh.now,
            loading: [Loading::Start; 3],
            load_retry: 0,
            active: false,
            active_at: 0,
            jobs: BTreeMap::new(),
            attempts: Attempts::default(),
            next_attempt: term << 20,
            blocks: sh
                .blocks
                .iter()
                .map(|_| LBlock {
                    serial: 0,
                    dirty: true,
                    sent_at: 0,
                    size: 0,
                    grant: 0,
                    shown: false,
                    gone: Vec::new(),
                    waiting: Vec::new(),
                    writing: false,
                    retry_at: 0,
                })
                .collect(),
            fleet: Fleet::new(sh),
            ratios: BTreeMap::new(),
            preempt_at: 0,
            rounds: 0,
            round_due: true,
            poll_at: 0,
            round_at: 0,
            record_at: 0,
            counts_at: 0,
            progress: HashMap::new(),
            trash: Trash::default(),
            fine: false,
            cascade: Cascade::default(),
        }
    }

    pub fn leader_cond(&self) -> Cond {
        Cond { key: LEADER.into(), version: self.term }
    }

    pub fn poll(&mut self, sh: &mut Shared) {
        if !self.active {
            self.load(sh);
            if !self.active {
                return;
            }
        }
        self.follow_blocks(sh);
        // All else looks at jobs, machines or attempts one by one, and must not
        // do so with every input.
        if sh.now < self.poll_at {
            return;
        }
        self.poll_at = sh.now + POLL_GAP_MS;
        self.follow_jobs(sh);
        self.withdraw_due(sh);
        self.fleet_poll(sh);
        // What a round costs grows with what it has to look at.
        let gap = if self.round_due {
            sh.widened(ROUND_GAP_MS, (self.attempts.len() + self.fleet.machines.len()) / 8)
        } else {
            ROUND_EVERY_MS
        };
        if sh.now >= self.round_at + gap {
            self.round_at = sh.now;
            self.round_due = false;
            self.round(sh);
        }
        self.record(sh);
        self.send_wants(sh);
        self.tell_counts(sh);
    }

    // ---- rebuilding ----

    fn load(&mut self, sh: &mut Shared) {
        if sh.now < self.load_retry {
            return;
        }
        for i in 0..3 {
            if self.loading[i] != Loading::Start {
                continue;
            }
            self.loading[i] = Loading::Busy;
            match i {
                0 => self.list(sh, LeaderCall::Places, "place/", None),
                1 => self.list(sh, LeaderCall::Progress, "progress/", None),
                _ => sh.state_call(Purpose::Leader(LeaderCall::Fleet), StateOp::Get("fleet".into())),
            }
        }
        if self.loading.iter().all(|l| *l == Loading::Done) {
            self.active = true;
            self.active_at = sh.now;
            let all: Vec<u32> = (0..sh.jobs.len() as u32).collect();
            for ix in all {
                self.follow_job(sh, ix);
            }
            sh.jobs_changed.clear();
            self.settle_inherited();
            tracing::info!(
                term = self.term,
                jobs = self.jobs.len(),
                attempts = self.attempts.len(),
                took_ms = sh.now - self.since,
                "leader has read the records"
            );
        }
    }

    fn list(&mut self, sh: &mut Shared, call: LeaderCall, prefix: &str, since: Option<String>) {
        let prefix = prefix.to_string();
        sh.state_call(Purpose::Leader(call), StateOp::List { prefix, since, most: 1000 });
    }

    /// What the records list is taken over, unless it is done.
    fn settle_inherited(&mut self) {
        self.attempts.keep_newest();
        for a in self.attempts.values_mut() {
            match self.jobs.get_mut(&a.job) {
                Some(j) => {
                    j.issued.insert(a.task);
                    a.want = !j.done.contains(a.task);
                }
                None => a.want = false,
            }
        }
    }

    fn take_shelf(&mut self, sh: &mut Shared, key: &str, rec: ShelfRecord) {
        let Some(block) = key.split('/').nth(1) else { return };
        let Some(b) = sh.blocks.iter().position(|b| b.name == block) else { return };
        let zone = sh.blocks[b].zone.clone();
        for m in &rec.machines {
            let type_name = rec.types.get(m.1 as usize).map_or("", String::as_str);
            let ix = self.fleet.put_known(sh, &m.0, type_name, &zone, m.is(ShelfMachine::SPOT));
            if let Some(known) = self.fleet.machines.get_mut(&ix) {
                known.isolated |= m.is(ShelfMachine::ISOLATED);
                known.confirmed = true;
                known.recorded |= !m.3.is_empty();
            }
            for (job, task, id) in m.tasks(rec.base) {
                let Some(j) = rec.jobs.get(job) else { continue };
                let Some(job) = sh.job_ix(&j.0) else { continue };
                self.attempts.insert(
                    id,
                    LAttempt {
                        job,
                        task,
                        block: b as u32,
                        machine: Some(ix),
                        bind: false,
                        want: true,
                        state: HaveState::Bound,
                        need: Res { cpus: j.2, gpus: j.3, mem: j.4 },
                        team: sh.cfg.cluster.teams.iter().position(|t| t.name == j.1),
                        ran_ms: 0,
                        serial: u64::MAX,
                    },
                );
            }
        }
    }

    fn on_load(&mut self, sh: &mut Shared, i: usize, result: StateResult) {
        match result {
            StateResult::Page(p) => {
                let last = p.items.last().map(|i| i.key.clone());
                for item in p.items {
                    if i == 0 {
                        match serde_json::from_value(item.value) {
                            Ok(rec) => self.take_shelf(sh, &item.key, rec),
                            Err(e) => tracing::error!(key = item.key, %e, "unreadable record"),
                        }
                    } else {
                        let Some((id, chunk)) = Chunk::of_key(&item.key) else { continue };
                        let Some(bits) = item.value.as_str() else { continue };
                        // Only ever written once the smaller limits were met.
                        self.fine |= chunk.is_fine();
                        let list = self.progress.entry(id.to_string()).or_default();
                        list.push((chunk, bits.to_string()));
                    }
                }
                if p.more && last.is_some() {
                    if i == 0 {
                        self.list(sh, LeaderCall::Places, "place/", last);
                    } else {
                        self.list(sh, LeaderCall::Progress, "progress/", last);
                    }
                    return;
                }
                self.loading[i] = Loading::Done;
            }
            StateResult::Item(item) if i == 2 => {
                let rec: FleetRecord = serde_json::from_value(item.value).unwrap_or_default();
                self.ratios = rec.ratios;
                self.fleet.resume(sh, rec.at_ms, rec.history);
                self.loading[2] = Loading::Done;
            }
            StateResult::Missing if i == 2 => {
                // No window has ever begun: there is no fleet to wait for.
                self.fleet.first(sh);
                self.loading[2] = Loading::Done;
            }
            _ => {
                self.loading[i] = Loading::Start;
                self.load_retry = sh.now + sh.jitter(200);
            }
        }
    }

    // ---- jobs ----

    fn follow_jobs(&mut self, sh: &mut Shared) {
        let mut changed = std::mem::take(&mut sh.jobs_changed);
        changed.sort_unstable();
        changed.dedup();
        for ix in changed {
            self.follow_job(sh, ix);
            self.round_due = true;
        }
    }

    fn follow_job(&mut self, sh: &mut Shared, ix: u32) {
        let job = sh.job(ix);
        let id = sh.job_names.name(ix).clone();
        if job.state != JobState::Live {
            let known = self.jobs.remove(&ix);
            let left = self.progress.remove(&id);
            for id in self.attempts.of_job(ix) {
                if let Some(a) = self.attempts.get_mut(id) {
                    a.want = false;
                    self.blocks[a.block as usize].dirty = true;
                }
            }
            // The bits of a final job are of no use to anyone. A job of many
            // tasks has more of them than go along with its last record.
            let mut chunks: BTreeSet<Chunk> = known.map(|j| j.chunks).unwrap_or_default();
            chunks.extend(left.into_iter().flatten().map(|(c, _)| c));
            self.trash.extend(chunks.into_iter().map(|c| c.key(&id)));
            return;
        }
        if job.links.doomed {
            return self.withdraw_later(ix);
        }
        // Not all that it awaits is on record as done: it takes no part in
        // anything, and no task of it may start. Once all is, that is final.
        if job.links.open > 0 || self.jobs.contains_key(&ix) {
            return;
        }
        let Some(spec) = job.spec.clone() else { return };
        let Some(team) = sh.cfg.cluster.teams.iter().position(|t| t.name == spec.team) else {
            tracing::error!(id, "accepted job of an unknown team");
            return;
        };
        let mut j = LJob::new(spec, team, sh.ready_ms(ix));
        for (chunk, bits) in self.progress.remove(&id).unwrap_or_default() {
            j.done.add_hex(chunk.first_word(), &bits);
            j.recorded.add_hex(chunk.first_word(), &bits);
            j.chunks.insert(chunk);
        }
        self.jobs.insert(ix, j);
    }

    /// Learned run time of the job's tasks, seconds.
    pub fn expected_s(&self, spec: &Spec) -> f64 {
        spec.estimate_s * self.ratios.get(&spec.class).copied().unwrap_or(1.0)
    }

    pub fn new_attempt(&mut self, job: u32, task: u32, machine: u32, block: u32) {
        let Some(j) = self.jobs.get(&job) else { return };
        let a = LAttempt {
            job,
            task,
            block,
            machine: Some(machine),
            bind: true,
            want: true,
            state: HaveState::Bound,
            need: j.spec.need(),
            team: Some(j.team),
            ran_ms: 0,
            serial: u64::MAX,
        };
        self.attempts.insert(self.next_attempt, a);
        self.next_attempt += 1;
        self.blocks[block as usize].dirty = true;
    }

    /// Puts a task back in line once an attempt at it is gone. An older attempt
    /// that was still in a record may go while a newer one runs; the task is
    /// then in good hands, and a third attempt would run it twice.
    fn requeue(&mut self, job: u32, task: u32) {
        self.round_due = true;
        if self.attempts.has_task(job, task) {
            return;
        }
        if let Some(j) = self.jobs.get_mut(&job)
            && !j.done.contains(task)
            && !j.retry.contains(&task)
        {
            j.retry.push(task);
        }
    }

    // ---- blocks ----

    fn node_alive(&self, sh: &Shared, node: &str, incarnation: Option<u64>) -> bool {
        if node == sh.me {
            return incarnation.is_none_or(|i| i == sh.incarnation);
        }
        let silence = (sh.op.node_silence_s * 1000.0) as Ms;
        sh.peers.get(node).is_some_and(|p| {
            p.heard + silence > sh.now
                && p.hears_us
                && incarnation.is_none_or(|i| i == p.incarnation)
                && (p.state_age < HOLDER_STATE_MS || sh.state_age() > 1500)
        })
    }

    /// Gives blocks to living nodes: home first, then the zone, then anyone
    /// with few blocks.
    fn follow_blocks(&mut self, sh: &mut Shared) {
        for b in 0..self.blocks.len() {
            let rec = sh.block_recs[b].clone();
            let grant = rec.as_ref().map_or(0, |(_, s)| *s);
            if self.blocks[b].grant != grant {
                self.blocks[b].grant = grant;
                self.blocks[b].shown = false;
                self.blocks[b].dirty = true;
                for a in self.attempts.values_mut().filter(|a| a.block == b as u32) {
                    // The new holder knows only what is in the records.
                    a.bind = false;
                    a.serial = u64::MAX;
                }
            }
            if self.blocks[b].writing || sh.now < self.blocks[b].retry_at {
                continue;
            }
            let home = sh.blocks[b].home.clone();
            let target = match &rec {
                None => self.choose_holder(sh, b, None),
                Some((r, _)) => {
                    let alive = self.node_alive(sh, &r.node, Some(r.incarnation));
                    let restarted = sh.peers.get(&r.node).is_some_and(|p| p.incarnation > r.incarnation)
                        || (r.node == sh.me && r.incarnation != sh.incarnation);
                    if !alive && (restarted || sh.now > self.active_at + HOLDER_GRACE_MS) {
                        let except = (!restarted).then_some(r.node.as_str());
                        self.choose_holder(sh, b, except)
                    } else if alive && home.as_ref().is_some_and(|h| *h != r.node && self.settled(sh, h))
                    {
                        home
                    } else {
                        None
                    }
                }
            };
            let Some(node) = target else { continue };
            let incarnation = if node == sh.me {
                sh.incarnation
            } else {
                sh.peers.get(&node).map_or(0, |p| p.incarnation)
            };
            if rec.as_ref().is_some_and(|(r, _)| r.node == node && r.incarnation == incarnation) {
                continue;
            }
            tracing::debug!(block = sh.blocks[b].name, node, "granting block");
            let key = block_key(&sh.blocks[b].name);
            let value = serde_json::to_value(BlockRecord { node, incarnation }).unwrap_or_default();
            let txn = Txn {
                conds: vec![self.leader_cond(), Cond { key: key.clone(), version: grant }],
                changes: vec![Change::Put { key, value, lease: None }],
            };
            self.blocks[b].writing = true;
            sh.state_call(Purpose::Leader(LeaderCall::Block { block: b as u32 }), StateOp::Txn(txn));
        }
    }

    fn settled(&self, sh: &Shared, node: &str) -> bool {
        node == sh.me
            || (self.node_alive(sh, node, None)
                && sh.peers.get(node).is_some_and(|p| p.since + SETTLED_MS < sh.now))
    }

    fn choose_holder(&self, sh: &Shared, block: usize, except: Option<&str>) -> Option<String> {
        let mut nodes: Vec<(&str, &str)> =
            sh.cfg.peers.iter().map(|p| (p.node.as_str(), p.zone.as_str())).collect();
        nodes.push((&sh.me, &sh.cfg.zone));
        let b = &sh.blocks[block];
        nodes
            .into_iter()
            .filter(|(n, _)| Some(*n) != except && self.node_alive(sh, n, None))
            .min_by_key(|(n, z)| {
                let holds = sh.block_recs.iter().flatten().filter(|(r, _)| r.node == *n).count();
                (b.home.as_deref() != Some(*n), *z != b.zone, holds, n.to_string())
            })
            .map(|(n, _)| n.to_string())
    }

    // ---- pictures ----

    pub fn on_have(&mut self, sh: &mut Shared, from: &str, h: Have) {
        let Some(b) = self.blocks.get(h.block as usize) else { return };
        let holder = sh.block_recs[h.block as usize].as_ref();
        if !self.active
            || h.term != self.term
            || h.grant != b.grant
            || holder.is_none_or(|(r, _)| r.node != from)
        {
            return;
        }
        if !b.shown {
            self.blocks[h.block as usize].shown = true;
            self.round_due = true;
        }
        let mut listed: FxHashSet<u64> = FxHashSet::default();
        let zone = sh.blocks[h.block as usize].zone.clone();
        let jobs: Vec<TaskOf> = h.jobs.iter().map(|j| TaskOf::new(sh, j)).collect();
        for m in &h.machines {
            let type_name = h.types.get(m.machine_type as usize).map_or("", String::as_str);
            let ix = self.fleet.heard(sh, m, type_name, &zone);
            if let Some(m) = self.fleet.machines.get(&ix)
                && m.block != h.block
            {
                continue;
            }
            for t in &m.tasks {
                let Some(of) = jobs.get(t.job as usize) else { continue };
                listed.insert(t.attempt);
                self.take_task(sh, h.block, ix, of, t);
            }
        }
        let gone: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(id, a)| a.block == h.block && a.serial <= h.echo && !listed.contains(id))
            .map(|(id, _)| id)
            .collect();
        for id in gone {
            if let Some(a) = self.attempts.remove(id) {
                self.requeue(a.job, a.task);
            }
        }
    }

    fn take_task(&mut self, sh: &mut Shared, block: u32, machine: u32, of: &TaskOf, t: &HaveTask) {
        let Some(job) = of.job else { return };
        if !self.attempts.contains(t.attempt) {
            // Bound for an earlier leader, and not in the records that we
            // read: gone already, or known under a newer attempt.
            let busy = self.attempts.has_task(job, t.task);
            let want = !busy && self.jobs.get(&job).is_some_and(|j| !j.done.contains(t.task));
            if want && let Some(j) = self.jobs.get_mut(&job) {
                j.issued.insert(t.task);
                j.retry.retain(|x| *x != t.task);
            }
            self.attempts.insert(
                t.attempt,
                LAttempt {
                    job,
                    task: t.task,
                    block,
                    machine: Some(machine),
                    bind: false,
                    want,
                    state: t.state,
                    need: of.need,
                    team: of.team,
                    ran_ms: t.ran_ms,
                    serial: u64::MAX,
                },
            );
            self.blocks[block as usize].dirty = true;
        }
        let Some(a) = self.attempts.get_mut(t.attempt) else { return };
        if a.machine != Some(machine) || a.bind {
            self.round_due = true;
        }
        a.machine = Some(machine);
        a.bind = false;
        a.ran_ms = t.ran_ms;
        let before = a.state;
        a.state = t.state;
        if before == t.state {
            return;
        }
        self.round_due = true;
        match t.state {
            HaveState::Done => {
                let Some(j) = self.jobs.get_mut(&job) else { return };
                if j.done.insert(t.task) {
                    j.unrecorded.push(t.task);
                    j.fails = 0;
                    j.failed_on.clear();
                    self.fleet.succeeded(machine);
                    if t.ran_ms > 0 && j.spec.estimate_s > 0.0 {
                        let ratio = (t.ran_ms as f64 / 1000.0 / j.spec.estimate_s).clamp(0.1, 10.0);
                        let r = self.ratios.entry(j.spec.class.clone()).or_insert(1.0);
                        *r += 0.03 * (ratio - *r);
                    }
                } else if j.recorded.contains(t.task) {
                    a.want = false;
                    self.blocks[block as usize].dirty = true;
                }
            }
            HaveState::Failed => {
                a.want = false;
                self.blocks[block as usize].dirty = true;
                if let Some(j) = self.jobs.get_mut(&job) {
                    j.fails += 1;
                    j.failed_on.insert(machine);
                    // Failing on several machines, the job itself is at
                    // fault; it must not take the machines with it.
                    if j.failed_on.len() >= 3 {
                        let factor = 1 << j.fails.saturating_sub(3).min(5);
                        j.hold_until = sh.now + 2_000 * factor;
                    } else {
                        self.fleet.failed(sh.now, machine, job);
                    }
                }
            }
            HaveState::Stopped | HaveState::Refused => {
                a.want = false;
                self.blocks[block as usize].dirty = true;
            }
            _ => {}
        }
    }

    fn send_wants(&mut self, sh: &mut Shared) {
        let now = sh.now;
        let mut due: Vec<u32> = Vec::new();
        for (b, lb) in self.blocks.iter_mut().enumerate() {
            let gap = sh.widened(WANT_GAP_MS, lb.size);
            let at = lb.sent_at + if lb.dirty { gap } else { WANT_EVERY_MS.max(gap) };
            if (now >= at || lb.sent_at == 0) && sh.block_recs[b].is_some() {
                lb.dirty = false;
                lb.sent_at = now;
                lb.serial += 1;
                lb.gone.retain(|(_, at)| at + 30_000 > now);
                due.push(b as u32);
            }
        }
        if due.is_empty() {
            return;
        }
        let mut jobs: Vec<WantedJobs> = vec![BTreeMap::new(); self.blocks.len()];
        for (id, a) in self.attempts.iter_mut().filter(|(_, a)| due.contains(&a.block)) {
            let b = a.block as usize;
            if a.serial == u64::MAX {
                a.serial = self.blocks[b].serial;
            }
            if a.want {
                jobs[b].entry(a.job).or_default().push((a.task, id, a.bind));
            }
        }
        for b in due.into_iter().map(|b| b as usize) {
            let Some((rec, grant)) = sh.block_recs[b].clone() else { continue };
            let serial = self.blocks[b].serial;
            let jobs = std::mem::take(&mut jobs[b]);
            self.blocks[b].size = jobs.values().map(Vec::len).sum();
            let want = Want {
                term: self.term,
                block: b as u32,
                grant,
                serial,
                jobs: jobs
                    .into_iter()
                    .map(|(job, tasks)| WantJob {
                        job: sh.job_names.name(job).clone(),
                        expected_s: self.jobs.get(&job).map_or(1.0, |j| self.expected_s(&j.spec)),
                        tasks,
                    })
                    .collect(),
                waiting: self.blocks[b]
                    .waiting
                    .iter()
                    .map(|(j, n)| crate::wire::peer::WaitingTasks {
                        job: sh.job_names.name(*j).clone(),
                        count: *n,
                    })
                    .collect(),
                isolated: self.fleet.isolated(b as u32),
                retire: self.fleet.retiring(sh, b as u32),
                gone: self.blocks[b].gone.iter().map(|(n, _)| n.clone()).collect(),
                shunned: self.fleet.shunned(b as u32, now),
            };
            sh.send(&rec.node, Body::Want(want));
        }
    }

    fn tell_counts(&mut self, sh: &mut Shared) {
        if sh.now < self.counts_at + 500 {
            return;
        }
        self.counts_at = sh.now;
        let mut running: HashMap<u32, u32> = HashMap::new();
        for a in self.attempts.values().filter(|a| a.state == HaveState::Running) {
            *running.entry(a.job).or_default() += 1;
        }
        sh.counts_out = self
            .jobs
            .iter()
            .map(|(ix, j)| {
                let n = running.get(ix).copied().unwrap_or(0);
                (sh.job_names.name(*ix).clone(), j.done.len(), n)
            })
            .filter(|(_, d, r)| *d > 0 || *r > 0)
            .take(2000)
            .collect();
    }

    pub fn on_result(&mut self, sh: &mut Shared, call: LeaderCall, result: StateResult) {
        match call {
            LeaderCall::Places => self.on_load(sh, 0, result),
            LeaderCall::Progress => self.on_load(sh, 1, result),
            LeaderCall::Fleet => self.on_load(sh, 2, result),
            LeaderCall::Block { block } => {
                let wait = sh.jitter(300);
                if let Some(b) = self.blocks.get_mut(block as usize) {
                    b.writing = false;
                    b.retry_at = sh.now + wait;
                }
            }
            LeaderCall::Record { items } => {
                let ok = matches!(result, StateResult::Done { .. });
                self.fine |= matches!(result, StateResult::Bad);
                for (ix, tasks) in items {
                    let Some(j) = self.jobs.get_mut(&ix) else { continue };
                    j.recording = false;
                    if ok {
                        for t in &tasks {
                            j.recorded.insert(*t);
                        }
                    } else {
                        j.unrecorded.extend(&tasks);
                    }
                    if ok {
                        self.release_done(ix);
                    }
                }
                if !ok {
                    self.record_at = sh.now + sh.jitter(250);
                }
                if matches!(result, StateResult::Bad) {
                    // In parts it fits; a no for anything else is not asked for
                    // at every turn.
                    self.record_at = sh.now + 1_000;
                }
            }
            LeaderCall::Finish { job, done_ms, dropped } => {
                if let StateResult::Done { revision } = result {
                    if let Some(j) = self.jobs.get_mut(&job) {
                        j.chunks.retain(|c| !dropped.contains(c));
                    }
                    let id = sh.job_names.name(job).clone();
                    sh.put_job(&id, JobRecord::done(0, done_ms), revision);
                } else if let Some(j) = self.jobs.get_mut(&job) {
                    j.finish_busy = false;
                    j.finish_at = sh.now + sh.jitter(250);
                }
            }
            LeaderCall::Withdraw { list } => self.on_withdrawn(sh, list, result),
            LeaderCall::SaveFleet => self.fleet.saved(matches!(result, StateResult::Done { .. })),
            LeaderCall::SaveCatalog => {
                self.fine |= matches!(result, StateResult::Bad);
                self.fleet.catalog_saved(sh.now, matches!(result, StateResult::Done { .. }));
            }
            LeaderCall::Forget { keys } => self.on_forgotten(sh, keys, result),
        }
    }

    pub fn on_cloud(&mut self, sh: &mut Shared, call: u64, result: CloudResult) {
        self.fleet_result(sh, call, result);
    }

    /// The machine types, for every door. In several records only where one would
    /// be too long: the version before reads the first alone.
    pub fn save_catalog(&mut self, sh: &mut Shared, types: Vec<cloud::MachineType>) {
        let state = &sh.cfg.cluster.state;
        let limit = if self.fine { state.value_kb } else { state.today_kb };
        let records = split_catalog(&types, (limit * 1024.0) as usize);
        let changes: Vec<Change> = records
            .into_iter()
            .enumerate()
            .map(|(n, value)| Change::Put { key: catalog_key(n), value, lease: None })
            .collect();
        for some in changes.chunks(state.txn_ops.min(8)) {
            let txn = Txn { conds: vec![self.leader_cond()], changes: some.to_vec() };
            sh.state_call(Purpose::Leader(LeaderCall::SaveCatalog), StateOp::Txn(txn));
        }
    }

    pub fn save_fleet(&mut self, sh: &mut Shared, mut rec: FleetRecord) {
        // Many kinds of machines, or hundreds of each, make the history long; a
        // record past the limit would be rejected window after window.
        let limit = sh.cfg.cluster.state.value_bytes();
        let too_long = |rec: &FleetRecord| serde_json::to_string(rec).map_or(0, |s| s.len()) > limit;
        while too_long(&rec) && rec.history.shorten() {}
        // Users name classes as they like; learned run times are the least loss.
        while too_long(&rec) && rec.ratios.pop_last().is_some() {}
        while too_long(&rec) && rec.counts.pop_last().is_some() {}
        let txn = Txn {
            conds: vec![self.leader_cond()],
            changes: vec![Change::Put {
                key: "fleet".into(),
                value: serde_json::to_value(rec).unwrap_or_default(),
                lease: None,
            }],
        };
        sh.state_call(Purpose::Leader(LeaderCall::SaveFleet), StateOp::Txn(txn));
    }
}
