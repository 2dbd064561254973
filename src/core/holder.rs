//! The holder of machine blocks: chooses the machine for each task granted to
//! it, records the choice, and talks to the workers.
//!
//! Three things keep a task from running twice. An attempt is written into
//! the machine's record before its `run` goes out, under conditions that any
//! later leader or holder breaks by its own writes. `run` goes out only in
//! answers to reports. And an attempt is called gone only once a newer
//! report, from a worker that knows our token, does not list it, or its
//! lease has surely ended, or the cloud has confirmed the machine's return.

use super::model::{MachineType, Ms, Names, Res, split_task};
use super::shared::Shared;
use super::shelves::{self, Shelf, Written};
use super::window::{self, Booking};
use super::{Purpose, StateOp, StateResult};
use crate::wire::peer::{Body, Have, HaveJob, HaveMachine, HaveState, HaveTask, Want};
use crate::wire::state::{Item, JobState, ShelfMachine, ShelfRecord};
use crate::wire::workers::{Command, Op, Redirect, Report, ReportAnswer, ReportTask, TaskState};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};

/// Sooner than this no second picture of a block is sent.
const HAVE_GAP_MS: Ms = 60;
const HAVE_EVERY_MS: Ms = 1_000;
/// Sooner than this no second look at all machines for work to write or send.
const SCAN_GAP_MS: Ms = 20;
/// Reports of machines with room wait for work, so long at most.
const HOLD_IDLE_MS: Ms = 2_500;
const HOLD_BUSY_MS: Ms = 500;
/// What a waiting report is worth in the choice of a machine.
const LISTENS: f64 = 0.5;
/// A machine's load in millionths of its room that leaves no doubt.
const WAITING_ENOUGH: u64 = 3_000_000;
/// How long a picture from the leader may wait for jobs that the watch has
/// yet to bring.
const WANT_WAIT_MS: Ms = 2_000;
pub fn place_prefix(block: &str) -> String {
    format!("place/{block}/")
}

#[derive(Debug)]
pub enum HolderCall {
    Load { block: u32, grant: u64 },
    Write(Written),
    Reread { block: u32, shelf: u32, grant: u64 },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    Wanted { at: Ms },
    Reading,
    Done,
}

#[derive(Debug)]
pub struct HeldBlock {
    pub grant: u64,
    since: Ms,
    pub load: Load,
    pub term: u64,
    echo: u64,
    /// Bindings refused here, until the leader has taken note.
    rejected: HashSet<u64>,
    /// A picture that speaks of jobs yet unknown here.
    parked: Option<(Want, Ms)>,
    waiting: Vec<(u32, u32)>,
    pub dirty: bool,
    sent_at: Ms,
    /// Machines and tasks in the last picture.
    size: usize,
    pub shelves: Vec<Shelf>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum St {
    /// In the record, as far as the attempt's `written` says.
    Bound,
    /// From a former holder's record; may or may not be on the machine.
    Inherited,
    Fetching,
    Running,
    Saving,
    Done,
    Stopped,
    Failed,
    Refused,
}

impl St {
    fn ended(self) -> bool {
        matches!(self, St::Done | St::Stopped | St::Failed | St::Refused)
    }
}

#[derive(Debug)]
pub struct Attempt {
    pub job: u32,
    pub task: u32,
    pub id: u64,
    pub need: Res,
    pub team: String,
    /// The record that it is in, or shall be.
    pub shelf: u32,
    st: St,
    /// Part of a transaction that was sent: may be in the record.
    pub tried: bool,
    pub written: bool,
    pub want: bool,
    /// (session, seq) of the report whose answer first carried the `run`.
    sent: Option<(u64, u64)>,
    seen: bool,
    started: Option<Ms>,
    ran: Ms,
    expected_ms: Ms,
}

#[derive(Debug)]
pub struct Machine {
    pub name: String,
    addr: String,
    pub type_name: String,
    zone: String,
    pub spot: bool,
    pub block: u32,
    pub grant: u64,
    session: u64,
    seq: u64,
    /// The worker has shown that it knows our token.
    fenced: bool,
    last_report: Option<Ms>,
    last_answer: Option<Ms>,
    notice: bool,
    pub isolated: bool,
    shunned: bool,
    retire: bool,
    pub returning_written: bool,
    pub isolated_written: bool,
    /// Room for its row is kept in that record.
    pub row_kept: bool,
    /// The record that speaks of it, once there's something to say.
    pub shelf: Option<u32>,
    pub attempts: Vec<Attempt>,
    images: Vec<(String, f64)>,
    overloaded: bool,
    peak: f64,
    /// Told by its lease or by the cloud.
    dead: bool,
    /// (session, seq) of the last report that we answered with 200.
    answered: Option<(u64, u64)>,
    /// Reports in a row which show that our answer before did not arrive.
    unheeded: u32,
    /// Its reports arrive, but our answers don't reach it.
    deaf: bool,
    /// Back from the dead with a count that starts anew, or a late copy of a
    /// report of old: it gets no work before it has shown our token.
    reborn: bool,
    held: Option<Held>,
}

/// A report that waits for its answer.
#[derive(Debug)]
struct Held {
    req: u64,
    until: Ms,
    commands: Vec<Command>,
}

impl Machine {
    fn used(&self) -> Res {
        let mut u = Res::default();
        for a in self.attempts.iter().filter(|a| !a.st.ended()) {
            u.add(&a.need);
        }
        u
    }

