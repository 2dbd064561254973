//! Tracks the write that forwards a job to another cell until its outcome is known.
//!
//! Until then no task of the job may be admitted here and the job may not be offered again,
//! because the write may still be executed.

use super::capacity::shape_of;
use super::move_log::log_record;
use super::record_writes::{CellCall, RETRY_MS, record_change, send_write};
use super::{Cells, RECORD_SLACK_BYTES};
use crate::core::StoreResponse;
use crate::core::common::context::NodeContext;
use crate::core::common::job_records::RecordSource;
use crate::core::leader::Leader;
use crate::model::{JobIndex, JobSpec, Ms};
use crate::wire::encoded::Encoded;
use crate::wire::store::JobRecord;
use woadlever_cells::event::MoveEvent;
use woadlever_cells::record::Forwarding;

/// A write that forwards a job, tracked until it is settled.
#[derive(Debug)]
pub(super) struct PendingForward {
    record: JobRecord,
    /// Version of the job's record that the write is conditional on.
    version: u64,
    state: ForwardWriteState,
    /// Whether the outcome of an earlier attempt is unknown, so that it may still be executed.
    is_outcome_unknown: bool,
}

/// State of a write that forwards a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ForwardWriteState {
    InFlight,
    /// The write is retried from this time on, under the same condition, so that the result of the
    /// retry shows whether an earlier attempt was executed.
    RetryAt(Ms),
    /// The write will never be executed, so the job is unchanged.
    NotExecuted,
    /// The record has another version, which the watch on the store will deliver.
    Superseded,
}

impl Cells {
    /// Starts to forward a job. Returns false if its record would be too large.
    pub(super) fn forward(
        &mut self,
        leader: &mut Leader,
        context: &mut NodeContext,
        index: JobIndex,
        spec: &JobSpec,
        cell: &str,
    ) -> bool {
        let job = context.job(index);
        let forwarding = Forwarding::begin(cell, job.version, job.forwarding());
        let record = JobRecord::forwarded(spec.clone(), &dependency_ids(context, index), forwarding);
        if Encoded::new(&record).len() + RECORD_SLACK_BYTES
            > context.platform.cluster.state.value_bytes()
        {
            return false;
        }
        if let Some(neighbor) = self.neighbors.get_mut(cell) {
            shape_of(spec).reserve(neighbor.capacity_mut());
        }
        if let Some(live) = leader.jobs.get_mut(&index) {
            live.backoff_until = Ms::MAX;
        }
        let state = ForwardWriteState::InFlight;
        let pending = PendingForward { version: job.version, record, state, is_outcome_unknown: false };
        send_forward(leader, context, index, &pending);
        self.pending_forwards.insert(index, pending);
        true
    }

    /// Handles the result of the write that forwards a job.
    pub(super) fn on_forward_written(
        &mut self,
        context: &mut NodeContext,
        index: JobIndex,
        result: &StoreResponse,
    ) {
        let Some(pending) = self.pending_forwards.get_mut(&index) else { return };
        pending.state = match result {
            StoreResponse::Committed { revision } => {
                let record = pending.record.clone();
                let id = context.jobs.id(index).to_string();
                log_record(&id, &record, MoveEvent::Forwarded);
                context.apply_job_record(&id, record, *revision, RecordSource::Single);
                ForwardWriteState::Superseded
            }
            StoreResponse::Conflict(_) => ForwardWriteState::Superseded,
            StoreResponse::NotExecuted | StoreResponse::Malformed if !pending.is_outcome_unknown => {
                ForwardWriteState::NotExecuted
            }
            _ => {
                pending.is_outcome_unknown = true;
                ForwardWriteState::RetryAt(context.clock.now() + context.retry_ms(RETRY_MS))
            }
        };
    }

    /// Retries writes whose outcome is unknown. Stops tracking settled ones, and ends the backoff of
    /// their jobs.
    pub(super) fn advance_pending_forwards(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        let now = context.clock.now();
        let mut settled = Vec::new();
        for (index, pending) in &mut self.pending_forwards {
            let job = context.job(*index);
            let is_superseded = job.version > pending.version || job.state.is_final();
            if is_superseded || pending.state == ForwardWriteState::NotExecuted {
                settled.push(*index);
            } else if matches!(pending.state, ForwardWriteState::RetryAt(at) if now >= at) {
                pending.state = ForwardWriteState::InFlight;
                send_forward(leader, context, *index, pending);
            }
        }
        for index in settled {
            self.pending_forwards.remove(&index);
            if let Some(job) = leader.jobs.get_mut(&index) {
                job.backoff_until = 0;
            }
        }
    }
}

fn send_forward(leader: &Leader, context: &mut NodeContext, index: JobIndex, pending: &PendingForward) {
    let write = record_change(leader, context, index, &pending.record);
    send_write(context, CellCall::Forward { job: index }, write);
}

/// Returns the ids of the jobs that a job depends on. They are all done, but the job's record
/// still contains them.
pub(super) fn dependency_ids(context: &NodeContext, index: JobIndex) -> Vec<String> {
    let dependencies = context.job(index).links.dependencies.iter();
    dependencies.map(|dependency| context.jobs.id(*dependency).to_string()).collect()
}
