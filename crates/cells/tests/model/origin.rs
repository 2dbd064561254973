//! Model of the origin: the cell that the job belongs to.

use super::network::Status;
use super::{HOSTS, Model, START_MS, State, TIMING, Task};
use rand::RngExt;
use std::collections::BTreeMap;
use woadlever_cells::Millis;
use woadlever_cells::message::HostedPhase;
use woadlever_cells::origin::{ForwardView, OriginLimits, OriginStep, next_step};
use woadlever_cells::record::Forwarding;

/// The origin's record of the job.
#[derive(Debug, Clone)]
pub(crate) struct OwnRecord {
    pub state: State,
    pub forwarding: Option<Forwarding>,
    pub version: u64,
}

/// Version of the record, with the time since which the leader has seen it.
#[derive(Debug, Clone, Copy)]
struct Observed {
    version: u64,
    since: Millis,
}

/// Last message of a host that the leader received.
#[derive(Debug, Clone, Copy)]
struct ReceivedStatus {
    at: Millis,
    status: Option<Status>,
}

pub(crate) struct OriginCell {
    pub revision: u64,
    pub record: OwnRecord,
    pub task: Option<Task>,
    is_done_here: bool,
    /// Time until which there is no leader.
    pub down_until: Millis,
    observed: Option<Observed>,
    idle_since: Millis,
    /// Last message of each host, by the host's index.
    received: BTreeMap<usize, ReceivedStatus>,
}

impl Default for OriginCell {
    fn default() -> OriginCell {
        OriginCell {
            revision: 10,
            record: OwnRecord { state: State::Live, forwarding: None, version: 5 },
            task: None,
            is_done_here: false,
            down_until: 0,
            observed: None,
            idle_since: START_MS,
            received: BTreeMap::new(),
        }
    }
}

impl OriginCell {
    /// Replaces the leader. The new one knows only the records.
    pub(crate) fn lose_leader(&mut self, down_until: Millis) {
        self.down_until = down_until;
        self.received.clear();
        self.observed = None;
    }

    pub(crate) fn write(&mut self, state: State, forwarding: Option<Forwarding>) {
        self.revision += 1;
        self.record = OwnRecord { state, forwarding, version: self.revision };
    }

    pub(crate) fn receive(&mut self, host: usize, status: Option<Status>, now: Millis) {
        if now >= self.down_until {
            self.received.insert(host, ReceivedStatus { at: now, status });
        }
    }

    /// Returns the time since which this leader has seen the record in its current version.
    fn observe_record(&mut self, now: Millis) -> Millis {
        let version = self.record.version;
        if let Some(observed) = self.observed.filter(|observed| observed.version == version) {
            return observed.since;
        }
        self.observed = Some(Observed { version, since: now });
        self.idle_since = now;
        now
    }
}

impl Model {
    pub(crate) fn step_origin(&mut self) {
        if self.now < self.origin.down_until || self.origin.record.state != State::Live {
            return;
        }
        let observed_since = self.origin.observe_record(self.now);
        let forwarding = self.origin.record.forwarding.clone().filter(Forwarding::is_forwarded);
        let Some(forwarding) = forwarding else {
            self.try_to_forward();
            return;
        };
        let Some(view) = self.forward_view(&forwarding, observed_since) else { return };
        let reclaim_after_ms = TIMING.reclaim_after_ms();
        let limits = OriginLimits { silence_ms: 12_000, idle_ms: 30_000, reclaim_after_ms };
        match next_step(&view, &limits) {
            OriginStep::Wait => {}
            OriginStep::Recall(reason) => {
                self.origin.write(State::Live, Some(forwarding.recalled(reason)));
            }
            OriginStep::Return { .. } => self.origin.write(State::Live, Some(forwarding.returned())),
            OriginStep::Finish => self.origin.write(State::Done, None),
        }
    }

    fn forward_view(&mut self, forwarding: &Forwarding, observed_since: Millis) -> Option<ForwardView> {
        let now = self.now;
        let host = HOSTS.iter().position(|name| *name == forwarding.cell)?;
        let empty = ReceivedStatus { at: now, status: None };
        let received = *self.origin.received.entry(host).or_insert(empty);
        let status = received.status.filter(|status| status.epoch == forwarding.epoch);
        if status.is_some_and(|status| matches!(status.phase, HostedPhase::Live { running: 1.., .. })) {
            self.origin.idle_since = now;
        }
        Some(ForwardView {
            phase: forwarding.phase,
            in_phase_ms: now - observed_since,
            reported: status.map(|status| status.phase),
            host_silent_ms: now - received.at,
            idle_ms: now - self.origin.idle_since,
        })
    }

    /// Forwards the job to a host that has not tried it, or else, and sometimes at random, runs
    /// it here.
    fn try_to_forward(&mut self) {
        if self.origin.task.is_some() || self.origin.is_done_here {
            return;
        }
        let previous = self.origin.record.forwarding.clone();
        let excluded_cells = previous.as_ref().map(|f| f.excluded_cells.clone()).unwrap_or_default();
        let is_not_excluded = |host: &&str| !excluded_cells.iter().any(|cell| cell == host);
        let candidates: Vec<&str> = HOSTS.into_iter().filter(is_not_excluded).collect();
        if candidates.is_empty() || self.chance(0.2) {
            self.origin.task = Some(Task::start(self.now));
            return;
        }
        let host = candidates[self.rng.random_range(0..candidates.len())];
        let forwarding = Forwarding::begin(host, self.origin.record.version, previous.as_ref());
        self.origin.write(State::Live, Some(forwarding));
    }

    pub(crate) fn run_own_task(&mut self) {
        let origin = &mut self.origin;
        if origin.task.is_some_and(|task| task.has_finished(self.now)) {
            origin.task = None;
            origin.is_done_here = true;
        }
        let has_leader = self.now >= origin.down_until;
        if origin.is_done_here && has_leader && origin.record.state == State::Live {
            origin.write(State::Done, None);
        }
        if origin.record.state == State::Cancelled {
            origin.task = None;
        }
    }
}
