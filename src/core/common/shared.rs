//! What all roles of a node share: settings, the watched records, the clock,
//! the calls on their way and the things to put out.

use super::cell_leases::CellLeases;
use super::job_table::{CellLink, Job, JobTable};
use super::model::{MachineType, Ms, Shard, Spec, shard_of, shards_of};
use crate::config::{Operator, Platform};
use crate::core::{Answer, CloudRequest, Output, StoreCallOwner, StoreRequest, StoreResponse};
use crate::wire::peer::{Frame, PeerHeartbeat, PeerMessage};
use crate::wire::store::{JobRecord, JobState, LeaderRecord, ShardRecord};
use crate::wire::users::{ErrorBody, valid_id};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::HashMap;
use std::sync::Arc;
use woadlever_cells::message::CellMessage;
use woadlever_cells::record::Origin;
use woadlever_recovery::worker::Timing;

/// Machines and tasks in state messages that a whole core is taken to handle in a
/// millisecond beside all else; it sets how rare large state messages are.
const ITEMS_PER_MS: f64 = 50.0;

/// Before the id of a job whose cancellation a heartbeat tells of, among the nodes that
/// it names as unheard: the version in production looks for its own name there
/// and passes over all else, while a new kind of frame would close the connection.
const CANCELLED: &str = "cancelled ";
const CANCELLATIONS_A_HEARTBEAT: usize = 500;

/// Machines that one call to the cloud returns.
pub const MAX_RETURNS: usize = 100;
/// Returned machines that are kept in mind at the least: the cloud's list shows them for
/// seconds, and late reports for minutes.
const LEAST_RETURNED: usize = 4_096;
/// Of machines returned at the highest rate that the cloud takes, those of so many times
/// the lag of its list are kept in mind.
const RETURNED_LAGS: f64 = 4.0;

/// How long a final job keeps its description.
const SPEC_KEPT_MS: Ms = 180_000;
/// Final jobs are not dropped more often than this: it looks at every attempt.
const DROP_GAP_MS: Ms = 1_000;
const SCARCE_EVERY_MS: Ms = 1_000;
/// Weighs more than an image at hand, less than an ordinary machine.
const SCARCE: f64 = 5.0;

/// Where a job's record comes from. That decides what it can say of a job that is
/// not in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordSource {
    /// A page of a full read; the first page had this revision.
    Page {
        /// Revision of the first page.
        first_revision: u64,
    },
    /// An event of the watch.
    Watch,
    /// A read or a write of this record alone.
    Single,
}

/// How another node looks from here.
#[derive(Debug, Clone)]
pub struct PeerView {
    /// When its last frame arrived.
    pub heard: Ms,
    /// Since when it has been heard without a pause.
    pub since: Ms,
    /// The process that sent it.
    pub incarnation: u64,
    /// Time since the state service last answered that node.
    pub store_silence_ms: u64,
    /// It gets our frames, as far as it says.
    pub receives_our_frames: bool,
    reset_at: Ms,
}

/// A token bucket: our side of a rate limit.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    tokens: f64,
    burst: f64,
    at: Ms,
}

impl TokenBucket {
    /// A bucket of `burst` tokens that refills at `rate` a second.
    pub fn new(rate: f64, burst: f64, now: Ms) -> TokenBucket {
        TokenBucket { rate, tokens: burst, burst, at: now }
    }

    fn refill(&mut self, now: Ms) {
        self.tokens = (self.tokens + self.rate * (now - self.at) as f64 / 1000.0).min(self.burst);
        self.at = now;
    }

    /// Whether `n` tokens are there now.
    pub fn has(&mut self, now: Ms, n: f64) -> bool {
        self.refill(now);
        self.tokens >= n.min(self.burst)
    }

    /// Takes the tokens, into debt if need be, but never by more than a second's
    /// worth: what an outage refuses again and again would add up to minutes in
    /// which nothing may be written.
    pub fn take(&mut self, now: Ms, n: f64) {
        self.refill(now);
        self.tokens = (self.tokens - n).max(-self.burst);
    }
}

