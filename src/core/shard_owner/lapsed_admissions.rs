//! Drops attempts that a former leader admitted and that were never recorded.
//!
//! An admission is valid for the term of its leader. Once another leader is elected, no node
//! accounts for an unrecorded attempt and it can no longer be recorded
//! (`Attempt::needs_recording`); the new leader admits its task again.

use super::ShardOwner;
use crate::core::common::context::NodeContext;

impl ShardOwner {
    /// Drops attempts that can no longer be recorded, so that the next reported state does not list
    /// them.
    pub(super) fn drop_lapsed_admissions(&mut self, context: &NodeContext) {
        let Some(term) = context.leadership.term() else { return };
        let mut dropped = vec![0_usize; self.shards.len()];
        for machine in self.machines.values_mut() {
            let position = machine.shard.as_usize();
            let Some(shard) = &mut self.shards[position] else { continue };
            let lapsed = machine.attempts.extract_if(.., |attempt| attempt.has_lapsed(term));
            let records: Vec<_> = lapsed.map(|attempt| attempt.record).collect();
            dropped[position] += records.len();
            shard.records.mark_outdated(records, context.clock.now());
        }
        for shard in self.shards.iter_mut().flatten() {
            let dropped = dropped[shard.index.as_usize()];
            if dropped == 0 {
                continue;
            }
            shard.has_unreported_changes = true;
            tracing::info!(
                term = term.number(),
                shard = context.shards[shard.index.as_usize()].name,
                fencing_token = shard.fencing_token.number(),
                attempts = dropped,
                "dropped unrecorded admissions of a former leader"
            );
        }
    }
}
