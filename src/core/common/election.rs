//! Election: the leader is whoever's record hangs on a live lease.
//!
//! The record is written once per election, so its version is the term, and
//! every write of a leader is conditional on that version. Time decides only
//! how soon a lost leader is replaced, never who may write.

use super::model::Ms;
use super::shared::Shared;
use super::watch_cache::LEADER;
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
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
    pub fn poll(&mut self, shared: &mut Shared) {
        if !shared.synced || self.busy || shared.now < self.retry_at {
            return;
        }
        match &shared.leader {
            Some((l, _)) if l.node == shared.me && l.incarnation == shared.incarnation => {
                self.vacant_since = None;
                if shared.now >= self.renew_at {
                    let lease = l.lease;
                    self.busy = true;
                    shared.send_store_request(
                        StoreCallOwner::Election(ElectionCall::RenewLease),
                        StoreRequest::RenewLease(lease),
                    );
                }
            }
            // One process runs per address: a record of a former incarnation
            // of ours is nobody's, and waiting for its lease helps no one.
            Some((l, term)) if l.node == shared.me && *term != self.released => {
                let lease = l.lease;
                self.released = *term;
                self.busy = true;
                tracing::info!(lease, "giving up the lease of this node's former process");
                shared.send_store_request(
                    StoreCallOwner::Election(ElectionCall::EndLease),
                    StoreRequest::EndLease(lease),
                );
            }
            Some(_) => self.vacant_since = None,
            None => {
                // A short pause that differs by node spares collisions.
                let now = shared.now;
                if self.vacant_since.is_none() {
                    self.vacant_since = Some(now);
                    self.retry_at = now + shared.jitter(60);
                    return;
                }
                self.busy = true;
                match self.lease {
                    None => {
                        let ttl_ms = (shared.op.leader_ttl_s * 1000.0) as u64;
                        shared.send_store_request(
                            StoreCallOwner::Election(ElectionCall::OpenLease),
                            StoreRequest::OpenLease { ttl_ms },
                        );
                    }
                    Some(lease) => self.claim(shared, lease),
                }
            }
        }
    }

    fn claim(&mut self, shared: &mut Shared, lease: u64) {
        let rec = LeaderRecord { node: shared.me.clone(), incarnation: shared.incarnation, lease };
        let txn = CompareAndSwap {
            compares: vec![Compare { key: LEADER.into(), version: 0 }],
            changes: vec![Mutation::Put {
                key: LEADER.into(),
                value: Encoded::new(&rec),
                lease: Some(lease),
            }],
        };
        shared.send_store_request(
            StoreCallOwner::Election(ElectionCall::Claim { lease }),
            StoreRequest::CompareAndSwap(txn),
        );
    }

    pub fn on_result(&mut self, shared: &mut Shared, call: ElectionCall, result: StoreResponse) {
        self.busy = false;
        let third = (shared.op.leader_ttl_s * 1000.0 / 3.5) as Ms;
        match (call, result) {
            (ElectionCall::OpenLease, StoreResponse::LeaseOpened(lease)) => {
                self.lease = Some(lease);
                self.renew_at = shared.now + third;
            }
            // The watch tells the outcome; until then there's nothing to do.
            (
                ElectionCall::Claim { .. },
                StoreResponse::Committed { .. } | StoreResponse::Conflict(_),
            ) => {
                self.retry_at = shared.now + shared.jitter(300);
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
                if shared.own_term().is_some() {
                    shared.leader = None;
                }
                self.retry_at = shared.now + shared.jitter(200);
            }
            (ElectionCall::RenewLease, StoreResponse::NotExecuted | StoreResponse::OutcomeUnknown) => {
                self.renew_at = shared.now + shared.jitter(200);
            }
            (ElectionCall::RenewLease, _) => self.renew_at = shared.now + third,
            (ElectionCall::EndLease, StoreResponse::NotExecuted | StoreResponse::OutcomeUnknown) => {
                self.released = 0;
                self.retry_at = shared.now + shared.jitter(300);
            }
            (ElectionCall::EndLease, _) => {}
            (_, _) => {
                self.retry_at = shared.now + shared.jitter(300);
                self.vacant_since = None;
            }
        }
    }
}
