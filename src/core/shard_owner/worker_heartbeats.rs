//! The holder's talk with the workers: what their reports say and prove, and
//! what they are told in answer.

use super::machine::{Attempt, Held, Machine};
use super::reconciliation::reconcile_heartbeat;
use super::{Load, ShardOwner};
use crate::core::common::context::NodeContext;
use crate::model::{MachineIndex, Ms, ShardIndex};
use crate::wire::store::JobState;
use crate::wire::workers::{Command, CommandAction, HeartbeatResponse, Redirect, WorkerHeartbeat};
use woadlever_recovery::attempt::{self, AttemptPhase, JobEligibility, WorkerAction};
use woadlever_recovery::worker::{self, HeartbeatHeader, HeartbeatVersion, Rejection};

/// Reports of machines with room wait for work, so long at most.
const HOLD_IDLE_MS: Ms = 2_500;
/// Those of machines that have tasks as well, a part of the time between two
/// reports: where these are rare a machine would seldom listen.
const HOLD_BUSY_SHARE: f64 = 0.15;
const HOLD_BUSY_MS: std::ops::RangeInclusive<Ms> = 500..=1_500;

impl ShardOwner {
    /// Takes in a worker's report.
    pub fn on_worker_heartbeat(
        &mut self,
        context: &mut NodeContext,
        request_id: u64,
        heartbeat: WorkerHeartbeat,
    ) {
        let Some(b) = context.shards.shard_of(&heartbeat.zone, &heartbeat.machine) else {
            return context.refuse(request_id, 400, "unknown zone", Some("yard"));
        };
        if !context.is_synced {
            return context.respond_unavailable(request_id, "not yet in touch with the state service");
        }
        let holds = self.shards[b.place()].as_ref().map(|h| (h.fencing_token, h.load));
        let Some((fencing_token, load)) = holds else { return redirect(context, request_id, b) };
        if !context.has_control_lease() {
            return context.respond_unavailable(request_id, "no proof of authority");
        }
        let version =
            HeartbeatVersion { incarnation: heartbeat.incarnation, sequence: heartbeat.sequence };
        let header = HeartbeatHeader { version, fencing_token: heartbeat.fencing_token };
        if let Err(why) = worker::check_fencing_token(header, fencing_token) {
            return reject(context, request_id, why);
        }
        if self.gone.contains(&heartbeat.machine) {
            return context.respond_unavailable(request_id, "this machine has been returned");
        }
        let blank = || Machine::blank(&heartbeat.machine, b, fencing_token);
        let (ix, m) = self.machines.get_or_insert_with(&heartbeat.machine, blank);
        if m.fencing_token != fencing_token || m.shard != b {
            let held = m.held.take();
            *m = Machine::blank(&heartbeat.machine, b, fencing_token);
            m.held = held;
        }
        let only_node = context.platform.peers.is_empty();
        if let Err(why) =
            m.worker.accept(header, fencing_token, only_node, &context.timing(), context.clock.now())
        {
            return reject(context, request_id, why);
        }
        m.addr = heartbeat.addr;
        m.type_name = heartbeat.machine_type;
        m.zone = heartbeat.zone;
        m.spot = heartbeat.spot;
        m.preemption_notice = heartbeat.preemption_notice_s.is_some();
        // The worker has given the earlier report up.
        let stale = m.held.take();
        let mut commands = Vec::new();
        if let Some(h) = &mut self.shards[b.place()] {
            h.dirty = true;
            // Before the records have been read the report is answered all the same,
            // so that the worker's lease goes on, but without any order.
            if load == Load::Done {
                let recovery = &mut h.recovery;
                let gone = reconcile_heartbeat(context, m, &heartbeat.tasks, recovery, &mut commands);
                h.note_gone_attempts(gone, context.clock.now());
            }
        }
        let hold = if load == Load::Done && commands.is_empty() { hold_ms(context, m) } else { 0 };
        m.held = Some(Held { request_id, until: context.clock.now() + hold, commands });
        if let Some(old) = stale {
            context.respond_unavailable(old.request_id, "a newer report is known");
        }
        if hold == 0 {
            self.answer_held(context, ix);
        }
    }

    /// Answers the report that a machine waits with. What is ordered is
    /// decided now, on what is known now.
    fn answer_held(&mut self, context: &mut NodeContext, ix: MachineIndex) {
        let Some(m) = self.machines.get_mut(ix) else { return };
        let Some(held) = m.held.take() else { return };
        let shard = self.shards[m.shard.place()].as_ref().filter(|h| h.fencing_token == m.fencing_token);
        let Some(shard) = shard.filter(|_| context.has_control_lease()) else {
            return context.respond_unavailable(held.request_id, "no proof of authority");
        };
        let mut commands = held.commands;
        if shard.load == Load::Done {
            add_orders(context, m, &mut commands);
        }
        m.worker.note_response(context.clock.now());
        context.respond_json(
            held.request_id,
            200,
            &HeartbeatResponse { fencing_token: m.fencing_token, commands },
        );
    }

