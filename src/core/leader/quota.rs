//! What teams use, and how much more their limits allow.

use super::Leader;
use crate::config::Team;
use crate::core::common::context::NodeContext;
use crate::model::Resources;

impl Leader {
    /// Use per team by everything that may be on a machine.
    pub fn team_use(&self, context: &NodeContext) -> Vec<Resources> {
        let mut used = vec![Resources::default(); context.platform.cluster.teams.len()];
        for a in self.attempts.values().filter(|a| a.occupies_capacity()) {
            if let Some(u) = a.team.and_then(|t| used.get_mut(t)) {
                u.add(&a.demand);
            }
        }
        used
    }
}

/// How many more tasks the team's limit allows. A limit of 0 means none.
pub fn quota_tasks(team: &Team, used: &Resources, demand: &Resources) -> u32 {
    let limit =
        Resources { cpus: team.cpus_max - used.cpus, gpus: team.gpus_max - used.gpus, mem: f64::MAX };
    demand.count_fitting(&limit)
}
