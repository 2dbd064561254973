//! Leader election: the leader is the process named in the leader record, which is attached to
//! a live lease of the store.
//!
//! The record is written once per election, so its version is the term, and every write of a
//! leader is conditional on that version. Timing only affects how soon a failed leader is
//! replaced, never who may write.

use super::context::NodeContext;
use super::store_keys::LEADER;
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{Ms, Term};
use crate::wire::encoded::Encoded;
use crate::wire::store::{Compare, CompareAndSwap, LeaderRecord, Mutation};

/// Number of times that the lease is renewed within its time to live.
const RENEWALS_PER_LEASE: f64 = 3.5;
/// Delay before a node claims vacant leadership. It is jittered per node to avoid conflicting
/// claims.
const CLAIM_DELAY_MS: Ms = 60;
const RETRY_MS: Ms = 300;
/// Delay before a failed renewal is retried, or a new lease is opened.
const RENEWAL_RETRY_MS: Ms = 200;

/// A call of the election to the store.
#[derive(Debug)]
pub(crate) enum ElectionCall {
    /// Opens a lease for this process's leader record.
    OpenLease,
    /// Writes this process's leader record, attached to this lease.
    Claim {
        /// Number of the lease.
        lease: u64,
    },
    /// Renews the lease of this process's leader record.
    RenewLease,
    /// Ends the lease of an earlier process of this node.
    EndLease,
}

/// State of this node as a candidate or leader.
#[derive(Debug, Default)]
pub(crate) struct Election {
    /// Lease that this process has opened.
    lease: Option<u64>,
    in_flight: bool,
    renew_at: Ms,
    retry_at: Ms,
    /// Term of an earlier process of this node whose lease this process has ended or is ending.
    ended_term: Option<Term>,
    vacant_since: Option<Ms>,
}

/// The current leader as this node sees it.
enum CurrentLeader {
    /// This process leads under this lease.
    ThisProcess {
        lease: u64,
    },
    /// The record names an earlier process of this node.
    EarlierProcess {
        lease: u64,
        term: Term,
    },
    Other,
    Nobody,
}

impl CurrentLeader {
    fn of(context: &NodeContext) -> CurrentLeader {
        let Some(leader) = context.leadership.current() else { return CurrentLeader::Nobody };
        let record = &leader.record;
        if context.is_self(&record.node, record.incarnation) {
            CurrentLeader::ThisProcess { lease: record.lease }
        } else if record.node == context.node {
            CurrentLeader::EarlierProcess { lease: record.lease, term: leader.term }
        } else {
            CurrentLeader::Other
        }
    }
}

impl Election {
    /// Renews this process's lease if it leads, or claims leadership if nobody leads.
    pub(crate) fn poll(&mut self, context: &mut NodeContext) {
        if !context.is_synced || self.in_flight || context.clock.now() < self.retry_at {
            return;
        }
        match CurrentLeader::of(context) {
            CurrentLeader::ThisProcess { lease } => {
                self.vacant_since = None;
                if context.clock.now() >= self.renew_at {
                    self.send(context, ElectionCall::RenewLease, StoreRequest::RenewLease(lease));
                }
            }
            // Only one process runs per address, so the process that a record of an earlier
            // incarnation names no longer runs. Waiting for its lease to expire gains nothing.
            CurrentLeader::EarlierProcess { lease, term } if self.ended_term != Some(term) => {
                self.ended_term = Some(term);
                tracing::info!(lease, "ending the lease of an earlier process of this node");
                self.send(context, ElectionCall::EndLease, StoreRequest::EndLease(lease));
            }
            CurrentLeader::EarlierProcess { .. } | CurrentLeader::Other => self.vacant_since = None,
            CurrentLeader::Nobody => self.claim_leadership(context),
        }
    }

    fn claim_leadership(&mut self, context: &mut NodeContext) {
        let now = context.clock.now();
        if self.vacant_since.is_none() {
            self.vacant_since = Some(now);
            self.retry_at = now + context.jitter(CLAIM_DELAY_MS);
            return;
        }
        match self.lease {
            Some(lease) => {
                let request = StoreRequest::CompareAndSwap(leader_claim(context, lease));
                self.send(context, ElectionCall::Claim { lease }, request);
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

    /// Handles the response to a call of the election.
    pub(crate) fn on_store_response(
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
            // The outcome arrives through the watch; until then there is nothing to do.
            StoreResponse::Committed { .. } | StoreResponse::Conflict(_) => {
                self.retry_at = context.clock.now() + context.jitter(RETRY_MS);
            }
            // The lease has ended, so a new one is needed.
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
            // The leader record of this process has been or is about to be deleted. This process
            // stops leading now and does not wait for the watch to report the deletion.
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

/// Returns the write of this process's leader record, conditional on there being no record.
fn leader_claim(context: &NodeContext, lease: u64) -> CompareAndSwap {
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