    /// Held reports are answered at the moment that work appears for their
    /// machine, or when their time is over.
    pub(super) fn answer_due(&mut self, context: &mut NodeContext) {
        let due = |m: &Machine| {
            let Some(held) = &m.held else { return false };
            context.clock.now() >= held.until || m.attempts.iter().any(|a| has_news(context, a))
        };
        let due: Vec<MachineIndex> =
            self.machines.iter().filter(|(_, m)| due(m)).map(|(ix, _)| ix).collect();
        for ix in due {
            self.answer_held(context, ix);
        }
    }
}

/// How long a report may wait for work. A machine with room gets new work the
/// sooner; one with tasks also has their ends to tell, so it waits less. The
/// worker gives up after 4 s.
fn hold_ms(context: &NodeContext, m: &Machine) -> Ms {
    if !m.takes_tasks(context) {
        return 0;
    }
    let Some(t) = context.machine_types.index_of(&m.type_name).map(|t| &context.machine_types[t]) else {
        return 0;
    };
    let ready = m.attempts.iter().any(Attempt::is_ready);
    let ended = m.attempts.iter().any(|a| a.phase.has_ended() && !a.wanted);
    if ready || ended {
        return 0;
    }
    if m.attempts.is_empty() {
        HOLD_IDLE_MS
    } else if m.used().dominant_share(&t.capacity) < 0.95 {
        let share = context.platform.cluster.workers.report_s * 1000.0 * HOLD_BUSY_SHARE;
        (share as Ms).clamp(*HOLD_BUSY_MS.start(), *HOLD_BUSY_MS.end())
    } else {
        0
    }
}

/// Whether a report that waits is to be answered at once for this attempt.
fn has_news(context: &NodeContext, a: &Attempt) -> bool {
    match a.phase {
        AttemptPhase::Bound => a.is_ready() && a.run_sent.is_none() && !context.must_stop(a.job),
        AttemptPhase::Fetching | AttemptPhase::Running => !a.wanted || context.must_stop(a.job),
        _ => false,
    }
}

fn reject(context: &mut NodeContext, request_id: u64, why: Rejection) {
    let why = match why {
        // The watch will tell who holds the block. Never guess.
        Rejection::NewerHolder => "a newer holder exists",
        Rejection::NotNewer => "a newer report is known",
    };
    context.respond_unavailable(request_id, why);
}

fn redirect(context: &mut NodeContext, request_id: u64, shard: ShardIndex) {
    let shard_owner = context.shards.owner(shard.place()).map(|owner| owner.record.node.clone());
    match shard_owner {
        Some(node) if node != context.node => {
            context.respond_json(request_id, 421, &Redirect { report_to: Some(node) });
        }
        _ => context.respond_unavailable(request_id, "nobody holds this machine's block yet"),
    }
}

/// What the worker shall do now.
fn add_orders(context: &NodeContext, m: &mut Machine, commands: &mut Vec<Command>) {
    for a in &mut m.attempts {
        let job = context.job(a.job);
        let spec = job.spec.as_deref();
        let standing = JobEligibility {
            is_live: job.state == JobState::Live,
            is_cancelled: context.must_stop(a.job),
            saves: spec.is_some_and(|spec| spec.checkpoint_s > 0.0),
        };
        let starts_allowed = !m.terminating_recorded;
        let worker = &m.worker;
        let order =
            attempt::allowed_action(&a.state(), &standing, worker, a.written, a.listed, starts_allowed);
        let (op, grace_s) = match order {
            None => continue,
            Some(WorkerAction::Run) => {
                a.run_sent.get_or_insert(worker.newest());
                log_run(context, &m.name, a);
                (CommandAction::Start, None)
            }
            Some(WorkerAction::Stop { save }) => {
                let save_s = spec.filter(|_| save).map_or(0.0, |spec| spec.save_s);
                (CommandAction::Stop, Some(save_s))
            }
            Some(WorkerAction::Clear) => (CommandAction::Forget, None),
        };
        let task = format!("{}/{}", context.jobs.id(a.job), a.task);
        commands.push(Command { op, task, attempt: a.id, grace_s });
    }
}

/// How long it took to record an attempt, and then until its machine was heard.
fn log_run(context: &NodeContext, machine: &str, a: &Attempt) {
    tracing::debug!(
        machine,
        job = context.jobs.id(a.job),
        task = a.task,
        attempt = a.id,
        record_ms = a.written_at.saturating_sub(a.bound_at),
        wait_ms = context.clock.now().saturating_sub(a.written_at),
        "run sent"
    );
}
