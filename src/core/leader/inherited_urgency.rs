//! Urgency that a job inherits from the jobs that depend on it: their priorities, and their
//! deadlines less their own duration.
//!
//! Each scheduling cycle computes it for the order of jobs from the dependency links that every
//! node keeps. It is never stored.

use super::Leader;
use crate::core::common::context::NodeContext;
use crate::core::common::job_table::Job;
use crate::model::{JobIndex, JobSpec, Priority};
use rustc_hash::{FxHashMap, FxHashSet};

/// Assumed time from the last success in one job of a pipeline to the start of the next job,
/// without the fetch of its image: to record the success, and to admit and start the task.
const HANDOVER_S: f64 = 4.0;
/// Assumed rate at which images are fetched.
const FETCH_GB_PER_S: f64 = 0.5;

/// Priority and deadline of a job, with those of its dependents taken into account.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct InheritedUrgency {
    /// Highest priority among the job and its dependents.
    pub priority: Priority,
    /// Wall-clock time, in seconds, by which the job has to finish so that it and all its
    /// dependents can meet their deadlines; `None` if none of them has one.
    pub finish_by_s: Option<f64>,
}

impl Leader {
    /// Returns the urgency of all jobs that have dependents, and of those dependents.
    pub(super) fn inherited_urgency(
        &self,
        context: &NodeContext,
    ) -> FxHashMap<JobIndex, InheritedUrgency> {
        let mut known = FxHashMap::default();
        for job in self.jobs.keys().filter(|job| !context.job(**job).links.dependents.is_empty()) {
            self.add_urgency(context, *job, &mut known);
        }
        known
    }

    /// Adds the urgency of a job, and of all jobs that depend on it, to `known`. The depth-first
    /// search visits each job once, whatever the number of paths to it.
    fn add_urgency(
        &self,
        context: &NodeContext,
        start: JobIndex,
        known: &mut FxHashMap<JobIndex, InheritedUrgency>,
    ) {
        let mut path = vec![start];
        // Corrupt records could make jobs depend on each other in a cycle.
        let mut visited = FxHashSet::from_iter([start]);
        while let Some(&current) = path.last() {
            let job = context.job(current);
            let (Some(spec), false) = (&job.spec, known.contains_key(&current)) else {
                path.pop();
                continue;
            };
            let is_open = |next: &JobIndex| !known.contains_key(next) && !visited.contains(next);
            if let Some(next) = dependents(context, job).find(is_open) {
                visited.insert(next);
                path.push(next);
                continue;
            }
            let urgency = self.combine_urgency(context, job, spec, known);
            known.insert(current, urgency);
            path.pop();
        }
    }

    /// Combines a job's own urgency with the urgency that it inherits from its dependents.
    fn combine_urgency(
        &self,
        context: &NodeContext,
        job: &Job,
        spec: &JobSpec,
        known: &FxHashMap<JobIndex, InheritedUrgency>,
    ) -> InheritedUrgency {
        let own_deadline =
            spec.deadline_s.map(|deadline_s| spec.accepted_at_ms as f64 / 1000.0 + deadline_s);
        let mut urgency = InheritedUrgency { priority: spec.priority, finish_by_s: own_deadline };
        for dependent in dependents(context, job) {
            let Some(theirs) = known.get(&dependent) else { continue };
            urgency.priority = urgency.priority.max(theirs.priority);
            let duration_s =
                context.job(dependent).spec.as_ref().map_or(0.0, |spec| self.stage_duration_s(spec));
            if let Some(finish_by_s) = theirs.finish_by_s.map(|by_s| by_s - duration_s) {
                let earliest = urgency.finish_by_s.map_or(finish_by_s, |own| own.min(finish_by_s));
                urgency.finish_by_s = Some(earliest);
            }
        }
        urgency
    }

    /// Returns the assumed duration of a job of a pipeline: the handover from the previous job,
    /// the fetch of its image, and its expected run time.
    fn stage_duration_s(&self, spec: &JobSpec) -> f64 {
        self.expected_s(spec) + spec.image_gb / FETCH_GB_PER_S + HANDOVER_S
    }
}

/// Returns the known jobs that depend on a job.
fn dependents<'a>(context: &'a NodeContext, job: &'a Job) -> impl Iterator<Item = JobIndex> + 'a {
    let is_known = |dependent: &JobIndex| context.job(*dependent).spec.is_some();
    job.links.dependents.iter().copied().filter(is_known)
}
