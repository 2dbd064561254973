//! Jobs that moved between cells, as the logs of all cells tell it.

use crate::log_line::MoveStep;
use std::collections::BTreeMap;
use woadlever_cells::event::MoveEvent;

/// One attempt to run a job in another cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Id of the job.
    pub job: String,
    /// The host cell, as the origin names it; the origin, if only the host's log is there.
    pub cell: String,
    /// Epoch of the forwarding.
    pub epoch: u64,
    /// First time of each step, in milliseconds.
    pub steps: BTreeMap<MoveEvent, i64>,
}

/// How a move ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The job was done in the host cell.
    Done,
    /// It came back, confirmed by the host.
    Returned,
    /// It came back after the time of the lease.
    Reclaimed,
    /// The logs end before it does.
    Open,
}

impl Outcome {
    /// All of them.
    pub const ALL: [Outcome; 4] = [Outcome::Done, Outcome::Returned, Outcome::Reclaimed, Outcome::Open];

    /// Its name on the page.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Done => "done there",
            Outcome::Returned => "came back",
            Outcome::Reclaimed => "taken back from a silent cell",
            Outcome::Open => "not over",
        }
    }
}

impl Move {
    fn new(step: &MoveStep) -> Move {
        let (job, cell) = (step.job.clone(), step.cell.clone());
        Move { job, cell, epoch: step.epoch, steps: BTreeMap::new() }
    }

    /// When it began.
    pub fn began_ms(&self) -> i64 {
        self.steps.values().copied().min().unwrap_or(0)
    }

    /// How it ended, and when.
    pub fn outcome(&self) -> (Outcome, Option<i64>) {
        let ends = [
            (MoveEvent::Done, Outcome::Done),
            (MoveEvent::Returned, Outcome::Returned),
            (MoveEvent::Reclaimed, Outcome::Reclaimed),
        ];
        let found = ends
            .into_iter()
            .find_map(|(event, outcome)| self.steps.get(&event).map(|at| (outcome, Some(*at))));
        found.unwrap_or((Outcome::Open, None))
    }

    /// Why it was recalled, if it was.
    pub fn recall(&self) -> Option<MoveEvent> {
        let reasons = [
            MoveEvent::RecalledRefused,
            MoveEvent::RecalledUnfit,
            MoveEvent::RecalledSilent,
            MoveEvent::RecalledIdle,
        ];
        reasons.into_iter().find(|reason| self.steps.contains_key(reason))
    }
}

/// Moves by job and epoch. The logs of origin and host tell of the same one.
#[derive(Debug, Default)]
pub struct Moves(BTreeMap<(String, u64), Move>);

impl Moves {
    /// Takes a line in.
    pub fn add(&mut self, at_ms: i64, step: &MoveStep) {
        let key = (step.job.clone(), step.epoch);
        let known = self.0.entry(key).or_insert_with(|| Move::new(step));
        if step.event == MoveEvent::Forwarded {
            known.cell.clone_from(&step.cell);
        }
        let first = known.steps.entry(step.event).or_insert(at_ms);
        *first = (*first).min(at_ms);
    }

    /// Whether no log tells of any.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All moves in the order in which they began, with times from `start_ms` on.
    pub fn into_list(self, start_ms: i64) -> Vec<Move> {
        let mut moves: Vec<Move> = self.0.into_values().collect();
        for at in moves.iter_mut().flat_map(|one| one.steps.values_mut()) {
            *at -= start_ms;
        }
        moves.sort_by_key(|one| (one.began_ms(), one.job.clone()));
        moves
    }
}
