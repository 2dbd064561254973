//! The users' side: admission of jobs, status and cancellation.
//!
//! No answer may be older than one that any node gave before. Final states
//! never change and are answered from memory; every other answer rests on a
//! read of the state service begun after the request came in. Requests for
//! the same job share one read.
//!
//! A job that awaits others is live only if none before it is withdrawn. That
//! is known from the watch, which may lag, but not by more than the authority
//! that workers are answered on: a cancellation it does not show yet was told
//! to its user less than that ago, well within `cancel_s`. Without it, there is
//! no answer. Where one before is withdrawn, the job's own withdrawal is written
//! before the answer, so that no other node calls it live later.

use super::common::feasibility::can_run;
use super::common::watch_cache::job_key;
use super::common::{context::NodeContext, job_records::RecordSource};
use super::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{JobIndex, JobSpec};
use crate::wire::encoded::Encoded;
use crate::wire::store::{Compare, CompareAndSwap, JobRecord, JobState, Mutation};
use crate::wire::users::{Invalid, StatusBody, Submission, id_of, parse_job, valid_id};
use std::collections::HashMap;

/// More waiting requests than this are turned away at once.
const MAX_WAITING: usize = 400;
/// Attempts at a cancellation before the user is told to come back.
const CANCEL_TRIES: u32 = 4;

#[derive(Debug)]
pub enum UserApiCall {
    Submit { request_id: u64, id: String, state: JobState },
    Read { id: String },
    Cancel { request_id: u64, id: String, tries: u32 },
    Cascade { id: String },
}

/// A final no to a submission.
#[derive(Debug, Clone)]
struct Refusal {
    status: u16,
    why: String,
    field: Option<&'static str>,
}

/// A submission whose awaited jobs are being looked up.
#[derive(Debug)]
struct Check {
    request_id: u64,
    id: String,
    spec: JobSpec,
    awaits: Vec<String>,
}

#[derive(Debug, Clone)]
enum Then {
    Status(u64),
    /// The job was there already, or may be: answer with what is.
    Resubmit(u64),
    Cancel {
        request_id: u64,
        tries: u32,
    },
    /// Refused, unless it turns out to have been accepted before.
    Refuse(u64, Refusal),
    /// The submission of this number awaits the job that is read.
    Awaited(u64),
}

#[derive(Debug, Default)]
struct Read {
    /// Served by the read on its way.
    in_flight: Vec<Then>,
    /// Came in after it began; need the next.
    next: Vec<Then>,
}

#[derive(Debug, Default)]
pub struct UserApi {
    reads: HashMap<String, Read>,
    checks: HashMap<u64, Check>,
    next_check: u64,
    /// Requests that wait for a job's withdrawal to be written.
    withdrawals: HashMap<String, Vec<u64>>,
    waiting: usize,
    next_sweep: u64,
}

impl UserApi {
    pub fn poll(&mut self, context: &mut NodeContext) {
        if context.clock.now() >= self.next_sweep {
            self.next_sweep = context.clock.now() + 10_000;
            context.drop_final_specs();
        }
    }

