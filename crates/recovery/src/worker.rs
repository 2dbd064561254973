//! A worker's reports: which of them count, and what they prove about the worker.

use crate::Millis;

/// Position of a report among all reports of one worker. A session begins when the
/// worker's lease ends; the sequence number rises within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct HeartbeatVersion {
    /// Session of the worker.
    pub incarnation: u64,
    /// Count of reports, and of answers to direct commands, within the session.
    pub sequence: u64,
}

/// What a report says about itself.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatHeader {
    /// Its position.
    pub version: HeartbeatVersion,
    /// Highest fencing token that the worker has seen.
    pub fencing_token: u64,
}

/// Times that the verdicts rest on.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Time without an answer after which a worker drops its tasks.
    pub lease_ms: Millis,
    /// How long a holder may answer workers after the last proof of its authority.
    pub control_lease_ms: Millis,
}

/// Clocks may differ by 0.05% each.
const DRIFT_PER_MILLE: Millis = 1;
/// Time for a worker to notice the end of its lease, and for delays of our timers.
const LEASE_MARGIN_MS: Millis = 1_500;
/// Answers in a row that did not arrive before a worker is taken to be unreachable.
const UNHEEDED_LIMIT: u32 = 2;

impl Timing {
    /// Time after the last answer by which a worker's lease has surely ended.
    pub fn lease_bound_ms(&self) -> Millis {
        self.lease_ms + self.lease_ms * DRIFT_PER_MILLE / 1_000 + LEASE_MARGIN_MS
    }
}

/// Why a report is not taken in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The worker has seen a token above ours: another holder came after us.
    NewerHolder,
    /// A report at least as new has been taken in.
    NotNewer,
}

/// Whether this holder may answer a worker at all: not if the worker has seen a token
/// above ours.
pub fn check_fencing_token(
    heartbeat: HeartbeatHeader,
    owner_fencing_token: u64,
) -> Result<(), Rejection> {
    if heartbeat.fencing_token > owner_fencing_token { Err(Rejection::NewerHolder) } else { Ok(()) }
}

/// What is known about a worker from its reports and our answers.
#[derive(Debug, Clone, Default)]
pub struct WorkerLiveness {
    newest: HeartbeatVersion,
    /// The worker has shown that it knows our token, so no answer of a former
    /// holder can be under way any more.
    fenced: bool,
    last_heartbeat: Option<Millis>,
    last_response: Option<Millis>,
    /// The last report that we answered with 200.
    answered: Option<HeartbeatVersion>,
    unheeded: u32,
    unreachable: bool,
    /// Its lease has ended, or the cloud has confirmed its return.
    lease_ended: bool,
    /// Heard after its lease had ended, with a count that starts anew: a worker that
    /// was restarted, or a late copy of an old report.
    reborn: bool,
    /// Heard again after a long silence by a report whose session may be about to end.
    resuming: bool,
    /// Direct commands sent since the last report; each of their answers counts.
    direct_commands: u32,
}

impl WorkerLiveness {
    /// Takes in a report that has just arrived and whose token is not newer than
    /// ours, unless it proves nothing new. `owner_fencing_token` is our fencing token;
    /// `only_node` says that the worker has no other node to report to.
    pub fn accept(
        &mut self,
        heartbeat: HeartbeatHeader,
        owner_fencing_token: u64,
        only_node: bool,
        timing: &Timing,
        now: Millis,
    ) -> Result<(), Rejection> {
        let restarted = heartbeat.version <= self.newest;
        if restarted {
            if !self.lease_ended {
                return Err(Rejection::NotNewer);
            }
            // Its lease is over and with it all that it had, so a count that starts
            // anew is a worker that did. But it may be a late copy too.
            self.newest = HeartbeatVersion::default();
            self.answered = None;
        }
        self.note_reachability(heartbeat.version, only_node);
        self.note_silence(heartbeat.version, timing, now);
        self.lease_ended = false;
        self.newest = heartbeat.version;
        self.last_heartbeat = Some(now);
        self.fenced = !restarted && (self.fenced || heartbeat.fencing_token >= owner_fencing_token);
        self.reborn = restarted || self.reborn && !self.fenced;
        self.direct_commands = 0;
        Ok(())
    }

