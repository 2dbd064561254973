//! Reconciling what is on record with worker heartbeats and with the ends of worker
//! leases. What these prove is decided by `woadlever_recovery`.

use super::ShardOwner;
use super::attempt::Attempt;
use super::machine::{Machine, machines_of};
use super::owned_shard::{GoneAttempt, OwnedShard};
use super::worker_commands::command_for_unrecorded;
use crate::core::common::context::NodeContext;
use crate::model::{AttemptId, Ms, split_task};
use crate::wire::workers::{Command, HeartbeatTask, TaskState};
use rustc_hash::FxHashSet;
use woadlever_recovery::attempt::{self, AttemptPhase, Verdict};
use woadlever_recovery::shard::ShardRecovery;

/// Version of the fields in recovery's log lines.
const LOG_FORMAT: u32 = 2;

impl ShardOwner {
    /// Drops what was on machines whose lease has surely ended.
    pub(super) fn check_leases(&mut self, context: &NodeContext) {
        let timing = context.timing();
        for machine in self.machines.values_mut() {
            let Some(shard) = &mut self.shards[machine.shard.place()] else { continue };
            // A parked heartbeat is no silence: the first one of a new machine would pass
            // for the end of a lease that never began, and its tasks would be admitted
            // again while it got them.
            if machine.liveness.has_ended() || machine.parked_heartbeat.is_some() || !shard.is_loaded() {
                continue;
            }
            let owned_since = shard.recovery.owned_since();
            if machine.liveness.lease_is_over(owned_since, &timing, context.clock.now()) {
                end_lease(context, shard, machine);
            }
        }
    }

    /// Logs the shards whose last attempt has been reconciled.
    pub(super) fn finish_reconciliations(&mut self, context: &NodeContext) {
        for shard in self.shards.iter_mut().flatten() {
            if !shard.recovery.is_reconciling() {
                continue;
            }
            let unreconciled =
                machines_of(&self.machines, shard.index).map(Machine::unreconciled_attempts).sum();
            if shard.recovery.finish_if_reconciled(unreconciled) {
                log_recovery_phase(context, shard);
            }
        }
    }
}

/// Takes the machine's lease for ended, and with it all that it had.
fn end_lease(context: &NodeContext, shard: &mut OwnedShard, machine: &mut Machine) {
    machine.liveness.end_lease();
    machine.images.clear();
    if machine.attempts.iter().any(|attempt| !attempt.phase.has_ended()) {
        tracing::info!(machine = machine.name, "worker lease ended; its tasks are gone");
    }
    shard.recovery.count_lease_ended(machine.unreconciled_attempts() as u32);
    let is_gone = |attempt: &mut Attempt| attempt::ends_with_lease(&attempt.state());
    let gone = machine.attempts.extract_if(.., is_gone);
    shard.note_gone_attempts(gone.map(|attempt| GoneAttempt::from(&attempt)), context.clock.now());
    shard.has_unreported_changes = true;
}

/// Logs a shard's phase of recovery; `woadlever-recovery-report` reads these lines.
pub(super) fn log_recovery_phase(context: &NodeContext, shard: &OwnedShard) {
    let recovery = &shard.recovery;
    let counts = recovery.counts();
    tracing::info!(
        target: "woadlever::recovery",
        format = LOG_FORMAT,
        shard = context.shards[shard.index.place()].name,
        fencing_token = shard.fencing_token.number(),
        phase = recovery.phase().name(),
        age_ms = recovery.age_ms(context.clock.now()),
        revision = recovery.revision(),
        recorded = recovery.recorded(),
        confirmed = counts.confirmed,
        absent = counts.absent,
        lease_ended = counts.lease_ended,
        unrecorded = counts.unrecorded,
        "recovery"
    );
}

/// Takes in what a heartbeat says of the machine's tasks, and what it proves by not
/// listing them; the attempts that are gone. Commands for attempts that no record lists
/// are added to `commands`.
pub(super) fn reconcile_heartbeat(
    context: &NodeContext,
    machine: &mut Machine,
    tasks: &[HeartbeatTask],
    recovery: &mut ShardRecovery,
    commands: &mut Vec<Command>,
) -> Vec<GoneAttempt> {
    let listed = note_listed(context, machine, tasks, recovery, commands);
    note_undelivered(machine, &listed);
    let (liveness, name) = (&machine.liveness, machine.name.as_str());
    let is_gone = |attempt: &mut Attempt| {
        let verdict = attempt::judge(&attempt.state(), listed.contains(&attempt.id), liveness);
        if attempt.phase == AttemptPhase::Inherited {
            recovery.count_verdict(verdict);
        }
        matches!(verdict, Verdict::Absent | Verdict::Undelivered)
    };
    let gone = machine.attempts.extract_if(.., is_gone);
    gone.map(|attempt| {
        log_gone(context, name, &attempt);
        GoneAttempt::from(&attempt)
    })
    .collect()
}

/// Notes that the worker does not receive our responses if a heartbeat proves so.
fn note_undelivered(machine: &mut Machine, listed: &FxHashSet<AttemptId>) {
    let is_undelivered = |attempt: &Attempt| {
        let is_listed = listed.contains(&attempt.id);
        attempt::judge(&attempt.state(), is_listed, &machine.liveness) == Verdict::Undelivered
    };
    if machine.attempts.iter().any(is_undelivered) {
        machine.liveness.note_unreachable();
        tracing::info!(machine = machine.name, "worker does not receive responses; no new work for it");
    }
}

fn log_gone(context: &NodeContext, machine: &str, attempt: &Attempt) {
    tracing::debug!(
        machine,
        job = context.jobs.id(attempt.job),
        task = attempt.task,
        attempt = attempt.id.number(),
        phase = ?attempt.phase,
        "attempt is gone"
    );
}

/// Notes the phases of the attempts that a heartbeat lists; their ids. What no record
/// lists is stopped or forgotten.
fn note_listed(
    context: &NodeContext,
    machine: &mut Machine,
    tasks: &[HeartbeatTask],
    recovery: &mut ShardRecovery,
    commands: &mut Vec<Command>,
) -> FxHashSet<AttemptId> {
    let mut listed: FxHashSet<AttemptId> = FxHashSet::default();
    for task in tasks {
        let Some(attempt) = find_attempt(context, machine, task) else {
            recovery.count_unrecorded();
            commands.push(command_for_unrecorded(task));
            continue;
        };
        if attempt.phase == AttemptPhase::Inherited {
            recovery.count_verdict(Verdict::Present);
        }
        listed.insert(attempt.id);
        attempt.was_listed = true;
        note_phase(attempt, phase_of(task), context.clock.now());
    }
    listed
}

/// The attempt that an entry of a heartbeat names.
fn find_attempt<'a>(
    context: &NodeContext,
    machine: &'a mut Machine,
    task: &HeartbeatTask,
) -> Option<&'a mut Attempt> {
    let (job_id, number) = split_task(&task.task)?;
    let job = context.job_index(job_id)?;
    let is_named = |attempt: &&mut Attempt| {
        attempt.id.number() == task.attempt && attempt.job == job && attempt.task == number
    };
    machine.attempts.iter_mut().find(is_named)
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
        attempt.started_at.get_or_insert(now);
    }
    if phase.has_ended()
        && !attempt.phase.has_ended()
        && let Some(started_at) = attempt.started_at
    {
        attempt.ran_ms = now.saturating_sub(started_at);
    }
    attempt.phase = phase;
}
