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
use crate::wire::peer::{Frame, PeerMessage};
use common::model::Ms;
use common::shared::Shared;
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
    pub shared: Shared,
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
    pub fn new(cfg: Arc<Platform>, op: Operator, incarnation: u64, seed: u64, now: Ms) -> Core {
        let shared = Shared::new(cfg, op, incarnation, seed, BEFORE_START + now);
        Core {
            shard_owner: shard_owner::ShardOwner::new(&shared),
            watch_cache: watch_cache::WatchCache::default(),
            lookups: lookups::Lookups::default(),
            election: election::Election::default(),
            user_api: user_api::UserApi::default(),
            leader: None,
            shared,
        }
    }

    /// One input in, the things to do out. `wall` is the time of day.
    pub fn step(&mut self, now: Ms, wall: Ms, input: Input) -> Vec<Output> {
        // A clock that steps back must not make ages negative.
        self.shared.now = self.shared.now.max(BEFORE_START + now);
        self.shared.wall = wall;
        match input {
            Input::Tick => {}
            Input::Http { req, call } => self.http(req, call),
            Input::Store { call, result } => self.state(call, result),
            Input::Cloud { call, result } => {
                if let Some(l) = &mut self.leader {
                    l.on_cloud(&mut self.shared, call, result);
                }
            }
            Input::Frame(f) => self.frame(f),
            Input::Cell(message) => {
                if let Some(l) = &mut self.leader {
                    l.on_cell_message(&mut self.shared, *message);
                }
            }
        }
        self.settle();
        std::mem::take(&mut self.shared.out)
    }

    /// What this node's memory and processor time follow from.
    pub fn statistics(&self) -> Statistics {
        Statistics {
            jobs: self.shared.jobs.len(),
            owned_machines: self.shard_owner.machines.len(),
            fleet_machines: self.leader.as_ref().map_or(0, |leader| leader.fleet.machines.len()),
            store_calls: self.shared.calls.len(),
            plans: self.leader.as_ref().map_or(0, |leader| leader.plans),
        }
    }

    fn http(&mut self, req: u64, call: HttpRequest) {
        match call {
            HttpRequest::Submit(body) => self.user_api.submit(&mut self.shared, req, &body),
            HttpRequest::Status(id) => self.user_api.status(&mut self.shared, req, &id),
            HttpRequest::Cancel(id) => self.user_api.cancel(&mut self.shared, req, &id),
            HttpRequest::WorkerHeartbeat(heartbeat) => {
                self.shard_owner.on_worker_heartbeat(&mut self.shared, req, *heartbeat)
            }
            HttpRequest::Ready => {
                let status = if self.shared.is_ready() { 200 } else { 503 };
                self.shared.answer(req, status, "{}".into(), None);
            }
        }
    }

    fn state(&mut self, call: u64, result: StoreResponse) {
        let Some((purpose, sent)) = self.shared.calls.remove(&call) else { return };
        self.shared.note_store_response(sent, &result);
        match purpose {
            StoreCallOwner::WatchCache(c) => {
                self.watch_cache.on_result(&mut self.shared, c, sent, result)
            }
            StoreCallOwner::Lookup(c) => self.lookups.on_result(&mut self.shared, c, result),
            StoreCallOwner::Election(c) => self.election.on_result(&mut self.shared, c, result),
            StoreCallOwner::UserApi(c) => self.user_api.on_result(&mut self.shared, c, result),
            StoreCallOwner::ShardOwner(c) => self.shard_owner.on_result(&mut self.shared, c, result),
            StoreCallOwner::Leader(c) => {
                if let Some(l) = &mut self.leader {
                    l.on_result(&mut self.shared, c, result);
                }
            }
        }
    }

    fn frame(&mut self, f: Frame) {
        self.shared.on_peer_frame(&f);
        match f.body {
            PeerMessage::PeerHeartbeat(_) => {}
            PeerMessage::DesiredState(w) => self.shard_owner.on_desired_state(&mut self.shared, w),
            PeerMessage::ReportedState(h) => {
                if let Some(l) = &mut self.leader {
                    l.on_reported_state(&mut self.shared, &f.from, h);
                }
            }
        }
    }

    /// Everything that follows from the input, until nothing is left to do.
    fn settle(&mut self) {
        self.shared.update_scarce_types();
        self.shared.track_control_lease();
        for _ in 0..8 {
            self.watch_cache.poll(&mut self.shared);
            self.lookups.poll(&mut self.shared);
            self.election.poll(&mut self.shared);
            self.follow_term();
            self.user_api.poll(&mut self.shared);
            self.shard_owner.poll(&mut self.shared);
            match &mut self.leader {
                Some(l) => l.poll(&mut self.shared),
                // Only a leader follows each change; a new one looks at all.
                None => self.shared.jobs_changed.clear(),
            }
            // Frames to ourselves go round inside.
            let local = std::mem::take(&mut self.shared.local);
            if local.is_empty() {
                break;
            }
            for f in local {
                self.frame(f);
            }
        }
        self.drop_final_jobs();
        self.shared.announce_cancellations();
        self.shared.send_heartbeat();
    }

    fn drop_final_jobs(&mut self) {
        let (shard_owner, leader) = (&self.shard_owner, &self.leader);
        self.shared.drop_final_jobs(|in_use| {
            in_use.extend(shard_owner.jobs_in_use());
            if let Some(leader) = leader {
                in_use.extend(leader.attempts.values().map(|attempt| attempt.job));
            }
        });
    }

    /// Starts or ends our leadership as the watched record says.
    fn follow_term(&mut self) {
        let mine = self.shared.own_term();
        match (&self.leader, mine) {
            (Some(l), Some(term)) if l.term == term => {}
            (_, Some(term)) => {
                tracing::info!(term, "leading");
                self.leader = Some(leader::Leader::new(&mut self.shared, term));
            }
            (Some(l), None) => {
                tracing::info!(term = l.term, "no longer leading");
                self.leader = None;
            }
            (None, None) => {}
        }
    }
}
