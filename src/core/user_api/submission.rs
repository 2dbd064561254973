//! Submissions: permanent refusals, jobs that were accepted before, and the write of a new job's
//! record, which is what accepts the job.

use super::reads::Waiter;
use super::responses::{Refusal, final_state, is_hosted, own_job, refuse_taken, respond_state};
use super::{
    NO_CONTROL_LEASE, NOT_SYNCED, READ_UNAVAILABLE, TOO_MANY_REQUESTS, UserApi, UserApiCall,
    WRITE_UNAVAILABLE, write_job,
};
use crate::core::StoreResponse;
use crate::core::common::context::NodeContext;
use crate::core::common::feasibility::check_feasibility;
use crate::core::common::job_table::KnownState;
use crate::core::common::store_keys::job_key;
use crate::model::JobSpec;
use crate::wire::encoded::Encoded;
use crate::wire::store::{JobRecord, JobState};
use crate::wire::users::{InvalidField, Submission, id_of, parse_submission};
use std::collections::HashMap;

/// Number of bytes by which a record may grow when the time of acceptance is set.
const ACCEPTED_AT_BYTES: usize = 16;

/// A submission whose dependencies are being looked up.
#[derive(Debug)]
pub(super) struct PendingSubmission {
    pub(super) request_id: u64,
    id: String,
    spec: JobSpec,
    dependencies: Vec<String>,
}

/// Submissions whose dependencies are being looked up, by number.
#[derive(Debug, Default)]
pub(super) struct PendingSubmissions {
    by_number: HashMap<u64, PendingSubmission>,
    last_number: u64,
}

impl PendingSubmissions {
    fn add(&mut self, submission: PendingSubmission) -> u64 {
        self.last_number += 1;
        self.by_number.insert(self.last_number, submission);
        self.last_number
    }

    pub(super) fn take(&mut self, number: u64) -> Option<PendingSubmission> {
        self.by_number.remove(&number)
    }
}

impl UserApi {
    /// Handles a submission with this body. A job that was accepted before stays accepted, even if a
    /// later body differs or the limits have changed.
    pub(crate) fn submit(&mut self, context: &mut NodeContext, request_id: u64, body: &[u8]) {
        let Submission { id, spec, awaits } = match parse_submission(body) {
            Ok(submission) => submission,
            Err(invalid) => return self.refuse_invalid(context, request_id, body, &invalid),
        };
        if is_hosted(context, &id) {
            return refuse_taken(context, request_id);
        }
        if let Some(index) = context.job_index(&id) {
            return match final_state(context, Some(index)) {
                Some(state) => respond_state(context, request_id, 200, &id, state),
                None => self.read(context, id, Waiter::Resubmission { request_id }),
            };
        }
        if !context.is_synced {
            return context.respond_unavailable(request_id, NOT_SYNCED);
        }
        if context.machine_types.is_empty() {
            return context.respond_unavailable(request_id, "machine types are not known yet");
        }
        let dependencies = match check_new(context, &id, &spec, awaits) {
            Ok(dependencies) => dependencies,
            // Another node may have just accepted the job; only the store can tell.
            Err(refusal) => return self.read(context, id, Waiter::Refusal { request_id, refusal }),
        };
        if !dependencies.is_empty() && !context.has_control_lease() {
            return context.respond_unavailable(request_id, NO_CONTROL_LEASE);
        }
        let submission = PendingSubmission { request_id, id, spec, dependencies };
        self.look_up_dependencies(context, submission);
    }

    /// Refuses a body that can't be parsed, unless its job was accepted before.
    fn refuse_invalid(
        &mut self,
        context: &mut NodeContext,
        request_id: u64,
        body: &[u8],
        invalid: &InvalidField,
    ) {
        let why = format!("{} {}", invalid.field, invalid.why);
        let Some(id) = id_of(body) else {
            return context.refuse(request_id, 400, &why, Some(invalid.field));
        };
        if !context.is_synced {
            return context.respond_unavailable(request_id, NOT_SYNCED);
        }
        if let Some(state) = final_state(context, own_job(context, &id)) {
            return respond_state(context, request_id, 200, &id, state);
        }
        let refusal = Refusal::new(400, why, Some(invalid.field));
        self.read(context, id, Waiter::Refusal { request_id, refusal });
    }

