//! The leader's side of the state messages: what holders have, taken in, and what it
//! wants there, sent out.

use super::Leader;
use super::attempts::AttemptView;
use super::live_jobs::JobLocation;
use crate::core::common::context::NodeContext;
use crate::core::common::shard_map::KnownOwner;
use crate::core::common::task_counts::TaskCount;
use crate::model::{InstanceIndex, JobIndex, Ms, Resources, ShardIndex};
use crate::wire::peer::{
    DesiredJob, DesiredState, PeerMessage, ReportedJob, ReportedPhase, ReportedState, ReportedTask,
};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::BTreeMap;
use woadlever_recovery::disposition::{AttemptDisposition, TaskStatus, is_proven_gone};

const DESIRED_GAP_MS: Ms = 30;
const DESIRED_EVERY_MS: Ms = 500;
/// Jobs whose task counts one heartbeat tells.
const MAX_TASK_COUNTS: usize = 2_000;

/// What a block's state message wants of each job: (task, attempt, bind).
type DesiredJobs = BTreeMap<JobIndex, Vec<(u32, u64, bool)>>;

/// A job of a holder's state message, looked up once for all its tasks.
pub(super) struct TaskOf {
    job: JobIndex,
    team: Option<usize>,
    demand: Resources,
}

impl TaskOf {
    pub(super) fn new(context: &mut NodeContext, j: &ReportedJob) -> TaskOf {
        TaskOf {
            job: context.job_index_or_lookup(&j.job),
            team: context.platform.cluster.teams.iter().position(|t| t.name == j.team),
            demand: Resources { cpus: j.cpus, gpus: j.gpus, mem: j.memory_gb },
        }
    }
}

impl Leader {
    pub fn on_reported_state(&mut self, context: &mut NodeContext, from: &str, h: ReportedState) {
        let shard = ShardIndex::new(h.shard);
        let Some(b) = self.shards.get(shard.place()) else { return };
        let shard_owner = context.shards.owner(shard.place());
        if !self.is_active
            || h.term != self.term
            || h.fencing_token != b.fencing_token
            || shard_owner.is_none_or(|owner| owner.record.node != from)
        {
            return;
        }
        if !b.has_reported {
            self.shards[shard.place()].has_reported = true;
            self.cycle_due = true;
        }
        let mut listed: FxHashSet<u64> = FxHashSet::default();
        let zone = context.shards[shard.place()].zone.clone();
        let jobs: Vec<TaskOf> = h.jobs.iter().map(|j| TaskOf::new(context, j)).collect();
        for m in &h.machines {
            let type_name = h.types.get(m.machine_type as usize).map_or("", String::as_str);
            let ix = self.fleet.on_reported_machine(context, m, type_name, &zone);
            if let Some(m) = self.fleet.machines.get(ix)
                && m.shard != shard
            {
                continue;
            }
            for t in &m.tasks {
                let Some(of) = jobs.get(t.job as usize) else { continue };
                listed.insert(t.attempt);
                self.take_task(context, shard, ix, of, t);
            }
        }
        let gone: Vec<u64> = self
            .attempts
            .iter()
            .filter(|(_, a)| a.shard == shard)
            .filter(|(id, a)| is_proven_gone(listed.contains(id), a.first_named_in, h.echo))
            .map(|(id, _)| id)
            .collect();
        for id in gone {
            if let Some(a) = self.attempts.remove(id) {
                self.requeue(a.job, a.task);
            }
        }
    }

    pub(super) fn take_task(
        &mut self,
        context: &mut NodeContext,
        shard: ShardIndex,
        machine: InstanceIndex,
        of: &TaskOf,
        t: &ReportedTask,
    ) {
        let job = of.job;
        if !self.attempts.contains(t.attempt) {
            // Bound for an earlier leader, and not in the records that we
            // read: gone already, or known under a newer attempt.
            let has_attempt = self.attempts.has_task(job, t.task);
            let known = self.jobs.get(&job).filter(|known| !known.is_away());
            let is_done = known.is_some_and(|j| j.done.contains(t.task));
            let task = TaskStatus { job_is_live: known.is_some(), is_done };
            let standing = AttemptDisposition::of_reported(task, has_attempt);
            let want = standing == AttemptDisposition::Keep;
            if want && let Some(j) = self.jobs.get_mut(&job) {
                j.issued.insert(t.task);
                j.retry.retain(|x| *x != t.task);
            }
            self.attempts.insert(
                t.attempt,
                AttemptView {
                    job,
                    task: t.task,
                    shard,
                    machine: Some(machine),
                    may_bind: false,
                    is_wanted: want,
                    state: t.state,
                    demand: of.demand,
                    team: of.team,
                    ran_ms: t.ran_ms,
                    first_named_in: None,
                },
            );
            self.shards[shard.place()].dirty = true;
        }
        let Some(a) = self.attempts.get_mut(t.attempt) else { return };
        if a.machine != Some(machine) || a.may_bind {
            self.cycle_due = true;
        }
        a.machine = Some(machine);
        a.may_bind = false;
        a.ran_ms = t.ran_ms;
        let before = a.state;
        a.state = t.state;
        if before == t.state {
            return;
        }
        self.cycle_due = true;
        match t.state {
            ReportedPhase::Done => {
                let Some(j) = self.jobs.get_mut(&job) else { return };
                if j.done.insert(t.task) {
                    j.unrecorded.push(t.task);
                    j.failures = 0;
                    j.failed_on.clear();
                    self.fleet.on_task_succeeded(machine);
                    if t.ran_ms > 0 && j.spec.estimate_s > 0.0 {
                        let ratio = (t.ran_ms as f64 / 1000.0 / j.spec.estimate_s).clamp(0.1, 10.0);
                        let r = self.ratios.entry(j.spec.class.clone()).or_insert(1.0);
                        *r += 0.03 * (ratio - *r);
                    }
                } else if j.recorded.contains(t.task) {
                    a.is_wanted = false;
                    self.shards[shard.place()].dirty = true;
                }
            }
            ReportedPhase::Failed => {
                a.is_wanted = false;
                self.shards[shard.place()].dirty = true;
                if let Some(j) = self.jobs.get_mut(&job) {
                    j.failures += 1;
                    j.failed_on.insert(machine);
                    // Failing on several machines, the job itself is at
                    // fault; it must not take the machines with it.
                    if j.failed_on.len() >= 3 {
                        let factor = 1 << j.failures.saturating_sub(3).min(5);
                        j.backoff_until = context.clock.now() + 2_000 * factor;
                    } else {
                        self.fleet.on_task_failed(context.clock.now(), machine, job);
                    }
                }
            }
            ReportedPhase::Stopped | ReportedPhase::Refused => {
                a.is_wanted = false;
                self.shards[shard.place()].dirty = true;
            }
            _ => {}
        }
    }

