//! Synchronizes the leader's live jobs with the jobs that every node watches.
//!
//! A job is added once all its dependencies are recorded as done. It is removed when its final
//! record is seen or, earlier, when its cancellation is noticed.

use super::Leader;
use super::live_jobs::LiveJob;
use super::progress::{LoadedSegment, ProgressSegment};
use crate::core::common::context::NodeContext;
use crate::core::common::job_table::KnownState;
use crate::model::JobIndex;
use crate::wire::peer::ReportedPhase;
use std::collections::BTreeSet;
use woadlever_recovery::disposition::{AttemptDisposition, JobStatus, TaskStatus};

impl Leader {
    /// Synchronizes all jobs whose records have changed since the last call.
    pub(super) fn sync_changed_jobs(&mut self, context: &mut NodeContext) {
        let mut changed = context.jobs.take_changed();
        changed.sort_unstable();
        changed.dedup();
        for job in changed {
            self.sync_job(context, job);
            self.cycle_due = true;
        }
    }

    /// Adds, updates or removes one job according to its record.
    pub(super) fn sync_job(&mut self, context: &mut NodeContext, index: JobIndex) {
        let job = context.job(index);
        match job.state {
            KnownState::Unread if !job.cancellation_noticed => return,
            KnownState::Live if !job.cancellation_noticed => {}
            KnownState::Unread
            | KnownState::Missing
            | KnownState::Live
            | KnownState::Done
            | KnownState::Cancelled
            | KnownState::Dropped => return self.remove_job(context, index),
        }
        if job.links.has_cancelled_dependency {
            return self.queue_cancellation(index);
        }
        // No task of the job may start until all its dependencies are recorded as done, which
        // is final.
        if job.links.unfinished_dependencies > 0 {
            return;
        }
        match self.jobs.get_mut(&index) {
            Some(known) => known.update_location(job),
            None => self.add_job(context, index),
        }
    }

    /// Returns what is known about a job, for the decision on an attempt at one of its tasks.
    pub(super) fn job_status(&self, context: &NodeContext, index: JobIndex) -> JobStatus {
        let job = context.job(index);
        let may_run = !job.cancellation_noticed && !job.is_forwarded();
        match job.state {
            KnownState::Unread if may_run => JobStatus::Undetermined,
            KnownState::Live if may_run && self.jobs.contains_key(&index) => JobStatus::Live,
            // An attempt is only recorded once all dependencies are done, so those that do not
            // appear as done have not been read yet.
            KnownState::Live
                if may_run
                    && job.links.unfinished_dependencies > 0
                    && !job.links.has_cancelled_dependency =>
            {
                JobStatus::Undetermined
            }
            KnownState::Unread
            | KnownState::Missing
            | KnownState::Live
            | KnownState::Done
            | KnownState::Cancelled
            | KnownState::Dropped => JobStatus::Ended,
        }
    }

    /// Adds a live job, with the progress that has been read from records and the attempts at its
    /// tasks that are known.
    fn add_job(&mut self, context: &NodeContext, index: JobIndex) {
        let job = context.job(index);
        let id = context.jobs.id(index);
        let Some(spec) = job.spec.clone() else { return };
        let teams = &context.platform.cluster.teams;
        let Some(team) = teams.iter().position(|team| team.name == spec.team) else {
            tracing::error!(id, "accepted job names an unknown team");
            return self.stop_attempts_of(index);
        };
        let mut live = LiveJob::new(spec, team, context.jobs.ready_at_ms(index));
        live.update_location(job);
        for LoadedSegment { segment, bits, version } in
            self.unclaimed_progress.remove(id).unwrap_or_default()
        {
            live.apply_progress(segment, &bits, version);
        }
        self.jobs.insert(index, live);
        self.claim_attempts(context, index);
    }

    /// Makes a job that has been added account for the attempts at its tasks: no further attempt
    /// is made until they are gone, and successes that were reported before count.
    fn claim_attempts(&mut self, context: &NodeContext, index: JobIndex) {
        let job = self.job_status(context, index);
        for id in self.attempts.ids_of_job(index) {
            let Some(live) = self.jobs.get_mut(&index) else { return };
            let Some(attempt) = self.attempts.get_mut(id) else { continue };
            live.mark_attempted(attempt.task);
            let is_done = live.done.contains(attempt.task);
            if AttemptDisposition::of_recorded(TaskStatus { job, is_done }) == AttemptDisposition::Stop {
                attempt.stop(&mut self.shards);
            } else if attempt.phase == ReportedPhase::Done {
                self.on_attempt_done(id);
            }
        }
    }

    /// Removes a job that is final or about to be: stops its attempts and deletes its progress
    /// records. A job with many tasks has more of these records than its final write deletes.
    fn remove_job(&mut self, context: &NodeContext, index: JobIndex) {
        let id = context.jobs.id(index);
        let live = self.jobs.remove(&index);
        let unclaimed = self.unclaimed_progress.remove(id);
        self.stop_attempts_of(index);
        let mut segments: BTreeSet<ProgressSegment> =
            live.map(|live| live.progress.into_segments()).unwrap_or_default();
        segments.extend(unclaimed.into_iter().flatten().map(|loaded| loaded.segment));
        self.deletions.extend(segments.into_iter().map(|segment| segment.key(id)));
    }

    /// Stops all attempts at tasks of a job.
    fn stop_attempts_of(&mut self, index: JobIndex) {
        for id in self.attempts.ids_of_job(index) {
            self.stop_attempt(id);
        }
    }
}
