//! The write that forwards a job to another cell, until it is certain what became of it.
//!
//! Until then no task of the job may be admitted here, nor may the job be offered again: the
//! write may yet be carried out.

use super::capacity::shape_of;
use super::move_log::log_record;
use super::record_writes::{CellCall, RETRY_MS, record_change, send_write};
use super::{Cells, RECORD_SLACK};
use crate::core::StoreResponse;
use crate::core::common::context::NodeContext;
use crate::core::common::job_records::RecordSource;
use crate::core::leader::Leader;
use crate::model::{JobIndex, JobSpec, Ms};
use crate::wire::encoded::Encoded;
use crate::wire::store::{JobRecord, JobState};
use woadlever_cells::event::MoveEvent;
use woadlever_cells::record::Forwarding;

/// A write that forwards a job.
#[derive(Debug)]
pub(super) struct PendingForward {
    record: JobRecord,
    /// Version of the job's record that the write is conditional on.
    version: u64,
    state: ForwardWrite,
    /// One of the attempts at it may yet be carried out.
    is_uncertain: bool,
}

/// How far that write is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ForwardWrite {
    InFlight,
    /// To be repeated from this time on: with the same condition, so that the repeat settles
    /// what became of the first.
    RetryAt(Ms),
    /// It will never be carried out: the job is as it was.
    NotExecuted,
    /// Another version is on record; the watch will tell which.
    Superseded,
}

impl Cells {
    /// Begins to forward a job. False: its record would be too large.
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
        if Encoded::new(&record).len() + RECORD_SLACK > context.platform.cluster.state.value_bytes() {
            return false;
        }
        if let Some(neighbor) = self.neighbors.get_mut(cell) {
            shape_of(spec).reserve(neighbor.capacity_mut());
        }
        if let Some(live) = leader.jobs.get_mut(&index) {
            live.backoff_until = Ms::MAX;
        }
        let state = ForwardWrite::InFlight;
        let pending = PendingForward { version: job.version, record, state, is_uncertain: false };
        send_forward(leader, context, index, &pending);
        self.pending_forwards.insert(index, pending);
        true
    }

    /// Takes in the result of the write.
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
                ForwardWrite::Superseded
            }
            StoreResponse::Conflict(_) => ForwardWrite::Superseded,
            StoreResponse::NotExecuted | StoreResponse::Malformed if !pending.is_uncertain => {
                ForwardWrite::NotExecuted
            }
            _ => {
                pending.is_uncertain = true;
                ForwardWrite::RetryAt(context.clock.now() + context.retry_ms(RETRY_MS))
            }
        };
    }

    /// Repeats writes that are uncertain, and lets go of jobs whose forwarding is settled.
    pub(super) fn follow_pending_forwards(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        let now = context.clock.now();
        let mut settled = Vec::new();
        for (index, pending) in &mut self.pending_forwards {
            let job = context.job(*index);
            let is_superseded = job.version > pending.version || job.state != JobState::Live;
            if is_superseded || pending.state == ForwardWrite::NotExecuted {
                settled.push(*index);
            } else if matches!(pending.state, ForwardWrite::RetryAt(at) if now >= at) {
                pending.state = ForwardWrite::InFlight;
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

/// The jobs that a job depends on; all of them are done, but the record keeps them.
pub(super) fn dependency_ids(context: &NodeContext, index: JobIndex) -> Vec<String> {
    let dependencies = context.job(index).links.dependencies.iter();
    dependencies.map(|dependency| context.jobs.id(*dependency).to_string()).collect()
}
