//! Direct commands: commands sent to workers without waiting for a heartbeat. They are used only
//! to stop tasks of cancelled jobs.

use super::ShardOwner;
use super::attempt::Attempt;
use super::machine::Machine;
use crate::core::Output;
use crate::core::common::context::NodeContext;
use crate::model::{JobIndex, Ms};
use crate::wire::workers::{Command, CommandAction, DirectCommands};
use rustc_hash::FxHashSet;
use woadlever_recovery::attempt;

/// Time after which direct commands are sent again unless a heartbeat arrives first.
const RESEND_INTERVAL_MS: Ms = 3_000;
/// Maximum number of times that direct commands are sent to a machine without a heartbeat from it
/// in between.
const MAX_SENDS: u32 = 5;

impl ShardOwner {
    /// Sends direct commands that stop the tasks of newly cancelled jobs to machines without a
    /// parked heartbeat. Without them, a task that still waits for its image would start before
    /// the next heartbeat, and machines whose heartbeats reach no node would continue to run the
    /// tasks.
    pub(super) fn stop_cancelled(&mut self, context: &mut NodeContext) {
        let jobs: FxHashSet<JobIndex> = context.jobs.take_newly_cancelled().into_iter().collect();
        if jobs.is_empty() {
            return;
        }
        for machine in self.machines.values_mut() {
            let has_cancelled = || machine.attempts.iter().any(|attempt| jobs.contains(&attempt.job));
            if machine.parked_heartbeat.is_none() && has_cancelled() {
                send_stop_commands(context, machine);
            }
        }
        // Scans on this poll, so that machines with a parked heartbeat get their commands at once.
        self.next_scan_at = 0;
    }

    /// Resends stop commands to machines that have sent no heartbeat since the last ones.
    pub(super) fn repeat_stop_commands(&mut self, context: &mut NodeContext) {
        let now = context.clock.now();
        for machine in self.machines.values_mut() {
            let may_repeat = (1..MAX_SENDS).contains(&machine.liveness.direct_commands());
            let is_due = machine.last_direct_command_at.is_some_and(|at| now >= at + RESEND_INTERVAL_MS);
            if may_repeat && is_due && machine.parked_heartbeat.is_none() {
                send_stop_commands(context, machine);
            }
        }
    }
}

/// Sends stop commands for all tasks of cancelled jobs that may be on the machine. Start commands
/// are never sent directly, because a worker could execute one minutes late.
fn send_stop_commands(context: &mut NodeContext, machine: &mut Machine) {
    let commands: Vec<Command> = machine
        .attempts
        .iter()
        .filter(|attempt| attempt::may_need_direct_stop(&attempt.state()))
        .filter(|attempt| context.must_stop(attempt.job))
        .map(|attempt| stop_command(context, attempt))
        .collect();
    if commands.is_empty() || machine.address.is_empty() || machine.liveness.lease_has_ended() {
        return;
    }
    machine.last_direct_command_at = Some(context.clock.now());
    machine.liveness.on_direct_command_sent();
    let incarnation = machine.liveness.newest().incarnation;
    let fencing_token = machine.fencing_token;
    let commands = DirectCommands { fencing_token: fencing_token.number(), incarnation, commands };
    context.outbox.push(Output::DirectCommands { addr: machine.address.clone(), commands });
}

fn stop_command(context: &NodeContext, attempt: &Attempt) -> Command {
    Command {
        action: CommandAction::Stop,
        task: attempt.task_name(context),
        attempt: attempt.id.number(),
        grace_s: Some(0.0),
    }
}
