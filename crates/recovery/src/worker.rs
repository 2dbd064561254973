//! A worker's heartbeats: which of them count, and what they prove about the worker.

use crate::Millis;

/// Position of a heartbeat among all heartbeats of one worker. An incarnation begins when
/// the worker's lease ends; the sequence number rises within it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct HeartbeatVersion {
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// Number of heartbeats, and of answers to direct commands, within the incarnation.
    pub sequence: u64,
}

/// What a heartbeat says about itself.
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
    /// Time without a response after which a worker drops its tasks.
    pub lease_ms: Millis,
    /// How long a shard owner may answer workers after it last renewed its control lease.
    pub control_lease_ms: Millis,
}

/// Clocks may differ by 0.05% each.
const DRIFT_PER_MILLE: Millis = 1;
/// Time for a worker to notice the end of its lease, and for delays of our timers.
const LEASE_MARGIN_MS: Millis = 1_500;
/// Responses in a row that did not arrive before a worker is taken to be unreachable.
const MAX_LOST_RESPONSES: u32 = 2;

impl Timing {
    /// Time after the last response by which a worker's lease has surely ended.
    pub fn lease_bound_ms(&self) -> Millis {
        self.lease_ms + self.lease_ms * DRIFT_PER_MILLE / 1_000 + LEASE_MARGIN_MS
    }
}

/// Why a heartbeat is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The worker has seen a fencing token above ours: the shard has a newer owner.
    NewerOwner,
    /// A heartbeat at least as new has been accepted.
    NotNewer,
}

/// Whether this shard owner may answer a worker at all: not if the worker has seen a
/// fencing token above ours.
pub fn check_fencing_token(
    heartbeat: HeartbeatHeader,
    owner_fencing_token: u64,
) -> Result<(), Rejection> {
    if heartbeat.fencing_token > owner_fencing_token { Err(Rejection::NewerOwner) } else { Ok(()) }
}

/// What is known about a worker from its heartbeats and our responses.
#[derive(Debug, Clone, Default)]
pub struct WorkerLiveness {
    newest: HeartbeatVersion,
    /// The worker has shown that it knows our fencing token, so no response of a former
    /// owner can be under way any more.
    is_fenced: bool,
    last_heartbeat: Option<Millis>,
    last_response: Option<Millis>,
    /// The last heartbeat that we answered with 200.
    answered: Option<HeartbeatVersion>,
    /// Responses in a row that did not arrive.
    lost_responses: u32,
    is_unreachable: bool,
    /// Its lease has ended, or the cloud has confirmed its termination.
    lease_ended: bool,
    /// Heard after its lease had ended, with a sequence that starts anew: a worker that was
    /// restarted, or a late copy of an old heartbeat.
    may_be_late_copy: bool,
    /// Heard again after a long silence by a heartbeat whose incarnation may be about to
    /// end.
    incarnation_may_end: bool,
    /// Direct commands sent since the last heartbeat; the worker counts an answer to each.
    direct_commands: u32,
}

impl WorkerLiveness {
    /// Accepts a heartbeat that has just arrived and whose fencing token is not above ours,
    /// unless it proves nothing new. `owner_fencing_token` is our fencing token;
    /// `is_only_node` says that the worker has no other node to send heartbeats to.
    ///
    /// # Errors
    ///
    /// [`Rejection::NotNewer`] if a heartbeat at least as new has been accepted and the
    /// worker's lease goes on.
    pub fn accept(
        &mut self,
        heartbeat: HeartbeatHeader,
        owner_fencing_token: u64,
        is_only_node: bool,
        timing: &Timing,
        now: Millis,
    ) -> Result<(), Rejection> {
        let starts_anew = heartbeat.version <= self.newest;
        if starts_anew {
            if !self.lease_ended {
                return Err(Rejection::NotNewer);
            }
            // Its lease is over and with it all that it had, so a sequence that starts anew
            // is a worker that did. But it may be a late copy too.
            self.newest = HeartbeatVersion::default();
            self.answered = None;
        }
        self.note_reachability(heartbeat.version, is_only_node);
        self.note_silence(heartbeat.version, timing, now);
        self.lease_ended = false;
        self.newest = heartbeat.version;
        self.last_heartbeat = Some(now);
        let knows_token = heartbeat.fencing_token >= owner_fencing_token;
        self.is_fenced = !starts_anew && (self.is_fenced || knows_token);
        self.may_be_late_copy = starts_anew || self.may_be_late_copy && !self.is_fenced;
        self.direct_commands = 0;
        Ok(())
    }

