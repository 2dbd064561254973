//! Commands sent to a worker in the response to its heartbeat. `woadlever_recovery` decides which
//! action is allowed for an attempt.

use super::attempt::Attempt;
use super::machine::Machine;
use crate::core::common::context::NodeContext;
use crate::core::common::job_table::KnownState;
use crate::model::{FencingToken, JobSpec, Term};
use crate::wire::workers::{Command, CommandAction, HeartbeatTask, TaskState};
use woadlever_recovery::attempt::{self, ActionConditions, AttemptPhase, JobEligibility, WorkerAction};
use woadlever_recovery::worker::HeartbeatVersion;

/// Whether this attempt needs a command for which a parked heartbeat must be answered at once.
pub(super) fn has_command(context: &NodeContext, attempt: &Attempt) -> bool {
    let must_stop = || must_stop(context, attempt);
    match attempt.phase {
        AttemptPhase::Bound => attempt.is_ready() && attempt.start_sent.is_none() && !must_stop(),
        AttemptPhase::Fetching | AttemptPhase::Running => !attempt.is_wanted || must_stop(),
        _ => false,
    }
}

/// Adds the command that the worker should execute now for each attempt that needs one.
pub(super) fn add_commands(context: &NodeContext, machine: &mut Machine, commands: &mut Vec<Command>) {
    let machine_accepts_starts = !machine.terminating_recorded;
    for attempt in &mut machine.attempts {
        let spec = context.job(attempt.job).spec.as_deref();
        let conditions = ActionConditions {
            is_recorded: attempt.is_recorded(),
            was_listed: attempt.was_listed,
            machine_accepts_starts,
        };
        let action = attempt::allowed_action(
            &attempt.state(),
            &job_eligibility(context, attempt),
            &machine.liveness,
            &conditions,
        );
        let Some(action) = action else { continue };
        if action == WorkerAction::Start {
            attempt.start_sent.get_or_insert(machine.liveness.newest());
        }
        let answered = AnsweredHeartbeat {
            machine: &machine.name,
            fencing_token: machine.fencing_token,
            version: machine.liveness.newest(),
        };
        log_command(context, answered, attempt, action);
        commands.push(command_for(context, attempt, action, spec));
    }
}

/// Whether a task on a machine must end. All live jobs are read before a shard is owned, so a job
/// whose record is unread or missing is final.
fn must_stop(context: &NodeContext, attempt: &Attempt) -> bool {
    match context.job(attempt.job).state {
        KnownState::Unread | KnownState::Missing => true,
        KnownState::Live | KnownState::Done | KnownState::Cancelled | KnownState::Dropped => {
            context.must_stop(attempt.job)
        }
    }
}

fn job_eligibility(context: &NodeContext, attempt: &Attempt) -> JobEligibility {
    let job = context.job(attempt.job);
    JobEligibility {
        is_live: job.state == KnownState::Live,
        is_cancelled: must_stop(context, attempt),
        can_checkpoint: job.spec.as_ref().is_some_and(|spec| spec.checkpoint_s > 0.0),
    }
}

fn command_for(
    context: &NodeContext,
    attempt: &Attempt,
    action: WorkerAction,
    spec: Option<&JobSpec>,
) -> Command {
    let (action, grace_s) = match action {
        WorkerAction::Start => (CommandAction::Start, None),
        WorkerAction::Stop { with_checkpoint } => {
            let save_s = spec.filter(|_| with_checkpoint).map_or(0.0, |spec| spec.save_s);
            (CommandAction::Stop, Some(save_s))
        }
        WorkerAction::Forget => (CommandAction::Forget, None),
    };
    Command { action, task: attempt.task_name(context), attempt: attempt.id.number(), grace_s }
}

/// Returns the command for an attempt that a heartbeat lists but no record does.
pub(super) fn command_for_unrecorded(task: &HeartbeatTask) -> Command {
    let action = attempt::action_for_unrecorded(task.state == TaskState::Ended);
    let (action, grace_s) = match action {
        WorkerAction::Forget => (CommandAction::Forget, None),
        _ => (CommandAction::Stop, Some(0.0)),
    };
    Command { action, task: task.task.clone(), attempt: task.attempt, grace_s }
}

/// The heartbeat whose response carries commands.
#[derive(Debug, Clone, Copy)]
struct AnsweredHeartbeat<'a> {
    machine: &'a str,
    fencing_token: FencingToken,
    version: HeartbeatVersion,
}

/// Logs the state on which a start or stop command is based.
fn log_command(
    context: &NodeContext,
    answered: AnsweredHeartbeat<'_>,
    attempt: &Attempt,
    action: WorkerAction,
) {
    match action {
        WorkerAction::Start => log_start(context, answered, attempt),
        WorkerAction::Stop { .. } => log_stop(context, answered, attempt),
        WorkerAction::Forget => {}
    }
}

/// Logs a start command, with the time that recording the attempt took (`record_ms`) and the time
/// from then until the command could be sent in a heartbeat response (`wait_ms`).
fn log_start(context: &NodeContext, answered: AnsweredHeartbeat<'_>, attempt: &Attempt) {
    let bound_at = attempt.bound_at.unwrap_or(0);
    let recorded_at = attempt.recorded_at.unwrap_or(0);
    tracing::debug!(
        machine = answered.machine,
        fencing_token = answered.fencing_token.number(),
        incarnation = answered.version.incarnation,
        sequence = answered.version.sequence,
        job = context.jobs.id(attempt.job),
        task = attempt.task,
        attempt = attempt.id.number(),
        admitted_in = attempt.admitted_in.map(Term::number),
        present_term = context.leadership.term().map(Term::number),
        revision = attempt.recorded_revision,
        read_age_ms = context.control_lease.age_ms(context.clock.now()),
        record_ms = recorded_at.saturating_sub(bound_at),
        wait_ms = context.clock.now().saturating_sub(recorded_at),
        "start command sent"
    );
}

fn log_stop(context: &NodeContext, answered: AnsweredHeartbeat<'_>, attempt: &Attempt) {
    tracing::debug!(
        machine = answered.machine,
        fencing_token = answered.fencing_token.number(),
        incarnation = answered.version.incarnation,
        sequence = answered.version.sequence,
        job = context.jobs.id(attempt.job),
        task = attempt.task,
        attempt = attempt.id.number(),
        present_term = context.leadership.term().map(Term::number),
        is_wanted = attempt.is_wanted,
        is_cancelled = must_stop(context, attempt),
        job_state = ?context.job(attempt.job).state,
        read_age_ms = context.control_lease.age_ms(context.clock.now()),
        "stop command sent"
    );
}
