//! Records the progress of jobs that are not complete yet.

use super::{JobProgress, ProgressSegment};
use crate::core::common::context::NodeContext;
use crate::core::leader::live_jobs::LiveJob;
use crate::core::leader::{Leader, LeaderCall};
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{JobIndex, Ms, TaskSet};
use crate::wire::encoded::Encoded;
use crate::wire::peer::ReportedPhase;
use crate::wire::store::{Compare, CompareAndSwap, Mutation};
use std::collections::BTreeSet;

/// Least time between two writes of progress.
pub(super) const RECORD_GAP_MS: Ms = 150;
/// Pause after a write that failed.
pub(super) const RETRY_MS: Ms = 250;
/// Pause after the store has rejected a write as malformed.
const MALFORMED_RETRY_MS: Ms = 1_000;
/// Mutations of one write at most.
const MAX_MUTATIONS: usize = 8;
/// Share of the store's write rate that progress of unfinished jobs may take. It only spares
/// work if the leader and a machine are lost together; meanwhile a success is safe on its
/// machine.
const WRITE_RATE_SHARE: f64 = 0.12;

/// What one write records of a job.
#[derive(Debug)]
pub struct SegmentWrite {
    job: JobIndex,
    /// Tasks that had not been on record.
    tasks: Vec<u32>,
    segments: BTreeSet<ProgressSegment>,
}

impl Leader {
    /// Writes what is done: final states first, as users wait for just these, then progress,
    /// and with nothing else to write, deletions.
    pub(in crate::core::leader) fn record(&mut self, context: &mut NodeContext) {
        self.write_final_states(context);
        let now = context.clock.now();
        if now < self.record_at {
            return;
        }
        self.reread_segments(context);
        if !context.can_write(1) {
            return;
        }
        let mut request = CompareAndSwap { compares: vec![self.compare_term()], mutations: Vec::new() };
        let writes = self.collect_progress(context, &mut request);
        if writes.is_empty() {
            return self.delete_obsolete_progress(context);
        }
        let writes_per_s = context.platform.cluster.state.write_rps * WRITE_RATE_SHARE;
        let cost_ms = request.mutations.len() as f64 * 1000.0 / writes_per_s;
        self.record_at = now + RECORD_GAP_MS.max(cost_ms as Ms);
        context.send_store_request(
            StoreCallOwner::Leader(LeaderCall::Record { writes }),
            StoreRequest::CompareAndSwap(request),
        );
    }

    /// Adds the unrecorded progress of as many jobs as fit to a request.
    fn collect_progress(
        &mut self,
        context: &NodeContext,
        request: &mut CompareAndSwap,
    ) -> Vec<SegmentWrite> {
        let max_mutations = context.platform.cluster.state.txn_ops.min(MAX_MUTATIONS);
        let mut writes: Vec<SegmentWrite> = Vec::new();
        for job in self.jobs_to_record() {
            let Some(live) = self.jobs.get_mut(&job) else { continue };
            let in_parts = must_write_parts(context, live.spec.tasks, self.has_lowered_limits);
            let unrecorded = live.progress.unrecorded.iter();
            let mut segments: BTreeSet<ProgressSegment> =
                unrecorded.map(|task| ProgressSegment::of(*task, in_parts)).collect();
            let exceeds_limit = request.mutations.len() + segments.len() > max_mutations;
            if exceeds_limit && !writes.is_empty() {
                break;
            }
            // A job that exceeds the limit alone is recorded in several writes.
            segments = segments.into_iter().take(max_mutations).collect();
            let tasks = live.progress.take_unrecorded(&segments, in_parts);
            add_segments(&mut live.progress, &live.done, context.jobs.id(job), &segments, request);
            writes.push(SegmentWrite { job, tasks, segments });
            if exceeds_limit {
                break;
            }
        }
        writes
    }

