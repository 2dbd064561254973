//! Checks the teams' usage against their quotas.
//!
//! Two rules relate three values of a team: the usage that the leader counts is never less than
//! the usage that shard owners report, and its confirmed part never exceeds the team's limit. The
//! scheduling cycle passes the counted usage. A broken rule is logged once as an error, with the
//! team's attempts and the most recent decisions. The values themselves are logged periodically
//! (docs/operations.md).

use super::Leader;
use super::attempts::{Attempt, Evidence};
use super::timer::Timer;
use crate::config::Team;
use crate::core::common::context::NodeContext;
use crate::model::{AttemptId, Ms, Resources};
use crate::wire::peer::ReportedState;
use std::collections::BTreeMap;

/// Time between two log lines with the usage of the teams near their limits.
const SUMMARY_INTERVAL_MS: Ms = 10_000;
/// Share of its limit from which a team is considered near the limit.
const NEAR_LIMIT_SHARE: f64 = 0.9;
/// Tolerance for rounding errors in sums of decimal amounts.
const QUOTA_TOLERANCE: f64 = 1e-6;
/// Maximum number of attempts that one error line lists.
const MAX_LOGGED_ATTEMPTS: usize = 200;

/// State of the quota checks that is kept between scheduling cycles.
#[derive(Debug, Default)]
pub(super) struct QuotaWatch {
    /// Whether a rule is broken, and has been logged, by index of the team.
    is_broken: Vec<bool>,
    /// Number of times since the last summary that a job could not get a task because of the
    /// quota, by index of the team.
    refused: Vec<u32>,
    summary_timer: Timer,
    /// Number of broken rules that have been logged in this term.
    pub violations: u64,
}

impl QuotaWatch {
    /// Counts a job whose tasks have to wait for the team's quota.
    pub(super) fn count_refusal(&mut self, team: usize) {
        if self.refused.len() <= team {
            self.refused.resize(team + 1, 0);
        }
        self.refused[team] += 1;
    }

    /// Sets whether a rule is broken for a team. Returns whether it is newly broken.
    fn set_broken(&mut self, team: usize, is_broken: bool) -> bool {
        if self.is_broken.len() <= team {
            self.is_broken.resize(team + 1, false);
        }
        let was_broken = std::mem::replace(&mut self.is_broken[team], is_broken);
        is_broken && !was_broken
    }
}

impl Leader {
    /// Compares the usage that the leader counts for each team with the team's limit and with the
    /// usage that shard owners report.
    pub(super) fn check_quotas(&mut self, context: &NodeContext, counted: &[Resources]) {
        let reported = self.reported_usage(counted.len());
        for (index, team) in context.platform.cluster.teams.iter().enumerate() {
            let is_below_reported = exceeds(&reported[index], &counted[index]);
            let is_over_limit = exceeds_limit(&counted[index], team)
                && exceeds_limit(&self.confirmed_usage(index), team);
            if self.quota_watch.set_broken(index, is_below_reported || is_over_limit) {
                self.quota_watch.violations += 1;
                self.log_violation(context, index, &counted[index], &reported[index]);
            }
        }
        self.log_summary(context, counted, &reported);
    }

    /// Returns the usage of each team that shard owners have last reported.
    fn reported_usage(&self, teams: usize) -> Vec<Resources> {
        let mut sum = vec![Resources::default(); teams];
        for shard in &self.shards {
            for (sum, reported) in sum.iter_mut().zip(&shard.reported_usage) {
                sum.add(reported);
            }
        }
        sum
    }

    /// Returns a team's usage without attempts that may not be on a machine at all: those that
    /// only records list, and those that have ended but are listed again by a later shard owner.
    fn confirmed_usage(&self, team: usize) -> Resources {
        let mut used = Resources::default();
        for (_, attempt) in self.counted_attempts(team) {
            if matches!(attempt.evidence, Evidence::Admission | Evidence::Heartbeat) {
                used.add(&attempt.demand);
            }
        }
        used
    }

