//! Which machines a task may be placed on, and which suits it best: pure functions, as the
//! leader and shard owners must judge alike.

use crate::model::{JobSpec, Resources};

/// Added if an ordinary machine would be used by work that may use a spot one.
const ORDINARY_PENALTY: f64 = 10.0;
/// Added if the machine has to fetch the task's image.
const FETCH_PENALTY: f64 = 2.0;

/// Whether a job may be on a machine of this type at all.
pub fn allowed(spec: &JobSpec, type_name: &str, zone: &str, is_spot: bool) -> bool {
    (spec.spot || !is_spot)
        && spec.types.as_ref().is_none_or(|types| types.iter().any(|allowed| allowed == type_name))
        && spec.zone.as_ref().is_none_or(|allowed| allowed == zone)
}

/// Best fit, lower is better: the task's image at hand, little capacity left over, and
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
        score += ORDINARY_PENALTY;
    }
    if !has_image {
        score += FETCH_PENALTY;
    }
    score
}
