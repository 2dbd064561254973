//! Stopping work to make room for other work that has waited for long.

use super::Leader;
use super::free_capacity::{FreeCapacity, may_use};
use super::live_jobs::LiveJob;
use super::zones::Zones;
use crate::core::common::context::NodeContext;
use crate::model::{InstanceIndex, JobIndex, Resources};
use rustc_hash::FxHashMap;

/// Tasks stopped to make room in one scheduling cycle.
const MAX_STOPS: usize = 6;
/// Jobs that one scheduling cycle looks at for it.
const MAX_LOOKS: usize = 16;

impl Leader {
    /// Makes room for work that has waited for long: lower priorities give way,
    /// and what other teams run beyond their guarantee gives way to work
    /// within one. Stops what loses least, little at a time, and nothing
    /// while earlier stops are still under way.
    pub(super) fn preempt(
        &mut self,
        context: &NodeContext,
        free_capacity: &FreeCapacity,
        left: &[(JobIndex, u32)],
        mut used: Vec<Resources>,
    ) {
        if context.clock.now() < self.preempt_at
            || self.attempts.values().any(|a| !a.is_wanted && a.occupies_capacity())
        {
            return;
        }
        let served = self.served();
        let mut budget = MAX_STOPS;
        let age_s = |j: &LiveJob| context.clock.wall().saturating_sub(j.ready_at_ms) as f64 / 1000.0;
        let old: Vec<JobIndex> = left
            .iter()
            .filter(|(ix, _)| {
                self.jobs.get(ix).is_some_and(|j| age_s(j) >= context.operator.preempt_after_s)
            })
            .map(|(ix, _)| *ix)
            .collect();
        if old.is_empty() {
            return;
        }
        let mut there: FxHashMap<InstanceIndex, Vec<u64>> = FxHashMap::default();
        for (id, a) in
            self.attempts.iter().filter(|(_, a)| a.is_wanted && !a.may_bind && a.occupies_capacity())
        {
            if let Some(m) = a.machine {
                there.entry(m).or_default().push(id);
            }
        }
        // Under a backlog of hundreds of old jobs each scheduling cycle looks at some,
        // the next scheduling cycle at others.
        let skip = if old.len() > MAX_LOOKS { self.cycles as usize * MAX_LOOKS % old.len() } else { 0 };
        for ix in old.iter().cycle().skip(skip).take(old.len().min(MAX_LOOKS)) {
            let Some(j) = self.jobs.get(ix) else { continue };
            if budget == 0 {
                break;
            }
            let (spec, team, within) = (j.spec.clone(), j.team, j.is_within_guarantee);
            // Priority alone stops others only for a first start: two old jobs
            // would go on stopping each other.
            let unserved = !served.contains(ix) && j.done.is_empty();
            let demand = spec.demand();
            let zones = Zones::of(context, self, *ix, &spec);
            let mut best: Option<(u64, Vec<u64>)> = None;
            let will_do: Vec<bool> = free_capacity
                .classes
                .iter()
                .map(|c| may_use(context, &spec, c) && zones.allows(&c.zone))
                .collect();
            for r in free_capacity.machines.iter().filter(|r| will_do[r.class]) {
                let mut victims: Vec<(u64, u64)> = there
                    .get(&r.machine)
                    .into_iter()
                    .flatten()
                    .filter_map(|id| {
                        let a = self.attempts.get(*id).filter(|a| a.is_wanted)?;
                        let v = self.jobs.get(&a.job)?;
                        let lower = unserved && v.priority < j.priority;
                        let beyond = within
                            && v.team != team
                            && used[v.team].cpus - a.demand.cpus
                                >= context.platform.cluster.teams[v.team].cpus;
                        let lost = if v.spec.checkpoint_s > 0.0 { 1_000 } else { a.ran_ms + 2_000 };
                        (lower || beyond).then_some((lost, *id))
                    })
                    .collect();
                victims.sort_unstable();
                let (mut free, mut cost, mut list) = (r.free, 0, Vec::new());
                for (lost, id) in victims {
                    if demand.fits_within(&free) || list.len() >= budget {
                        break;
                    }
                    if let Some(a) = self.attempts.get(id) {
                        free.add(&a.demand);
                    }
                    cost += lost;
                    list.push(id);
                }
                let better = best.as_ref().is_none_or(|(c, _)| cost < *c);
                if demand.fits_within(&free) && !list.is_empty() && better {
                    best = Some((cost, list));
                }
            }
            for id in best.map(|(_, l)| l).unwrap_or_default() {
                let Some(a) = self.attempts.get_mut(id) else { continue };
                a.is_wanted = false;
                self.shards[a.shard.place()].dirty = true;
                if let Some(u) = a.team.and_then(|t| used.get_mut(t)) {
                    u.sub(&a.demand);
                }
                budget -= 1;
                self.preempt_at = context.clock.now() + 1_000;
                tracing::debug!(job = context.jobs.id(a.job), task = a.task, "stopped to make room");
            }
        }
    }
}
