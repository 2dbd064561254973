//! Cascading cancellation along the dependencies of a pipeline.
//!
//! The job records hold the dependencies, and every node keeps them as links next to the jobs
//! that it watches. The links decide two questions:
//!
//! - May the job run? Only once all its dependencies are *recorded* as done. That state is
//!   final, so the first admission of the job needs no further condition: once the check has
//!   passed it stays true, also under a later leader.
//! - Is the job cancelled? A live job with a cancelled dependency, direct or transitive, has to
//!   be cancelled. The rule depends on states, not on events, so that it also holds for a
//!   submission that races with the cancellation and after a change of leader or a restart.
//!   Such a job never had a task, as its dependencies are not all done and never will be.
//!
//! The leader's poll writes these cancellations in batches. A user API node that is asked about
//! such a job writes the cancellation before it answers, so that no node reports the job as
//! live afterwards.

use super::write_pacing::WritePacing;
use super::{Leader, LeaderCall};
use crate::core::common::job_table::KnownState;
use crate::core::common::store_keys::job_key;
use crate::core::common::{context::NodeContext, job_records::RecordSource};
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{JobIndex, Ms};
use crate::wire::encoded::Encoded;
use crate::wire::store::{Compare, CompareAndSwap, JobRecord, Mutation};
use std::collections::BTreeSet;

/// Delay before the next batch after the store has rejected one.
const RETRY_MS: Ms = 150;

/// Cancellations that the leader has yet to write.
#[derive(Debug, Default)]
pub(super) struct CascadingCancellations {
    pending: BTreeSet<JobIndex>,
    write: WritePacing,
}

impl Leader {
    /// Queues the cancellation of a live job.
    pub(super) fn queue_cancellation(&mut self, job: JobIndex) {
        self.cancellations.pending.insert(job);
    }

    /// Writes a batch of pending cancellations, as many as one compare-and-swap takes. They have
    /// a time limit, so they precede the leader's other writes.
    pub(super) fn write_cancellations(&mut self, context: &mut NodeContext) {
        let cancellations = &mut self.cancellations;
        cancellations.pending.retain(|job| context.job(*job).state == KnownState::Live);
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

    /// Handles the response to a batch.
    pub(super) fn on_cancellations_written(
        &mut self,
        context: &mut NodeContext,
        jobs: Vec<JobIndex>,
        response: StoreResponse,
    ) {
        let StoreResponse::Committed { revision } = response else {
            // A job that its user or a user API node has cancelled in the meantime fails the
            // whole batch until the watch reports the change; the next batch omits that job.
            let retry_at = context.clock.now() + context.retry_ms(RETRY_MS);
            self.cancellations.write.finish_and_retry_at(retry_at);
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