/// State that all roles of a node use.
pub struct Shared {
    /// The platform's settings.
    pub cfg: Arc<Platform>,
    /// The operators' settings.
    pub op: Operator,
    /// Name of this node.
    pub me: String,
    /// Number of this process; later processes of the node have larger ones.
    pub incarnation: u64,
    /// Steady time of the input being handled.
    pub now: Ms,
    /// Time of day of the input being handled.
    pub wall: Ms,
    /// When this process started.
    pub started: Ms,
    /// How long one proof of authority lasts.
    pub control_lease_ms: Ms,
    /// A machine silent for longer gets no new tasks.
    pub fresh_ms: Ms,
    /// Source of randomness.
    pub rng: StdRng,

    /// All blocks of machines.
    pub shards: Vec<Shard>,
    /// Who holds each block, with the record's version.
    pub shard_records: Vec<Option<(ShardRecord, u64)>>,
    /// Who leads, with the term.
    pub leader: Option<(LeaderRecord, u64)>,
    /// Newest version of the leader's record seen, deletions included.
    pub leader_seen: u64,
    /// Jobs in memory.
    pub jobs: JobTable,
    /// Rises with every change of a job's state, so that roles know to look.
    pub jobs_changed: Vec<u32>,
    /// Leases under which the jobs of other cells run here.
    pub cell_leases: CellLeases,
    /// Machine types of the catalog.
    pub types: Vec<MachineType>,
    /// Types that live work depends on, as it fits no other.
    pub scarce_types: FxHashSet<usize>,
    scarce_types_due_at: Ms,
    /// Versions of the catalog's records.
    pub catalog_versions: HashMap<String, u64>,

    /// All records have been read at least once.
    pub synced: bool,
    /// Every change up to this revision has been taken in; none while all records
    /// are read for the first time, or again.
    pub watched_revision: Option<u64>,
    /// When the newest answered read or watch of the records was sent.
    pub control_lease_renewed_at: Option<Ms>,
    /// When the state service last answered.
    pub store_responded_at: Ms,
    /// Since when workers have been answered without a break.
    pub control_lease_held_since: Ms,
    /// The other nodes, as they look from here.
    pub peers: HashMap<String, PeerView>,
    /// Tasks (done, running) per job, as the leader last told.
    pub counts: HashMap<String, (u32, u32)>,
    /// Task counts to be told with the next heartbeat.
    pub task_counts_to_announce: Vec<(String, u32, u32)>,
    /// Jobs whose cancellation has just become known, for the holder.
    pub newly_cancelled: Vec<u32>,
    /// Those that this node has just confirmed, for the others.
    pub cancellations_to_announce: Vec<String>,

    /// What the present input gives rise to.
    pub out: Vec<Output>,
    /// Frames from this node to itself.
    pub local: Vec<Frame>,
    pub(crate) calls: FxHashMap<u64, (StoreCallOwner, Ms)>,
    next_call: u64,
    last_heartbeat: Ms,
    next_drop: Ms,
    /// Pace of changes to the state service.
    pub writes: TokenBucket,
    /// Pace of requests to the state service.
    pub reads: TokenBucket,
}

impl Shared {
    /// The state of a process that has just started.
    pub fn new(cfg: Arc<Platform>, op: Operator, incarnation: u64, seed: u64, now: Ms) -> Shared {
        let mut nodes: Vec<(String, String)> =
            cfg.peers.iter().map(|p| (p.node.clone(), p.zone.clone())).collect();
        nodes.push((cfg.node.clone(), cfg.zone.clone()));
        let shards = shards_of(&cfg.cluster.zones, &nodes);
        // Nodes share the limits; a busy one may use more than its part,
        // since not all are busy at once, and a 429 only makes us wait.
        let share = if nodes.len() > 1 { 0.5 } else { 0.9 };
        let w = cfg.cluster.state.write_rps * share;
        let r = cfg.cluster.state.rps * share;
        Shared {
            me: cfg.node.clone(),
            control_lease_ms: cfg.control_lease_ms(&op),
            // The longest time between two reports, and a change of node.
            fresh_ms: (cfg.cluster.workers.report_s * 1250.0) as Ms + 5_250,
            shard_records: vec![None; shards.len()],
            shards,
            op,
            incarnation,
            now,
            wall: 0,
            started: now,
            rng: StdRng::seed_from_u64(seed),
            leader: None,
            leader_seen: 0,
            jobs: JobTable::default(),
            jobs_changed: Vec::new(),
            cell_leases: CellLeases::new(cfg.cell_timing()),
            types: Vec::new(),
            scarce_types: FxHashSet::default(),
            scarce_types_due_at: 0,
            catalog_versions: HashMap::new(),
            synced: false,
            watched_revision: None,
            control_lease_renewed_at: None,
            store_responded_at: now,
            control_lease_held_since: now,
            peers: HashMap::new(),
            counts: HashMap::new(),
            task_counts_to_announce: Vec::new(),
            newly_cancelled: Vec::new(),
            cancellations_to_announce: Vec::new(),
            out: Vec::new(),
            local: Vec::new(),
            calls: FxHashMap::default(),
            next_call: 1,
            last_heartbeat: 0,
            next_drop: 0,
            writes: TokenBucket::new(w, w, now),
            reads: TokenBucket::new(r, r, now),
            cfg,
        }
    }

