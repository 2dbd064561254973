//! The dependency graph of jobs: kept on every node beside the watched jobs, and updated
//! along its edges with each record, never by a look at all jobs.

use super::job_table::JobTable;
use crate::model::{JobIndex, Ms};
use crate::wire::store::JobState;

/// A job's place in the dependency graph.
#[derive(Debug, Default)]
pub struct DependencyLinks {
    /// Jobs that have to be done before it.
    pub dependencies: Vec<JobIndex>,
    /// Live jobs that depend on it.
    pub dependents: Vec<JobIndex>,
    /// Dependencies that are not on record as done.
    pub unfinished_dependencies: u32,
    /// One before it is cancelled, directly or through others, and so will it be.
    pub has_cancelled_dependency: bool,
    /// Time of day at which it was done, as its record says.
    pub done_at_ms: u64,
}

impl JobTable {
    /// Links a live job, seen for the first time, to its dependencies.
    pub(crate) fn link_dependencies(&mut self, index: JobIndex, dependencies: &[String], now: Ms) {
        let mut has_cancelled_dependency = false;
        for id in dependencies {
            let dependency_index = self.index_or_lookup(id, now);
            let Some(dependency) = self.get_mut(dependency_index) else { continue };
            has_cancelled_dependency |=
                dependency.state == JobState::Cancelled || dependency.links.has_cancelled_dependency;
            let is_done = dependency.is_read() && dependency.state == JobState::Done;
            if dependency.state == JobState::Live {
                dependency.links.dependents.push(index);
            }
            let Some(job) = self.get_mut(index) else { return };
            job.links.dependencies.push(dependency_index);
            job.links.unfinished_dependencies += u32::from(!is_done);
        }
        if has_cancelled_dependency {
            self.propagate_cancellation(index);
        }
    }

    /// Passes a job's end on to those that depend on it.
    pub(crate) fn propagate_end(&mut self, index: JobIndex) {
        let Some(job) = self.get_mut(index) else { return };
        if job.state == JobState::Live {
            return;
        }
        let is_done = job.state == JobState::Done;
        let dependents = std::mem::take(&mut job.links.dependents);
        job.links.dependencies = Vec::new();
        for dependent in dependents {
            if is_done {
                self.count_finished_dependency(dependent);
            } else {
                self.propagate_cancellation(dependent);
            }
        }
    }

    fn count_finished_dependency(&mut self, index: JobIndex) {
        let Some(job) = self.get_mut(index) else { return };
        job.links.unfinished_dependencies = job.links.unfinished_dependencies.saturating_sub(1);
        if job.links.unfinished_dependencies == 0 {
            self.mark_changed(index);
        }
    }

    fn propagate_cancellation(&mut self, first: JobIndex) {
        let mut pending = vec![first];
        while let Some(index) = pending.pop() {
            let Some(job) = self.get_mut(index) else { continue };
            if !job.links.has_cancelled_dependency && job.state == JobState::Live {
                job.links.has_cancelled_dependency = true;
                pending.extend(&job.links.dependents);
                self.mark_changed(index);
            }
        }
    }

    /// Time of day since when the job could have been started: its acceptance, or the end
    /// of its last dependency. All from records, so that every leader counts from the same
    /// moment.
    pub fn ready_at_ms(&self, index: JobIndex) -> u64 {
        let job = self.get(index);
        let accepted_at = job.spec.as_ref().map_or(0, |spec| spec.accepted_at_ms);
        let ends =
            job.links.dependencies.iter().map(|dependency| self.get(*dependency).links.done_at_ms);
        ends.fold(accepted_at, u64::max)
    }
}
