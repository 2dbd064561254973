//! Reported states, sent to the leader: the machines of a shard, the attempts that may be on them
//! and their projected load.

use super::ShardOwner;
use super::attempt::Attempt;
use super::machine::{Machine, Machines, machines_of};
use super::name_table::intern_name;
use super::owned_shard::OwnedShard;
use crate::core::common::context::NodeContext;
use crate::core::common::leadership::KnownLeader;
use crate::model::{JobIndex, Ms, Term};
use crate::wire::peer::{
    PeerMessage, ReportedJob, ReportedMachine, ReportedPhase, ReportedState, ReportedTask,
};
use rustc_hash::FxHashMap;
use woadlever_recovery::attempt::AttemptPhase;

/// Minimum interval between reported states of a shard; longer if the shard is large.
const MIN_REPORTED_STATE_INTERVAL_MS: Ms = 60;
/// Interval between reported states of a shard while nothing changes.
const IDLE_REPORTED_STATE_INTERVAL_MS: Ms = 1_000;
/// Value of `answered_serial` in a reported state sent before any desired state of the term was
/// applied.
const NO_DESIRED_STATE: u64 = 0;
/// Value of `silent_ms` for a machine that has never sent a heartbeat.
const NEVER_HEARD_MS: u64 = u64::MAX;

impl ShardOwner {
    /// Sends the reported states that are due to the leader, if a leader is known.
    pub(super) fn send_reported_states(&mut self, context: &mut NodeContext) {
        let Some(KnownLeader { record: leader, term }) = context.leadership.current().cloned() else {
            return;
        };
        for shard in self.shards.iter_mut().flatten().filter(|shard| shard.is_loaded()) {
            if !is_reported_state_due(context, shard) {
                continue;
            }
            shard.has_unreported_changes = false;
            shard.reported_at = Some(context.clock.now());
            let message = reported_state(context, shard, &self.machines, term);
            shard.reported_items = message.machines.iter().map(|machine| 1 + machine.tasks.len()).sum();
            context.send(&leader.node, PeerMessage::ReportedState(message));
        }
    }
}

fn is_reported_state_due(context: &NodeContext, shard: &OwnedShard) -> bool {
    let Some(reported_at) = shard.reported_at else { return true };
    let min_interval =
        context.load_adjusted_interval(MIN_REPORTED_STATE_INTERVAL_MS, shard.reported_items);
    let interval = if shard.has_unreported_changes {
        min_interval
    } else {
        IDLE_REPORTED_STATE_INTERVAL_MS.max(min_interval)
    };
    context.clock.now() >= reported_at + interval
}

fn reported_state(
    context: &NodeContext,
    shard: &OwnedShard,
    machines: &Machines,
    term: Term,
) -> ReportedState {
    let mut builder = ReportedStateBuilder {
        message: ReportedState {
            term: term.number(),
            shard: shard.index.number(),
            fencing_token: shard.fencing_token.number(),
            answered_serial: shard.newest_serial(term).unwrap_or(NO_DESIRED_STATE),
            types: Vec::new(),
            jobs: Vec::new(),
            machines: Vec::new(),
        },
        job_rows: FxHashMap::default(),
    };
    for machine in machines_of(machines, shard.index) {
        builder.add_machine(context, machine);
    }
    builder.message
}

/// Builds a reported state.
struct ReportedStateBuilder {
    message: ReportedState,
    /// Row index of each job in the message.
    job_rows: FxHashMap<JobIndex, u32>,
}

impl ReportedStateBuilder {
    fn add_machine(&mut self, context: &NodeContext, machine: &Machine) {
        let now = context.clock.now();
        let machine_type = intern_name(&mut self.message.types, &machine.type_name);
        let last_heartbeat = machine.liveness.last_heartbeat();
        let tasks =
            machine.attempts.iter().map(|attempt| self.reported_task(context, attempt)).collect();
        self.message.machines.push(ReportedMachine {
            machine: machine.name.clone(),
            machine_type,
            spot: machine.is_spot,
            silent_ms: last_heartbeat.map_or(NEVER_HEARD_MS, |at| now - at),
            preemption_notice: machine.has_preemption_notice,
            terminating: machine.terminating_recorded,
            knows_fencing_token: machine.liveness.knows_fencing_token(),
            unreachable: machine.liveness.is_unreachable(),
            peak: machine.peak_load,
            overloaded: machine.is_overloaded,
            tasks,
        });
    }

    fn reported_task(&mut self, context: &NodeContext, attempt: &Attempt) -> ReportedTask {
        ReportedTask {
            job: self.job_row(context, attempt),
            task: attempt.task,
            attempt: attempt.id.number(),
            state: reported_phase(attempt.phase),
            ran_ms: attempt.run_time_ms(context.clock.now()),
        }
    }

    fn job_row(&mut self, context: &NodeContext, attempt: &Attempt) -> u32 {
        let jobs = &mut self.message.jobs;
        *self.job_rows.entry(attempt.job).or_insert_with(|| {
            jobs.push(ReportedJob {
                job: context.jobs.id(attempt.job).to_string(),
                team: attempt.team.clone(),
                cpus: attempt.demand.cpus,
                gpus: attempt.demand.gpus,
                memory_gb: attempt.demand.memory_gb,
            });
            jobs.len() as u32 - 1
        })
    }
}

fn reported_phase(phase: AttemptPhase) -> ReportedPhase {
    match phase {
        AttemptPhase::Bound | AttemptPhase::Inherited => ReportedPhase::Bound,
        AttemptPhase::Fetching => ReportedPhase::Fetching,
        AttemptPhase::Running => ReportedPhase::Running,
        AttemptPhase::Saving => ReportedPhase::Saving,
        AttemptPhase::Done => ReportedPhase::Done,
        AttemptPhase::Stopped => ReportedPhase::Stopped,
        AttemptPhase::Failed => ReportedPhase::Failed,
        AttemptPhase::Refused => ReportedPhase::Refused,
    }
}