    /// How many returned machines are kept in mind. One that reports after that is
    /// treated as any that the cloud does not list: it gets no work.
    pub fn returned_kept(&self) -> usize {
        let cloud = &self.cfg.cluster.cloud;
        let at_most = cloud.rps * MAX_RETURNS as f64 * cloud.list_lag_s * RETURNED_LAGS;
        (at_most as usize).max(LEAST_RETURNED)
    }

    /// Times that verdicts on workers rest on.
    pub fn timing(&self) -> Timing {
        let lease_ms = (self.cfg.cluster.workers.lease_s * 1000.0) as Ms;
        Timing { lease_ms, control_lease_ms: self.control_lease_ms }
    }

    // ---- putting out ----

    /// Answers a request.
    pub fn answer(&mut self, req: u64, status: u16, body: String, retry_after_s: Option<u32>) {
        self.out.push(Output::Answer { req, answer: Answer { status, body, retry_after_s } });
    }

    /// Answers a request with a JSON body.
    pub fn answer_json<T: serde::Serialize>(&mut self, req: u64, status: u16, body: &T) {
        let body = serde_json::to_string(body).unwrap_or_else(|_| "{}".into());
        self.answer(req, status, body, None);
    }

    /// Refuses a request for good.
    pub fn refuse(&mut self, req: u64, status: u16, why: &str, field: Option<&'static str>) {
        self.answer_json(req, status, &ErrorBody { error: why.into(), field });
    }

    /// Not now: come back in a second.
    pub fn busy(&mut self, req: u64, why: &str) {
        tracing::debug!(req, why, "not now");
        let body = serde_json::to_string(&ErrorBody { error: why.into(), field: None });
        self.answer(req, 503, body.unwrap_or_default(), Some(1));
    }

    pub(crate) fn send_store_request(&mut self, purpose: StoreCallOwner, op: StoreRequest) {
        let call = self.next_call;
        self.next_call += 1;
        self.calls.insert(call, (purpose, self.now));
        self.reads.take(self.now, 1.0);
        if let StoreRequest::CompareAndSwap(t) = &op {
            self.writes.take(self.now, t.changes.len() as f64);
        }
        self.out.push(Output::Store { call, op });
    }

    /// Makes a call to the cloud; the result is its number.
    pub fn send_cloud_request(&mut self, op: CloudRequest) -> u64 {
        let call = self.next_call;
        self.next_call += 1;
        self.out.push(Output::Cloud { call, op });
        call
    }

    /// Whether `n` changes may be made now.
    pub fn can_write(&mut self, n: usize) -> bool {
        self.writes.has(self.now, n as f64)
    }

    /// Sends a message to another cell.
    pub fn send_cell(&mut self, cell: &str, message: CellMessage) {
        self.out.push(Output::SendCell { cell: cell.into(), message: Box::new(message) });
    }

    /// Sends a frame to a node.
    pub fn send(&mut self, to: &str, body: PeerMessage) {
        let frame = Frame { from: self.me.clone(), incarnation: self.incarnation, body };
        if to == self.me {
            self.local.push(frame);
        } else {
            self.out.push(Output::Send { to: to.into(), frame });
        }
    }

    /// The gap between two state messages or scheduling cycles: the more there is in one, the
    /// rarer it gets, so that what it costs stays a part of the processor's
    /// share whatever the fleet's size.
    pub fn load_adjusted_gap(&self, base: Ms, size: usize) -> Ms {
        base + (size as f64 / (ITEMS_PER_MS * self.cfg.cluster.limits.cpu.clamp(0.01, 1.0))) as Ms
    }

    /// A delay of `base` give or take a quarter, so that nodes don't retry
    /// in step.
    pub fn jitter(&mut self, base: Ms) -> Ms {
        let spread = base / 4;
        base - spread + self.rng.random_range(0..=2 * spread)
    }

