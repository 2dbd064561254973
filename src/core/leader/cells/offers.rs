//! Selects the waiting jobs of this cell to forward, and the cell that each is forwarded to.

use super::Cells;
use super::capacity::{shape_of, upcoming_class_capacity};
use crate::core::common::context::NodeContext;
use crate::core::leader::Leader;
use crate::core::leader::live_jobs::{JobLocation, LiveJob};
use crate::model::{JobIndex, JobSpec, Ms};
use std::collections::BTreeMap;
use woadlever_cells::routing;

/// Multiple of the ordinary wait after which a job is offered to other cells although instances
/// for it are booting or requested here.
const LONG_WAIT_FACTOR: Ms = 3;
/// Share of a job's tasks that must fit here: all of them.
const ALL_TASKS: f64 = 1.0;

/// Number of jobs that other cells host for this one, by cell.
type HostedCounts = BTreeMap<String, usize>;

impl Cells {
    /// Forwards jobs that have waited for a long time to cells that have capacity for them.
    pub(super) fn offer_waiting_jobs(&mut self, leader: &mut Leader, context: &mut NodeContext) {
        let mut hosted_counts = count_hosted_elsewhere(leader, context);
        let mut upcoming = upcoming_class_capacity(leader, context, 0);
        let waiting: Vec<JobIndex> = leader.fleet.waiting.iter().map(|waiting| waiting.job).collect();
        for index in waiting {
            let Some(job) = leader.jobs.get(&index) else { continue };
            let shape = shape_of(&job.spec);
            if shape.fits_within(&upcoming, ALL_TASKS) && !is_long_wait(context, job) {
                shape.reserve(&mut upcoming);
                continue;
            }
            let is_pending = self.pending_forwards.contains_key(&index);
            if is_pending || !may_be_forwarded(leader, context, index, job) {
                continue;
            }
            let spec = job.spec.clone();
            let cell = self.choose_cell(context, index, &spec, &hosted_counts);
            let Some(cell) = cell else { continue };
            if !self.try_take_write_token(context) {
                return;
            }
            if self.forward(leader, context, index, &spec, &cell) {
                *hosted_counts.entry(cell).or_default() += 1;
            }
        }
    }

    /// Returns the cell to forward a job to, if one has capacity for it.
    fn choose_cell(
        &self,
        context: &NodeContext,
        index: JobIndex,
        spec: &JobSpec,
        hosted_counts: &HostedCounts,
    ) -> Option<String> {
        let settings = &context.operator.cells;
        let timing = context.cell_leases.timing();
        let excluded_cells =
            context.job(index).forwarding().map(|f| f.excluded_cells.as_slice()).unwrap_or_default();
        let offers = self.neighbors.iter().filter_map(|(cell, neighbor)| {
            let hosted = neighbor.hosted()?;
            let stops_in_time = timing.lease_duration_ms(hosted.stop_within_ms).is_some();
            let is_below_limit =
                hosted_counts.get(cell).is_none_or(|jobs| *jobs < settings.max_forwarded);
            let may_be_offered = neighbor.may_be_offered(context.clock.now(), settings.silence_ms)
                && stops_in_time
                && is_below_limit
                && !excluded_cells.contains(cell);
            may_be_offered.then_some((cell.as_str(), hosted.capacity.as_slice()))
        });
        routing::choose_cell(&shape_of(spec), offers, settings.fit_share).map(str::to_string)
    }
}

fn count_hosted_elsewhere(leader: &Leader, context: &NodeContext) -> HostedCounts {
    let mut counts = HostedCounts::new();
    for (index, _) in leader.jobs.iter().filter(|(_, job)| job.is_forwarded()) {
        if let Some(forwarding) = context.job(*index).forwarding() {
            *counts.entry(forwarding.cell.clone()).or_default() += 1;
        }
    }
    counts
}

/// Whether a job may be offered to other cells: it belongs to this cell, has waited for a long
/// time, is neither in a backoff nor being stopped, and none of its tasks was ever admitted.
fn may_be_forwarded(leader: &Leader, context: &NodeContext, index: JobIndex, job: &LiveJob) -> bool {
    job.location == JobLocation::Local
        && waited_ms(context, job) >= context.operator.cells.spill_after_ms
        && job.backoff_until <= context.clock.now()
        && job.done.is_empty()
        && !leader.attempts.has_job(index)
        && !context.must_stop(index)
}

/// Whether a job has waited for so long that it is offered to other cells even if instances for it
/// are booting or requested here.
fn is_long_wait(context: &NodeContext, job: &LiveJob) -> bool {
    waited_ms(context, job) >= context.operator.cells.spill_after_ms * LONG_WAIT_FACTOR
}

/// Time since the job has been ready to run.
fn waited_ms(context: &NodeContext, job: &LiveJob) -> Ms {
    context.clock.wall().saturating_sub(job.ready_at_ms)
}