    fn takes_tasks(&self, sh: &Shared) -> bool {
        !self.notice
            && !self.isolated
            && !self.shunned
            && !self.retire
            && !self.returning_written
            && !self.dead
            && !self.deaf
            && !self.reborn
            && self.last_report.is_some_and(|at| at + sh.fresh_ms > sh.now)
    }

    /// Whether the report agrees with our last answer having arrived. A worker
    /// counts every report, sends the next one only when the last is answered
    /// or given up, and then to another node: so one that skips a count, or
    /// whose lease ended although we answered, never saw the answer.
    fn heeds(&self, r: &Report, peers: usize) -> bool {
        match self.answered {
            Some((s, q)) if (s, q) == (self.session, self.seq) => {
                r.session == s && (r.seq == q + 1 || peers == 0)
            }
            _ => true,
        }
    }

    /// Its return may be recorded: nothing is on it any more.
    pub fn can_retire(&self) -> bool {
        self.retire
            && !self.returning_written
            && (self.dead || self.attempts.is_empty() || self.last_report.is_none())
    }
}

pub struct Holder {
    blocks: Vec<Option<HeldBlock>>,
    names: Names<String>,
    machines: Vec<Option<Machine>>,
    /// Machines whose return is confirmed; a late report must not revive them.
    gone: HashSet<String>,
    next_scan: Ms,
    next_check: Ms,
    next_project: Ms,
}

impl Holder {
    pub fn new(sh: &Shared) -> Holder {
        Holder {
            blocks: sh.blocks.iter().map(|_| None).collect(),
            names: Names::default(),
            machines: Vec::new(),
            gone: HashSet::new(),
            next_scan: 0,
            next_check: 0,
            next_project: 0,
        }
    }

    // ---- holding ----

    /// Takes blocks over and gives them up as the watched records say.
    fn follow_grants(&mut self, sh: &mut Shared) {
        for b in 0..self.blocks.len() {
            let granted = match &sh.block_recs[b] {
                Some((r, stamp)) if r.node == sh.me && r.incarnation == sh.incarnation => Some(*stamp),
                _ => None,
            };
            let have = self.blocks[b].as_ref().map(|h| h.grant);
            if granted == have {
                continue;
            }
            for m in self.machines.iter_mut() {
                if m.as_ref().is_some_and(|m| m.block == b as u32)
                    && let Some(held) = m.take().and_then(|m| m.held)
                {
                    sh.busy(held.req, "the block went to another holder");
                }
            }
            self.blocks[b] = granted.map(|grant| {
                tracing::info!(block = sh.blocks[b].name, grant, "holding block");
                HeldBlock {
                    grant,
                    since: sh.now,
                    load: Load::Wanted { at: sh.now },
                    term: 0,
                    echo: 0,
                    rejected: HashSet::new(),
                    parked: None,
                    waiting: Vec::new(),
                    dirty: true,
                    sent_at: 0,
                    size: 0,
                    shelves: Vec::new(),
                }
            });
            if granted.is_none() {
                tracing::info!(block = sh.blocks[b].name, "block went to another holder");
            }
        }
    }

    pub fn poll(&mut self, sh: &mut Shared) {
        self.follow_grants(sh);
        let now = sh.now;
        for b in 0..self.blocks.len() {
            let Some(h) = &mut self.blocks[b] else { continue };
            if let Load::Wanted { at } = h.load
                && now >= at
            {
                h.load = Load::Reading;
                let call = HolderCall::Load { block: b as u32, grant: h.grant };
                let prefix = place_prefix(&sh.blocks[b].name);
                sh.state_call(Purpose::Holder(call), StateOp::List { prefix, since: None, most: 1000 });
            }
            if let Some((w, at)) = h.parked.take() {
                if now > at + WANT_WAIT_MS || knows_jobs(sh, &w) {
                    self.take_want(sh, w);
                } else if let Some(h) = &mut self.blocks[b] {
                    h.parked = Some((w, at));
                }
            }
        }
        if now >= self.next_check {
            self.next_check = now + 250;
            self.check_leases(sh);
        }
        if now >= self.next_project {
            self.next_project = now + 1000;
            self.project(sh);
        }
        // These look at every machine, so they must not follow every input:
        // hundreds of reports a second reach a node.
        if now >= self.next_scan {
            self.next_scan = now + SCAN_GAP_MS;
            shelves::write_all(sh, &mut self.blocks, &mut self.machines);
            self.answer_due(sh);
            self.tell_leader(sh);
        }
    }

    fn machine_put(&mut self, name: &str) -> u32 {
        let ix = self.names.put(&name.to_string());
        while self.machines.len() <= ix as usize {
            self.machines.push(None);
        }
        ix
    }

