//! The core: a state machine without input or output.
//!
//! `Core::step` takes one input with the time it happened at and returns what
//! to send, write and answer. Everything that could differ between two runs
//! (time, random seed, incarnation) comes in from outside, so that a story
//! plays the same way every time.

pub mod attempts;
pub mod blocks;
pub mod dialogue;
pub mod door;
pub mod exchange;
pub mod fleet;
pub mod forecast;
pub mod grants;
pub mod holder;
pub mod job_table;
pub mod keeping;
pub mod leader;
pub mod ljobs;
pub mod lookups;
pub mod model;
pub mod named_table;
pub mod picture;
pub mod pipelines;
pub mod plan;
pub mod progress;
pub mod rebuild;
pub mod recent_names;
mod record_draft;
pub mod shared;
pub mod shelves;
pub mod sync;
pub mod term;
pub mod window;

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
    Door(door::DoorCall),
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
    pub sh: Shared,
    sync: sync::Sync,
    lookups: lookups::Lookups,
    term: term::Candidate,
    door: door::Door,
    holder: holder::Holder,
    leader: Option<leader::Leader>,
}

/// A process's clock starts with it, while machines and jobs are older. Counted
/// from here, what was before has a time too: cut off at the start, every
/// machine would pass for as young as the process, and none be drained.
const BEFORE_START: Ms = 100 * 86_400_000;

impl Core {
    pub fn new(cfg: Arc<Platform>, op: Operator, incarnation: u64, seed: u64, now: Ms) -> Core {
        let sh = Shared::new(cfg, op, incarnation, seed, BEFORE_START + now);
        Core {
            holder: holder::Holder::new(&sh),
            sync: sync::Sync::default(),
            lookups: lookups::Lookups::default(),
            term: term::Candidate::default(),
            door: door::Door::default(),
            leader: None,
            sh,
        }
    }

    /// One input in, the things to do out. `wall` is the time of day.
    pub fn step(&mut self, now: Ms, wall: Ms, input: Input) -> Vec<Output> {
        // A clock that steps back must not make ages negative.
        self.sh.now = self.sh.now.max(BEFORE_START + now);
        self.sh.wall = wall;
        match input {
            Input::Tick => {}
            Input::Http { req, call } => self.http(req, call),
            Input::State { call, result } => self.state(call, result),
            Input::Cloud { call, result } => {
                if let Some(l) = &mut self.leader {
                    l.on_cloud(&mut self.sh, call, result);
                }
            }
            Input::Frame(f) => self.frame(f),
        }
        self.settle();
        std::mem::take(&mut self.sh.out)
    }

    /// What this node's memory and processor time follow from.
    pub fn statistics(&self) -> Statistics {
        Statistics {
            jobs: self.sh.jobs.len(),
            held_machines: self.holder.machines.len(),
            fleet_machines: self.leader.as_ref().map_or(0, |leader| leader.fleet.machines.len()),
            state_calls: self.sh.calls.len(),
            plans: self.leader.as_ref().map_or(0, |leader| leader.plans),
        }
    }

    fn http(&mut self, req: u64, call: HttpCall) {
        match call {
            HttpCall::Submit(body) => self.door.submit(&mut self.sh, req, &body),
            HttpCall::Status(id) => self.door.status(&mut self.sh, req, &id),
            HttpCall::Cancel(id) => self.door.cancel(&mut self.sh, req, &id),
            HttpCall::Checkin(report) => self.holder.checkin(&mut self.sh, req, *report),
            HttpCall::Ready => {
                let status = if self.sh.is_ready() { 200 } else { 503 };
                self.sh.answer(req, status, "{}".into(), None);
            }
        }
    }

    fn state(&mut self, call: u64, result: StateResult) {
        let Some((purpose, sent)) = self.sh.calls.remove(&call) else { return };
        self.sh.note_state_result(sent, &result);
        match purpose {
            Purpose::Sync(c) => self.sync.on_result(&mut self.sh, c, sent, result),
            Purpose::Lookup(c) => self.lookups.on_result(&mut self.sh, c, result),
            Purpose::Term(c) => self.term.on_result(&mut self.sh, c, result),
            Purpose::Door(c) => self.door.on_result(&mut self.sh, c, result),
            Purpose::Holder(c) => self.holder.on_result(&mut self.sh, c, result),
            Purpose::Leader(c) => {
                if let Some(l) = &mut self.leader {
                    l.on_result(&mut self.sh, c, result);
                }
            }
        }
    }

    fn frame(&mut self, f: Frame) {
        self.sh.note_peer(&f);
        match f.body {
            Body::Beat(_) => {}
            Body::Want(w) => self.holder.on_want(&mut self.sh, w),
            Body::Have(h) => {
                if let Some(l) = &mut self.leader {
                    l.on_have(&mut self.sh, &f.from, h);
                }
            }
        }
    }

    /// Everything that follows from the input, until nothing is left to do.
    fn settle(&mut self) {
        self.sh.find_scarce();
        self.sh.follow_authority();
        for _ in 0..8 {
            self.sync.poll(&mut self.sh);
            self.lookups.poll(&mut self.sh);
            self.term.poll(&mut self.sh);
            self.follow_term();
            self.door.poll(&mut self.sh);
            self.holder.poll(&mut self.sh);
            match &mut self.leader {
                Some(l) => l.poll(&mut self.sh),
                // Only a leader follows each change; a new one looks at all.
                None => self.sh.jobs_changed.clear(),
            }
            // Frames to ourselves go round inside.
            let local = std::mem::take(&mut self.sh.local);
            if local.is_empty() {
                break;
            }
            for f in local {
                self.frame(f);
            }
        }
        self.drop_final_jobs();
        self.sh.spread_cancellations();
        self.sh.beat();
    }

    fn drop_final_jobs(&mut self) {
        let (holder, leader) = (&self.holder, &self.leader);
        self.sh.drop_final_jobs(|in_use| {
            in_use.extend(holder.jobs_in_use());
            if let Some(leader) = leader {
                in_use.extend(leader.attempts.values().map(|attempt| attempt.job));
            }
        });
    }

    /// Starts or ends our leadership as the watched record says.
    fn follow_term(&mut self) {
        let mine = self.sh.my_term();
        match (&self.leader, mine) {
            (Some(l), Some(term)) if l.term == term => {}
            (_, Some(term)) => {
                tracing::info!(term, "leading");
                self.leader = Some(leader::Leader::new(&mut self.sh, term));
            }
            (Some(l), None) => {
                tracing::info!(term = l.term, "no longer leading");
                self.leader = None;
            }
            (None, None) => {}
        }
    }
}
