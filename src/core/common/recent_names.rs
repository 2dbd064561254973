//! A bounded set of the most recently added names.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

/// A set of names that drops the oldest one when it is full.
#[derive(Debug)]
pub struct RecentNames {
    names: HashSet<Arc<str>>,
    order: VecDeque<Arc<str>>,
    limit: usize,
}

impl RecentNames {
    /// Creates an empty set of at most `limit` names.
    pub fn new(limit: usize) -> RecentNames {
        RecentNames { names: HashSet::new(), order: VecDeque::new(), limit }
    }

    /// Adds a name and returns whether it was new.
    pub fn insert(&mut self, name: &str) -> bool {
        let name: Arc<str> = name.into();
        if !self.names.insert(name.clone()) {
            return false;
        }
        self.order.push_back(name);
        if self.order.len() > self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.names.remove(&oldest);
        }
        true
    }

    /// Whether the set contains the name.
    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Number of names in the set.
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }
}
