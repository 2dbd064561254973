//! What the lines of all logs say together.

use crate::log_line::{self, Event, LineError, LogLine, PhaseEntered, Shed};
use crate::moves::{Move, Moves};
use std::collections::BTreeMap;
use thiserror::Error;
use woadlever_recovery::shard::{ReconciliationCounts, RecoveryPhase};

/// Why logs can't be used. `Display` names file and line.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum HistoryError {
    /// A line about recovery, overload or cells can't be read.
    #[error("{file}:{line}: {why}")]
    Line {
        /// Name of the log.
        file: String,
        /// Number of the line.
        line: usize,
        /// What is wrong with it.
        why: LineError,
    },
    /// No line in any log is about recovery or cells.
    #[error("no line about recovery or cells in {0}")]
    NothingFound(String),
}

/// The log of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    /// Its name, for errors and on the page.
    pub name: String,
    /// Its text.
    pub text: String,
}

/// The recovery of one shard under one fencing token. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovery {
    /// Name of the log that tells of it.
    pub log: String,
    /// Name of the shard.
    pub shard: String,
    /// Fencing token under which it was owned.
    pub fencing_token: u64,
    /// When the shard was assigned, as its owner noticed.
    pub assigned_ms: i64,
    /// When its records had been read.
    pub read_ms: Option<i64>,
    /// When its last attempt was reconciled.
    pub reconciled_ms: Option<i64>,
    /// Attempts that its records listed.
    pub recorded: u64,
    /// Attempts by how they were reconciled.
    pub counts: ReconciliationCounts,
}

/// What a node has shed in about a second.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShedEntry {
    /// Name of the log that tells of it.
    pub log: String,
    /// Time of the line, in milliseconds.
    pub at_ms: i64,
    /// What was shed.
    pub shed: Shed,
}

/// What all logs say, times in milliseconds since the beginning.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Recoveries in the order in which they began.
    pub recoveries: Vec<Recovery>,
    /// What was shed, in the order of time.
    pub shed: Vec<ShedEntry>,
    /// Jobs that moved between cells, in the order in which they began to.
    pub moves: Vec<Move>,
    /// Time of the last line.
    pub end_ms: i64,
}

impl History {
    /// Reads the logs of all nodes.
    pub fn read(logs: &[Log]) -> Result<History, HistoryError> {
        let mut builder = Builder::default();
        for log in logs {
            for (index, text) in log.text.lines().enumerate() {
                let line = log_line::parse(text).map_err(|why| HistoryError::Line {
                    file: log.name.clone(),
                    line: index + 1,
                    why,
                })?;
                if let Some(line) = line {
                    builder.add(&log.name, line);
                }
            }
        }
        builder.finish().ok_or_else(|| {
            let names: Vec<&str> = logs.iter().map(|log| log.name.as_str()).collect();
            HistoryError::NothingFound(names.join(", "))
        })
    }

    /// Attempts of all recoveries by how they were reconciled.
    pub fn totals(&self) -> ReconciliationCounts {
        let mut totals = ReconciliationCounts::default();
        for counts in self.recoveries.iter().map(|recovery| recovery.counts) {
            totals.confirmed += counts.confirmed;
            totals.absent += counts.absent;
            totals.lease_ended += counts.lease_ended;
            totals.unrecorded += counts.unrecorded;
        }
        totals
    }
}

/// What tells recoveries apart.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RecoveryKey {
    log: String,
    shard: String,
    fencing_token: u64,
}

/// A history while lines are read, with times of day.
#[derive(Debug, Default)]
struct Builder {
    recoveries: BTreeMap<RecoveryKey, Recovery>,
    shed: Vec<ShedEntry>,
    moves: Moves,
    first_ms: Option<i64>,
    last_ms: i64,
}

impl Builder {
    fn add(&mut self, log: &str, line: LogLine) {
        let at_ms = line.at_ms;
        self.first_ms = Some(self.first_ms.map_or(at_ms, |first| first.min(at_ms)));
        self.last_ms = self.last_ms.max(at_ms);
        match line.event {
            Event::Shed(shed) => self.shed.push(ShedEntry { log: log.into(), at_ms, shed }),
            Event::Move(step) => self.moves.add(at_ms, &step),
            Event::Phase(entered) => self.add_phase(log, at_ms, entered),
        }
    }

    fn add_phase(&mut self, log: &str, at_ms: i64, entered: PhaseEntered) {
        let PhaseEntered { shard, fencing_token, phase, age_ms, recorded, counts } = entered;
        let key = RecoveryKey { log: log.into(), shard: shard.clone(), fencing_token };
        let recovery = self.recoveries.entry(key).or_insert_with(|| Recovery {
            log: log.into(),
            shard,
            fencing_token,
            assigned_ms: at_ms - age_ms as i64,
            read_ms: None,
            reconciled_ms: None,
            recorded: 0,
            counts: ReconciliationCounts::default(),
        });
        recovery.recorded = recorded;
        recovery.counts = counts;
        match phase {
            RecoveryPhase::ReadingRecords => {}
            RecoveryPhase::Reconciling => recovery.read_ms = Some(at_ms),
            RecoveryPhase::Reconciled => recovery.reconciled_ms = Some(at_ms),
        }
    }

    /// The history with times since the first line or the first assignment; none if no line
    /// is about recovery or cells.
    fn finish(self) -> Option<History> {
        if self.recoveries.is_empty() && self.moves.is_empty() {
            return None;
        }
        let mut recoveries: Vec<Recovery> = self.recoveries.into_values().collect();
        let earliest = recoveries.iter().map(|recovery| recovery.assigned_ms).min();
        let start_ms = earliest.into_iter().chain(self.first_ms).min().unwrap_or(0);
        for recovery in &mut recoveries {
            recovery.assigned_ms -= start_ms;
            recovery.read_ms = recovery.read_ms.map(|at| at - start_ms);
            recovery.reconciled_ms = recovery.reconciled_ms.map(|at| at - start_ms);
        }
        recoveries.sort_by_key(|recovery| (recovery.assigned_ms, recovery.shard.clone()));
        let mut shed = self.shed;
        for entry in &mut shed {
            entry.at_ms -= start_ms;
        }
        shed.sort_by_key(|entry| entry.at_ms);
        let moves = self.moves.into_list(start_ms);
        Some(History { recoveries, shed, moves, end_ms: self.last_ms - start_ms })
    }
}