    fn counted_attempts(&self, team: usize) -> impl Iterator<Item = (AttemptId, &Attempt)> {
        let is_counted =
            move |attempt: &Attempt| attempt.team == Some(team) && attempt.occupies_capacity();
        self.attempts.iter().filter(move |(_, attempt)| is_counted(attempt))
    }

    fn log_violation(
        &mut self,
        context: &NodeContext,
        team_index: usize,
        counted: &Resources,
        reported: &Resources,
    ) {
        let team = &context.platform.cluster.teams[team_index];
        let listed = self.counted_attempts(team_index).take(MAX_LOGGED_ATTEMPTS);
        let attempts: Vec<String> = listed
            .map(|(id, attempt)| {
                let shard = &context.shards[attempt.shard.as_usize()].name;
                format!("{}/{}@{id} {shard}", context.jobs.id(attempt.job), attempt.task)
            })
            .collect();
        tracing::error!(
            term = self.term.number(),
            team = team.name,
            counted_cpus = counted.cpus,
            reported_cpus = reported.cpus,
            limit_cpus = team.cpus_max,
            counted_gpus = counted.gpus,
            reported_gpus = reported.gpus,
            limit_gpus = team.gpus_max,
            ?attempts,
            "team quota broken"
        );
        self.log_newest_decisions(context);
    }

    /// Logs the usage of teams that are near their limits or have been refused tasks.
    fn log_summary(&mut self, context: &NodeContext, counted: &[Resources], reported: &[Resources]) {
        let now = context.clock.now();
        if !self.quota_watch.summary_timer.is_due(now) {
            return;
        }
        self.quota_watch.summary_timer.set(now + SUMMARY_INTERVAL_MS);
        let refused = std::mem::take(&mut self.quota_watch.refused);
        let mut teams: BTreeMap<&str, String> = BTreeMap::new();
        for (index, team) in context.platform.cluster.teams.iter().enumerate() {
            let (counted, reported) = (&counted[index], &reported[index]);
            let refused = refused.get(index).copied().unwrap_or(0);
            if refused > 0 || is_near_limit(counted, team) {
                let figures = format!(
                    "counted {} reported {} of {} CPUs, refused {refused}",
                    counted.cpus, reported.cpus, team.cpus_max
                );
                teams.insert(&team.name, figures);
            }
        }
        if !teams.is_empty() {
            tracing::info!(term = self.term.number(), ?teams, "use of team quotas");
        }
    }
}

/// Returns the usage of each team according to a reported state, by index of the team.
pub(super) fn usage_in_report(teams: &[Team], reported: &ReportedState) -> Vec<Resources> {
    let mut used = vec![Resources::default(); teams.len()];
    let team_of = |name: &str| teams.iter().position(|team| team.name == name);
    let jobs: Vec<(Option<usize>, Resources)> = reported
        .jobs
        .iter()
        .map(|job| {
            let demand = Resources { cpus: job.cpus, gpus: job.gpus, memory_gb: job.memory_gb };
            (team_of(&job.team), demand)
        })
        .collect();
    for task in reported.machines.iter().flat_map(|machine| &machine.tasks) {
        if let Some((Some(team), demand)) = jobs.get(task.job as usize)
            && task.state.occupies_capacity()
        {
            used[*team].add(demand);
        }
    }
    used
}

fn exceeds(one: &Resources, other: &Resources) -> bool {
    one.cpus > other.cpus + QUOTA_TOLERANCE || one.gpus > other.gpus + QUOTA_TOLERANCE
}

fn exceeds_limit(used: &Resources, team: &Team) -> bool {
    used.cpus > team.cpus_max + QUOTA_TOLERANCE || used.gpus > team.gpus_max + QUOTA_TOLERANCE
}

fn is_near_limit(used: &Resources, team: &Team) -> bool {
    let is_near = |used: f64, limit: f64| limit > 0.0 && used >= limit * NEAR_LIMIT_SHARE;
    is_near(used.cpus, team.cpus_max) || is_near(used.gpus, team.gpus_max)
}
