//! Writes the final state of jobs whose tasks are all done.

use super::ProgressSegment;
use crate::core::common::context::NodeContext;
use crate::core::common::job_records::RecordSource;
use crate::core::common::store_keys::job_key;
use crate::core::leader::{Leader, LeaderCall};
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{JobIndex, Ms};
use crate::wire::encoded::Encoded;
use crate::wire::store::{Compare, CompareAndSwap, JobRecord, Mutation};

/// Delay before a failed write of a final state is retried.
const RETRY_MS: Ms = 250;

/// A write of a job's final state, kept while it is in flight.
#[derive(Debug)]
pub struct FinalStateWrite {
    job: JobIndex,
    /// Wall-clock time that the record gives for the end of the job.
    done_ms: u64,
    /// Progress records that the same request deletes.
    deleted: Vec<ProgressSegment>,
}

impl Leader {
    /// Writes the final state of each complete job that has no such write in flight.
    pub(super) fn write_final_states(&mut self, context: &mut NodeContext) {
        let now = context.clock.now();
        let mut complete = Vec::new();
        for (job, live) in &mut self.jobs {
            if live.is_complete() && live.final_write.is_ready(now) {
                live.final_write.start();
                complete.push(*job);
            }
        }
        for job in complete {
            self.write_final_state(context, job);
        }
    }

    /// Writes the final state of a job, and deletes as many of its progress records as fit into
    /// the same request.
    fn write_final_state(&mut self, context: &mut NodeContext, job: JobIndex) {
        let Some(live) = self.jobs.get(&job) else { return };
        let id = context.jobs.id(job);
        let key = job_key(id);
        let done_ms = context.clock.wall();
        let origin = context.job(job).origin().cloned();
        let record = JobRecord::done(live.spec.tasks, done_ms).with_origin(origin);
        let version = context.job(job).version;
        let max_deletions = context.platform.cluster.state.txn_ops - 1;
        let deleted: Vec<ProgressSegment> =
            live.progress.segments.keys().copied().take(max_deletions).collect();
        let compares = vec![self.compare_term(), Compare { key: key.clone(), version }];
        let mut mutations = vec![Mutation::Put { key, value: Encoded::new(&record), lease: None }];
        mutations.extend(deleted.iter().map(|segment| Mutation::Delete { key: segment.key(id) }));
        context.send_store_request(
            StoreCallOwner::Leader(LeaderCall::WriteFinalState(FinalStateWrite {
                job,
                done_ms,
                deleted,
            })),
            StoreRequest::CompareAndSwap(CompareAndSwap { compares, mutations }),
        );
    }

    /// Handles the result of a write of a final state. A committed record is applied, which
    /// removes the job from the live jobs. Until then the write counts as in flight, so that no
    /// second one is started. After a failure the write is retried.
    pub(in crate::core::leader) fn on_final_state_written(
        &mut self,
        context: &mut NodeContext,
        write: FinalStateWrite,
        response: StoreResponse,
    ) {
        let FinalStateWrite { job, done_ms, deleted } = write;
        if let StoreResponse::Committed { revision } = response {
            if let Some(live) = self.jobs.get_mut(&job) {
                live.progress.forget_segments(&deleted);
            }
            let id = context.jobs.id(job).to_string();
            context.apply_job_record(&id, JobRecord::done(0, done_ms), revision, RecordSource::Single);
        } else if let Some(live) = self.jobs.get_mut(&job) {
            live.final_write.finish_and_retry_at(context.clock.now() + context.retry_ms(RETRY_MS));
        }
    }
}
