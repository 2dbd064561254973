//! The design's projection, and what fits where. Pure functions: leader and
//! holders must judge alike.

use crate::config::Operator;
use crate::model::{JobSpec, Ms, Resources};

/// A task on a machine, or about to be.
#[derive(Debug, Clone, Copy)]
pub struct Booking {
    /// What the task takes.
    pub demand: Resources,
    /// How long it has run.
    pub ran_ms: Ms,
    /// How long it is expected to run in all.
    pub expected_ms: Ms,
}

/// The projected load of one machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Projection {
    /// Largest projected share of the machine's room, bookings alone.
    pub peak: f64,
    /// Whether too many steps are overloaded.
    pub overloaded: bool,
}

/// When a task will end, seconds from now: its estimate, extended by a part
/// of it as often as the task has outrun it.
pub fn remaining_s(op: &Operator, b: &Booking) -> f64 {
    let expected = (b.expected_ms as f64 / 1000.0).max(1.0);
    let ran = b.ran_ms as f64 / 1000.0;
    if ran < expected {
        return expected - ran;
    }
    let step = (expected * op.extension).max(0.1);
    step - (ran - expected) % step
}

/// Projects the bookings over the horizon in one-second steps. `waiting` is
/// counted in every step: it stands for tasks that wait for this machine.
pub fn project(
    op: &Operator,
    capacity: &Resources,
    bookings: &[Booking],
    waiting: &Resources,
) -> Projection {
    let mut ends: Vec<(u64, Resources)> =
        bookings.iter().map(|b| (remaining_s(op, b).ceil() as u64, b.demand)).collect();
    ends.sort_by_key(|e| e.0);
    let mut used = Resources::default();
    for (_, demand) in &ends {
        used.add(demand);
    }
    let peak = used.dominant_share(capacity);
    let mut over = 0usize;
    let mut next = 0;
    for step in 0..op.horizon as u64 {
        while next < ends.len() && ends[next].0 <= step {
            used.sub(&ends[next].1);
            next += 1;
        }
        let mut load = used;
        load.add(waiting);
        if load.dominant_share(capacity) > op.overload_level {
            over += 1;
        }
    }
    Projection { peak, overloaded: over as f64 > op.overload_steps * op.horizon as f64 }
}

/// Whether the job may be on such a machine at all.
pub fn allowed(spec: &JobSpec, type_name: &str, zone: &str, spot: bool) -> bool {
    (spec.spot || !spot)
        && spec.types.as_ref().is_none_or(|l| l.iter().any(|t| t == type_name))
        && spec.zone.as_ref().is_none_or(|z| z == zone)
}

/// Lower is better: the task's image at hand, little room left over, and
/// ordinary machines left to those who need them.
pub fn fit_score(
    demand: &Resources,
    free: &Resources,
    capacity: &Resources,
    wastes_ordinary: bool,
    has_image: bool,
) -> f64 {
    let mut left = *free;
    left.sub(demand);
    let mut score = left.dominant_share(capacity);
    if wastes_ordinary {
        score += 10.0;
    }
    if !has_image {
        score += 2.0;
    }
    score
}
