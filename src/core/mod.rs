//! The core: a state machine without input or output.
//!
//! `Core::step` takes one input with the time it happened at and returns what
//! to send, write and answer. Everything that could differ between two runs
//! (time, random seed, incarnation) comes in from outside, so that a scenario
//! plays the same way every time.

pub mod common;
mod leader;
mod messages;
mod shard_owner;
mod user_api;

pub use leader::{forecast, progress};
pub use messages::{
    Answer, CloudRequest, CloudResponse, HttpRequest, Input, Output, StoreRequest, StoreResponse,
};

use crate::config::{Operator, Platform};
use crate::model::Ms;
use crate::wire::peer::{Frame, PeerMessage};
use common::context::NodeContext;
use common::store_calls::PendingCall;
use common::{election, lookups, watch_cache};
use std::sync::Arc;

/// What a call to the state service was for.
#[derive(Debug)]
pub(crate) enum StoreCallOwner {
    WatchCache(watch_cache::WatchCacheCall),
    Lookup(lookups::LookupCall),
    Election(election::ElectionCall),
    UserApi(user_api::UserApiCall),
    ShardOwner(shard_owner::ShardOwnerCall),
    Leader(leader::LeaderCall),
}

/// What a node's memory and processor time follow from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statistics {
    /// Jobs, live and final.
    pub jobs: usize,
    /// Machines of the blocks held here.
    pub owned_machines: usize,
    /// Machines that the leader knows, on the leader.
    pub fleet_machines: usize,
    /// Calls to the state service without an answer yet.
    pub store_calls: usize,
    /// Plans for rents that the leader has made in its term.
    pub plans: u64,
}

/// All roles of one node.
pub struct Core {
    /// What all roles use.
    pub context: NodeContext,
    watch_cache: watch_cache::WatchCache,
    lookups: lookups::Lookups,
    election: election::Election,
    user_api: user_api::UserApi,
    shard_owner: shard_owner::ShardOwner,
    leader: Option<leader::Leader>,
}

/// A process's clock starts with it, while machines and jobs are older. Counted
/// from here, what was before has a time too: cut off at the start, every
/// machine would pass for as young as the process, and none be drained.
const BEFORE_START: Ms = 100 * 86_400_000;

impl Core {
    /// A process that has just started; `seed` makes its choices repeatable.
    pub fn new(platform: Arc<Platform>, op: Operator, incarnation: u64, seed: u64, now: Ms) -> Core {
        let context = NodeContext::new(platform, op, incarnation, seed, BEFORE_START + now);
        Core {
            shard_owner: shard_owner::ShardOwner::new(&context),
            watch_cache: watch_cache::WatchCache::default(),
            lookups: lookups::Lookups::default(),
            election: election::Election::default(),
            user_api: user_api::UserApi::default(),
            leader: None,
            context,
        }
    }

    /// One input in, the things to do out. `wall` is the time of day.
    pub fn step(&mut self, now: Ms, wall: Ms, input: Input) -> Vec<Output> {
        self.context.clock.advance(BEFORE_START + now, wall);
        match input {
            Input::Tick => {}
            Input::Http { request_id, request } => self.http(request_id, request),
            Input::Store { call, response } => self.store(call, response),
            Input::Cloud { call, response } => {
                if let Some(l) = &mut self.leader {
                    l.on_cloud(&mut self.context, call, response);
                }
            }
            Input::Frame(f) => self.frame(f),
            Input::Cell(message) => {
                if let Some(l) = &mut self.leader {
                    l.on_cell_message(&mut self.context, *message);
                }
            }
        }
        self.settle();
        self.context.outbox.take()
    }

    /// What this node's memory and processor time follow from.
    pub fn statistics(&self) -> Statistics {
        Statistics {
            jobs: self.context.jobs.len(),
            owned_machines: self.shard_owner.machines.len(),
            fleet_machines: self.leader.as_ref().map_or(0, |leader| leader.fleet.machines.len()),
            store_calls: self.context.store.pending_count(),
            plans: self.leader.as_ref().map_or(0, |leader| leader.plans),
        }
    }

    fn http(&mut self, request_id: u64, request: HttpRequest) {
        match request {
            HttpRequest::Submit(body) => self.user_api.submit(&mut self.context, request_id, &body),
            HttpRequest::Status(id) => self.user_api.status(&mut self.context, request_id, &id),
            HttpRequest::Cancel(id) => self.user_api.cancel(&mut self.context, request_id, &id),
            HttpRequest::WorkerHeartbeat(heartbeat) => {
                self.shard_owner.on_worker_heartbeat(&mut self.context, request_id, *heartbeat)
            }
            HttpRequest::Ready => {
                let status = if self.context.is_ready() { 200 } else { 503 };
                self.context.respond(request_id, status, "{}".into(), None);
            }
        }
    }

    fn store(&mut self, call: u64, result: StoreResponse) {
        let Some(PendingCall { owner, sent_at }) = self.context.finish_store_call(call, &result) else {
            return;
        };
        match owner {
            StoreCallOwner::WatchCache(c) => {
                self.watch_cache.on_result(&mut self.context, c, sent_at, result)
            }
            StoreCallOwner::Lookup(c) => self.lookups.on_result(&mut self.context, c, result),
            StoreCallOwner::Election(c) => self.election.on_result(&mut self.context, c, result),
            StoreCallOwner::UserApi(c) => self.user_api.on_result(&mut self.context, c, result),
            StoreCallOwner::ShardOwner(c) => self.shard_owner.on_result(&mut self.context, c, result),
            StoreCallOwner::Leader(c) => {
                if let Some(l) = &mut self.leader {
                    l.on_result(&mut self.context, c, result);
                }
            }
        }
    }

    fn frame(&mut self, f: Frame) {
        self.context.on_peer_frame(&f);
        match f.message {
            PeerMessage::Heartbeat(_) => {}
            PeerMessage::DesiredState(w) => self.shard_owner.on_desired_state(&mut self.context, w),
            PeerMessage::ReportedState(h) => {
                if let Some(l) = &mut self.leader {
                    l.on_reported_state(&mut self.context, &f.from, h);
                }
            }
        }
    }

    /// Everything that follows from the input, until nothing is left to do.
    fn settle(&mut self) {
        self.context.update_scarce_types();
        self.context.control_lease.track(self.context.clock.now());
        for _ in 0..8 {
            self.watch_cache.poll(&mut self.context);
            self.lookups.poll(&mut self.context);
            self.election.poll(&mut self.context);
            self.follow_term();
            self.user_api.poll(&mut self.context);
            self.shard_owner.poll(&mut self.context);
            match &mut self.leader {
                Some(l) => l.poll(&mut self.context),
                // Only a leader follows each change; a new one looks at all.
                None => self.context.jobs.clear_changed(),
            }
            // Frames to ourselves go round inside.
            let local = self.context.outbox.take_local();
            if local.is_empty() {
                break;
            }
            for f in local {
                self.frame(f);
            }
        }
        self.drop_final_jobs();
        self.context.announce_cancellations();
        self.context.send_heartbeat();
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

    /// Starts or ends our leadership as the watched record says.
    fn follow_term(&mut self) {
        let mine = self.context.own_term();
        match (&self.leader, mine) {
            (Some(l), Some(term)) if l.term == term => {}
            (_, Some(term)) => {
                tracing::info!(term, "leading");
                self.leader = Some(leader::Leader::new(&mut self.context, term));
            }
            (Some(l), None) => {
                tracing::info!(term = l.term, "no longer leading");
                self.leader = None;
            }
            (None, None) => {}
        }
    }
}
