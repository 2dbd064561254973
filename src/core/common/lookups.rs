//! Reads the records of jobs that are referred to but not in memory.
//!
//! A job may depend on a job that was done long ago, and a placement record may name a task of a
//! job that has been final for a long time. Neither is among the final jobs that a node keeps in
//! memory (see `job_table`), so their records are read one by one.

use super::store_keys::job_key;
use super::{context::NodeContext, job_records::RecordSource};
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{JobIndex, Ms};
use crate::wire::store::JobRecord;
use rustc_hash::FxHashSet;

/// Maximum number of concurrent reads.
const MAX_IN_FLIGHT: usize = 8;
const RETRY_MS: Ms = 250;

/// A read of the record of the job with this index.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LookupCall(pub JobIndex);

/// In-flight reads of single records.
#[derive(Debug, Default)]
pub(crate) struct Lookups {
    in_flight: FxHashSet<JobIndex>,
    retry_at: Ms,
}

impl Lookups {
    /// Starts the reads that are due. None are started before the full read of the records has
    /// finished, since that may deliver all of them.
    pub(crate) fn poll(&mut self, context: &mut NodeContext) {
        if context.jobs.watched_revision().is_none() || context.clock.now() < self.retry_at {
            return;
        }
        let free = MAX_IN_FLIGHT.saturating_sub(self.in_flight.len());
        let unread = context.jobs.unread().iter().copied();
        let due: Vec<JobIndex> =
            unread.filter(|index| !self.in_flight.contains(index)).take(free).collect();
        for index in due {
            self.in_flight.insert(index);
            let key = job_key(context.jobs.id(index));
            context
                .send_store_request(StoreCallOwner::Lookup(LookupCall(index)), StoreRequest::Get(key));
        }
    }

    /// Handles the response to a read.
    pub(crate) fn on_store_response(
        &mut self,
        context: &mut NodeContext,
        call: LookupCall,
        result: StoreResponse,
    ) {
        let LookupCall(index) = call;
        self.in_flight.remove(&index);
        let item = match result {
            StoreResponse::KeyValue(item) => item,
            // The job was never accepted, so the record that refers to it was not written by this
            // service.
            StoreResponse::NotFound => return context.jobs.mark_missing(index),
            _ => {
                self.retry_at = context.clock.now() + context.retry_ms(RETRY_MS);
                return;
            }
        };
        let id = context.jobs.id(index).to_string();
        let is_reliable = match item.value.decode::<JobRecord>() {
            Ok(record) => context.apply_job_record(&id, record, item.version, RecordSource::Single),
            Err(error) => {
                tracing::error!(key = item.key, %error, "unreadable record");
                return context.jobs.mark_missing(index);
            }
        };
        if !is_reliable {
            self.retry_at = context.clock.now() + context.retry_ms(RETRY_MS);
        }
    }
}
