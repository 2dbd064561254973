//! Worker heartbeats: checks, accepts or refuses them and applies their contents.

use super::machine::Machine;
use super::parked_heartbeats::{ParkedHeartbeat, park_ms};
use super::reconciliation::reconcile_heartbeat;
use super::{ShardOwner, unavailable};
use crate::core::common::context::NodeContext;
use crate::model::{FencingToken, MachineIndex, ShardIndex};
use crate::wire::workers::{Command, Redirect, WorkerHeartbeat};
use woadlever_recovery::worker::{self, HeartbeatHeader, HeartbeatVersion, Rejection};

/// This node's ownership of the shard whose machine has sent a heartbeat.
#[derive(Debug, Clone, Copy)]
struct Ownership {
    shard: ShardIndex,
    fencing_token: FencingToken,
    /// Whether all placement records of the shard have been read.
    is_loaded: bool,
}

/// Reason for which a heartbeat is not accepted.
enum Refusal {
    /// The machine names a zone that is not configured.
    UnknownZone,
    /// This node cannot accept it now. This node or another one may accept a retry or a later
    /// heartbeat. The text is the reason sent to the worker.
    Unavailable(&'static str),
    /// Another node owns the machine's shard, or it has no owner yet.
    NotOwner(ShardIndex),
}

impl ShardOwner {
    /// Handles a worker's heartbeat. It is answered at once or parked until there is work for the
    /// machine.
    pub(crate) fn on_worker_heartbeat(
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
        // The worker has abandoned the earlier heartbeat.
        let superseded = machine.parked_heartbeat.take();
        let commands = self.reconcile(context, index, &heartbeat, ownership);
        let Some(machine) = self.machines.get_mut(index) else { return };
        let may_park = ownership.is_loaded && commands.is_empty();
        let park_ms = if may_park { park_ms(context, machine) } else { 0 };
        let respond_by = context.clock.now() + park_ms;
        machine.parked_heartbeat = Some(ParkedHeartbeat { request_id, respond_by, commands });
        if let Some(superseded) = superseded {
            context.respond_unavailable(superseded.request_id, unavailable::NEWER_HEARTBEAT);
        }
        if park_ms == 0 {
            self.answer_parked(context, index);
        }
    }

    /// Performs the checks of a heartbeat that don't depend on earlier heartbeats of its machine.
    fn check_heartbeat(
        &self,
        context: &NodeContext,
        heartbeat: &WorkerHeartbeat,
    ) -> Result<Ownership, Refusal> {
        let Some(shard) = context.shards.shard_of(&heartbeat.zone, &heartbeat.machine) else {
            return Err(Refusal::UnknownZone);
        };
        if !context.is_synced {
            return Err(Refusal::Unavailable(unavailable::NOT_SYNCED));
        }
        let Some(owned) = &self.shards[shard.as_usize()] else { return Err(Refusal::NotOwner(shard)) };
        if !context.has_control_lease() {
            return Err(Refusal::Unavailable(unavailable::NO_CONTROL_LEASE));
        }
        worker::check_fencing_token(header_of(heartbeat), owned.fencing_token.number())?;
        if self.terminated_machines.contains(&heartbeat.machine) {
            return Err(Refusal::Unavailable(unavailable::TERMINATED));
        }
        Ok(Ownership { shard, fencing_token: owned.fencing_token, is_loaded: owned.is_loaded() })
    }

    /// Returns the machine that sent a heartbeat. State from another fencing token or shard is reset,
    /// apart from the parked heartbeat.
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

    /// Reconciles the machine's attempts with the heartbeat and returns the commands for attempts
    /// that no record lists. Before the shard's records have been read there are no commands, but
    /// the heartbeat is still answered, which renews the worker's lease.
    fn reconcile(
        &mut self,
        context: &NodeContext,
        index: MachineIndex,
        heartbeat: &WorkerHeartbeat,
        ownership: Ownership,
    ) -> Vec<Command> {
        let mut commands = Vec::new();
        let Some(shard) = &mut self.shards[ownership.shard.as_usize()] else { return commands };
        let Some(machine) = self.machines.get_mut(index) else { return commands };
        shard.has_unreported_changes = true;
        if ownership.is_loaded {
            let recovery = &mut shard.recovery;
            let gone = reconcile_heartbeat(context, machine, &heartbeat.tasks, recovery, &mut commands);
            shard.reject_gone_attempts(gone, context.clock.now());
        }
        commands
    }
}

fn header_of(heartbeat: &WorkerHeartbeat) -> HeartbeatHeader {
    let version = HeartbeatVersion { incarnation: heartbeat.incarnation, sequence: heartbeat.sequence };
    HeartbeatHeader { version, fencing_token: heartbeat.fencing_token }
}

/// Updates the machine's own state from a heartbeat, unless the heartbeat is rejected as stale.
fn accept_heartbeat(
    context: &NodeContext,
    machine: &mut Machine,
    heartbeat: &WorkerHeartbeat,
    ownership: Ownership,
) -> Result<(), Rejection> {
    let is_only_node = context.platform.peers.is_empty();
    machine.liveness.accept(
        header_of(heartbeat),
        ownership.fencing_token.number(),
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

impl From<Rejection> for Refusal {
    fn from(rejection: Rejection) -> Refusal {
        Refusal::Unavailable(match rejection {
            // The new owner is not known until the watch reports it, so the worker is not
            // redirected to a guessed one.
            Rejection::NewerOwner => unavailable::NEWER_OWNER,
            Rejection::NotNewer => unavailable::NEWER_HEARTBEAT,
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
    let owner = context.shards.owner(shard.as_usize()).map(|owner| owner.record.node.clone());
    match owner {
        Some(node) if node != context.node => {
            context.respond_json(request_id, 421, &Redirect { report_to: Some(node) });
        }
        _ => context.respond_unavailable(request_id, unavailable::NO_OWNER),
    }
}
