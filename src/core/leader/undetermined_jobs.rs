//! Jobs with recorded attempts of which a new leader does not know yet whether they are live,
//! because their own record or that of a dependency has not been read. Their attempts continue
//! meanwhile.

use super::Leader;
use crate::core::common::context::NodeContext;
use crate::model::{JobIndex, Ms};
use std::collections::BTreeSet;
use woadlever_recovery::disposition::JobStatus;

/// Time after the start of the leader's activity at which jobs that are still undetermined are
/// logged.
const LOG_DELAY_MS: Ms = 5_000;
/// Maximum number of jobs that one log line names.
const MAX_LOGGED_JOBS: usize = 10;

/// The undetermined jobs of a term.
#[derive(Debug, Default)]
pub(super) struct UndeterminedJobs {
    jobs: BTreeSet<JobIndex>,
    /// Number of recorded attempts at tasks of these jobs when the leader became active.
    pub(super) attempts: usize,
    is_delay_logged: bool,
}

impl UndeterminedJobs {
    /// Adds a recorded attempt at a task of an undetermined job.
    pub(super) fn add_attempt(&mut self, job: JobIndex) {
        self.jobs.insert(job);
        self.attempts += 1;
    }
}

impl Leader {
    /// Logs once that all jobs with recorded attempts are known, and once if that takes long.
    pub(super) fn log_undetermined_jobs(&mut self, context: &NodeContext) {
        if self.undetermined_jobs.jobs.is_empty() {
            return;
        }
        let mut jobs = std::mem::take(&mut self.undetermined_jobs.jobs);
        jobs.retain(|job| self.job_status(context, *job) == JobStatus::Undetermined);
        let active_ms = context.clock.now() - self.activated_at;
        let term = self.term.number();
        if jobs.is_empty() {
            tracing::info!(term, active_ms, "all jobs with recorded attempts are known");
        } else if active_ms >= LOG_DELAY_MS && !self.undetermined_jobs.is_delay_logged {
            self.undetermined_jobs.is_delay_logged = true;
            let named: Vec<&str> =
                jobs.iter().take(MAX_LOGGED_JOBS).map(|job| context.jobs.id(*job)).collect();
            tracing::info!(term, active_ms, jobs = jobs.len(), ?named, "jobs are still undetermined");
        }
        self.undetermined_jobs.jobs = jobs;
    }
}
