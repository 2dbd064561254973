//! What a leader knows about another cell.

use crate::Millis;
use crate::message::{CellMessage, ForwardedState, HostedJob, HostedPhase, HostedState};
use crate::routing::ClassCapacity;
use std::collections::HashMap;

/// Silence after which a cell is offered no more jobs. With the default settings, this is well
/// before the jobs that it hosts are recalled.
const SUSPECT_AFTER_MS: Millis = 5_000;
/// Longest backoff after consecutive refusals.
const MAX_BACKOFF_MS: Millis = 120_000;
/// Maximum number of times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 6;

/// Health of another cell as seen from this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// A message of the cell has arrived recently.
    Alive,
    /// No message has arrived for some seconds, or none since this leader started: the cell is
    /// offered no jobs, and keeps those that it hosts.
    Suspect,
    /// No message has arrived for so long that the jobs that the cell hosts are recalled.
    Silent,
}

/// Phase of one of our jobs at another cell, as that cell reported it.
#[derive(Debug, Clone, Copy)]
struct ReportedJob {
    epoch: u64,
    phase: HostedPhase,
}

/// Jobs that another cell has forwarded to this one.
#[derive(Debug, Clone, Copy)]
pub struct Forwarded<'a> {
    /// The jobs, with the lease for them.
    pub state: &'a ForwardedState,
    /// Revision of the other cell's key-value store on which this state is based.
    pub revision: u64,
}

/// Another cell, as its newest message describes it.
#[derive(Debug)]
pub struct Neighbor {
    /// Time at which its newest message arrived; before the first one, the time at which this
    /// leader started.
    last_message_at: Millis,
    has_received: bool,
    term: u64,
    revision: u64,
    forwarded: ForwardedState,
    hosted: HostedState,
    /// Reported state of each of our jobs, by id.
    reported: HashMap<String, ReportedJob>,
    /// Number of refusals since the cell last ran one of our jobs.
    refusals: u32,
    /// Time before which no job is offered to the cell.
    offer_after: Millis,
}

impl Neighbor {
    /// Creates the state of a cell from which no message has arrived yet.
    pub fn new(now: Millis) -> Neighbor {
        Neighbor {
            last_message_at: now,
            has_received: false,
            term: 0,
            revision: 0,
            forwarded: ForwardedState::default(),
            hosted: HostedState::default(),
            reported: HashMap::new(),
            refusals: 0,
            offer_after: 0,
        }
    }

    /// Applies a message and returns the jobs of ours that it reports on. Returns none if the
    /// message is stale: older than the newest known one, or from a leader that has been
    /// replaced.
    pub fn receive(&mut self, message: CellMessage, now: Millis) -> Option<Vec<HostedJob>> {
        if (message.term, message.revision) < (self.term, self.revision) {
            return None;
        }
        self.term = message.term;
        self.revision = message.revision;
        self.last_message_at = now;
        self.has_received = true;
        self.forwarded = message.forwarded;
        let jobs = message.hosted.jobs.iter();
        self.reported = jobs
            .map(|job| (job.id.clone(), ReportedJob { epoch: job.epoch, phase: job.phase }))
            .collect();
        let HostedState { stop_within_ms, capacity, jobs } = message.hosted;
        self.hosted = HostedState { stop_within_ms, capacity, jobs: Vec::new() };
        Some(jobs)
    }

    /// Time since the newest message arrived.
    pub fn silent_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.last_message_at)
    }

    /// Returns the health of the cell. `silence_ms` is the operators' limit for a silent cell.
    pub fn health(&self, now: Millis, silence_ms: Millis) -> Health {
        match self.silent_ms(now) {
            silent if silent >= silence_ms => Health::Silent,
            silent if silent >= SUSPECT_AFTER_MS || !self.has_received => Health::Suspect,
            _ => Health::Alive,
        }
    }

    /// Jobs that the cell has forwarded to us; none before its first message.
    pub fn forwarded(&self) -> Option<Forwarded<'_>> {
        self.has_received.then_some(Forwarded { state: &self.forwarded, revision: self.revision })
    }

    /// The cell's capacity as a host, and the time within which it stops tasks; none before its
    /// first message.
    pub fn hosted(&self) -> Option<&HostedState> {
        self.has_received.then_some(&self.hosted)
    }

    /// Capacity of the cell that is left for further jobs. The caller subtracts what it offers;
    /// the next message replaces the value.
    pub fn capacity_mut(&mut self) -> &mut [ClassCapacity] {
        &mut self.hosted.capacity
    }

    /// Phase that the cell reported for one of our jobs in this epoch.
    pub fn phase_of(&self, id: &str, epoch: u64) -> Option<HostedPhase> {
        self.reported.get(id).filter(|job| job.epoch == epoch).map(|job| job.phase)
    }

    /// Whether the cell may be offered a job now.
    pub fn may_be_offered(&self, now: Millis, silence_ms: Millis) -> bool {
        self.health(now, silence_ms) == Health::Alive && now >= self.offer_after
    }

    /// Records that the cell refused a job, and delays the next offer with exponential backoff.
    /// Jobs that were offered together are refused together, which counts as one refusal.
    pub fn record_refusal(&mut self, now: Millis, retry_after_ms: Millis) {
        if now < self.offer_after {
            return;
        }
        let factor = 1 << self.refusals.min(MAX_DOUBLINGS);
        self.refusals += 1;
        let backoff_ms = retry_after_ms.saturating_mul(factor).min(MAX_BACKOFF_MS);
        self.offer_after = self.offer_after.max(now + backoff_ms);
    }

    /// Records that the cell runs one of our jobs, which resets the backoff.
    pub fn record_success(&mut self) {
        self.refusals = 0;
    }
}
