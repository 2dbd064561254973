//! The holder of machine blocks: chooses the machine for each task granted to
//! it and records the choice. Its talk with the workers is in `worker_heartbeats`, what
//! it tells the leader in `reported_state`, its records in `placement_records`.
//!
//! Three things keep a task from running twice. An attempt is written into
//! the machine's record before its `run` goes out, under conditions that any
//! later leader or holder breaks by its own writes. `run` goes out only in
//! answers to reports. And an attempt is called gone only once a newer
//! report, from a worker that knows our token, does not list it, or its
//! lease has surely ended, or the cloud has confirmed the machine's return.

use super::model::{Ms, Res};
use super::named_table::NamedTable;
use super::placement_records::{self, Shelf, Written};
use super::recent_names::RecentNames;
use super::shared::Shared;
use super::window;
use super::{Purpose, StateOp, StateResult};
use crate::wire::peer::DesiredState;
use crate::wire::state::{Item, JobState, ShelfMachine, ShelfRecord};
use crate::wire::workers::{Command, Report};
use rustc_hash::{FxHashMap, FxHashSet};

/// Machines of the blocks held here.
pub type Machines = NamedTable<Machine>;

/// Returned machines that are kept in mind. One that reports after that is treated
/// as any that the cloud does not list: it gets no work.
const MAX_RETURNED: usize = 4_096;
/// Sooner than this no second look at all machines for work to write or send.
const SCAN_GAP_MS: Ms = 20;
/// What a waiting report is worth in the choice of a machine.
const LISTENS: f64 = 0.5;
/// How long a picture from the leader may wait for jobs that the watch has
/// yet to bring.
const DESIRED_WAIT_MS: Ms = 2_000;

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
    pub(super) since: Ms,
    pub load: Load,
    pub term: u64,
    pub(super) echo: u64,
    /// Bindings refused here, until the leader has taken note.
    pub(super) rejected: FxHashSet<u64>,
    /// A picture that speaks of jobs yet unknown here.
    pub(super) parked: Option<(DesiredState, Ms)>,
    pub(super) waiting: Vec<(u32, u32)>,
    pub dirty: bool,
    pub(super) sent_at: Ms,
    /// Machines and tasks in the last picture.
    pub(super) size: usize,
    pub shelves: Vec<Shelf>,
    /// The shelf that takes what is new.
    pub open: u32,
    /// No shelf is written before that only to leave out what is gone.
    pub tidy_at: Ms,
}