    // ---- other nodes ----

    /// Sends the heartbeat that is due.
    pub fn send_heartbeat(&mut self) {
        if self.now < self.last_heartbeat + 500 && self.last_heartbeat != 0 {
            return;
        }
        self.last_heartbeat = self.now.max(1);
        let silence = (self.op.node_silence_s * 1000.0) as Ms;
        for (to, v) in &mut self.peers {
            if v.heard.max(v.reset_at) + silence < self.now {
                v.reset_at = self.now;
                self.out.push(Output::Reconnect { to: to.clone() });
            }
        }
        let counts = std::mem::take(&mut self.task_counts_to_announce);
        let beat = PeerHeartbeat {
            store_silence_ms: self.store_silence_ms(),
            silent_peers: self.silent_peers(),
            counts,
        };
        for p in self.cfg.clone().peers.iter() {
            self.send(&p.node, PeerMessage::PeerHeartbeat(beat.clone()));
        }
        for (job, done, running) in beat.counts {
            self.counts.insert(job, (done, running));
        }
    }

    /// Nodes whose frames no longer arrive.
    fn silent_peers(&self) -> Vec<String> {
        let silence = (self.op.node_silence_s * 1000.0) as Ms;
        let heard = |n: &str| self.peers.get(n).map_or(self.started, |v| v.heard) + silence >= self.now;
        let names = self.cfg.peers.iter().map(|p| &p.node);
        names.filter(|n| !heard(n)).cloned().collect()
    }

    /// Tells the other nodes at once of cancellations confirmed here: one that
    /// the state service refuses would start and keep the jobs' tasks for as long
    /// as its authority lasts. A lost word does no harm, as the records count.
    pub fn announce_cancellations(&mut self) {
        for some in std::mem::take(&mut self.cancellations_to_announce).chunks(CANCELLATIONS_A_HEARTBEAT)
        {
            let mut silent_peers = self.silent_peers();
            silent_peers.extend(some.iter().map(|id| format!("{CANCELLED}{id}")));
            let beat = PeerHeartbeat {
                store_silence_ms: self.store_silence_ms(),
                silent_peers,
                counts: Vec::new(),
            };
            for p in self.cfg.clone().peers.iter() {
                self.send(&p.node, PeerMessage::PeerHeartbeat(beat.clone()));
            }
        }
    }

    fn note_cancellation(&mut self, id: &str) {
        if !valid_id(id) {
            return;
        }
        let ix = self.job_index_or_lookup(id);
        let Some(job) = self.jobs.get_mut(ix) else { return };
        if job.state == JobState::Live && !job.cancellation_noticed {
            job.cancellation_noticed = true;
            self.jobs_changed.push(ix);
            self.newly_cancelled.push(ix);
        }
    }

    /// Whether no task of the job may be told to run or to go on: its cancellation is
    /// confirmed, as far as is known here, or it belongs to another cell, whose lease has
    /// ended.
    pub fn must_stop(&self, ix: u32) -> bool {
        let job = self.job(ix);
        let is_cancelled = job.state == JobState::Cancelled || job.cancellation_noticed;
        let is_paused = |origin: &Origin| !self.cell_leases.is_valid(&origin.cell, self.wall);
        is_cancelled || job.origin().is_some_and(is_paused)
    }

    /// Notes a sign of life of another node.
    pub fn on_peer_frame(&mut self, f: &Frame) {
        if f.from == self.me || !self.cfg.peers.iter().any(|p| p.node == f.from) {
            return;
        }
        let now = self.now;
        let silence = (self.op.node_silence_s * 1000.0) as Ms;
        let v = self.peers.entry(f.from.clone()).or_insert(PeerView {
            heard: now,
            since: now,
            incarnation: f.incarnation,
            store_silence_ms: 0,
            receives_our_frames: true,
            reset_at: now,
        });
        // A late frame of an earlier process is no sign of life.
        if f.incarnation < v.incarnation {
            return;
        }
        if f.incarnation > v.incarnation || v.heard + silence < now {
            v.since = now;
        }
        // What we wrote to its former process is lost without an error: a
        // machine that lost power answers nothing, not even a refusal.
        if f.incarnation > v.incarnation {
            self.out.push(Output::Reconnect { to: f.from.clone() });
        }
        v.incarnation = f.incarnation;
        v.heard = now;
        if let PeerMessage::PeerHeartbeat(b) = &f.body {
            v.store_silence_ms = b.store_silence_ms;
            // A connection may lead nowhere although writing into it succeeds,
            // as one that a node dropped on waking from a standstill. Only the
            // other side can tell: without this it stays deaf for ever.
            v.receives_our_frames = !b.silent_peers.contains(&self.me);
            if !v.receives_our_frames && v.reset_at + silence < now {
                v.reset_at = now;
                self.out.push(Output::Reconnect { to: f.from.clone() });
            }
            if self.leader.as_ref().is_some_and(|(l, _)| l.node == f.from) {
                for (job, done, running) in &b.counts {
                    self.counts.insert(job.clone(), (*done, *running));
                }
            }
            for id in b.silent_peers.iter().filter_map(|n| n.strip_prefix(CANCELLED)) {
                self.note_cancellation(id);
            }
        }
    }

