//! The host's side: whether a job of another cell is accepted, kept or given back.

use crate::Millis;
use crate::message::HostedPhase;

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
    /// None that is known, or the tombstone of an earlier epoch; a write under the
    /// condition that nothing newer is there will tell.
    Unknown,
    /// There is one of another job, or an earlier epoch of this one is not over here: it
    /// can't be hosted.
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
    /// Withdrawn, or never accepted: the tombstone.
    Withdrawn {
        /// Whether an attempt at one of its tasks may still be on a machine.
        has_attempts: bool,
    },
}

/// Whether a job may be accepted now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// There is room.
    Accept,
    /// It can't be said yet: the lease that the origin offers has ended, or its leader
    /// has not heard of this cell.
    Undecided,
    /// There is no room, or the job can't run here.
    Refuse {
        /// Time until the origin should offer a job again.
        retry_after_ms: Millis,
    },
}

/// What the host writes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HostStep {
    /// Nothing.
    None,
    /// The job's record, under the condition that there is none, or the same tombstone.
    Accept,
    /// A tombstone, under the same condition: an offer that is still on its way must not be
    /// accepted.
    Tombstone,
    /// The end of a live job, as a tombstone.
    Withdraw,
}

/// What the host writes, and what it tells the origin.
pub fn decide(
    listing: Listing,
    record: HostRecord,
    admission: Admission,
) -> (HostStep, Option<HostedPhase>) {
    match (listing, record) {
        (_, HostRecord::Done) => (HostStep::None, Some(HostedPhase::Done)),
        (_, HostRecord::Foreign) => (HostStep::None, Some(HostedPhase::Released)),
        (_, HostRecord::Withdrawn { has_attempts: true }) => (HostStep::None, None),
        (_, HostRecord::Withdrawn { has_attempts: false }) => {
            (HostStep::None, Some(HostedPhase::Released))
        }
        (Listing::Active, HostRecord::Live { done, running }) => {
            (HostStep::None, Some(HostedPhase::Live { done, running }))
        }
        (Listing::Recalled | Listing::Absent, HostRecord::Live { .. }) => (HostStep::Withdraw, None),
        (Listing::Active, HostRecord::Unknown) => match admission {
            Admission::Accept => (HostStep::Accept, None),
            Admission::Undecided => (HostStep::None, None),
            Admission::Refuse { retry_after_ms } => {
                (HostStep::None, Some(HostedPhase::Refused { retry_after_ms }))
            }
        },
        (Listing::Recalled, HostRecord::Unknown) => (HostStep::Tombstone, None),
        (Listing::Absent, HostRecord::Unknown) => (HostStep::None, None),
    }
}

/// Whether the lease of an origin may be extended by its newest message: not before
/// every hosted job that the message no longer lists as active is withdrawn on record,
/// as the lease is one for all of them.
pub fn may_extend_lease(mut hosted: impl Iterator<Item = (Listing, HostRecord)>) -> bool {
    hosted.all(|(listing, record)| {
        listing == Listing::Active || !matches!(record, HostRecord::Live { .. })
    })
}
