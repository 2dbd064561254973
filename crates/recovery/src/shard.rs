//! The phase of a block: from reading its records to squared.

use crate::Millis;
use crate::attempt::Verdict;

/// Phases that a block goes through after each grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecoveryPhase {
    /// Its placement records are being read. Reports are answered without orders.
    ReadingRecords,
    /// Some machines have attempts that no report has confirmed or disproved.
    Reconciling,
    /// Every attempt on record is confirmed, disproved or bound by this holder.
    Reconciled,
}

impl RecoveryPhase {
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
        let all = [RecoveryPhase::ReadingRecords, RecoveryPhase::Reconciling, RecoveryPhase::Reconciled];
        all.into_iter().find(|phase| phase.name() == name || phase.former_name() == name)
    }
}

/// Attempts by how they were squared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReconciliationCounts {
    /// On record and listed by a report: they go on.
    pub confirmed: u32,
    /// On record and proven absent by a report.
    pub absent: u32,
    /// On record and gone with their worker's lease, or with their machine.
    pub lease_ended: u32,
    /// Listed by a report and on no record: stopped or cleared.
    pub unrecorded: u32,
}

/// The recovery of one block under one grant.
#[derive(Debug)]
pub struct ShardRecovery {
    since: Millis,
    phase: RecoveryPhase,
    /// Revision of the last page of records that was read.
    revision: u64,
    tally: ReconciliationCounts,
    /// Attempts that the records listed.
    recorded: u32,
}

impl ShardRecovery {
    /// The recovery of a block that was granted at `now`.
    pub fn new(now: Millis) -> ShardRecovery {
        ShardRecovery {
            since: now,
            phase: RecoveryPhase::ReadingRecords,
            revision: 0,
            tally: ReconciliationCounts::default(),
            recorded: 0,
        }
    }

    /// Notes that the last page of the records has been read. The read began after
    /// the grant, whose token shuts out all writes of former holders, so the records
    /// list everything that may be on the block's machines.
    pub fn records_read(&mut self, revision: u64, recorded: u32) {
        self.revision = revision;
        self.recorded = recorded;
        self.phase = RecoveryPhase::Reconciling;
    }

    /// Counts the verdict on an attempt from the records.
    pub fn count(&mut self, verdict: Verdict) {
        match verdict {
            Verdict::Present | Verdict::SuccessKept => self.tally.confirmed += 1,
            Verdict::Absent | Verdict::Undelivered => self.tally.absent += 1,
            Verdict::Pending => {}
        }
    }

    /// Counts attempts from the records that are gone with their worker's lease or
    /// with their machine.
    pub fn count_lease_ended(&mut self, attempts: u32) {
        self.tally.lease_ended += attempts;
    }

    /// Counts an attempt that no record speaks of.
    pub fn count_unrecorded(&mut self) {
        self.tally.unrecorded += 1;
    }

    /// Whether the block still has to look for attempts that are not squared.
    pub fn is_reconciling(&self) -> bool {
        self.phase == RecoveryPhase::Reconciling
    }

    /// Moves on to squared if no attempt is left that is neither confirmed nor
    /// disproved; whether it did.
    pub fn settle(&mut self, unreconciled_attempts: usize) -> bool {
        let settles = self.is_reconciling() && unreconciled_attempts == 0;
        if settles {
            self.phase = RecoveryPhase::Reconciled;
        }
        settles
    }

    /// The present phase.
    pub fn phase(&self) -> RecoveryPhase {
        self.phase
    }

    /// Time since the grant.
    pub fn age_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.since)
    }

    /// When the block was granted.
    pub fn since(&self) -> Millis {
        self.since
    }

    /// Revision of the records that were read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Attempts that the records listed.
    pub fn recorded(&self) -> u32 {
        self.recorded
    }

    /// Attempts squared so far.
    pub fn tally(&self) -> ReconciliationCounts {
        self.tally
    }
}
