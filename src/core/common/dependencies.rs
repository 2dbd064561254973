//! Which job awaits which, kept on every node beside the watched jobs and updated
//! along the links with each record, never by a look at all jobs.

use super::shared::Shared;
use crate::wire::store::JobState;

/// A job's place among others.
#[derive(Debug, Default)]
pub struct DependencyLinks {
    /// What it awaits.
    pub before: Vec<u32>,
    /// Live jobs that await it.
    pub after: Vec<u32>,
    /// Of what it awaits, so many are not on record as done.
    pub open: u32,
    /// One before it is withdrawn, and so will it be.
    pub has_cancelled_dependency: bool,
    /// Time of day at which it was done, as its record says.
    pub done_ms: u64,
}

impl Shared {
    /// Ties a live job, seen for the first time, to what it awaits.
    pub(crate) fn link(&mut self, ix: u32, awaits: &[String]) {
        let mut has_cancelled_dependency = false;
        for id in awaits {
            let p = self.job_index_or_lookup(id);
            let Some(before) = self.jobs.get_mut(p) else { continue };
            has_cancelled_dependency |=
                before.state == JobState::Cancelled || before.links.has_cancelled_dependency;
            let done = before.is_read() && before.state == JobState::Done;
            if before.state == JobState::Live {
                before.links.after.push(ix);
            }
            let Some(job) = self.jobs.get_mut(ix) else { return };
            job.links.before.push(p);
            job.links.open += u32::from(!done);
        }
        if has_cancelled_dependency {
            self.propagate_cancellation(ix);
        }
    }

    /// What a job's end means to those that await it.
    pub(crate) fn propagate_completion(&mut self, ix: u32) {
        let Some(job) = self.jobs.get_mut(ix) else { return };
        if job.state == JobState::Live {
            return;
        }
        let done = job.state == JobState::Done;
        let after = std::mem::take(&mut job.links.after);
        job.links.before = Vec::new();
        for a in after {
            if !done {
                self.propagate_cancellation(a);
                continue;
            }
            let Some(job) = self.jobs.get_mut(a) else { continue };
            job.links.open = job.links.open.saturating_sub(1);
            if job.links.open == 0 {
                self.jobs_changed.push(a);
            }
        }
    }

    fn propagate_cancellation(&mut self, ix: u32) {
        let mut list = vec![ix];
        while let Some(ix) = list.pop() {
            let Some(job) = self.jobs.get_mut(ix) else { continue };
            if !job.links.has_cancelled_dependency && job.state == JobState::Live {
                job.links.has_cancelled_dependency = true;
                list.extend(&job.links.after);
                self.jobs_changed.push(ix);
            }
        }
    }

    /// Time of day since when the job could have been started: its acceptance,
    /// or the end of the last that it awaits. All from records, so that every
    /// leader counts from the same moment.
    pub fn ready_ms(&self, ix: u32) -> u64 {
        let job = self.job(ix);
        let own = job.spec.as_ref().map_or(0, |s| s.at_ms);
        let ends = job.links.before.iter().map(|p| self.job(*p).links.done_ms);
        ends.fold(own, u64::max)
    }
}
