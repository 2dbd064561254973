//! The holder's talk with the workers: what their reports say and prove, and
//! what they are told in answer.

use super::Output;
use super::holder::{Attempt, AttemptState, Held, Holder, Load, Machine};
use super::model::{Ms, split_task};
use super::shared::Shared;
use crate::wire::state::JobState;
use crate::wire::workers::{
    Command, DirectCommands, Op, Redirect, Report, ReportAnswer, ReportTask, TaskState,
};
use rustc_hash::FxHashSet;

/// A direct command is repeated after this time, so often at most, unless a report
/// comes first.
const DIRECT_MS: Ms = 3_000;
const MOST_DIRECT: u32 = 5;
/// Reports of machines with room wait for work, so long at most.
const HOLD_IDLE_MS: Ms = 2_500;
/// Those of machines that have tasks as well, a part of the time between two
/// reports: where these are rare a machine would seldom listen.
const HOLD_BUSY_SHARE: f64 = 0.15;
const HOLD_BUSY_MS: std::ops::RangeInclusive<Ms> = 500..=1_500;

impl Holder {
    pub fn checkin(&mut self, shared: &mut Shared, req: u64, r: Report) {
        let Some(b) = shared.block_of(&r.zone, &r.machine) else {
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
        // The worker has seen a token above ours: someone holds the block
        // after us, and the watch will tell who. Never guess.
        if r.token > grant {
            return shared.busy(req, "a newer holder exists");
        }
        if self.gone.contains(&r.machine) {
            return shared.busy(req, "this machine has been returned");
        }
        let blank = || Self::blank(&r.machine, b, grant);
        let (ix, m) = self.machines.get_or_insert_with(&r.machine, blank);
        if m.grant != grant || m.block != b {
            let held = m.held.take();
            *m = Self::blank(&r.machine, b, grant);
            m.held = held;
        }
        let mut reborn = false;
        if (r.session, r.seq) <= (m.session, m.seq) {
            if !m.dead {
                return shared.busy(req, "a newer report is known");
            }
            // Its lease is over and with it all that it had, so a count that
            // starts anew is a worker that did. But it may be a late copy too.
            reborn = true;
            (m.session, m.seq, m.answered) = (0, 0, None);
        }
        if !m.heeds(&r, shared.cfg.peers.len()) {
            m.unheeded += 1;
            m.deaf |= m.unheeded >= 2;
        } else if m.answered.is_some() {
            (m.unheeded, m.deaf) = (0, false);
        }
        // A run in the answer to a session's last report, as its lease ends, would be
        // given up with the first report of the next one, and granted elsewhere
        // within the same second.
        let lease = (shared.cfg.cluster.workers.lease_s * 1000.0) as Ms;
        if m.last_answer.is_some_and(|at| shared.now > at + lease / 2) {
            m.resuming = r.session <= m.session;
        } else if m.answered.is_some() {
            m.resuming = false;
        }
        m.dead = false;
        m.addr = r.addr;
        m.type_name = r.machine_type;
        m.zone = r.zone;
        m.spot = r.spot;
        m.session = r.session;
        m.seq = r.seq;
        m.notice = r.notice_s.is_some();
        m.last_report = Some(shared.now);
        m.fenced = !reborn && (m.fenced || r.token >= grant);
        m.reborn = reborn || m.reborn && !m.fenced;
        m.direct_sent = 0;
        // The worker has given the earlier report up.
        let stale = m.held.take();
        let mut commands = Vec::new();
        if load == Load::Done {
            let gone = read_tasks(shared, m, &r.tasks, &mut commands);
            if let Some(h) = &mut self.blocks[b as usize] {
                h.give_up(gone, shared.now);
            }
        }
        let hold = if load == Load::Done && commands.is_empty() { hold_ms(shared, m) } else { 0 };
        m.held = Some(Held { req, until: shared.now + hold, commands });
        if let Some(h) = &mut self.blocks[b as usize] {
            h.dirty = true;
        }
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
        let holds = self.blocks[m.block as usize].as_ref().is_some_and(|h| h.grant == m.grant);
        if !holds || !shared.has_authority() {
            return shared.busy(held.req, "no proof of authority");
        }
        let mut commands = held.commands;
        orders(shared, m, &mut commands);
        m.last_answer = Some(shared.now);
        m.answered = Some((m.session, m.seq));
        shared.answer_json(held.req, 200, &ReportAnswer { token: m.grant, commands });
    }

    /// Held reports are answered at the moment that work appears for their
    /// machine, or when their time is over.
    pub(super) fn answer_due(&mut self, shared: &mut Shared) {
        let due = |m: &Machine| {
            let Some(held) = &m.held else { return false };
            let has_work = |a: &Attempt| match a.st {
                AttemptState::Bound => {
                    a.written && a.want && a.sent.is_none() && !shared.is_cancelled(a.job)
                }
                AttemptState::Fetching | AttemptState::Running => !a.want || shared.is_cancelled(a.job),
                _ => false,
            };
            shared.now >= held.until || m.attempts.iter().any(has_work)
        };
        let due: Vec<u32> = self.machines.iter().filter(|(_, m)| due(m)).map(|(ix, _)| ix).collect();
        for ix in due {
            self.answer_held(shared, ix);
        }
    }

    /// Tasks of a job that is cancelled are stopped by direct command, where no
    /// report waits for an answer: one that still waits for its image would start
    /// before the next report, and machines whose reports reach nobody would go on.
    pub(super) fn stop_cancelled(&mut self, shared: &mut Shared) {
        if shared.cancelled_now.is_empty() {
            return;
        }
        let jobs: FxHashSet<u32> = std::mem::take(&mut shared.cancelled_now).into_iter().collect();
        for m in self.machines.values_mut() {
            if m.held.is_none() && m.attempts.iter().any(|a| jobs.contains(&a.job)) {
                stop_directly(shared, m);
            }
        }
        // Reports that wait are answered without delay.
        self.next_scan = 0;
    }

    /// Again where nothing has been heard of it.
    pub(super) fn repeat_stops(&mut self, shared: &mut Shared) {
        let now = shared.now;
        for m in self.machines.values_mut() {
            if (1..MOST_DIRECT).contains(&m.direct_sent)
                && m.held.is_none()
                && now >= m.direct_at + DIRECT_MS
            {
                stop_directly(shared, m);
            }
        }
    }

    /// Machines whose lease has surely ended hold nothing any more.
    pub(super) fn check_leases(&mut self, shared: &mut Shared) {
        let lease = (shared.cfg.cluster.workers.lease_s * 1001.0) as Ms + 1500;
        for m in self.machines.values_mut() {
            let Some(h) = &mut self.blocks[m.block as usize] else { continue };
            // A report that waits for its answer is no silence: the first one
            // of a new machine would pass for the end of a lease that never
            // began, and its tasks would be granted again while it got them.
            if m.dead || m.held.is_some() || h.load != Load::Done {
                continue;
            }
            // Until the worker has shown our token, a former holder may have
            // answered it up to the end of its own authority.
            // It may have learned the token from a direct command, unanswered yet.
            let before =
                if m.fenced && m.last_answer.is_some() { 0 } else { h.since + shared.authority_ms };
            let last = m.last_answer.unwrap_or(0).max(before);
            if shared.now <= last + lease {
                continue;
            }
            m.dead = true;
            m.images.clear();
            if m.attempts.iter().any(|a| !a.st.ended()) {
                tracing::info!(machine = m.name, "lease ended; its tasks are gone");
            }
            let gone = m.attempts.extract_if(.., |a| a.st != AttemptState::Done || !a.want);
            h.give_up(gone.map(|a| (a.id, a.shelf)), shared.now);
            h.dirty = true;
        }
    }
}

/// Never a `run`, which could be carried out minutes late.
fn stop_directly(shared: &mut Shared, m: &mut Machine) {
    let on_it = |a: &&Attempt| match a.st {
        AttemptState::Inherited
        | AttemptState::Fetching
        | AttemptState::Running
        | AttemptState::Saving => true,
        AttemptState::Bound => a.sent.is_some(),
        _ => false,
    };
    let stop = |a: &Attempt| Command {
        op: Op::Stop,
        task: format!("{}/{}", shared.jobs.id(a.job), a.task),
        attempt: a.id,
        grace_s: Some(0.0),
    };
    let due = m.attempts.iter().filter(on_it).filter(|a| shared.is_cancelled(a.job));
    let commands: Vec<Command> = due.map(stop).collect();
    if commands.is_empty() || m.addr.is_empty() || m.dead {
        return;
    }
    m.direct_at = shared.now;
    m.direct_sent += 1;
    let direct = DirectCommands { token: m.grant, session: m.session, commands };
    shared.out.push(Output::Direct { addr: m.addr.clone(), commands: direct });
}

/// How long a report may wait for work. A machine with room gets new work the
/// sooner; one with tasks also has their ends to tell, so it waits less. The
/// worker gives up after 4 s.
fn hold_ms(shared: &Shared, m: &Machine) -> Ms {
    if !m.takes_tasks(shared) {
        return 0;
    }
    let Some(t) = shared.type_ix(&m.type_name).map(|t| &shared.types[t]) else { return 0 };
    let ready = m.attempts.iter().any(|a| a.st == AttemptState::Bound && a.written && a.want);
    let ended = m.attempts.iter().any(|a| a.st.ended() && !a.want);
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

fn redirect(shared: &mut Shared, req: u64, block: u32) {
    let holder = shared.block_recs[block as usize].as_ref().map(|(r, _)| r.node.clone());
    match holder {
        Some(node) if node != shared.me => {
            shared.answer_json(req, 421, &Redirect { report_to: Some(node) });
        }
        _ => shared.busy(req, "nobody holds this machine's block yet"),
    }
}

/// Takes in what a report says of the machine's tasks, and what it proves by
/// not saying it. The attempts that are gone, with their shelves.
fn read_tasks(
    shared: &mut Shared,
    m: &mut Machine,
    tasks: &[ReportTask],
    commands: &mut Vec<Command>,
) -> Vec<(u64, u32)> {
    let now = shared.now;
    let mut listed: FxHashSet<u64> = FxHashSet::default();
    for t in tasks {
        let found = split_task(&t.task).and_then(|(job, task)| {
            let job = shared.job_ix(job)?;
            m.attempts.iter_mut().find(|a| a.id == t.attempt && a.job == job && a.task == task)
        });
        let Some(a) = found else {
            // Nobody's: no record stands behind it, so it must not go on.
            let op = if t.state == TaskState::Exited { Op::Forget } else { Op::Stop };
            let grace_s = (op == Op::Stop).then_some(0.0);
            commands.push(Command { op, task: t.task.clone(), attempt: t.attempt, grace_s });
            continue;
        };
        listed.insert(a.id);
        a.seen = true;
        let st = match t.state {
            TaskState::Fetching => AttemptState::Fetching,
            TaskState::Running | TaskState::Other => AttemptState::Running,
            TaskState::Saving => AttemptState::Saving,
            TaskState::Exited => match t.why.as_deref() {
                Some("done") => AttemptState::Done,
                Some("error") => AttemptState::Failed,
                Some("halted") => AttemptState::Stopped,
                _ => AttemptState::Refused,
            },
        };
        if st == AttemptState::Running && a.started.is_none() {
            a.started = Some(now);
        }
        if st.ended()
            && !a.st.ended()
            && let Some(s) = a.started
        {
            a.ran = now.saturating_sub(s);
        }
        a.st = st;
    }
    let fenced = m.fenced;
    let newest = (m.session, m.seq);
    let lost = |a: &Attempt| a.st == AttemptState::Bound && a.sent.is_some_and(|s| s < newest);
    if m.attempts.iter().any(|a| lost(a) && !listed.contains(&a.id)) {
        m.deaf = true;
        tracing::info!(machine = m.name, "answers don't reach the machine; no new work for it");
    }
    let (deaf, machine) = (m.deaf, m.name.as_str());
    let gone = m.attempts.extract_if(.., |a| {
        if listed.contains(&a.id) {
            return false;
        }
        match a.st {
            // Kept as knowledge until the leader has recorded it.
            AttemptState::Done if a.want => false,
            // Sent in an answer to an earlier report: the worker sends the next
            // one only after that answer, or having given it up, so what this
            // one does not list never came. What was not sent waits, unless
            // nothing reaches the machine.
            AttemptState::Bound if a.want => lost(a) || deaf && a.sent.is_none(),
            // The former holder's answer can't be under way any more once
            // the worker knows our token. A later session proves nothing
            // before that: both reports may be late copies, older than the
            // `run`, and the task would run twice.
            AttemptState::Inherited => fenced,
            _ => true,
        }
    });
    gone.map(|a| {
        tracing::debug!(machine, job = shared.jobs.id(a.job), task = a.task, attempt = a.id, st = ?a.st, "gone");
        (a.id, a.shelf)
    })
    .collect()
}

/// What the worker shall do now.
fn orders(shared: &Shared, m: &mut Machine, commands: &mut Vec<Command>) {
    let stoppable = |a: &Attempt| {
        matches!(a.st, AttemptState::Fetching | AttemptState::Running | AttemptState::Saving)
    };
    for a in &mut m.attempts {
        let task = || format!("{}/{}", shared.jobs.id(a.job), a.task);
        let job = shared.job(a.job);
        let withdrawn = shared.is_cancelled(a.job);
        if a.st == AttemptState::Bound
            && a.want
            && a.written
            && !m.deaf
            && !m.resuming
            && !m.returning_written
            && job.state == JobState::Live
            && !withdrawn
        {
            a.sent.get_or_insert((m.session, m.seq));
            // How long it took to record, and then to be heard.
            let (record_ms, wait_ms) =
                (a.written_at.saturating_sub(a.bound_at), shared.now.saturating_sub(a.written_at));
            tracing::debug!(
                machine = m.name,
                task = task(),
                attempt = a.id,
                record_ms,
                wait_ms,
                "run sent"
            );
            commands.push(Command { op: Op::Start, task: task(), attempt: a.id, grace_s: None });
        } else if stoppable(a) && (withdrawn || !a.want) {
            let spec = job.spec.as_deref();
            let saves = spec.is_some_and(|s| s.checkpoint_s > 0.0) && !withdrawn;
            let grace = if saves { spec.map_or(0.0, |s| s.save_s) } else { 0.0 };
            if a.st == AttemptState::Saving && !withdrawn {
                continue;
            }
            commands.push(Command { op: Op::Stop, task: task(), attempt: a.id, grace_s: Some(grace) });
        } else if a.st.ended() && !a.want && a.seen {
            commands.push(Command { op: Op::Forget, task: task(), attempt: a.id, grace_s: None });
        }
    }
}