    pub fn submit(&mut self, context: &mut NodeContext, request_id: u64, body: &[u8]) {
        let Submission { id, spec, awaits } = match parse_job(body) {
            Ok(x) => x,
            Err(e) => {
                let why = format!("{} {}", e.field, e.why);
                // An accepted job stays so, whatever is said of it later.
                let Some(id) = id_of(body) else {
                    return context.refuse(request_id, 400, &why, Some(e.field));
                };
                if !context.is_synced {
                    return context
                        .respond_unavailable(request_id, "not yet in touch with the state service");
                }
                if let Some(state) = own_job(context, &id).map(|ix| context.job(ix).state)
                    && state != JobState::Live
                {
                    return answer_state(context, request_id, 200, &id, state);
                }
                let no = Refusal { status: 400, why, field: Some(e.field) };
                return self.read(context, id, Then::Refuse(request_id, no));
            }
        };
        if is_hosted(context, &id) {
            return refuse_taken(context, request_id);
        }
        // An accepted job stays accepted, whatever a later body says and
        // whatever has become of the limits.
        if let Some(ix) = context.job_index(&id) {
            let state = context.job(ix).state;
            if state != JobState::Live {
                return answer_state(context, request_id, 200, &id, state);
            }
            return self.read(context, id, Then::Resubmit(request_id));
        }
        if !context.is_synced {
            return context.respond_unavailable(request_id, "not yet in touch with the state service");
        }
        if context.machine_types.is_empty() {
            return context.respond_unavailable(request_id, "machine types are not known yet");
        }
        let awaits = match check_new(context, &id, &spec, awaits) {
            Ok(awaits) => awaits,
            // It may have been accepted elsewhere a moment ago; only the state
            // service knows.
            Err(no) => return self.read(context, id, Then::Refuse(request_id, no)),
        };
        if !awaits.is_empty() && !context.has_control_lease() {
            return context.respond_unavailable(request_id, "not in touch with the state service");
        }
        self.check_awaited(context, Check { request_id, id, spec, awaits });
    }

    /// Looks up the next awaited job that is not known yet. That one is unknown
    /// is said only on a read begun after the request: the watch lags.
    fn check_awaited(&mut self, context: &mut NodeContext, check: Check) {
        match check.awaits.iter().find(|id| own_job(context, id).is_none()).cloned() {
            None => self.create(context, check),
            Some(unknown) => {
                self.next_check += 1;
                self.checks.insert(self.next_check, check);
                self.read(context, unknown, Then::Awaited(self.next_check));
            }
        }
    }

    fn create(&mut self, context: &mut NodeContext, check: Check) {
        let Check { request_id, id, mut spec, awaits } = check;
        if self.waiting >= MAX_WAITING {
            return context.respond_unavailable(request_id, "too many requests at once");
        }
        spec.accepted_at_ms = context.clock.wall();
        // Accepted all the same, but called live by no one at any time: its
        // user may have been told of that cancellation long ago.
        let withdrawn = awaits.iter().filter_map(|a| context.job_index(a)).any(|ix| {
            let job = context.job(ix);
            job.state == JobState::Cancelled || job.links.has_cancelled_dependency
        });
        let rec =
            if withdrawn { JobRecord::cancelled(spec.tasks) } else { JobRecord::live(spec, &awaits) };
        let state = rec.state;
        let key = job_key(&id);
        let value = Encoded::new(&rec);
        let txn = CompareAndSwap {
            compares: vec![Compare { key: key.clone(), version: 0 }],
            mutations: vec![Mutation::Put { key, value, lease: None }],
        };
        self.waiting += 1;
        context.send_store_request(
            StoreCallOwner::UserApi(UserApiCall::Submit { request_id, id, state }),
            StoreRequest::CompareAndSwap(txn),
        );
    }

    pub fn status(&mut self, context: &mut NodeContext, request_id: u64, id: &str) {
        if !valid_id(id) || is_hosted(context, id) {
            return context.refuse(request_id, 404, "no such job", None);
        }
        if let Some(ix) = context.job_index(id) {
            let state = context.job(ix).state;
            if state != JobState::Live {
                return answer_state(context, request_id, 200, id, state);
            }
        }
        self.read(context, id.to_string(), Then::Status(request_id));
    }

    pub fn cancel(&mut self, context: &mut NodeContext, request_id: u64, id: &str) {
        if !valid_id(id) || is_hosted(context, id) {
            return context.refuse(request_id, 404, "no such job", None);
        }
        if let Some(ix) = context.job_index(id) {
            let (state, version) = (context.job(ix).state, context.job(ix).version);
            if state != JobState::Live {
                return answer_state(context, request_id, 200, id, state);
            }
            return self.write_cancel(context, request_id, id.to_string(), version, 0);
        }
        self.read(context, id.to_string(), Then::Cancel { request_id, tries: 0 });
    }

