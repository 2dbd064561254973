//! Applies the desired states that the leader sends for shards of this node.

use super::attempt::Attempt;
use super::binding::AdmittedTask;
use super::machine::{Machine, machines_of_mut};
use super::owned_shard::{
    DesiredVersion, GoneAttempt, OwnedShard, ParkedDesiredState, WaitingTaskCount,
};
use super::{ShardOwner, unavailable};
use crate::core::common::context::NodeContext;
use crate::model::{AttemptId, FencingToken, Ms, ShardIndex, Term};
use crate::wire::peer::{self, Decommission, DesiredJob, DesiredState};
use rustc_hash::{FxHashMap, FxHashSet};
use woadlever_recovery::attempt;

/// Maximum time that a desired state waits for jobs that the watch has not delivered yet.
const MAX_PARKED_MS: Ms = 2_000;

/// The attempts that a desired state lists.
struct DesiredAttempts {
    /// Expected run times of the attempts that may continue or be bound, by id.
    wanted: FxHashMap<AttemptId, Ms>,
    /// Attempts that may be bound if they are not bound yet.
    admitted: Vec<AdmittedTask>,
    /// Ids of attempts that may be bound, at tasks of jobs that this node does not know.
    of_unknown_jobs: FxHashSet<AttemptId>,
}

impl DesiredAttempts {
    /// An attempt that may not be bound is wanted whether or not its job is known here: the leader
    /// has found it in a record, and decides about it.
    fn from_message(context: &NodeContext, message: &DesiredState) -> DesiredAttempts {
        let mut desired = DesiredAttempts {
            wanted: FxHashMap::default(),
            admitted: Vec::new(),
            of_unknown_jobs: FxHashSet::default(),
        };
        for listed in &message.jobs {
            let job = context.job_index(&listed.job);
            let expected_ms = (listed.expected_s * 1000.0) as Ms;
            for &(task, id, may_bind) in &listed.tasks {
                let attempt = AttemptId::new(id);
                match (may_bind, job) {
                    (false, _) => {
                        desired.wanted.insert(attempt, expected_ms);
                    }
                    (true, Some(job)) => {
                        desired.wanted.insert(attempt, expected_ms);
                        let term = Term::new(message.term);
                        desired.admitted.push(AdmittedTask { attempt, job, task, expected_ms, term });
                    }
                    (true, None) => {
                        desired.of_unknown_jobs.insert(attempt);
                    }
                }
            }
        }
        desired
    }

    /// Returns the tasks to bind, ordered by attempt id: those that may be bound and are not in
    /// `known`, the attempts that machines already have.
    fn into_unbound(self, known: &FxHashSet<AttemptId>) -> Vec<AdmittedTask> {
        let mut unbound = self.admitted;
        unbound.retain(|task| !known.contains(&task.attempt));
        unbound.sort_unstable_by_key(|task| task.attempt);
        unbound
    }
}

/// Machines for which a desired state requests cordoning, decommissioning or quarantine.
struct MachineDirectives<'a> {
    cordoned: FxHashSet<&'a str>,
    decommission: FxHashSet<&'a str>,
    quarantined: FxHashSet<&'a str>,
}

impl MachineDirectives<'_> {
    fn from_message(message: &DesiredState) -> MachineDirectives<'_> {
        MachineDirectives {
            cordoned: message.cordoned.iter().map(String::as_str).collect(),
            decommission: message.decommission.iter().map(|entry| entry.machine.as_str()).collect(),
            quarantined: message.quarantined.iter().map(String::as_str).collect(),
        }
    }

    fn apply(&self, machine: &mut Machine) {
        let name = machine.name.as_str();
        machine.is_cordoned = self.cordoned.contains(name);
        machine.is_decommissioning = machine.terminating_recorded || self.decommission.contains(name);
        machine.is_quarantined = self.quarantined.contains(name);
    }
}

