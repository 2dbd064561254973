//! What teams use, and how much more their limits allow.

use super::Leader;
use crate::config::Team;
use crate::core::common::model::Res;
use crate::core::common::shared::Shared;

impl Leader {
    /// Use per team by everything that may be on a machine.
    pub fn team_use(&self, shared: &Shared) -> Vec<Res> {
        let mut used = vec![Res::default(); shared.cfg.cluster.teams.len()];
        for a in self.attempts.values().filter(|a| a.counts()) {
            if let Some(u) = a.team.and_then(|t| used.get_mut(t)) {
                u.add(&a.need);
            }
        }
        used
    }
}

/// How many more tasks the team's limit allows. A limit of 0 means none.
pub fn quota_tasks(team: &Team, used: &Res, need: &Res) -> u32 {
    let limit = Res { cpus: team.cpus_max - used.cpus, gpus: team.gpus_max - used.gpus, mem: f64::MAX };
    need.times_in(&limit)
}
