//! What the lines of all logs say together.

use crate::log_line::{self, Event, LineError, Shed};
use crate::moves::{Move, Moves};
use std::collections::BTreeMap;
use thiserror::Error;
use woadlever_recovery::shard::{ReconciliationCounts, RecoveryPhase};

/// Why logs can't be used. `Display` names file and line.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum HistoryError {
    /// A line about recovery or overload can't be read.
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

/// The recovery of one block under one grant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovery {
    /// Log that tells of it.
    pub log: String,
    /// Name of the block.
    pub shard: String,
    /// Grant under which it was held.
    pub fencing_token: u64,
    /// When the block was granted, as its holder noticed.
    pub granted_ms: i64,
    /// When its records had been read.
    pub read_ms: Option<i64>,
    /// When its last attempt was squared.
    pub squared_ms: Option<i64>,
    /// Attempts that its records listed.
    pub recorded: u64,
    /// Attempts by how they were squared.
    pub tally: ReconciliationCounts,
}

/// What all logs say, times in milliseconds since the first line.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct History {
    /// Recoveries in the order in which they began.
    pub recoveries: Vec<Recovery>,
    /// What was shed, with the log and the time.
    pub shed: Vec<(String, i64, Shed)>,
    /// Jobs that moved between cells, in the order in which they began to.
    pub moves: Vec<Move>,
    /// Time of the last line.
    pub end_ms: i64,
}

impl History {
    /// Reads logs, each a name and its text.
    pub fn read(logs: &[(String, String)]) -> Result<History, HistoryError> {
        let mut recoveries: BTreeMap<(String, String, u64), Recovery> = BTreeMap::new();
        let mut history = History::default();
        let mut moves = Moves::default();
        let mut first: Option<i64> = None;
        for (log, text) in logs {
            for (index, line) in text.lines().enumerate() {
                let read = log_line::parse(line).map_err(|why| HistoryError::Line {
                    file: log.clone(),
                    line: index + 1,
                    why,
                })?;
                let Some(line) = read else { continue };
                first = Some(first.map_or(line.at_ms, |first| first.min(line.at_ms)));
                history.end_ms = history.end_ms.max(line.at_ms);
                match line.event {
                    Event::Shed(shed) => history.shed.push((log.clone(), line.at_ms, shed)),
                    Event::Move(step) => moves.add(line.at_ms, &step),
                    Event::Phase(entered) => {
                        let key = (log.clone(), entered.shard.clone(), entered.fencing_token);
                        let granted_ms = line.at_ms - entered.age_ms as i64;
                        let recovery = recoveries.entry(key).or_insert_with(|| Recovery {
                            log: log.clone(),
                            shard: entered.shard,
                            fencing_token: entered.fencing_token,
                            granted_ms,
                            read_ms: None,
                            squared_ms: None,
                            recorded: 0,
                            tally: ReconciliationCounts::default(),
                        });
                        recovery.recorded = entered.recorded;
                        recovery.tally = entered.tally;
                        match entered.phase {
                            RecoveryPhase::ReadingRecords => {}
                            RecoveryPhase::Reconciling => recovery.read_ms = Some(line.at_ms),
                            RecoveryPhase::Reconciled => recovery.squared_ms = Some(line.at_ms),
                        }
                    }
                }
            }
        }
        history.recoveries = recoveries.into_values().collect();
        if history.recoveries.is_empty() && moves.is_empty() {
            let names: Vec<&str> = logs.iter().map(|(name, _)| name.as_str()).collect();
            return Err(HistoryError::NothingFound(names.join(", ")));
        }
        let earliest = history.recoveries.iter().map(|recovery| recovery.granted_ms).min();
        let start = earliest.into_iter().chain(first).min().unwrap_or(0);
        history.count_from(start);
        history.moves = moves.into_list(start);
        Ok(history)
    }

    fn count_from(&mut self, start: i64) {
        self.end_ms -= start;
        for recovery in &mut self.recoveries {
            recovery.granted_ms -= start;
            recovery.read_ms = recovery.read_ms.map(|at| at - start);
            recovery.squared_ms = recovery.squared_ms.map(|at| at - start);
        }
        self.recoveries.sort_by_key(|recovery| (recovery.granted_ms, recovery.shard.clone()));
        for (_, at, _) in &mut self.shed {
            *at -= start;
        }
        self.shed.sort_by_key(|(_, at, _)| *at);
    }

    /// Attempts of all recoveries by how they were squared.
    pub fn totals(&self) -> ReconciliationCounts {
        let mut totals = ReconciliationCounts::default();
        for tally in self.recoveries.iter().map(|recovery| recovery.tally) {
            totals.confirmed += tally.confirmed;
            totals.absent += tally.absent;
            totals.lease_ended += tally.lease_ended;
            totals.unrecorded += tally.unrecorded;
        }
        totals
    }
}
