//! Jobs that moved between cells, from the logs of all cells.

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
    /// All outcomes, in the order in which the page lists them.
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

    /// When it began, in milliseconds.
    pub fn began_ms(&self) -> i64 {
        self.steps.values().copied().min().unwrap_or(0)
    }

    /// How it ended.
    pub fn outcome(&self) -> Outcome {
        match self.last_step() {
            Some(MoveEvent::Done) => Outcome::Done,
            Some(MoveEvent::Returned) => Outcome::Returned,
            Some(_) => Outcome::Reclaimed,
            None => Outcome::Open,
        }
    }

    /// When it ended, in milliseconds.
    pub fn ended_ms(&self) -> Option<i64> {
        self.last_step().and_then(|event| self.steps.get(&event).copied())
    }

    /// The step that ended it.
    fn last_step(&self) -> Option<MoveEvent> {
        let ends = [MoveEvent::Done, MoveEvent::Returned, MoveEvent::Reclaimed];
        ends.into_iter().find(|event| self.steps.contains_key(event))
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

/// What tells moves apart.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MoveKey {
    job: String,
    epoch: u64,
}

/// All moves. The logs of origin and host tell of the same one.
#[derive(Debug, Default)]
pub struct Moves(BTreeMap<MoveKey, Move>);

impl Moves {
    /// Adds a step.
    pub fn add(&mut self, at_ms: i64, step: &MoveStep) {
        let key = MoveKey { job: step.job.clone(), epoch: step.epoch };
        let known = self.0.entry(key).or_insert_with(|| Move::new(step));
        if step.event == MoveEvent::Forwarded {
            known.cell.clone_from(&step.cell);
        }
        let first = known.steps.entry(step.event).or_insert(at_ms);
        *first = (*first).min(at_ms);
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// All moves in the order in which they began, with times from `start_ms` on.
    pub fn into_list(self, start_ms: i64) -> Vec<Move> {
        let mut moves: Vec<Move> = self.0.into_values().collect();
        for at in moves.iter_mut().flat_map(|moved| moved.steps.values_mut()) {
            *at -= start_ms;
        }
        moves.sort_by_key(|moved| (moved.began_ms(), moved.job.clone()));
        moves
    }
}
