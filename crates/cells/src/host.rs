//! The host's side: whether a job of another cell is accepted, kept or given back.
//!
//! The functions only decide; the host's leader executes the decisions and reports to the
//! origin.

use crate::Millis;
use crate::message::{HostedPhase, NEVER_RETRY};

/// How the newest message of the origin lists a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// The host may run the job.
    Active,
    /// The host must give the job back.
    Recalled,
    /// The job is not listed: it has ended, or the origin no longer wants the host to run it.
    Absent,
}

/// State of the host's own record of a job, as it concerns the listed epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostRecord {
    /// No record is known, or only the tombstone of an earlier epoch of which no attempt is left
    /// on a machine. A write that is conditional on this fails if there is a newer record.
    Unknown,
    /// The record makes it impossible to host the job under the listed epoch. It belongs to a job
    /// of this cell or of another origin cell with the same id, or to any other epoch of this job.
    /// The exception is the tombstone of an earlier epoch without attempts, which is
    /// [`HostRecord::Unknown`].
    Conflicting,
    /// The job was accepted and is not done.
    Live {
        /// Number of tasks that are done.
        done: u32,
        /// Number of tasks that are running.
        running: u32,
    },
    /// All tasks are done.
    Done,
    /// The job was cancelled here, or never accepted.
    Tombstone {
        /// Whether an attempt at one of its tasks may still be on a machine.
        has_attempts: bool,
    },
}

/// Whether a job may be accepted now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// There is capacity.
    Accept,
    /// No decision is possible yet, for one of two reasons. The lease that the origin offers may
    /// have ended; this includes an origin that can't grant one, because its leader has not
    /// received a message from this cell or renewed its own control lease, or because this cell
    /// takes too long to stop tasks. Or this cell does not know its machine types yet.
    Undecided,
    /// There is no capacity now.
    Refuse {
        /// Time after which the origin should offer a job again.
        retry_after_ms: Millis,
    },
    /// The job can never run here.
    Unfit,
}

/// The host's next write for a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostStep {
    /// Write nothing.
    Wait,
    /// Write the job's record, on condition that there is none or only the known tombstone.
    Accept,
    /// Write a tombstone, on the same condition, so that an offer that is still in flight is
    /// not accepted.
    Tombstone,
    /// End a live job by turning its record into a tombstone.
    Cancel,
}

/// The host's decision on a job that the origin lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostDecision {
    /// The host's next write.
    pub step: HostStep,
    /// Phase that the host reports to the origin; none while its own record is not settled.
    pub phase: Option<HostedPhase>,
}

impl HostDecision {
    /// A decision that writes nothing and reports `phase` to the origin.
    fn report(phase: HostedPhase) -> HostDecision {
        HostDecision { step: HostStep::Wait, phase: Some(phase) }
    }

    /// A decision that takes `step` and reports nothing to the origin.
    fn step(step: HostStep) -> HostDecision {
        HostDecision { step, phase: None }
    }
}

/// Decides what the host writes for a job and what it reports to the origin. `admission` matters
/// only for an active job whose record is [`HostRecord::Unknown`].
pub fn decide(listing: Listing, record: HostRecord, admission: Admission) -> HostDecision {
    match (listing, record) {
        (_, HostRecord::Done) => HostDecision::report(HostedPhase::Done),
        (_, HostRecord::Conflicting) => HostDecision::report(HostedPhase::Released),
        (_, HostRecord::Tombstone { has_attempts: true }) => HostDecision::step(HostStep::Wait),
        (_, HostRecord::Tombstone { has_attempts: false }) => {
            HostDecision::report(HostedPhase::Released)
        }
        (Listing::Active, HostRecord::Live { done, running }) => {
            HostDecision::report(HostedPhase::Live { done, running })
        }
        (Listing::Recalled | Listing::Absent, HostRecord::Live { .. }) => {
            HostDecision::step(HostStep::Cancel)
        }
        (Listing::Active, HostRecord::Unknown) => admit(admission),
        (Listing::Recalled, HostRecord::Unknown) => HostDecision::step(HostStep::Tombstone),
        (Listing::Absent, HostRecord::Unknown) => HostDecision::step(HostStep::Wait),
    }
}

/// Decides on an active job whose record is [`HostRecord::Unknown`].
fn admit(admission: Admission) -> HostDecision {
    match admission {
        Admission::Accept => HostDecision::step(HostStep::Accept),
        Admission::Undecided => HostDecision::step(HostStep::Wait),
        Admission::Refuse { retry_after_ms } => {
            HostDecision::report(HostedPhase::Refused { retry_after_ms })
        }
        Admission::Unfit => HostDecision::report(HostedPhase::Refused { retry_after_ms: NEVER_RETRY }),
    }
}

/// State of a hosted job according to the origin's newest message and the host's own record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedRecord {
    /// How the message lists the job.
    pub listing: Listing,
    /// State of the record.
    pub record: HostRecord,
}

/// Whether the lease of an origin may be extended by its newest message, from which the listings
/// in `hosted` are taken. One lease covers all hosted jobs of the origin, so it must not be
/// extended before every job that the message no longer lists as active is durably cancelled.
pub fn may_extend_lease(mut hosted: impl Iterator<Item = ListedRecord>) -> bool {
    hosted.all(|job| job.listing == Listing::Active || !matches!(job.record, HostRecord::Live { .. }))
}
