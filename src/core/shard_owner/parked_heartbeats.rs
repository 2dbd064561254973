//! Parked heartbeats: worker heartbeats whose responses are delayed until there is work for the
//! machine.

use super::attempt::Attempt;
use super::machine::Machine;
use super::worker_commands::{add_commands, has_command};
use super::{ShardOwner, unavailable};
use crate::core::common::context::NodeContext;
use crate::model::{MachineIndex, Ms};
use crate::wire::workers::{Command, HeartbeatResponse};
use std::ops::RangeInclusive;

/// Maximum time that heartbeats of machines without attempts are parked.
const MAX_PARKED_IDLE_MS: Ms = 2_500;
/// Heartbeats of machines with attempts are parked for this share of the heartbeat interval. The
/// time scales with the interval because a machine that sends heartbeats rarely would otherwise
/// seldom have one parked.
const PARKED_BUSY_SHARE: f64 = 0.15;
/// Bounds of the time that heartbeats of machines with attempts are parked for.
const PARKED_BUSY_MS: RangeInclusive<Ms> = 500..=1_500;
/// Used share of a machine's capacity from which its heartbeats are not parked, because it has no
/// capacity for a further task.
const FULL_LOAD_SHARE: f64 = 0.95;

/// A worker heartbeat whose response is delayed until there is work for the machine or its
/// deadline has passed.
#[derive(Debug)]
pub(super) struct ParkedHeartbeat {
    pub(super) request_id: u64,
    /// Deadline for sending the response.
    pub(super) respond_by: Ms,
    /// Commands decided when the heartbeat arrived.
    pub(super) commands: Vec<Command>,
}

impl ShardOwner {
    /// Answers the parked heartbeat of a machine. Commands are decided at this point, from the
    /// current state.
    pub(super) fn answer_parked(&mut self, context: &mut NodeContext, index: MachineIndex) {
        let Some(machine) = self.machines.get_mut(index) else { return };
        let Some(parked) = machine.parked_heartbeat.take() else { return };
        let owned = self.shards[machine.shard.as_usize()].as_ref();
        let owned = owned.filter(|shard| shard.fencing_token == machine.fencing_token);
        let Some(shard) = owned.filter(|_| context.has_control_lease()) else {
            return context.respond_unavailable(parked.request_id, unavailable::NO_CONTROL_LEASE);
        };
        let mut commands = parked.commands;
        if shard.is_loaded() {
            add_commands(context, machine, &mut commands);
        }
        log_answer(context, machine, commands.len());
        machine.liveness.on_response_sent(context.clock.now());
        let response = HeartbeatResponse { fencing_token: machine.fencing_token.number(), commands };
        context.respond_json(parked.request_id, 200, &response);
    }

    /// Answers the parked heartbeats of machines that have work and those whose deadline has
    /// passed.
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

/// Logs the fencing token and the age of the control lease under which a heartbeat is answered.
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

/// Returns how long a heartbeat is parked; 0 means that it is answered at once. Parking lets a
/// machine receive new work without waiting for its next heartbeat. A machine with tasks also has
/// to report when they end, so its heartbeats are parked for a shorter time. The worker's request
/// times out after 4 s.
pub(super) fn park_ms(context: &NodeContext, machine: &Machine) -> Ms {
    if !machine.accepts_new_tasks(context) {
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