    /// A worker counts every report and sends the next one only when the last is
    /// answered or given up, and then to another node: one that skips a count, or
    /// whose lease ended although we answered, never saw the answer.
    fn note_reachability(&mut self, version: HeartbeatVersion, only_node: bool) {
        let Some(answered) = self.answered else { return };
        if self.heeds(answered, version, only_node) {
            self.unheeded = 0;
            self.unreachable = false;
        } else {
            self.unheeded += 1;
            self.unreachable |= self.unheeded >= UNHEEDED_LIMIT;
        }
    }

    fn heeds(&self, answered: HeartbeatVersion, version: HeartbeatVersion, only_node: bool) -> bool {
        if answered != self.newest {
            return true;
        }
        let next = answered.sequence + 1..=answered.sequence + 1 + u64::from(self.direct_commands);
        version.incarnation == answered.incarnation && (next.contains(&version.sequence) || only_node)
    }

    /// A `run` in the answer to a session's last report, as its lease ends, would be
    /// given up with the first report of the next one, and granted elsewhere within
    /// the same second.
    fn note_silence(&mut self, version: HeartbeatVersion, timing: &Timing, now: Millis) {
        if self.last_response.is_some_and(|at| now > at + timing.lease_ms / 2) {
            self.resuming = version.incarnation <= self.newest.incarnation;
        } else if self.answered.is_some() {
            self.resuming = false;
        }
    }

    /// Notes that the newest report was answered with 200.
    pub fn note_response(&mut self, now: Millis) {
        self.last_response = Some(now);
        self.answered = Some(self.newest);
    }

    /// Notes that direct commands were sent.
    pub fn note_direct_command(&mut self) {
        self.direct_commands += 1;
    }

    /// Notes that a `run` which was sent in an answer never arrived.
    pub fn note_unreachable(&mut self) {
        self.unreachable = true;
    }

    /// Whether the worker's lease has surely ended. Until the worker has shown our
    /// token, a former holder may have answered it up to the end of its own
    /// authority, which began to run out when we began to hold the block.
    pub fn lease_is_over(&self, holding_since: Millis, timing: &Timing, now: Millis) -> bool {
        // It may have learned the token from a direct command, unanswered yet.
        let answered_by_us = self.fenced && self.last_response.is_some();
        let former = if answered_by_us { 0 } else { holding_since + timing.control_lease_ms };
        now > self.last_response.unwrap_or(0).max(former) + timing.lease_bound_ms()
    }

    /// Notes that the worker's lease has ended, and with it all that it had.
    pub fn end_lease(&mut self) {
        self.lease_ended = true;
    }

    /// Whether a `run` may go out in the answer to its newest report.
    pub fn may_start(&self) -> bool {
        !self.unreachable && !self.resuming
    }

    /// Whether new work may be planned for it. One that was not heard within
    /// `fresh_ms` gets none.
    pub fn takes_work(&self, fresh_ms: Millis, now: Millis) -> bool {
        self.may_start()
            && !self.lease_ended
            && !self.reborn
            && self.last_heartbeat.is_some_and(|at| at + fresh_ms > now)
    }

    /// The newest report taken in.
    pub fn newest(&self) -> HeartbeatVersion {
        self.newest
    }

    /// Whether the worker has shown that it knows our token.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Whether its lease has ended and nothing was heard since.
    pub fn has_ended(&self) -> bool {
        self.lease_ended
    }

    /// Whether nothing that we answer reaches it.
    pub fn is_unreachable(&self) -> bool {
        self.unreachable
    }

    /// When its last report arrived.
    pub fn last_heartbeat(&self) -> Option<Millis> {
        self.last_heartbeat
    }

    /// Direct commands sent since its last report.
    pub fn direct_commands(&self) -> u32 {
        self.direct_commands
    }
}
