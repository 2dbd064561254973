//! The design's projection of a machine's load: pure functions, as the leader and shard owners
//! must judge alike.

use crate::config::Operator;
use crate::model::{Ms, Resources};

/// A task shorter than this is projected as if it took so long, in seconds.
const MIN_EXPECTED_S: f64 = 1.0;
/// The least extension of an overrunning task, in seconds.
const MIN_EXTENSION_S: f64 = 0.1;

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
    /// Largest projected share of the machine's capacity, bookings alone.
    pub peak: f64,
    /// Whether too many steps are overloaded.
    pub overloaded: bool,
}

/// A booking's end, in whole steps of a second from now.
struct ProjectedEnd {
    step: u64,
    demand: Resources,
}

/// When a task will end, seconds from now: its estimate, extended by a part
/// of it as often as the task has outrun it.
pub fn remaining_s(operator: &Operator, booking: &Booking) -> f64 {
    let expected = (booking.expected_ms as f64 / 1000.0).max(MIN_EXPECTED_S);
    let ran = booking.ran_ms as f64 / 1000.0;
    if ran < expected {
        return expected - ran;
    }
    let extension = (expected * operator.extension).max(MIN_EXTENSION_S);
    extension - (ran - expected) % extension
}

/// Projects the bookings over the horizon in one-second steps. `waiting` is
/// counted in every step: it stands for tasks that wait for this machine.
pub fn project(
    operator: &Operator,
    capacity: &Resources,
    bookings: &[Booking],
    waiting: &Resources,
) -> Projection {
    let mut ends: Vec<ProjectedEnd> = bookings
        .iter()
        .map(|booking| ProjectedEnd {
            step: remaining_s(operator, booking).ceil() as u64,
            demand: booking.demand,
        })
        .collect();
    ends.sort_by_key(|end| end.step);
    let mut used = Resources::default();
    for end in &ends {
        used.add(&end.demand);
    }
    let peak = used.dominant_share(capacity);
    let mut ends = ends.into_iter().peekable();
    let mut overloaded_steps = 0usize;
    for step in 0..operator.horizon as u64 {
        while let Some(end) = ends.next_if(|end| end.step <= step) {
            used.sub(&end.demand);
        }
        let mut load = used;
        load.add(waiting);
        overloaded_steps += usize::from(load.dominant_share(capacity) > operator.overload_level);
    }
    let tolerated = operator.overload_steps * operator.horizon as f64;
    Projection { peak, overloaded: overloaded_steps as f64 > tolerated }
}
