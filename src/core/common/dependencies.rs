//! The dependency graph of jobs. Every node keeps it alongside the watched jobs and updates it
//! incrementally along its edges with each record, never by a scan of all jobs.

use super::job_table::{JobTable, KnownState};
use crate::model::{JobIndex, Ms};

/// The edges and the state of one job in the dependency graph.
#[derive(Debug, Default)]
pub struct DependencyLinks {
    /// Jobs that have to be done before this one can start.
    pub dependencies: Vec<JobIndex>,
    /// Live jobs that depend on this one.
    pub dependents: Vec<JobIndex>,
    /// Number of dependencies that are not recorded as done.
    pub unfinished_dependencies: u32,
    /// Whether a direct or transitive dependency is cancelled, so that this job will be
    /// cancelled too.
    pub has_cancelled_dependency: bool,
    /// Wall-clock time at which the job was done, from its record.
    pub done_at_ms: u64,
}

impl JobTable {
    /// Links a live job whose record is applied for the first time to its dependencies.
    pub(crate) fn link_dependencies(&mut self, index: JobIndex, dependencies: &[String], now: Ms) {
        let mut has_cancelled_dependency = false;
        for id in dependencies {
            let dependency_index = self.index_or_lookup(id, now);
            let Some(dependency) = self.get_mut(dependency_index) else { continue };
            has_cancelled_dependency |=
                dependency.state == KnownState::Cancelled || dependency.links.has_cancelled_dependency;
            let is_done = dependency.state == KnownState::Done;
            if !dependency.state.is_final() {
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

    /// Propagates a job's final state to the jobs that depend on it.
    pub(crate) fn propagate_end(&mut self, index: JobIndex) {
        let Some(job) = self.get_mut(index) else { return };
        if !job.state.is_final() {
            return;
        }
        let is_done = job.state == KnownState::Done;
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
            if !job.links.has_cancelled_dependency && job.state == KnownState::Live {
                job.links.has_cancelled_dependency = true;
                pending.extend(&job.links.dependents);
                self.mark_changed(index);
            }
        }
    }

    /// Wall-clock time from which the job could have been started: its acceptance, or the end of
    /// its last dependency if that is later. It derives from records alone, so that every leader
    /// gets the same value.
    pub fn ready_at_ms(&self, index: JobIndex) -> u64 {
        let job = self.get(index);
        let accepted_at = job.spec.as_ref().map_or(0, |spec| spec.accepted_at_ms);
        let ends =
            job.links.dependencies.iter().map(|dependency| self.get(*dependency).links.done_at_ms);
        ends.fold(accepted_at, u64::max)
    }
}
