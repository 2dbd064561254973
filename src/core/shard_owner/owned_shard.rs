//! State of a shard that this node owns under one fencing token.

use super::attempt::Attempt;
use super::placement_records::{RecordIndex, ShardRecords};
use crate::model::{AttemptId, FencingToken, JobIndex, Ms, ShardIndex, Term};
use crate::wire::peer::DesiredState;
use rustc_hash::FxHashSet;
use woadlever_recovery::shard::ShardRecovery;

/// Progress of reading a shard's placement records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadState {
    /// The read is due at this time.
    Due {
        /// When to send the read.
        at: Ms,
    },
    /// Pages are being read.
    Reading,
    /// All records have been read.
    Done,
}

/// Version of a desired state; orders the desired states of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct DesiredVersion {
    /// Term of the leader that sent it.
    pub(super) term: Term,
    /// Serial number, which increases with each desired state of the term. A reported state contains
    /// that of the last desired state applied.
    pub(super) serial: u64,
}

/// A desired state that names jobs which the watch has not delivered yet.
#[derive(Debug)]
pub(super) struct ParkedDesiredState {
    pub(super) message: DesiredState,
    /// Time since which the shard has had a parked desired state; kept when a newer one replaces
    /// it.
    pub(super) since: Ms,
}

/// Number of tasks of a job that wait for free capacity; the load projection includes them.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingTaskCount {
    pub(super) job: JobIndex,
    pub(super) count: u32,
}

/// An attempt that is proven gone, and the placement record that lists it.
#[derive(Debug, Clone, Copy)]
pub(super) struct GoneAttempt {
    pub(super) id: AttemptId,
    pub(super) record: RecordIndex,
}

/// A shard that this node owns. A new fencing token resets this state.
#[derive(Debug)]
pub(super) struct OwnedShard {
    pub(super) index: ShardIndex,
    pub(super) fencing_token: FencingToken,
    pub(super) load: LoadState,
    /// Progress of reconciling the recorded attempts with worker heartbeats.
    pub(super) recovery: ShardRecovery,
    /// Version of the last desired state applied.
    pub(super) desired_version: Option<DesiredVersion>,
    /// Attempts that must not be bound here; kept until a desired state no longer names them.
    pub(super) rejected_attempts: FxHashSet<AttemptId>,
    pub(super) parked_desired_state: Option<ParkedDesiredState>,
    pub(super) waiting_tasks: Vec<WaitingTaskCount>,
    /// Whether there may be changes that no reported state contains yet.
    pub(super) has_unreported_changes: bool,
    /// When the last reported state was sent.
    pub(super) reported_at: Option<Ms>,
    /// Number of machines and tasks in the last reported state.
    pub(super) reported_items: usize,
    pub(super) records: ShardRecords,
}

impl OwnedShard {
    /// Creates the state of a shard that this node has just acquired.
    pub(super) fn new(index: ShardIndex, fencing_token: FencingToken, now: Ms) -> OwnedShard {
        OwnedShard {
            index,
            fencing_token,
            load: LoadState::Due { at: now },
            recovery: ShardRecovery::new(now),
            desired_version: None,
            rejected_attempts: FxHashSet::default(),
            parked_desired_state: None,
            waiting_tasks: Vec::new(),
            has_unreported_changes: true,
            reported_at: None,
            reported_items: 0,
            records: ShardRecords::default(),
        }
    }

    /// Whether all placement records of the shard have been read.
    pub(super) fn is_loaded(&self) -> bool {
        self.load == LoadState::Done
    }

    /// Whether the last desired state applied came from the leader of this term.
    pub(super) fn follows_term(&self, term: Term) -> bool {
        self.newest_serial(term).is_some()
    }

    /// Serial number of the last desired state applied, if it came from the leader of this term.
    pub(super) fn newest_serial(&self, term: Term) -> Option<u64> {
        self.desired_version.filter(|version| version.term == term).map(|version| version.serial)
    }

    /// Rejects attempts that are proven gone and marks their records as outdated. A desired state
    /// in flight may still allow binding them, while our next reported state omits them and so
    /// makes the leader admit their tasks elsewhere. If they were bound again here, the tasks would
    /// run twice.
    pub(super) fn reject_gone_attempts(&mut self, gone: impl IntoIterator<Item = GoneAttempt>, now: Ms) {
        for attempt in gone {
            self.rejected_attempts.insert(attempt.id);
            self.records.mark_outdated([attempt.record], now);
        }
    }
}

impl From<&Attempt> for GoneAttempt {
    fn from(attempt: &Attempt) -> GoneAttempt {
        GoneAttempt { id: attempt.id, record: attempt.record }
    }
}
