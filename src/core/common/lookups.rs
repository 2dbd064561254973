//! Reads the records of jobs that others refer to and that are not in memory.
//!
//! A job may depend on one that was done long ago, and a placement record may name a
//! task of one that has been final for long. Neither is among the final jobs that
//! a node keeps (see `job_table`), so the record is read by itself.

use super::store_keys::job_key;
use super::{context::NodeContext, job_records::RecordSource};
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{JobIndex, Ms};
use crate::wire::store::JobRecord;
use rustc_hash::FxHashSet;

/// Records read at once.
const MAX_IN_FLIGHT: usize = 8;
const RETRY_MS: Ms = 250;

/// The read of one job's record, by the job's index.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LookupCall(pub JobIndex);

/// Reads of single records on their way.
#[derive(Debug, Default)]
pub(crate) struct Lookups {
    in_flight: FxHashSet<JobIndex>,
    retry_at: Ms,
}

impl Lookups {
    /// Begins the reads that are due. A full read of the records may bring them
    /// all, so it comes first.
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

    /// Takes in the answer to a read.
    pub(crate) fn on_result(
        &mut self,
        context: &mut NodeContext,
        call: LookupCall,
        result: StoreResponse,
    ) {
        let LookupCall(index) = call;
        self.in_flight.remove(&index);
        let item = match result {
            StoreResponse::KeyValue(item) => item,
            // Nobody has accepted it: what refers to it was not written by us.
            StoreResponse::NotFound => return context.jobs.set_read(index),
            _ => {
                self.retry_at = context.clock.now() + context.retry_ms(RETRY_MS);
                return;
            }
        };
        let id = context.jobs.id(index).to_string();
        let taken = match item.value.decode::<JobRecord>() {
            Ok(record) => context.apply_job_record(&id, record, item.version, RecordSource::Single),
            Err(error) => {
                tracing::error!(key = item.key, %error, "unreadable record");
                return context.jobs.set_read(index);
            }
        };
        if !taken {
            self.retry_at = context.clock.now() + context.retry_ms(RETRY_MS);
        }
    }
}
