//! The shard owner's side of worker heartbeats: taking them in, parking them, and
//! answering them with commands.

use super::ShardOwner;
use super::attempt::Attempt;
use super::machine::{Machine, ParkedHeartbeat};
use super::reconciliation::reconcile_heartbeat;
use crate::core::common::context::NodeContext;
use crate::model::{JobSpec, MachineIndex, Ms, ShardIndex};
use crate::wire::store::JobState;
use crate::wire::workers::{Command, CommandAction, HeartbeatResponse, Redirect, WorkerHeartbeat};
use std::ops::RangeInclusive;
use woadlever_recovery::attempt::{self, AttemptPhase, JobEligibility, WorkerAction};
use woadlever_recovery::worker::{self, HeartbeatHeader, HeartbeatVersion, Rejection};

/// How long heartbeats of machines without attempts are parked at most.
const MAX_PARKED_IDLE_MS: Ms = 2_500;
/// Heartbeats of machines with attempts are parked for this share of the time between two
/// heartbeats: where these are rare, a machine would seldom have one parked.
const PARKED_BUSY_SHARE: f64 = 0.15;
/// Bounds of the time that heartbeats of machines with attempts are parked.
const PARKED_BUSY_MS: RangeInclusive<Ms> = 500..=1_500;
/// A machine whose load is this share of its capacity takes no further task.
const FULL_LOAD: f64 = 0.95;
/// Shown to workers in place of a command that this node may not give.
const NO_CONTROL_LEASE: &str = "no proof of authority";

/// What this node is to a shard whose machine sends a heartbeat.
#[derive(Debug, Clone, Copy)]
struct Ownership {
    shard: ShardIndex,
    fencing_token: u64,
    /// Whether the shard's placement records have been read.
    is_loaded: bool,
}

/// Why a heartbeat is not taken in.
enum Refusal {
    /// The machine names a zone that is not configured.
    UnknownZone,
    /// It may be served here later, or by another node; the reason that the worker is told.
    Unavailable(&'static str),
    /// Another node owns the machine's shard, or nobody does yet.
    NotOwner(ShardIndex),
}

impl ShardOwner {
    /// Takes in a worker's heartbeat. It is answered at once, or parked until there is work
    /// for the machine.
    pub fn on_worker_heartbeat(
        &mut self,
        context: &mut NodeContext,
        request_id: u64,
        heartbeat: WorkerHeartbeat,
    ) {
        let ownership = match self.check_heartbeat(context, &heartbeat) {
            Ok(ownership) => ownership,
            Err(refusal) => return refuse(context, request_id, refusal),
        };
        let (index, machine) = self.machine_of(&heartbeat, ownership);
        if let Err(rejection) = accept_heartbeat(context, machine, &heartbeat, ownership) {
            return refuse(context, request_id, Refusal::from(rejection));
        }
        // The worker has given the earlier heartbeat up.
        let superseded = machine.parked_heartbeat.take();
        let commands = self.reconcile(context, index, &heartbeat, ownership);
        let Some(machine) = self.machines.get_mut(index) else { return };
        let may_park = ownership.is_loaded && commands.is_empty();
        let park_ms = if may_park { park_ms(context, machine) } else { 0 };
        let respond_by = context.clock.now() + park_ms;
        machine.parked_heartbeat = Some(ParkedHeartbeat { request_id, respond_by, commands });
        if let Some(superseded) = superseded {
            context.respond_unavailable(superseded.request_id, "a newer report is known");
        }
        if park_ms == 0 {
            self.answer_parked(context, index);
        }
    }

    /// Whether a heartbeat may be taken in here, as far as its machine's history does not
    /// matter.
    fn check_heartbeat(
        &self,
        context: &NodeContext,
        heartbeat: &WorkerHeartbeat,
    ) -> Result<Ownership, Refusal> {
        let Some(shard) = context.shards.shard_of(&heartbeat.zone, &heartbeat.machine) else {
            return Err(Refusal::UnknownZone);
        };
        if !context.is_synced {
            return Err(Refusal::Unavailable("not yet in touch with the state service"));
        }
        let Some(owned) = &self.shards[shard.place()] else { return Err(Refusal::NotOwner(shard)) };
        if !context.has_control_lease() {
            return Err(Refusal::Unavailable(NO_CONTROL_LEASE));
        }
        worker::check_fencing_token(header_of(heartbeat), owned.fencing_token)?;
        if self.terminated_machines.contains(&heartbeat.machine) {
            return Err(Refusal::Unavailable("this machine has been returned"));
        }
        Ok(Ownership { shard, fencing_token: owned.fencing_token, is_loaded: owned.is_loaded() })
    }

