//! Projection of a machine's load. The functions are pure, since the leader and shard owners must
//! come to the same result.

use crate::config::Operator;
use crate::model::{Ms, Resources};

/// Minimum run time assumed for a task in the projection, in seconds.
const MIN_EXPECTED_S: f64 = 1.0;
/// Minimum extension of the estimate of a task that has outrun it, in seconds.
const MIN_EXTENSION_S: f64 = 0.1;

/// Resources used by a task that is or will be on a machine, and its run time.
#[derive(Debug, Clone, Copy)]
pub struct Booking {
    /// Resources that the task uses.
    pub demand: Resources,
    /// Time for which the task has run.
    pub ran_ms: Ms,
    /// Expected total run time of the task.
    pub expected_ms: Ms,
}

/// The projected load of one machine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Projection {
    /// Largest projected share of the machine's capacity used by the bookings alone.
    pub peak: f64,
    /// Whether more steps are overloaded than tolerated.
    pub overloaded: bool,
}

/// End of a booking, in whole one-second steps from now, and the resources it frees.
struct ProjectedEnd {
    step: u64,
    demand: Resources,
}

/// Returns the expected remaining run time of a task, in seconds. If the task has outrun its
/// estimate, the estimate is extended by a fraction of itself as often as needed.
pub fn remaining_s(operator: &Operator, booking: &Booking) -> f64 {
    let expected = (booking.expected_ms as f64 / 1000.0).max(MIN_EXPECTED_S);
    let ran = booking.ran_ms as f64 / 1000.0;
    if ran < expected {
        return expected - ran;
    }
    let extension = (expected * operator.extension).max(MIN_EXTENSION_S);
    extension - (ran - expected) % extension
}

/// Projects the load of the bookings over the horizon in one-second steps. `waiting` is the
/// demand of tasks that wait for this machine, and is added in every step.
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
    for step in 0..operator.horizon_steps as u64 {
        while let Some(end) = ends.next_if(|end| end.step <= step) {
            used.sub(&end.demand);
        }
        let mut load = used;
        load.add(waiting);
        overloaded_steps += usize::from(load.dominant_share(capacity) > operator.overload_level);
    }
    let tolerated = operator.overload_steps * operator.horizon_steps as f64;
    Projection { peak, overloaded: overloaded_steps as f64 > tolerated }
}
