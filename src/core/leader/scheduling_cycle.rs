//! The scheduling cycle: admission of waiting tasks in batches.
//!
//! A cycle goes through all waiting jobs, in the order of priority and slack (which takes
//! guarantees into account), and admits the tasks that fit into their team's quota and into free
//! capacity. It creates attempts; the shard owners learn of them from the next desired state.
//! Tasks that it can't admit are left to preemption and to the scale-out plan. [`Leader::poll`]
//! runs it.

use super::Leader;
use super::free_capacity::{FreeCapacity, InstanceLocation, best_fit_machines, may_use};
use super::live_jobs::LiveJob;
use super::quota::quota_tasks;
use super::zones::ZoneConstraints;
use crate::core::common::context::NodeContext;
use crate::model::{JobIndex, JobSpec, Resources, ShardIndex};
use rustc_hash::FxHashSet;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Maximum number of tasks that one cycle admits; after that many, the next cycle is due without
/// waiting for another change.
const MAX_ADMITTED_TASKS: usize = 400;
/// Number of tasks that a starving job may get ahead of all other jobs in one cycle.
const STARVING_JOB_TASKS: u32 = 2;
/// Interval, in cycles, at which the job that has waited longest gets tasks ahead of the
/// regular order, even if it has started.
const OLDEST_JOB_INTERVAL_CYCLES: u64 = 8;
/// Maximum number of waiting tasks of one job that are counted.
const MAX_WAITING_TASKS: u32 = 2_000;

/// A job with tasks that wait for capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct WaitingJob {
    /// The job.
    pub job: JobIndex,
    /// Number of waiting tasks that its team's quota allows.
    pub tasks: u32,
}

/// Free capacity, quota usage and admissions during one cycle.
struct CycleState {
    free_capacity: FreeCapacity,
    /// Resources in use by index of the team.
    used_by_team: Vec<Resources>,
    /// Number of tasks admitted in this cycle.
    admitted: usize,
}

/// Result of the admission of one job in a cycle.
struct JobAdmission {
    spec: Arc<JobSpec>,
    zones: ZoneConstraints,
    /// Number of its tasks that were admitted.
    admitted: u32,
    /// Number of further tasks that the quota would have allowed.
    remaining_quota: u32,
}

impl Leader {
    /// Runs one scheduling cycle.
    pub(super) fn run_cycle(&mut self, context: &mut NodeContext) {
        if context.machine_types.is_empty() {
            return;
        }
        let order = self.jobs_by_urgency(context);
        let mut cycle = CycleState {
            free_capacity: self.free_capacity(context),
            used_by_team: self.usage_by_team(context),
            admitted: 0,
        };
        self.check_quotas(context, &cycle.used_by_team);
        for job in self.starving_jobs(context, &order) {
            self.admit_starving_job(context, &mut cycle, job);
        }
        let mut waiting: Vec<WaitingJob> = Vec::new();
        for job in order {
            let tasks = self.admit_in_order(context, &mut cycle, job);
            if tasks > 0 {
                waiting.push(WaitingJob { job, tasks });
            }
        }
        if cycle.admitted > 0 {
            tracing::debug!(admitted = cycle.admitted, waiting = waiting.len(), "tasks admitted");
        }
        if cycle.admitted >= MAX_ADMITTED_TASKS {
            self.cycle_due = true;
        }
        self.preempt(context, &cycle.free_capacity, &waiting, cycle.used_by_team);
        self.distribute_waiting_tasks(context, &cycle.free_capacity, &waiting);
        self.fleet.waiting = waiting;
    }

    /// Admits the first tasks of a starving job. If none fits, a machine is reserved for the job.
    /// Its other tasks are admitted in the regular order.
    fn admit_starving_job(&mut self, context: &NodeContext, cycle: &mut CycleState, job: JobIndex) {
        let Some(admission) = self.admit_job(context, cycle, job, Some(STARVING_JOB_TASKS)) else {
            return;
        };
        if admission.admitted == 0 {
            cycle.free_capacity.reserve_for(context, &admission.spec, &admission.zones);
        }
    }

    /// Admits tasks of a job in the regular order. Returns how many of its tasks are still waiting
    /// although the quota allows them.
    fn admit_in_order(&mut self, context: &NodeContext, cycle: &mut CycleState, job: JobIndex) -> u32 {
        let Some(admission) = self.admit_job(context, cycle, job, None) else { return 0 };
        let most = admission.remaining_quota.min(MAX_WAITING_TASKS);
        self.jobs.get(&job).map_or(0, |live| live.waiting(most))
    }

    /// Admits tasks of a job to the machines that fit them best, within the team's quota and
    /// `max_tasks`. Returns `None` if the leader doesn't know the job.
    fn admit_job(
        &mut self,
        context: &NodeContext,
        cycle: &mut CycleState,
        job: JobIndex,
        max_tasks: Option<u32>,
    ) -> Option<JobAdmission> {
        let live = self.jobs.get(&job)?;
        let (spec, team) = (live.spec.clone(), live.team);
        let demand = spec.demand();
        let team_settings = &context.platform.cluster.teams[team];
        let team_quota = quota_tasks(team_settings, &cycle.used_by_team[team], &demand);
        if team_quota == 0 {
            self.quota_watch.count_refusal(team);
        }
        let quota = max_tasks.map_or(team_quota, |most| team_quota.min(most));
        let mut zones = ZoneConstraints::for_job(context, self, job, &spec);
        let machines = match quota {
            0 => Vec::new(),
            _ => best_fit_machines(context, &mut cycle.free_capacity, &spec),
        };
        // A machine that has received a task fits the next one even better, so it stays first
        // until it is full.
        let mut machines = machines.into_iter().peekable();
        let mut admitted = 0;
        while admitted < quota && cycle.admitted < MAX_ADMITTED_TASKS {
            let Some(task) = self.jobs.get_mut(&job).and_then(LiveJob::next_task) else { break };
            let Some(&machine) = machines.peek() else { break };
            let location = cycle.free_capacity.machines[machine].location;
            let is_placed = cycle.free_capacity.pack(machine, &demand, 1, &mut zones) > 0;
            let Some(location) = location.filter(|_| is_placed) else {
                machines.next();
                continue;
            };
            cycle.used_by_team[team].add(&demand);
            self.admit_task(context, job, task, location);
            cycle.admitted += 1;
            admitted += 1;
        }
        Some(JobAdmission { spec, zones, admitted, remaining_quota: quota - admitted })
    }