    fn write_cancel(
        &mut self,
        context: &mut NodeContext,
        request_id: u64,
        id: String,
        version: u64,
        tries: u32,
    ) {
        if tries >= CANCEL_TRIES || self.waiting >= MAX_WAITING {
            return context.respond_unavailable(request_id, "cancellation not settled yet");
        }
        let key = job_key(&id);
        let tasks = context.job_index(&id).map_or(0, |ix| context.job(ix).tasks);
        let txn = CompareAndSwap {
            compares: vec![Compare { key: key.clone(), version }],
            mutations: vec![Mutation::Put {
                key,
                value: Encoded::new(&JobRecord::cancelled(tasks)),
                lease: None,
            }],
        };
        self.waiting += 1;
        context.send_store_request(
            StoreCallOwner::UserApi(UserApiCall::Cancel { request_id, id, tries }),
            StoreRequest::CompareAndSwap(txn),
        );
    }

    /// Answers for a job read as live, unless it has to be withdrawn first.
    fn answer_live(&mut self, context: &mut NodeContext, request_id: u64, id: &str) {
        let Some(ix) = context.job_index(id) else {
            return context.respond_unavailable(request_id, "not known yet");
        };
        let (links, version, tasks) =
            (&context.job(ix).links, context.job(ix).version, context.job(ix).tasks);
        if links.unfinished_dependencies > 0 && !context.has_control_lease() {
            return context.respond_unavailable(request_id, "not in touch with the state service");
        }
        // One before it may have been withdrawn long ago and not be in memory.
        if links.unfinished_dependencies > 0 && !context.jobs.unread().is_empty() {
            return context.respond_unavailable(request_id, "what it awaits is not known yet");
        }
        if !links.has_cancelled_dependency {
            return answer_state(context, request_id, 200, id, JobState::Live);
        }
        if self.waiting >= MAX_WAITING {
            return context.respond_unavailable(request_id, "too many requests at once");
        }
        self.waiting += 1;
        let waiters = self.withdrawals.entry(id.to_string()).or_default();
        waiters.push(request_id);
        if waiters.len() > 1 {
            return;
        }
        let key = job_key(id);
        let value = Encoded::new(&JobRecord::cancelled(tasks));
        let txn = CompareAndSwap {
            compares: vec![Compare { key: key.clone(), version }],
            mutations: vec![Mutation::Put { key, value, lease: None }],
        };
        let call = UserApiCall::Cascade { id: id.to_string() };
        context.send_store_request(StoreCallOwner::UserApi(call), StoreRequest::CompareAndSwap(txn));
    }

    fn on_cascaded(&mut self, context: &mut NodeContext, id: String, result: StoreResponse) {
        let waiters = self.withdrawals.remove(&id).unwrap_or_default();
        self.waiting = self.waiting.saturating_sub(waiters.len());
        if let StoreResponse::Committed { revision } = result {
            context.apply_job_record(&id, JobRecord::cancelled(0), revision, RecordSource::Single);
            context.cancellations_to_announce.push(id.clone());
        }
        for request_id in waiters {
            match result {
                StoreResponse::Committed { .. } => {
                    answer_state(context, request_id, 200, &id, JobState::Cancelled)
                }
                StoreResponse::Conflict(_) | StoreResponse::OutcomeUnknown => {
                    self.read(context, id.clone(), Then::Status(request_id));
                }
                _ => context.respond_unavailable(request_id, "the state service does not take it now"),
            }
        }
    }

    fn read(&mut self, context: &mut NodeContext, id: String, then: Then) {
        if self.waiting >= MAX_WAITING {
            let request_id = match then {
                Then::Status(request_id) | Then::Resubmit(request_id) | Then::Refuse(request_id, _) => {
                    request_id
                }
                Then::Cancel { request_id, .. } => request_id,
                Then::Awaited(n) => match self.checks.remove(&n) {
                    Some(check) => check.request_id,
                    None => return,
                },
            };
            return context.respond_unavailable(request_id, "too many requests at once");
        }
        self.waiting += 1;
        let read = self.reads.entry(id.clone()).or_default();
        if read.in_flight.is_empty() {
            read.in_flight.push(then);
            context.send_store_request(
                StoreCallOwner::UserApi(UserApiCall::Read { id: id.clone() }),
                StoreRequest::Get(job_key(&id)),
            );
        } else {
            read.next.push(then);
        }
    }

