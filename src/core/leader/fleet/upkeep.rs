//! Machines that go back whatever the window rule says.

use super::BOOT_FACTOR;
use super::machine::InstancePhase;
use crate::core::common::context::NodeContext;
use crate::core::leader::Leader;
use crate::model::{InstanceIndex, Ms};
use rustc_hash::FxHashSet;

impl Leader {
    /// Machines that won't boot, have vanished or are drained go back.
    pub(super) fn upkeep(&mut self, context: &mut NodeContext) {
        let now = context.clock.now();
        let busy: FxHashSet<InstanceIndex> = self.attempts.values().filter_map(|a| a.machine).collect();
        let lease = (context.platform.cluster.workers.lease_s * 1000.0) as Ms;
        for (ix, m) in self.fleet.machines.iter_mut() {
            if busy.contains(&ix) {
                m.idle_since = None;
            } else {
                m.idle_since.get_or_insert(now);
            }
            if m.phase >= InstancePhase::Draining {
                continue;
            }
            let boot = context.machine_types.get(m.machine_type).map_or(60.0, |t| t.boot_s).max(10.0);
            // A new leader knows nothing yet of machines that are well up:
            // only the cloud's word `starting` speaks against a machine, or
            // silence for longer than any lease.
            let mute = now > self.activated_at + lease + 10_000;
            let never = m.phase == InstancePhase::Booting
                && now > m.since + (boot * BOOT_FACTOR * 1000.0) as Ms
                && m.heard.is_none()
                && (m.starting || mute);
            // What this leader never heard of has been silent since it leads; and
            // while no worker could be answered, none was there to hear.
            let heard = m.heard.unwrap_or(self.activated_at.max(m.since));
            let silent = now.saturating_sub(heard.max(context.control_lease.valid_since()));
            // Listed once and no more, and silent: its return, once confirmed,
            // proves that it is gone.
            let vanished = m.missed >= 2 && silent > context.fresh_ms;
            let lost = m.heard.is_some() && silent > lease + 5_000;
            let unreachable = m.deaf_since.is_some_and(|at| now > at + lease);
            let drained = m.cordoned && !busy.contains(&ix) && m.phase == InstancePhase::Ready;
            let reasons = [
                (never, "did not boot"),
                (vanished, "vanished"),
                (lost, "silent"),
                (unreachable, "unreachable"),
                (drained, "drained"),
            ];
            if let Some((_, why)) = reasons.iter().find(|(is, _)| *is) {
                tracing::info!(machine = m.name, why, "returning machine");
                m.phase = InstancePhase::Draining;
                if let Some(b) = self.shards.get_mut(m.shard.place()) {
                    b.dirty = true;
                }
            }
        }
        // Tasks with checkpoints leave a machine under notice in time.
        for a in self.attempts.values_mut().filter(|a| a.is_wanted && a.occupies_capacity()) {
            let Some(m) = a.machine.and_then(|m| self.fleet.machines.get(m)) else { continue };
            if m.preemption_notice
                && !a.may_bind
                && self.jobs.get(&a.job).is_some_and(|j| j.spec.checkpoint_s > 0.0)
            {
                a.is_wanted = false;
                self.shards[a.shard.place()].dirty = true;
            }
        }
    }
}
