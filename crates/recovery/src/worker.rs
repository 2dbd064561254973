//! A worker's heartbeats: which of them are accepted, and what they prove about the worker.

use crate::Millis;

/// Position of a heartbeat in the order of one worker's heartbeats. A new incarnation begins
/// when the worker's lease ends; the sequence number increases within an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct HeartbeatVersion {
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// Number of heartbeats and of answers to direct commands so far within the incarnation.
    pub sequence: u64,
}

/// Header of a heartbeat: its version and the worker's fencing token.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatHeader {
    /// Position of the heartbeat among those of its worker.
    pub version: HeartbeatVersion,
    /// Highest fencing token that the worker has seen.
    pub fencing_token: u64,
}

/// Durations of the leases on which the verdicts depend.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Time without a response after which a worker stops and discards its tasks.
    pub lease_ms: Millis,
    /// Time for which a shard owner may answer workers after it last renewed its control lease.
    pub control_lease_ms: Millis,
}

/// Bound on the drift between two clocks, each of which may drift by 0.05%.
const DRIFT_PER_MILLE: Millis = 1;
/// Allowance for a worker to notice the end of its lease, and for delays of our timers.
const LEASE_MARGIN_MS: Millis = 1_500;
/// Number of consecutive lost responses after which a worker is considered unreachable.
const MAX_LOST_RESPONSES: u32 = 2;

impl Timing {
    /// Time after the last response by which a worker's lease has certainly ended.
    pub fn lease_bound_ms(&self) -> Millis {
        self.lease_ms + self.lease_ms * DRIFT_PER_MILLE / 1_000 + LEASE_MARGIN_MS
    }
}

/// Reason why a heartbeat is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The worker has seen a higher fencing token than ours: the shard has a newer owner.
    NewerOwner,
    /// A heartbeat that is at least as new has already been accepted.
    NotNewer,
}

/// Checks that this shard owner may answer a worker: it must not if the worker has seen a higher
/// fencing token than ours.
pub fn check_fencing_token(
    heartbeat: HeartbeatHeader,
    owner_fencing_token: u64,
) -> Result<(), Rejection> {
    if heartbeat.fencing_token > owner_fencing_token { Err(Rejection::NewerOwner) } else { Ok(()) }
}

/// What a shard owner knows about a worker from its heartbeats and our responses.
#[derive(Debug, Clone, Default)]
pub struct WorkerLiveness {
    newest: HeartbeatVersion,
    /// Whether the worker has shown that it knows our fencing token, so that no response of a
    /// former owner can still be in flight.
    knows_fencing_token: bool,
    last_heartbeat: Option<Millis>,
    last_response: Option<Millis>,
    /// The last heartbeat that we answered with 200.
    answered: Option<HeartbeatVersion>,
    /// Number of consecutive responses that did not arrive.
    lost_responses: u32,
    is_unreachable: bool,
    /// Whether the worker's lease has ended, or the cloud has confirmed the machine's
    /// termination.
    lease_ended: bool,
    /// Whether the newest heartbeat may be a late copy of an old one. A heartbeat arrived after
    /// the lease had ended and with a sequence number that started over, as after a restart of
    /// the worker, and none has shown our fencing token since.
    may_be_late_copy: bool,
    /// Whether the worker's incarnation may be about to end: a heartbeat of it arrived after a
    /// long time without a response.
    incarnation_may_end: bool,
    /// Number of messages with direct commands sent since the last heartbeat. The worker's
    /// answer to each one takes a sequence number.
    direct_commands: u32,
}

impl WorkerLiveness {
    /// Accepts a heartbeat that has just arrived and whose fencing token is not higher than
    /// ours, unless it is stale. `owner_fencing_token` is our fencing token; `is_only_node` says
    /// whether the worker has no other node to send heartbeats to.
    ///
    /// # Errors
    ///
    /// [`Rejection::NotNewer`] if a heartbeat that is at least as new has been accepted and the
    /// worker's lease has not ended.
    pub fn accept(
        &mut self,
        heartbeat: HeartbeatHeader,
        owner_fencing_token: u64,
        is_only_node: bool,
        timing: &Timing,
        now: Millis,
    ) -> Result<(), Rejection> {
        let sequence_restarted = heartbeat.version <= self.newest;
        if sequence_restarted {
            if !self.lease_ended {
                return Err(Rejection::NotNewer);
            }
            // The worker's lease has ended, and all its tasks with it, so a sequence number that
            // starts over comes from a restarted worker, unless the heartbeat is a late copy.
            self.newest = HeartbeatVersion::default();
            self.answered = None;
        }
        self.update_reachability(heartbeat.version, is_only_node);
        self.update_incarnation_may_end(heartbeat.version, timing, now);
        self.lease_ended = false;
        self.newest = heartbeat.version;
        self.last_heartbeat = Some(now);
        let knows_token = heartbeat.fencing_token >= owner_fencing_token;
        self.knows_fencing_token = !sequence_restarted && (self.knows_fencing_token || knows_token);
        self.may_be_late_copy = sequence_restarted || self.may_be_late_copy && !self.knows_fencing_token;
        self.direct_commands = 0;
        Ok(())
    }

