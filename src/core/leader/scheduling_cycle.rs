//! Admission: scheduling cycles of decisions that take whatever has gathered.
//!
//! A scheduling cycle looks at all waiting work, in the order of priority, guarantee and
//! nearness of deadline, and grants what fits into quota and free room. Its
//! batch is as wide as the backlog; what holds it back is room, not a count.

use super::Leader;
use super::free_capacity::{FreeCapacity, best_fit_machines, may_use, reserve};
use super::live_jobs::LiveJob;
use super::quota::quota_tasks;
use super::zones::Zones;
use crate::core::common::context::NodeContext;
use crate::model::{JobIndex, ShardIndex};
use rustc_hash::FxHashSet;
use std::collections::BTreeMap;

/// Grants of one scheduling cycle; the next one follows at once.
const MAX_GRANTS: usize = 400;
/// Tasks that a starving job gets before all others in one scheduling cycle.
const FIRST_TASKS: u32 = 2;
/// In one of so many scheduling cycles the longest waiting job comes first.
const OLDEST_EVERY: u64 = 8;

impl Leader {
    pub fn run_cycle(&mut self, context: &mut NodeContext) {
        if context.machine_types.is_empty() {
            return;
        }
        let order = self.order(context);
        let mut free_capacity = self.free_capacity(context);
        let mut used = self.team_use(context);
        let mut granted = 0;
        let mut left: Vec<(JobIndex, u32)> = Vec::new();
        let starving = self.starving(context, &order);
        let order: Vec<JobIndex> = starving.iter().chain(order.iter()).copied().collect();
        for (place, ix) in order.into_iter().enumerate() {
            let Some(j) = self.jobs.get(&ix) else { continue };
            let spec = j.spec.clone();
            let team = &context.platform.cluster.teams[j.team];
            let demand = spec.demand();
            let mut quota = quota_tasks(team, &used[j.team], &demand);
            let team_ix = j.team;
            let mut zones = Zones::of(context, self, ix, &spec);
            // Best fit: a room that takes a task is the better fit for the next.
            let mut places =
                best_fit_machines(context, &mut free_capacity, &spec, quota).into_iter().peekable();
            // A starving job gets its first tasks before all others; its turn
            // with the rest of them comes in the ordinary order.
            let first = place < starving.len();
            if first {
                quota = quota.min(FIRST_TASKS);
            }
            let before = granted;
            while quota > 0 && granted < MAX_GRANTS {
                let Some(task) = self.jobs.get_mut(&ix).and_then(|j| j.next_task()) else { break };
                let Some(&i) = places.peek() else { break };
                let zone = &free_capacity.classes[free_capacity.machines[i].class].zone;
                let r = &mut free_capacity.machines[i];
                if !demand.fits_within(&r.free) || !zones.allows(zone) {
                    places.next();
                    continue;
                }
                if let Some(j) = self.jobs.get_mut(&ix) {
                    j.admit_next_task();
                }
                r.free.sub(&demand);
                zones.add(zone);
                let (machine, shard) = (r.machine, r.shard);
                used[team_ix].add(&demand);
                self.new_attempt(ix, task, machine, shard);
                quota -= 1;
                granted += 1;
            }
            if first {
                if granted == before {
                    reserve(context, &mut free_capacity, &spec, &zones);
                }
                continue;
            }
            if let Some(j) = self.jobs.get(&ix) {
                let n = j.waiting(quota.min(2000));
                if n > 0 {
                    left.push((ix, n));
                }
            }
        }
        if granted > 0 {
            tracing::debug!(granted, waiting = left.len(), "granted");
        }
        if granted >= MAX_GRANTS {
            self.cycle_due = true;
        }
        self.preempt(context, &free_capacity, &left, used);
        self.spread_waiting(context, &free_capacity, &left);
        self.fleet.waiting = left;
    }

    /// Jobs that have waited for long without a single task on a machine, the
    /// longest first, one of a team so that none crowds out the others; and on
    /// every few scheduling cycles the longest waiting of all. The order by aims puts late
    /// work and low priorities last without end; this brings each job to its
    /// start, and then on, whatever the burst.
    fn starving(&mut self, context: &NodeContext, order: &[JobIndex]) -> Vec<JobIndex> {
        self.cycles += 1;
        let age_s = |j: &LiveJob| context.clock.wall().saturating_sub(j.ready_at_ms) as f64 / 1000.0;
        let served = self.served();
        let mut old: Vec<(u64, JobIndex)> = order
            .iter()
            .filter_map(|ix| Some((self.jobs.get(ix)?, *ix)))
            .filter(|(j, _)| age_s(j) >= context.operator.starve_after_s)
            .map(|(j, ix)| (j.ready_at_ms, ix))
            .collect();
        old.sort_unstable();
        let oldest = old.first().map(|(_, ix)| *ix).filter(|_| self.cycles.is_multiple_of(OLDEST_EVERY));
        let unserved =
            |ix: &JobIndex| !served.contains(ix) && self.jobs.get(ix).is_some_and(|j| j.done.is_empty());
        let mut teams: FxHashSet<usize> = FxHashSet::default();
        let mut out: Vec<JobIndex> = old
            .iter()
            .map(|(_, ix)| *ix)
            .filter(unserved)
            .filter(|ix| teams.insert(self.jobs[ix].team))
            .collect();
        out.extend(oldest.filter(|ix| !out.contains(ix)));
        out
    }

    /// Jobs with a task that is or may be on a machine.
    pub(super) fn served(&self) -> FxHashSet<JobIndex> {
        self.attempts.values().filter(|a| a.occupies_capacity()).map(|a| a.job).collect()
    }

    /// Names the tasks that fit no free room to the blocks whose machines
    /// could take them, so that the holders count them in their projection.
    fn spread_waiting(
        &mut self,
        context: &NodeContext,
        free_capacity: &FreeCapacity,
        left: &[(JobIndex, u32)],
    ) {
        let mut lists: Vec<Vec<(JobIndex, u32)>> = vec![Vec::new(); self.shards.len()];
        let mut counts: BTreeMap<(usize, ShardIndex), u32> = BTreeMap::new();
        for r in &free_capacity.machines {
            *counts.entry((r.class, r.shard)).or_default() += 1;
        }
        for &(ix, n) in left {
            let Some(j) = self.jobs.get(&ix) else { continue };
            let will_do: Vec<bool> =
                free_capacity.classes.iter().map(|c| may_use(context, &j.spec, c)).collect();
            let mut able = vec![0u32; self.shards.len()];
            for ((class, shard), n) in &counts {
                if will_do[*class] {
                    able[shard.place()] += n;
                }
            }
            let sum: u32 = able.iter().sum();
            if sum == 0 {
                continue;
            }
            let mut rest = n;
            for (b, a) in able.iter().enumerate() {
                let part = (u64::from(n) * u64::from(*a)).div_ceil(u64::from(sum)) as u32;
                let part = part.min(rest);
                if part > 0 {
                    lists[b].push((ix, part));
                    rest -= part;
                }
            }
        }
        for (b, list) in lists.into_iter().enumerate() {
            if self.shards[b].waiting != list {
                self.shards[b].waiting = list;
                // Not pressing: goes along with the next state message.
            }
        }
    }
}
