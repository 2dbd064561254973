//! Desired states: the leader's target state of each shard, sent to the shard's owner.
//!
//! A desired state is sent soon after a change and repeated periodically, so that a lost message
//! does no harm.

use super::Leader;
use super::scheduling_cycle::WaitingJob;
use crate::core::common::context::NodeContext;
use crate::core::common::shard_map::KnownOwner;
use crate::model::{JobIndex, Ms, ShardIndex};
use crate::wire::peer::{DesiredJob, DesiredState, PeerMessage, WaitingTasks};
use std::collections::BTreeMap;

/// Minimum time between two desired states of a shard; it is longer for a shard with many
/// attempts.
const CHANGED_INTERVAL_MS: Ms = 30;
/// Time after which a desired state is sent again although nothing has changed.
const UNCHANGED_INTERVAL_MS: Ms = 500;
/// How long a desired state lists an instance after the cloud has confirmed its termination.
const TERMINATED_RETENTION_MS: Ms = 30_000;
/// Expected run time of a task whose job's record has not been read, in seconds.
const UNKNOWN_RUN_S: f64 = 1.0;

/// Wanted attempts by job, each as (task, attempt id, whether the owner may choose an instance).
type DesiredTasks = BTreeMap<JobIndex, Vec<(u32, u64, bool)>>;

impl Leader {
    /// Sends the desired states that are due.
    pub(super) fn send_desired_states(&mut self, context: &mut NodeContext) {
        let due = self.start_due_states(context);
        if due.is_empty() {
            return;
        }
        let mut tasks = self.desired_tasks(&due);
        let mut directives = self.fleet.directives(context);
        for shard in due {
            let index = shard.as_usize();
            let Some(KnownOwner { record: owner, fencing_token }) = context.shards.owner(index).cloned()
            else {
                continue;
            };
            let tasks = std::mem::take(&mut tasks[index]);
            let directives = std::mem::take(&mut directives[index]);
            let assignment = &mut self.shards[index];
            assignment.attempts_sent = tasks.values().map(Vec::len).sum();
            let assignment = &self.shards[index];
            let state = DesiredState {
                term: self.term.number(),
                shard: shard.number(),
                fencing_token: fencing_token.number(),
                serial: assignment.serial,
                jobs: self.desired_jobs(context, tasks),
                waiting: waiting_tasks(context, &assignment.waiting),
                cordoned: directives.cordoned,
                decommission: directives.decommission,
                terminated: assignment
                    .terminated_instances
                    .iter()
                    .map(|instance| instance.name.clone())
                    .collect(),
                quarantined: directives.quarantined,
            };
            context.send(&owner.node, PeerMessage::DesiredState(state));
        }
    }

    /// Returns the shards whose desired state is due, and advances their serials.
    fn start_due_states(&mut self, context: &NodeContext) -> Vec<ShardIndex> {
        let now = context.clock.now();
        let mut due: Vec<ShardIndex> = Vec::new();
        for (index, shard) in self.shards.iter_mut().enumerate() {
            let interval = context.load_adjusted_interval(CHANGED_INTERVAL_MS, shard.attempts_sent);
            let interval = if shard.dirty { interval } else { UNCHANGED_INTERVAL_MS.max(interval) };
            let is_due = shard.sent_at.is_none_or(|sent_at| now >= sent_at + interval);
            if !is_due || context.shards.owner(index).is_none() {
                continue;
            }
            shard.dirty = false;
            shard.sent_at = Some(now);
            shard.serial += 1;
            shard
                .terminated_instances
                .retain(|instance| instance.confirmed_at + TERMINATED_RETENTION_MS > now);
            due.push(ShardIndex::from_usize(index));
        }
        due
    }

    /// Returns the wanted attempts of the shards that are due, by index of the shard. Also sets
    /// the serial of the desired state that first names an attempt; for an attempt that is not
    /// wanted, that is the first one that leaves it out.
    fn desired_tasks(&mut self, due: &[ShardIndex]) -> Vec<DesiredTasks> {
        let mut tasks: Vec<DesiredTasks> = vec![BTreeMap::new(); self.shards.len()];
        for (id, attempt) in self.attempts.iter_mut().filter(|(_, a)| due.contains(&a.shard)) {
            let index = attempt.shard.as_usize();
            attempt.first_named_in.get_or_insert(self.shards[index].serial);
            if attempt.is_wanted {
                let wanted = (attempt.task, id.number(), attempt.may_bind);
                tasks[index].entry(attempt.job).or_default().push(wanted);
            }
        }
        tasks
    }

    fn desired_jobs(&self, context: &NodeContext, tasks: DesiredTasks) -> Vec<DesiredJob> {
        let desired_job = |(job, tasks)| DesiredJob {
            job: context.jobs.id(job).to_string(),
            expected_s: context
                .job(job)
                .spec
                .as_ref()
                .map_or(UNKNOWN_RUN_S, |spec| self.expected_s(spec)),
            tasks,
        };
        tasks.into_iter().map(desired_job).collect()
    }
}

fn waiting_tasks(context: &NodeContext, waiting: &[WaitingJob]) -> Vec<WaitingTasks> {
    let to_wire = |WaitingJob { job, tasks }: &WaitingJob| WaitingTasks {
        job: context.jobs.id(*job).to_string(),
        count: *tasks,
    };
    waiting.iter().map(to_wire).collect()
}
