//! Responses with a job's state, and refusals.

use crate::core::common::context::NodeContext;
use crate::model::JobIndex;
use crate::wire::store::JobState;
use crate::wire::users::StatusBody;

/// A permanent refusal of a submission.
#[derive(Debug, Clone)]
pub(super) struct Refusal {
    pub(super) status: u16,
    pub(super) why: String,
    pub(super) field: Option<&'static str>,
}

impl Refusal {
    pub(super) fn new(status: u16, why: impl Into<String>, field: Option<&'static str>) -> Refusal {
        Refusal { status, why: why.into(), field }
    }
}

/// Whether the id belongs to a job of another cell, live or final, that is in memory here.
pub(super) fn is_hosted(context: &NodeContext, id: &str) -> bool {
    context.job_index(id).is_some_and(|index| context.job(index).origin().is_some())
}

/// Returns the index of a job of this cell's users, if it is in memory.
pub(super) fn own_job(context: &NodeContext, id: &str) -> Option<JobIndex> {
    context.job_index(id).filter(|index| context.job(*index).origin().is_none())
}

/// Returns the final state of a job; `None` if the job is live or not in memory.
pub(super) fn final_state(context: &NodeContext, index: Option<JobIndex>) -> Option<JobState> {
    let state = context.job(index?).state.recorded()?;
    (state != JobState::Live).then_some(state)
}

pub(super) fn refuse_unknown(context: &mut NodeContext, request_id: u64) {
    context.refuse(request_id, 404, "no such job", None);
}

/// Refuses a submission whose id belongs to a job of another cell. Cells that share load have a
/// common id space, so the same id is not accepted here as well.
pub(super) fn refuse_taken(context: &mut NodeContext, request_id: u64) {
    context.refuse(request_id, 422, "the id belongs to a job of another cell", Some("name_id"));
}

/// Responds with a job's state under its name in the HTTP interface.
pub(super) fn respond_state(
    context: &mut NodeContext,
    request_id: u64,
    status: u16,
    id: &str,
    state: JobState,
) {
    let count = context.task_counts.get(id);
    let (done, running) = count.map_or((0, 0), |count| (count.done, count.running));
    let known = context.job_index(id).map(|index| context.job(index));
    let tasks = known.map(|job| job.tasks);
    // The job's final state may have become known since `state` was read.
    let state = match known {
        Some(known) if state == JobState::Live => known.state.recorded().unwrap_or(state),
        _ => state,
    };
    let (state, done, running) = match state {
        JobState::Live if running > 0 => ("running", Some(done), Some(running)),
        JobState::Live => ("queued", Some(done), Some(0)),
        JobState::Done => ("done", tasks, Some(0)),
        JobState::Cancelled => ("withdrawn", Some(done), Some(0)),
    };
    context.respond_json(request_id, status, &StatusBody { id, state, done, running });
}
