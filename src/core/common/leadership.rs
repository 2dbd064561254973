//! The current leader according to the watched leader record.

use crate::model::Term;
use crate::wire::store::LeaderRecord;

/// The leader record and its term.
#[derive(Debug, Clone)]
pub struct KnownLeader {
    /// Node and process that lead, and the lease that the record is attached to.
    pub record: LeaderRecord,
    /// Version of the record, which is the term.
    pub term: Term,
}

/// The newest known state of the leader record.
#[derive(Debug, Default)]
pub struct Leadership {
    current: Option<KnownLeader>,
    /// Newest version of the record seen so far, deletions included.
    newest_version: u64,
}

impl Leadership {
    /// The current leader, if known.
    pub fn current(&self) -> Option<&KnownLeader> {
        self.current.as_ref()
    }

    /// The current term, if there is a leader.
    pub fn term(&self) -> Option<Term> {
        self.current.as_ref().map(|leader| leader.term)
    }

    /// Whether the node with this name leads.
    pub fn is_led_by(&self, node: &str) -> bool {
        self.current.as_ref().is_some_and(|leader| leader.record.node == node)
    }

    /// Applies the record as of this version; `None` if the record was deleted. Older versions
    /// are ignored, since reads and watch events may arrive out of order.
    pub(crate) fn update(&mut self, record: Option<LeaderRecord>, version: u64) {
        if version < self.newest_version {
            return;
        }
        self.newest_version = version;
        self.current = record.map(|record| KnownLeader { record, term: Term::new(version) });
    }

    /// Clears the current leader, whose lease is known to have ended.
    pub(crate) fn clear(&mut self) {
        self.current = None;
    }
}