impl HeldBlock {
    /// Attempts that are proven gone, with their shelves. Pictures under way may
    /// still allow to bind them, and our next one, which leaves them out, has their
    /// tasks granted elsewhere: bound again here, they would run twice.
    pub(super) fn give_up(&mut self, gone: impl IntoIterator<Item = (u64, u32)>, now: Ms) {
        for (id, shelf) in gone {
            self.rejected.insert(id);
            placement_records::mark_stale(self, [shelf], now);
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
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

impl AttemptState {
    pub(super) fn ended(self) -> bool {
        matches!(
            self,
            AttemptState::Done | AttemptState::Stopped | AttemptState::Failed | AttemptState::Refused
        )
    }
}

#[derive(Debug)]
pub struct Attempt {
    pub job: u32,
    pub task: u32,
    pub id: u64,
    pub need: Res,
    pub team: String,
    /// Length of its job's row in a placement record.
    pub job_row_bytes: usize,
    /// The record that it is in, or shall be.
    pub shelf: u32,
    /// The record that it is being copied to, out of one that is too long.
    pub moving: Option<u32>,
    pub(super) st: AttemptState,
    /// Part of a transaction that was sent: may be in the record.
    pub tried: bool,
    pub written: bool,
    pub want: bool,
    /// (session, seq) of the report whose answer first carried the `run`.
    pub(super) sent: Option<(u64, u64)>,
    pub(super) seen: bool,
    pub(super) started: Option<Ms>,
    pub(super) ran: Ms,
    pub(super) expected_ms: Ms,
    /// When it was bound here, and when that was on record.
    pub(super) bound_at: Ms,
    pub(super) written_at: Ms,
}

#[derive(Debug)]
pub struct Machine {
    pub name: String,
    pub(super) addr: String,
    pub type_name: String,
    pub(super) zone: String,
    pub spot: bool,
    pub block: u32,
    pub grant: u64,
    pub(super) session: u64,
    pub(super) seq: u64,
    /// The worker has shown that it knows our token.
    pub(super) fenced: bool,
    pub(super) last_report: Option<Ms>,
    pub(super) last_answer: Option<Ms>,
    pub(super) notice: bool,
    pub isolated: bool,
    pub(super) quarantined: bool,
    pub(super) retire: bool,
    pub returning_written: bool,
    pub isolated_written: bool,
    /// Room for its row is kept in that record.
    pub row_kept: bool,
    /// The record that speaks of it, once there's something to say.
    pub shelf: Option<u32>,
    /// A long record whose row on it stays until that one has it.
    pub row_from: Option<u32>,
    pub attempts: Vec<Attempt>,
    pub(super) images: Vec<(String, f64)>,
    pub(super) overloaded: bool,
    pub(super) peak: f64,
    /// Told by its lease or by the cloud.
    pub(super) dead: bool,
    /// (session, seq) of the last report that we answered with 200.
    pub(super) answered: Option<(u64, u64)>,
    /// Reports in a row which show that our answer before did not arrive.
    pub(super) unheeded: u32,
    /// Its reports arrive, but our answers don't reach it.
    pub(super) deaf: bool,
    /// Back from the dead with a count that starts anew, or a late copy of a
    /// report of old: it gets no work before it has shown our token.
    pub(super) reborn: bool,
    /// Heard again after a long silence, by a report whose session may be about to
    /// end: it gets no work before the next one.
    pub(super) resuming: bool,
    pub(super) held: Option<Held>,
    /// When it was last told directly to stop tasks, and how often since its last
    /// report.
    pub(super) direct_at: Ms,
    pub(super) direct_sent: u32,
}

/// A report that waits for its answer.
#[derive(Debug)]
pub(super) struct Held {
    pub(super) req: u64,
    pub(super) until: Ms,
    pub(super) commands: Vec<Command>,
}

impl Machine {
    pub(super) fn used(&self) -> Res {
        let mut u = Res::default();
        for a in self.attempts.iter().filter(|a| !a.st.ended()) {
            u.add(&a.need);
        }
        u
    }

    pub(super) fn takes_tasks(&self, shared: &Shared) -> bool {
        !self.notice
            && !self.isolated
            && !self.quarantined
            && !self.retire
            && !self.returning_written
            && !self.dead
            && !self.deaf
            && !self.reborn
            && !self.resuming
            && self.last_report.is_some_and(|at| at + shared.fresh_ms > shared.now)
    }

    /// Whether the report agrees with our last answer having arrived. A worker
    /// counts every report, sends the next one only when the last is answered
    /// or given up, and then to another node: so one that skips a count, or
    /// whose lease ended although we answered, never saw the answer.
    pub(super) fn heeds(&self, r: &Report, peers: usize) -> bool {
        match self.answered {
            Some((s, q)) if (s, q) == (self.session, self.seq) => {
                // Each direct command that it has answered counts as well.
                let next = q + 1..=q + 1 + u64::from(self.direct_sent);
                r.session == s && (next.contains(&r.seq) || peers == 0)
            }
            _ => true,
        }
    }

    /// Its record has to speak of it though nothing may be on it.
    pub fn has_state(&self) -> bool {
        self.isolated || self.returning_written
    }

    /// Its return may be recorded: nothing is on it any more.
    pub fn can_retire(&self) -> bool {
        self.retire
            && !self.returning_written
            && (self.dead || self.attempts.is_empty() || self.last_report.is_none())
    }
}

pub struct Holder {
    pub(super) blocks: Vec<Option<HeldBlock>>,
    pub(super) machines: Machines,
    /// Machines whose return is confirmed; a late report must not revive them.
    pub(super) gone: RecentNames,
    pub(super) next_scan: Ms,
    pub(super) next_check: Ms,
    pub(super) next_project: Ms,
}

impl Holder {
    pub fn new(shared: &Shared) -> Holder {
        Holder {
            blocks: shared.blocks.iter().map(|_| None).collect(),
            machines: Machines::default(),
            gone: RecentNames::new(MAX_RETURNED),
            next_scan: 0,
            next_check: 0,
            next_project: 0,
        }
    }

    // ---- holding ----

    /// Takes blocks over and gives them up as the watched records say.
    fn follow_grants(&mut self, shared: &mut Shared) {
        for b in 0..self.blocks.len() {
            let granted = match &shared.block_recs[b] {
                Some((r, version)) if r.node == shared.me && r.incarnation == shared.incarnation => {
                    Some(*version)
                }
                _ => None,
            };
            let have = self.blocks[b].as_ref().map(|h| h.grant);
            if granted == have {
                continue;
            }
            for ix in self.machines.indices() {
                if self.machines.get(ix).is_some_and(|m| m.block == b as u32)
                    && let Some(held) = self.machines.remove(ix).and_then(|m| m.held)
                {
                    shared.busy(held.req, "the block went to another holder");
                }
            }
            self.blocks[b] = granted.map(|grant| {
                tracing::info!(block = shared.blocks[b].name, grant, "holding block");
                HeldBlock {
                    grant,
                    since: shared.now,
                    load: Load::Wanted { at: shared.now },
                    term: 0,
                    echo: 0,
                    rejected: FxHashSet::default(),
                    parked: None,
                    waiting: Vec::new(),
                    dirty: true,
                    sent_at: 0,
                    size: 0,
                    shelves: Vec::new(),
                    open: 0,
                    tidy_at: 0,
                }
            });
            if granted.is_none() {
                tracing::info!(block = shared.blocks[b].name, "block went to another holder");
            }
        }
    }

    pub fn poll(&mut self, shared: &mut Shared) {
        self.follow_grants(shared);
        let now = shared.now;
        for b in 0..self.blocks.len() {
            let Some(h) = &mut self.blocks[b] else { continue };
            if let Load::Wanted { at } = h.load
                && now >= at
            {
                h.load = Load::Reading;
                let call = HolderCall::Load { block: b as u32, grant: h.grant };
                let prefix = place_prefix(&shared.blocks[b].name);
                shared.state_call(
                    Purpose::Holder(call),
                    StateOp::List { prefix, since: None, most: 1000 },
                );
            }
            if let Some((w, at)) = h.parked.take() {
                if now > at + DESIRED_WAIT_MS || knows_jobs(shared, &w) {
                    self.take_desired_state(shared, w);
                } else if let Some(h) = &mut self.blocks[b] {
                    h.parked = Some((w, at));
                }
            }
        }
        self.stop_cancelled(shared);
        if now >= self.next_check {
            self.next_check = now + 250;
            self.check_leases(shared);
            self.repeat_stops(shared);
        }
        if now >= self.next_project {
            self.next_project = now + 1000;
            self.project(shared);
        }
        // These look at every machine, so they must not follow every input:
        // hundreds of reports a second reach a node.
        if now >= self.next_scan {
            self.next_scan = now + SCAN_GAP_MS;
            placement_records::write_all(shared, &mut self.blocks, &mut self.machines);
            self.answer_due(shared);
            self.tell_leader(shared);
        }
    }

    /// Jobs with an attempt on a machine held here.
    pub(super) fn jobs_in_use(&self) -> impl Iterator<Item = u32> {
        self.machines.values().flat_map(|m| m.attempts.iter().map(|a| a.job))
    }

    pub(super) fn blank(name: &str, block: u32, grant: u64) -> Machine {
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
            quarantined: false,
            retire: false,
            returning_written: false,
            isolated_written: false,
            row_kept: false,
            shelf: None,
            row_from: None,
            attempts: Vec::new(),
            images: Vec::new(),
            overloaded: false,
            peak: 0.0,
            dead: false,
            answered: None,
            unheeded: 0,
            deaf: false,
            reborn: false,
            resuming: false,
            held: None,
            direct_at: 0,
            direct_sent: 0,
        }
    }

    /// The machines of one shelf as its record tells them.
    fn load_shelf(&mut self, shared: &mut Shared, block: u32, grant: u64, item: Item) {
        let number = item.key.rsplit('/').next().and_then(|n| n.parse::<u32>().ok());
        let bytes = item.value.len();
        let rec = item.value.decode::<ShelfRecord>();
        let (Some(number), Ok(rec)) = (number.filter(|n| *n < 100_000), rec) else {
            tracing::error!(key = item.key, "unreadable record");
            return;
        };
        if let Some(h) = &mut self.blocks[block as usize] {
            while h.shelves.len() <= number as usize {
                h.shelves.push(Shelf::new(0, 0));
            }
            h.shelves[number as usize] = Shelf::read(shared, item.version, bytes);
        }
        for row in &rec.machines {
            // Another shelf may have told of it already.
            let blank = || Self::blank(&row.0, block, grant);
            let (_, m) = self.machines.get_or_insert_with(&row.0, blank);
            if m.grant != grant {
                *m = Self::blank(&row.0, block, grant);
            }
            m.type_name = rec.types.get(row.1 as usize).cloned().unwrap_or_default();
            m.zone = shared.blocks[block as usize].zone.clone();
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
            for new in inherited(shared, &rec, row, number) {
                // On two records, if a holder was lost while it moved it.
                let Some(old) = m.attempts.iter_mut().find(|a| a.id == new.id) else {
                    m.attempts.push(new);
                    continue;
                };
                if let Some(h) = &mut self.blocks[block as usize] {
                    placement_records::mark_stale(h, [old.shelf], shared.now);
                }
                (old.shelf, old.moving) = (number, None);
            }
        }
    }

    // ---- the leader's picture ----

    pub fn on_desired_state(&mut self, shared: &mut Shared, w: DesiredState) {
        let current = shared.leader.as_ref().map(|(_, t)| *t);
        let Some(Some(h)) = self.blocks.get_mut(w.block as usize) else { return };
        if current != Some(w.term) || w.grant != h.grant || h.load != Load::Done {
            return;
        }
        if h.term == w.term && w.serial <= h.echo {
            return;
        }
        if knows_jobs(shared, &w) {
            h.parked = None;
            self.take_desired_state(shared, w);
        } else if h.parked.as_ref().is_none_or(|(p, _)| p.serial < w.serial || p.term != w.term) {
            let at = h.parked.as_ref().map_or(shared.now, |(_, at)| *at);
            h.parked = Some((w, at));
        }
    }

    fn take_desired_state(&mut self, shared: &mut Shared, w: DesiredState) {
        let b = w.block as usize;
        let Some(h) = &mut self.blocks[b] else { return };
        if h.grant != w.grant {
            return;
        }
        h.term = w.term;
        h.echo = w.serial;
        h.dirty = true;
        let mut wanted: FxHashMap<u64, (u32, u32, bool, Ms)> = FxHashMap::default();
        // The leader takes what our next picture leaves out for never bound and
        // puts it elsewhere. So a task whose job is yet unknown here is refused
        // for good: bound with a later picture, it would run twice.
        let mut unknown: FxHashSet<u64> = FxHashSet::default();
        for j in &w.jobs {
            let Some(job) = shared.job_ix(&j.job) else {
                unknown.extend(j.tasks.iter().map(|t| t.1));
                continue;
            };
            for &(task, id, bind) in &j.tasks {
                wanted.insert(id, (job, task, bind, (j.expected_s * 1000.0) as Ms));
            }
        }
        h.rejected.retain(|id| wanted.contains_key(id));
        h.rejected.extend(unknown);
        h.waiting = w.waiting.iter().filter_map(|x| Some((shared.job_ix(&x.job)?, x.count))).collect();
        for name in &w.gone {
            self.forget_machine(shared, name, w.block);
        }
        let isolated: FxHashSet<&str> = w.isolated.iter().map(String::as_str).collect();
        let retire: FxHashSet<&str> = w.retire.iter().map(|r| r.machine.as_str()).collect();
        let quarantined: FxHashSet<&str> = w.quarantined.iter().map(String::as_str).collect();
        for r in &w.retire {
            if self.gone.contains(&r.machine) {
                continue;
            }
            let grant = w.grant;
            let (_, m) = self.machines.get_or_insert_with(&r.machine, || {
                let mut m = Self::blank(&r.machine, w.block, grant);
                m.type_name = r.machine_type.clone();
                m.zone = r.zone.clone();
                m.spot = r.spot;
                m
            });
            m.retire = true;
        }
        let mut known: FxHashSet<u64> = FxHashSet::default();
        for m in self.machines.values_mut().filter(|m| m.block == w.block) {
            m.isolated = isolated.contains(m.name.as_str());
            m.retire = m.returning_written || retire.contains(m.name.as_str());
            m.quarantined = quarantined.contains(m.name.as_str());
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
                    let unsent = a.st == AttemptState::Bound && a.sent.is_none();
                    !a.want && (unsent || dead && a.st.ended())
                });
                placement_records::mark_stale(h, gone.map(|a| a.shelf), shared.now);
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
            if !self.bind(shared, w.block, id, job, task, expected)
                && let Some(h) = &mut self.blocks[b]
            {
                h.rejected.insert(id);
            }
        }
    }

