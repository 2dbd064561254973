//! Squaring reports, and the ends of leases, with the attempts on record. What they
//! prove is decided by `woadlever_recovery`.

use super::machine::{Attempt, Machine};
use super::{Load, ShardOwner};
use crate::core::common::context::NodeContext;
use crate::model::{Ms, split_task};
use crate::wire::workers::{Command, CommandAction, HeartbeatTask, TaskState};
use rustc_hash::FxHashSet;
use woadlever_recovery::attempt::{self, AttemptPhase, Verdict, WorkerAction};
use woadlever_recovery::shard::ShardRecovery;

impl ShardOwner {
    /// Machines whose lease has surely ended hold nothing any more.
    pub(super) fn check_leases(&mut self, context: &mut NodeContext) {
        let timing = context.timing();
        for m in self.machines.values_mut() {
            let Some(h) = &mut self.shards[m.shard.place()] else { continue };
            // A report that waits for its answer is no silence: the first one
            // of a new machine would pass for the end of a lease that never
            // began, and its tasks would be granted again while it got them.
            if m.worker.has_ended() || m.held.is_some() || h.load != Load::Done {
                continue;
            }
            if !m.worker.lease_is_over(h.recovery.since(), &timing, context.clock.now()) {
                continue;
            }
            m.worker.end_lease();
            m.images.clear();
            if m.attempts.iter().any(|a| !a.phase.has_ended()) {
                tracing::info!(machine = m.name, "lease ended; its tasks are gone");
            }
            h.recovery.count_lease_ended(m.unreconciled_attempts() as u32);
            let gone = m.attempts.extract_if(.., |a| attempt::ends_with_lease(&a.state()));
            h.note_gone_attempts(gone.map(|a| (a.id, a.record)), context.clock.now());
            h.dirty = true;
        }
    }

    /// Tells of blocks whose last attempt has been squared.
    pub(super) fn follow_recovery(&mut self, context: &NodeContext) {
        for (b, held) in self.shards.iter_mut().enumerate() {
            let Some(h) = held.as_mut().filter(|h| h.recovery.is_reconciling()) else { continue };
            let of_block = self.machines.values().filter(|m| m.shard.place() == b);
            let unreconciled_attempts = of_block.map(Machine::unreconciled_attempts).sum();
            if h.recovery.settle(unreconciled_attempts) {
                log_phase(context, b, h.fencing_token, &h.recovery);
            }
        }
    }
}

/// Tells operators of a block's phase; `woadlever-recovery-report` reads these lines.
pub(super) fn log_phase(
    context: &NodeContext,
    shard: usize,
    fencing_token: u64,
    recovery: &ShardRecovery,
) {
    let tally = recovery.tally();
    tracing::info!(
        target: "woadlever::recovery",
        format = LOG_FORMAT,
        shard = context.shards[shard].name,
        fencing_token,
        phase = recovery.phase().name(),
        age_ms = recovery.age_ms(context.clock.now()),
        revision = recovery.revision(),
        recorded = recovery.recorded(),
        confirmed = tally.confirmed,
        absent = tally.absent,
        lease_ended = tally.lease_ended,
        unrecorded = tally.unrecorded,
        "recovery"
    );
}

/// Version of the fields in recovery's log lines.
const LOG_FORMAT: u32 = 2;

/// Takes in what a report says of the machine's tasks, and what it proves by
/// not saying it. The attempts that are gone, with their records.
pub(super) fn reconcile_heartbeat(
    context: &mut NodeContext,
    m: &mut Machine,
    tasks: &[HeartbeatTask],
    recovery: &mut ShardRecovery,
    commands: &mut Vec<Command>,
) -> Vec<(u64, u32)> {
    let listed = note_listed(context, m, tasks, recovery, commands);
    let verdicts: Vec<Verdict> = m
        .attempts
        .iter()
        .map(|a| attempt::judge(&a.state(), listed.contains(&a.id), &m.worker))
        .collect();
    if verdicts.contains(&Verdict::Undelivered) {
        m.worker.note_unreachable();
        tracing::info!(machine = m.name, "answers don't reach the machine; no new work for it");
    }
    let (worker, machine) = (&m.worker, m.name.as_str());
    let is_gone = |a: &mut Attempt| {
        let verdict = attempt::judge(&a.state(), listed.contains(&a.id), worker);
        if a.phase == AttemptPhase::Inherited {
            recovery.count(verdict);
        }
        matches!(verdict, Verdict::Absent | Verdict::Undelivered)
    };
    let gone = m.attempts.extract_if(.., is_gone);
    gone.map(|a| {
        tracing::debug!(machine, job = context.jobs.id(a.job), task = a.task, attempt = a.id, phase = ?a.phase, "gone");
        (a.id, a.record)
    })
    .collect()
}

/// Notes the phases of the attempts that a report lists. What no record speaks of is
/// stopped or cleared.
fn note_listed(
    context: &NodeContext,
    m: &mut Machine,
    tasks: &[HeartbeatTask],
    recovery: &mut ShardRecovery,
    commands: &mut Vec<Command>,
) -> FxHashSet<u64> {
    let mut listed: FxHashSet<u64> = FxHashSet::default();
    for task in tasks {
        let found = split_task(&task.task).and_then(|(job, number)| {
            let job = context.job_index(job)?;
            let is_it = |a: &&mut Attempt| a.id == task.attempt && a.job == job && a.task == number;
            m.attempts.iter_mut().find(is_it)
        });
        let Some(attempt) = found else {
            recovery.count_unrecorded();
            commands.push(command_for_unrecorded(task));
            continue;
        };
        if attempt.phase == AttemptPhase::Inherited {
            recovery.count(Verdict::Present);
        }
        listed.insert(attempt.id);
        attempt.listed = true;
        note_phase(attempt, phase_of(task), context.clock.now());
    }
    listed
}

fn command_for_unrecorded(task: &HeartbeatTask) -> Command {
    let order = attempt::action_for_unrecorded(task.state == TaskState::Exited);
    let (op, grace_s) = match order {
        WorkerAction::Clear => (CommandAction::Forget, None),
        _ => (CommandAction::Stop, Some(0.0)),
    };
    Command { op, task: task.task.clone(), attempt: task.attempt, grace_s }
}

fn phase_of(task: &HeartbeatTask) -> AttemptPhase {
    match task.state {
        TaskState::Fetching => AttemptPhase::Fetching,
        TaskState::Running | TaskState::Other => AttemptPhase::Running,
        TaskState::Saving => AttemptPhase::Saving,
        TaskState::Exited => match task.why.as_deref() {
            Some("done") => AttemptPhase::Done,
            Some("error") => AttemptPhase::Failed,
            Some("halted") => AttemptPhase::Stopped,
            _ => AttemptPhase::Refused,
        },
    }
}

fn note_phase(attempt: &mut Attempt, phase: AttemptPhase, now: Ms) {
    if phase == AttemptPhase::Running {
        attempt.started.get_or_insert(now);
    }
    if phase.has_ended()
        && !attempt.phase.has_ended()
        && let Some(started) = attempt.started
    {
        attempt.ran = now.saturating_sub(started);
    }
    attempt.phase = phase;
}
