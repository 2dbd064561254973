//! Reads of jobs' records on behalf of requests. Requests for the same job share one read,
//! but none is served by a read that began before it came in.

use super::responses::{Refusal, is_hosted, refuse_taken, refuse_unknown, respond_state};
use super::{READ_NOT_ANSWERED, TOO_MANY_REQUESTS, UserApi, UserApiCall};
use crate::core::common::context::NodeContext;
use crate::core::common::job_records::RecordSource;
use crate::core::common::store_keys::job_key;
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::wire::store::{JobRecord, JobState};
use std::collections::HashMap;

/// What a request waits for a read for.
#[derive(Debug, Clone)]
pub(super) enum Waiter {
    /// A question about the job.
    Status { request_id: u64 },
    /// A submission of a job that was there already, or may be: it is answered with what
    /// is on record.
    Resubmission { request_id: u64 },
    /// A cancellation of the job.
    Cancellation { request_id: u64, attempts: u32 },
    /// A submission that is refused, unless the job turns out to have been accepted before.
    Refusal { request_id: u64, refusal: Refusal },
    /// The submission of this number depends on the job.
    Dependency { submission: u64 },
}

/// What a read has found.
#[derive(Debug, Clone, Copy)]
enum ReadOutcome {
    Found {
        state: JobState,
        version: u64,
    },
    /// No job of this cell has the id.
    NotFound,
    /// Nothing that may be relied on.
    Unavailable,
}

/// Requests that wait for the record of one job.
#[derive(Debug, Default)]
struct PendingRead {
    /// Served by the read on its way.
    in_flight: Vec<Waiter>,
    /// Came in after it began; need the next.
    next: Vec<Waiter>,
}

/// Reads on their way, by job.
#[derive(Debug, Default)]
pub(super) struct CoalescedReads(HashMap<String, PendingRead>);

impl CoalescedReads {
    /// Adds a waiter; whether a read has to begin for it.
    fn add(&mut self, id: &str, waiter: Waiter) -> bool {
        let pending = self.0.entry(id.to_string()).or_default();
        let begins = pending.in_flight.is_empty();
        if begins {
            pending.in_flight.push(waiter);
        } else {
            pending.next.push(waiter);
        }
        begins
    }

    /// Takes the waiters that the read of a job served; none if there was no such read.
    fn finish(&mut self, id: &str) -> Option<Vec<Waiter>> {
        Some(std::mem::take(&mut self.0.get_mut(id)?.in_flight))
    }

    /// Moves on to those that came in since; whether another read has to begin for them.
    fn advance(&mut self, id: &str) -> bool {
        let Some(pending) = self.0.get_mut(id) else { return false };
        pending.in_flight = std::mem::take(&mut pending.next);
        let continues = !pending.in_flight.is_empty();
        if !continues {
            self.0.remove(id);
        }
        continues
    }
}

impl UserApi {
    /// Answers the waiter by a read of the job that begins from here on.
    pub(super) fn read(&mut self, context: &mut NodeContext, id: String, waiter: Waiter) {
        if self.is_full() {
            if let Some(request_id) = self.request_of(&waiter) {
                context.respond_unavailable(request_id, TOO_MANY_REQUESTS);
            }
            return;
        }
        self.waiting += 1;
        if self.reads.add(&id, waiter) {
            send_read(context, id);
        }
    }

    /// The request behind a waiter. A submission that waits for a dependency is given up.
    fn request_of(&mut self, waiter: &Waiter) -> Option<u64> {
        match waiter {
            Waiter::Status { request_id }
            | Waiter::Resubmission { request_id }
            | Waiter::Cancellation { request_id, .. }
            | Waiter::Refusal { request_id, .. } => Some(*request_id),
            Waiter::Dependency { submission } => {
                self.submissions.take(*submission).map(|submission| submission.request_id)
            }
        }
    }

    /// Takes in the end of a read and answers those who waited for it.
    pub(super) fn on_read(&mut self, context: &mut NodeContext, id: String, response: &StoreResponse) {
        let Some(waiters) = self.reads.finish(&id) else { return };
        self.waiting = self.waiting.saturating_sub(waiters.len());
        let outcome = take_in(context, &id, response);
        // Another read of it may begin from here on.
        if self.reads.advance(&id) {
            send_read(context, id.clone());
        }
        for waiter in waiters {
            self.answer(context, &id, waiter, outcome);
        }
    }

    fn answer(&mut self, context: &mut NodeContext, id: &str, waiter: Waiter, outcome: ReadOutcome) {
        match waiter {
            Waiter::Dependency { submission } => {
                let is_known = match outcome {
                    ReadOutcome::Found { .. } => Some(true),
                    ReadOutcome::NotFound => Some(false),
                    ReadOutcome::Unavailable => None,
                };
                self.on_dependency_read(context, submission, id, is_known);
            }
            Waiter::Cancellation { request_id, attempts } => {
                self.answer_cancellation(context, id, request_id, attempts, outcome);
            }
            Waiter::Status { request_id } => match outcome {
                ReadOutcome::Found { state, .. } => self.answer_found(context, request_id, id, state),
                ReadOutcome::NotFound => refuse_unknown(context, request_id),
                ReadOutcome::Unavailable => {
                    context.respond_unavailable(request_id, READ_NOT_ANSWERED);
                }
            },
            Waiter::Resubmission { request_id } => match outcome {
                ReadOutcome::Found { state, .. } => self.answer_found(context, request_id, id, state),
                ReadOutcome::NotFound if is_hosted(context, id) => refuse_taken(context, request_id),
                // A submission whose write got lost is best tried again.
                ReadOutcome::NotFound | ReadOutcome::Unavailable => {
                    context.respond_unavailable(request_id, READ_NOT_ANSWERED);
                }
            },
            Waiter::Refusal { request_id, refusal } => match outcome {
                ReadOutcome::Found { state, .. } => self.answer_found(context, request_id, id, state),
                ReadOutcome::NotFound => {
                    tracing::debug!(id, why = refusal.why, "submission refused");
                    context.refuse(request_id, refusal.status, &refusal.why, refusal.field);
                }
                ReadOutcome::Unavailable => {
                    context.respond_unavailable(request_id, READ_NOT_ANSWERED);
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
            ReadOutcome::Unavailable => context.respond_unavailable(request_id, READ_NOT_ANSWERED),
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

/// Takes in the record that was read. One that is out of date by now is no answer; the user
/// asks again. To the users of this cell, the job of another is none.
fn take_in(context: &mut NodeContext, id: &str, response: &StoreResponse) -> ReadOutcome {
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
