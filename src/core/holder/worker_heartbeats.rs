//! The holder's talk with the workers: what their reports say and prove, and
//! what they are told in answer.

use super::machine::{Attempt, Held, Machine};
use super::squaring::square_report;
use super::{Holder, Load};
use crate::core::common::model::Ms;
use crate::core::common::shared::Shared;
use crate::wire::state::JobState;
use crate::wire::workers::{Command, Op, Redirect, Report, ReportAnswer};
use woadlever_recovery::attempt::{self, AttemptPhase, JobStanding, Order};
use woadlever_recovery::session::{self, Rejection, ReportHeader, ReportVersion};

/// Reports of machines with room wait for work, so long at most.
const HOLD_IDLE_MS: Ms = 2_500;
/// Those of machines that have tasks as well, a part of the time between two
/// reports: where these are rare a machine would seldom listen.
const HOLD_BUSY_SHARE: f64 = 0.15;
const HOLD_BUSY_MS: std::ops::RangeInclusive<Ms> = 500..=1_500;

impl Holder {
    /// Takes in a worker's report.
    pub fn checkin(&mut self, shared: &mut Shared, req: u64, report: Report) {
        let Some(b) = shared.block_of(&report.zone, &report.machine) else {
            return shared.refuse(req, 400, "unknown zone", Some("yard"));
        };
        if !shared.synced {
            return shared.busy(req, "not yet in touch with the state service");
        }
        let holds = self.blocks[b as usize].as_ref().map(|h| (h.grant, h.load));
        let Some((grant, load)) = holds else { return redirect(shared, req, b) };
        if !shared.has_authority() {
            return shared.busy(req, "no proof of authority");
        }
        let version = ReportVersion { session: report.session, seq: report.seq };
        let header = ReportHeader { version, token: report.token };
        if let Err(why) = session::check_token(header, grant) {
            return reject(shared, req, why);
        }
        if self.gone.contains(&report.machine) {
            return shared.busy(req, "this machine has been returned");
        }
        let blank = || Machine::blank(&report.machine, b, grant);
        let (ix, m) = self.machines.get_or_insert_with(&report.machine, blank);
        if m.grant != grant || m.block != b {
            let held = m.held.take();
            *m = Machine::blank(&report.machine, b, grant);
            m.held = held;
        }
        let only_node = shared.cfg.peers.is_empty();
        if let Err(why) = m.worker.accept(header, grant, only_node, &shared.timing(), shared.now) {
            return reject(shared, req, why);
        }
        m.addr = report.addr;
        m.type_name = report.machine_type;
        m.zone = report.zone;
        m.spot = report.spot;
        m.notice = report.notice_s.is_some();
        // The worker has given the earlier report up.
        let stale = m.held.take();
        let mut commands = Vec::new();
        if let Some(h) = &mut self.blocks[b as usize] {
            h.dirty = true;
            // Before the records have been read the report is answered all the same,
            // so that the worker's lease goes on, but without any order.
            if load == Load::Done {
                let recovery = &mut h.recovery;
                let gone = square_report(shared, m, &report.tasks, recovery, &mut commands);
                h.give_up(gone, shared.now);
            }
        }
        let hold = if load == Load::Done && commands.is_empty() { hold_ms(shared, m) } else { 0 };
        m.held = Some(Held { req, until: shared.now + hold, commands });
        if let Some(old) = stale {
            shared.busy(old.req, "a newer report is known");
        }
        if hold == 0 {
            self.answer_held(shared, ix);
        }
    }

    /// Answers the report that a machine waits with. What is ordered is
    /// decided now, on what is known now.
    fn answer_held(&mut self, shared: &mut Shared, ix: u32) {
        let Some(m) = self.machines.get_mut(ix) else { return };
        let Some(held) = m.held.take() else { return };
        let block = self.blocks[m.block as usize].as_ref().filter(|h| h.grant == m.grant);
        let Some(block) = block.filter(|_| shared.has_authority()) else {
            return shared.busy(held.req, "no proof of authority");
        };
        let mut commands = held.commands;
        if block.load == Load::Done {
            add_orders(shared, m, &mut commands);
        }
        m.worker.note_answer(shared.now);
        shared.answer_json(held.req, 200, &ReportAnswer { token: m.grant, commands });
    }

