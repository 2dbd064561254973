//! Collects the moves of jobs between cells from the logs of all cells.

use crate::log_line::MoveStep;
use std::collections::BTreeMap;
use woadlever_cells::event::MoveEvent;

/// One attempt to run a job in another cell.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// Id of the job.
    pub job: String,
    /// Name of the host cell, from the origin's log. If only the host's log is available, this is
    /// the name of the origin cell.
    pub cell: String,
    /// Epoch of the forwarding.
    pub epoch: u64,
    /// Time at which each step was first logged, in milliseconds.
    pub steps: BTreeMap<MoveEvent, i64>,
}

/// How a move ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The job completed in the host cell.
    Done,
    /// The job returned to its origin, and the host confirmed the release.
    Returned,
    /// The origin reclaimed the job without a confirmation, once the host's lease must have
    /// ended.
    Reclaimed,
    /// The logs end before the move does.
    Unfinished,
}

impl Outcome {
    /// All outcomes, in the order in which the page lists them.
    pub const ALL: [Outcome; 4] =
        [Outcome::Done, Outcome::Returned, Outcome::Reclaimed, Outcome::Unfinished];

    /// Label on the page.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Done => "completed at the host",
            Outcome::Returned => "returned",
            Outcome::Reclaimed => "reclaimed from a silent cell",
            Outcome::Unfinished => "unfinished",
        }
    }
}

impl Move {
    fn new(step: &MoveStep) -> Move {
        let (job, cell) = (step.job.clone(), step.cell.clone());
        Move { job, cell, epoch: step.epoch, steps: BTreeMap::new() }
    }

    /// Time of the first step, in milliseconds.
    pub fn began_ms(&self) -> i64 {
        self.steps.values().copied().min().unwrap_or(0)
    }

    /// How the move ended.
    pub fn outcome(&self) -> Outcome {
        match self.final_step() {
            Some(MoveEvent::Done) => Outcome::Done,
            Some(MoveEvent::Returned) => Outcome::Returned,
            Some(_) => Outcome::Reclaimed,
            None => Outcome::Unfinished,
        }
    }

    /// Time at which the move ended, in milliseconds.
    pub fn ended_ms(&self) -> Option<i64> {
        self.final_step().and_then(|event| self.steps.get(&event).copied())
    }

    /// The step that ended the move.
    fn final_step(&self) -> Option<MoveEvent> {
        let final_steps = [MoveEvent::Done, MoveEvent::Returned, MoveEvent::Reclaimed];
        final_steps.into_iter().find(|event| self.steps.contains_key(event))
    }

    /// Why the origin recalled the job, if it did.
    pub fn recall_reason(&self) -> Option<MoveEvent> {
        let reasons = [
            MoveEvent::RecalledRefused,
            MoveEvent::RecalledUnfit,
            MoveEvent::RecalledSilent,
            MoveEvent::RecalledIdle,
        ];
        reasons.into_iter().find(|reason| self.steps.contains_key(reason))
    }
}

/// Identifies a move.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MoveKey {
    job: String,
    epoch: u64,
}

/// All moves. Steps from the logs of the origin and the host are merged into one move.
#[derive(Debug, Default)]
pub struct Moves(BTreeMap<MoveKey, Move>);

impl Moves {
    /// Adds a step, to an existing move if there is one.
    pub fn add(&mut self, at_ms: i64, step: &MoveStep) {
        let key = MoveKey { job: step.job.clone(), epoch: step.epoch };
        let recorded = self.0.entry(key).or_insert_with(|| Move::new(step));
        if step.event == MoveEvent::Forwarded {
            recorded.cell.clone_from(&step.cell);
        }
        let first = recorded.steps.entry(step.event).or_insert(at_ms);
        *first = (*first).min(at_ms);
    }

    /// Whether there are no moves.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns all moves, sorted by their start, with times relative to `start_ms`.
    pub fn into_list(self, start_ms: i64) -> Vec<Move> {
        let mut moves: Vec<Move> = self.0.into_values().collect();
        for at in moves.iter_mut().flat_map(|moved| moved.steps.values_mut()) {
            *at -= start_ms;
        }
        moves.sort_by_key(|moved| (moved.began_ms(), moved.job.clone()));
        moves
    }
}