    /// Best fit: of the machines that may take the task, the one with its
    /// image and the least room left over. Spot first where it is allowed.
    fn bind(&mut self, shared: &Shared, block: u32, id: u64, job: u32, task: u32, expected: Ms) -> bool {
        let j = shared.job(job);
        let (Some(spec), JobState::Live, false) = (j.spec.clone(), j.state, j.cancellation_noticed)
        else {
            return false;
        };
        let need = spec.need();
        let Some(h) = &mut self.blocks[block as usize] else { return false };
        let mut best: Option<(f64, u32)> = None;
        for (ix, m) in self.machines.iter().filter(|(_, m)| m.block == block && m.takes_tasks(shared)) {
            if !window::allowed(&spec, &m.type_name, &m.zone, m.spot) {
                continue;
            }
            let Some(kind) = shared.type_ix(&m.type_name) else { continue };
            let t = &shared.types[kind];
            let mut room = t.room;
            room.sub(&m.used());
            if !need.fits(&room) {
                continue;
            }
            let has_image = spec.image_gb <= 0.0 || m.images.iter().any(|(n, _)| *n == spec.image);
            let mut score = window::fit_score(&need, &room, &t.room, spec.spot && !m.spot, has_image);
            score += shared.scarcity(kind);
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
        placement_records::open_shelf(shared, h, &self.machines, block);
        let Some(m) = self.machines.get_mut(ix) else { return false };
        let shelf = placement_records::reserve(shared, h, m, job, &spec.team);
        m.attempts.push(Attempt {
            job,
            task,
            id,
            need,
            job_row_bytes: placement_records::job_row_bytes(shared.jobs.id(job), &spec.team, &need),
            team: spec.team.clone(),
            shelf,
            moving: None,
            st: AttemptState::Bound,
            tried: false,
            written: false,
            want: true,
            sent: None,
            seen: false,
            started: None,
            ran: 0,
            expected_ms: expected,
            bound_at: shared.now,
            written_at: 0,
        });
        let cache = shared.type_ix(&m.type_name).map_or(0.0, |t| shared.types[t].cache_gb);
        remember_image(&mut m.images, &spec.image, spec.image_gb, cache);
        true
    }

    fn forget_machine(&mut self, shared: &mut Shared, name: &str, block: u32) {
        if !self.gone.insert(name) {
            return;
        }
        let Some(ix) = self.machines.index_of(name) else { return };
        let Some(m) = self.machines.remove(ix) else { return };
        if let Some(held) = &m.held {
            shared.busy(held.req, "this machine has been returned");
        }
        if let Some(h) = &mut self.blocks[block as usize] {
            h.give_up(m.attempts.iter().map(|a| (a.id, a.shelf)), shared.now);
            placement_records::mark_stale(h, m.shelf, shared.now);
        }
    }

    // ---- records ----

    pub fn on_result(&mut self, shared: &mut Shared, call: HolderCall, result: StateResult) {
        match call {
            HolderCall::Load { block, grant } => self.on_load(shared, block, grant, result),
            HolderCall::Write(w) => {
                if let Some(h) = &mut self.blocks[w.block as usize] {
                    placement_records::on_written(shared, h, &mut self.machines, w, result);
                }
            }
            HolderCall::Reread { block, shelf, grant } => {
                let h = self.blocks[block as usize].as_mut().filter(|h| h.grant == grant);
                if let Some(h) = h {
                    placement_records::on_reread(shared, h, &mut self.machines, (block, shelf), result);
                }
            }
        }
    }

    fn on_load(&mut self, shared: &mut Shared, block: u32, grant: u64, result: StateResult) {
        let Some(h) = self.blocks[block as usize].as_mut().filter(|h| h.grant == grant) else {
            return;
        };
        let StateResult::Page(p) = result else {
            h.load = Load::Wanted { at: shared.now + shared.jitter(300) };
            return;
        };
        let last = p.items.last().map(|i| i.key.clone());
        for i in p.items {
            self.load_shelf(shared, block, grant, i);
        }
        if p.more && last.is_some() {
            let prefix = place_prefix(&shared.blocks[block as usize].name);
            shared.state_call(
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
}

fn knows_jobs(shared: &Shared, w: &DesiredState) -> bool {
    w.jobs.iter().all(|j| shared.job_ix(&j.job).is_some())
}

fn inherited(shared: &mut Shared, rec: &ShelfRecord, row: &ShelfMachine, shelf: u32) -> Vec<Attempt> {
    let mut out = Vec::new();
    for (job, task, id) in row.tasks(rec.base) {
        let Some(j) = rec.jobs.get(job) else { continue };
        // A job not in memory is final, and its tasks are to be stopped. Left out,
        // they would pass for gone.
        let job = shared.job_slot(&j.0);
        let need = Res { cpus: j.2, gpus: j.3, mem: j.4 };
        out.push(Attempt {
            job,
            task,
            id,
            need,
            job_row_bytes: placement_records::job_row_bytes(&j.0, &j.1, &need),
            team: j.1.clone(),
            shelf,
            moving: None,
            st: AttemptState::Inherited,
            tried: true,
            written: true,
            want: true,
            sent: None,
            seen: false,
            started: None,
            ran: 0,
            expected_ms: 0,
            bound_at: 0,
            written_at: 0,
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
