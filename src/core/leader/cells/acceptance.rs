//! Handles the jobs that another cell lists as forwarded to this one: accepts or refuses them, and
//! determines their status for the reply to that cell.

use super::capacity::shape_of;
use super::hosted_jobs::{OriginState, RunningTasks};
use super::move_log::log_record;
use super::record_writes::{CellCall, WriteState, put_if_unchanged, send_write};
use super::{Cells, RECORD_SLACK_BYTES};
use crate::core::StoreResponse;
use crate::core::common::context::NodeContext;
use crate::core::common::feasibility::check_feasibility;
use crate::core::common::job_records::RecordSource;
use crate::core::common::job_table::KnownState;
use crate::core::common::store_keys::job_key;
use crate::core::leader::Leader;
use crate::model::{JobSpec, Ms};
use crate::wire::encoded::Encoded;
use crate::wire::store::{JobRecord, JobState};
use crate::wire::users::{MAX_TASKS, valid_id};
use woadlever_cells::event::MoveEvent;
use woadlever_cells::host::{Admission, HostDecision, HostRecord, HostStep, Listing, decide};
use woadlever_cells::message::{ForwardedJob, HostedJob};
use woadlever_cells::record::Origin;

/// Delay after which an origin cell may offer a refused job again.
const REFUSED_RETRY_MS: Ms = 5_000;

impl Cells {
    /// Reconciles the record of a job with its entry in the newest message of its origin cell.
    /// Returns the job's status for the reply to that cell; `None` while there is nothing to
    /// report.
    pub(super) fn reconcile_listed_job(
        &mut self,
        leader: &mut Leader,
        context: &mut NodeContext,
        origin: &OriginState,
        job: &ForwardedJob,
        running: &RunningTasks,
    ) -> Option<HostedJob> {
        let listing = if job.is_recalled { Listing::Recalled } else { Listing::Active };
        let record = host_record(leader, context, &origin.cell, job, running);
        let is_new = record == HostRecord::Unknown && listing == Listing::Active;
        if is_new && job.spec.is_none() {
            // The job's specification follows in a later message.
            return None;
        }
        // Also `None` if this software version can't parse the specification: the job can't
        // be hosted then.
        let spec = job.spec.as_deref().and_then(|json| serde_json::from_slice(json).ok());
        if is_new && self.creations.contains_key(&job.id) {
            // This leader has already decided to accept the job, so only the write is retried.
            self.create_record(leader, context, &origin.cell, job, spec);
            return None;
        }
        let admission = self.admission(context, origin, job, spec.as_ref());
        let HostDecision { step, phase } = decide(listing, record, admission);
        match step {
            HostStep::Accept => {
                if let Some(spec) = &spec {
                    shape_of(spec).reserve(&mut self.capacity);
                }
                self.create_record(leader, context, &origin.cell, job, spec);
            }
            HostStep::Tombstone => self.create_record(leader, context, &origin.cell, job, None),
            // A live job that is recalled is cancelled together with the other hosted jobs of its
            // cell.
            HostStep::Wait | HostStep::Cancel => {}
        }
        let done = done_bits(leader, context, &job.id, record);
        phase.map(|phase| HostedJob { id: job.id.clone(), epoch: job.epoch, phase, done })
    }

    /// Decides whether a job of another cell can be accepted now.
    fn admission(
        &self,
        context: &NodeContext,
        origin: &OriginState,
        job: &ForwardedJob,
        spec: Option<&JobSpec>,
    ) -> Admission {
        let timing = context.cell_leases.timing();
        let lease_may_have_ended =
            timing.lease_may_have_ended(origin.forwarded.lease_until_ms, context.clock.wall());
        if lease_may_have_ended || context.machine_types.is_empty() {
            return Admission::Undecided;
        }
        let Some(spec) = spec.filter(|spec| can_be_hosted(context, &job.id, spec)) else {
            return Admission::Unfit;
        };
        if self.has_capacity_for(context, spec) {
            Admission::Accept
        } else {
            Admission::Refuse { retry_after_ms: REFUSED_RETRY_MS }
        }
    }

