//! Cascading cancellation along the dependencies of a pipeline.
//!
//! Which job depends on which stands in the records, and every node keeps the links beside the
//! watched jobs. Two questions are answered from them:
//!
//! - May the job run? Only once all its dependencies are *on record* as done. Done is final,
//!   so the leader's first admission needs no further condition: what was true when it looked
//!   stays true, whoever leads by then.
//! - Is it cancelled? A live job with a cancelled dependency, direct or through others, is to
//!   be cancelled. This is a rule on states, not on events, so that it holds for a submission
//!   that races with the cancellation, and after any change of leader or restart. Such a job
//!   never had a task, as its dependencies are not all done and never will be.
//!
//! The leader writes these cancellations in batches from its poll. A user API node that is
//! asked about such a job first has it written, so that no node calls it live again.

use super::write_state::WriteState;
use super::{Leader, LeaderCall};
use crate::core::common::store_keys::job_key;
use crate::core::common::{context::NodeContext, job_records::RecordSource};
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{JobIndex, Ms};
use crate::wire::encoded::Encoded;
use crate::wire::store::{Compare, CompareAndSwap, JobRecord, JobState, Mutation};
use std::collections::BTreeSet;

/// Pause after a batch that the store did not take.
const RETRY_MS: Ms = 150;

/// Cancellations that the leader has still to write.
#[derive(Debug, Default)]
pub(super) struct CascadingCancellations {
    pending: BTreeSet<JobIndex>,
    write: WriteState,
}

impl Leader {
    /// Notes that a live job is to be cancelled.
    pub(super) fn cancel_later(&mut self, job: JobIndex) {
        self.cancellations.pending.insert(job);
    }

    /// Writes pending cancellations, as many at once as one compare-and-swap takes. They have
    /// a time limit, so they go before all other writes of the leader.
    pub(super) fn write_cancellations(&mut self, context: &mut NodeContext) {
        let cancellations = &mut self.cancellations;
        cancellations.pending.retain(|job| context.job(*job).state == JobState::Live);
        if cancellations.pending.is_empty() || !cancellations.write.is_ready(context.clock.now()) {
            return;
        }
        let max_mutations = context.platform.cluster.state.txn_ops;
        let jobs: Vec<JobIndex> = cancellations.pending.iter().copied().take(max_mutations).collect();
        if !context.can_write(jobs.len()) {
            return;
        }
        cancellations.write.start();
        let mut request = CompareAndSwap { compares: vec![self.compare_term()], mutations: Vec::new() };
        for index in &jobs {
            let key = job_key(context.jobs.id(*index));
            let job = context.job(*index);
            let value = Encoded::new(&JobRecord::cancelled(job.tasks));
            request.compares.push(Compare { key: key.clone(), version: job.version });
            request.mutations.push(Mutation::Put { key, value, lease: None });
        }
        context.send_store_request(
            StoreCallOwner::Leader(LeaderCall::WriteCancellations { jobs }),
            StoreRequest::CompareAndSwap(request),
        );
    }

    /// Takes in the outcome of a batch.
    pub(super) fn on_cancellations_written(
        &mut self,
        context: &mut NodeContext,
        jobs: Vec<JobIndex>,
        response: StoreResponse,
    ) {
        let StoreResponse::Committed { revision } = response else {
            // A job that its user or a user API node has cancelled meanwhile fails the whole
            // batch until the watch reports it; the next batch is then without it.
            let retry_at = context.clock.now() + context.retry_ms(RETRY_MS);
            self.cancellations.write.finish_and_wait(retry_at);
            return;
        };
        self.cancellations.write.finish();
        for job in jobs {
            let id = context.jobs.id(job).to_string();
            context.apply_job_record(&id, JobRecord::cancelled(0), revision, RecordSource::Single);
            context.cancellations_to_announce.push(id);
        }
    }
}
