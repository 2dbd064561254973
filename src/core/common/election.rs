//! Election: the leader is whoever's record hangs on a live lease.
//!
//! The record is written once per election, so its version is the term, and
//! every write of a leader is conditional on that version. Time decides only
//! how soon a lost leader is replaced, never who may write.

use super::context::NodeContext;
use super::watch_cache::LEADER;
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::Ms;
use crate::wire::encoded::Encoded;
use crate::wire::store::{Compare, CompareAndSwap, LeaderRecord, Mutation};

#[derive(Debug)]
pub enum ElectionCall {
    OpenLease,
    Claim { lease: u64 },
    RenewLease,
    EndLease,
}

#[derive(Debug, Default)]
pub struct Election {
    lease: Option<u64>,
    busy: bool,
    renew_at: Ms,
    retry_at: Ms,
    released: u64,
    vacant_since: Option<Ms>,
}

impl Election {
    pub fn poll(&mut self, context: &mut NodeContext) {
        if !context.is_synced || self.busy || context.clock.now() < self.retry_at {
            return;
        }
        match context.leadership.current().cloned() {
            Some(leader) if context.own_term() == Some(leader.term) => {
                self.vacant_since = None;
                if context.clock.now() >= self.renew_at {
                    let lease = leader.record.lease;
                    self.busy = true;
                    context.send_store_request(
                        StoreCallOwner::Election(ElectionCall::RenewLease),
                        StoreRequest::RenewLease(lease),
                    );
                }
            }
            // One process runs per address: a record of a former incarnation
            // of ours is nobody's, and waiting for its lease helps no one.
            Some(leader) if leader.record.node == context.node && leader.term != self.released => {
                let lease = leader.record.lease;
                self.released = leader.term;
                self.busy = true;
                tracing::info!(lease, "giving up the lease of this node's former process");
                context.send_store_request(
                    StoreCallOwner::Election(ElectionCall::EndLease),
                    StoreRequest::EndLease(lease),
                );
            }
            Some(_) => self.vacant_since = None,
            None => {
                // A short pause that differs by node spares collisions.
                let now = context.clock.now();
                if self.vacant_since.is_none() {
                    self.vacant_since = Some(now);
                    self.retry_at = now + context.jitter(60);
                    return;
                }
                self.busy = true;
                match self.lease {
                    None => {
                        let ttl_ms = (context.operator.leader_ttl_s * 1000.0) as u64;
                        context.send_store_request(
                            StoreCallOwner::Election(ElectionCall::OpenLease),
                            StoreRequest::OpenLease { ttl_ms },
                        );
                    }
                    Some(lease) => self.claim(context, lease),
                }
            }
        }
    }

    fn claim(&mut self, context: &mut NodeContext, lease: u64) {
        let rec = LeaderRecord { node: context.node.clone(), incarnation: context.incarnation, lease };
        let txn = CompareAndSwap {
            compares: vec![Compare { key: LEADER.into(), version: 0 }],
            mutations: vec![Mutation::Put {
                key: LEADER.into(),
                value: Encoded::new(&rec),
                lease: Some(lease),
            }],
        };
        context.send_store_request(
            StoreCallOwner::Election(ElectionCall::Claim { lease }),
            StoreRequest::CompareAndSwap(txn),
        );
    }

    pub fn on_result(&mut self, context: &mut NodeContext, call: ElectionCall, result: StoreResponse) {
        self.busy = false;
        let third = (context.operator.leader_ttl_s * 1000.0 / 3.5) as Ms;
        match (call, result) {
            (ElectionCall::OpenLease, StoreResponse::LeaseOpened(lease)) => {
                self.lease = Some(lease);
                self.renew_at = context.clock.now() + third;
            }
            // The watch tells the outcome; until then there's nothing to do.
            (
                ElectionCall::Claim { .. },
                StoreResponse::Committed { .. } | StoreResponse::Conflict(_),
            ) => {
                self.retry_at = context.clock.now() + context.jitter(300);
            }
            (ElectionCall::Claim { lease }, StoreResponse::Malformed | StoreResponse::LeaseNotFound) => {
                // The lease has ended. A new one is needed.
                if self.lease == Some(lease) {
                    self.lease = None;
                }
            }
            (ElectionCall::RenewLease, StoreResponse::LeaseNotFound) => {
                // Our record is gone or going; the watch will say so. Lead
                // no further on it.
                self.lease = None;
                if context.own_term().is_some() {
                    context.leadership.clear();
                }
                self.retry_at = context.clock.now() + context.jitter(200);
            }
            (ElectionCall::RenewLease, StoreResponse::NotExecuted | StoreResponse::OutcomeUnknown) => {
                self.renew_at = context.clock.now() + context.jitter(200);
            }
            (ElectionCall::RenewLease, _) => self.renew_at = context.clock.now() + third,
            (ElectionCall::EndLease, StoreResponse::NotExecuted | StoreResponse::OutcomeUnknown) => {
                self.released = 0;
                self.retry_at = context.clock.now() + context.jitter(300);
            }
            (ElectionCall::EndLease, _) => {}
            (_, _) => {
                self.retry_at = context.clock.now() + context.jitter(300);
                self.vacant_since = None;
            }
        }
    }
}
