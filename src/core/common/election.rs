//! Election: the leader is whoever's record hangs on a live lease.
//!
//! The record is written once per election, so its version is the term, and
//! every write of a leader is conditional on that version. Time decides only
//! how soon a lost leader is replaced, never who may write.

use super::context::NodeContext;
use super::store_keys::LEADER;
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{Ms, Term};
use crate::wire::encoded::Encoded;
use crate::wire::store::{Compare, CompareAndSwap, LeaderRecord, Mutation};

/// The lease is renewed so often within its time to live.
const RENEWALS_PER_LEASE: f64 = 3.5;
/// A short pause before a vacancy is filled, which differs by node, spares collisions.
const VACANCY_PAUSE_MS: Ms = 60;
const RETRY_MS: Ms = 300;
/// Delay before a renewal is repeated, or a new lease opened.
const RENEWAL_RETRY_MS: Ms = 200;

/// A call of the election to the store.
#[derive(Debug)]
pub(crate) enum ElectionCall {
    /// A lease for our record is opened.
    OpenLease,
    /// Our record is written, hanging on this lease.
    Claim {
        /// Number of the lease.
        lease: u64,
    },
    /// The lease of our record is renewed.
    RenewLease,
    /// The lease of a former process of this node is ended.
    EndLease,
}

/// This node's part in the election.
#[derive(Debug, Default)]
pub(crate) struct Election {
    /// A lease that was opened here.
    lease: Option<u64>,
    in_flight: bool,
    renew_at: Ms,
    retry_at: Ms,
    /// Term of a former process of this node whose lease was ended.
    ended_term: Option<Term>,
    vacant_since: Option<Ms>,
}

/// Who leads, as this node sees it.
enum Leading {
    /// This process, on this lease.
    ThisProcess {
        lease: u64,
    },
    /// A former process of this node.
    FormerSelf {
        lease: u64,
        term: Term,
    },
    Other,
    Nobody,
}

impl Leading {
    fn of(context: &NodeContext) -> Leading {
        let Some(leader) = context.leadership.current() else { return Leading::Nobody };
        let record = &leader.record;
        if context.is_self(&record.node, record.incarnation) {
            Leading::ThisProcess { lease: record.lease }
        } else if record.node == context.node {
            Leading::FormerSelf { lease: record.lease, term: leader.term }
        } else {
            Leading::Other
        }
    }
}

impl Election {
    /// Renews our lease, or runs for leader if nobody leads.
    pub(crate) fn poll(&mut self, context: &mut NodeContext) {
        if !context.is_synced || self.in_flight || context.clock.now() < self.retry_at {
            return;
        }
        match Leading::of(context) {
            Leading::ThisProcess { lease } => {
                self.vacant_since = None;
                if context.clock.now() >= self.renew_at {
                    self.send(context, ElectionCall::RenewLease, StoreRequest::RenewLease(lease));
                }
            }
            // One process runs per address: a record of a former incarnation
            // of ours is nobody's, and waiting for its lease helps no one.
            Leading::FormerSelf { lease, term } if self.ended_term != Some(term) => {
                self.ended_term = Some(term);
                tracing::info!(lease, "ending the lease of this node's former process");
                self.send(context, ElectionCall::EndLease, StoreRequest::EndLease(lease));
            }
            Leading::FormerSelf { .. } | Leading::Other => self.vacant_since = None,
            Leading::Nobody => self.run_for_leader(context),
        }
    }

    fn run_for_leader(&mut self, context: &mut NodeContext) {
        let now = context.clock.now();
        if self.vacant_since.is_none() {
            self.vacant_since = Some(now);
            self.retry_at = now + context.jitter(VACANCY_PAUSE_MS);
            return;
        }
        match self.lease {
            Some(lease) => {
                let claim = StoreRequest::CompareAndSwap(claim(context, lease));
                self.send(context, ElectionCall::Claim { lease }, claim);
            }
            None => {
                let ttl_ms = (context.operator.leader_ttl_s * 1000.0) as u64;
                self.send(context, ElectionCall::OpenLease, StoreRequest::OpenLease { ttl_ms });
            }
        }
    }

    fn send(&mut self, context: &mut NodeContext, call: ElectionCall, request: StoreRequest) {
        self.in_flight = true;
        context.send_store_request(StoreCallOwner::Election(call), request);
    }

    /// Takes in the response to a call.
    pub(crate) fn on_result(
        &mut self,
        context: &mut NodeContext,
        call: ElectionCall,
        response: StoreResponse,
    ) {
        self.in_flight = false;
        match call {
            ElectionCall::OpenLease => self.on_lease_opened(context, &response),
            ElectionCall::Claim { lease } => self.on_claimed(context, lease, &response),
            ElectionCall::RenewLease => self.on_renewed(context, &response),
            ElectionCall::EndLease => self.on_lease_ended(context, &response),
        }
    }

    fn on_lease_opened(&mut self, context: &mut NodeContext, response: &StoreResponse) {
        let StoreResponse::LeaseOpened(lease) = response else { return self.start_over(context) };
        self.lease = Some(*lease);
        self.renew_at = context.clock.now() + renewal_interval(context);
    }

    fn on_claimed(&mut self, context: &mut NodeContext, lease: u64, response: &StoreResponse) {
        match response {
            // The watch tells the outcome; until then there's nothing to do.
            StoreResponse::Committed { .. } | StoreResponse::Conflict(_) => {
                self.retry_at = context.clock.now() + context.jitter(RETRY_MS);
            }
            // The lease has ended. A new one is needed.
            StoreResponse::Malformed | StoreResponse::LeaseNotFound => {
                if self.lease == Some(lease) {
                    self.lease = None;
                }
            }
            _ => self.start_over(context),
        }
    }

    fn on_renewed(&mut self, context: &mut NodeContext, response: &StoreResponse) {
        match response {
            // Our record is gone or going; the watch will say so. Lead
            // no further on it.
            StoreResponse::LeaseNotFound => {
                self.lease = None;
                if context.own_term().is_some() {
                    context.leadership.clear();
                }
                self.retry_at = context.clock.now() + context.jitter(RENEWAL_RETRY_MS);
            }
            StoreResponse::NotExecuted | StoreResponse::OutcomeUnknown => {
                self.renew_at = context.clock.now() + context.jitter(RENEWAL_RETRY_MS);
            }
            _ => self.renew_at = context.clock.now() + renewal_interval(context),
        }
    }

    fn on_lease_ended(&mut self, context: &mut NodeContext, response: &StoreResponse) {
        if matches!(response, StoreResponse::NotExecuted | StoreResponse::OutcomeUnknown) {
            self.ended_term = None;
            self.retry_at = context.clock.now() + context.jitter(RETRY_MS);
        }
    }

    fn start_over(&mut self, context: &mut NodeContext) {
        self.retry_at = context.clock.now() + context.jitter(RETRY_MS);
        self.vacant_since = None;
    }
}

fn renewal_interval(context: &NodeContext) -> Ms {
    (context.operator.leader_ttl_s * 1000.0 / RENEWALS_PER_LEASE) as Ms
}

/// Writes our record if there is none.
fn claim(context: &NodeContext, lease: u64) -> CompareAndSwap {
    let record = LeaderRecord { node: context.node.clone(), incarnation: context.incarnation, lease };
    CompareAndSwap {
        compares: vec![Compare { key: LEADER.into(), version: 0 }],
        mutations: vec![Mutation::Put {
            key: LEADER.into(),
            value: Encoded::new(&record),
            lease: Some(lease),
        }],
    }
}
