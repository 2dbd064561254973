//! The core: a state machine without input or output.
//!
//! `Core::step` takes one input with the time it happened at and returns what
//! to send, write and answer. Everything that could differ between two runs
//! (time, random seed, incarnation) comes in from outside, so that a story
//! plays the same way every time.

pub mod attempts;
pub mod blocks;
pub mod fleet;
pub mod forecast;
pub mod grants;
pub mod holder;
pub mod job_table;
pub mod leader;
pub mod live_jobs;
pub mod lookups;
pub mod model;
pub mod named_table;
pub mod persistence;
pub mod pipelines;
pub mod placement_records;
pub mod plan;
pub mod progress;
pub mod rebuild;
pub mod recent_names;
pub mod reconciliation;
mod record_draft;
pub mod reported_state;
pub mod shared;
pub mod sync;
pub mod term;
pub mod user_api;
pub mod window;
pub mod worker_heartbeats;

use crate::config::{Operator, Platform};
use crate::wire::cloud::{Catalog, MachinePage, RentAnswer, RentRequest, ReturnRequest};
use crate::wire::peer::{Body, Frame};
use crate::wire::state::{Item, Page, Txn, WatchAnswer};
use crate::wire::workers::{DirectCommands, Report};
use model::Ms;
use shared::Shared;
use std::sync::Arc;

/// What happens to the core.
#[derive(Debug)]
pub enum Input {
    Tick,
    Http { req: u64, call: HttpCall },
    State { call: u64, result: StateResult },
    Cloud { call: u64, result: CloudResult },
    Frame(Frame),
}

#[derive(Debug)]
pub enum HttpCall {
    Submit(Vec<u8>),
    Status(String),
    Cancel(String),
    Checkin(Box<Report>),
    Ready,
}

/// What the core wants done.
#[derive(Debug)]
pub enum Output {
    Answer {
        req: u64,
        answer: Answer,
    },
    State {
        call: u64,
        op: StateOp,
    },
    Cloud {
        call: u64,
        op: CloudOp,
    },
    Send {
        to: String,
        frame: Frame,
    },
    /// Straight to a worker's address. No answer is waited for: what it has done
    /// shows in the next report.
    Direct {
        addr: String,
        commands: DirectCommands,
    },
    /// The connection to this node may lead to a process that is no more.
    Reconnect {
        to: String,
    },
}

#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub retry_after_s: Option<u32>,
}

#[derive(Debug, Clone)]
pub enum StateOp {
    Get(String),
    List { prefix: String, since: Option<String>, most: u32 },
    Txn(Txn),
    Grant { ttl_ms: u64 },
    Renew(u64),
    Release(u64),
    Watch { prefix: String, since: u64, block_ms: u64 },
}

#[derive(Debug, Clone)]
pub enum StateResult {
    Item(Item),
    Missing,
    Page(Page),
    Done {
        revision: u64,
    },
    Failed(Vec<String>),
    Lease(u64),
    NoLease,
    Watch(WatchAnswer),
    TooOld,
    /// Certainly not executed: refused with 429 or 503, or never sent.
    NotExecuted,
    /// May have been executed, or may yet be.
    Unknown,
    /// The service calls the request malformed.
    Bad,
}

#[derive(Debug, Clone)]
pub enum CloudOp {
    Catalog,
    List { since: Option<String> },
    Rent(RentRequest),
    Return(ReturnRequest),
}

#[derive(Debug, Clone)]
pub enum CloudResult {
    Catalog(Catalog),
    Page(MachinePage),
    Rented(RentAnswer),
    Returned,
    NoCapacity,
    /// Certainly not executed.
    NotExecuted,
    Unknown,
    Bad,
}

/// What a call to the state service was for.
#[derive(Debug)]
pub enum Purpose {
    Sync(sync::SyncCall),
    Lookup(lookups::LookupCall),
    Term(term::TermCall),
    UserApi(user_api::UserApiCall),
    Holder(holder::HolderCall),
    Leader(leader::LeaderCall),
}

/// What a node's memory and processor time follow from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Statistics {
    /// Jobs, live and final.
    pub jobs: usize,
    /// Machines of the blocks held here.
    pub held_machines: usize,
    /// Machines that the leader knows, on the leader.
    pub fleet_machines: usize,
    /// Calls to the state service without an answer yet.
    pub state_calls: usize,
    /// Plans for rents that the leader has made in its term.
    pub plans: u64,
}