    /// A worker counts every heartbeat and sends the next one only when the last is answered
    /// or given up, and then to another node: one that skips a number, or whose lease ended
    /// although we answered, never received the response.
    fn note_reachability(&mut self, version: HeartbeatVersion, is_only_node: bool) {
        let Some(answered) = self.answered else { return };
        if self.has_received(answered, version, is_only_node) {
            self.lost_responses = 0;
            self.is_unreachable = false;
        } else {
            self.lost_responses += 1;
            self.is_unreachable |= self.lost_responses >= MAX_LOST_RESPONSES;
        }
    }

    /// Whether the worker's next heartbeat does not show that our response was lost.
    fn has_received(
        &self,
        answered: HeartbeatVersion,
        next: HeartbeatVersion,
        is_only_node: bool,
    ) -> bool {
        if answered != self.newest {
            return true;
        }
        let first = answered.sequence + 1;
        let expected = first..=first + u64::from(self.direct_commands);
        next.incarnation == answered.incarnation && (expected.contains(&next.sequence) || is_only_node)
    }

    /// A start command in the response to an incarnation's last heartbeat, as its lease
    /// ends, would be given up with the first heartbeat of the next one, and its task
    /// admitted elsewhere within the same second.
    fn note_silence(&mut self, version: HeartbeatVersion, timing: &Timing, now: Millis) {
        if self.last_response.is_some_and(|at| now > at + timing.lease_ms / 2) {
            self.incarnation_may_end = version.incarnation <= self.newest.incarnation;
        } else if self.answered.is_some() {
            self.incarnation_may_end = false;
        }
    }

    /// Notes that the newest heartbeat was answered with 200.
    pub fn note_response(&mut self, now: Millis) {
        self.last_response = Some(now);
        self.answered = Some(self.newest);
    }

    /// Notes that direct commands were sent.
    pub fn note_direct_command(&mut self) {
        self.direct_commands += 1;
    }

    /// Notes that a start command which was sent in a response never arrived.
    pub fn note_unreachable(&mut self) {
        self.is_unreachable = true;
    }

    /// Whether the worker's lease has surely ended. Until the worker has shown our fencing
    /// token, a former owner may have answered it up to the end of its own control lease,
    /// which began to run out when we became the owner, at `owned_since`.
    pub fn lease_is_over(&self, owned_since: Millis, timing: &Timing, now: Millis) -> bool {
        // It may have learned the token from a direct command and got no response yet.
        let answered_by_us = self.is_fenced && self.last_response.is_some();
        let by_former = if answered_by_us { 0 } else { owned_since + timing.control_lease_ms };
        let last_response = self.last_response.unwrap_or(0).max(by_former);
        now > last_response + timing.lease_bound_ms()
    }

    /// Notes that the worker's lease has ended, and with it all that it had.
    pub fn end_lease(&mut self) {
        self.lease_ended = true;
    }

    /// Whether a start command may go out in the response to its newest heartbeat.
    pub fn may_start(&self) -> bool {
        !self.is_unreachable && !self.incarnation_may_end
    }

    /// Whether new work may be planned for it. One that was not heard within `fresh_ms`
    /// gets none.
    pub fn takes_work(&self, fresh_ms: Millis, now: Millis) -> bool {
        self.may_start()
            && !self.lease_ended
            && !self.may_be_late_copy
            && self.last_heartbeat.is_some_and(|at| at + fresh_ms > now)
    }

    /// The newest heartbeat that was accepted.
    pub fn newest(&self) -> HeartbeatVersion {
        self.newest
    }

    /// Whether the worker has shown that it knows our fencing token.
    pub fn is_fenced(&self) -> bool {
        self.is_fenced
    }

    /// Whether its lease has ended and nothing was heard since.
    pub fn has_ended(&self) -> bool {
        self.lease_ended
    }

    /// Whether no response of ours reaches it.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// When its last heartbeat arrived.
    pub fn last_heartbeat(&self) -> Option<Millis> {
        self.last_heartbeat
    }

    /// Direct commands sent since its last heartbeat.
    pub fn direct_commands(&self) -> u32 {
        self.direct_commands
    }
}
