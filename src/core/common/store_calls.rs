//! Calls to the key-value store: in-flight calls, the write rate limit, and the time since the
//! store last answered.

use super::token_bucket::TokenBucket;
use crate::config::Platform;
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::Ms;
use rustc_hash::FxHashMap;

/// Fraction of the store's write rate limit that one of several nodes may use. The nodes share
/// the limit, but a busy node may use more than an equal part: not all are busy at once, and a
/// rejected write is only delayed.
const RATE_FRACTION_WITH_PEERS: f64 = 0.5;
/// Fraction of the store's write rate limit that a node without peers may use.
const RATE_FRACTION_WITHOUT_PEERS: f64 = 0.9;

/// A call that has not been answered yet.
#[derive(Debug)]
pub(crate) struct PendingCall {
    pub(crate) owner: StoreCallOwner,
    pub(crate) sent_at: Ms,
}

/// In-flight calls to the store. Calls to the store and to the cloud share one sequence of call
/// numbers.
#[derive(Debug)]
pub struct StoreCalls {
    pending: FxHashMap<u64, PendingCall>,
    next_number: u64,
    mutations: TokenBucket,
    responded_at: Ms,
}

impl StoreCalls {
    /// Creates the state in which no call has been made yet.
    pub fn new(platform: &Platform, now: Ms) -> StoreCalls {
        let fraction = if platform.peers.is_empty() {
            RATE_FRACTION_WITHOUT_PEERS
        } else {
            RATE_FRACTION_WITH_PEERS
        };
        let mutations_per_s = platform.cluster.state.write_rps * fraction;
        StoreCalls {
            pending: FxHashMap::default(),
            next_number: 1,
            mutations: TokenBucket::new(mutations_per_s, mutations_per_s, now),
            responded_at: now,
        }
    }

    /// Allocates the number of a call. Calls to the cloud get a number but are not tracked here.
    pub(crate) fn next_number(&mut self) -> u64 {
        let number = self.next_number;
        self.next_number += 1;
        number
    }

    /// Registers a call that is made now and returns its number.
    pub(crate) fn start(&mut self, owner: StoreCallOwner, request: &StoreRequest, now: Ms) -> u64 {
        let number = self.next_number();
        self.pending.insert(number, PendingCall { owner, sent_at: now });
        if let StoreRequest::CompareAndSwap(write) = request {
            self.mutations.take(now, write.mutations.len() as f64);
        }
        number
    }

    /// Removes and returns the call that a response belongs to; `None` if there is no such call.
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

    /// Whether this number of mutations may be written now under the rate limit.
    pub fn can_write(&mut self, now: Ms, mutations: usize) -> bool {
        self.mutations.has_tokens(now, mutations as f64)
    }

    /// Time since the store last answered.
    pub fn silence_ms(&self, now: Ms) -> Ms {
        now.saturating_sub(self.responded_at)
    }

    /// Number of calls that have not been answered yet.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }
}
