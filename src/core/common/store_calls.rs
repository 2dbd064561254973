//! Calls to the key-value store: those on their way, their pacing, and whether the store
//! answers at all.

use super::token_bucket::TokenBucket;
use crate::config::Platform;
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::Ms;
use rustc_hash::FxHashMap;

/// Nodes share the limits; a busy one may use more than its part, since not all are busy
/// at once, and a refusal only makes us wait.
const SHARE_AMONG_NODES: f64 = 0.5;
/// Of a single node.
const SHARE_ALONE: f64 = 0.9;

/// A call without an answer yet.
#[derive(Debug)]
pub(crate) struct PendingCall {
    pub(crate) owner: StoreCallOwner,
    pub(crate) sent_at: Ms,
}

/// Calls to the store and to the cloud share one sequence of numbers.
#[derive(Debug)]
pub struct StoreCalls {
    pending: FxHashMap<u64, PendingCall>,
    next_number: u64,
    mutations: TokenBucket,
    responded_at: Ms,
}

impl StoreCalls {
    /// No call has been made yet.
    pub fn new(platform: &Platform, now: Ms) -> StoreCalls {
        let share = if platform.peers.is_empty() { SHARE_ALONE } else { SHARE_AMONG_NODES };
        let mutations_per_s = platform.cluster.state.write_rps * share;
        StoreCalls {
            pending: FxHashMap::default(),
            next_number: 1,
            mutations: TokenBucket::new(mutations_per_s, mutations_per_s, now),
            responded_at: now,
        }
    }

    /// A number for a call that is not kept here.
    pub(crate) fn next_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Notes a call that is made now; the result is its number.
    pub(crate) fn start(&mut self, owner: StoreCallOwner, request: &StoreRequest, now: Ms) -> u64 {
        let number = self.next_number();
        self.pending.insert(number, PendingCall { owner, sent_at: now });
        if let StoreRequest::CompareAndSwap(write) = request {
            self.mutations.take(now, write.mutations.len() as f64);
        }
        number
    }

    /// Takes the call that a response belongs to; none if it is not known.
    pub(crate) fn finish(
        &mut self,
        number: u64,
        response: &StoreResponse,
        now: Ms,
    ) -> Option<PendingCall> {
        let call = self.pending.remove(&number)?;
        if !matches!(response, StoreResponse::NotExecuted | StoreResponse::OutcomeUnknown) {
            self.responded_at = now;
        }
        Some(call)
    }

    /// Whether so many mutations may be made now.
    pub fn can_write(&mut self, now: Ms, mutations: usize) -> bool {
        self.mutations.has(now, mutations as f64)
    }

    /// Time since the store last answered.
    pub fn silence_ms(&self, now: Ms) -> Ms {
        now.saturating_sub(self.responded_at)
    }

    /// Calls without an answer yet.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }
}
