//! Why attempts are counted against quotas and capacity, or no longer are.

use super::Leader;
use crate::core::common::context::NodeContext;
use crate::model::{AttemptId, JobIndex, ShardIndex};
use crate::wire::peer::ReportedPhase;

/// Why an attempt is counted, or no longer is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Decision {
    /// Admitted by this leader.
    Admitted,
    /// Reported by a shard owner, and neither admitted nor read by this leader.
    Adopted {
        /// Whether it goes on.
        is_wanted: bool,
    },
    /// Its task has ended in this phase.
    Ended(ReportedPhase),
    /// Not listed by a reported state that answers a desired state which named it.
    Gone {
        /// The first desired state that named it.
        first_named_in: Option<u64>,
        /// The desired state that was answered.
        echo: u64,
    },
}

/// A decision with the attempt that it is about.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptDecision {
    pub attempt: AttemptId,
    pub job: JobIndex,
    pub task: u32,
    pub shard: ShardIndex,
    pub decision: Decision,
}

impl Leader {
    /// Keeps a decision, and logs it at debug.
    pub(super) fn note_decision(&mut self, context: &NodeContext, made: AttemptDecision) {
        let AttemptDecision { attempt, job, task, shard, decision } = made;
        tracing::debug!(
            term = self.term.number(),
            shard = context.shards[shard.place()].name,
            job = context.jobs.id(job),
            task,
            attempt = attempt.number(),
            ?decision,
            "decision on attempt"
        );
        self.decisions.push(context.clock.now(), made);
    }

    /// Logs the newest decisions as errors: a quota has been found broken.
    pub(super) fn log_newest_decisions(&mut self, context: &NodeContext) {
        for (age_ms, made) in self.decisions.take(context.clock.now()) {
            tracing::error!(
                age_ms,
                shard = context.shards[made.shard.place()].name,
                job = context.jobs.id(made.job),
                task = made.task,
                attempt = made.attempt.number(),
                decision = ?made.decision,
                "decision before the broken quota"
            );
        }
    }
}
