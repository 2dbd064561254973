//! Log of the jobs that move between cells, which is parsed by crates/recovery-report.

use crate::wire::store::JobRecord;
use woadlever_cells::event::{LOG_FORMAT, LOG_TARGET, MoveEvent};

/// Logs one step of a job's move between cells.
pub(super) fn log_move(job: &str, cell: &str, epoch: u64, event: MoveEvent) {
    tracing::info!(target: LOG_TARGET, format = LOG_FORMAT, job, cell, epoch, event = event.name(), "move");
}

/// Logs one step of a move, with the cell and the epoch from the job's newly written record.
/// Logs nothing for a record without a forwarding or an origin.
pub(super) fn log_record(job: &str, record: &JobRecord, event: MoveEvent) {
    if let Some(forwarding) = &record.forwarding {
        log_move(job, &forwarding.cell, forwarding.epoch, event);
    } else if let Some(origin) = &record.origin {
        log_move(job, &origin.cell, origin.epoch, event);
    }
}
