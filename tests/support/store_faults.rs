//! Faults that tests inject into calls to the store.

use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::HashMap;
use std::ops::Range;
use woadlever::core::StoreRequest;
use woadlever::wire::store::{CompareAndSwap, Mutation};

/// Fault injected into a write that a test selects.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum WriteFault {
    /// The outcome is unknown to the caller; the write is held until the test applies it.
    Held,
    /// The write is executed at once, and only its answer is lost.
    AnswerLost,
}

/// Time-out of a call, unless a test sets [`StoreFaults::timeout_ms`].
const DEFAULT_TIMEOUT_MS: u64 = 2_000;

/// Calls that the store answers late, each with a delay of its own.
#[derive(Debug, Clone)]
pub struct SlowCalls {
    /// Fraction of all calls.
    pub share: f64,
    /// Range from which the additional delay of a call is drawn, in milliseconds.
    pub delay_ms: Range<u64>,
}

/// Faults of calls to the store.
pub struct StoreFaults {
    /// Fraction of writes whose answer is lost and which the store executes late.
    pub lost_answer_share: f64,
    /// Additional delay in milliseconds of all calls of a node.
    pub slow: HashMap<usize, u64>,
    /// Additional delay in milliseconds of the answers to a node's watches.
    pub slow_watch: HashMap<usize, u64>,
    /// Additional delay in milliseconds of a node's writes. They still arrive after it, whatever
    /// has become of the node's connection.
    pub slow_writes: HashMap<usize, u64>,
    /// Additional delay in milliseconds of each read of the single record with this key, and of each
    /// list of the records with this prefix.
    pub slow_reads: HashMap<String, u64>,
    /// Calls of any node that the store answers late.
    pub slow_calls: Option<SlowCalls>,
    /// Time after which the caller of a selected write learns that its outcome is unknown: the
    /// time-out of the call, or less if the connection is reset.
    pub timeout_ms: u64,
    /// Selects the writes of a node that change a key with a prefix, and the fault they get.
    pub targeted_writes: Option<(usize, String, WriteFault)>,
    /// Number of writes selected so far.
    pub targeted_count: usize,
    /// Selected writes that are held until the test applies them.
    pub(super) held: Vec<CompareAndSwap>,
}

impl Default for StoreFaults {
    fn default() -> StoreFaults {
        StoreFaults {
            lost_answer_share: 0.0,
            slow: HashMap::new(),
            slow_watch: HashMap::new(),
            slow_writes: HashMap::new(),
            slow_reads: HashMap::new(),
            slow_calls: None,
            timeout_ms: DEFAULT_TIMEOUT_MS,
            targeted_writes: None,
            targeted_count: 0,
            held: Vec::new(),
        }
    }
}

impl StoreFaults {
    /// Returns the fault of a request if it is a selected write, and counts it.
    pub(super) fn fault_of(&mut self, node: usize, request: &StoreRequest) -> Option<WriteFault> {
        let (_, prefix, fault) =
            self.targeted_writes.as_ref().filter(|targeted_writes| targeted_writes.0 == node)?;
        let StoreRequest::CompareAndSwap(write) = request else { return None };
        let touches = |mutation: &Mutation| match mutation {
            Mutation::Put { key, .. } | Mutation::Delete { key } => key.starts_with(prefix.as_str()),
        };
        let fault = write.mutations.iter().any(touches).then_some(*fault)?;
        self.targeted_count += 1;
        Some(fault)
    }

    /// Returns the additional delay of a request of a node. Draws a random number only while a share
    /// of the calls is slow.
    pub(super) fn delay_ms_of(&self, node: usize, request: &StoreRequest, rng: &mut StdRng) -> u64 {
        let slow = self.slow.get(&node).copied().unwrap_or(0);
        let of_request = match request {
            StoreRequest::CompareAndSwap(_) => self.slow_writes.get(&node),
            StoreRequest::Get(key) => self.slow_reads.get(key),
            StoreRequest::List { prefix, .. } => self.slow_reads.get(prefix),
            _ => None,
        };
        let drawn = match &self.slow_calls {
            Some(calls) if rng.random_bool(calls.share) => rng.random_range(calls.delay_ms.clone()),
            _ => 0,
        };
        slow + of_request.copied().unwrap_or(0) + drawn
    }
}
