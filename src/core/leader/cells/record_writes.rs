//! Writes of the records of jobs that move between cells, and of the leases of other cells.
//! Each one holds only under this leader's term and the version of the record that it knows.

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

/// Pause before a write that was not committed is tried again.
pub(super) const RETRY_MS: Ms = 500;

/// What a call to the key-value store was for.
#[derive(Debug)]
pub(crate) enum CellCall {
    /// A job of this cell begins to be forwarded.
    Forward {
        /// The job.
        job: JobIndex,
    },
    /// A later change of the record of a job that moves.
    ChangeRecord(Box<RecordChange>),
    /// The first record of another cell's job: accepted, or a tombstone.
    CreateRecord {
        /// Id of the job.
        id: String,
        /// What is written.
        record: Box<JobRecord>,
    },
    /// The lease of another cell.
    ExtendLease {
        /// The origin cell.
        cell: String,
        /// What is written.
        lease: CellLease,
    },
}

/// A change of the record of a job that moves.
#[derive(Debug)]
pub(crate) struct RecordChange {
    /// The job.
    pub(super) job: JobIndex,
    /// Its new record.
    pub(super) record: JobRecord,
    /// What the change means.
    pub(super) event: MoveEvent,
}

/// How far the write of a record is that has been tried and is not committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteState {
    /// The result is awaited.
    InFlight,
    /// It was not committed; it may be tried again from this time on.
    RetryAt(Ms),
}

impl WriteState {
    /// Whether the write may be tried now.
    pub(super) fn is_due(self, now: Ms) -> bool {
        matches!(self, WriteState::RetryAt(at) if now >= at)
    }

    /// The state after a write that was not committed.
    pub(super) fn after_failure(context: &mut NodeContext) -> WriteState {
        let pause = context.retry_ms(RETRY_MS);
        WriteState::RetryAt(context.clock.now() + pause)
    }
}

/// Puts a value under a key, if its version is still this one (0: there is none).
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

/// A change of a job's record that holds only for the version that is known here.
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
    /// Whether a write may be sent now that other cells' demand causes; if so, it is counted.
    pub(super) fn may_write(&mut self, context: &mut NodeContext) -> bool {
        let now = context.clock.now();
        let may = context.can_write(1) && self.write_limit.has(now, 1.0);
        if may {
            self.write_limit.take(now, 1.0);
        }
        may
    }

    /// Changes the record of a job, unless an earlier change is under way.
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

    /// Takes in the result of [`Cells::change_record`].
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
