//! The core: a state machine without input or output.
//!
//! `Core::step` takes one input with the time it happened at and returns what
//! to send, write and answer. Everything that could differ between two runs
//! (time, random seed, incarnation) comes in from outside, so that a scenario
//! plays the same way every time.

pub mod common;
mod holder;
mod leader;
mod user_api;

pub use leader::{forecast, progress};

use crate::config::{Operator, Platform};
use crate::wire::cloud::{Catalog, MachinePage, RentAnswer, RentRequest, ReturnRequest};
use crate::wire::peer::{Body, Frame};
use crate::wire::state::{Item, Page, Txn, WatchAnswer};
use crate::wire::workers::{DirectCommands, Report};
use common::model::Ms;
use common::shared::Shared;
use common::{lookups, sync, term};
use std::sync::Arc;
use woadlever_cells::message::CellMessage;

/// What happens to the core.
#[derive(Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A request has arrived.
    Http {
        /// Number of the request, for its answer.
        req: u64,
        /// What is asked.
        call: HttpCall,
    },
    /// A call to the state service has ended.
    State {
        /// Number of the call.
        call: u64,
        /// How it ended.
        result: StateResult,
    },
    /// A call to the cloud has ended.
    Cloud {
        /// Number of the call.
        call: u64,
        /// How it ended.
        result: CloudResult,
    },
    /// A frame of another node has arrived.
    Frame(Frame),
    /// A message of another cell has arrived.
    Cell(Box<CellMessage>),
}

/// A request of a user, a worker or the load balancer.
#[derive(Debug)]
pub enum HttpCall {
    /// A submission with its body.
    Submit(Vec<u8>),
    /// A question about the job with this id.
    Status(String),
    /// The cancellation of the job with this id.
    Cancel(String),
    /// A worker's report.
    Checkin(Box<Report>),
    /// Whether the node can take requests.
    Ready,
}

/// What the core wants done.
#[derive(Debug)]
pub enum Output {
    /// Answer a request.
    Answer {
        /// Number of the request.
        req: u64,
        /// The answer.
        answer: Answer,
    },
    /// Call the state service.
    State {
        /// Number of the call, for its result.
        call: u64,
        /// What to ask for.
        op: StateOp,
    },
    /// Call the cloud.
    Cloud {
        /// Number of the call, for its result.
        call: u64,
        /// What to ask for.
        op: CloudOp,
    },
    /// Send a frame to another node.
    Send {
        /// Name of the node.
        to: String,
        /// The frame.
        frame: Frame,
    },
    /// Straight to a worker's address. No answer is waited for: what it has done
    /// shows in the next report.
    Direct {
        /// The worker's address.
        addr: String,
        /// What it is to do.
        commands: DirectCommands,
    },
    /// Send a message to all controllers of another cell.
    SendCell {
        /// Name of the cell.
        cell: String,
        /// The message.
        message: Box<CellMessage>,
    },
    /// The connection to this node may lead to a process that is no more.
    Reconnect {
        /// Name of the node.
        to: String,
    },
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: String,
    /// When to come back.
    pub retry_after_s: Option<u32>,
}

/// A call to the state service.
#[derive(Debug, Clone)]
pub enum StateOp {
    /// Read one record.
    Get(String),
    /// Read a page of records.
    List {
        /// What their keys begin with.
        prefix: String,
        /// Key after which the page begins.
        since: Option<String>,
        /// Records on the page.
        most: u32,
    },
    /// Carry out a transaction.
    Txn(Txn),
    /// Open a lease.
    Grant {
        /// Its time to live.
        ttl_ms: u64,
    },
    /// Renew a lease.
    Renew(u64),
    /// End a lease.
    Release(u64),
    /// Wait for changes.
    Watch {
        /// What the keys begin with.
        prefix: String,
        /// Revision after which changes are told.
        since: u64,
        /// How long to wait for one.
        block_ms: u64,
    },
}

/// How a call to the state service ended.
#[derive(Debug, Clone)]
pub enum StateResult {
    /// The record.
    Item(Item),
    /// There is no such record.
    Missing,
    /// A page of records.
    Page(Page),
    /// Carried out.
    Done {
        /// Revision of the changes.
        revision: u64,
    },
    /// Conditions on these keys did not hold.
    Failed(Vec<String>),
    /// The lease that was opened.
    Lease(u64),
    /// There is no such lease.
    NoLease,
    /// Changes since the revision asked for.
    Watch(WatchAnswer),
    /// That revision is too old; read everything again.
    TooOld,
    /// Certainly not executed: refused with 429 or 503, or never sent.
    NotExecuted,
    /// May have been executed, or may yet be.
    Unknown,
    /// The service calls the request malformed.
    Bad,
}

/// A call to the cloud.
#[derive(Debug, Clone)]
pub enum CloudOp {
    /// Read the machine types.
    Catalog,
    /// Read a page of the list of machines.
    List {
        /// Name after which the page begins.
        since: Option<String>,
    },
    /// Rent machines.
    Rent(RentRequest),
    /// Return machines.
    Return(ReturnRequest),
}

/// How a call to the cloud ended.
#[derive(Debug, Clone)]
pub enum CloudResult {
    /// The machine types.
    Catalog(Catalog),
    /// A page of the list of machines.
    Page(MachinePage),
    /// Machines were rented.
    Rented(RentAnswer),
    /// Machines are gone.
    Returned,
    /// No such machine is to be had.
    NoCapacity,
    /// Certainly not executed.
    NotExecuted,
    /// May have been executed, or may yet be.
    Unknown,
    /// The cloud calls the request malformed.
    Bad,
}

/// What a call to the state service was for.
#[derive(Debug)]
pub(crate) enum Purpose {
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
    /// What all roles use.
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
    /// A process that has just started; `seed` makes its choices repeatable.
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
