//! How the records of jobs, which arrive from reads and from the watch in any order, change
//! the jobs in memory.

use super::job_table::{CellLink, JobTable};
use crate::model::{JobIndex, Ms};
use crate::wire::store::{JobRecord, JobState};
use crate::wire::users::valid_id;
use rustc_hash::FxHashSet;
use std::sync::Arc;

/// How long a final job keeps its description.
const SPEC_KEPT_MS: Ms = 180_000;
/// Final jobs are not dropped more often than this: it looks at every attempt.
const DROP_GAP_MS: Ms = 1_000;

/// Where a job's record comes from. That decides what it can say of a job that is
/// not in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordSource {
    /// A page of a full read; the first page had this revision.
    Page {
        /// Revision of the first page.
        first_revision: u64,
    },
    /// An event of the watch.
    Watch,
    /// A read or a write of this record alone.
    Single,
}

impl JobTable {
    /// Takes in a job's record. Older ones are ignored: reads and watch events
    /// cross each other. The result is whether the record may be relied on.
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
                // Nothing in memory refers to it. The watch goes on from the first
                // page, so no older record of it will come.
                RecordSource::Page { first_revision }
                    if record.state != JobState::Live
                        && version <= first_revision
                        && !self.has_index(id) =>
                {
                    return true;
                }
                // All live jobs up to the watched revision are in memory. So this
                // one has become final since it was read, and has been dropped or
                // was never kept: taken for live, its tasks would run again.
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
        let is_offered_again = job.is_tombstone_before(&record);
        let is_first = !job.is_read() || is_offered_again;
        job.cancellation_noticed &= !is_offered_again;
        if version <= job.version || !is_first && job.state != JobState::Live {
            return;
        }
        let is_final = record.state != JobState::Live;
        let is_newly_cancelled = record.state == JobState::Cancelled && !job.cancellation_noticed;
        job.version = version;
        job.state = record.state;
        job.state_since = now;
        job.links.done_at_ms = record.done_ms;
        if is_first {
            job.tasks = record.tasks;
        }
        // A final state that was written here may leave it out; whose job it is never changes.
        if job.origin().is_none() || record.origin.is_some() {
            job.cell = CellLink::of(&record);
        }
        let (spec, dependencies) = record.into_parts();
        if let Some(spec) = spec {
            job.spec = Some(Arc::new(spec));
        }
        self.set_read(index);
        if is_final {
            self.set_final(index);
        }
        if is_first {
            self.link_dependencies(index, &dependencies, now);
        }
        // Nobody can have a task of a final job that was not known before.
        if is_new && is_final {
            return;
        }
        if is_newly_cancelled {
            self.mark_newly_cancelled(index);
        }
        self.propagate_end(index);
        self.mark_changed(index);
    }

    /// Notes another node's word that the cancellation of a job is confirmed.
    pub(crate) fn note_cancellation(&mut self, id: &str, now: Ms) {
        if !valid_id(id) {
            return;
        }
        let index = self.index_or_lookup(id, now);
        let Some(job) = self.get_mut(index) else { return };
        if job.state == JobState::Live && !job.cancellation_noticed {
            job.cancellation_noticed = true;
            self.mark_changed(index);
            self.mark_newly_cancelled(index);
        }
    }

    /// Final jobs give their description up after a while; by then nothing
    /// of them is left on any machine.
    pub(crate) fn drop_old_specs(&mut self, now: Ms) {
        self.drop_specs(now.saturating_sub(SPEC_KEPT_MS));
    }

    /// Drops the oldest final jobs if there are too many. `in_use` adds the jobs
    /// that a role refers to.
    pub(crate) fn drop_final_jobs(&mut self, now: Ms, in_use: impl FnOnce(&mut FxHashSet<JobIndex>)) {
        let Some(watched_revision) = self.watched_revision() else { return };
        if !self.is_over_limit() || !self.take_drop_due(now, DROP_GAP_MS) {
            return;
        }
        let mut indices: FxHashSet<JobIndex> = FxHashSet::default();
        in_use(&mut indices);
        self.add_referenced(&mut indices);
        self.drop_final(&indices, watched_revision);
    }
}
