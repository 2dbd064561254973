//! The users' side: submission of jobs, status and cancellation.
//!
//! No answer may be older than one that any node gave before. Final states
//! never change and are answered from memory; every other answer rests on a
//! read of the store begun after the request came in. Requests for
//! the same job share one read.
//!
//! A job with dependencies is live only if none of them is cancelled. That is known from
//! the watch, which may lag, but not by more than the control lease: a cancellation that
//! it does not show yet was confirmed to its user less than that ago, well within
//! `cancel_s`. Without the lease there is no answer. Where a dependency is cancelled, the
//! job's own cancellation is written before the answer, so that no other node calls the
//! job live later.
//!
//! This module never changes a job by itself: it writes records, and takes in what was
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

/// More waiting requests than this are turned away at once.
const MAX_WAITING: usize = 400;
const CLEANUP_EVERY_MS: Ms = 10_000;

const TOO_MANY_REQUESTS: &str = "too many requests at once";
const NOT_SYNCED: &str = "not yet in touch with the state service";
const NO_CONTROL_LEASE: &str = "not in touch with the state service";
const WRITE_NOT_TAKEN: &str = "the state service does not take it now";
const READ_NOT_ANSWERED: &str = "the state service does not answer now";

/// A call of the user API to the store.
#[derive(Debug)]
pub(crate) enum UserApiCall {
    /// The record of a new job is written.
    Submit {
        /// The request that submitted it.
        request_id: u64,
        /// Id of the job.
        id: String,
        /// State that the record gives it.
        state: JobState,
    },
    /// The record of this job is read.
    Read {
        /// Id of the job.
        id: String,
    },
    /// The cancellation of this job is written.
    Cancel {
        /// The request that cancels it.
        request_id: u64,
        /// Id of the job.
        id: String,
        /// Earlier attempts at writing it.
        attempts: u32,
    },
    /// The cancellation that this job has from a dependency is written.
    Cascade {
        /// Id of the job.
        id: String,
    },
}

/// Requests of users that wait for the store.
#[derive(Debug, Default)]
pub(super) struct UserApi {
    reads: CoalescedReads,
    submissions: PendingSubmissions,
    /// Requests that wait for a job's cascading cancellation to be written.
    cascades: HashMap<String, Vec<u64>>,
    /// Requests that wait for anything.
    waiting: usize,
    cleanup_at: Ms,
}

impl UserApi {
    /// Drops what is no longer needed for answers.
    pub(super) fn poll(&mut self, context: &mut NodeContext) {
        if context.clock.now() >= self.cleanup_at {
            self.cleanup_at = context.clock.now() + CLEANUP_EVERY_MS;
            context.drop_final_specs();
        }
    }

    /// Takes in the response to a call.
    pub(super) fn on_result(
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
            UserApiCall::Cascade { id } => self.on_cascaded(context, &id, &response),
        }
    }

    fn is_full(&self) -> bool {
        self.waiting >= MAX_WAITING
    }
}

/// Sends a write of a job's record, if it still has this version.
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