    pub(super) fn send_desired_states(&mut self, context: &mut NodeContext) {
        let now = context.clock.now();
        let mut due: Vec<ShardIndex> = Vec::new();
        for (b, lb) in self.shards.iter_mut().enumerate() {
            let gap = context.load_adjusted_gap(DESIRED_GAP_MS, lb.size);
            let at = lb.sent_at + if lb.dirty { gap } else { DESIRED_EVERY_MS.max(gap) };
            if (now >= at || lb.sent_at == 0) && context.shards.owner(b).is_some() {
                lb.dirty = false;
                lb.sent_at = now;
                lb.serial += 1;
                lb.gone.retain(|(_, at)| at + 30_000 > now);
                due.push(ShardIndex::at(b));
            }
        }
        if due.is_empty() {
            return;
        }
        let mut jobs: Vec<DesiredJobs> = vec![BTreeMap::new(); self.shards.len()];
        for (id, a) in self.attempts.iter_mut().filter(|(_, a)| due.contains(&a.shard)) {
            let b = a.shard.place();
            a.first_named_in.get_or_insert(self.shards[b].serial);
            if a.is_wanted {
                jobs[b].entry(a.job).or_default().push((a.task, id, a.may_bind));
            }
        }
        let mut wishes = self.fleet.directives(context);
        for b in due.into_iter().map(ShardIndex::place) {
            let wishes = std::mem::take(&mut wishes[b]);
            let Some(KnownOwner { record: rec, fencing_token }) = context.shards.owner(b).cloned()
            else {
                continue;
            };
            let serial = self.shards[b].serial;
            let jobs = std::mem::take(&mut jobs[b]);
            self.shards[b].size = jobs.values().map(Vec::len).sum();
            let want = DesiredState {
                term: self.term,
                shard: b as u32,
                fencing_token,
                serial,
                jobs: jobs
                    .into_iter()
                    .map(|(job, tasks)| DesiredJob {
                        job: context.jobs.id(job).to_string(),
                        expected_s: self.jobs.get(&job).map_or(1.0, |j| self.expected_s(&j.spec)),
                        tasks,
                    })
                    .collect(),
                waiting: self.shards[b]
                    .waiting
                    .iter()
                    .map(|(j, n)| crate::wire::peer::WaitingTasks {
                        job: context.jobs.id(*j).to_string(),
                        count: *n,
                    })
                    .collect(),
                cordoned: wishes.cordoned,
                decommission: wishes.decommission,
                gone: self.shards[b].gone.iter().map(|(n, _)| n.clone()).collect(),
                quarantined: wishes.quarantined,
            };
            context.send(&rec.node, PeerMessage::DesiredState(want));
        }
    }

    pub(super) fn tell_counts(&mut self, context: &mut NodeContext) {
        if context.clock.now() < self.counts_at + 500 {
            return;
        }
        self.counts_at = context.clock.now();
        let mut running: FxHashMap<JobIndex, u32> = FxHashMap::default();
        for a in self.attempts.values().filter(|a| a.state == ReportedPhase::Running) {
            *running.entry(a.job).or_default() += 1;
        }
        let counts = self.jobs.iter().map(|(index, job)| {
            let here = running.get(index).copied().unwrap_or(0);
            let running = if let JobLocation::Away { running } = job.location { running } else { here };
            TaskCount { job: context.jobs.id(*index).to_string(), done: job.done.len(), running }
        });
        let known = counts.filter(|count| count.done > 0 || count.running > 0);
        let announced = known.take(MAX_TASK_COUNTS).collect();
        context.task_counts.announce(announced);
    }
}