    fn blank(name: &str, block: u32, grant: u64) -> Machine {
        Machine {
            name: name.into(),
            addr: String::new(),
            type_name: String::new(),
            zone: String::new(),
            spot: false,
            block,
            grant,
            session: 0,
            seq: 0,
            fenced: false,
            last_report: None,
            last_answer: None,
            notice: false,
            isolated: false,
            shunned: false,
            retire: false,
            returning_written: false,
            isolated_written: false,
            row_kept: false,
            shelf: None,
            attempts: Vec::new(),
            images: Vec::new(),
            overloaded: false,
            peak: 0.0,
            dead: false,
            answered: None,
            unheeded: 0,
            deaf: false,
            reborn: false,
            held: None,
        }
    }

    /// The machines of one shelf as its record tells them.
    fn load_shelf(&mut self, sh: &mut Shared, block: u32, grant: u64, item: Item) {
        let number = item.key.rsplit('/').next().and_then(|n| n.parse::<u32>().ok());
        let bytes = item.value.to_string().len();
        let rec = serde_json::from_value::<ShelfRecord>(item.value);
        let (Some(number), Ok(rec)) = (number.filter(|n| *n < 100_000), rec) else {
            tracing::error!(key = item.key, "unreadable record");
            return;
        };
        if let Some(h) = &mut self.blocks[block as usize] {
            while h.shelves.len() <= number as usize {
                h.shelves.push(Shelf::new(0, 0));
            }
            h.shelves[number as usize] = Shelf::new(item.version, bytes);
        }
        for row in &rec.machines {
            let ix = self.machine_put(&row.0);
            // Another shelf may have told of it already.
            let mut m = match self.machines[ix as usize].take() {
                Some(m) if m.grant == grant => m,
                _ => Self::blank(&row.0, block, grant),
            };
            m.type_name = rec.types.get(row.1 as usize).cloned().unwrap_or_default();
            m.zone = sh.blocks[block as usize].zone.clone();
            m.spot = row.is(ShelfMachine::SPOT);
            m.returning_written |= row.is(ShelfMachine::RETURNING);
            m.retire |= m.returning_written;
            if row.is(ShelfMachine::ISOLATED | ShelfMachine::RETURNING) || m.shelf.is_none() {
                m.shelf = Some(number);
                m.isolated_written = row.is(ShelfMachine::ISOLATED);
                m.isolated |= m.isolated_written;
            }
            // What its report told meanwhile stays; and the record may be read
            // a second time.
            m.attempts.retain(|a| a.shelf != number);
            m.attempts.extend(inherited(sh, &rec, row, number));
            self.machines[ix as usize] = Some(m);
        }
    }

    // ---- the leader's picture ----

    pub fn on_want(&mut self, sh: &mut Shared, w: Want) {
        let current = sh.leader.as_ref().map(|(_, t)| *t);
        let Some(Some(h)) = self.blocks.get_mut(w.block as usize) else { return };
        if current != Some(w.term) || w.grant != h.grant || h.load != Load::Done {
            return;
        }
        if h.term == w.term && w.serial <= h.echo {
            return;
        }
        if knows_jobs(sh, &w) {
            h.parked = None;
            self.take_want(sh, w);
        } else if h.parked.as_ref().is_none_or(|(p, _)| p.serial < w.serial || p.term != w.term) {
            let at = h.parked.as_ref().map_or(sh.now, |(_, at)| *at);
            h.parked = Some((w, at));
        }
    }

    fn take_want(&mut self, sh: &mut Shared, w: Want) {
        let b = w.block as usize;
        let Some(h) = &mut self.blocks[b] else { return };
        if h.grant != w.grant {
            return;
        }
        h.term = w.term;
        h.echo = w.serial;
        h.dirty = true;
        let mut wanted: HashMap<u64, (u32, u32, bool, Ms)> = HashMap::new();
        // The leader takes what our next picture leaves out for never bound and
        // puts it elsewhere. So a task whose job is yet unknown here is refused
        // for good: bound with a later picture, it would run twice.
        let mut unknown: HashSet<u64> = HashSet::new();
        for j in &w.jobs {
            let Some(job) = sh.job_ix(&j.job) else {
                unknown.extend(j.tasks.iter().map(|t| t.1));
                continue;
            };
            for &(task, id, bind) in &j.tasks {
                wanted.insert(id, (job, task, bind, (j.expected_s * 1000.0) as Ms));
            }
        }
        h.rejected.retain(|id| wanted.contains_key(id));
        h.rejected.extend(unknown);
        h.waiting = w.waiting.iter().filter_map(|x| Some((sh.job_ix(&x.job)?, x.count))).collect();
        for name in &w.gone {
            self.forget_machine(sh, name, w.block);
        }
        let isolated: HashSet<&str> = w.isolated.iter().map(String::as_str).collect();
        let retire: HashSet<&str> = w.retire.iter().map(|r| r.machine.as_str()).collect();
        let shunned: HashSet<&str> = w.shunned.iter().map(String::as_str).collect();
        for r in &w.retire {
            if self.gone.contains(&r.machine) {
                continue;
            }
            let ix = self.machine_put(&r.machine);
            let grant = w.grant;
            let m = self.machines[ix as usize].get_or_insert_with(|| {
                let mut m = Self::blank(&r.machine, w.block, grant);
                m.type_name = r.machine_type.clone();
                m.zone = r.zone.clone();
                m.spot = r.spot;
                m
            });
            m.retire = true;
        }
        let mut known: HashSet<u64> = HashSet::new();
        for m in self.machines.iter_mut().flatten().filter(|m| m.block == w.block) {
            m.isolated = isolated.contains(m.name.as_str());
            m.retire = m.returning_written || retire.contains(m.name.as_str());
            m.shunned = shunned.contains(m.name.as_str());
            let dead = m.dead;
            for a in &mut m.attempts {
                known.insert(a.id);
                match wanted.get(&a.id) {
                    Some((_, _, _, expected)) => {
                        a.want = true;
                        a.expected_ms = *expected;
                    }
                    None => a.want = false,
                }
            }
            // What was never sent is nowhere, whatever the record says; what
            // ended on a dead machine needs no clearing.
            if let Some(h) = &mut self.blocks[b] {
                let gone = m.attempts.extract_if(.., |a| {
                    let unsent = a.st == St::Bound && a.sent.is_none();
                    !a.want && (unsent || dead && a.st.ended())
                });
                shelves::mark_stale(h, gone.map(|a| a.shelf), sh.now);
            }
        }
        let mut fresh: Vec<(u64, u32, u32, Ms)> = wanted
            .iter()
            .filter(|(id, (_, _, bind, _))| *bind && !known.contains(id))
            .map(|(id, (job, task, _, exp))| (*id, *job, *task, *exp))
            .collect();
        fresh.sort_unstable();
        for (id, job, task, expected) in fresh {
            if self.blocks[b].as_ref().is_some_and(|h| h.rejected.contains(&id)) {
                continue;
            }
            if !self.bind(sh, w.block, id, job, task, expected)
                && let Some(h) = &mut self.blocks[b]
            {
                h.rejected.insert(id);
            }
        }
    }

