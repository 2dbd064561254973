//! Announces how many tasks of each live job are done and running. The counts are sent with the
//! leader's heartbeats, and all nodes use them to answer users.

use super::Leader;
use super::live_jobs::JobLocation;
use crate::core::common::context::NodeContext;
use crate::core::common::task_counts::TaskCount;
use crate::model::{JobIndex, Ms};
use crate::wire::peer::ReportedPhase;
use rustc_hash::FxHashMap;

/// Time between two counts.
const COUNT_INTERVAL_MS: Ms = 500;
/// Maximum number of jobs whose counts are announced.
const MAX_TASK_COUNTS: usize = 2_000;

impl Leader {
    /// Counts the tasks again for the next heartbeat, if a count is due.
    pub(super) fn announce_task_counts(&mut self, context: &mut NodeContext) {
        let now = context.clock.now();
        if !self.task_count_timer.is_due(now) {
            return;
        }
        self.task_count_timer.set(now + COUNT_INTERVAL_MS);
        let mut running_here: FxHashMap<JobIndex, u32> = FxHashMap::default();
        for attempt in self.attempts.values().filter(|a| a.phase == ReportedPhase::Running) {
            *running_here.entry(attempt.job).or_default() += 1;
        }
        let counts = self.jobs.iter().map(|(index, live)| {
            let running = match live.location {
                JobLocation::Forwarded { running } => running,
                JobLocation::Local | JobLocation::Hosted { .. } => {
                    running_here.get(index).copied().unwrap_or(0)
                }
            };
            TaskCount { job: context.jobs.id(*index).to_string(), done: live.done.len(), running }
        });
        let known = counts.filter(|count| count.done > 0 || count.running > 0);
        let announced = known.take(MAX_TASK_COUNTS).collect();
        context.task_counts.announce(announced);
    }
}