    /// Updates whether our responses reach the worker, from the version of its next heartbeat.
    ///
    /// A worker numbers every heartbeat. It sends the next one only after the last was answered
    /// or it stopped waiting for the answer, and in the latter case to another node. So a worker
    /// that skips a number, or whose lease ended although we answered, never received our
    /// response.
    fn update_reachability(&mut self, version: HeartbeatVersion, is_only_node: bool) {
        let Some(answered) = self.answered else { return };
        if self.may_have_received(answered, version, is_only_node) {
            self.lost_responses = 0;
            self.is_unreachable = false;
        } else {
            self.lost_responses += 1;
            self.is_unreachable |= self.lost_responses >= MAX_LOST_RESPONSES;
        }
    }

    /// Whether the worker may have received our response to the heartbeat `answered`: false only
    /// if its next heartbeat shows that the response was lost.
    fn may_have_received(
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

    /// Updates whether the incarnation may be about to end, which rules out start commands.
    ///
    /// If a start command were sent in the response to an incarnation's last heartbeat, as the
    /// lease ends, the first heartbeat of the next incarnation would show it as undelivered,
    /// and its task would be admitted elsewhere within the same second.
    fn update_incarnation_may_end(&mut self, version: HeartbeatVersion, timing: &Timing, now: Millis) {
        if self.last_response.is_some_and(|at| now > at + timing.lease_ms / 2) {
            self.incarnation_may_end = version.incarnation <= self.newest.incarnation;
        } else if self.answered.is_some() {
            self.incarnation_may_end = false;
        }
    }

    /// Records that the newest heartbeat was answered with 200.
    pub fn on_response_sent(&mut self, now: Millis) {
        self.last_response = Some(now);
        self.answered = Some(self.newest);
    }

    /// Records that a message with direct commands was sent.
    pub fn on_direct_command_sent(&mut self) {
        self.direct_commands += 1;
    }

    /// Records that a start command sent in a response never arrived, so the worker is
    /// unreachable.
    pub fn mark_unreachable(&mut self) {
        self.is_unreachable = true;
    }

    /// Whether the worker's lease has certainly ended. Until the worker has shown our fencing
    /// token, a former owner may have answered it up to the end of that owner's control lease,
    /// which can't have been renewed after we became the owner, at `owned_since`.
    pub fn lease_has_certainly_ended(&self, owned_since: Millis, timing: &Timing, now: Millis) -> bool {
        // The worker may have learned our token from a direct command without having received
        // a response from us.
        let answered_by_us = self.knows_fencing_token && self.last_response.is_some();
        let former_owner_until = if answered_by_us { 0 } else { owned_since + timing.control_lease_ms };
        let last_response = self.last_response.unwrap_or(0).max(former_owner_until);
        now > last_response + timing.lease_bound_ms()
    }

    /// Records that the worker's lease has ended, and all its tasks with it.
    pub fn end_lease(&mut self) {
        self.lease_ended = true;
    }

    /// Whether the response to the worker's newest heartbeat may contain start commands.
    pub fn may_start(&self) -> bool {
        !self.is_unreachable && !self.incarnation_may_end
    }

    /// Whether new tasks may be scheduled on the worker. A worker without a heartbeat in the last
    /// `max_heartbeat_age_ms` gets none.
    pub fn accepts_new_tasks(&self, max_heartbeat_age_ms: Millis, now: Millis) -> bool {
        self.may_start()
            && !self.lease_ended
            && !self.may_be_late_copy
            && self.last_heartbeat.is_some_and(|at| at + max_heartbeat_age_ms > now)
    }

    /// Returns the version of the newest accepted heartbeat.
    pub fn newest(&self) -> HeartbeatVersion {
        self.newest
    }

    /// Whether the worker has shown that it knows our fencing token.
    pub fn knows_fencing_token(&self) -> bool {
        self.knows_fencing_token
    }

    /// Whether the worker's lease has ended and no heartbeat has been accepted since.
    pub fn lease_has_ended(&self) -> bool {
        self.lease_ended
    }

    /// Whether our responses do not reach the worker.
    pub fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }

    /// Time at which the last accepted heartbeat arrived.
    pub fn last_heartbeat(&self) -> Option<Millis> {
        self.last_heartbeat
    }

    /// Number of messages with direct commands sent since the last accepted heartbeat.
    pub fn direct_commands(&self) -> u32 {
        self.direct_commands
    }
}
