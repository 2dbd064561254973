//! Coalesced reads of job records on behalf of requests. Requests for the same job share one
//! read, but no request is served by a read that started before the request arrived.

use super::responses::{Refusal, is_hosted, refuse_taken, refuse_unknown, respond_state};
use super::{READ_UNAVAILABLE, TOO_MANY_REQUESTS, UserApi, UserApiCall};
use crate::core::common::context::NodeContext;
use crate::core::common::job_records::RecordSource;
use crate::core::common::store_keys::job_key;
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::wire::store::{JobRecord, JobState};
use std::collections::HashMap;

/// A request that waits for a read, and the purpose of the read.
#[derive(Debug, Clone)]
pub(super) enum Waiter {
    /// A status request for the job.
    Status { request_id: u64 },
    /// A submission of a job that exists already or may exist. It is answered with the recorded
    /// state.
    Resubmission { request_id: u64 },
    /// A cancellation of the job.
    Cancellation { request_id: u64, attempts: u32 },
    /// A submission that is refused, unless the read shows that the job was accepted before.
    Refusal { request_id: u64, refusal: Refusal },
    /// A pending submission, given by its number, that depends on the job.
    Dependency { submission_number: u64 },
}

/// Result of a read.
#[derive(Debug, Clone, Copy)]
enum ReadOutcome {
    Found {
        state: JobState,
        version: u64,
    },
    /// This cell has no job with the id.
    NotFound,
    /// The read returned nothing that may be relied on.
    Unavailable,
}

/// Requests that wait for reads of one job's record.
#[derive(Debug, Default)]
struct PendingRead {
    /// Requests served by the in-flight read.
    in_flight: Vec<Waiter>,
    /// Requests that arrived after the in-flight read started and need the next one.
    next: Vec<Waiter>,
}

/// In-flight reads by id of the job.
#[derive(Debug, Default)]
pub(super) struct CoalescedReads(HashMap<String, PendingRead>);

impl CoalescedReads {
    /// Adds a waiter and returns whether a read has to be started for it.
    fn add(&mut self, id: &str, waiter: Waiter) -> bool {
        let pending = self.0.entry(id.to_string()).or_default();
        let must_start = pending.in_flight.is_empty();
        if must_start {
            pending.in_flight.push(waiter);
        } else {
            pending.next.push(waiter);
        }
        must_start
    }

    /// Removes and returns the waiters served by the finished read of a job; `None` if there was
    /// no such read.
    fn finish(&mut self, id: &str) -> Option<Vec<Waiter>> {
        Some(std::mem::take(&mut self.0.get_mut(id)?.in_flight))
    }

    /// Moves the waiters that arrived during the finished read to the next one, and returns whether
    /// that read has to be started.
    fn advance(&mut self, id: &str) -> bool {
        let Some(pending) = self.0.get_mut(id) else { return false };
        pending.in_flight = std::mem::take(&mut pending.next);
        let must_start = !pending.in_flight.is_empty();
        if !must_start {
            self.0.remove(id);
        }
        must_start
    }
}

impl UserApi {
    /// Answers the waiter from a read of the job that starts now or later.
    pub(super) fn read(&mut self, context: &mut NodeContext, id: String, waiter: Waiter) {
        if self.is_full() {
            if let Some(request_id) = self.take_request_id(&waiter) {
                context.respond_unavailable(request_id, TOO_MANY_REQUESTS);
            }
            return;
        }
        self.waiting += 1;
        if self.reads.add(&id, waiter) {
            send_read(context, id);
        }
    }

    /// Returns the request of a waiter that is dropped. If the waiter is a pending submission, the
    /// submission is dropped too.
    fn take_request_id(&mut self, waiter: &Waiter) -> Option<u64> {
        match waiter {
            Waiter::Status { request_id }
            | Waiter::Resubmission { request_id }
            | Waiter::Cancellation { request_id, .. }
            | Waiter::Refusal { request_id, .. } => Some(*request_id),
            Waiter::Dependency { submission_number } => {
                self.submissions.take(*submission_number).map(|submission| submission.request_id)
            }
        }
    }