    pub fn on_result(&mut self, context: &mut NodeContext, call: UserApiCall, result: StoreResponse) {
        match call {
            UserApiCall::Cascade { id } => self.on_cascaded(context, id, result),
            UserApiCall::Submit { request_id, id, state } => {
                self.waiting -= 1;
                match result {
                    StoreResponse::Committed { .. } => {
                        answer_state(context, request_id, 201, &id, state)
                    }
                    StoreResponse::Conflict(_) | StoreResponse::OutcomeUnknown => {
                        self.read(context, id, Then::Resubmit(request_id));
                    }
                    _ => {
                        context.respond_unavailable(request_id, "the state service does not take it now")
                    }
                }
            }
            UserApiCall::Cancel { request_id, id, tries } => {
                self.waiting -= 1;
                match result {
                    StoreResponse::Committed { revision } => {
                        context.apply_job_record(
                            &id,
                            JobRecord::cancelled(0),
                            revision,
                            RecordSource::Single,
                        );
                        context.cancellations_to_announce.push(id.clone());
                        answer_state(context, request_id, 200, &id, JobState::Cancelled);
                    }
                    StoreResponse::Conflict(_) | StoreResponse::OutcomeUnknown => {
                        self.read(context, id, Then::Cancel { request_id, tries: tries + 1 });
                    }
                    _ => {
                        context.respond_unavailable(request_id, "the state service does not take it now")
                    }
                }
            }
            UserApiCall::Read { id } => self.on_read(context, id, result),
        }
    }

    fn on_read(&mut self, context: &mut NodeContext, id: String, result: StoreResponse) {
        let Some(mut read) = self.reads.remove(&id) else { return };
        let waiters = std::mem::take(&mut read.in_flight);
        self.waiting = self.waiting.saturating_sub(waiters.len());
        let found = match &result {
            StoreResponse::KeyValue(i) => {
                i.value.decode::<JobRecord>().ok().map(|r| (r.state, i.version, r))
            }
            _ => None,
        };
        // A record that is out of date by now is no answer; the user asks again.
        let found = found.and_then(|(state, version, rec)| {
            context.apply_job_record(&id, rec, version, RecordSource::Single).then_some((state, version))
        });
        // To the users of this cell, the job of another is none.
        let (found, result) = match is_hosted(context, &id) {
            true => (None, StoreResponse::NotFound),
            false => (found, result),
        };
        // Another read of it may begin from here on.
        let next = std::mem::take(&mut read.next);
        if !next.is_empty() {
            read.in_flight = next;
            context.send_store_request(
                StoreCallOwner::UserApi(UserApiCall::Read { id: id.clone() }),
                StoreRequest::Get(job_key(&id)),
            );
            self.reads.insert(id.clone(), read);
        }
        for w in waiters {
            match (w, found, &result) {
                (
                    Then::Status(request_id) | Then::Resubmit(request_id) | Then::Refuse(request_id, _),
                    Some(f),
                    _,
                ) => {
                    if f.0 == JobState::Live {
                        self.answer_live(context, request_id, &id);
                    } else {
                        answer_state(context, request_id, 200, &id, f.0);
                    }
                }
                (Then::Cancel { request_id, tries }, Some((JobState::Live, version)), _) => {
                    self.write_cancel(context, request_id, id.clone(), version, tries);
                }
                (Then::Cancel { request_id, .. }, Some((state, _)), _) => {
                    answer_state(context, request_id, 200, &id, state);
                }
                (Then::Awaited(n), found, _) => {
                    let Some(check) = self.checks.remove(&n) else { continue };
                    self.on_awaited(context, check, &id, found.is_some(), &result);
                }
                (Then::Resubmit(request_id), None, StoreResponse::NotFound)
                    if is_hosted(context, &id) =>
                {
                    refuse_taken(context, request_id);
                }
                (Then::Refuse(request_id, no), None, StoreResponse::NotFound) => {
                    tracing::debug!(id, why = no.why, "submission refused");
                    context.refuse(request_id, no.status, &no.why, no.field);
                }
                (
                    Then::Status(request_id) | Then::Cancel { request_id, .. },
                    None,
                    StoreResponse::NotFound,
                ) => {
                    context.refuse(request_id, 404, "no such job", None);
                }
                // A submission whose write got lost is best tried again.
                (
                    Then::Status(request_id) | Then::Resubmit(request_id) | Then::Refuse(request_id, _),
                    None,
                    _,
                )
                | (Then::Cancel { request_id, .. }, None, _) => {
                    context.respond_unavailable(request_id, "the state service does not answer now");
                }
            }
        }
    }