impl ShardOwner {
    /// Applies a desired state, or parks it until the jobs of which it admits tasks are known. A stale one is
    /// ignored.
    pub(crate) fn on_desired_state(&mut self, context: &mut NodeContext, message: DesiredState) {
        let Some(Some(shard)) = self.shards.get_mut(message.shard as usize) else { return };
        if !is_current(context, shard, &message) {
            return;
        }
        if knows_admitted_jobs(context, &message) {
            shard.parked_desired_state = None;
            self.apply_desired_state(context, message);
            return;
        }
        let parked = shard.parked_desired_state.as_ref();
        let is_newer = |parked: &ParkedDesiredState| {
            parked.message.serial < message.serial || parked.message.term != message.term
        };
        if parked.is_none_or(is_newer) {
            let since = parked.map_or(context.clock.now(), |parked| parked.since);
            shard.parked_desired_state = Some(ParkedDesiredState { message, since });
        }
    }

    /// Applies the parked desired state of a shard once its jobs are known or it has been parked
    /// for [`MAX_PARKED_MS`].
    pub(super) fn retry_parked_desired_state(&mut self, context: &mut NodeContext, index: ShardIndex) {
        let Some(shard) = &mut self.shards[index.as_usize()] else { return };
        let now = context.clock.now();
        let is_due = |parked: &mut ParkedDesiredState| {
            now > parked.since + MAX_PARKED_MS || knows_admitted_jobs(context, &parked.message)
        };
        let parked = shard.parked_desired_state.take_if(is_due);
        // Another leader may have been elected while the message was parked.
        if let Some(parked) = parked.filter(|parked| is_current(context, shard, &parked.message)) {
            self.apply_desired_state(context, parked.message);
        }
    }

    fn apply_desired_state(&mut self, context: &mut NodeContext, message: DesiredState) {
        let index = ShardIndex::new(message.shard);
        let Some(shard) = &mut self.shards[index.as_usize()] else { return };
        let fencing_token = FencingToken::new(message.fencing_token);
        if shard.fencing_token != fencing_token {
            return;
        }
        let desired = DesiredAttempts::from_message(context, &message);
        apply_shard_state(context, shard, &message, &desired);
        for name in &message.terminated {
            self.forget_machine(context, name, index);
        }
        for entry in &message.decommission {
            self.begin_decommission(entry, index, fencing_token);
        }
        let known = self.apply_to_machines(context, index, &message, &desired);
        let unbound = desired.into_unbound(&known);
        if !unbound.is_empty() {
            self.bind_all(context, index, &unbound);
        }
    }

    /// Marks a machine for decommissioning and adds it if it is not known yet.
    fn begin_decommission(
        &mut self,
        entry: &Decommission,
        shard: ShardIndex,
        fencing_token: FencingToken,
    ) {
        if self.terminated_machines.contains(&entry.machine) {
            return;
        }
        let (_, machine) = self.machines.get_or_insert_with(&entry.machine, || Machine {
            type_name: entry.machine_type.clone(),
            zone: entry.zone.clone(),
            is_spot: entry.spot,
            ..Machine::new(&entry.machine, shard, fencing_token)
        });
        machine.is_decommissioning = true;
    }

    /// Applies the message to the machines of the shard and their attempts. Returns the ids of all
    /// attempts that were known before.
    fn apply_to_machines(
        &mut self,
        context: &NodeContext,
        index: ShardIndex,
        message: &DesiredState,
        desired: &DesiredAttempts,
    ) -> FxHashSet<AttemptId> {
        let directives = MachineDirectives::from_message(message);
        let mut known: FxHashSet<AttemptId> = FxHashSet::default();
        let Some(shard) = &mut self.shards[index.as_usize()] else { return known };
        for machine in machines_of_mut(&mut self.machines, index) {
            directives.apply(machine);
            known.extend(machine.attempts.iter().map(|attempt| attempt.id));
            update_wanted(machine, desired);
            drop_unwanted(context, shard, machine);
        }
        known
    }

    fn bind_all(&mut self, context: &NodeContext, index: ShardIndex, admitted: &[AdmittedTask]) {
        let mut candidates = self.candidate_machines(context, index);
        for task in admitted {
            let shard = self.shards[index.as_usize()].as_ref();
            let may_bind = shard.is_some_and(|shard| !shard.rejected_attempts.contains(&task.attempt));
            if !may_bind || self.bind(context, index, task, &mut candidates) {
                continue;
            }
            if let Some(shard) = &mut self.shards[index.as_usize()] {
                shard.rejected_attempts.insert(task.attempt);
            }
        }
    }

