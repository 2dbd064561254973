//! Learned run times: the actual run time of the tasks of a class, as a ratio of their estimates.
//!
//! Reconciliation updates the ratios with each task that succeeds; the order of jobs and the
//! desired states sent to shard owners use them. They are stored in the fleet record.

use super::Leader;
use crate::model::{JobSpec, Ms};
use std::collections::BTreeMap;

/// Ratio of a class of which no task has succeeded yet.
const UNKNOWN_RATIO: f64 = 1.0;
/// Lower bound of the ratio that a single task contributes.
const MIN_RATIO: f64 = 0.1;
/// Upper bound of the ratio that a single task contributes.
const MAX_RATIO: f64 = 10.0;
/// Weight of a single task in the ratio of its class.
const LEARNING_RATE: f64 = 0.03;

/// Returns the expected run time of a job's tasks, in seconds.
pub(super) fn expected_run_s(ratios: &BTreeMap<String, f64>, spec: &JobSpec) -> f64 {
    spec.estimate_s * ratios.get(&spec.class).copied().unwrap_or(UNKNOWN_RATIO)
}

/// Updates the ratio of a job's class after one of its tasks has succeeded. Tasks without an
/// estimate or without a known run time are ignored.
pub(super) fn learn_run_time(ratios: &mut BTreeMap<String, f64>, spec: &JobSpec, ran_ms: Ms) {
    if ran_ms == 0 || spec.estimate_s <= 0.0 {
        return;
    }
    let measured = (ran_ms as f64 / 1000.0 / spec.estimate_s).clamp(MIN_RATIO, MAX_RATIO);
    let ratio = ratios.entry(spec.class.clone()).or_insert(UNKNOWN_RATIO);
    *ratio += LEARNING_RATE * (measured - *ratio);
}

impl Leader {
    /// Returns the expected run time of a job's tasks, in seconds.
    pub(super) fn expected_s(&self, spec: &JobSpec) -> f64 {
        expected_run_s(&self.ratios, spec)
    }
}
