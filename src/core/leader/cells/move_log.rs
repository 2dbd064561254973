//! The log of jobs that move between cells, which crates/recovery-report reads.

use crate::wire::store::JobRecord;
use woadlever_cells::event::{LOG_FORMAT, LOG_TARGET, MoveEvent};

/// Logs a step of a move.
pub(super) fn log_move(job: &str, cell: &str, epoch: u64, event: MoveEvent) {
    tracing::info!(target: LOG_TARGET, format = LOG_FORMAT, job, cell, epoch, event = event.name(), "move");
}

/// Logs a step of a move that a job's record, which has just been written, tells of.
pub(super) fn log_record(job: &str, record: &JobRecord, event: MoveEvent) {
    if let Some(forwarding) = &record.forwarding {
        log_move(job, &forwarding.cell, forwarding.epoch, event);
    } else if let Some(origin) = &record.origin {
        log_move(job, &origin.cell, origin.epoch, event);
    }
}
