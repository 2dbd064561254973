//! What a leader knows of another cell.

use crate::Millis;
use crate::message::{CellMessage, ForwardedState, HostedJob, HostedPhase, HostedState};
use crate::routing::ClassCapacity;
use std::collections::HashMap;

/// A cell that has been silent for this long is offered nothing, well before its jobs are
/// recalled.
const SUSPECT_AFTER_MS: Millis = 5_000;
/// Longest pause after refusals in a row.
const MAX_BACKOFF_MS: Millis = 120_000;
/// The pause doubles at most this many times.
const MAX_DOUBLINGS: u32 = 6;

/// How a cell looks from here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Heard a moment ago.
    Alive,
    /// Not heard for some seconds: it is offered nothing, and keeps what it has.
    Suspect,
    /// Silent for so long that what it hosts is recalled.
    Silent,
}

/// How far one of our jobs is at another cell.
#[derive(Debug, Clone, Copy)]
struct ReportedJob {
    epoch: u64,
    phase: HostedPhase,
}

/// What another cell has forwarded to this one.
#[derive(Debug, Clone, Copy)]
pub struct Forwarded<'a> {
    /// The jobs, with the lease for them.
    pub state: &'a ForwardedState,
    /// Revision of the other cell's key-value store that this rests on.
    pub revision: u64,
}

/// Another cell.
#[derive(Debug)]
pub struct Neighbor {
    /// When it was last heard. A leader that has just begun counts from its own start.
    heard_at: Millis,
    was_heard: bool,
    term: u64,
    revision: u64,
    forwarded: ForwardedState,
    hosted: HostedState,
    /// What it says of each of our jobs, by id.
    reported: HashMap<String, ReportedJob>,
    /// Refusals since it last ran a job of ours.
    refusals: u32,
    /// No job is offered to it before this time.
    offer_after: Millis,
}

impl Neighbor {
    /// A cell that has not been heard yet.
    pub fn new(now: Millis) -> Neighbor {
        Neighbor {
            heard_at: now,
            was_heard: false,
            term: 0,
            revision: 0,
            forwarded: ForwardedState::default(),
            hosted: HostedState::default(),
            reported: HashMap::new(),
            refusals: 0,
            offer_after: 0,
        }
    }

    /// Takes in a message and returns what it says of our jobs. None: it is older than one
    /// that is known, or of a leader that has been replaced.
    pub fn receive(&mut self, message: CellMessage, now: Millis) -> Option<Vec<HostedJob>> {
        if (message.term, message.revision) < (self.term, self.revision) {
            return None;
        }
        self.term = message.term;
        self.revision = message.revision;
        self.heard_at = now;
        self.was_heard = true;
        self.forwarded = message.forwarded;
        let jobs = message.hosted.jobs.iter();
        self.reported = jobs
            .map(|job| (job.id.clone(), ReportedJob { epoch: job.epoch, phase: job.phase }))
            .collect();
        let HostedState { stop_within_ms, capacity, jobs } = message.hosted;
        self.hosted = HostedState { stop_within_ms, capacity, jobs: Vec::new() };
        Some(jobs)
    }

    /// Time since it was last heard.
    pub fn silent_ms(&self, now: Millis) -> Millis {
        now.saturating_sub(self.heard_at)
    }

    /// How it looks; `silence_ms` is the operators' limit.
    pub fn health(&self, now: Millis, silence_ms: Millis) -> Health {
        match self.silent_ms(now) {
            silent if silent >= silence_ms => Health::Silent,
            silent if silent >= SUSPECT_AFTER_MS || !self.was_heard => Health::Suspect,
            _ => Health::Alive,
        }
    }

    /// What it has forwarded to us; none before it was heard.
    pub fn forwarded(&self) -> Option<Forwarded<'_>> {
        self.was_heard.then_some(Forwarded { state: &self.forwarded, revision: self.revision })
    }

    /// What it has capacity for, and how fast it stops; none before it was heard.
    pub fn hosted(&self) -> Option<&HostedState> {
        self.was_heard.then_some(&self.hosted)
    }

    /// What is left of its capacity until it tells anew.
    pub fn capacity_mut(&mut self) -> &mut [ClassCapacity] {
        &mut self.hosted.capacity
    }

    /// What it says of one of our jobs in this epoch.
    pub fn phase_of(&self, id: &str, epoch: u64) -> Option<HostedPhase> {
        self.reported.get(id).filter(|job| job.epoch == epoch).map(|job| job.phase)
    }

    /// Whether it may be offered a job now.
    pub fn may_be_offered(&self, now: Millis, silence_ms: Millis) -> bool {
        self.health(now, silence_ms) == Health::Alive && now >= self.offer_after
    }

    /// It refused a job: it is offered one again later, the later the more often it refused.
    /// Jobs that were offered together are refused together, which counts once.
    pub fn note_refusal(&mut self, now: Millis, retry_after_ms: Millis) {
        if now < self.offer_after {
            return;
        }
        let factor = 1 << self.refusals.min(MAX_DOUBLINGS);
        self.refusals += 1;
        let pause = retry_after_ms.saturating_mul(factor).min(MAX_BACKOFF_MS);
        self.offer_after = self.offer_after.max(now + pause);
    }

    /// It runs a job of ours.
    pub fn note_success(&mut self) {
        self.refusals = 0;
    }
}
