//! The users' side: admission of jobs, status and cancellation.
//!
//! No answer may be older than one that any node gave before. Final states
//! never change and are answered from memory; every other answer rests on a
//! read of the state service begun after the request came in. Requests for
//! the same job share one read.

use super::model::Spec;
use super::shared::Shared;
use super::sync::job_key;
use super::{Purpose, StateOp, StateResult};
use crate::wire::state::{Change, Cond, JobRecord, JobState, Txn};
use crate::wire::users::{StatusBody, parse_job, valid_id};
use std::collections::HashMap;

/// More waiting requests than this are turned away at once.
const MAX_WAITING: usize = 400;
/// Attempts at a cancellation before the user is told to come back.
const CANCEL_TRIES: u32 = 4;

#[derive(Debug)]
pub enum DoorCall {
    Submit { req: u64, id: String },
    Read { id: String },
    Cancel { req: u64, id: String, tries: u32 },
}

#[derive(Debug, Clone, Copy)]
enum Then {
    Status(u64),
    /// The job was there already, or may be: answer with what is.
    Resubmit(u64),
    Cancel {
        req: u64,
        tries: u32,
    },
}

#[derive(Debug, Default)]
struct Read {
    /// Served by the read on its way.
    flying: Vec<Then>,
    /// Came in after it began; need the next.
    next: Vec<Then>,
}

#[derive(Debug, Default)]
pub struct Door {
    reads: HashMap<String, Read>,
    waiting: usize,
    next_sweep: u64,
}

impl Door {
    pub fn poll(&mut self, sh: &mut Shared) {
        if sh.now >= self.next_sweep {
            self.next_sweep = sh.now + 10_000;
            sh.forget_specs();
        }
    }

    pub fn submit(&mut self, sh: &mut Shared, req: u64, body: &[u8]) {
        let (id, mut spec) = match parse_job(body) {
            Ok(x) => x,
            Err(e) => {
                let why = format!("{} {}", e.field, e.why);
                return sh.refuse(req, 400, &why, Some(e.field));
            }
        };
        // An accepted job stays accepted, whatever a later body says.
        if let Some(ix) = sh.job_ix(&id) {
            let state = sh.job(ix).state;
            if state != JobState::Live {
                return answer_state(sh, req, 200, &id, state);
            }
            return self.read(sh, id, Then::Resubmit(req));
        }
        if !sh.synced {
            return sh.busy(req, "not yet in touch with the state service");
        }
        if sh.types.is_empty() {
            return sh.busy(req, "machine types are not known yet");
        }
        if let Err(why) = can_run(sh, &spec) {
            // The job may have been accepted elsewhere a moment ago; only
            // the state service knows.
            tracing::debug!(id, why, "job can never run");
            return sh.refuse(req, 422, &why, None);
        }
        if self.waiting >= MAX_WAITING {
            return sh.busy(req, "too many requests at once");
        }
        spec.at_ms = sh.wall;
        let rec = JobRecord { state: JobState::Live, tasks: spec.tasks, spec: Some(spec) };
        let value = serde_json::to_value(rec).unwrap_or_default();
        if value.to_string().len() as f64 > sh.cfg.cluster.state.value_kb * 1024.0 {
            return sh.refuse(req, 400, "body is too large to be kept", Some("body"));
        }
        let key = job_key(&id);
        let txn = Txn {
            conds: vec![Cond { key: key.clone(), version: 0 }],
            changes: vec![Change::Put { key, value, lease: None }],
        };
        self.waiting += 1;
        sh.state_call(Purpose::Door(DoorCall::Submit { req, id }), StateOp::Txn(txn));
    }

    pub fn status(&mut self, sh: &mut Shared, req: u64, id: &str) {
        if !valid_id(id) {
            return sh.refuse(req, 404, "no such job", None);
        }
        if let Some(ix) = sh.job_ix(id) {
            let state = sh.job(ix).state;
            if state != JobState::Live {
                return answer_state(sh, req, 200, id, state);
            }
        }
        self.read(sh, id.to_string(), Then::Status(req));
    }

    pub fn cancel(&mut self, sh: &mut Shared, req: u64, id: &str) {
        if !valid_id(id) {
            return sh.refuse(req, 404, "no such job", None);
        }
        if let Some(ix) = sh.job_ix(id) {
            let (state, stamp) = (sh.job(ix).state, sh.job(ix).stamp);
            if state != JobState::Live {
                return answer_state(sh, req, 200, id, state);
            }
            return self.write_cancel(sh, req, id.to_string(), stamp, 0);
        }
        self.read(sh, id.to_string(), Then::Cancel { req, tries: 0 });
    }

    fn write_cancel(&mut self, sh: &mut Shared, req: u64, id: String, stamp: u64, tries: u32) {
        if tries >= CANCEL_TRIES || self.waiting >= MAX_WAITING {
            return sh.busy(req, "cancellation not settled yet");
        }
        let key = job_key(&id);
        let tasks = sh.job_ix(&id).map_or(0, |ix| sh.job(ix).tasks);
        let rec = JobRecord { state: JobState::Cancelled, spec: None, tasks };
        let txn = Txn {
            conds: vec![Cond { key: key.clone(), version: stamp }],
            changes: vec![Change::Put {
                key,
                value: serde_json::to_value(rec).unwrap_or_default(),
                lease: None,
            }],
        };
        self.waiting += 1;
        sh.state_call(Purpose::Door(DoorCall::Cancel { req, id, tries }), StateOp::Txn(txn));
    }

