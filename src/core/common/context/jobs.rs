//! Access to jobs and their records, and the checks that depend on them.

use super::NodeContext;
use crate::core::common::job_records::RecordSource;
use crate::core::common::job_table::{Job, KnownState};
use crate::model::JobIndex;
use crate::wire::store::JobRecord;
use rustc_hash::FxHashSet;
use woadlever_cells::record::Origin;

impl NodeContext {
    /// Returns the job with this index.
    pub fn job(&self, index: JobIndex) -> &Job {
        self.jobs.get(index)
    }

    /// Returns the job's index if its record has been read and is in memory.
    pub fn job_index(&self, id: &str) -> Option<JobIndex> {
        self.jobs.index_of(id)
    }

    /// Returns the index of a job that a record or a frame refers to. If the job is not in
    /// memory, its record is queued for a separate read.
    pub(crate) fn job_index_or_lookup(&mut self, id: &str) -> JobIndex {
        self.jobs.index_or_lookup(id, self.clock.now())
    }

    /// Applies a job's record and returns whether it may be relied on (see
    /// `JobTable::apply_record`).
    pub fn apply_job_record(
        &mut self,
        id: &str,
        record: JobRecord,
        version: u64,
        source: RecordSource,
    ) -> bool {
        self.jobs.apply_record(id, record, version, source, self.clock.now())
    }

    /// Whether no task of the job may be started or kept running: this node knows that the
    /// job's cancellation is confirmed, or the job belongs to another cell whose lease has
    /// ended.
    pub fn must_stop(&self, index: JobIndex) -> bool {
        let job = self.job(index);
        let is_cancelled = match job.state {
            KnownState::Cancelled | KnownState::Dropped => true,
            KnownState::Unread | KnownState::Missing | KnownState::Live | KnownState::Done => false,
        };
        let is_cancelled = is_cancelled || job.cancellation_noticed;
        let is_paused = |origin: &Origin| !self.cell_leases.is_valid(&origin.cell, self.clock.wall());
        is_cancelled || job.origin().is_some_and(is_paused)
    }

    /// Drops the oldest final jobs from memory if there are too many. `in_use` adds the jobs
    /// that a role still refers to.
    pub fn drop_final_jobs(&mut self, in_use: impl FnOnce(&mut FxHashSet<JobIndex>)) {
        self.jobs.drop_final_jobs(self.clock.now(), in_use);
    }

    /// Drops the specs of jobs that became final some time ago, and the task counts of all
    /// final jobs.
    pub fn drop_final_job_data(&mut self) {
        self.jobs.drop_old_specs(self.clock.now());
        let jobs = &self.jobs;
        let is_live =
            |id: &str| jobs.index_of(id).is_some_and(|index| jobs.get(index).state == KnownState::Live);
        self.task_counts.retain(is_live);
    }

    /// Updates the set of machine types that live jobs depend on, if the update is due.
    pub fn update_scarce_types(&mut self) {
        if !self.machine_types.is_scarcity_due(self.clock.now()) {
            return;
        }
        let local_jobs =
            self.jobs.values().filter(|job| job.state == KnownState::Live && !job.is_forwarded());
        let specs = local_jobs.filter_map(|job| job.spec.as_deref());
        self.machine_types.update_scarce(self.clock.now(), specs);
    }
}