    /// Handles the response to a read and answers the requests that waited for it.
    pub(super) fn on_read(&mut self, context: &mut NodeContext, id: String, response: &StoreResponse) {
        let Some(waiters) = self.reads.finish(&id) else { return };
        self.waiting = self.waiting.saturating_sub(waiters.len());
        let outcome = apply_response(context, &id, response);
        // Waiters that arrived during this read need another one, which may start from here on.
        if self.reads.advance(&id) {
            send_read(context, id.clone());
        }
        for waiter in waiters {
            self.answer(context, &id, waiter, outcome);
        }
    }

    fn answer(&mut self, context: &mut NodeContext, id: &str, waiter: Waiter, outcome: ReadOutcome) {
        match waiter {
            Waiter::Dependency { submission_number } => {
                let is_known = match outcome {
                    ReadOutcome::Found { .. } => Some(true),
                    ReadOutcome::NotFound => Some(false),
                    ReadOutcome::Unavailable => None,
                };
                self.on_dependency_read(context, submission_number, id, is_known);
            }
            Waiter::Cancellation { request_id, attempts } => {
                self.answer_cancellation(context, id, request_id, attempts, outcome);
            }
            Waiter::Status { request_id } => match outcome {
                ReadOutcome::Found { state, .. } => self.answer_found(context, request_id, id, state),
                ReadOutcome::NotFound => refuse_unknown(context, request_id),
                ReadOutcome::Unavailable => {
                    context.respond_unavailable(request_id, READ_UNAVAILABLE);
                }
            },
            Waiter::Resubmission { request_id } => match outcome {
                ReadOutcome::Found { state, .. } => self.answer_found(context, request_id, id, state),
                ReadOutcome::NotFound if is_hosted(context, id) => refuse_taken(context, request_id),
                // If the write of the submission was lost, the user should retry.
                ReadOutcome::NotFound | ReadOutcome::Unavailable => {
                    context.respond_unavailable(request_id, READ_UNAVAILABLE);
                }
            },
            Waiter::Refusal { request_id, refusal } => match outcome {
                ReadOutcome::Found { state, .. } => self.answer_found(context, request_id, id, state),
                ReadOutcome::NotFound => {
                    tracing::debug!(id, why = refusal.why, "submission refused");
                    context.refuse(request_id, refusal.status, &refusal.why, refusal.field);
                }
                ReadOutcome::Unavailable => {
                    context.respond_unavailable(request_id, READ_UNAVAILABLE);
                }
            },
        }
    }

    fn answer_cancellation(
        &mut self,
        context: &mut NodeContext,
        id: &str,
        request_id: u64,
        attempts: u32,
        outcome: ReadOutcome,
    ) {
        match outcome {
            ReadOutcome::Found { state: JobState::Live, version } => {
                self.write_cancellation(context, request_id, id.to_string(), version, attempts);
            }
            ReadOutcome::Found { state, .. } => respond_state(context, request_id, 200, id, state),
            ReadOutcome::NotFound => refuse_unknown(context, request_id),
            ReadOutcome::Unavailable => context.respond_unavailable(request_id, READ_UNAVAILABLE),
        }
    }

    fn answer_found(&mut self, context: &mut NodeContext, request_id: u64, id: &str, state: JobState) {
        if state == JobState::Live {
            self.answer_live(context, request_id, id);
        } else {
            respond_state(context, request_id, 200, id, state);
        }
    }
}

/// Applies the record that was read and returns the outcome of the read. A record that is already
/// out of date is not used as an answer; the user has to retry. For users of this cell, a job that
/// belongs to another cell does not exist.
fn apply_response(context: &mut NodeContext, id: &str, response: &StoreResponse) -> ReadOutcome {
    let found = match response {
        StoreResponse::KeyValue(item) => item.value.decode::<JobRecord>().ok().and_then(|record| {
            let state = record.state;
            let is_current = context.apply_job_record(id, record, item.version, RecordSource::Single);
            is_current.then_some(ReadOutcome::Found { state, version: item.version })
        }),
        _ => None,
    };
    if is_hosted(context, id) {
        return ReadOutcome::NotFound;
    }
    match (found, response) {
        (Some(found), _) => found,
        (None, StoreResponse::NotFound) => ReadOutcome::NotFound,
        (None, _) => ReadOutcome::Unavailable,
    }
}

fn send_read(context: &mut NodeContext, id: String) {
    let key = job_key(&id);
    context
        .send_store_request(StoreCallOwner::UserApi(UserApiCall::Read { id }), StoreRequest::Get(key));
}
