//! Binding: chooses a machine for each task that the leader admitted to a shard of this node,
//! by best-fit bin packing.

use super::ShardOwner;
use super::attempt::{Attempt, RecordingState};
use super::machine::{CachedImage, Machine, Machines};
use super::placement_records::{self, RecordIndex};
use crate::core::common::context::NodeContext;
use crate::core::common::job_table::KnownState;
use crate::core::common::placement;
use crate::model::{AttemptId, JobIndex, JobSpec, MachineIndex, Ms, Resources, ShardIndex, Term};
use std::sync::Arc;
use woadlever_recovery::attempt::AttemptPhase;

/// Cost penalty of a machine that has no parked heartbeat.
const NO_PARKED_HEARTBEAT_PENALTY: f64 = 0.5;
/// Minimum size of an image cache, in GB. It applies to machine types without a cache size in the
/// catalog, which keep only images up to this size in total.
const MIN_CACHE_GB: f64 = 0.1;

/// A machine that accepts new tasks.
pub(super) struct CandidateMachine {
    index: MachineIndex,
    /// Index of its machine type in the catalog.
    machine_type: usize,
    free_capacity: Resources,
}

/// A task that the leader has admitted to a shard of this node.
pub(super) struct AdmittedTask {
    /// Id of the attempt to create.
    pub(super) attempt: AttemptId,
    pub(super) job: JobIndex,
    pub(super) task: u32,
    /// Run time that the leader expects.
    pub(super) expected_ms: Ms,
    /// Term of the leader that admitted the task.
    pub(super) term: Term,
}

impl ShardOwner {
    /// Returns the machines of a shard that accept new tasks now, with their free capacity.
    pub(super) fn candidate_machines(
        &self,
        context: &NodeContext,
        shard: ShardIndex,
    ) -> Vec<CandidateMachine> {
        let is_candidate =
            |machine: &Machine| machine.shard == shard && machine.accepts_new_tasks(context);
        let mut candidates = Vec::new();
        for (index, machine) in self.machines.iter().filter(|(_, machine)| is_candidate(machine)) {
            let Some(machine_type) = context.machine_types.index_of(&machine.type_name) else {
                continue;
            };
            let mut free_capacity = context.machine_types[machine_type].capacity;
            free_capacity.sub(&machine.used());
            candidates.push(CandidateMachine { index, machine_type, free_capacity });
        }
        candidates
    }

    /// Binds the task to the best candidate and subtracts its demand from that candidate's free
    /// capacity. Returns false if the job must not start tasks or no candidate is suitable.
    pub(super) fn bind(
        &mut self,
        context: &NodeContext,
        shard: ShardIndex,
        admitted: &AdmittedTask,
        candidates: &mut [CandidateMachine],
    ) -> bool {
        let Some(spec) = startable_spec(context, admitted.job) else { return false };
        let Some(shard) = &mut self.shards[shard.as_usize()] else { return false };
        let best = best_candidate(context, &self.machines, &spec, candidates);
        let Some(candidate) = best.map(|position| &mut candidates[position]) else { return false };
        candidate.free_capacity.sub(&spec.demand());
        placement_records::prepare_open_record(context, shard, &self.machines);
        let Some(machine) = self.machines.get_mut(candidate.index) else { return false };
        let record =
            placement_records::reserve_attempt(context, shard, machine, admitted.job, &spec.team);
        machine.attempts.push(bound_attempt(context, &spec, admitted, record));
        let cache_gb = context.machine_types[candidate.machine_type].cache_gb;
        remember_image(&mut machine.images, &spec.image, spec.image_gb, cache_gb);
        true
    }
}

/// Returns the specification of a job if its tasks may start.
fn startable_spec(context: &NodeContext, index: JobIndex) -> Option<Arc<JobSpec>> {
    let job = context.job(index);
    let may_start = job.state == KnownState::Live && !context.must_stop(index);
    job.spec.clone().filter(|_| may_start)
}

/// Returns the position of the best-fit candidate: of those that can run a task of the job, the
/// one with the lowest cost, or the first of these if several have it.
fn best_candidate(
    context: &NodeContext,
    machines: &Machines,
    spec: &JobSpec,
    candidates: &[CandidateMachine],
) -> Option<usize> {
    let demand = spec.demand();
    let mut best: Option<(f64, usize)> = None;
    for (position, candidate) in candidates.iter().enumerate() {
        if !demand.fits_within(&candidate.free_capacity) {
            continue;
        }
        let Some(machine) = machines.get(candidate.index) else { continue };
        if !placement::is_machine_allowed(spec, &machine.type_name, &machine.zone, machine.is_spot) {
            continue;
        }
        let cost = cost(context, spec, machine, candidate);
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, position));
        }
    }
    best.map(|(_, position)| position)
}

/// Returns the cost of a machine for a task of the job; lower is better. Machines that have the
/// image cached and would be left with little free capacity are preferred, and so are spot
/// instances where the job allows them.
fn cost(context: &NodeContext, spec: &JobSpec, machine: &Machine, candidate: &CandidateMachine) -> f64 {
    let option = placement::PlacementOption {
        free: &candidate.free_capacity,
        capacity: &context.machine_types[candidate.machine_type].capacity,
        wastes_on_demand: spec.spot && !machine.is_spot,
        has_image: spec.image_gb <= 0.0 || machine.images.iter().any(|image| image.name == spec.image),
    };
    let mut cost = option.fit_cost(&spec.demand());
    cost += context.machine_types.scarcity_penalty(candidate.machine_type);
    // A machine with a parked heartbeat receives the start command now rather than in the
    // response to its next heartbeat.
    if machine.parked_heartbeat.is_none() {
        cost += NO_PARKED_HEARTBEAT_PENALTY;
    }
    cost
}

/// Creates the attempt at an admitted task, to be listed in placement record `record`.
fn bound_attempt(
    context: &NodeContext,
    spec: &JobSpec,
    admitted: &AdmittedTask,
    record: RecordIndex,
) -> Attempt {
    let demand = spec.demand();
    let job_id = context.jobs.id(admitted.job);
    Attempt {
        job: admitted.job,
        task: admitted.task,
        id: admitted.attempt,
        demand,
        job_row_bytes: placement_records::job_row_bytes(job_id, &spec.team, &demand),
        team: spec.team.clone(),
        record,
        moving_to: None,
        recording: RecordingState::Unrecorded,
        phase: AttemptPhase::Bound,
        is_wanted: true,
        start_sent: None,
        was_listed: false,
        started_at: None,
        ran_ms: 0,
        expected_ms: admitted.expected_ms,
        bound_at: Some(context.clock.now()),
        admitted_in: Some(admitted.term),
        recorded_at: None,
        recorded_revision: None,
    }
}

/// Adds an image as the most recently used one and evicts those that no longer fit in the
/// estimated cache.
fn remember_image(images: &mut Vec<CachedImage>, name: &str, size_gb: f64, cache_gb: f64) {
    if name.is_empty() {
        return;
    }
    images.retain(|image| image.name != name);
    images.insert(0, CachedImage { name: name.to_string(), size_gb });
    let mut total_gb = 0.0;
    images.retain(|image| {
        total_gb += image.size_gb;
        total_gb <= cache_gb.max(MIN_CACHE_GB)
    });
}
