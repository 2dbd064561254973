//! Preemption: stopping running tasks in favor of jobs that have waited long.
//!
//! A job that has not started may preempt jobs of lower priority, and work within a guarantee may
//! preempt other teams' usage beyond their guarantee. The tasks that lose the least run time are
//! stopped, few at a time, and none while earlier ones are still stopping. Preemption only marks
//! attempts as no longer wanted; a later cycle admits tasks to the freed capacity.

use super::Leader;
use super::attempts::Attempt;
use super::free_capacity::{FreeCapacity, FreeMachine};
use super::live_jobs::LiveJob;
use super::scheduling_cycle::WaitingJob;
use super::zones::ZoneConstraints;
use crate::core::common::context::NodeContext;
use crate::model::{AttemptId, InstanceIndex, JobIndex, JobSpec, Ms, Priority, Resources};
use rustc_hash::{FxHashMap, FxHashSet};
use std::sync::Arc;

/// Maximum number of tasks that one cycle stops.
const MAX_STOPPED_TASKS: usize = 6;
/// Maximum number of waiting jobs for which one cycle tries to preempt tasks.
const MAX_PREEMPTORS: usize = 16;
/// Minimum time between two preemptions.
const PREEMPTION_INTERVAL_MS: Ms = 1_000;
/// Assumed run time lost by a task that resumes from a checkpoint.
const CHECKPOINTED_LOSS_MS: Ms = 1_000;
/// Assumed time that a task without checkpoints loses by restarting, in addition to its run time
/// so far.
const RESTART_LOSS_MS: Ms = 2_000;

/// Working state of the preemptions in one cycle.
struct PreemptionState<'a> {
    free_capacity: &'a FreeCapacity,
    /// Attempts that may be stopped, by the instance that they are on.
    stoppable: FxHashMap<InstanceIndex, Vec<AttemptId>>,
    /// Resources in use by index of the team, without the tasks that are being stopped.
    used_by_team: Vec<Resources>,
    /// Tasks that may still be stopped in this cycle.
    budget: usize,
}

/// A waiting job that may preempt others.
struct Preemptor {
    job: JobIndex,
    spec: Arc<JobSpec>,
    team: usize,
    priority: Priority,
    is_within_guarantee: bool,
    /// Whether none of its tasks is done or on a machine.
    is_unstarted: bool,
}

/// Attempts on one machine that together free enough capacity for one task.
struct Victims {
    /// Total run time lost by stopping the attempts.
    cost_ms: Ms,
    attempts: Vec<AttemptId>,
}

impl Leader {
    /// Stops tasks to make room for jobs that have waited too long. `waiting` lists the jobs with
    /// tasks that the cycle has not admitted, `used_by_team` the resources that each team uses.
    pub(super) fn preempt(
        &mut self,
        context: &NodeContext,
        free_capacity: &FreeCapacity,
        waiting: &[WaitingJob],
        used_by_team: Vec<Resources>,
    ) {
        let now = context.clock.now();
        let is_stopping = |a: &Attempt| !a.is_wanted && a.occupies_capacity();
        if !self.preemption_timer.is_due(now) || self.attempts.values().any(is_stopping) {
            return;
        }
        let overdue = self.overdue_jobs(context, waiting);
        if overdue.is_empty() {
            return;
        }
        let jobs_on_machines = self.jobs_on_machines();
        let mut state = PreemptionState {
            free_capacity,
            stoppable: self.stoppable_attempts(),
            used_by_team,
            budget: MAX_STOPPED_TASKS,
        };
        for job in self.select_for_cycle(&overdue) {
            if state.budget == 0 {
                break;
            }
            let Some(preemptor) = self.preemptor(job, &jobs_on_machines) else { continue };
            if let Some(victims) = self.choose_victims(context, &state, &preemptor) {
                self.stop_victims(context, &mut state, &victims);
            }
        }
    }

    /// Returns the waiting jobs that are old enough to preempt others.
    fn overdue_jobs(&self, context: &NodeContext, waiting: &[WaitingJob]) -> Vec<JobIndex> {
        let is_overdue =
            |live: &LiveJob| live.age_s(context.clock.wall()) >= context.operator.preempt_after_s;
        waiting
            .iter()
            .map(|waiting| waiting.job)
            .filter(|job| self.jobs.get(job).is_some_and(is_overdue))
            .collect()
    }

    /// Returns the jobs that this cycle considers: all of them or, if there are too many, a subset
    /// that rotates from cycle to cycle.
    fn select_for_cycle(&self, overdue: &[JobIndex]) -> Vec<JobIndex> {
        let is_limited = overdue.len() > MAX_PREEMPTORS;
        let skipped = if is_limited { self.cycles as usize * MAX_PREEMPTORS % overdue.len() } else { 0 };
        let count = overdue.len().min(MAX_PREEMPTORS);
        overdue.iter().copied().cycle().skip(skipped).take(count).collect()
    }