    fn read(&mut self, sh: &mut Shared, id: String, then: Then) {
        if self.waiting >= MAX_WAITING {
            let (Then::Status(req) | Then::Resubmit(req) | Then::Cancel { req, .. }) = then;
            return sh.busy(req, "too many requests at once");
        }
        self.waiting += 1;
        let read = self.reads.entry(id.clone()).or_default();
        if read.flying.is_empty() {
            read.flying.push(then);
            sh.state_call(Purpose::Door(DoorCall::Read { id: id.clone() }), StateOp::Get(job_key(&id)));
        } else {
            read.next.push(then);
        }
    }

    pub fn on_result(&mut self, sh: &mut Shared, call: DoorCall, result: StateResult) {
        match call {
            DoorCall::Submit { req, id } => {
                self.waiting -= 1;
                match result {
                    StateResult::Done { .. } => answer_state(sh, req, 201, &id, JobState::Live),
                    StateResult::Failed(_) | StateResult::Unknown => {
                        self.read(sh, id, Then::Resubmit(req));
                    }
                    _ => sh.busy(req, "the state service does not take it now"),
                }
            }
            DoorCall::Cancel { req, id, tries } => {
                self.waiting -= 1;
                match result {
                    StateResult::Done { revision } => {
                        let rec = JobRecord { state: JobState::Cancelled, spec: None, tasks: 0 };
                        sh.put_job(&id, rec, revision);
                        answer_state(sh, req, 200, &id, JobState::Cancelled);
                    }
                    StateResult::Failed(_) | StateResult::Unknown => {
                        self.read(sh, id, Then::Cancel { req, tries: tries + 1 });
                    }
                    _ => sh.busy(req, "the state service does not take it now"),
                }
            }
            DoorCall::Read { id } => self.on_read(sh, id, result),
        }
    }

    fn on_read(&mut self, sh: &mut Shared, id: String, result: StateResult) {
        let Some(mut read) = self.reads.remove(&id) else { return };
        let waiters = std::mem::take(&mut read.flying);
        self.waiting = self.waiting.saturating_sub(waiters.len());
        let found = match &result {
            StateResult::Item(i) => serde_json::from_value::<JobRecord>(i.value.clone())
                .ok()
                .map(|r| (r.state, i.version, r)),
            _ => None,
        };
        let found = found.map(|(state, stamp, rec)| {
            sh.put_job(&id, rec, stamp);
            (state, stamp)
        });
        for w in waiters {
            match (w, found, &result) {
                (Then::Status(req) | Then::Resubmit(req), Some((state, _)), _) => {
                    answer_state(sh, req, 200, &id, state);
                }
                (Then::Cancel { req, tries }, Some((JobState::Live, stamp)), _) => {
                    self.write_cancel(sh, req, id.clone(), stamp, tries);
                }
                (Then::Cancel { req, .. }, Some((state, _)), _) => {
                    answer_state(sh, req, 200, &id, state);
                }
                (Then::Status(req) | Then::Cancel { req, .. }, None, StateResult::Missing) => {
                    sh.refuse(req, 404, "no such job", None);
                }
                // A submission whose write got lost is best tried again.
                (Then::Status(req) | Then::Resubmit(req) | Then::Cancel { req, .. }, None, _) => {
                    sh.busy(req, "the state service does not answer now");
                }
            }
        }
        if !read.next.is_empty() {
            read.flying = std::mem::take(&mut read.next);
            sh.state_call(Purpose::Door(DoorCall::Read { id: id.clone() }), StateOp::Get(job_key(&id)));
            self.reads.insert(id, read);
        }
    }
}

fn answer_state(sh: &mut Shared, req: u64, status: u16, id: &str, state: JobState) {
    let (done, running) = sh.counts.get(id).copied().unwrap_or((0, 0));
    let tasks = sh.job_ix(id).map(|ix| sh.job(ix).tasks);
    let (state, done, running) = match state {
        JobState::Live if running > 0 => ("running", Some(done), Some(running)),
        JobState::Live => ("queued", Some(done), Some(0)),
        JobState::Done => ("done", tasks, Some(0)),
        JobState::Cancelled => ("withdrawn", Some(done), Some(0)),
    };
    sh.answer_json(req, status, &StatusBody { id, state, done, running });
}

/// Whether the job could ever run; if not, why.
fn can_run(sh: &Shared, spec: &Spec) -> Result<(), String> {
    let Some(team) = sh.cfg.cluster.teams.iter().find(|t| t.name == spec.team) else {
        return Err(format!("unknown team {}", spec.team));
    };
    if spec.cpus > team.cpus_max || spec.gpus > team.gpus_max {
        return Err("a task needs more than the team's limit".into());
    }
    let need = spec.need();
    let fits = sh.types.iter().any(|t| {
        spec.types.as_ref().is_none_or(|l| l.contains(&t.name))
            && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
            && need.fits(&t.room)
    });
    if !fits {
        return Err("a task fits no allowed machine type".into());
    }
    Ok(())
}