    /// Writes the first record of another cell's job: a hosted job if its specification is given,
    /// or else a tombstone.
    fn create_record(
        &mut self,
        leader: &Leader,
        context: &mut NodeContext,
        cell: &str,
        job: &ForwardedJob,
        accepted: Option<JobSpec>,
    ) {
        let state = self.creations.get(&job.id);
        let is_due = state.is_none_or(|state| state.is_due(context.clock.now()));
        if !is_due || !self.try_take_write_token(context) {
            return;
        }
        let origin = Origin { cell: cell.to_string(), epoch: job.epoch, done: String::new() };
        let record = match accepted {
            Some(spec) => JobRecord::hosted(spec, origin),
            // The number of tasks in a tombstone is never used.
            None => JobRecord::tombstone(0, origin),
        };
        // If there is a record, it is the tombstone of an earlier epoch, which is replaced.
        let version = context.job_index(&job.id).map_or(0, |index| context.job(index).version);
        let write = put_if_unchanged(leader, job_key(&job.id), version, Encoded::new(&record));
        self.creations.insert(job.id.clone(), WriteState::InFlight);
        let call = CellCall::CreateRecord { id: job.id.clone(), record: Box::new(record) };
        send_write(context, call, write);
    }

    /// Handles the result of the write of a first record.
    pub(super) fn on_created(
        &mut self,
        context: &mut NodeContext,
        id: String,
        record: JobRecord,
        result: &StoreResponse,
    ) {
        match result {
            StoreResponse::Committed { revision } => {
                self.creations.remove(&id);
                let is_live = record.state == JobState::Live;
                let event = if is_live { MoveEvent::Accepted } else { MoveEvent::Tombstoned };
                log_record(&id, &record, event);
                context.apply_job_record(&id, record, *revision, RecordSource::Single);
            }
            StoreResponse::Conflict(_) => {
                self.creations.remove(&id);
                // The job already has a record, which is read if it is not in memory.
                context.job_index_or_lookup(&id);
            }
            _ => {
                self.creations.insert(id, WriteState::after_failure(context));
            }
        }
    }
}

/// Whether a job of another cell could run here, and its record fits into a value of the store.
fn can_be_hosted(context: &NodeContext, id: &str, spec: &JobSpec) -> bool {
    // The slack covers the record's origin, which is stored in addition to the job itself.
    let bytes = Encoded::new(&JobRecord::live(spec.clone(), &[])).len() + RECORD_SLACK_BYTES;
    valid_id(id)
        && (1..=MAX_TASKS).contains(&u64::from(spec.tasks))
        && bytes <= context.platform.cluster.state.value_bytes()
        && check_feasibility(context, spec).is_ok()
}

/// Returns the state of this cell's record of a job that another cell lists.
fn host_record(
    leader: &Leader,
    context: &NodeContext,
    cell: &str,
    job: &ForwardedJob,
    running: &RunningTasks,
) -> HostRecord {
    let Some(index) = context.job_index(&job.id) else { return HostRecord::Unknown };
    let known = context.job(index);
    let Some(origin) = known.origin().filter(|origin| origin.cell == cell) else {
        return HostRecord::Conflicting;
    };
    let has_attempts = leader.attempts.has_job(index);
    let is_over = known.state == KnownState::Cancelled && !has_attempts;
    if origin.epoch < job.epoch && is_over {
        return HostRecord::Unknown;
    }
    if origin.epoch != job.epoch {
        return HostRecord::Conflicting;
    }
    match known.state {
        KnownState::Live => HostRecord::Live {
            done: leader.jobs.get(&index).map_or(0, |live| live.done.len()),
            running: running.get(&index).copied().unwrap_or(0),
        },
        KnownState::Done => HostRecord::Done,
        KnownState::Cancelled | KnownState::Dropped => HostRecord::Tombstone { has_attempts },
        KnownState::Unread | KnownState::Missing => HostRecord::Unknown,
    }
}

/// Returns the completed tasks of a hosted job, as a bit set in hexadecimal digits.
fn done_bits(leader: &Leader, context: &NodeContext, id: &str, record: HostRecord) -> String {
    let Some(index) = context.job_index(id) else { return String::new() };
    match record {
        HostRecord::Live { .. } => {
            leader.jobs.get(&index).map(|job| job.done.to_hex(0, usize::MAX)).unwrap_or_default()
        }
        HostRecord::Tombstone { .. } => {
            context.job(index).origin().map(|origin| origin.done.clone()).unwrap_or_default()
        }
        HostRecord::Unknown | HostRecord::Conflicting | HostRecord::Done => String::new(),
    }
}