    /// Returns the attempts that may be stopped, by instance: those that are wanted, occupy
    /// capacity and are bound to an instance.
    fn stoppable_attempts(&self) -> FxHashMap<InstanceIndex, Vec<AttemptId>> {
        let mut stoppable: FxHashMap<InstanceIndex, Vec<AttemptId>> = FxHashMap::default();
        for (id, attempt) in self.attempts.iter() {
            if attempt.is_wanted
                && !attempt.may_bind
                && attempt.occupies_capacity()
                && let Some(instance) = attempt.instance
            {
                stoppable.entry(instance).or_default().push(id);
            }
        }
        stoppable
    }

    fn preemptor(&self, job: JobIndex, jobs_on_machines: &FxHashSet<JobIndex>) -> Option<Preemptor> {
        let live = self.jobs.get(&job)?;
        Some(Preemptor {
            job,
            spec: live.spec.clone(),
            team: live.team,
            priority: live.priority,
            is_within_guarantee: live.is_within_guarantee,
            is_unstarted: !jobs_on_machines.contains(&job) && live.done.is_empty(),
        })
    }

    /// Returns the cheapest victims on a single machine that make room for a task of the
    /// preemptor.
    fn choose_victims(
        &self,
        context: &NodeContext,
        state: &PreemptionState,
        preemptor: &Preemptor,
    ) -> Option<Victims> {
        let zones = ZoneConstraints::for_job(context, self, preemptor.job, &preemptor.spec);
        let free_capacity = state.free_capacity;
        let is_class_usable = free_capacity.usable_classes(context, &preemptor.spec, &zones);
        free_capacity
            .machines
            .iter()
            .filter(|machine| is_class_usable[machine.class])
            .filter_map(|machine| self.victims_on(context, state, preemptor, machine))
            .min_by_key(|victims| victims.cost_ms)
    }

    /// Returns the victims on one machine that make room for a task of the preemptor, or `None` if
    /// that is impossible or the task fits without stopping any.
    fn victims_on(
        &self,
        context: &NodeContext,
        state: &PreemptionState,
        preemptor: &Preemptor,
        machine: &FreeMachine,
    ) -> Option<Victims> {
        let on_machine = state.stoppable.get(&machine.location?.instance)?;
        let mut candidates: Vec<(Ms, AttemptId)> = on_machine
            .iter()
            .filter_map(|id| Some((self.preemption_cost(context, state, preemptor, *id)?, *id)))
            .collect();
        candidates.sort_unstable();
        let demand = preemptor.spec.demand();
        let mut free = machine.free;
        let mut victims = Victims { cost_ms: 0, attempts: Vec::new() };
        for (cost_ms, id) in candidates {
            if demand.fits_within(&free) || victims.attempts.len() >= state.budget {
                break;
            }
            free.add(&self.attempts.get(id)?.demand);
            victims.cost_ms += cost_ms;
            victims.attempts.push(id);
        }
        (demand.fits_within(&free) && !victims.attempts.is_empty()).then_some(victims)
    }

    /// Returns the run time that is lost by stopping an attempt, or `None` if the preemptor may
    /// not preempt it.
    fn preemption_cost(
        &self,
        context: &NodeContext,
        state: &PreemptionState,
        preemptor: &Preemptor,
        id: AttemptId,
    ) -> Option<Ms> {
        let attempt = self.attempts.get(id).filter(|attempt| attempt.is_wanted)?;
        let victim = self.jobs.get(&attempt.job)?;
        // Priority alone justifies only a first start; otherwise two old jobs would keep
        // stopping each other.
        let has_lower_priority = preemptor.is_unstarted && victim.priority < preemptor.priority;
        let guaranteed_cpus = context.platform.cluster.teams[victim.team].cpus;
        let cpus_without_it = state.used_by_team[victim.team].cpus - attempt.demand.cpus;
        let is_beyond_guarantee = preemptor.is_within_guarantee
            && victim.team != preemptor.team
            && cpus_without_it >= guaranteed_cpus;
        if !has_lower_priority && !is_beyond_guarantee {
            return None;
        }
        let has_checkpoints = victim.spec.checkpoint_s > 0.0;
        Some(if has_checkpoints { CHECKPOINTED_LOSS_MS } else { attempt.ran_ms + RESTART_LOSS_MS })
    }

    /// Marks the victims as no longer wanted, so that the shard owner stops them.
    fn stop_victims(&mut self, context: &NodeContext, state: &mut PreemptionState, victims: &Victims) {
        for id in &victims.attempts {
            let Some(attempt) = self.attempts.get_mut(*id) else { continue };
            attempt.stop(&mut self.shards);
            if let Some(used) = attempt.team.and_then(|team| state.used_by_team.get_mut(team)) {
                used.sub(&attempt.demand);
            }
            state.budget -= 1;
            tracing::debug!(job = context.jobs.id(attempt.job), task = attempt.task, "task preempted");
        }
        self.preemption_timer.set(context.clock.now() + PREEMPTION_INTERVAL_MS);
    }
}
