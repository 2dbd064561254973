//! The choice of a machine for a task that was granted to this holder.

use super::ShardOwner;
use super::machine::{Attempt, Machine};
use super::placement_records;
use crate::core::common::model::{Ms, Resources};
use crate::core::common::shared::Shared;
use crate::core::common::window;
use crate::wire::store::JobState;
use woadlever_recovery::attempt::AttemptPhase;

/// What a waiting report is worth in the choice of a machine.
const LISTENS: f64 = 0.5;

/// A machine that may take tasks, with what is free on it.
pub(super) struct FreeMachine {
    index: u32,
    kind: usize,
    room: Resources,
}

/// A task that the leader allows to bind.
pub(super) struct Granted {
    pub(super) id: u64,
    pub(super) job: u32,
    pub(super) task: u32,
    /// Expected run time.
    pub(super) expected: Ms,
}

impl ShardOwner {
    /// Machines of a block that may take tasks now, with what is free on them.
    pub(super) fn free_machines(&self, shared: &Shared, shard: u32) -> Vec<FreeMachine> {
        let able = |m: &Machine| m.shard == shard && m.takes_tasks(shared);
        let mut free = Vec::new();
        for (index, m) in self.machines.iter().filter(|(_, m)| able(m)) {
            let Some(kind) = shared.machine_type_index(&m.type_name) else { continue };
            let mut room = shared.types[kind].room;
            room.sub(&m.used());
            free.push(FreeMachine { index, kind, room });
        }
        free
    }

    /// Best fit: of the machines that may take the task, the one with its
    /// image and the least room left over. Spot first where it is allowed.
    pub(super) fn bind(
        &mut self,
        shared: &Shared,
        shard: u32,
        granted: &Granted,
        free: &mut [FreeMachine],
    ) -> bool {
        let &Granted { id, job, task, expected } = granted;
        let j = shared.job(job);
        let (Some(spec), JobState::Live, false) = (j.spec.clone(), j.state, shared.must_stop(job))
        else {
            return false;
        };
        let need = spec.need();
        let Some(h) = &mut self.shards[shard as usize] else { return false };
        let mut best: Option<(f64, usize)> = None;
        for (place, candidate) in free.iter().enumerate() {
            if !need.fits_within(&candidate.room) {
                continue;
            }
            let Some(m) = self.machines.get(candidate.index) else { continue };
            if !window::allowed(&spec, &m.type_name, &m.zone, m.spot) {
                continue;
            }
            let total = &shared.types[candidate.kind].room;
            let has_image = spec.image_gb <= 0.0 || m.images.iter().any(|(n, _)| *n == spec.image);
            let wastes = spec.spot && !m.spot;
            let mut score = window::fit_score(&need, &candidate.room, total, wastes, has_image);
            score += shared.scarcity_penalty(candidate.kind);
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
        free[place].room.sub(&need);
        placement_records::open_record(shared, h, &self.machines, shard);
        let Some(m) = self.machines.get_mut(ix) else { return false };
        let record = placement_records::reserve(shared, h, m, job, &spec.team);
        m.attempts.push(Attempt {
            job,
            task,
            id,
            need,
            job_row_bytes: placement_records::job_row_bytes(shared.jobs.id(job), &spec.team, &need),
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
            bound_at: shared.now,
            written_at: 0,
        });
        let cache = shared.machine_type_index(&m.type_name).map_or(0.0, |t| shared.types[t].cache_gb);
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
