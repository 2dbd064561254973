//! The user API: submission, status and cancellation of jobs.
//!
//! No answer may be based on older state than an answer that any node gave before. Final states
//! never change and are answered from memory; every other answer is based on a read of the store
//! that was started after the request arrived. Requests for the same job share one read.
//!
//! A job with dependencies is live only if none of them is cancelled. This is known from the
//! watch, which may lag, but by no more than the duration of the control lease. A cancellation
//! that the watch does not show yet was therefore confirmed to its user less than that time ago,
//! well within `cancel_s`. Without a valid control lease the request gets status 503. If a
//! dependency is cancelled, the job's own cancellation is written before the answer is sent, so
//! that no other node reports the job as live later.
//!
//! This module never changes a job directly: it writes records and applies the records that were
//! written.

mod cancellation;
mod reads;
mod responses;
mod status;
mod submission;

use super::common::context::NodeContext;
use super::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::Ms;
use crate::wire::encoded::Encoded;
use crate::wire::store::{Compare, CompareAndSwap, JobRecord, JobState, Mutation};
use reads::CoalescedReads;
use std::collections::HashMap;
use submission::PendingSubmissions;

/// Maximum number of waiting requests. Further requests are rejected immediately.
const MAX_WAITING: usize = 400;
const CLEANUP_INTERVAL_MS: Ms = 10_000;

const TOO_MANY_REQUESTS: &str = "too many requests at once";
const NOT_SYNCED: &str = "not yet in touch with the state service";
const NO_CONTROL_LEASE: &str = "not in touch with the state service";
const WRITE_UNAVAILABLE: &str = "the state service does not take it now";
const READ_UNAVAILABLE: &str = "the state service does not answer now";

/// A call of the user API to the store.
#[derive(Debug)]
pub(crate) enum UserApiCall {
    /// Writes the record of a new job.
    Submit {
        /// Number of the request that submitted the job.
        request_id: u64,
        /// Id of the job.
        id: String,
        /// State of the job according to the record.
        state: JobState,
    },
    /// Reads the record of a job.
    Read {
        /// Id of the job.
        id: String,
    },
    /// Writes the cancellation of a job that a user has requested.
    Cancel {
        /// Number of the request that cancels the job.
        request_id: u64,
        /// Id of the job.
        id: String,
        /// Number of earlier attempts to write the cancellation.
        attempts: u32,
    },
    /// Writes the cancellation of a job that follows from the cancellation of a dependency.
    WriteCascadingCancellation {
        /// Id of the job.
        id: String,
    },
}

/// State of the user API: requests of users that wait for the store.
#[derive(Debug, Default)]
pub(super) struct UserApi {
    reads: CoalescedReads,
    submissions: PendingSubmissions,
    /// Requests that wait for the write of a cascading cancellation, by id of the job.
    cascades: HashMap<String, Vec<u64>>,
    /// Number of requests that wait for any call to the store.
    waiting: usize,
    cleanup_at: Ms,
}

impl UserApi {
    /// Periodically drops data of final jobs that is no longer needed for answers.
    pub(super) fn poll(&mut self, context: &mut NodeContext) {
        if context.clock.now() >= self.cleanup_at {
            self.cleanup_at = context.clock.now() + CLEANUP_INTERVAL_MS;
            context.drop_final_job_data();
        }
    }

    /// Handles the response to a call of the user API.
    pub(super) fn on_store_response(
        &mut self,
        context: &mut NodeContext,
        call: UserApiCall,
        response: StoreResponse,
    ) {
        match call {
            UserApiCall::Submit { request_id, id, state } => {
                self.on_submitted(context, request_id, id, state, &response);
            }
            UserApiCall::Read { id } => self.on_read(context, id, &response),
            UserApiCall::Cancel { request_id, id, attempts } => {
                self.on_cancelled(context, request_id, id, attempts, &response);
            }
            UserApiCall::WriteCascadingCancellation { id } => self.on_cascaded(context, &id, &response),
        }
    }

    fn is_full(&self) -> bool {
        self.waiting >= MAX_WAITING
    }
}

/// Sends a write of a job's record, conditional on the record still having this version.
fn write_job(
    context: &mut NodeContext,
    call: UserApiCall,
    key: String,
    version: u64,
    record: &JobRecord,
) {
    let write = CompareAndSwap {
        compares: vec![Compare { key: key.clone(), version }],
        mutations: vec![Mutation::Put { key, value: Encoded::new(record), lease: None }],
    };
    context.send_store_request(StoreCallOwner::UserApi(call), StoreRequest::CompareAndSwap(write));
}
