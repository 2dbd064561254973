//! Rules on which machines a task may be placed on and which one fits best. They are pure
//! functions, since the leader and shard owners must come to the same result.

use crate::model::{JobSpec, Resources};

/// Cost penalty for placing a task that may use spot machines on an on-demand machine.
const ON_DEMAND_PENALTY: f64 = 10.0;
/// Cost penalty if the machine has to fetch the task's image.
const FETCH_PENALTY: f64 = 2.0;

/// Whether a job's constraints allow a machine of this type, zone and spot status.
pub fn is_machine_allowed(spec: &JobSpec, type_name: &str, zone: &str, is_spot: bool) -> bool {
    (spec.spot || !is_spot)
        && spec.types.as_ref().is_none_or(|types| types.iter().any(|allowed| allowed == type_name))
        && spec.zone.as_ref().is_none_or(|allowed| allowed == zone)
}

/// Properties of a candidate machine for the placement of a task.
#[derive(Debug, Clone, Copy)]
pub struct PlacementOption<'a> {
    /// Free resources of the machine.
    pub free: &'a Resources,
    /// Total resources of the machine.
    pub capacity: &'a Resources,
    /// Whether the machine is on-demand although the task may use spot machines.
    pub wastes_on_demand: bool,
    /// Whether the machine already has the task's image.
    pub has_image: bool,
}

impl PlacementOption<'_> {
    /// Returns the best-fit cost of the machine; lower is better. It favors machines that have
    /// the task's image and little capacity left over, and reserves on-demand machines for the
    /// tasks that need them.
    pub fn fit_cost(&self, demand: &Resources) -> f64 {
        let mut left = *self.free;
        left.sub(demand);
        let mut cost = left.dominant_share(self.capacity);
        if self.wastes_on_demand {
            cost += ON_DEMAND_PENALTY;
        }
        if !self.has_image {
            cost += FETCH_PENALTY;
        }
        cost
    }
}
