//! Constraints on the zones of a job's tasks: all in one zone, or spread over several.
//!
//! Built for one job each time that the leader places or plans tasks of it.

use super::Leader;
use crate::core::common::context::NodeContext;
use crate::model::{JobIndex, JobSpec};
use crate::wire::peer::ReportedPhase;
use rustc_hash::FxHashMap;

/// In which zones further tasks of a job may be placed, given where its tasks are.
pub(super) struct ZoneConstraints {
    /// Whether all tasks must be in the same zone.
    is_one_zone: bool,
    /// How many tasks may be in one zone, if that is limited.
    max_per_zone: Option<u32>,
    /// Tasks in each zone; not counted for a job without constraints.
    tasks_by_zone: FxHashMap<String, u32>,
}

impl ZoneConstraints {
    /// The constraints of a job, with all its attempts that are not done counted in.
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
        // A shard lies in one zone and is always known; the instance of an attempt may be
        // unknown to a leader whose term has just begun.
        let placed = leader.attempts.values().filter(|a| a.job == job && a.state != ReportedPhase::Done);
        for attempt in placed {
            if let Some(shard) = context.shards.get(attempt.shard.place()) {
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
        // A new leader may count tasks in several zones, as records also list what has ended.
        // Which of them is the job's own is known once all others are proven gone.
        let is_elsewhere = || self.tasks_by_zone.keys().any(|other| other != zone);
        if self.is_one_zone && is_elsewhere() {
            return false;
        }
        let here = self.tasks_by_zone.get(zone).copied().unwrap_or(0);
        self.max_per_zone.is_none_or(|most| here < most)
    }
}
