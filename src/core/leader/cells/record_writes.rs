//! Writes the records of jobs that move between cells, and the leases of other cells. Each write is
//! conditional on this leader's term and on the last known version of the record.

use super::Cells;
use super::move_log::log_record;
use crate::core::common::context::NodeContext;
use crate::core::common::job_records::RecordSource;
use crate::core::common::store_keys::job_key;
use crate::core::leader::{Leader, LeaderCall};
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{JobIndex, Ms};
use crate::wire::encoded::Encoded;
use crate::wire::store::{Compare, CompareAndSwap, JobRecord, Mutation};
use woadlever_cells::event::MoveEvent;
use woadlever_cells::record::CellLease;

/// Delay before a write that was not committed is retried.
pub(super) const RETRY_MS: Ms = 500;

/// Purpose of a call to the key-value store.
#[derive(Debug)]
pub(crate) enum CellCall {
    /// Starts to forward a job of this cell.
    Forward {
        /// The job.
        job: JobIndex,
    },
    /// Changes the record of a job that is already forwarded or hosted.
    ChangeRecord(Box<RecordChange>),
    /// Creates the first record of another cell's job: a hosted job or a tombstone.
    CreateRecord {
        /// Id of the job.
        id: String,
        /// The new record.
        record: Box<JobRecord>,
    },
    /// Extends the lease under which this cell runs the jobs of another cell.
    ExtendLease {
        /// Name of the origin cell.
        cell: String,
        /// The extended lease.
        lease: CellLease,
    },
}

/// A change of the record of a job that moves between cells.
#[derive(Debug)]
pub(crate) struct RecordChange {
    /// The job.
    pub(super) job: JobIndex,
    /// The job's new record.
    pub(super) record: JobRecord,
    /// The event that is logged once the change is committed.
    pub(super) event: MoveEvent,
}

/// State of a record write that has been sent at least once but not committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteState {
    /// The write is in flight.
    InFlight,
    /// The write was not committed and may be retried from this time on.
    RetryAt(Ms),
}

impl WriteState {
    /// Whether the write may be retried now.
    pub(super) fn is_due(self, now: Ms) -> bool {
        matches!(self, WriteState::RetryAt(at) if now >= at)
    }

    /// Returns the state after a write that was not committed.
    pub(super) fn after_failure(context: &mut NodeContext) -> WriteState {
        let pause = context.retry_ms(RETRY_MS);
        WriteState::RetryAt(context.clock.now() + pause)
    }
}

/// Returns a request that puts a value under a key if the key still has this version, where 0
/// stands for a missing key.
pub(super) fn put_if_unchanged(
    leader: &Leader,
    key: String,
    version: u64,
    value: Encoded,
) -> CompareAndSwap {
    CompareAndSwap {
        compares: vec![leader.compare_term(), Compare { key: key.clone(), version }],
        mutations: vec![Mutation::Put { key, value, lease: None }],
    }
}

/// Returns a request that changes a job's record if it still has the last known version.
pub(super) fn record_change(
    leader: &Leader,
    context: &NodeContext,
    job: JobIndex,
    record: &JobRecord,
) -> CompareAndSwap {
    let key = job_key(context.jobs.id(job));
    put_if_unchanged(leader, key, context.job(job).version, Encoded::new(record))
}

/// Sends a write to the store.
pub(super) fn send_write(context: &mut NodeContext, call: CellCall, write: CompareAndSwap) {
    context.send_store_request(
        StoreCallOwner::Leader(LeaderCall::Cells(call)),
        StoreRequest::CompareAndSwap(write),
    );
}

impl Cells {
    /// Takes a token for a write that moves a job between cells. Returns false if no such write may
    /// be sent now.
    pub(super) fn try_take_write_token(&mut self, context: &mut NodeContext) -> bool {
        let now = context.clock.now();
        let can_send = context.can_write(1) && self.write_limit.has_tokens(now, 1.0);
        if can_send {
            self.write_limit.take(now, 1.0);
        }
        can_send
    }

    /// Writes a change of a job's record, unless an earlier change is in flight or waits for its
    /// retry.
    pub(super) fn change_record(
        &mut self,
        leader: &Leader,
        context: &mut NodeContext,
        change: RecordChange,
    ) {
        let state = self.record_changes.get(&change.job);
        let is_due = state.is_none_or(|state| state.is_due(context.clock.now()));
        if !is_due || !context.can_write(1) {
            return;
        }
        self.record_changes.insert(change.job, WriteState::InFlight);
        let write = record_change(leader, context, change.job, &change.record);
        send_write(context, CellCall::ChangeRecord(Box::new(change)), write);
    }

    /// Handles the result of the write sent by [`Cells::change_record`].
    pub(super) fn on_record_changed(
        &mut self,
        context: &mut NodeContext,
        change: RecordChange,
        result: &StoreResponse,
    ) {
        let RecordChange { job, record, event } = change;
        if let StoreResponse::Committed { revision } = result {
            self.record_changes.remove(&job);
            let id = context.jobs.id(job).to_string();
            log_record(&id, &record, event);
            context.apply_job_record(&id, record, *revision, RecordSource::Single);
        } else {
            self.record_changes.insert(job, WriteState::after_failure(context));
        }
    }
}
