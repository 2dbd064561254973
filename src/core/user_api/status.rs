//! Status requests for jobs.

use super::reads::Waiter;
use super::responses::{final_state, is_hosted, refuse_unknown, respond_state};
use super::{NO_CONTROL_LEASE, TOO_MANY_REQUESTS, UserApi, UserApiCall, WRITE_UNAVAILABLE, write_job};
use crate::core::StoreResponse;
use crate::core::common::context::NodeContext;
use crate::core::common::job_records::RecordSource;
use crate::core::common::store_keys::job_key;
use crate::wire::store::{JobRecord, JobState};
use crate::wire::users::valid_id;

impl UserApi {
    /// Handles a status request for the job with this id.
    pub(crate) fn status(&mut self, context: &mut NodeContext, request_id: u64, id: &str) {
        if !valid_id(id) || is_hosted(context, id) {
            return refuse_unknown(context, request_id);
        }
        if let Some(state) = final_state(context, context.job_index(id)) {
            return respond_state(context, request_id, 200, id, state);
        }
        self.read(context, id.to_string(), Waiter::Status { request_id });
    }

    /// Answers a request for a job that was read as live. If a dependency of the job is cancelled,
    /// the job's own cancellation is written first.
    pub(super) fn answer_live(&mut self, context: &mut NodeContext, request_id: u64, id: &str) {
        let Some(index) = context.job_index(id) else {
            return context.respond_unavailable(request_id, "not known yet");
        };
        let job = context.job(index);
        let (version, tasks) = (job.version, job.tasks);
        let has_cancelled_dependency = job.links.has_cancelled_dependency;
        if job.links.unfinished_dependencies > 0 {
            if !context.has_control_lease() {
                return context.respond_unavailable(request_id, NO_CONTROL_LEASE);
            }
            // A dependency that is not in memory may have been cancelled long ago.
            if !context.jobs.unread().is_empty() {
                return context.respond_unavailable(request_id, "what it awaits is not known yet");
            }
        }
        if !has_cancelled_dependency {
            return respond_state(context, request_id, 200, id, JobState::Live);
        }
        if self.is_full() {
            return context.respond_unavailable(request_id, TOO_MANY_REQUESTS);
        }
        self.waiting += 1;
        let waiters = self.cascades.entry(id.to_string()).or_default();
        waiters.push(request_id);
        if waiters.len() == 1 {
            let call = UserApiCall::WriteCascadingCancellation { id: id.to_string() };
            write_job(context, call, job_key(id), version, &JobRecord::cancelled(tasks));
        }
    }

    /// Handles the response to the write of a cascading cancellation.
    pub(super) fn on_cascaded(&mut self, context: &mut NodeContext, id: &str, response: &StoreResponse) {
        let waiters = self.cascades.remove(id).unwrap_or_default();
        self.waiting = self.waiting.saturating_sub(waiters.len());
        if let StoreResponse::Committed { revision } = response {
            apply_cancellation(context, id, *revision);
        }
        for request_id in waiters {
            match response {
                StoreResponse::Committed { .. } => {
                    respond_state(context, request_id, 200, id, JobState::Cancelled);
                }
                StoreResponse::Conflict(_) | StoreResponse::OutcomeUnknown => {
                    self.read(context, id.to_string(), Waiter::Status { request_id });
                }
                _ => context.respond_unavailable(request_id, WRITE_UNAVAILABLE),
            }
        }
    }
}

/// Applies a cancellation that this node has written, and queues it for announcement to the other
/// nodes.
pub(super) fn apply_cancellation(context: &mut NodeContext, id: &str, revision: u64) {
    context.apply_job_record(id, JobRecord::cancelled(0), revision, RecordSource::Single);
    context.cancellations_to_announce.push(id.to_string());
}
