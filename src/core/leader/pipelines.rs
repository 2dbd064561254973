//! Pipelines: jobs that await others.
//!
//! Which job awaits which stands in the records, and every node keeps it beside
//! the watched jobs, updated along the links with each change and never by a
//! look at all jobs. Two questions are answered from it:
//!
//! - May the job run? Only once everything it awaits is *on record* as done. Done
//!   is final, so the leader's first grant needs no further condition: what was
//!   true when it looked stays true, whoever leads by then.
//! - Is it withdrawn? A live job with a withdrawn one before it, directly or
//!   through others, is to be withdrawn: a rule on states, not on events, so
//!   that it holds for a submission that races with the cancellation, and after
//!   any change of leader or restart. Such a job never had a task, as not all
//!   that it awaits is done, nor ever will be.
//!
//! The leader writes these withdrawals step by step; the user API that is asked about
//! such a job first has it written, so that no node calls it live again.

use super::{Leader, LeaderCall};
use crate::core::common::watch_cache::job_key;
use crate::core::common::{context::NodeContext, job_records::RecordSource};
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{JobIndex, JobSpec, Ms, Priority};
use crate::wire::encoded::Encoded;
use crate::wire::store::{Compare, CompareAndSwap, JobRecord, JobState, Mutation};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeSet;

/// What a pipeline's next stage takes beside its run: recorded, granted and told
/// to a machine; and the pace of its image.
const HANDOVER_S: f64 = 4.0;
const FETCH_GB_PER_S: f64 = 0.5;

/// Withdrawals that the leader has still to write.
#[derive(Debug, Default)]
pub struct Cascade {
    due: BTreeSet<JobIndex>,
    busy: bool,
    retry_at: Ms,
}

/// What a job inherits from those that need it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Inherited {
    pub priority: Priority,
    /// Time of day, in seconds, by which it has to be done so that all after it
    /// can meet their deadlines.
    pub finish_by: Option<f64>,
}

impl Leader {
    /// Notes that a live job is to be withdrawn.
    pub(super) fn cascade_later(&mut self, ix: JobIndex) {
        self.cascade.due.insert(ix);
    }

    /// Writes withdrawals, as many at once as a transaction takes. The rule's
    /// time runs, so they go before all other writes of the leader.
    pub(super) fn cascade_due(&mut self, context: &mut NodeContext) {
        let c = &mut self.cascade;
        c.due.retain(|ix| context.job(*ix).state == JobState::Live);
        if c.busy || c.due.is_empty() || context.clock.now() < c.retry_at {
            return;
        }
        let list: Vec<JobIndex> =
            c.due.iter().copied().take(context.platform.cluster.state.txn_ops).collect();
        if !context.can_write(list.len()) {
            return;
        }
        c.busy = true;
        let mut txn = CompareAndSwap { compares: vec![self.compare_term()], mutations: Vec::new() };
        for ix in &list {
            let key = job_key(context.jobs.id(*ix));
            let job = context.job(*ix);
            let value = Encoded::new(&JobRecord::cancelled(job.tasks));
            txn.compares.push(Compare { key: key.clone(), version: job.version });
            txn.mutations.push(Mutation::Put { key, value, lease: None });
        }
        context.send_store_request(
            StoreCallOwner::Leader(LeaderCall::Cascade { list }),
            StoreRequest::CompareAndSwap(txn),
        );
    }

    pub(super) fn on_cascaded(
        &mut self,
        context: &mut NodeContext,
        list: Vec<JobIndex>,
        result: StoreResponse,
    ) {
        self.cascade.busy = false;
        if let StoreResponse::Committed { revision } = result {
            for ix in list {
                let id = context.jobs.id(ix).to_string();
                context.apply_job_record(&id, JobRecord::cancelled(0), revision, RecordSource::Single);
                context.cancellations_to_announce.push(id);
            }
        } else {
            // One that its own user, or the user API, has withdrawn meanwhile spoils
            // the batch until the watch tells; the others go without it then.
            self.cascade.retry_at = context.clock.now() + context.retry_ms(150);
        }
    }

    /// What a stage of a pipeline is taken to last: its run, the fetch of its
    /// image, and the time between its predecessor's last success and its start.
    fn stage_s(&self, spec: &JobSpec) -> f64 {
        self.expected_s(spec) + spec.image_gb / FETCH_GB_PER_S + HANDOVER_S
    }

    /// What the job inherits through the whole chain of those that need it.
    /// `known` keeps what has been found, so that a scheduling cycle looks at each job of
    /// a pipeline once.
    pub(super) fn inherited(
        &self,
        context: &NodeContext,
        ix: JobIndex,
        known: &mut FxHashMap<JobIndex, Inherited>,
    ) {
        let mut path = vec![ix];
        // Records of another hand could name each other in a ring.
        let mut on_path = FxHashSet::from_iter([ix]);
        while let Some(&at) = path.last() {
            let job = context.job(at);
            let (Some(spec), false) = (&job.spec, known.contains_key(&at)) else {
                path.pop();
                continue;
            };
            let after = || job.links.dependents.iter().filter(|a| context.job(**a).spec.is_some());
            if let Some(open) = after().find(|a| !known.contains_key(a) && !on_path.contains(a)) {
                on_path.insert(*open);
                path.push(*open);
                continue;
            }
            let due = spec.deadline_s.map(|d| spec.accepted_at_ms as f64 / 1000.0 + d);
            let mut own = Inherited { priority: spec.priority, finish_by: due };
            for (a, theirs) in after().filter_map(|a| Some((a, known.get(a)?))) {
                own.priority = own.priority.max(theirs.priority);
                let work = context.job(*a).spec.as_ref().map_or(0.0, |s| self.stage_s(s));
                if let Some(by) = theirs.finish_by.map(|by| by - work) {
                    own.finish_by = Some(own.finish_by.map_or(by, |own| own.min(by)));
                }
            }
            known.insert(at, own);
            path.pop();
        }
    }
}
