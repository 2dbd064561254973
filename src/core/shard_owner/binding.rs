//! The choice of a machine for a task that was granted to this holder.

use super::ShardOwner;
use super::machine::{Attempt, Machine};
use super::placement_records;
use crate::core::common::context::NodeContext;
use crate::core::common::window;
use crate::model::{JobIndex, MachineIndex, Ms, Resources, ShardIndex};
use crate::wire::store::JobState;
use woadlever_recovery::attempt::AttemptPhase;

/// What a waiting report is worth in the choice of a machine.
const LISTENS: f64 = 0.5;

/// A machine that may take tasks, with what is free on it.
pub(super) struct BindCandidate {
    index: MachineIndex,
    kind: usize,
    capacity: Resources,
}

/// A task that the leader allows to bind.
pub(super) struct Granted {
    pub(super) id: u64,
    pub(super) job: JobIndex,
    pub(super) task: u32,
    /// Expected run time.
    pub(super) expected: Ms,
}

impl ShardOwner {
    /// Machines of a block that may take tasks now, with what is free on them.
    pub(super) fn free_machines(&self, context: &NodeContext, shard: ShardIndex) -> Vec<BindCandidate> {
        let able = |m: &Machine| m.shard == shard && m.takes_tasks(context);
        let mut free = Vec::new();
        for (index, m) in self.machines.iter().filter(|(_, m)| able(m)) {
            let Some(kind) = context.machine_types.index_of(&m.type_name) else { continue };
            let mut capacity = context.machine_types[kind].capacity;
            capacity.sub(&m.used());
            free.push(BindCandidate { index, kind, capacity });
        }
        free
    }

    /// Best fit: of the machines that may take the task, the one with its
    /// image and the least room left over. Spot first where it is allowed.
    pub(super) fn bind(
        &mut self,
        context: &NodeContext,
        shard: ShardIndex,
        granted: &Granted,
        free: &mut [BindCandidate],
    ) -> bool {
        let &Granted { id, job, task, expected } = granted;
        let j = context.job(job);
        let (Some(spec), JobState::Live, false) = (j.spec.clone(), j.state, context.must_stop(job))
        else {
            return false;
        };
        let demand = spec.demand();
        let Some(h) = &mut self.shards[shard.place()] else { return false };
        let mut best: Option<(f64, usize)> = None;
        for (place, candidate) in free.iter().enumerate() {
            if !demand.fits_within(&candidate.capacity) {
                continue;
            }
            let Some(m) = self.machines.get(candidate.index) else { continue };
            if !window::allowed(&spec, &m.type_name, &m.zone, m.spot) {
                continue;
            }
            let total = &context.machine_types[candidate.kind].capacity;
            let has_image = spec.image_gb <= 0.0 || m.images.iter().any(|(n, _)| *n == spec.image);
            let wastes = spec.spot && !m.spot;
            let mut score = window::fit_score(&demand, &candidate.capacity, total, wastes, has_image);
            score += context.machine_types.scarcity_penalty(candidate.kind);
            // One whose report waits for an answer starts the task now, not
            // with its next report.
            if m.held.is_none() {
                score += LISTENS;
            }
            if best.is_none_or(|(s, _)| score < s) {
                best = Some((score, place));
            }
        }
        let Some((_, place)) = best else { return false };
        let ix = free[place].index;
        free[place].capacity.sub(&demand);
        placement_records::open_record(context, h, &self.machines, shard);
        let Some(m) = self.machines.get_mut(ix) else { return false };
        let record = placement_records::reserve(context, h, m, job, &spec.team);
        m.attempts.push(Attempt {
            job,
            task,
            id,
            demand,
            job_row_bytes: placement_records::job_row_bytes(context.jobs.id(job), &spec.team, &demand),
            team: spec.team.clone(),
            record,
            moving: None,
            phase: AttemptPhase::Bound,
            tried: false,
            written: false,
            wanted: true,
            run_sent: None,
            listed: false,
            started: None,
            ran: 0,
            expected_ms: expected,
            bound_at: context.clock.now(),
            written_at: 0,
        });
        let cache = context
            .machine_types
            .index_of(&m.type_name)
            .map_or(0.0, |t| context.machine_types[t].cache_gb);
        remember_image(&mut m.images, &spec.image, spec.image_gb, cache);
        true
    }
}

/// The most recently used images first, as many as the cache holds.
fn remember_image(images: &mut Vec<(String, f64)>, name: &str, gb: f64, cache_gb: f64) {
    if name.is_empty() {
        return;
    }
    images.retain(|(n, _)| n != name);
    images.insert(0, (name.to_string(), gb));
    let mut sum = 0.0;
    images.retain(|(_, gb)| {
        sum += gb;
        sum <= cache_gb.max(0.1)
    });
}