    /// Looks up the next dependency that is not in memory, or creates the job if there is none. A
    /// dependency is reported as unknown only after a read that started after the request arrived,
    /// because the watch may lag.
    fn look_up_dependencies(&mut self, context: &mut NodeContext, submission: PendingSubmission) {
        let is_unknown = |id: &&String| own_job(context, id).is_none();
        match submission.dependencies.iter().find(is_unknown).cloned() {
            None => self.create(context, submission),
            Some(unknown) => {
                let submission_number = self.submissions.add(submission);
                self.read(context, unknown, Waiter::Dependency { submission_number });
            }
        }
    }

    /// Continues a submission whose dependency was read. `is_known` is whether the dependency was
    /// ever accepted, or `None` if the store did not answer.
    pub(super) fn on_dependency_read(
        &mut self,
        context: &mut NodeContext,
        submission_number: u64,
        dependency: &str,
        is_known: Option<bool>,
    ) {
        let Some(submission) = self.submissions.take(submission_number) else { return };
        let request_id = submission.request_id;
        match is_known {
            Some(true) => self.look_up_dependencies(context, submission),
            Some(false) => {
                let why = format!("awaits {dependency}, which was never accepted");
                let refusal = Refusal::new(422, why, Some("awaits"));
                self.read(context, submission.id, Waiter::Refusal { request_id, refusal });
            }
            None => context.respond_unavailable(request_id, READ_UNAVAILABLE),
        }
    }

    /// Writes the record of a new job.
    fn create(&mut self, context: &mut NodeContext, submission: PendingSubmission) {
        let PendingSubmission { request_id, id, mut spec, dependencies } = submission;
        if self.is_full() {
            return context.respond_unavailable(request_id, TOO_MANY_REQUESTS);
        }
        spec.accepted_at_ms = context.clock.wall();
        // A job with a cancelled dependency is still accepted, but no node may ever report it as
        // live: the user may have been told of the dependency's cancellation long ago.
        let record = if has_cancelled(context, &dependencies) {
            JobRecord::cancelled(spec.tasks)
        } else {
            JobRecord::live(spec, &dependencies)
        };
        self.waiting += 1;
        let key = job_key(&id);
        let call = UserApiCall::Submit { request_id, id, state: record.state };
        write_job(context, call, key, 0, &record);
    }

    /// Handles the response to the write of a new job's record.
    pub(super) fn on_submitted(
        &mut self,
        context: &mut NodeContext,
        request_id: u64,
        id: String,
        state: JobState,
        response: &StoreResponse,
    ) {
        self.waiting -= 1;
        match response {
            StoreResponse::Committed { .. } => respond_state(context, request_id, 201, &id, state),
            StoreResponse::Conflict(_) | StoreResponse::OutcomeUnknown => {
                self.read(context, id, Waiter::Resubmission { request_id });
            }
            _ => context.respond_unavailable(request_id, WRITE_UNAVAILABLE),
        }
    }
}

/// Whether one of the jobs is cancelled, or will be because of a cancelled dependency.
fn has_cancelled(context: &NodeContext, ids: &[String]) -> bool {
    ids.iter().filter_map(|id| context.job_index(id)).any(|index| {
        let job = context.job(index);
        job.state == KnownState::Cancelled || job.links.has_cancelled_dependency
    })
}

/// Checks whether the submission of a job that is not known yet can be accepted. Returns the job's
/// dependencies, or the refusal.
fn check_new(
    context: &NodeContext,
    id: &str,
    spec: &JobSpec,
    awaits: Result<Vec<String>, InvalidField>,
) -> Result<Vec<String>, Refusal> {
    let dependencies = awaits.map_err(|invalid| {
        Refusal::new(400, format!("{} {}", invalid.field, invalid.why), Some(invalid.field))
    })?;
    check_size(context, spec, &dependencies)?;
    if dependencies.iter().any(|dependency| dependency == id) {
        return Err(Refusal::new(422, "awaits the job itself", Some("awaits")));
    }
    check_feasibility(context, spec)
        .map_err(|infeasible| Refusal::new(422, infeasible.to_string(), None))?;
    Ok(dependencies)
}

/// Checks that the job's record is within the size limits of the store, both the current and the
/// announced ones.
fn check_size(context: &NodeContext, spec: &JobSpec, dependencies: &[String]) -> Result<(), Refusal> {
    let max_bytes = context.platform.cluster.state.value_bytes();
    let is_too_large = |dependencies: &[String]| {
        let record = Encoded::new(&JobRecord::live(spec.clone(), dependencies));
        record.len() + ACCEPTED_AT_BYTES > max_bytes
    };
    if !is_too_large(dependencies) {
        return Ok(());
    }
    let field = if is_too_large(&[]) { "body" } else { "awaits" };
    Err(Refusal::new(400, format!("{field} is too large to be kept"), Some(field)))
}
