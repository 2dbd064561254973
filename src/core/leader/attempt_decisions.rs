//! Log of the decisions that start or end the counting of attempts against quotas and capacity.

use super::Leader;
use crate::core::common::context::NodeContext;
use crate::model::{AttemptId, JobIndex, ShardIndex};
use crate::wire::peer::ReportedPhase;

/// Reason why an attempt starts or stops counting against quotas and capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Decision {
    /// Admitted by this leader.
    Admitted,
    /// Reported by a shard owner, but neither admitted by this leader nor in the records that it
    /// has read.
    Adopted {
        /// Whether the attempt continues; otherwise it is stopped.
        is_wanted: bool,
    },
    /// Reported in this phase, in which it no longer occupies capacity.
    Ended(ReportedPhase),
    /// Missing from a reported state that answers a desired state which named the attempt.
    Gone {
        /// Serial of the first desired state that named the attempt.
        first_named_in: Option<u64>,
        /// Serial of the desired state that the reported state answers.
        answered_serial: u64,
    },
}

/// A decision and the attempt that it concerns.
#[derive(Debug, Clone, Copy)]
pub(super) struct AttemptDecision {
    pub attempt: AttemptId,
    pub job: JobIndex,
    pub task: u32,
    pub shard: ShardIndex,
    pub decision: Decision,
}

impl Leader {
    /// Logs a decision at debug level and keeps it for [`Leader::log_newest_decisions`].
    pub(super) fn log_decision(&mut self, context: &NodeContext, entry: AttemptDecision) {
        let AttemptDecision { attempt, job, task, shard, decision } = entry;
        tracing::debug!(
            term = self.term.number(),
            shard = context.shards[shard.as_usize()].name,
            job = context.jobs.id(job),
            task,
            attempt = attempt.number(),
            ?decision,
            "decision on attempt"
        );
        self.decisions.push(context.clock.now(), entry);
    }

    /// Logs the most recent decisions at error level, after a fault has been detected.
    pub(super) fn log_newest_decisions(&mut self, context: &NodeContext) {
        for (age_ms, entry) in self.decisions.take(context.clock.now()) {
            tracing::error!(
                age_ms,
                shard = context.shards[entry.shard.as_usize()].name,
                job = context.jobs.id(entry.job),
                task = entry.task,
                attempt = entry.attempt.number(),
                decision = ?entry.decision,
                "decision before the fault"
            );
        }
    }
}
