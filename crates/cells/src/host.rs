//! The host's side: whether a job of another cell is accepted, kept or given back.
//!
//! Pure decisions; the host's leader carries them out and tells the origin.

use crate::Millis;
use crate::message::{HostedPhase, NEVER_RETRY};

/// What the newest message of the origin says of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listing {
    /// The host may run it.
    Active,
    /// The host must give it back.
    Recalled,
    /// It is not listed: it has ended, or the origin does not want it run any more.
    Absent,
}

/// What the host's own record of the job says, for the epoch in question.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostRecord {
    /// None that is known, or the tombstone of an earlier epoch; a write that is conditional
    /// on it will tell whether there is a newer one.
    Unknown,
    /// There is one of another job, or an earlier epoch of this one has not ended here: the
    /// job can't be hosted.
    Foreign,
    /// Accepted and not done.
    Live {
        /// Tasks that are done.
        done: u32,
        /// Tasks that run.
        running: u32,
    },
    /// All tasks are done.
    Done,
    /// Cancelled here, or never accepted.
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
    /// It can't be said yet: the lease that the origin offers has ended, or its leader
    /// has not heard of this cell.
    Undecided,
    /// There is no capacity now.
    Refuse {
        /// Time until the origin should offer a job again.
        retry_after_ms: Millis,
    },
    /// The job can never run here.
    Unfit,
}

/// What the host writes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostStep {
    /// Nothing.
    Wait,
    /// The job's record, if there is none or only the tombstone that is known.
    Accept,
    /// A tombstone, under the same condition: an offer that is still on its way must not be
    /// accepted.
    Tombstone,
    /// The end of a live job, as a tombstone.
    Cancel,
}

/// What the host does about a job that the origin lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostDecision {
    /// What it writes.
    pub step: HostStep,
    /// What it tells the origin; nothing while its own record is not settled.
    pub phase: Option<HostedPhase>,
}

impl HostDecision {
    fn tell(phase: HostedPhase) -> HostDecision {
        HostDecision { step: HostStep::Wait, phase: Some(phase) }
    }

    fn write(step: HostStep) -> HostDecision {
        HostDecision { step, phase: None }
    }
}

/// What the host writes, and what it tells the origin. `admission` counts for jobs of which
/// there is no record only.
pub fn decide(listing: Listing, record: HostRecord, admission: Admission) -> HostDecision {
    match (listing, record) {
        (_, HostRecord::Done) => HostDecision::tell(HostedPhase::Done),
        (_, HostRecord::Foreign) => HostDecision::tell(HostedPhase::Released),
        (_, HostRecord::Tombstone { has_attempts: true }) => HostDecision::write(HostStep::Wait),
        (_, HostRecord::Tombstone { has_attempts: false }) => HostDecision::tell(HostedPhase::Released),
        (Listing::Active, HostRecord::Live { done, running }) => {
            HostDecision::tell(HostedPhase::Live { done, running })
        }
        (Listing::Recalled | Listing::Absent, HostRecord::Live { .. }) => {
            HostDecision::write(HostStep::Cancel)
        }
        (Listing::Active, HostRecord::Unknown) => admit(admission),
        (Listing::Recalled, HostRecord::Unknown) => HostDecision::write(HostStep::Tombstone),
        (Listing::Absent, HostRecord::Unknown) => HostDecision::write(HostStep::Wait),
    }
}

/// The decision on a job that was not seen before.
fn admit(admission: Admission) -> HostDecision {
    match admission {
        Admission::Accept => HostDecision::write(HostStep::Accept),
        Admission::Undecided => HostDecision::write(HostStep::Wait),
        Admission::Refuse { retry_after_ms } => {
            HostDecision::tell(HostedPhase::Refused { retry_after_ms })
        }
        Admission::Unfit => HostDecision::tell(HostedPhase::Refused { retry_after_ms: NEVER_RETRY }),
    }
}

/// A hosted job as the newest message of its origin and the host's own record have it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedRecord {
    /// What the message says.
    pub listing: Listing,
    /// What the record says.
    pub record: HostRecord,
}

/// Whether the lease of an origin may be extended by its newest message, which `hosted` rests
/// on: not before every hosted job that the message no longer lists as active is cancelled on
/// record, as the lease is one for all of them.
pub fn may_extend_lease(mut hosted: impl Iterator<Item = ListedRecord>) -> bool {
    hosted.all(|job| job.listing == Listing::Active || !matches!(job.record, HostRecord::Live { .. }))
}
