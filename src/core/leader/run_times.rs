//! Learned run times: how long tasks of a class really run, as a ratio of their estimates.
//!
//! Reconciliation feeds the ratios with each task that succeeds; the order of jobs and the
//! desired states sent to shard owners use them. They are stored with the fleet record.

use super::Leader;
use crate::model::{JobSpec, Ms};
use std::collections::BTreeMap;

/// Ratio of a class of which no task has ended yet.
const UNKNOWN_RATIO: f64 = 1.0;
/// A single task counts for no less and no more than these ratios.
const MIN_RATIO: f64 = 0.1;
const MAX_RATIO: f64 = 10.0;
/// Weight of a single task in the ratio of its class.
const LEARNING_RATE: f64 = 0.03;

/// Expected run time of a job's tasks, in seconds.
pub(super) fn expected_run_s(ratios: &BTreeMap<String, f64>, spec: &JobSpec) -> f64 {
    spec.estimate_s * ratios.get(&spec.class).copied().unwrap_or(UNKNOWN_RATIO)
}

/// Takes in that a task of a job has succeeded after a run of this length. Tasks without an
/// estimate, or whose run time is not known, teach nothing.
pub(super) fn learn_run_time(ratios: &mut BTreeMap<String, f64>, spec: &JobSpec, ran_ms: Ms) {
    if ran_ms == 0 || spec.estimate_s <= 0.0 {
        return;
    }
    let measured = (ran_ms as f64 / 1000.0 / spec.estimate_s).clamp(MIN_RATIO, MAX_RATIO);
    let ratio = ratios.entry(spec.class.clone()).or_insert(UNKNOWN_RATIO);
    *ratio += LEARNING_RATE * (measured - *ratio);
}

impl Leader {
    /// Expected run time of a job's tasks, in seconds.
    pub(super) fn expected_s(&self, spec: &JobSpec) -> f64 {
        expected_run_s(&self.ratios, spec)
    }
}