    /// When to try again what the state service did not take: the later, the
    /// longer it has not answered.
    pub fn retry_ms(&mut self, base: Ms) -> Ms {
        let age = self.store_silence_ms();
        self.jitter(base + (age / 8).min(1_500))
    }

    /// Time since the state service last answered.
    pub fn store_silence_ms(&self) -> u64 {
        self.now.saturating_sub(self.store_responded_at)
    }

    /// Notes whether the state service answered.
    pub fn note_store_response(&mut self, sent: Ms, r: &StoreResponse) {
        let _ = sent;
        match r {
            StoreResponse::NotExecuted | StoreResponse::OutcomeUnknown => {}
            _ => self.store_responded_at = self.now,
        }
    }

    /// Ready, unless the state service refuses this node alone: then a peer
    /// that is served says so. In an outage for all, being taken out by the
    /// load balancer would last longer than most outages.
    pub fn is_ready(&self) -> bool {
        if self.store_silence_ms() < 4000 {
            return true;
        }
        !self.peers.values().any(|p| p.heard + 2000 > self.now && p.store_silence_ms < 2000)
    }

    // ---- machine types ----

    /// Machine types that the job may use.
    pub fn machine_types_for(&self, spec: &Spec) -> impl Iterator<Item = usize> {
        let may = |t: &MachineType| {
            spec.need().fits_within(&t.room) && spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
        };
        self.types.iter().enumerate().filter(move |(_, t)| may(t)).map(|(k, _)| k)
    }

    /// Finds the machine types that live work depends on.
    pub fn update_scarce_types(&mut self) {
        if self.now < self.scarce_types_due_at {
            return;
        }
        self.scarce_types_due_at = self.now + SCARCE_EVERY_MS;
        let mut found = FxHashSet::default();
        for spec in self
            .jobs
            .values()
            .filter(|j| j.state == JobState::Live && !j.is_away())
            .filter_map(|j| j.spec.as_ref())
        {
            let mut kinds = self.machine_types_for(spec);
            if let (Some(only), None) = (kinds.next(), kinds.next()) {
                found.insert(only);
            }
        }
        self.scarce_types = found;
    }

    /// What a machine of this type is worse by in a choice: work that has one
    /// keeps off the type that other work depends on, as long as it can.
    pub fn scarcity_penalty(&self, kind: usize) -> f64 {
        if self.scarce_types.contains(&kind) { SCARCE } else { 0.0 }
    }

    // ---- the watched records ----

    /// The term that we lead in, if the watched record names this process.
    pub fn own_term(&self) -> Option<u64> {
        let (l, term) = self.leader.as_ref()?;
        (l.node == self.me && l.incarnation == self.incarnation).then_some(*term)
    }

    /// Whether our knowledge of blocks and cancellations is fresh enough to
    /// answer workers on it.
    pub fn has_control_lease(&self) -> bool {
        self.control_lease_renewed_at.is_some_and(|at| self.now < at + self.control_lease_ms)
    }

    /// Without authority no worker is answered, and leases end. Their silence
    /// counts only from when they can be heard again.
    pub fn track_control_lease(&mut self) {
        if !self.has_control_lease() {
            self.control_lease_held_since = self.now;
        }
    }

    /// The block of a machine.
    pub fn shard_of(&self, zone: &str, machine: &str) -> Option<u32> {
        shard_of(&self.shards, zone, machine)
    }

    /// Index of a machine type.
    pub fn machine_type_index(&self, name: &str) -> Option<usize> {
        self.types.iter().position(|t| t.name == name)
    }