    /// Jobs with progress to be recorded; those with the most new tasks first.
    fn jobs_to_record(&self) -> Vec<JobIndex> {
        let is_due = |live: &LiveJob| {
            let progress = &live.progress;
            !progress.unrecorded.is_empty() && !progress.is_write_pending && !live.is_complete()
        };
        let mut due: Vec<(usize, JobIndex)> = self
            .jobs
            .iter()
            .filter(|(_, live)| is_due(live))
            .map(|(job, live)| (live.progress.unrecorded.len(), *job))
            .collect();
        due.sort_unstable_by(|left, right| right.cmp(left));
        due.into_iter().map(|(_, job)| job).collect()
    }

    /// Takes in the outcome of a write of progress.
    pub(in crate::core::leader) fn on_recorded(
        &mut self,
        context: &mut NodeContext,
        writes: Vec<SegmentWrite>,
        response: StoreResponse,
    ) {
        let version = match response {
            StoreResponse::Committed { revision } => Some(revision),
            _ => None,
        };
        let is_rejected = matches!(response, StoreResponse::NotExecuted | StoreResponse::Malformed);
        for write in writes {
            let Some(live) = self.jobs.get_mut(&write.job) else { continue };
            let progress = &mut live.progress;
            if !is_rejected {
                progress.segments.extend(write.segments.iter().map(|segment| (*segment, version)));
            }
            progress.settle_write();
            if version.is_none() {
                progress.unrecorded.extend(&write.tasks);
                continue;
            }
            for task in &write.tasks {
                progress.recorded.insert(*task);
            }
            self.stop_recorded_attempts(write.job);
        }
        if version.is_none() {
            self.record_at = self.record_at.max(context.clock.now() + context.retry_ms(RETRY_MS));
        }
        if matches!(response, StoreResponse::Malformed) {
            // In parts the progress fits. What else may be wrong is not tried at each poll.
            self.has_lowered_limits = true;
            self.record_at = context.clock.now() + MALFORMED_RETRY_MS;
        }
    }

    /// Stops attempts whose success is on record, so that they are cleared from the machines.
    pub(in crate::core::leader) fn stop_recorded_attempts(&mut self, job: JobIndex) {
        let Some(live) = self.jobs.get(&job) else { return };
        for id in self.attempts.ids_of_job(job) {
            let Some(attempt) = self.attempts.get_mut(id) else { continue };
            let is_done = attempt.state == ReportedPhase::Done;
            if attempt.is_wanted && is_done && live.progress.is_recorded(attempt.task) {
                attempt.stop(&mut self.shards);
            }
        }
    }
}

/// Whether progress of a job with so many tasks is written in parts: a whole segment may
/// exceed the limit on values, the present one or the lower one once that is in force.
fn must_write_parts(context: &NodeContext, tasks: u32, has_lowered_limits: bool) -> bool {
    let text_len = ProgressSegment::whole_text_len(tasks);
    let state = &context.platform.cluster.state;
    let exceeds_present_limit = text_len as f64 > state.today_kb * 1024.0;
    text_len > state.value_bytes() && (has_lowered_limits || exceeds_present_limit)
}

/// Adds segments of a job's progress to a request.
fn add_segments(
    progress: &mut JobProgress,
    done: &TaskSet,
    id: &str,
    segments: &BTreeSet<ProgressSegment>,
    request: &mut CompareAndSwap,
) {
    progress.is_write_pending = true;
    for segment in segments {
        let first_word = segment.first_word();
        // Compared with its own version: executed late, after a newer write, it would take
        // back tasks that have long been cleared from the machines.
        let version = *progress.segments.entry(*segment).or_insert(Some(0));
        let key = segment.key(id);
        let value = Encoded::new(&done.to_hex(first_word, first_word + segment.words()));
        request.compares.push(Compare { key: key.clone(), version: version.unwrap_or(0) });
        request.mutations.push(Mutation::Put { key, value, lease: None });
    }
}
