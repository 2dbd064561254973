//! The phase of a shard's recovery: from reading its records to reconciled.

use crate::Millis;
use crate::attempt::Verdict;

/// Phase of a shard's recovery; a shard goes through them after each change of its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryPhase {
    /// The placement records are being read. Heartbeats are answered without commands.
    ReadingRecords,
    /// Some machines may have attempts that are neither confirmed nor proven gone.
    Reconciling,
    /// Every recorded attempt is confirmed, proven gone or bound by this shard owner.
    Reconciled,
}

impl RecoveryPhase {
    const ALL: [RecoveryPhase; 3] =
        [RecoveryPhase::ReadingRecords, RecoveryPhase::Reconciling, RecoveryPhase::Reconciled];

    /// Name of the phase in log lines.
    pub fn name(self) -> &'static str {
        match self {
            RecoveryPhase::ReadingRecords => "reading-records",
            RecoveryPhase::Reconciling => "reconciling",
            RecoveryPhase::Reconciled => "reconciled",
        }
    }

    /// Name of the phase in log lines of format 1.
    fn former_name(self) -> &'static str {
        match self {
            RecoveryPhase::ReadingRecords => "reading-records",
            RecoveryPhase::Reconciling => "squaring",
            RecoveryPhase::Reconciled => "squared",
        }
    }

    /// Returns the phase with this name in log lines of the current or the former format.
    pub fn from_name(name: &str) -> Option<RecoveryPhase> {
        let has_name = |phase: &RecoveryPhase| phase.name() == name || phase.former_name() == name;
        RecoveryPhase::ALL.into_iter().find(has_name)
    }
}

/// Numbers of attempts by the outcome of their reconciliation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReconciliationCounts {
    /// Recorded attempts that a heartbeat listed, or that are known to have succeeded. They are
    /// kept.
    pub confirmed: u32,
    /// Recorded attempts that a heartbeat proved absent.
    pub absent: u32,
    /// Recorded attempts that ended with their worker's lease or with their machine.
    pub lease_ended: u32,
    /// Attempts listed by a heartbeat and in no record. They are stopped, or forgotten if they
    /// have ended.
    pub unrecorded: u32,
}

/// Progress of the recovery of one shard under one fencing token.
#[derive(Debug)]
pub struct ShardRecovery {
    owned_since: Millis,
    phase: RecoveryPhase,
    /// Revision of the last page of records that was read; 0 before it was read.
    revision: u64,
    counts: ReconciliationCounts,
    /// Number of attempts that the records listed.
    recorded: u32,
}

impl ShardRecovery {
    /// Begins the recovery of a shard that this node has owned since `now`.
    pub fn new(now: Millis) -> ShardRecovery {
        ShardRecovery {
            owned_since: now,
            phase: RecoveryPhase::ReadingRecords,
            revision: 0,
            counts: ReconciliationCounts::default(),
            recorded: 0,
        }
    }

    /// Records that the last page of the placement records has been read. The read began after
    /// this node became the owner, and the fencing token rejects all writes of former owners, so
    /// the records list everything that may be on the shard's machines.
    pub fn records_read(&mut self, revision: u64, recorded: u32) {
        self.revision = revision;
        self.recorded = recorded;
        self.phase = RecoveryPhase::Reconciling;
    }

    /// Counts the verdict on a recorded attempt.
    pub fn count_verdict(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Present | Verdict::Succeeded => self.counts.confirmed += 1,
            Verdict::Absent | Verdict::Undelivered => self.counts.absent += 1,
            Verdict::Pending => {}
        }
    }

    /// Counts recorded attempts that ended with their worker's lease or with their machine.
    pub fn count_lease_ended(&mut self, attempts: u32) {
        self.counts.lease_ended += attempts;
    }

    /// Counts an attempt that no record lists.
    pub fn count_unrecorded(&mut self) {
        self.counts.unrecorded += 1;
    }

    /// Whether there may still be attempts that are neither confirmed nor proven gone.
    pub fn is_reconciling(&self) -> bool {
        self.phase == RecoveryPhase::Reconciling
    }

    /// Ends the reconciliation if every attempt is confirmed or proven gone. Returns whether this
    /// call ended it.
    pub fn finish_if_reconciled(&mut self, unreconciled_attempts: usize) -> bool {
        let finishes = self.is_reconciling() && unreconciled_attempts == 0;
        if finishes {
            self.phase = RecoveryPhase::Reconciled;
        }
        finishes
    }

    /// Returns the current phase.
    pub fn phase(&self) -> RecoveryPhase {
        self.phase
    }

    /// Time since this node became the owner of the shard.
    pub fn age_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.owned_since)
    }

    /// Time at which this node became the owner of the shard.
    pub fn owned_since(&self) -> Millis {
        self.owned_since
    }

    /// Revision of the last page of records that was read; 0 before it was read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Number of attempts that the records listed.
    pub fn recorded(&self) -> u32 {
        self.recorded
    }

    /// Numbers of attempts reconciled so far.
    pub fn counts(&self) -> ReconciliationCounts {
        self.counts
    }
}
