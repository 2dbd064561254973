//! Team quotas: the resources that each team uses, and how many more tasks its quota allows.
//!
//! Used by the scheduling cycle, preemption, the scale-out plan and the load sharing between cells.

use super::Leader;
use crate::config::Team;
use crate::core::common::context::NodeContext;
use crate::model::Resources;

impl Leader {
    /// Returns the resources that each team's attempts take, or may take, on machines, by index of
    /// the team in the settings.
    pub(super) fn usage_by_team(&self, context: &NodeContext) -> Vec<Resources> {
        let mut used = vec![Resources::default(); context.platform.cluster.teams.len()];
        for attempt in self.attempts.values().filter(|attempt| attempt.occupies_capacity()) {
            if let Some(used_by_team) = attempt.team.and_then(|team| used.get_mut(team)) {
                used_by_team.add(&attempt.demand);
            }
        }
        used
    }
}

/// Returns how many more tasks of this demand the team's quota allows, given the resources that
/// the team uses. A quota of 0 allows none. Memory has no quota.
pub(super) fn quota_tasks(team: &Team, used: &Resources, demand: &Resources) -> u32 {
    let remaining = Resources {
        cpus: team.cpus_max - used.cpus,
        gpus: team.gpus_max - used.gpus,
        memory_gb: f64::MAX,
    };
    demand.count_fitting(&remaining)
}