    fn on_awaited(
        &mut self,
        context: &mut NodeContext,
        check: Check,
        awaited: &str,
        found: bool,
        result: &StoreResponse,
    ) {
        match result {
            _ if found => self.check_awaited(context, check),
            StoreResponse::NotFound => {
                let why = format!("awaits {awaited}, which was never accepted");
                let no = Refusal { status: 422, why, field: Some("awaits") };
                self.read(context, check.id, Then::Refuse(check.request_id, no));
            }
            _ => context.respond_unavailable(check.request_id, "the state service does not answer now"),
        }
    }
}

/// Whether another cell's job, or what is left of it, has this id here.
fn is_hosted(context: &NodeContext, id: &str) -> bool {
    context.job_index(id).is_some_and(|ix| context.job(ix).origin().is_some())
}

/// A job of this cell's users that is in memory.
fn own_job(context: &NodeContext, id: &str) -> Option<JobIndex> {
    context.job_index(id).filter(|ix| context.job(*ix).origin().is_none())
}

/// Cells that share load share one space of ids; a job of another cell is not accepted
/// here as well.
fn refuse_taken(context: &mut NodeContext, request_id: u64) {
    context.refuse(request_id, 422, "the id belongs to a job of another cell", Some("name_id"));
}

fn answer_state(context: &mut NodeContext, request_id: u64, status: u16, id: &str, state: JobState) {
    let count = context.task_counts.get(id);
    let (done, running) = count.map_or((0, 0), |count| (count.done, count.running));
    let tasks = context.job_index(id).map(|ix| context.job(ix).tasks);
    // Its end may have become known while the answer was under way.
    let state = match context.job_index(id).map(|ix| context.job(ix).state) {
        Some(known) if state == JobState::Live => known,
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

/// Whether a submission that is not known can be accepted: what it awaits, or
/// why not.
fn check_new(
    context: &NodeContext,
    id: &str,
    spec: &JobSpec,
    awaits: Result<Vec<String>, Invalid>,
) -> Result<Vec<String>, Refusal> {
    let no = |status, why: String, field| Err(Refusal { status, why, field });
    let awaits = match awaits {
        Ok(awaits) => awaits,
        Err(e) => return no(400, format!("{} {}", e.field, e.why), Some(e.field)),
    };
    let size = |awaits: &[String]| {
        let value = Encoded::new(&JobRecord::live(spec.clone(), awaits));
        // The time of acceptance is yet to come.
        value.len() + 16
    };
    let most = context.platform.cluster.state.value_bytes();
    if size(&awaits) > most {
        let body = size(&[]) > most;
        let field = if body { "body" } else { "awaits" };
        return no(400, format!("{field} is too large to be kept"), Some(field));
    }
    if awaits.iter().any(|a| a == id) {
        return no(422, "awaits the job itself".into(), Some("awaits"));
    }
    if let Err(why) = can_run(context, spec) {
        return no(422, why, None);
    }
    Ok(awaits)
}
