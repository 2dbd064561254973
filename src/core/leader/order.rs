//! The order in which a scheduling cycle serves waiting jobs.
//!
//! Jobs are sorted by priority, then by the slack until the next service-level objective that
//! they can still meet. Priority and deadline of a job include those that it inherits from jobs
//! that depend on it.

use super::Leader;
use super::live_jobs::LiveJob;
use super::run_times::expected_run_s;
use crate::config::{Objective, Team};
use crate::core::common::context::NodeContext;
use crate::model::{JobIndex, JobOrder, JobSpec, Resources};
use rustc_hash::FxHashSet;
use std::cmp::Reverse;

/// Target time to start of a job without an objective, counted from when it became ready.
const DEFAULT_START_WITHIN_S: f64 = 60.0;
/// Tolerance for rounding errors in sums, so that a team exactly at its guarantee is within it.
const GUARANTEE_TOLERANCE: f64 = 1e-6;

impl Leader {
    /// Returns the jobs that have a task to admit, the most urgent first.
    pub(super) fn jobs_by_urgency(&mut self, context: &NodeContext) -> Vec<JobIndex> {
        let within_guarantee = self.jobs_within_guarantee(context);
        let inherited_urgency = self.inherited_urgency(context);
        let now = context.clock.now();
        let wall_ms = context.clock.wall();
        let objectives = &context.platform.cluster.objectives;
        let mut order: Vec<(JobOrder, JobIndex)> = Vec::new();
        for (job, live) in &mut self.jobs {
            let is_paused = live.is_hosted() && context.must_stop(*job);
            let is_backing_off = live.backoff_until > now;
            if is_backing_off || !live.is_schedulable() || is_paused || live.next_task().is_none() {
                continue;
            }
            let inherited = inherited_urgency.get(job);
            live.is_within_guarantee = within_guarantee.contains(job);
            live.priority = inherited.map_or(live.spec.priority, |urgency| urgency.priority);
            let run_s = expected_run_s(&self.ratios, &live.spec);
            // For a pipeline to finish in time, each earlier stage has to finish sooner.
            let inherited_slack_s = inherited
                .and_then(|urgency| urgency.finish_by_s)
                .map(|finish_by_s| finish_by_s - wall_ms as f64 / 1000.0 - run_s)
                .filter(|slack_s| *slack_s >= 0.0);
            let own_slack_s = objective_slack_s(objectives, live, wall_ms, run_s);
            let slack_s = shorter(own_slack_s, inherited_slack_s);
            let key = JobOrder {
                priority: Reverse(live.priority),
                all_objectives_missed: slack_s.is_none(),
                slack_ms: (slack_s.unwrap_or(-live.age_s(wall_ms)) * 1000.0) as i64,
            };
            order.push((key, *job));
        }
        order.sort();
        order.into_iter().map(|(_, job)| job).collect()
    }

    /// Returns the jobs that are within their team's guarantee. A team's jobs are counted in the
    /// order in which they became ready, jobs of other cells after those of this cell.
    fn jobs_within_guarantee(&self, context: &NodeContext) -> FxHashSet<JobIndex> {
        let teams = &context.platform.cluster.teams;
        let local = self.jobs.iter().filter(|(_, live)| !live.is_forwarded());
        let mut by_age: Vec<(bool, u64, JobIndex)> =
            local.map(|(job, live)| (live.is_hosted(), live.ready_at_ms, *job)).collect();
        by_age.sort_unstable();
        let mut demand_by_team = vec![Resources::default(); teams.len()];
        let mut within_guarantee = FxHashSet::default();
        for (_, _, job) in by_age {
            let live = &self.jobs[&job];
            let demand = &mut demand_by_team[live.team];
            demand.add(&remaining_demand(live));
            if is_within_guarantee(demand, &teams[live.team]) {
                within_guarantee.insert(job);
            }
        }
        within_guarantee
    }
}

/// Returns the total demand of a job's tasks that are not done. Memory is counted for one task
/// only, as it has no guarantee.
fn remaining_demand(live: &LiveJob) -> Resources {
    let remaining = f64::from(live.spec.tasks - live.done.len());
    let mut demand = live.spec.demand();
    demand.cpus *= remaining;
    demand.gpus *= remaining;
    demand
}

fn is_within_guarantee(demand: &Resources, team: &Team) -> bool {
    demand.cpus <= team.cpus + GUARANTEE_TOLERANCE && demand.gpus <= team.gpus + GUARANTEE_TOLERANCE
}

/// Returns the seconds until a job must start to meet the next of its service-level objectives
/// that it can still meet, or `None` if all are missed. Missed objectives are ignored: serving
/// late work before work that can still be in time would only make both late.
fn objective_slack_s(objectives: &[Objective], live: &LiveJob, wall_ms: u64, run_s: f64) -> Option<f64> {
    let age_s = live.age_s(wall_ms);
    let mut slacks_s = objectives
        .iter()
        .filter(|objective| applies_to(objective, &live.spec))
        .filter_map(|objective| start_within_s(objective, live, run_s))
        .map(|within_s| within_s - age_s)
        .peekable();
    if slacks_s.peek().is_none() {
        return Some(DEFAULT_START_WITHIN_S - age_s);
    }
    slacks_s.filter(|slack_s| *slack_s >= 0.0).reduce(f64::min)
}

fn applies_to(objective: &Objective, spec: &JobSpec) -> bool {
    objective.class.as_ref().is_none_or(|class| *class == spec.class)
}

/// Returns how many seconds after it became ready a job must start to meet an objective, or
/// `None` if the objective sets no limit for the job. A deadline counts from the submission, so
/// the time that the job has waited for its dependencies is subtracted.
fn start_within_s(objective: &Objective, live: &LiveJob, run_s: f64) -> Option<f64> {
    match objective.kind.as_str() {
        "deadline" => {
            let waited_ms = live.ready_at_ms.saturating_sub(live.spec.accepted_at_ms);
            let deadline_s = live.spec.deadline_s? * objective.times.unwrap_or(1.0);
            Some(deadline_s - waited_ms as f64 / 1000.0 - run_s)
        }
        "finished" => objective.within_s.map(|within_s| within_s - run_s),
        "wait" => objective.within_s,
        "guarantee" if live.is_within_guarantee => objective.within_s,
        _ => None,
    }
}

/// Returns the shorter of two times, or the only one that is given.
fn shorter(left: Option<f64>, right: Option<f64>) -> Option<f64> {
    match (left, right) {
        (Some(left), Some(right)) => Some(left.min(right)),
        (left, right) => left.or(right),
    }
}
