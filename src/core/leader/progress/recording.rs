//! Writes the progress of incomplete jobs to the store.

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

/// Minimum interval between two writes of progress.
pub(super) const MIN_WRITE_INTERVAL_MS: Ms = 150;
/// Delay before a failed write or reread is retried.
pub(super) const RETRY_MS: Ms = 250;
/// Delay before the next write after the store has rejected one as malformed.
const MALFORMED_RETRY_MS: Ms = 1_000;
/// Maximum number of mutations in one write.
const MAX_MUTATIONS: usize = 8;
/// Share of the store's write rate limit that the progress of unfinished jobs may use. These
/// writes only save repeated work if the leader and a machine are lost together; otherwise the
/// machine retains the success.
const WRITE_RATE_SHARE: f64 = 0.12;

/// The part of a write that records the progress of one job.
#[derive(Debug)]
pub struct SegmentWrite {
    job: JobIndex,
    /// Tasks that the write records for the first time.
    tasks: Vec<u32>,
    segments: BTreeSet<ProgressSegment>,
}

impl Leader {
    /// Writes final states first, because users wait for these; then progress; and, if there is
    /// no progress to write, deletes obsolete progress records.
    pub(in crate::core::leader) fn record(&mut self, context: &mut NodeContext) {
        self.write_final_states(context);
        let now = context.clock.now();
        if !self.record_timer.is_due(now) {
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
        self.record_timer.set(now + MIN_WRITE_INTERVAL_MS.max(cost_ms as Ms));
        context.send_store_request(
            StoreCallOwner::Leader(LeaderCall::WriteProgress { writes }),
            StoreRequest::CompareAndSwap(request),
        );
    }

    /// Adds the unrecorded progress of as many jobs to the request as fit into it.
    fn collect_progress(
        &mut self,
        context: &NodeContext,
        request: &mut CompareAndSwap,
    ) -> Vec<SegmentWrite> {
        let max_mutations = context.platform.cluster.state.txn_ops.min(MAX_MUTATIONS);
        let mut writes: Vec<SegmentWrite> = Vec::new();
        for job in self.jobs_to_record() {
            let Some(live) = self.jobs.get_mut(&job) else { continue };
            let in_parts = must_write_parts(context, live.spec.tasks, self.are_lower_limits_in_force);
            let unrecorded = live.progress.unrecorded.iter();
            let mut segments: BTreeSet<ProgressSegment> =
                unrecorded.map(|task| ProgressSegment::of(*task, in_parts)).collect();
            let exceeds_limit = request.mutations.len() + segments.len() > max_mutations;
            if exceeds_limit && !writes.is_empty() {
                break;
            }
            // A job that exceeds the limit on its own is recorded in several writes.
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

    /// Returns the jobs with unrecorded progress, those with the most unrecorded tasks first.
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

    /// Handles the result of a write of progress.
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
            self.record_timer.postpone(context.clock.now() + context.retry_ms(RETRY_MS));
        }
        if matches!(response, StoreResponse::Malformed) {
            // Progress fits once it is written in parts. The longer delay avoids a retry at each
            // poll if the write was malformed for another reason.
            self.are_lower_limits_in_force = true;
            self.record_timer.set(context.clock.now() + MALFORMED_RETRY_MS);
        }
    }

    /// Stops those attempts of a job whose success is recorded, so that they are cleared from
    /// their machines.
    pub(in crate::core::leader) fn stop_recorded_attempts(&mut self, job: JobIndex) {
        let Some(live) = self.jobs.get(&job) else { return };
        for id in self.attempts.ids_of_job(job) {
            let Some(attempt) = self.attempts.get_mut(id) else { continue };
            let is_done = attempt.phase == ReportedPhase::Done;
            if attempt.is_wanted && is_done && live.progress.is_recorded(attempt.task) {
                attempt.stop(&mut self.shards);
            }
        }
    }
}

/// Whether the progress of a job with this number of tasks must be written in parts, because a
/// whole segment exceeds the store's limit on the size of a value: the present limit, or the
/// lower one once it is in force.
fn must_write_parts(context: &NodeContext, tasks: u32, are_lower_limits_in_force: bool) -> bool {
    let text_len = ProgressSegment::whole_text_len(tasks);
    let state = &context.platform.cluster.state;
    let exceeds_present_limit = text_len as f64 > state.current_value_kb * 1024.0;
    text_len > state.value_bytes() && (are_lower_limits_in_force || exceeds_present_limit)
}

/// Adds the given segments of a job's progress to a request.
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
        // The write is conditional on the record's version. Executed late, after a newer write,
        // it would otherwise revert tasks that have already been cleared from their machines.
        let version = *progress.segments.entry(*segment).or_insert(Some(0));
        let key = segment.key(id);
        let value = Encoded::new(&done.to_hex(first_word, first_word + segment.word_count()));
        request.compares.push(Compare { key: key.clone(), version: version.unwrap_or(0) });
        request.mutations.push(Mutation::Put { key, value, lease: None });
    }
}