    /// Held reports are answered at the moment that work appears for their
    /// machine, or when their time is over.
    pub(super) fn answer_due(&mut self, shared: &mut Shared) {
        let due = |m: &Machine| {
            let Some(held) = &m.held else { return false };
            shared.now >= held.until || m.attempts.iter().any(|a| has_news(shared, a))
        };
        let due: Vec<u32> = self.machines.iter().filter(|(_, m)| due(m)).map(|(ix, _)| ix).collect();
        for ix in due {
            self.answer_held(shared, ix);
        }
    }
}

/// How long a report may wait for work. A machine with room gets new work the
/// sooner; one with tasks also has their ends to tell, so it waits less. The
/// worker gives up after 4 s.
fn hold_ms(shared: &Shared, m: &Machine) -> Ms {
    if !m.takes_tasks(shared) {
        return 0;
    }
    let Some(t) = shared.type_ix(&m.type_name).map(|t| &shared.types[t]) else { return 0 };
    let ready = m.attempts.iter().any(Attempt::is_ready);
    let ended = m.attempts.iter().any(|a| a.phase.has_ended() && !a.wanted);
    if ready || ended {
        return 0;
    }
    if m.attempts.is_empty() {
        HOLD_IDLE_MS
    } else if m.used().share_of(&t.room) < 0.95 {
        let share = shared.cfg.cluster.workers.report_s * 1000.0 * HOLD_BUSY_SHARE;
        (share as Ms).clamp(*HOLD_BUSY_MS.start(), *HOLD_BUSY_MS.end())
    } else {
        0
    }
}

/// Whether a report that waits is to be answered at once for this attempt.
fn has_news(shared: &Shared, a: &Attempt) -> bool {
    match a.phase {
        AttemptPhase::Bound => a.is_ready() && a.run_sent.is_none() && !shared.must_stop(a.job),
        AttemptPhase::Fetching | AttemptPhase::Running => !a.wanted || shared.must_stop(a.job),
        _ => false,
    }
}

fn reject(shared: &mut Shared, req: u64, why: Rejection) {
    let why = match why {
        // The watch will tell who holds the block. Never guess.
        Rejection::NewerHolder => "a newer holder exists",
        Rejection::NotNewer => "a newer report is known",
    };
    shared.busy(req, why);
}

fn redirect(shared: &mut Shared, req: u64, block: u32) {
    let holder = shared.block_recs[block as usize].as_ref().map(|(r, _)| r.node.clone());
    match holder {
        Some(node) if node != shared.me => {
            shared.answer_json(req, 421, &Redirect { report_to: Some(node) });
        }
        _ => shared.busy(req, "nobody holds this machine's block yet"),
    }
}

/// What the worker shall do now.
fn add_orders(shared: &Shared, m: &mut Machine, commands: &mut Vec<Command>) {
    for a in &mut m.attempts {
        let job = shared.job(a.job);
        let spec = job.spec.as_deref();
        let standing = JobStanding {
            is_live: job.state == JobState::Live,
            is_cancelled: shared.must_stop(a.job),
            saves: spec.is_some_and(|spec| spec.checkpoint_s > 0.0),
        };
        let starts_allowed = !m.returning_written;
        let worker = &m.worker;
        let order =
            attempt::allowed_order(&a.state(), &standing, worker, a.written, a.listed, starts_allowed);
        let (op, grace_s) = match order {
            None => continue,
            Some(Order::Run) => {
                a.run_sent.get_or_insert(worker.newest());
                log_run(shared, &m.name, a);
                (Op::Start, None)
            }
            Some(Order::Stop { save }) => {
                let save_s = spec.filter(|_| save).map_or(0.0, |spec| spec.save_s);
                (Op::Stop, Some(save_s))
            }
            Some(Order::Clear) => (Op::Forget, None),
        };
        let task = format!("{}/{}", shared.jobs.id(a.job), a.task);
        commands.push(Command { op, task, attempt: a.id, grace_s });
    }
}

/// How long it took to record an attempt, and then until its machine was heard.
fn log_run(shared: &Shared, machine: &str, a: &Attempt) {
    tracing::debug!(
        machine,
        job = shared.jobs.id(a.job),
        task = a.task,
        attempt = a.id,
        record_ms = a.written_at.saturating_sub(a.bound_at),
        wait_ms = shared.now.saturating_sub(a.written_at),
        "run sent"
    );
}
