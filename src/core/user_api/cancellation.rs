//! Cancellations requested by users.

use super::reads::Waiter;
use super::responses::{final_state, is_hosted, refuse_unknown, respond_state};
use super::status::apply_cancellation;
use super::{UserApi, UserApiCall, WRITE_UNAVAILABLE, write_job};
use crate::core::StoreResponse;
use crate::core::common::context::NodeContext;
use crate::core::common::store_keys::job_key;
use crate::wire::store::{JobRecord, JobState};
use crate::wire::users::valid_id;

/// Maximum number of attempts to write a cancellation before the user is asked to retry later.
const MAX_ATTEMPTS: u32 = 4;

impl UserApi {
    /// Cancels the job with this id.
    pub(crate) fn cancel(&mut self, context: &mut NodeContext, request_id: u64, id: &str) {
        if !valid_id(id) || is_hosted(context, id) {
            return refuse_unknown(context, request_id);
        }
        let Some(index) = context.job_index(id) else {
            let waiter = Waiter::Cancellation { request_id, attempts: 0 };
            return self.read(context, id.to_string(), waiter);
        };
        match final_state(context, Some(index)) {
            Some(state) => respond_state(context, request_id, 200, id, state),
            None => {
                let version = context.job(index).version;
                self.write_cancellation(context, request_id, id.to_string(), version, 0);
            }
        }
    }

    /// Writes the cancellation of a job whose record has this version.
    pub(super) fn write_cancellation(
        &mut self,
        context: &mut NodeContext,
        request_id: u64,
        id: String,
        version: u64,
        attempts: u32,
    ) {
        if attempts >= MAX_ATTEMPTS || self.is_full() {
            return context.respond_unavailable(request_id, "cancellation not settled yet");
        }
        let key = job_key(&id);
        let tasks = context.job_index(&id).map_or(0, |index| context.job(index).tasks);
        self.waiting += 1;
        let call = UserApiCall::Cancel { request_id, id, attempts };
        write_job(context, call, key, version, &JobRecord::cancelled(tasks));
    }

    /// Handles the response to the write of a cancellation.
    pub(super) fn on_cancelled(
        &mut self,
        context: &mut NodeContext,
        request_id: u64,
        id: String,
        attempts: u32,
        response: &StoreResponse,
    ) {
        self.waiting -= 1;
        match response {
            StoreResponse::Committed { revision } => {
                apply_cancellation(context, &id, *revision);
                respond_state(context, request_id, 200, &id, JobState::Cancelled);
            }
            StoreResponse::Conflict(_) | StoreResponse::OutcomeUnknown => {
                let waiter = Waiter::Cancellation { request_id, attempts: attempts + 1 };
                self.read(context, id, waiter);
            }
            _ => context.respond_unavailable(request_id, WRITE_UNAVAILABLE),
        }
    }
}
