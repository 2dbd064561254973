//! A shard that this node owns, under one fencing token.

use super::attempt::Attempt;
use super::placement_records::{RecordIndex, ShardRecords};
use crate::model::{AttemptId, FencingToken, JobIndex, Ms, ShardIndex, Term};
use crate::wire::peer::DesiredState;
use rustc_hash::FxHashSet;
use woadlever_recovery::shard::ShardRecovery;

/// How far the reading of a shard's placement records has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadState {
    /// The read is due at this time.
    Due {
        /// When to send it.
        at: Ms,
    },
    /// Pages are being read.
    Reading,
    /// All records have been read.
    Done,
}

/// Position of a desired state among all of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct DesiredVersion {
    /// Term of the leader that sent it.
    pub(super) term: Term,
    /// Rises with each message of the term; state messages to the leader echo it.
    pub(super) serial: u64,
}

/// A desired state that names jobs which the watch has yet to bring.
#[derive(Debug)]
pub(super) struct ParkedDesiredState {
    pub(super) message: DesiredState,
    /// Since when a desired state of the shard has been parked.
    pub(super) since: Ms,
}

/// Tasks of a job that wait for free capacity, counted on their best-fit machines.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingTaskCount {
    pub(super) job: JobIndex,
    pub(super) count: u32,
}

/// An attempt that is proven gone, with the placement record that lists it.
#[derive(Debug, Clone, Copy)]
pub(super) struct GoneAttempt {
    pub(super) id: AttemptId,
    pub(super) record: RecordIndex,
}

/// A shard that this node owns. A new fencing token starts it anew.
#[derive(Debug)]
pub(super) struct OwnedShard {
    pub(super) index: ShardIndex,
    pub(super) fencing_token: FencingToken,
    pub(super) load: LoadState,
    /// How far what is on record has been reconciled with worker heartbeats.
    pub(super) recovery: ShardRecovery,
    /// The last desired state taken in.
    pub(super) desired_version: Option<DesiredVersion>,
    /// Attempts that are never bound here, until the leader no longer names them.
    pub(super) rejected_attempts: FxHashSet<AttemptId>,
    pub(super) parked_desired_state: Option<ParkedDesiredState>,
    pub(super) waiting_tasks: Vec<WaitingTaskCount>,
    /// The leader has not been told of the latest changes.
    pub(super) has_unreported_changes: bool,
    /// When the last state message was sent.
    pub(super) reported_at: Option<Ms>,
    /// Machines and tasks in the last state message.
    pub(super) reported_items: usize,
    pub(super) records: ShardRecords,
}

impl OwnedShard {
    /// A shard that this node has just begun to own.
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

    /// Whether all its placement records have been read.
    pub(super) fn is_loaded(&self) -> bool {
        self.load == LoadState::Done
    }

    /// Whether the last desired state taken in is of the leader of this term.
    pub(super) fn follows_term(&self, term: Term) -> bool {
        self.newest_serial(term).is_some()
    }

    /// Serial of the last desired state taken in, if it is of the leader of this term.
    pub(super) fn newest_serial(&self, term: Term) -> Option<u64> {
        self.desired_version.filter(|version| version.term == term).map(|version| version.serial)
    }

    /// Notes attempts that are proven gone. Desired states under way may still allow to
    /// bind them, and our next state message, which leaves them out, has the leader admit
    /// their tasks elsewhere: bound again here, they would run twice.
    pub(super) fn note_gone_attempts(&mut self, gone: impl IntoIterator<Item = GoneAttempt>, now: Ms) {
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