    /// Admits the next task of a job by creating an attempt at it on an instance.
    fn admit_task(
        &mut self,
        context: &NodeContext,
        job: JobIndex,
        task: u32,
        location: InstanceLocation,
    ) {
        if let Some(live) = self.jobs.get_mut(&job) {
            live.admit_next_task();
        }
        self.new_attempt(context, job, task, location);
    }

    /// Returns the jobs that get tasks ahead of all others in this cycle: those that have waited
    /// long without a single task on a machine, the longest waiting first, at most one per team;
    /// and every few cycles the job that has waited longest of all.
    ///
    /// The regular order could place late work and low priorities last forever. This function
    /// ensures that each job is started, and later finished, whatever else arrives.
    fn starving_jobs(&mut self, context: &NodeContext, order: &[JobIndex]) -> Vec<JobIndex> {
        self.cycles += 1;
        let mut overdue: Vec<(u64, JobIndex)> = order
            .iter()
            .filter_map(|job| Some((self.jobs.get(job)?, *job)))
            .filter(|(live, _)| live.age_s(context.clock.wall()) >= context.operator.starve_after_s)
            .map(|(live, job)| (live.ready_at_ms, job))
            .collect();
        overdue.sort_unstable();
        let jobs_on_machines = self.jobs_on_machines();
        let has_started = |job: &JobIndex| {
            jobs_on_machines.contains(job) || self.jobs.get(job).is_none_or(|live| !live.done.is_empty())
        };
        let mut teams: FxHashSet<usize> = FxHashSet::default();
        let mut starving: Vec<JobIndex> = overdue
            .iter()
            .map(|(_, job)| *job)
            .filter(|job| !has_started(job))
            .filter(|job| teams.insert(self.jobs[job].team))
            .collect();
        if self.cycles.is_multiple_of(OLDEST_JOB_INTERVAL_CYCLES)
            && let Some((_, oldest)) = overdue.first()
            && !starving.contains(oldest)
        {
            starving.push(*oldest);
        }
        starving
    }

    /// Returns the jobs that have an attempt that is, or may be, on a machine.
    pub(super) fn jobs_on_machines(&self) -> FxHashSet<JobIndex> {
        self.attempts.values().filter(|a| a.occupies_capacity()).map(|a| a.job).collect()
    }

    /// Divides the tasks for which there is no free capacity among the shards whose machines could
    /// run them, so that the shard owners include them in their load projection.
    fn distribute_waiting_tasks(
        &mut self,
        context: &NodeContext,
        free_capacity: &FreeCapacity,
        waiting: &[WaitingJob],
    ) {
        let machine_counts = count_machines(free_capacity);
        let mut by_shard: Vec<Vec<WaitingJob>> = vec![Vec::new(); self.shards.len()];
        for &WaitingJob { job, tasks } in waiting {
            let Some(live) = self.jobs.get(&job) else { continue };
            let is_class_usable: Vec<bool> =
                free_capacity.classes.iter().map(|class| may_use(context, &live.spec, class)).collect();
            let mut usable_machines = vec![0; self.shards.len()];
            for ((class, shard), machines) in &machine_counts {
                if is_class_usable[*class] {
                    usable_machines[shard.as_usize()] += machines;
                }
            }
            for (shard, share) in divide(tasks, &usable_machines).into_iter().enumerate() {
                if share > 0 {
                    by_shard[shard].push(WaitingJob { job, tasks: share });
                }
            }
        }
        // This is not urgent, so the shards are not marked dirty: the next desired state carries
        // the waiting tasks whenever it is due.
        for (shard, waiting) in self.shards.iter_mut().zip(by_shard) {
            shard.waiting = waiting;
        }
    }
}

/// Counts the instances by class and shard.
fn count_machines(free_capacity: &FreeCapacity) -> BTreeMap<(usize, ShardIndex), u32> {
    let mut counts: BTreeMap<(usize, ShardIndex), u32> = BTreeMap::new();
    for machine in &free_capacity.machines {
        if let Some(location) = machine.location {
            *counts.entry((machine.class, location.shard)).or_default() += 1;
        }
    }
    counts
}

/// Divides `count` in proportion to the weights. Shares are rounded up, so that the last ones get
/// the remainder; all shares are 0 if all weights are.
fn divide(count: u32, weights: &[u32]) -> Vec<u32> {
    let sum: u32 = weights.iter().sum();
    let mut remaining = count;
    let share_of = |weight: &u32| {
        if sum == 0 {
            return 0;
        }
        let proportional = (u64::from(count) * u64::from(*weight)).div_ceil(u64::from(sum)) as u32;
        let share = proportional.min(remaining);
        remaining -= share;
        share
    };
    weights.iter().map(share_of).collect()
}
