//! Which machines a task may be placed on, and which suits it best: pure functions, as the
//! leader and shard owners must judge alike.

use crate::model::{JobSpec, Resources};

/// Added if an on-demand machine would be used by work that may use a spot one.
const ON_DEMAND_PENALTY: f64 = 10.0;
/// Added if the machine has to fetch the task's image.
const FETCH_PENALTY: f64 = 2.0;

/// Whether a job may be on a machine of this type at all.
pub fn allowed(spec: &JobSpec, type_name: &str, zone: &str, is_spot: bool) -> bool {
    (spec.spot || !is_spot)
        && spec.types.as_ref().is_none_or(|types| types.iter().any(|allowed| allowed == type_name))
        && spec.zone.as_ref().is_none_or(|allowed| allowed == zone)
}

/// A machine that a task may be placed on, as the choice sees it.
#[derive(Debug, Clone, Copy)]
pub struct PlacementOption<'a> {
    /// What is free on it.
    pub free: &'a Resources,
    /// What it has in all.
    pub capacity: &'a Resources,
    /// It is an on-demand machine, and the task may use spot ones.
    pub wastes_on_demand: bool,
    /// It has the task's image at hand.
    pub has_image: bool,
}

impl PlacementOption<'_> {
    /// Best fit, lower is better: the task's image at hand, little capacity left over, and
    /// on-demand machines left to those who need them.
    pub fn fit_score(&self, demand: &Resources) -> f64 {
        let mut left = *self.free;
        left.sub(demand);
        let mut score = left.dominant_share(self.capacity);
        if self.wastes_on_demand {
            score += ON_DEMAND_PENALTY;
        }
        if !self.has_image {
            score += FETCH_PENALTY;
        }
        score
    }
}