    /// The job with this index; one that has been dropped looks cancelled.
    pub fn job(&self, ix: u32) -> &Job {
        self.jobs.get(ix)
    }

    /// The job's index, if its record has been read and is kept.
    pub fn job_index(&self, id: &str) -> Option<u32> {
        self.jobs.index_of(id)
    }

    /// The index of a job that a record or a frame names. If it is not in memory,
    /// its own record is read by itself.
    pub(crate) fn job_index_or_lookup(&mut self, id: &str) -> u32 {
        self.jobs.index_for(id, self.now)
    }

    /// Takes in a job's record. Older ones are ignored: reads and watch events
    /// cross each other. The result is whether the record may be relied on.
    pub fn apply_job_record(
        &mut self,
        id: &str,
        rec: JobRecord,
        version: u64,
        source: RecordSource,
    ) -> bool {
        if self.job_index(id).is_none() {
            match source {
                // Nothing in memory refers to it. The watch goes on from the first
                // page, so no older record of it will come.
                RecordSource::Page { first_revision }
                    if rec.state != JobState::Live
                        && version <= first_revision
                        && !self.jobs.has_index(id) =>
                {
                    return true;
                }
                // All live jobs up to the watched revision are in memory. So this
                // one has become final since it was read, and has been dropped or
                // was never kept: taken for live, its tasks would run again.
                RecordSource::Single
                    if rec.state == JobState::Live
                        && self.watched_revision.is_none_or(|watched| version <= watched) =>
                {
                    return false;
                }
                _ => {}
            }
        }
        self.update_job(id, rec, version);
        true
    }

    fn update_job(&mut self, id: &str, rec: JobRecord, version: u64) {
        let is_new = !self.jobs.has_index(id);
        let ix = self.job_index_or_lookup(id);
        let now = self.now;
        let Some(job) = self.jobs.get_mut(ix) else { return };
        let is_offered_again = job.is_tombstone_before(&rec);
        let first = !job.is_read() || is_offered_again;
        job.cancellation_noticed &= !is_offered_again;
        if version <= job.version || !first && job.state != JobState::Live {
            return;
        }
        let is_final = rec.state != JobState::Live;
        let is_news = rec.state == JobState::Cancelled && !job.cancellation_noticed;
        job.version = version;
        job.state = rec.state;
        job.state_since = now;
        job.links.done_ms = rec.done_ms;
        if first {
            job.tasks = rec.tasks;
        }
        // A final state that was written here may leave it out; whose job it is never changes.
        if job.origin().is_none() || rec.origin.is_some() {
            job.cell = CellLink::of(&rec);
        }
        let (spec, awaits) = rec.into_parts();
        if let Some(spec) = spec {
            job.spec = Some(Arc::new(spec));
        }
        self.jobs.set_read(ix);
        if is_final {
            self.jobs.set_final(ix);
        }
        if first {
            self.link(ix, &awaits);
        }
        // Nobody can have a task of a final job that was not known before.
        if is_new && is_final {
            return;
        }
        if is_news {
            self.newly_cancelled.push(ix);
        }
        self.propagate_completion(ix);
        self.jobs_changed.push(ix);
    }

    /// Final jobs give their description up after a while; by then nothing
    /// of them is left on any machine.
    pub fn drop_final_specs(&mut self) {
        self.jobs.drop_specs(self.now.saturating_sub(SPEC_KEPT_MS));
        let jobs = &self.jobs;
        self.counts
            .retain(|id, _| jobs.index_of(id).is_some_and(|ix| jobs.get(ix).state == JobState::Live));
    }

    /// Drops the oldest final jobs if there are too many. `in_use` adds the jobs
    /// that a role refers to.
    pub fn drop_final_jobs(&mut self, in_use: impl FnOnce(&mut FxHashSet<u32>)) {
        let Some(watched_revision) = self.watched_revision else { return };
        if !self.jobs.is_over_limit() || self.now < self.next_drop {
            return;
        }
        self.next_drop = self.now + DROP_GAP_MS;
        let mut indices: FxHashSet<u32> = FxHashSet::default();
        in_use(&mut indices);
        indices.extend(&self.jobs_changed);
        indices.extend(&self.newly_cancelled);
        let live = self.jobs.values().filter(|job| job.state == JobState::Live);
        indices.extend(live.flat_map(|job| &job.links.before));
        self.jobs.drop_final(&indices, watched_revision);
    }
}
