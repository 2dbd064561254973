//! Reconciles the recorded attempts with worker heartbeats and with ended worker leases.
//! `woadlever_recovery` decides what these prove.

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

/// Version of the field set in the recovery log lines.
const LOG_FORMAT: u32 = 2;

impl ShardOwner {
    /// Drops the attempts on machines whose lease has certainly ended.
    pub(super) fn check_leases(&mut self, context: &NodeContext) {
        let timing = context.timing();
        for machine in self.machines.values_mut() {
            let Some(shard) = &mut self.shards[machine.shard.as_usize()] else { continue };
            // A machine with a parked heartbeat is not silent. Without this check, a new machine
            // whose first heartbeat is parked would be treated as one whose lease has ended,
            // although the lease has not begun, and its tasks would be admitted again while the
            // machine received them.
            if machine.liveness.lease_has_ended()
                || machine.parked_heartbeat.is_some()
                || !shard.is_loaded()
            {
                continue;
            }
            let owned_since = shard.recovery.owned_since();
            if machine.liveness.lease_has_certainly_ended(owned_since, &timing, context.clock.now()) {
                end_lease(context, shard, machine);
            }
        }
    }

    /// Completes and logs the recovery of shards whose recorded attempts are all reconciled.
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

/// Ends the machine's lease and drops the attempts and cached images that end with it.
fn end_lease(context: &NodeContext, shard: &mut OwnedShard, machine: &mut Machine) {
    machine.liveness.end_lease();
    machine.images.clear();
    if machine.attempts.iter().any(|attempt| !attempt.phase.has_ended()) {
        tracing::info!(machine = machine.name, "worker lease ended; its tasks are gone");
    }
    shard.recovery.count_lease_ended(machine.unreconciled_attempts() as u32);
    let is_gone = |attempt: &mut Attempt| attempt::ends_with_lease(&attempt.state());
    let gone = machine.attempts.extract_if(.., is_gone);
    shard.reject_gone_attempts(gone.map(|attempt| GoneAttempt::from(&attempt)), context.clock.now());
    shard.has_unreported_changes = true;
}

/// Logs the recovery phase of a shard. `woadlever-recovery-report` parses these lines.
pub(super) fn log_recovery_phase(context: &NodeContext, shard: &OwnedShard) {
    let recovery = &shard.recovery;
    let counts = recovery.counts();
    tracing::info!(
        target: "woadlever::recovery",
        format = LOG_FORMAT,
        shard = context.shards[shard.index.as_usize()].name,
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

/// Applies a heartbeat to the machine's attempts: those that it lists, and those that it proves
/// absent by not listing them. Returns the attempts that are gone. Commands for attempts that no
/// record lists are added to `commands`.
pub(super) fn reconcile_heartbeat(
    context: &NodeContext,
    machine: &mut Machine,
    tasks: &[HeartbeatTask],
    recovery: &mut ShardRecovery,
    commands: &mut Vec<Command>,
) -> Vec<GoneAttempt> {
    let listed = apply_listed_tasks(context, machine, tasks, recovery, commands);
    detect_unreachable_worker(machine, &listed);
    let (liveness, name) = (&machine.liveness, machine.name.as_str());
    let is_gone = |attempt: &mut Attempt| {
        let verdict = attempt::verdict_on(&attempt.state(), listed.contains(&attempt.id), liveness);
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

/// Marks the worker as unreachable if a heartbeat proves that it does not receive our responses.
fn detect_unreachable_worker(machine: &mut Machine, listed: &FxHashSet<AttemptId>) {
    let is_undelivered = |attempt: &Attempt| {
        let is_listed = listed.contains(&attempt.id);
        attempt::verdict_on(&attempt.state(), is_listed, &machine.liveness) == Verdict::Undelivered
    };
    if machine.attempts.iter().any(is_undelivered) {
        machine.liveness.mark_unreachable();
        tracing::info!(
            machine = machine.name,
            "worker does not receive responses; assigning no new tasks to it"
        );
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

/// Updates the phases of the attempts that a heartbeat lists and returns their ids. Adds a stop or
/// forget command for each listed attempt that no record lists.
fn apply_listed_tasks(
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
            log_unrecorded(context, &machine.name, task);
            commands.push(command_for_unrecorded(task));
            continue;
        };
        if attempt.phase == AttemptPhase::Inherited {
            recovery.count_verdict(Verdict::Present);
        }
        listed.insert(attempt.id);
        attempt.was_listed = true;
        update_phase(attempt, phase_of(task), context.clock.now());
    }
    listed
}

/// Logs that a task which a heartbeat lists is stopped or forgotten because no record lists it.
fn log_unrecorded(context: &NodeContext, machine: &str, task: &HeartbeatTask) {
    let job = split_task(&task.task).and_then(|(id, _)| context.jobs.index_of_referenced(id));
    let job_state = job.map(|job| context.job(job).state);
    tracing::debug!(
        machine,
        task = task.task,
        attempt = task.attempt,
        state = ?task.state,
        ?job_state,
        "task without a recorded attempt"
    );
}

/// Returns the attempt that an entry of a heartbeat refers to. Its job may still be unread.
fn find_attempt<'a>(
    context: &NodeContext,
    machine: &'a mut Machine,
    task: &HeartbeatTask,
) -> Option<&'a mut Attempt> {
    let (job_id, number) = split_task(&task.task)?;
    let job = context.jobs.index_of_referenced(job_id)?;
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
        TaskState::Ended => match task.end_reason.as_deref() {
            Some("done") => AttemptPhase::Done,
            Some("error") => AttemptPhase::Failed,
            Some("halted") => AttemptPhase::Stopped,
            _ => AttemptPhase::Refused,
        },
    }
}

fn update_phase(attempt: &mut Attempt, phase: AttemptPhase, now: Ms) {
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
