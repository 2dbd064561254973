//! What all roles of a node use, as parts: settings, clock, peers, calls to the store, the
//! control lease, who leads, shards, jobs, machine types and what goes out.
//!
//! Each part keeps its own state; what concerns several of them at once, such as sending
//! a request, is here.

use super::cell_leases::CellLeases;
use super::clock::Clock;
use super::control_lease::ControlLease;
use super::job_records::RecordSource;
use super::job_table::{Job, JobTable};
use super::leadership::Leadership;
use super::machine_types::MachineTypes;
use super::outbox::Outbox;
use super::peers::Peers;
use super::shard_map::ShardMap;
use super::store_calls::{PendingCall, StoreCalls};
use super::task_counts::{TaskCount, TaskCounts};
use crate::config::{Operator, Platform};
use crate::core::{Answer, CloudRequest, Output, StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{JobIndex, Ms, Term, shards_of};
use crate::wire::peer::{Frame, PeerHeartbeat, PeerMessage};
use crate::wire::store::{JobRecord, JobState};
use crate::wire::users::ErrorBody;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rustc_hash::FxHashSet;
use std::sync::Arc;
use woadlever_cells::message::CellMessage;
use woadlever_cells::record::Origin;
use woadlever_recovery::worker::Timing;

/// Machines and tasks in state messages that a whole core is taken to handle in a
/// millisecond beside all else; it sets how rare large state messages are.
const ITEMS_PER_MS: f64 = 50.0;
/// The least share of a core that the gaps between state messages allow for.
const MIN_CPU: f64 = 0.01;
/// Cancellations that one heartbeat tells of.
const CANCELLATIONS_PER_HEARTBEAT: usize = 500;
/// Instances that one call to the cloud terminates.
pub const MAX_TERMINATIONS: usize = 100;
/// Names of terminated machines that are kept at the least: the cloud's list shows them for
/// seconds, and late heartbeats for minutes.
const MIN_TERMINATED_NAMES: usize = 4_096;
/// Of machines terminated at the highest rate that the cloud takes, the names of this many
/// times the lag of its list are kept.
const TERMINATED_NAMES_LAGS: f64 = 4.0;
/// Longest delay that a long silence of the store adds to a retry.
const MAX_RETRY_EXTENSION_MS: Ms = 1_500;
/// A node that the store answered within this time is ready in any case.
const READY_SILENCE_MS: Ms = 4_000;
/// Time for the change to another node, beyond the longest time between two heartbeats.
const FAILOVER_ALLOWANCE_MS: Ms = 5_250;

/// State that all roles of a node use.
pub struct NodeContext {
    /// The platform's settings.
    pub platform: Arc<Platform>,
    /// The operators' settings.
    pub operator: Operator,
    /// Name of this node.
    pub node: String,
    /// Number of this process; later processes of the node have larger ones.
    pub incarnation: u64,
    /// A machine silent for longer gets no new tasks.
    pub fresh_ms: Ms,
    /// Times of the input being handled.
    pub clock: Clock,
    /// The other nodes.
    pub peers: Peers,
    /// Calls to the store.
    pub store: StoreCalls,
    /// The right to answer workers without a fresh read.
    pub control_lease: ControlLease,
    /// Who leads.
    pub leadership: Leadership,
    /// All shards of machines with their owners.
    pub shards: ShardMap,
    /// Jobs in memory.
    pub jobs: JobTable,
    /// Leases under which the jobs of other cells run here.
    pub cell_leases: CellLeases,
    /// Machine types of the catalog.
    pub machine_types: MachineTypes,
    /// How many tasks of each job are done and run, as the leader last told.
    pub task_counts: TaskCounts,
    /// What the present input gives rise to.
    pub outbox: Outbox,
    /// All records have been read at least once.
    pub is_synced: bool,
    /// Cancellations that this node has just confirmed, for the others.
    pub cancellations_to_announce: Vec<String>,
    rng: StdRng,
}

impl NodeContext {
    /// The state of a process that has just started.
    pub fn new(
        platform: Arc<Platform>,
        operator: Operator,
        incarnation: u64,
        seed: u64,
        now: Ms,
    ) -> NodeContext {
        let mut nodes: Vec<(String, String)> =
            platform.peers.iter().map(|peer| (peer.node.clone(), peer.zone.clone())).collect();
        let peer_names = nodes.iter().map(|(name, _)| name.clone()).collect();
        nodes.push((platform.node.clone(), platform.zone.clone()));
        let silence_ms = (operator.node_silence_s * 1000.0) as Ms;
        NodeContext {
            node: platform.node.clone(),
            incarnation,
            fresh_ms: (platform.cluster.workers.report_s * 1250.0) as Ms + FAILOVER_ALLOWANCE_MS,
            clock: Clock::new(now),
            peers: Peers::new(platform.node.clone(), peer_names, silence_ms, now),
            store: StoreCalls::new(&platform, now),
            control_lease: ControlLease::new(platform.control_lease_ms(&operator), now),
            leadership: Leadership::default(),
            shards: ShardMap::new(shards_of(&platform.cluster.zones, &nodes)),
            jobs: JobTable::default(),
            cell_leases: CellLeases::new(platform.cell_timing()),
            machine_types: MachineTypes::default(),
            task_counts: TaskCounts::default(),
            outbox: Outbox::default(),
            is_synced: false,
            cancellations_to_announce: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            platform,
            operator,
        }
    }

    /// How many names of terminated machines are kept. One that is heard after that is
    /// treated as any that the cloud does not list: it gets no work.
    pub fn terminated_names_kept(&self) -> usize {
        let cloud = &self.platform.cluster.cloud;
        let at_most = cloud.rps * MAX_TERMINATIONS as f64 * cloud.list_lag_s * TERMINATED_NAMES_LAGS;
        (at_most as usize).max(MIN_TERMINATED_NAMES)
    }

    /// Times that verdicts on workers rest on.
    pub fn timing(&self) -> Timing {
        let lease_ms = (self.platform.cluster.workers.lease_s * 1000.0) as Ms;
        Timing { lease_ms, control_lease_ms: self.control_lease.duration() }
    }

    // ---- answers to requests ----

    /// Answers a request.
    pub fn respond(&mut self, request_id: u64, status: u16, body: String, retry_after_s: Option<u32>) {
        self.outbox.push(Output::Answer { request_id, answer: Answer { status, body, retry_after_s } });
    }

    /// Answers a request with a JSON body.
    pub fn respond_json<T: serde::Serialize>(&mut self, request_id: u64, status: u16, body: &T) {
        let body = serde_json::to_string(body).unwrap_or_else(|_| "{}".into());
        self.respond(request_id, status, body, None);
    }

    /// Refuses a request for good.
    pub fn refuse(&mut self, request_id: u64, status: u16, why: &str, field: Option<&'static str>) {
        self.respond_json(request_id, status, &ErrorBody { error: why.into(), field });
    }

    /// Answers that the request can't be served now and may be repeated in a second.
    pub fn respond_unavailable(&mut self, request_id: u64, why: &str) {
        tracing::debug!(request_id, why, "request answered with 503");
        let body = serde_json::to_string(&ErrorBody { error: why.into(), field: None });
        self.respond(request_id, 503, body.unwrap_or_default(), Some(1));
    }

    // ---- calls and messages ----

    /// Makes a call to the store; its response goes to the owner.
    pub(crate) fn send_store_request(&mut self, owner: StoreCallOwner, request: StoreRequest) {
        let call = self.store.start(owner, &request, self.clock.now());
        self.outbox.push(Output::Store { call, request });
    }

    /// Takes the call that a response of the store belongs to.
    pub(crate) fn finish_store_call(
        &mut self,
        call: u64,
        response: &StoreResponse,
    ) -> Option<PendingCall> {
        self.store.finish(call, response, self.clock.now())
    }

    /// Makes a call to the cloud; the result is its number.
    pub fn send_cloud_request(&mut self, request: CloudRequest) -> u64 {
        let call = self.store.next_number();
        self.outbox.push(Output::Cloud { call, request });
        call
    }

    /// Whether so many mutations may be written now.
    pub fn can_write(&mut self, mutations: usize) -> bool {
        self.store.can_write(self.clock.now(), mutations)
    }

    /// Time since the store last answered.
    pub fn store_silence_ms(&self) -> Ms {
        self.store.silence_ms(self.clock.now())
    }

    /// Sends a message to another cell.
    pub fn send_cell(&mut self, cell: &str, message: CellMessage) {
        self.outbox.push(Output::SendCell { cell: cell.into(), message: Box::new(message) });
    }

    /// Sends a message to a node, which may be this one.
    pub fn send(&mut self, to: &str, message: PeerMessage) {
        let frame = Frame { from: self.node.clone(), incarnation: self.incarnation, message };
        if to == self.node {
            self.outbox.push_local(frame);
        } else {
            self.outbox.push(Output::Send { to: to.into(), frame });
        }
    }

    /// The gap between two state messages or scheduling cycles: the more there is in one, the
    /// rarer it gets, so that what it costs stays a part of the processor's
    /// share whatever the fleet's size.
    pub fn load_adjusted_gap(&self, base: Ms, size: usize) -> Ms {
        let cpu = self.platform.cluster.limits.cpu.clamp(MIN_CPU, 1.0);
        base + (size as f64 / (ITEMS_PER_MS * cpu)) as Ms
    }

    /// A delay of `base` give or take a quarter, so that nodes don't retry
    /// in step.
    pub fn jitter(&mut self, base: Ms) -> Ms {
        let spread = base / 4;
        base - spread + self.rng.random_range(0..=2 * spread)
    }

    /// When to try again what the store did not take: the later, the
    /// longer it has not answered.
    pub fn retry_ms(&mut self, base: Ms) -> Ms {
        let extension = (self.store_silence_ms() / 8).min(MAX_RETRY_EXTENSION_MS);
        self.jitter(base + extension)
    }

    // ---- other nodes ----

    /// Sends the heartbeat that is due.
    pub fn send_heartbeat(&mut self) {
        let now = self.clock.now();
        if !self.peers.take_heartbeat_due(now) {
            return;
        }
        self.peers.reconnect_silent(now, &mut self.outbox);
        let task_counts = self.task_counts.take_announcement();
        self.send_to_peers(&[], task_counts.clone());
        self.task_counts.learn(task_counts);
    }

    /// Tells the other nodes at once of cancellations confirmed here: one that
    /// the store refuses would start and keep the jobs' tasks for as long
    /// as its control lease lasts. A lost word does no harm, as the records count.
    pub fn announce_cancellations(&mut self) {
        let cancelled = std::mem::take(&mut self.cancellations_to_announce);
        for jobs in cancelled.chunks(CANCELLATIONS_PER_HEARTBEAT) {
            self.send_to_peers(jobs, Vec::new());
        }
    }

    fn send_to_peers(&mut self, cancelled_jobs: &[String], task_counts: Vec<TaskCount>) {
        let silent_peers = self.peers.silent(self.clock.now());
        let task_counts = task_counts.into_iter().map(TaskCount::into_wire).collect();
        let heartbeat =
            PeerHeartbeat::new(self.store_silence_ms(), silent_peers, cancelled_jobs, task_counts);
        for name in self.peers.names().to_vec() {
            self.send(&name, PeerMessage::Heartbeat(heartbeat.clone()));
        }
    }

    /// Notes a sign of life of another node, and what it tells.
    pub fn on_peer_frame(&mut self, frame: &Frame) {
        let now = self.clock.now();
        if !self.peers.on_frame(frame, now, &mut self.outbox) {
            return;
        }
        let PeerMessage::Heartbeat(heartbeat) = &frame.message else { return };
        if self.leadership.is_led_by(&frame.from) {
            self.task_counts.learn(heartbeat.task_counts.iter().map(TaskCount::from_wire));
        }
        for id in heartbeat.cancelled_jobs() {
            self.jobs.note_cancellation(id, now);
        }
    }

    /// Ready, unless the store refuses this node alone: then a peer
    /// that is served says so. In an outage for all, being taken out by the
    /// load balancer would last longer than most outages.
    pub fn is_ready(&self) -> bool {
        self.store_silence_ms() < READY_SILENCE_MS || !self.peers.any_is_served(self.clock.now())
    }

    // ---- roles ----

    /// The term that we lead in, if the watched record names this process.
    pub fn own_term(&self) -> Option<Term> {
        let leader = self.leadership.current()?;
        self.is_self(&leader.record.node, leader.record.incarnation).then_some(leader.term)
    }

    /// Whether a record names this process.
    pub fn is_self(&self, node: &str, incarnation: u64) -> bool {
        node == self.node && incarnation == self.incarnation
    }

    /// Whether our knowledge of shards and cancellations is fresh enough to
    /// answer workers on it.
    pub fn has_control_lease(&self) -> bool {
        self.control_lease.is_valid(self.clock.now())
    }

    // ---- jobs ----

    /// The job with this index; one that has been dropped looks cancelled.
    pub fn job(&self, index: JobIndex) -> &Job {
        self.jobs.get(index)
    }

    /// The job's index, if its record has been read and is kept.
    pub fn job_index(&self, id: &str) -> Option<JobIndex> {
        self.jobs.index_of(id)
    }

    /// The index of a job that a record or a frame names. If it is not in memory,
    /// its own record is read by itself.
    pub(crate) fn job_index_or_lookup(&mut self, id: &str) -> JobIndex {
        self.jobs.index_or_lookup(id, self.clock.now())
    }

    /// Takes in a job's record; whether it may be relied on (see
    /// `JobTable::apply_record`).
    pub fn apply_job_record(
        &mut self,
        id: &str,
        record: JobRecord,
        version: u64,
        source: RecordSource,
    ) -> bool {
        self.jobs.apply_record(id, record, version, source, self.clock.now())
    }

    /// Whether no task of the job may be told to run or to go on: its cancellation is
    /// confirmed, as far as is known here, or it belongs to another cell, whose lease has
    /// ended.
    pub fn must_stop(&self, index: JobIndex) -> bool {
        let job = self.job(index);
        let is_cancelled = job.state == JobState::Cancelled || job.cancellation_noticed;
        let is_paused = |origin: &Origin| !self.cell_leases.is_valid(&origin.cell, self.clock.wall());
        is_cancelled || job.origin().is_some_and(is_paused)
    }

    /// Drops the oldest final jobs if there are too many. `in_use` adds the jobs that a
    /// role refers to.
    pub fn drop_final_jobs(&mut self, in_use: impl FnOnce(&mut FxHashSet<JobIndex>)) {
        self.jobs.drop_final_jobs(self.clock.now(), in_use);
    }

    /// Final jobs give their description up after a while, and their task counts at once.
    pub fn drop_final_specs(&mut self) {
        self.jobs.drop_old_specs(self.clock.now());
        let jobs = &self.jobs;
        let is_live =
            |id: &str| jobs.index_of(id).is_some_and(|index| jobs.get(index).state == JobState::Live);
        self.task_counts.retain(is_live);
    }

    /// Finds the machine types that live work depends on, if it is time to.
    pub fn update_scarce_types(&mut self) {
        if !self.machine_types.is_scarcity_due(self.clock.now()) {
            return;
        }
        let waiting = self.jobs.values().filter(|job| job.state == JobState::Live && !job.is_away());
        let specs = waiting.filter_map(|job| job.spec.as_deref());
        self.machine_types.update_scarce(self.clock.now(), specs);
    }
}
