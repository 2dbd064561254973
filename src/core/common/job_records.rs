//! Applies the records of jobs, which arrive from reads and from the watch in any order, to the
//! jobs in memory.

use super::job_table::{CellLink, JobTable};
use crate::model::{JobIndex, Ms};
use crate::wire::store::{JobRecord, JobState};
use crate::wire::users::valid_id;
use rustc_hash::FxHashSet;
use std::sync::Arc;

/// How long a final job keeps its spec in memory.
const SPEC_RETENTION_MS: Ms = 180_000;
/// Minimum interval between two drops of final jobs, since each drop scans every attempt.
const DROP_INTERVAL_MS: Ms = 1_000;

/// Where a job's record comes from. This determines what the record implies if the job is not
/// in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordSource {
    /// A page of a full read.
    Page {
        /// Revision of the first page of that read.
        first_revision: u64,
    },
    /// A watch event.
    Watch,
    /// A read or write of this single record.
    Single,
}

impl JobTable {
    /// Applies a job's record and returns whether the record may be relied on. Records older than
    /// the known version are ignored, since reads and watch events may arrive out of order.
    pub(crate) fn apply_record(
        &mut self,
        id: &str,
        record: JobRecord,
        version: u64,
        source: RecordSource,
        now: Ms,
    ) -> bool {
        if self.index_of(id).is_none() {
            match source {
                // Nothing in memory refers to the job. The watch continues from the first page,
                // so no older record of the job will arrive.
                RecordSource::Page { first_revision }
                    if record.state != JobState::Live
                        && version <= first_revision
                        && !self.has_index(id) =>
                {
                    return true;
                }
                // All jobs that are live as of the watched revision are in memory. This job has
                // therefore become final since the record was read, and was dropped or never
                // kept. If it were treated as live, its tasks would run again.
                RecordSource::Single
                    if record.state == JobState::Live
                        && self.watched_revision().is_none_or(|watched| version <= watched) =>
                {
                    return false;
                }
                _ => {}
            }
        }
        self.update(id, record, version, now);
        true
    }

    fn update(&mut self, id: &str, record: JobRecord, version: u64, now: Ms) {
        let is_new = !self.has_index(id);
        let index = self.index_or_lookup(id, now);
        let Some(job) = self.get_mut(index) else { return };
        let is_offered_again = job.is_tombstone_older_than(&record);
        let is_first = !job.is_read() || is_offered_again;
        job.cancellation_noticed &= !is_offered_again;
        if version <= job.version || !is_first && job.state.is_final() {
            return;
        }
        let is_final = record.state != JobState::Live;
        let is_newly_cancelled = record.state == JobState::Cancelled && !job.cancellation_noticed;
        job.version = version;
        job.state = record.state.into();
        job.state_since = now;
        job.links.done_at_ms = record.done_ms;
        if is_first {
            job.tasks = record.tasks;
        }
        // A final record written by this cell may omit the origin, but the cell that a job belongs
        // to never changes.
        if job.origin().is_none() || record.origin.is_some() {
            job.cell = CellLink::of(&record);
        }
        let (spec, dependencies) = record.into_parts();
        if let Some(spec) = spec {
            job.spec = Some(Arc::new(spec));
        }
        self.remove_unread(index);
        if is_final {
            self.set_final(index);
        }
        if is_first {
            self.link_dependencies(index, &dependencies, now);
        }
        // No machine can have a task of a job that was already final when it became known.
        if is_new && is_final {
            return;
        }
        if is_newly_cancelled {
            self.mark_newly_cancelled(index);
        }
        self.propagate_end(index);
        self.mark_changed(index);
    }

    /// Records that another node has announced the confirmed cancellation of a job.
    pub(crate) fn note_cancellation(&mut self, id: &str, now: Ms) {
        if !valid_id(id) {
            return;
        }
        let index = self.index_or_lookup(id, now);
        let Some(job) = self.get_mut(index) else { return };
        if !job.state.is_final() && !job.cancellation_noticed {
            job.cancellation_noticed = true;
            self.mark_changed(index);
            self.mark_newly_cancelled(index);
        }
    }

    /// Drops the specs of jobs that became final some time ago. By then nothing of them is left
    /// on any machine.
    pub(crate) fn drop_old_specs(&mut self, now: Ms) {
        self.drop_specs(now.saturating_sub(SPEC_RETENTION_MS));
    }

    /// Drops the oldest final jobs from memory if there are too many. `in_use` adds the jobs that
    /// a role still refers to.
    pub(crate) fn drop_final_jobs(&mut self, now: Ms, in_use: impl FnOnce(&mut FxHashSet<JobIndex>)) {
        let Some(watched_revision) = self.watched_revision() else { return };
        if !self.is_over_limit() || !self.take_drop_due(now, DROP_INTERVAL_MS) {
            return;
        }
        let mut indices: FxHashSet<JobIndex> = FxHashSet::default();
        in_use(&mut indices);
        self.add_referenced(&mut indices);
        self.drop_final(&indices, watched_revision);
    }
}