    /// The machine that sends a heartbeat; a new one if what is known of it dates from an
    /// earlier fencing token.
    fn machine_of(
        &mut self,
        heartbeat: &WorkerHeartbeat,
        ownership: Ownership,
    ) -> (MachineIndex, &mut Machine) {
        let Ownership { shard, fencing_token, .. } = ownership;
        let name = heartbeat.machine.as_str();
        let new_machine = || Machine::new(name, shard, fencing_token);
        let (index, machine) = self.machines.get_or_insert_with(name, new_machine);
        if machine.fencing_token != fencing_token || machine.shard != shard {
            let parked_heartbeat = machine.parked_heartbeat.take();
            *machine = Machine { parked_heartbeat, ..Machine::new(name, shard, fencing_token) };
        }
        (index, machine)
    }

    /// Reconciles the machine's attempts with the heartbeat; the commands that follow from
    /// it alone. Before the shard's records have been read there are none: the heartbeat
    /// is answered all the same, so that the worker's lease goes on.
    fn reconcile(
        &mut self,
        context: &NodeContext,
        index: MachineIndex,
        heartbeat: &WorkerHeartbeat,
        ownership: Ownership,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        let Some(shard) = &mut self.shards[ownership.shard.place()] else { return commands };
        let Some(machine) = self.machines.get_mut(index) else { return commands };
        shard.has_unreported_changes = true;
        if ownership.is_loaded {
            let recovery = &mut shard.recovery;
            let gone = reconcile_heartbeat(context, machine, &heartbeat.tasks, recovery, &mut commands);
            shard.note_gone_attempts(gone, context.clock.now());
        }
        commands
    }

    /// Answers the parked heartbeat of a machine. Its commands are decided now, on what is
    /// known now.
    fn answer_parked(&mut self, context: &mut NodeContext, index: MachineIndex) {
        let Some(machine) = self.machines.get_mut(index) else { return };
        let Some(parked) = machine.parked_heartbeat.take() else { return };
        let owned = self.shards[machine.shard.place()].as_ref();
        let owned = owned.filter(|shard| shard.fencing_token == machine.fencing_token);
        let Some(shard) = owned.filter(|_| context.has_control_lease()) else {
            return context.respond_unavailable(parked.request_id, NO_CONTROL_LEASE);
        };
        let mut commands = parked.commands;
        if shard.is_loaded() {
            add_commands(context, machine, &mut commands);
        }
        machine.liveness.note_response(context.clock.now());
        let response = HeartbeatResponse { fencing_token: machine.fencing_token, commands };
        context.respond_json(parked.request_id, 200, &response);
    }