/// All roles of one node.
pub struct Core {
    pub shared: Shared,
    sync: sync::Sync,
    lookups: lookups::Lookups,
    term: term::Candidate,
    user_api: user_api::UserApi,
    holder: holder::Holder,
    leader: Option<leader::Leader>,
}

/// A process's clock starts with it, while machines and jobs are older. Counted
/// from here, what was before has a time too: cut off at the start, every
/// machine would pass for as young as the process, and none be drained.
const BEFORE_START: Ms = 100 * 86_400_000;

impl Core {
    pub fn new(cfg: Arc<Platform>, op: Operator, incarnation: u64, seed: u64, now: Ms) -> Core {
        let shared = Shared::new(cfg, op, incarnation, seed, BEFORE_START + now);
        Core {
            holder: holder::Holder::new(&shared),
            sync: sync::Sync::default(),
            lookups: lookups::Lookups::default(),
            term: term::Candidate::default(),
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
            Input::State { call, result } => self.state(call, result),
            Input::Cloud { call, result } => {
                if let Some(l) = &mut self.leader {
                    l.on_cloud(&mut self.shared, call, result);
                }
            }
            Input::Frame(f) => self.frame(f),
        }
        self.settle();
        std::mem::take(&mut self.shared.out)
    }

    /// What this node's memory and processor time follow from.
    pub fn statistics(&self) -> Statistics {
        Statistics {
            jobs: self.shared.jobs.len(),
            held_machines: self.holder.machines.len(),
            fleet_machines: self.leader.as_ref().map_or(0, |leader| leader.fleet.machines.len()),
            state_calls: self.shared.calls.len(),
            plans: self.leader.as_ref().map_or(0, |leader| leader.plans),
        }
    }

    fn http(&mut self, req: u64, call: HttpCall) {
        match call {
            HttpCall::Submit(body) => self.user_api.submit(&mut self.shared, req, &body),
            HttpCall::Status(id) => self.user_api.status(&mut self.shared, req, &id),
            HttpCall::Cancel(id) => self.user_api.cancel(&mut self.shared, req, &id),
            HttpCall::Checkin(report) => self.holder.checkin(&mut self.shared, req, *report),
            HttpCall::Ready => {
                let status = if self.shared.is_ready() { 200 } else { 503 };
                self.shared.answer(req, status, "{}".into(), None);
            }
        }
    }

    fn state(&mut self, call: u64, result: StateResult) {
        let Some((purpose, sent)) = self.shared.calls.remove(&call) else { return };
        self.shared.note_state_result(sent, &result);
        match purpose {
            Purpose::Sync(c) => self.sync.on_result(&mut self.shared, c, sent, result),
            Purpose::Lookup(c) => self.lookups.on_result(&mut self.shared, c, result),
            Purpose::Term(c) => self.term.on_result(&mut self.shared, c, result),
            Purpose::UserApi(c) => self.user_api.on_result(&mut self.shared, c, result),
            Purpose::Holder(c) => self.holder.on_result(&mut self.shared, c, result),
            Purpose::Leader(c) => {
                if let Some(l) = &mut self.leader {
                    l.on_result(&mut self.shared, c, result);
                }
            }
        }
    }

    fn frame(&mut self, f: Frame) {
        self.shared.note_peer(&f);
        match f.body {
            Body::Heartbeat(_) => {}
            Body::DesiredState(w) => self.holder.on_desired_state(&mut self.shared, w),
            Body::ReportedState(h) => {
                if let Some(l) = &mut self.leader {
                    l.on_reported_state(&mut self.shared, &f.from, h);
                }
            }
        }
    }

    /// Everything that follows from the input, until nothing is left to do.
    fn settle(&mut self) {
        self.shared.find_scarce();
        self.shared.follow_authority();
        for _ in 0..8 {
            self.sync.poll(&mut self.shared);
            self.lookups.poll(&mut self.shared);
            self.term.poll(&mut self.shared);
            self.follow_term();
            self.user_api.poll(&mut self.shared);
            self.holder.poll(&mut self.shared);
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
        self.shared.spread_cancellations();
        self.shared.send_heartbeat();
    }

    fn drop_final_jobs(&mut self) {
        let (holder, leader) = (&self.holder, &self.leader);
        self.shared.drop_final_jobs(|in_use| {
            in_use.extend(holder.jobs_in_use());
            if let Some(leader) = leader {
                in_use.extend(leader.attempts.values().map(|attempt| attempt.job));
            }
        });
    }

    /// Starts or ends our leadership as the watched record says.
    fn follow_term(&mut self) {
        let mine = self.shared.my_term();
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