    /// Best fit: of the machines that may take the task, the one with its
    /// image and the least room left over. Spot first where it is allowed.
    fn bind(&mut self, sh: &Shared, block: u32, id: u64, job: u32, task: u32, expected: Ms) -> bool {
        let j = sh.job(job);
        let (Some(spec), JobState::Live) = (j.spec.clone(), j.state) else { return false };
        let need = spec.need();
        let Some(h) = &mut self.blocks[block as usize] else { return false };
        let mut best: Option<(f64, usize)> = None;
        for (ix, m) in self.machines.iter().enumerate() {
            let Some(m) = m.as_ref().filter(|m| m.block == block && m.takes_tasks(sh)) else {
                continue;
            };
            if !window::allowed(&spec, &m.type_name, &m.zone, m.spot) {
                continue;
            }
            let Some(kind) = sh.type_ix(&m.type_name) else { continue };
            let t = &sh.types[kind];
            let mut room = t.room;
            room.sub(&m.used());
            if !need.fits(&room) {
                continue;
            }
            let has_image = spec.image_gb <= 0.0 || m.images.iter().any(|(n, _)| *n == spec.image);
            let mut score = window::fit_score(&need, &room, &t.room, spec.spot && !m.spot, has_image);
            score += sh.scarcity(kind);
            // One whose report waits for an answer starts the task now, not
            // with its next report.
            if m.held.is_none() {
                score += LISTENS;
            }
            if best.is_none_or(|(s, _)| score < s) {
                best = Some((score, ix));
            }
        }
        let Some((_, ix)) = best else { return false };
        let Some(m) = &mut self.machines[ix] else { return false };
        let shelf = shelves::reserve(sh, h, m, job, &spec.team);
        m.attempts.push(Attempt {
            job,
            task,
            id,
            need,
            team: spec.team.clone(),
            shelf,
            st: St::Bound,
            tried: false,
            written: false,
            want: true,
            sent: None,
            seen: false,
            started: None,
            ran: 0,
            expected_ms: expected,
        });
        let cache = sh.type_ix(&m.type_name).map_or(0.0, |t| sh.types[t].cache_gb);
        remember_image(&mut m.images, &spec.image, spec.image_gb, cache);
        true
    }

    fn forget_machine(&mut self, sh: &mut Shared, name: &str, block: u32) {
        if !self.gone.insert(name.to_string()) {
            return;
        }
        let Some(ix) = self.names.get(name) else { return };
        let Some(m) = self.machines.get_mut(ix as usize).and_then(Option::take) else { return };
        if let Some(held) = &m.held {
            sh.busy(held.req, "this machine has been returned");
        }
        if let Some(h) = &mut self.blocks[block as usize] {
            shelves::mark_stale(h, m.attempts.iter().map(|a| a.shelf).chain(m.shelf), sh.now);
        }
    }

    // ---- records ----

    pub fn on_result(&mut self, sh: &mut Shared, call: HolderCall, result: StateResult) {
        match call {
            HolderCall::Load { block, grant } => self.on_load(sh, block, grant, result),
            HolderCall::Write(w) => {
                if let Some(h) = &mut self.blocks[w.block as usize] {
                    shelves::on_written(sh, h, &mut self.machines, w, result);
                }
            }
            HolderCall::Reread { block, shelf, grant } => {
                let h = self.blocks[block as usize].as_mut().filter(|h| h.grant == grant);
                if let Some(h) = h {
                    shelves::on_reread(sh, h, &mut self.machines, (block, shelf), result);
                }
            }
        }
    }

