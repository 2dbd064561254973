//! Who leads, as the watched record says.

use crate::model::Term;
use crate::wire::store::LeaderRecord;

/// The leader's record, with the term that it stands for.
#[derive(Debug, Clone)]
pub struct KnownLeader {
    /// The node and process that lead, and the lease that the record hangs on.
    pub record: LeaderRecord,
    /// Version of the record, which is the term.
    pub term: Term,
}

/// The newest state of the leader's record.
#[derive(Debug, Default)]
pub struct Leadership {
    current: Option<KnownLeader>,
    /// Newest version of the record that was seen, deletions included.
    newest_version: u64,
}

impl Leadership {
    /// Who leads now.
    pub fn current(&self) -> Option<&KnownLeader> {
        self.current.as_ref()
    }

    /// The present term.
    pub fn term(&self) -> Option<Term> {
        self.current.as_ref().map(|leader| leader.term)
    }

    /// Whether this node leads.
    pub fn is_led_by(&self, node: &str) -> bool {
        self.current.as_ref().is_some_and(|leader| leader.record.node == node)
    }

    /// Takes in the record as of this version; none if it was deleted. Older versions are
    /// ignored: reads and watch events cross each other.
    pub(crate) fn update(&mut self, record: Option<LeaderRecord>, version: u64) {
        if version < self.newest_version {
            return;
        }
        self.newest_version = version;
        self.current = record.map(|record| KnownLeader { record, term: Term::new(version) });
    }

    /// Forgets the leader: its lease is known to have ended.
    pub(crate) fn clear(&mut self) {
        self.current = None;
    }
}
