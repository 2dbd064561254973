//! What teams use, and how much more their limits allow.

use super::Leader;
use crate::config::Team;
use crate::core::common::model::Resources;
use crate::core::common::shared::Shared;

impl Leader {
    /// Use per team by everything that may be on a machine.
    pub fn team_use(&self, shared: &Shared) -> Vec<Resources> {
        let mut used = vec![Resources::default(); shared.cfg.cluster.teams.len()];
        for a in self.attempts.values().filter(|a| a.counts()) {
            if let Some(u) = a.team.and_then(|t| used.get_mut(t)) {
                u.add(&a.need);
            }
        }
        used
    }
}

/// How many more tasks the team's limit allows. A limit of 0 means none.
pub fn quota_tasks(team: &Team, used: &Resources, need: &Resources) -> u32 {
    let limit =
        Resources { cpus: team.cpus_max - used.cpus, gpus: team.gpus_max - used.gpus, mem: f64::MAX };
    need.count_fitting(&limit)
}
