//! Builds the history of a cluster from the logs of all its nodes.

use crate::log_line::{self, Event, LineError, LoadShedding, LogLine, PhaseEntered};
use crate::moves::{Move, Moves};
use std::collections::BTreeMap;
use thiserror::Error;
use woadlever_recovery::shard::{ReconciliationCounts, RecoveryPhase};

/// Error from reading the logs. `Display` includes the names of the files and, for a malformed
/// line, its number.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum HistoryError {
    /// A line about recovery, overload or cells is malformed.
    #[error("{file}:{line}: {error}")]
    Line {
        /// Name of the log file.
        file: String,
        /// Line number, beginning at 1.
        line: usize,
        /// What is wrong with the line.
        error: LineError,
    },
    /// No line of any log is about recovery or cells.
    #[error("no line about recovery or cells in {0}")]
    NothingFound(String),
}

/// The log of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Log {
    /// Name of the log, used in errors and on the page.
    pub name: String,
    /// Text of the log.
    pub text: String,
}

/// The recovery of one shard under one fencing token. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovery {
    /// Name of the log that reports the recovery.
    pub log: String,
    /// Name of the shard.
    pub shard: String,
    /// Fencing token under which the shard was owned.
    pub fencing_token: u64,
    /// Time at which the owner noticed that the shard was assigned to it.
    pub assigned_ms: i64,
    /// Time at which all placement records of the shard had been read.
    pub read_ms: Option<i64>,
    /// Time at which the shard's last attempt was reconciled.
    pub reconciled_ms: Option<i64>,
    /// Number of attempts listed by the shard's placement records.
    pub recorded: u64,
    /// Number of attempts by the result of their reconciliation.
    pub counts: ReconciliationCounts,
}

/// A log line about load shedding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadSheddingEntry {
    /// Name of the log that contains the line.
    pub log: String,
    /// Time of the line, in milliseconds.
    pub at_ms: i64,
    /// Load shedding that the line reports.
    pub load_shedding: LoadShedding,
}

/// Events from all logs. Times are in milliseconds since the first line or the first
/// assignment of a shard, whichever is earlier.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Recoveries, sorted by the time of the assignment.
    pub recoveries: Vec<Recovery>,
    /// Lines about load shedding, sorted by time.
    pub load_shedding: Vec<LoadSheddingEntry>,
    /// Moves of jobs between cells, sorted by their start.
    pub moves: Vec<Move>,
    /// Time of the last line about recovery, overload or cells.
    pub end_ms: i64,
}

impl History {
    /// Reads the logs of all nodes.
    pub fn read(logs: &[Log]) -> Result<History, HistoryError> {
        let mut builder = Builder::default();
        for log in logs {
            for (index, text) in log.text.lines().enumerate() {
                let line = log_line::parse(text).map_err(|error| HistoryError::Line {
                    file: log.name.clone(),
                    line: index + 1,
                    error,
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

    /// Sum of the reconciliation counts of all recoveries.
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

/// Identifies a recovery.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RecoveryKey {
    log: String,
    shard: String,
    fencing_token: u64,
}

/// Collects the lines of all logs into a history. Times are Unix times in milliseconds.
#[derive(Debug, Default)]
struct Builder {
    recoveries: BTreeMap<RecoveryKey, Recovery>,
    load_shedding: Vec<LoadSheddingEntry>,
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
            Event::LoadShedding(load_shedding) => {
                self.load_shedding.push(LoadSheddingEntry { log: log.into(), at_ms, load_shedding });
            }
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

    /// Returns the history, with times relative to the first line or the first assignment,
    /// whichever is earlier. Returns `None` if no line is about recovery or cells.
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
        let mut load_shedding = self.load_shedding;
        for entry in &mut load_shedding {
            entry.at_ms -= start_ms;
        }
        load_shedding.sort_by_key(|entry| entry.at_ms);
        let moves = self.moves.into_list(start_ms);
        Some(History { recoveries, load_shedding, moves, end_ms: self.last_ms - start_ms })
    }
}
