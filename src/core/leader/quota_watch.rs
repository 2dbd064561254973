//! Watches what teams use against their quotas.
//!
//! Three figures of a team have to agree: what the leader counts is never less than what shard
//! owners report, and what of it is confirmed is never more than the team's limit. The scheduling
//! cycle passes what it has counted; a broken rule is logged once as an error, with the team's
//! attempts and the newest decisions. Every so often the figures are logged as they are
//! (docs/operations.md).

use super::Leader;
use super::attempts::{Attempt, Evidence};
use super::timer::Timer;
use crate::config::Team;
use crate::core::common::context::NodeContext;
use crate::model::{AttemptId, Ms, Resources};
use crate::wire::peer::ReportedState;
use std::collections::BTreeMap;

/// Time between two lines with the use of all teams near their limits.
const SUMMARY_GAP_MS: Ms = 10_000;
/// A team is near its limit when it uses this share of it.
const NEAR_LIMIT_SHARE: f64 = 0.9;
/// Sums of decimal amounts may be off by this much.
const QUOTA_TOLERANCE: f64 = 1e-6;
/// Attempts that one error line names.
const MAX_LOGGED_ATTEMPTS: usize = 200;

/// What is known of the teams' use beside the attempts themselves.
#[derive(Debug, Default)]
pub(super) struct QuotaWatch {
    /// By index of the team: whether a broken rule has been logged and still holds.
    is_broken: Vec<bool>,
    /// By index of the team: jobs refused by the quota since the last summary.
    refused: Vec<u32>,
    summary: Timer,
    /// Broken rules that have been logged in this term.
    pub alarms: u64,
}

impl QuotaWatch {
    /// Notes that a job's tasks have to wait for its team's quota.
    pub(super) fn count_refusal(&mut self, team: usize) {
        if self.refused.len() <= team {
            self.refused.resize(team + 1, 0);
        }
        self.refused[team] += 1;
    }

    /// Whether a rule is newly broken for a team.
    fn set_broken(&mut self, team: usize, is_broken: bool) -> bool {
        if self.is_broken.len() <= team {
            self.is_broken.resize(team + 1, false);
        }
        let was_broken = std::mem::replace(&mut self.is_broken[team], is_broken);
        is_broken && !was_broken
    }
}

impl Leader {
    /// Compares what the leader counts for each team with the team's limit and with what shard
    /// owners report.
    pub(super) fn check_quotas(&mut self, context: &NodeContext, counted: &[Resources]) {
        let reported = self.reported_usage(counted.len());
        for (place, team) in context.platform.cluster.teams.iter().enumerate() {
            let misses_reported = exceeds(&reported[place], &counted[place]);
            let is_over_limit = exceeds_limit(&counted[place], team)
                && exceeds_limit(&self.confirmed_usage(place), team);
            if self.quota_watch.set_broken(place, misses_reported || is_over_limit) {
                self.quota_watch.alarms += 1;
                self.log_alarm(context, place, &counted[place], &reported[place]);
            }
        }
        self.log_summary(context, counted, &reported);
    }

    /// What shard owners have last reported of each team.
    fn reported_usage(&self, teams: usize) -> Vec<Resources> {
        let mut sum = vec![Resources::default(); teams];
        for shard in &self.shards {
            for (sum, reported) in sum.iter_mut().zip(&shard.reported_usage) {
                sum.add(reported);
            }
        }
        sum
    }

    /// What a team uses without attempts that may not be on a machine at all: those that only
    /// records show, and those that have ended and that a later shard owner lists again.
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

    fn log_alarm(
        &mut self,
        context: &NodeContext,
        place: usize,
        counted: &Resources,
        reported: &Resources,
    ) {
        let team = &context.platform.cluster.teams[place];
        let named = self.counted_attempts(place).take(MAX_LOGGED_ATTEMPTS);
        let attempts: Vec<String> = named
            .map(|(id, attempt)| {
                let shard = &context.shards[attempt.shard.place()].name;
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

    /// Logs the use of teams that are near their limits or were refused tasks.
    fn log_summary(&mut self, context: &NodeContext, counted: &[Resources], reported: &[Resources]) {
        let now = context.clock.now();
        if !self.quota_watch.summary.is_due(now) {
            return;
        }
        self.quota_watch.summary.set(now + SUMMARY_GAP_MS);
        let refused = std::mem::take(&mut self.quota_watch.refused);
        let mut teams: BTreeMap<&str, String> = BTreeMap::new();
        for (place, team) in context.platform.cluster.teams.iter().enumerate() {
            let (counted, reported) = (&counted[place], &reported[place]);
            let refused = refused.get(place).copied().unwrap_or(0);
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

/// What each team uses in a reported state, by index of the team.
pub(super) fn usage_in_report(teams: &[Team], reported: &ReportedState) -> Vec<Resources> {
    let mut used = vec![Resources::default(); teams.len()];
    let team_of = |name: &str| teams.iter().position(|team| team.name == name);
    let jobs: Vec<(Option<usize>, Resources)> = reported
        .jobs
        .iter()
        .map(|job| {
            let demand = Resources { cpus: job.cpus, gpus: job.gpus, mem: job.memory_gb };
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
