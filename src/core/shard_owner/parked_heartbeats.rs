//! Parked heartbeats: how long a response is held back, and when it goes out.

use super::attempt::Attempt;
use super::machine::Machine;
use super::worker_commands::{add_commands, has_command};
use super::{ShardOwner, unavailable};
use crate::core::common::context::NodeContext;
use crate::model::{MachineIndex, Ms};
use crate::wire::workers::{Command, HeartbeatResponse};
use std::ops::RangeInclusive;

/// How long heartbeats of machines without attempts are parked at most.
const MAX_PARKED_IDLE_MS: Ms = 2_500;
/// Heartbeats of machines with attempts are parked for this share of the time between two
/// heartbeats: where these are rare, a machine would seldom have one parked.
const PARKED_BUSY_SHARE: f64 = 0.15;
/// Bounds of the time that heartbeats of machines with attempts are parked.
const PARKED_BUSY_MS: RangeInclusive<Ms> = 500..=1_500;
/// A machine whose load is this share of its capacity takes no further task.
const FULL_LOAD_SHARE: f64 = 0.95;

/// A worker heartbeat whose response is held back until there is work for the machine
/// or its time is over.
#[derive(Debug)]
pub(super) struct ParkedHeartbeat {
    pub(super) request_id: u64,
    /// The response goes out now at the latest.
    pub(super) respond_by: Ms,
    /// Commands decided when the heartbeat arrived.
    pub(super) commands: Vec<Command>,
}

impl ShardOwner {
    /// Answers the parked heartbeat of a machine. Its commands are decided now, on what is
    /// known now.
    pub(super) fn answer_parked(&mut self, context: &mut NodeContext, index: MachineIndex) {
        let Some(machine) = self.machines.get_mut(index) else { return };
        let Some(parked) = machine.parked_heartbeat.take() else { return };
        let owned = self.shards[machine.shard.place()].as_ref();
        let owned = owned.filter(|shard| shard.fencing_token == machine.fencing_token);
        let Some(shard) = owned.filter(|_| context.has_control_lease()) else {
            return context.respond_unavailable(parked.request_id, unavailable::NO_CONTROL_LEASE);
        };
        let mut commands = parked.commands;
        if shard.is_loaded() {
            add_commands(context, machine, &mut commands);
        }
        log_answer(context, machine, commands.len());
        machine.liveness.note_response(context.clock.now());
        let response = HeartbeatResponse { fencing_token: machine.fencing_token.number(), commands };
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

/// Logs under which right a heartbeat is answered.
fn log_answer(context: &NodeContext, machine: &Machine, commands: usize) {
    let answered = machine.liveness.newest();
    tracing::debug!(
        machine = machine.name,
        fencing_token = machine.fencing_token.number(),
        incarnation = answered.incarnation,
        sequence = answered.sequence,
        read_age_ms = context.control_lease.age_ms(context.clock.now()),
        commands,
        "heartbeat answered"
    );
}

/// How long a heartbeat is parked; 0: it is answered at once. A machine without attempts
/// gets new work the sooner; one with tasks also has their ends to tell, so its heartbeat
/// is parked for a shorter time. The worker gives up after 4 s.
pub(super) fn park_ms(context: &NodeContext, machine: &Machine) -> Ms {
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
    if machine.used().dominant_share(capacity) < FULL_LOAD_SHARE {
        let share_ms = context.platform.cluster.workers.report_s * 1000.0 * PARKED_BUSY_SHARE;
        (share_ms as Ms).clamp(*PARKED_BUSY_MS.start(), *PARKED_BUSY_MS.end())
    } else {
        0
    }
}