    fn on_load(&mut self, sh: &mut Shared, block: u32, grant: u64, result: StateResult) {
        let Some(h) = self.blocks[block as usize].as_mut().filter(|h| h.grant == grant) else {
            return;
        };
        let StateResult::Page(p) = result else {
            h.load = Load::Wanted { at: sh.now + sh.jitter(300) };
            return;
        };
        let last = p.items.last().map(|i| i.key.clone());
        for i in p.items {
            self.load_shelf(sh, block, grant, i);
        }
        if p.more && last.is_some() {
            let prefix = place_prefix(&sh.blocks[block as usize].name);
            sh.state_call(
                Purpose::Holder(HolderCall::Load { block, grant }),
                StateOp::List { prefix, since: last, most: 1000 },
            );
            return;
        }
        if let Some(h) = self.blocks[block as usize].as_mut() {
            h.load = Load::Done;
            h.dirty = true;
        }
    }

    // ---- workers ----

    pub fn checkin(&mut self, sh: &mut Shared, req: u64, r: Report) {
        let Some(b) = sh.block_of(&r.zone, &r.machine) else {
            return sh.refuse(req, 400, "unknown zone", Some("yard"));
        };
        if !sh.synced {
            return sh.busy(req, "not yet in touch with the state service");
        }
        let holds = self.blocks[b as usize].as_ref().map(|h| (h.grant, h.load));
        let Some((grant, load)) = holds else { return redirect(sh, req, b) };
        if !sh.has_authority() {
            return sh.busy(req, "no proof of authority");
        }
        // The worker has seen a token above ours: someone holds the block
        // after us, and the watch will tell who. Never guess.
        if r.token > grant {
            return sh.busy(req, "a newer holder exists");
        }
        if self.gone.contains(&r.machine) {
            return sh.busy(req, "this machine has been returned");
        }
        let ix = self.machine_put(&r.machine) as usize;
        let m = self.machines[ix].get_or_insert_with(|| Self::blank(&r.machine, b, grant));
        if m.grant != grant || m.block != b {
            let held = m.held.take();
            *m = Self::blank(&r.machine, b, grant);
            m.held = held;
        }
        let mut reborn = false;
        if (r.session, r.seq) <= (m.session, m.seq) {
            if !m.dead {
                return sh.busy(req, "a newer report is known");
            }
            // Its lease is over and with it all that it had, so a count that
            // starts anew is a worker that did. But it may be a late copy too.
            reborn = true;
            (m.session, m.seq, m.answered) = (0, 0, None);
        }
        // The first report that this holder sees is no new session: it may be
        // one that was under way before the tasks on record were started.
        let new_session = m.session != 0 && r.session > m.session;
        if !m.heeds(&r, sh.cfg.peers.len()) {
            m.unheeded += 1;
            m.deaf |= m.unheeded >= 2;
        } else if m.answered.is_some() {
            (m.unheeded, m.deaf) = (0, false);
        }
        m.dead = false;
        m.addr = r.addr;
        m.type_name = r.machine_type;
        m.zone = r.zone;
        m.spot = r.spot;
        m.session = r.session;
        m.seq = r.seq;
        m.notice = r.notice_s.is_some();
        m.last_report = Some(sh.now);
        m.fenced = !reborn && (m.fenced || r.token >= grant);
        m.reborn = reborn || m.reborn && !m.fenced;
        // The worker has given the earlier report up.
        let stale = m.held.take();
        let mut commands = Vec::new();
        if load == Load::Done {
            let gone = read_tasks(sh, m, &r.tasks, new_session, &mut commands);
            if let Some(h) = &mut self.blocks[b as usize] {
                shelves::mark_stale(h, gone, sh.now);
            }
        }
        let hold = if load == Load::Done && commands.is_empty() { hold_ms(sh, m) } else { 0 };
        m.held = Some(Held { req, until: sh.now + hold, commands });
        if let Some(h) = &mut self.blocks[b as usize] {
            h.dirty = true;
        }
        if let Some(old) = stale {
            sh.busy(old.req, "a newer report is known");
        }
        if hold == 0 {
            self.answer_held(sh, ix);
        }
    }

    /// Answers the report that a machine waits with. What is ordered is
    /// decided now, on what is known now.
    fn answer_held(&mut self, sh: &mut Shared, ix: usize) {
        let Some(m) = self.machines[ix].as_mut() else { return };
        let Some(held) = m.held.take() else { return };
        let holds = self.blocks[m.block as usize].as_ref().is_some_and(|h| h.grant == m.grant);
        if !holds || !sh.has_authority() {
            return sh.busy(held.req, "no proof of authority");
        }
        let mut commands = held.commands;
        orders(sh, m, &mut commands);
        m.last_answer = Some(sh.now);
        m.answered = Some((m.session, m.seq));
        sh.answer_json(held.req, 200, &ReportAnswer { token: m.grant, commands });
    }