    /// Answers parked heartbeats at the moment that there is work for their machine, or
    /// when their time is over.
    pub(super) fn answer_due_heartbeats(&mut self, context: &mut NodeContext) {
        let is_due = |machine: &Machine| {
            let Some(parked) = &machine.parked_heartbeat else { return false };
            context.clock.now() >= parked.respond_by
                || machine.attempts.iter().any(|attempt| has_command(context, attempt))
        };
        let due: Vec<MachineIndex> = self
            .machines
            .iter()
            .filter(|(_, machine)| is_due(machine))
            .map(|(index, _)| index)
            .collect();
        for index in due {
            self.answer_parked(context, index);
        }
    }
}

fn header_of(heartbeat: &WorkerHeartbeat) -> HeartbeatHeader {
    let version = HeartbeatVersion { incarnation: heartbeat.incarnation, sequence: heartbeat.sequence };
    HeartbeatHeader { version, fencing_token: heartbeat.fencing_token }
}

/// Takes in what a heartbeat says of the machine itself, unless it proves nothing new.
fn accept_heartbeat(
    context: &NodeContext,
    machine: &mut Machine,
    heartbeat: &WorkerHeartbeat,
    ownership: Ownership,
) -> Result<(), Rejection> {
    let is_only_node = context.platform.peers.is_empty();
    machine.liveness.accept(
        header_of(heartbeat),
        ownership.fencing_token,
        is_only_node,
        &context.timing(),
        context.clock.now(),
    )?;
    machine.address.clone_from(&heartbeat.addr);
    machine.type_name.clone_from(&heartbeat.machine_type);
    machine.zone.clone_from(&heartbeat.zone);
    machine.is_spot = heartbeat.spot;
    machine.has_preemption_notice = heartbeat.preemption_notice_s.is_some();
    Ok(())
}

/// How long a heartbeat is parked; 0: it is answered at once. A machine without attempts
/// gets new work the sooner; one with tasks also has their ends to tell, so its heartbeat
/// is parked for a shorter time. The worker gives up after 4 s.
fn park_ms(context: &NodeContext, machine: &Machine) -> Ms {
    if !machine.takes_tasks(context) {
        return 0;
    }
    let Some(machine_type) = context.machine_types.index_of(&machine.type_name) else { return 0 };
    let has_ready = machine.attempts.iter().any(Attempt::is_ready);
    let has_ended = |attempt: &Attempt| attempt.phase.has_ended() && !attempt.is_wanted;
    if has_ready || machine.attempts.iter().any(has_ended) {
        return 0;
    }
    if machine.attempts.is_empty() {
        return MAX_PARKED_IDLE_MS;
    }
    let capacity = &context.machine_types[machine_type].capacity;
    if machine.used().dominant_share(capacity) < FULL_LOAD {
        let share_ms = context.platform.cluster.workers.report_s * 1000.0 * PARKED_BUSY_SHARE;
        (share_ms as Ms).clamp(*PARKED_BUSY_MS.start(), *PARKED_BUSY_MS.end())
    } else {
        0
    }
}

/// Whether a parked heartbeat is to be answered at once for this attempt.
fn has_command(context: &NodeContext, attempt: &Attempt) -> bool {
    let must_stop = || context.must_stop(attempt.job);
    match attempt.phase {
        AttemptPhase::Bound => attempt.is_ready() && attempt.run_sent.is_none() && !must_stop(),
        AttemptPhase::Fetching | AttemptPhase::Running => !attempt.is_wanted || must_stop(),
        _ => false,
    }
}

impl From<Rejection> for Refusal {
    fn from(rejection: Rejection) -> Refusal {
        Refusal::Unavailable(match rejection {
            // The watch will tell who owns the shard. Never guess.
            Rejection::NewerHolder => "a newer holder exists",
            Rejection::NotNewer => "a newer report is known",
        })
    }
}

fn refuse(context: &mut NodeContext, request_id: u64, refusal: Refusal) {
    match refusal {
        Refusal::UnknownZone => context.refuse(request_id, 400, "unknown zone", Some("yard")),
        Refusal::Unavailable(why) => context.respond_unavailable(request_id, why),
        Refusal::NotOwner(shard) => redirect(context, request_id, shard),
    }
}

/// Sends the worker to the node that owns its shard.
fn redirect(context: &mut NodeContext, request_id: u64, shard: ShardIndex) {
    let owner = context.shards.owner(shard.place()).map(|owner| owner.record.node.clone());
    match owner {
        Some(node) if node != context.node => {
            context.respond_json(request_id, 421, &Redirect { report_to: Some(node) });
        }
        _ => context.respond_unavailable(request_id, "nobody holds this machine's block yet"),
    }
}

/// Adds what the worker shall do now with each attempt.
fn add_commands(context: &NodeContext, machine: &mut Machine, commands: &mut Vec<Command>) {
    let starts_allowed = !machine.terminating_recorded;
    for attempt in &mut machine.attempts {
        let spec = context.job(attempt.job).spec.as_deref();
        let action = attempt::allowed_action(
            &attempt.state(),
            &job_eligibility(context, attempt),
            &machine.liveness,
            attempt.is_recorded(),
            attempt.was_listed,
            starts_allowed,
        );
        let Some(action) = action else { continue };
        if action == WorkerAction::Run {
            attempt.run_sent.get_or_insert(machine.liveness.newest());
            log_run(context, &machine.name, attempt);
        }
        commands.push(command_for(context, attempt, action, spec));
    }
}

fn job_eligibility(context: &NodeContext, attempt: &Attempt) -> JobEligibility {
    let job = context.job(attempt.job);
    JobEligibility {
        is_live: job.state == JobState::Live,
        is_cancelled: context.must_stop(attempt.job),
        saves: job.spec.as_ref().is_some_and(|spec| spec.checkpoint_s > 0.0),
    }
}

fn command_for(
    context: &NodeContext,
    attempt: &Attempt,
    action: WorkerAction,
    spec: Option<&JobSpec>,
) -> Command {
    let (op, grace_s) = match action {
        WorkerAction::Run => (CommandAction::Start, None),
        WorkerAction::Stop { save } => {
            let save_s = spec.filter(|_| save).map_or(0.0, |spec| spec.save_s);
            (CommandAction::Stop, Some(save_s))
        }
        WorkerAction::Clear => (CommandAction::Forget, None),
    };
    let task = format!("{}/{}", context.jobs.id(attempt.job), attempt.task);
    Command { op, task, attempt: attempt.id, grace_s }
}

/// Logs how long it took to record an attempt, and then until its machine was heard.
fn log_run(context: &NodeContext, machine: &str, attempt: &Attempt) {
    let bound_at = attempt.bound_at.unwrap_or(0);
    let recorded_at = attempt.recorded_at.unwrap_or(0);
    tracing::debug!(
        machine,
        job = context.jobs.id(attempt.job),
        task = attempt.task,
        attempt = attempt.id,
        record_ms = recorded_at.saturating_sub(bound_at),
        wait_ms = context.clock.now().saturating_sub(recorded_at),
        "run sent"
    );
}
