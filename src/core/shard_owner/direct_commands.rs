//! Commands sent straight to workers: only ever to stop what is cancelled.

use super::ShardOwner;
use super::machine::{Attempt, Machine};
use crate::core::Output;
use crate::core::common::context::NodeContext;
use crate::model::{JobIndex, Ms};
use crate::wire::workers::{Command, CommandAction, DirectCommands};
use rustc_hash::FxHashSet;
use woadlever_recovery::attempt;

/// A direct command is repeated after this time, so often at most, unless a report
/// comes first.
const DIRECT_MS: Ms = 3_000;
const MOST_DIRECT: u32 = 5;

impl ShardOwner {
    /// Tasks of a job that is cancelled are stopped by direct command, where no
    /// report waits for an answer: one that still waits for its image would start
    /// before the next report, and machines whose reports reach nobody would go on.
    pub(super) fn stop_cancelled(&mut self, context: &mut NodeContext) {
        let jobs: FxHashSet<JobIndex> = context.jobs.take_newly_cancelled().into_iter().collect();
        if jobs.is_empty() {
            return;
        }
        for m in self.machines.values_mut() {
            if m.held.is_none() && m.attempts.iter().any(|a| jobs.contains(&a.job)) {
                stop_directly(context, m);
            }
        }
        // Reports that wait are answered without delay.
        self.next_scan = 0;
    }

    /// Again where nothing has been heard of it.
    pub(super) fn repeat_stops(&mut self, context: &mut NodeContext) {
        let now = context.clock.now();
        for m in self.machines.values_mut() {
            if (1..MOST_DIRECT).contains(&m.worker.direct_commands())
                && m.held.is_none()
                && now >= m.direct_at + DIRECT_MS
            {
                stop_directly(context, m);
            }
        }
    }
}

/// Never a `run`, which could be carried out minutes late.
fn stop_directly(context: &mut NodeContext, m: &mut Machine) {
    let stop = |a: &Attempt| Command {
        op: CommandAction::Stop,
        task: format!("{}/{}", context.jobs.id(a.job), a.task),
        attempt: a.id,
        grace_s: Some(0.0),
    };
    let may_be_there = |a: &&Attempt| attempt::may_need_direct_stop(&a.state());
    let due = m.attempts.iter().filter(may_be_there).filter(|a| context.must_stop(a.job));
    let commands: Vec<Command> = due.map(stop).collect();
    if commands.is_empty() || m.addr.is_empty() || m.worker.has_ended() {
        return;
    }
    m.direct_at = context.clock.now();
    m.worker.note_direct_command();
    let incarnation = m.worker.newest().incarnation;
    let direct = DirectCommands { fencing_token: m.fencing_token, incarnation, commands };
    context.outbox.push(Output::DirectCommands { addr: m.addr.clone(), commands: direct });
}