    /// Held reports are answered at the moment that work appears for their
    /// machine, or when their time is over.
    fn answer_due(&mut self, sh: &mut Shared) {
        for ix in 0..self.machines.len() {
            let Some(m) = &self.machines[ix] else { continue };
            let Some(h) = &m.held else { continue };
            let work = m.attempts.iter().any(|a| match a.st {
                St::Bound => a.written && a.want && a.sent.is_none(),
                St::Fetching | St::Running => !a.want || sh.job(a.job).state == JobState::Cancelled,
                _ => false,
            });
            if work || sh.now >= h.until {
                self.answer_held(sh, ix);
            }
        }
    }

    /// Machines whose lease has surely ended hold nothing any more.
    fn check_leases(&mut self, sh: &mut Shared) {
        let lease = (sh.cfg.cluster.workers.lease_s * 1001.0) as Ms + 1500;
        for ix in 0..self.machines.len() {
            let Some(m) = &mut self.machines[ix] else { continue };
            let Some(h) = &mut self.blocks[m.block as usize] else { continue };
            // A report that waits for its answer is no silence: the first one
            // of a new machine would pass for the end of a lease that never
            // began, and its tasks would be granted again while it got them.
            if m.dead || m.held.is_some() || h.load != Load::Done {
                continue;
            }
            // Until the worker has shown our token, a former holder may have
            // answered it up to the end of its own authority.
            let before = if m.fenced { 0 } else { h.since + sh.authority_ms };
            let last = m.last_answer.unwrap_or(0).max(before);
            if sh.now <= last + lease {
                continue;
            }
            m.dead = true;
            m.images.clear();
            if m.attempts.iter().any(|a| !a.st.ended()) {
                tracing::info!(machine = m.name, "lease ended; its tasks are gone");
            }
            let gone = m.attempts.extract_if(.., |a| a.st != St::Done || !a.want);
            shelves::mark_stale(h, gone.map(|a| a.shelf), sh.now);
            h.dirty = true;
        }
    }

    // ---- projection and pictures for the leader ----

    /// Each waiting task counts once, on its best-fit machine: the one with the
    /// most room left when earlier ones are counted.
    fn waiting_on(&self, sh: &Shared, block: usize) -> HashMap<usize, Res> {
        let mut extra: HashMap<usize, Res> = HashMap::new();
        let Some(h) = self.blocks[block].as_ref().filter(|h| !h.waiting.is_empty()) else {
            return extra;
        };
        let mut able: Vec<(usize, &Machine, &MachineType, Res)> = Vec::new();
        for (ix, m) in self.machines.iter().enumerate() {
            let Some(m) = m.as_ref().filter(|m| m.block as usize == block && m.takes_tasks(sh)) else {
                continue;
            };
            if let Some(t) = sh.type_ix(&m.type_name) {
                able.push((ix, m, &sh.types[t], m.used()));
            }
        }
        for &(job, count) in &h.waiting {
            let Some(spec) = sh.job(job).spec.clone() else { continue };
            let need = spec.need();
            let parts = |load: &Res, t: &MachineType| (load.share_of(&t.room) * 1e6) as u64;
            let fit = |m: &Machine, t: &MachineType| {
                window::allowed(&spec, &m.type_name, &m.zone, m.spot) && need.fits(&t.room)
            };
            let mut heap: BinaryHeap<Reverse<(u64, usize)>> = able
                .iter()
                .enumerate()
                .filter(|(_, (_, m, t, _))| fit(m, t))
                .map(|(i, (_, _, t, load))| Reverse((parts(load, t), i)))
                .collect();
            for _ in 0..count {
                let Some(Reverse((share, i))) = heap.pop() else { break };
                // All are overloaded by what waits; more of it changes nothing.
                if share > WAITING_ENOUGH {
                    break;
                }
                let (ix, _, t, load) = &mut able[i];
                load.add(&need);
                extra.entry(*ix).or_default().add(&need);
                heap.push(Reverse((parts(load, t), i)));
            }
        }
        extra
    }

    fn project(&mut self, sh: &mut Shared) {
        for b in 0..self.blocks.len() {
            if self.blocks[b].is_none() {
                continue;
            }
            let extra = self.waiting_on(sh, b);
            let mut changed = false;
            for (ix, m) in self.machines.iter_mut().enumerate() {
                let Some(m) = m.as_mut().filter(|m| m.block as usize == b) else { continue };
                let Some(t) = sh.type_ix(&m.type_name).map(|t| &sh.types[t]) else { continue };
                let bookings: Vec<Booking> = m
                    .attempts
                    .iter()
                    .filter(|a| !a.st.ended())
                    .map(|a| Booking {
                        need: a.need,
                        ran_ms: a.started.map_or(0, |s| sh.now.saturating_sub(s)),
                        expected_ms: a.expected_ms,
                    })
                    .collect();
                let more = extra.get(&ix).copied().unwrap_or_default();
                let p = window::project(&sh.op, &t.room, &bookings, &more);
                changed |= p.overloaded != m.overloaded;
                m.overloaded = p.overloaded;
                m.peak = p.peak;
            }
            if changed && let Some(h) = &mut self.blocks[b] {
                h.dirty = true;
            }
        }
    }

