//! Giving up what a former leader admitted and nobody has recorded.
//!
//! An admission holds for the term of its leader. Once another leads, an attempt that is not
//! on record is counted by nobody and can't be recorded any more (`Attempt::needs_recording`);
//! the new leader admits its task again.

use super::ShardOwner;
use crate::core::common::context::NodeContext;

impl ShardOwner {
    /// Gives up attempts that will never be recorded, before the leader is told of them.
    pub(super) fn give_up_lapsed_admissions(&mut self, context: &NodeContext) {
        let Some(term) = context.leadership.term() else { return };
        let mut given_up = vec![0_usize; self.shards.len()];
        for machine in self.machines.values_mut() {
            let place = machine.shard.place();
            let Some(shard) = &mut self.shards[place] else { continue };
            let lapsed = machine.attempts.extract_if(.., |attempt| attempt.has_lapsed(term));
            let records: Vec<_> = lapsed.map(|attempt| attempt.record).collect();
            given_up[place] += records.len();
            shard.records.mark_outdated(records, context.clock.now());
        }
        for shard in self.shards.iter_mut().flatten() {
            let given_up = given_up[shard.index.place()];
            if given_up == 0 {
                continue;
            }
            shard.has_unreported_changes = true;
            tracing::info!(
                term = term.number(),
                shard = context.shards[shard.index.place()].name,
                fencing_token = shard.fencing_token.number(),
                attempts = given_up,
                "gave up unrecorded admissions of a former leader"
            );
        }
    }
}