    /// Removes a machine whose termination is confirmed, together with its attempts.
    fn forget_machine(&mut self, context: &mut NodeContext, name: &str, index: ShardIndex) {
        if !self.terminated_machines.insert(name) {
            return;
        }
        let Some(machine) = self.machines.index_of(name).and_then(|index| self.machines.remove(index))
        else {
            return;
        };
        if let Some(parked) = &machine.parked_heartbeat {
            context.respond_unavailable(parked.request_id, unavailable::TERMINATED);
        }
        if let Some(shard) = &mut self.shards[index.as_usize()] {
            let now = context.clock.now();
            shard.reject_gone_attempts(machine.attempts.iter().map(GoneAttempt::from), now);
            shard.records.mark_outdated(machine.state_record, now);
        }
    }
}

/// Whether a desired state comes from the current leader, is addressed to this owner of the shard
/// and is newer than the last one applied. None is current before the shard's records have been
/// read.
fn is_current(context: &NodeContext, shard: &OwnedShard, message: &DesiredState) -> bool {
    let term = Term::new(message.term);
    context.leadership.term() == Some(term)
        && FencingToken::new(message.fencing_token) == shard.fencing_token
        && shard.is_loaded()
        && shard.newest_serial(term).is_none_or(|newest| message.serial > newest)
}

/// Whether this node knows all jobs of which the message lists attempts that may be bound.
fn knows_admitted_jobs(context: &NodeContext, message: &DesiredState) -> bool {
    let admits_task = |listed: &&DesiredJob| listed.tasks.iter().any(|&(_, _, may_bind)| may_bind);
    let mut admitted = message.jobs.iter().filter(admits_task);
    admitted.all(|listed| context.job_index(&listed.job).is_some())
}

/// Applies the parts of a message that concern the shard as a whole.
fn apply_shard_state(
    context: &NodeContext,
    shard: &mut OwnedShard,
    message: &DesiredState,
    desired: &DesiredAttempts,
) {
    shard.desired_version =
        Some(DesiredVersion { term: Term::new(message.term), serial: message.serial });
    shard.has_unreported_changes = true;
    shard.rejected_attempts.retain(|id| desired.wanted.contains_key(id));
    // The leader treats an attempt that is missing from our next reported state as never bound
    // and admits its task elsewhere. So an attempt whose job is still unknown here is rejected
    // permanently: if a later desired state bound it, the task would run twice.
    shard.rejected_attempts.extend(&desired.of_unknown_jobs);
    let known_job = |waiting: &peer::WaitingTasks| {
        Some(WaitingTaskCount { job: context.job_index(&waiting.job)?, count: waiting.count })
    };
    shard.waiting_tasks = message.waiting.iter().filter_map(known_job).collect();
}

/// Updates which attempts of a machine the leader wants.
fn update_wanted(machine: &mut Machine, desired: &DesiredAttempts) {
    for attempt in &mut machine.attempts {
        let wanted = desired.wanted.get(&attempt.id);
        attempt.is_wanted = wanted.is_some();
        if let Some(expected_ms) = wanted {
            attempt.expected_ms = *expected_ms;
        }
    }
}

/// Drops the unwanted attempts for which no heartbeat has to prove that they are gone. An attempt
/// whose start command was never sent is on no machine, even if a placement record lists it. An
/// ended attempt on a machine whose lease has ended needs no forget command.
fn drop_unwanted(context: &NodeContext, shard: &mut OwnedShard, machine: &mut Machine) {
    let lease_ended = machine.liveness.lease_has_ended();
    let is_gone = |attempt: &mut Attempt| attempt::ends_when_unwanted(&attempt.state(), lease_ended);
    let gone = machine.attempts.extract_if(.., is_gone);
    shard.records.mark_outdated(gone.map(|attempt| attempt.record), context.clock.now());
}