    fn tell_leader(&mut self, sh: &mut Shared) {
        let Some((leader, term)) = sh.leader.clone() else { return };
        let now = sh.now;
        for b in 0..self.blocks.len() {
            let Some(h) = &mut self.blocks[b] else { continue };
            if h.load != Load::Done {
                continue;
            }
            let gap = sh.widened(HAVE_GAP_MS, h.size);
            let due = h.sent_at + if h.dirty { gap } else { HAVE_EVERY_MS.max(gap) };
            if now < due && h.sent_at != 0 {
                continue;
            }
            h.dirty = false;
            h.sent_at = now;
            let echo = if h.term == term { h.echo } else { 0 };
            let mut have = Have {
                term,
                block: b as u32,
                grant: h.grant,
                echo,
                types: Vec::new(),
                jobs: Vec::new(),
                machines: Vec::new(),
            };
            let mut rows: HashMap<u32, u32> = HashMap::new();
            for m in self.machines.iter().flatten().filter(|m| m.block as usize == b) {
                let m = have_machine(sh, m, &mut have, &mut rows);
                have.machines.push(m);
            }
            h.size = have.machines.iter().map(|m| 1 + m.tasks.len()).sum();
            sh.send(&leader.node, Body::Have(have));
        }
    }
}

/// How long a report may wait for work. A machine with room gets new work the
/// sooner; one with tasks also has their ends to tell, so it waits less. The
/// worker gives up after 4 s.
fn hold_ms(sh: &Shared, m: &Machine) -> Ms {
    if !m.takes_tasks(sh) {
        return 0;
    }
    let Some(t) = sh.type_ix(&m.type_name).map(|t| &sh.types[t]) else { return 0 };
    let ready = m.attempts.iter().any(|a| a.st == St::Bound && a.written && a.want);
    let ended = m.attempts.iter().any(|a| a.st.ended() && !a.want);
    if ready || ended {
        return 0;
    }
    if m.attempts.is_empty() {
        HOLD_IDLE_MS
    } else if m.used().share_of(&t.room) < 0.95 {
        HOLD_BUSY_MS
    } else {
        0
    }
}

fn redirect(sh: &mut Shared, req: u64, block: u32) {
    let holder = sh.block_recs[block as usize].as_ref().map(|(r, _)| r.node.clone());
    match holder {
        Some(node) if node != sh.me => {
            sh.answer_json(req, 421, &Redirect { report_to: Some(node) });
        }
        _ => sh.busy(req, "nobody holds this machine's block yet"),
    }
}

fn knows_jobs(sh: &Shared, w: &Want) -> bool {
    w.jobs.iter().all(|j| sh.job_ix(&j.job).is_some())
}

fn inherited(sh: &Shared, rec: &ShelfRecord, row: &ShelfMachine, shelf: u32) -> Vec<Attempt> {
    let mut out = Vec::new();
    for (job, task, id) in row.tasks(rec.base) {
        let Some(j) = rec.jobs.get(job) else { continue };
        let Some(job) = sh.job_ix(&j.0) else {
            tracing::error!(job = j.0, "a machine's record names an unknown job");
            continue;
        };
        out.push(Attempt {
            job,
            task,
            id,
            need: Res { cpus: j.2, gpus: j.3, mem: j.4 },
            team: j.1.clone(),
            shelf,
            st: St::Inherited,
            tried: true,
            written: true,
            want: true,
            sent: None,
            seen: false,
            started: None,
            ran: 0,
            expected_ms: 0,
        });
    }
    out
}

/// The most recently used images first, as many as the cache holds.
fn remember_image(images: &mut Vec<(String, f64)>, name: &str, gb: f64, cache_gb: f64) {
    if name.is_empty() {
        return;
    }
    images.retain(|(n, _)| n != name);
    images.insert(0, (name.to_string(), gb));
    let mut sum = 0.0;
    images.retain(|(_, gb)| {
        sum += gb;
        sum <= cache_gb.max(0.1)
    });
}

/// Takes in what a report says of the machine's tasks, and what it proves by
/// not saying it. The shelves of what is gone.
fn read_tasks(
    sh: &mut Shared,
    m: &mut Machine,
    tasks: &[ReportTask],
    new_session: bool,
    commands: &mut Vec<Command>,
) -> Vec<u32> {
    let now = sh.now;
    let mut listed: HashSet<u64> = HashSet::new();
    for t in tasks {
        let found = split_task(&t.task).and_then(|(job, task)| {
            let job = sh.job_ix(job)?;
            m.attempts.iter_mut().find(|a| a.id == t.attempt && a.job == job && a.task == task)
        });
        let Some(a) = found else {
            // Nobody's: no record stands behind it, so it must not go on.
            let op = if t.state == TaskState::Exited { Op::Forget } else { Op::Stop };
            let grace_s = (op == Op::Stop).then_some(0.0);
            commands.push(Command { op, task: t.task.clone(), attempt: t.attempt, grace_s });
            continue;
        };
        listed.insert(a.id);
        a.seen = true;
        let st = match t.state {
            TaskState::Fetching => St::Fetching,
            TaskState::Running | TaskState::Other => St::Running,
            TaskState::Saving => St::Saving,
            TaskState::Exited => match t.why.as_deref() {
                Some("done") => St::Done,
                Some("error") => St::Failed,
                Some("halted") => St::Stopped,
                _ => St::Refused,
            },
        };
        if st == St::Running && a.started.is_none() {
            a.started = Some(now);
        }
        if st.ended()
            && !a.st.ended()
            && let Some(s) = a.started
        {
            a.ran = now.saturating_sub(s);
        }
        a.st = st;
    }
    let fenced = m.fenced;
    let newest = (m.session, m.seq);
    let lost = |a: &Attempt| a.st == St::Bound && a.sent.is_some_and(|s| s < newest);
    if m.attempts.iter().any(|a| lost(a) && !listed.contains(&a.id)) {
        m.deaf = true;
        tracing::info!(machine = m.name, "answers don't reach the machine; no new work for it");
    }
    let (deaf, machine) = (m.deaf, m.name.as_str());
    let gone = m.attempts.extract_if(.., |a| {
        if listed.contains(&a.id) {
            return false;
        }
        match a.st {
            // Kept as knowledge until the leader has recorded it.
            St::Done if a.want => false,
            // Sent in an answer to an earlier report: the worker sends the next
            // one only after that answer, or having given it up, so what this
            // one does not list never came. What was not sent waits, unless
            // nothing reaches the machine.
            St::Bound if a.want => lost(a) || deaf && a.sent.is_none(),
            // The former holder's answer can't be under way any more once
            // the worker knows our token.
            St::Inherited => fenced || new_session,
            _ => true,
        }
    });
    gone.map(|a| {
        tracing::debug!(machine, job = sh.job_names.name(a.job), task = a.task, attempt = a.id, st = ?a.st, new_session, "gone");
        a.shelf
    })
    .collect()
}

/// What the worker shall do now.
fn orders(sh: &Shared, m: &mut Machine, commands: &mut Vec<Command>) {
    let stoppable = |a: &Attempt| matches!(a.st, St::Fetching | St::Running | St::Saving);
    for a in &mut m.attempts {
        let task = || format!("{}/{}", sh.job_names.name(a.job), a.task);
        let job = sh.job(a.job);
        let withdrawn = job.state == JobState::Cancelled;
        if a.st == St::Bound
            && a.want
            && a.written
            && !m.deaf
            && !m.returning_written
            && job.state == JobState::Live
        {
            a.sent.get_or_insert((m.session, m.seq));
            tracing::debug!(machine = m.name, task = task(), attempt = a.id, "run sent");
            commands.push(Command { op: Op::Start, task: task(), attempt: a.id, grace_s: None });
        } else if stoppable(a) && (withdrawn || !a.want) {
            let spec = job.spec.as_deref();
            let saves = spec.is_some_and(|s| s.checkpoint_s > 0.0) && !withdrawn;
            let grace = if saves { spec.map_or(0.0, |s| s.save_s) } else { 0.0 };
            if a.st == St::Saving && !withdrawn {
                continue;
            }
            commands.push(Command { op: Op::Stop, task: task(), attempt: a.id, grace_s: Some(grace) });
        } else if a.st.ended() && !a.want && a.seen {
            commands.push(Command { op: Op::Forget, task: task(), attempt: a.id, grace_s: None });
        }
    }
}

/// A machine as the picture shows it; `rows` are the places of its jobs there.
fn have_machine(sh: &Shared, m: &Machine, have: &mut Have, rows: &mut HashMap<u32, u32>) -> HaveMachine {
    let known = have.types.iter().position(|t| *t == m.type_name);
    let machine_type = known.unwrap_or_else(|| {
        have.types.push(m.type_name.clone());
        have.types.len() - 1
    }) as u32;
    let mut tasks = Vec::with_capacity(m.attempts.len());
    for a in &m.attempts {
        let job = *rows.entry(a.job).or_insert_with(|| {
            have.jobs.push(HaveJob {
                job: sh.job_names.name(a.job).clone(),
                team: a.team.clone(),
                cpus: a.need.cpus,
                gpus: a.need.gpus,
                memory_gb: a.need.mem,
            });
            have.jobs.len() as u32 - 1
        });
        let ran_ms =
            if a.st.ended() { a.ran } else { a.started.map_or(0, |s| sh.now.saturating_sub(s)) };
        let state = match a.st {
            St::Bound | St::Inherited => HaveState::Bound,
            St::Fetching => HaveState::Fetching,
            St::Running => HaveState::Running,
            St::Saving => HaveState::Saving,
            St::Done => HaveState::Done,
            St::Stopped => HaveState::Stopped,
            St::Failed => HaveState::Failed,
            St::Refused => HaveState::Refused,
        };
        tasks.push(HaveTask { job, task: a.task, attempt: a.id, state, ran_ms });
    }
    HaveMachine {
        machine: m.name.clone(),
        machine_type,
        spot: m.spot,
        silent_ms: m.last_report.map_or(u64::MAX, |at| sh.now - at),
        notice: m.notice,
        returning: m.returning_written,
        fenced: m.fenced,
        deaf: m.deaf,
        peak: m.peak,
        overloaded: m.overloaded,
        tasks,
    }
}
