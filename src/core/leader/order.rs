//! The order in which waiting jobs are served.

use super::Leader;
use super::pipelines::Inherited;
use crate::config::Objective;
use crate::core::common::context::NodeContext;
use crate::model::{JobIndex, JobOrder, JobSpec, Resources};
use rustc_hash::FxHashMap;

/// A job that no aim speaks of is to be started this long after its arrival.
const DUE_WITHOUT_AIM_S: f64 = 60.0;

impl Leader {
    /// Jobs with something to run, most pressing first.
    pub fn order(&mut self, context: &NodeContext) -> Vec<JobIndex> {
        let here = self.jobs.iter().filter(|(_, j)| !j.is_away());
        // Jobs of other cells come after a team's own.
        let mut by_age: Vec<(bool, u64, JobIndex)> =
            here.map(|(ix, j)| (j.is_hosted(), j.ready_at_ms, *ix)).collect();
        by_age.sort_unstable();
        let mut sums = vec![Resources::default(); context.platform.cluster.teams.len()];
        let mut within: FxHashMap<JobIndex, bool> = FxHashMap::default();
        for (_, _, ix) in by_age {
            let j = &self.jobs[&ix];
            let t = &context.platform.cluster.teams[j.team];
            let mut demand = j.spec.demand();
            let n = f64::from(j.spec.tasks - j.done.len());
            demand.cpus *= n;
            demand.gpus *= n;
            let sum = &mut sums[j.team];
            sum.add(&demand);
            within.insert(ix, sum.cpus <= t.cpus + 1e-6 && sum.gpus <= t.gpus + 1e-6);
        }
        let inherited_urgency = self.inherited_urgency(context);
        let now = context.clock.now();
        let mut list: Vec<(JobOrder, JobIndex)> = Vec::new();
        let wall = context.clock.wall();
        for (ix, j) in &mut self.jobs {
            let is_paused = j.is_hosted() && context.must_stop(*ix);
            if j.backoff_until > now || !j.is_schedulable() || is_paused || j.next_task().is_none() {
                continue;
            }
            let ratio = self.ratios.get(&j.spec.class).copied().unwrap_or(1.0);
            let run_s = j.spec.estimate_s * ratio;
            let age_s = wall.saturating_sub(j.ready_at_ms) as f64 / 1000.0;
            let clock = Clock {
                age_s,
                waited_s: j.ready_at_ms.saturating_sub(j.spec.accepted_at_ms) as f64 / 1000.0,
            };
            let next =
                next_start(&context.platform.cluster.objectives, &j.spec, clock, within[ix], run_s);
            j.is_within_guarantee = within[ix];
            // What a pipeline's end needs in time, each stage needs the earlier.
            let heir = inherited_urgency.get(ix);
            j.priority = heir.map_or(j.spec.priority, |h| h.priority);
            let by = heir.and_then(|h| h.finish_by).map(|by| by - wall as f64 / 1000.0 - run_s);
            let next = match (next, by.filter(|by| *by >= 0.0)) {
                (Some(own), Some(by)) => Some(own.min(by)),
                (own, by) => own.or(by),
            };
            let order = JobOrder {
                priority: std::cmp::Reverse(j.priority),
                late: next.is_none(),
                slack_ms: (next.unwrap_or(-age_s) * 1000.0) as i64,
            };
            list.push((order, *ix));
        }
        list.sort();
        list.into_iter().map(|(_, ix)| ix).collect()
    }

    /// What jobs with others behind them inherit from those.
    fn inherited_urgency(&self, context: &NodeContext) -> FxHashMap<JobIndex, Inherited> {
        let mut known = FxHashMap::default();
        for ix in self.jobs.keys().filter(|ix| !context.job(**ix).links.dependents.is_empty()) {
            self.inherited(context, *ix, &mut known);
        }
        known
    }
}

/// A job's times, in seconds: since it could be started, and before that, while it
/// waited for others. A deadline counts from the submission all the same.
#[derive(Debug, Clone, Copy)]
struct Clock {
    age_s: f64,
    waited_s: f64,
}

/// Seconds until the next aim for which the job can still be started in time;
/// none when all are missed. Serving work that is late already before work
/// that can still make it would only make both late.
fn next_start(
    objectives: &[Objective],
    spec: &JobSpec,
    clock: Clock,
    within: bool,
    run_s: f64,
) -> Option<f64> {
    let own = objectives.iter().filter(|o| o.class.as_ref().is_none_or(|c| *c == spec.class));
    let mut best: Option<f64> = None;
    let mut any = false;
    for o in own {
        let at = match o.kind.as_str() {
            "deadline" => spec.deadline_s.map(|d| d * o.times.unwrap_or(1.0) - clock.waited_s - run_s),
            "finished" => o.within_s.map(|w| w - run_s),
            "wait" => o.within_s,
            "guarantee" if within => o.within_s,
            _ => None,
        };
        let Some(at) = at else { continue };
        any = true;
        let left = at - clock.age_s;
        if left >= 0.0 && best.is_none_or(|b| left < b) {
            best = Some(left);
        }
    }
    if any { best } else { Some(DUE_WITHOUT_AIM_S - clock.age_s) }
}
