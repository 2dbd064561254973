//! The phase of a shard's recovery: from reading its records to reconciled.

use crate::Millis;
use crate::attempt::Verdict;

/// Phases that a shard goes through after each change of its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryPhase {
    /// Its placement records are being read. Heartbeats are answered without commands.
    ReadingRecords,
    /// Some machines have attempts that no heartbeat has confirmed or disproved.
    Reconciling,
    /// Every attempt on record is confirmed, disproved or bound by this shard owner.
    Reconciled,
}

impl RecoveryPhase {
    const ALL: [RecoveryPhase; 3] =
        [RecoveryPhase::ReadingRecords, RecoveryPhase::Reconciling, RecoveryPhase::Reconciled];

    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            RecoveryPhase::ReadingRecords => "reading-records",
            RecoveryPhase::Reconciling => "reconciling",
            RecoveryPhase::Reconciled => "reconciled",
        }
    }

    /// Name in logs of format 1.
    fn former_name(self) -> &'static str {
        match self {
            RecoveryPhase::ReadingRecords => "reading-records",
            RecoveryPhase::Reconciling => "squaring",
            RecoveryPhase::Reconciled => "squared",
        }
    }

    /// The phase with this name, in logs of this or of the former format.
    pub fn from_name(name: &str) -> Option<RecoveryPhase> {
        let has_name = |phase: &RecoveryPhase| phase.name() == name || phase.former_name() == name;
        RecoveryPhase::ALL.into_iter().find(has_name)
    }
}

/// Attempts by how they were reconciled.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReconciliationCounts {
    /// On record and listed by a heartbeat: they go on.
    pub confirmed: u32,
    /// On record and proven absent by a heartbeat.
    pub absent: u32,
    /// On record and gone with their worker's lease, or with their machine.
    pub lease_ended: u32,
    /// Listed by a heartbeat and on no record: stopped, or forgotten if they have ended.
    pub unrecorded: u32,
}

/// The recovery of one shard under one fencing token.
#[derive(Debug)]
pub struct ShardRecovery {
    owned_since: Millis,
    phase: RecoveryPhase,
    /// Revision of the last page of records that was read; 0 before.
    revision: u64,
    counts: ReconciliationCounts,
    /// Attempts that the records listed.
    recorded: u32,
}

impl ShardRecovery {
    /// The recovery of a shard that this node has owned since `now`.
    pub fn new(now: Millis) -> ShardRecovery {
        ShardRecovery {
            owned_since: now,
            phase: RecoveryPhase::ReadingRecords,
            revision: 0,
            counts: ReconciliationCounts::default(),
            recorded: 0,
        }
    }

    /// Notes that the last page of the records has been read. The read began after this
    /// node became the owner, and the fencing token shuts out all writes of former owners,
    /// so the records list everything that may be on the shard's machines.
    pub fn records_read(&mut self, revision: u64, recorded: u32) {
        self.revision = revision;
        self.recorded = recorded;
        self.phase = RecoveryPhase::Reconciling;
    }

    /// Counts the verdict on an attempt from the records.
    pub fn count_verdict(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Present | Verdict::Succeeded => self.counts.confirmed += 1,
            Verdict::Absent | Verdict::Undelivered => self.counts.absent += 1,
            Verdict::Pending => {}
        }
    }

    /// Counts attempts from the records that are gone with their worker's lease or with
    /// their machine.
    pub fn count_lease_ended(&mut self, attempts: u32) {
        self.counts.lease_ended += attempts;
    }

    /// Counts an attempt that no record lists.
    pub fn count_unrecorded(&mut self) {
        self.counts.unrecorded += 1;
    }

    /// Whether attempts may be left that are neither confirmed nor disproved.
    pub fn is_reconciling(&self) -> bool {
        self.phase == RecoveryPhase::Reconciling
    }

    /// Ends the reconciliation if no attempt is left that is neither confirmed nor
    /// disproved; whether it did.
    pub fn finish_if_reconciled(&mut self, unreconciled_attempts: usize) -> bool {
        let finishes = self.is_reconciling() && unreconciled_attempts == 0;
        if finishes {
            self.phase = RecoveryPhase::Reconciled;
        }
        finishes
    }

    /// The present phase.
    pub fn phase(&self) -> RecoveryPhase {
        self.phase
    }

    /// Time since this node became the owner.
    pub fn age_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.owned_since)
    }

    /// When this node became the owner.
    pub fn owned_since(&self) -> Millis {
        self.owned_since
    }

    /// Revision of the records that were read; 0 before.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Attempts that the records listed.
    pub fn recorded(&self) -> u32 {
        self.recorded
    }

    /// Attempts reconciled so far.
    pub fn counts(&self) -> ReconciliationCounts {
        self.counts
    }
}
