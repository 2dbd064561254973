//! The core: a deterministic state machine that performs no I/O itself.
//!
//! [`Core::step`] takes one input with the time at which it occurred and returns the messages,
//! calls and answers to be sent. Everything that could differ between two runs (time, random seed,
//! incarnation) is passed in, so that a scenario is reproducible.
//!
//! A node has up to three roles: the user API (`user_api`), the owner of shards (`shard_owner`)
//! and, on one node, the leader (`leader`). The components that they share are in [`common`]; this
//! module dispatches each input to the role that handles it.

pub mod common;
mod leader;
mod messages;
mod shard_owner;
mod store_call_owner;
mod user_api;

pub use leader::{forecast, progress};
pub use messages::{
    Answer, CloudRequest, CloudResponse, HttpRequest, Input, Output, StoreRequest, StoreResponse,
};
pub(crate) use store_call_owner::StoreCallOwner;

use crate::config::{Operator, Platform};
use crate::model::{Ms, Term};
use crate::wire::peer::{Frame, PeerMessage};
use common::context::NodeContext;
use common::election::Election;
use common::lookups::Lookups;
use common::store_calls::PendingCall;
use common::watch_cache::WatchCache;
use leader::Leader;
use shard_owner::ShardOwner;
use std::sync::Arc;
use user_api::UserApi;

/// Offset added to the monotonic time of the process, which starts at 0 although machines and jobs
/// may be older than the process. With the offset, times before the start can be represented.
/// If they were clamped to the start, every machine would seem as young as the process, and none
/// would be drained.
const CLOCK_OFFSET_MS: Ms = 100 * 86_400_000;
/// Maximum number of rounds of frames from this node to itself within one step.
const MAX_LOCAL_ROUNDS: usize = 8;

/// Sizes and counts that determine a node's memory and CPU usage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statistics {
    /// Number of jobs in memory, live and final.
    pub jobs: usize,
    /// Number of machines in the shards that this node owns.
    pub owned_machines: usize,
    /// Number of instances in the leader's view of the fleet; 0 on other nodes.
    pub fleet_machines: usize,
    /// Number of calls to the store that have not been answered yet.
    pub store_calls: usize,
    /// Number of scale-out plans that the leader has made in its term; 0 on other nodes.
    pub plans: u64,
    /// Number of quota violations that the leader has found in its term; 0 on other nodes.
    pub quota_violations: u64,
    /// Number of tasks that the leader has refused to admit in its term because they had an attempt
    /// already; 0 on other nodes.
    pub duplicate_admissions: u64,
}

/// All roles of one node.
pub struct Core {
    /// State shared by all roles.
    pub context: NodeContext,
    watch_cache: WatchCache,
    lookups: Lookups,
    election: Election,
    user_api: UserApi,
    shard_owner: ShardOwner,
    leader: Option<Leader>,
}

impl Core {
    /// Creates the core of a process that has just started. `seed` makes its random choices
    /// reproducible.
    pub fn new(
        platform: Arc<Platform>,
        operator: Operator,
        incarnation: u64,
        seed: u64,
        now: Ms,
    ) -> Core {
        let context = NodeContext::new(platform, operator, incarnation, seed, CLOCK_OFFSET_MS + now);
        Core {
            shard_owner: ShardOwner::new(&context),
            watch_cache: WatchCache::default(),
            lookups: Lookups::default(),
            election: Election::default(),
            user_api: UserApi::default(),
            leader: None,
            context,
        }
    }

    /// Handles one input and returns the resulting outputs. `now` is the monotonic time of the
    /// process and `wall` the wall-clock time, both in milliseconds.
    pub fn step(&mut self, now: Ms, wall: Ms, input: Input) -> Vec<Output> {
        self.context.clock.advance(CLOCK_OFFSET_MS + now, wall);
        match input {
            Input::Tick => {}
            Input::Http { request_id, request } => self.on_http_request(request_id, request),
            Input::Store { call, response } => self.on_store_response(call, response),
            Input::Cloud { call, response } => {
                if let Some(leader) = &mut self.leader {
                    leader.on_cloud_response(&mut self.context, call, response);
                }
            }
            Input::Frame(frame) => self.on_frame(frame),
            Input::Cell(message) => {
                if let Some(leader) = &mut self.leader {
                    leader.on_cell_message(&mut self.context, *message);
                }
            }
        }
        self.run_roles();
        self.context.outbox.take()
    }

    /// Returns the sizes and counts that determine this node's memory and CPU usage.
    pub fn statistics(&self) -> Statistics {
        let leader = self.leader.as_ref();
        Statistics {
            jobs: self.context.jobs.len(),
            owned_machines: self.shard_owner.machines.len(),
            fleet_machines: leader.map_or(0, |leader| leader.fleet.instances.len()),
            store_calls: self.context.store.pending_count(),
            plans: leader.map_or(0, |leader| leader.plans),
            quota_violations: leader.map_or(0, Leader::quota_violations),
            duplicate_admissions: leader.map_or(0, Leader::duplicate_admissions),
        }
    }

