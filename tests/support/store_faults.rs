//! Faults of the calls to the store.

use std::collections::HashMap;
use woadlever::core::StoreRequest;
use woadlever::wire::store::{CompareAndSwap, Mutation};

/// What becomes of a write that a scenario picks out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fate {
    /// No answer; carried out when the scenario says so.
    Late,
    /// Carried out at once, and only its answer is lost.
    AnswerLost,
}

const TIMEOUT_MS: u64 = 2_000;

/// What goes wrong with calls to the store.
pub struct StoreFaults {
    /// Share of writes whose answer is lost, and that run late.
    pub loss: f64,
    /// Nodes whose calls take so long.
    pub slow: HashMap<usize, u64>,
    /// Nodes whose watches are answered so much later.
    pub slow_watch: HashMap<usize, u64>,
    /// Nodes whose writes are under way so long, and arrive then whatever has become of
    /// the node's connection.
    pub slow_writes: HashMap<usize, u64>,
    /// When a call without an answer is given up: at the end of its time, or sooner where
    /// the connection is reset.
    pub timeout_ms: u64,
    /// Writes of this node that change a key beginning so, and their fate.
    pub pick: Option<(usize, String, Fate)>,
    /// Writes picked out so far, and those of them still under way.
    pub picked: usize,
    pub(super) held: Vec<CompareAndSwap>,
}

impl Default for StoreFaults {
    fn default() -> StoreFaults {
        StoreFaults {
            loss: 0.0,
            slow: HashMap::new(),
            slow_watch: HashMap::new(),
            slow_writes: HashMap::new(),
            timeout_ms: TIMEOUT_MS,
            pick: None,
            picked: 0,
            held: Vec::new(),
        }
    }
}

impl StoreFaults {
    /// The fate of a request, if a scenario has picked it out.
    pub(super) fn fate_of(&mut self, node: usize, request: &StoreRequest) -> Option<Fate> {
        let (_, prefix, fate) = self.pick.as_ref().filter(|pick| pick.0 == node)?;
        let StoreRequest::CompareAndSwap(write) = request else { return None };
        let touches = |mutation: &Mutation| match mutation {
            Mutation::Put { key, .. } | Mutation::Delete { key } => key.starts_with(prefix.as_str()),
        };
        let fate = write.mutations.iter().any(touches).then_some(*fate)?;
        self.picked += 1;
        Some(fate)
    }

    /// How long a request of a node is delayed.
    pub(super) fn delay_of(&self, node: usize, request: &StoreRequest) -> u64 {
        let slow = self.slow.get(&node).copied().unwrap_or(0);
        if matches!(request, StoreRequest::CompareAndSwap(_)) {
            slow + self.slow_writes.get(&node).copied().unwrap_or(0)
        } else {
            slow
        }
    }
}
