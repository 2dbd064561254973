//! Zone constraints of a job: all its tasks in one zone, or spread over several.
//!
//! They are built each time that the leader places or plans tasks of the job.

use super::Leader;
use crate::core::common::context::NodeContext;
use crate::model::{JobIndex, JobSpec};
use crate::wire::peer::ReportedPhase;
use rustc_hash::FxHashMap;

/// The zones in which further tasks of a job may be placed, given the zones of its current tasks.
pub(super) struct ZoneConstraints {
    /// Whether all tasks must be in the same zone.
    is_one_zone: bool,
    /// Maximum number of tasks in one zone, if there is a limit.
    max_per_zone: Option<u32>,
    /// Number of tasks in each zone; empty for a job without constraints.
    tasks_by_zone: FxHashMap<String, u32>,
}

impl ZoneConstraints {
    /// Returns the constraints of a job, with all its attempts counted that are not done.
    pub(super) fn for_job(
        context: &NodeContext,
        leader: &Leader,
        job: JobIndex,
        spec: &JobSpec,
    ) -> ZoneConstraints {
        let mut zones = ZoneConstraints {
            is_one_zone: spec.one_zone,
            max_per_zone: spec.spread.then(|| spec.tasks.div_ceil(2)),
            tasks_by_zone: FxHashMap::default(),
        };
        if !zones.is_constrained() {
            return zones;
        }
        // The zone is taken from the shard, which is always known and lies in one zone: a leader
        // whose term has just begun may not know the instance of an attempt.
        let placed = leader.attempts.values().filter(|a| a.job == job && a.phase != ReportedPhase::Done);
        for attempt in placed {
            if let Some(shard) = context.shards.get(attempt.shard.as_usize()) {
                zones.count_task(&shard.zone);
            }
        }
        zones
    }

    fn is_constrained(&self) -> bool {
        self.is_one_zone || self.max_per_zone.is_some()
    }

    /// Counts a task that is placed in a zone.
    pub(super) fn count_task(&mut self, zone: &str) {
        if self.is_constrained() {
            *self.tasks_by_zone.entry(zone.to_string()).or_default() += 1;
        }
    }

    /// Whether one more task may be placed in a zone.
    pub(super) fn allows(&self, zone: &str) -> bool {
        // A new leader may count tasks in several zones, as records also list attempts that have
        // ended. The job's actual zone is known once the attempts in all others are proven gone.
        let is_elsewhere = || self.tasks_by_zone.keys().any(|other| other != zone);
        if self.is_one_zone && is_elsewhere() {
            return false;
        }
        let here = self.tasks_by_zone.get(zone).copied().unwrap_or(0);
        self.max_per_zone.is_none_or(|most| here < most)
    }
}