    fn on_http_request(&mut self, request_id: u64, request: HttpRequest) {
        let context = &mut self.context;
        match request {
            HttpRequest::Submit(body) => self.user_api.submit(context, request_id, &body),
            HttpRequest::Status(id) => self.user_api.status(context, request_id, &id),
            HttpRequest::Cancel(id) => self.user_api.cancel(context, request_id, &id),
            HttpRequest::WorkerHeartbeat(heartbeat) => {
                self.shard_owner.on_worker_heartbeat(context, request_id, *heartbeat);
            }
            HttpRequest::Ready => {
                let status = if context.is_ready() { 200 } else { 503 };
                context.respond(request_id, status, "{}".into(), None);
            }
        }
    }

    fn on_store_response(&mut self, call: u64, response: StoreResponse) {
        let Some(PendingCall { owner, sent_at }) = self.context.finish_store_call(call, &response)
        else {
            return;
        };
        let context = &mut self.context;
        match owner {
            StoreCallOwner::WatchCache(call) => {
                self.watch_cache.on_store_response(context, call, sent_at, response);
            }
            StoreCallOwner::Lookup(call) => self.lookups.on_store_response(context, call, response),
            StoreCallOwner::Election(call) => self.election.on_store_response(context, call, response),
            StoreCallOwner::UserApi(call) => self.user_api.on_store_response(context, call, response),
            StoreCallOwner::ShardOwner(call) => {
                self.shard_owner.on_store_response(context, call, response);
            }
            StoreCallOwner::Leader(call) => {
                if let Some(leader) = &mut self.leader {
                    leader.on_store_response(context, call, response);
                }
            }
        }
    }

    fn on_frame(&mut self, frame: Frame) {
        self.context.on_peer_frame(&frame);
        match frame.message {
            PeerMessage::Heartbeat(_) => {}
            PeerMessage::DesiredState(desired) => {
                self.shard_owner.on_desired_state(&mut self.context, desired);
            }
            PeerMessage::ReportedState(reported) => {
                if let Some(leader) = &mut self.leader {
                    leader.on_reported_state(&mut self.context, &frame.from, reported);
                }
            }
        }
    }

    /// Lets each role do the work that is due after an input, until no frames from this node to
    /// itself are left or the limit on rounds is reached.
    fn run_roles(&mut self) {
        self.context.update_scarce_types();
        self.context.control_lease.update_valid_since(self.context.clock.now());
        for _ in 0..MAX_LOCAL_ROUNDS {
            self.poll_roles();
            let local_frames = self.context.outbox.take_local();
            if local_frames.is_empty() {
                break;
            }
            for frame in local_frames {
                self.on_frame(frame);
            }
        }
        self.drop_final_jobs();
        self.context.announce_cancellations();
        self.context.send_heartbeat();
    }

    fn poll_roles(&mut self) {
        self.watch_cache.poll(&mut self.context);
        self.lookups.poll(&mut self.context);
        self.election.poll(&mut self.context);
        self.update_leader_role();
        self.user_api.poll(&mut self.context);
        self.shard_owner.poll(&mut self.context);
        match &mut self.leader {
            Some(leader) => leader.poll(&mut self.context),
            // Only a leader processes individual changes; a new leader starts from all jobs.
            None => self.context.jobs.clear_changed(),
        }
    }

    fn drop_final_jobs(&mut self) {
        let (shard_owner, leader) = (&self.shard_owner, &self.leader);
        self.context.drop_final_jobs(|in_use| {
            in_use.extend(shard_owner.jobs_in_use());
            if let Some(leader) = leader {
                in_use.extend(leader.attempts.values().map(|attempt| attempt.job));
            }
        });
    }

    /// Starts or stops the leader role according to the watched leader record.
    fn update_leader_role(&mut self) {
        let term = self.context.own_term();
        let led_term = self.leader.as_ref().map(|leader| leader.term);
        if term == led_term {
            return;
        }
        let read_age_ms = self.context.control_lease.age_ms(self.context.clock.now());
        if let Some(term) = term {
            tracing::info!(term = term.number(), read_age_ms, "became leader");
            self.leader = Some(Leader::new(&mut self.context, term));
        } else {
            let current = self.context.leadership.current();
            tracing::info!(
                term = led_term.map(Term::number),
                present_term = current.map(|leader| leader.term.number()),
                present_leader = current.map(|leader| leader.record.node.as_str()),
                read_age_ms,
                "lost leadership"
            );
            self.leader = None;
        }
    }
}
