//! Messages to and from the leaders of other cells. Each message carries the sender's whole state,
//! so the next message makes up for a lost one.

use super::Cells;
use crate::core::common::context::NodeContext;
use crate::core::leader::Leader;
use crate::core::leader::live_jobs::LiveJob;
use crate::model::{JobSpec, Ms};
use woadlever_cells::message::{CellMessage, ForwardedJob, ForwardedState, HostedState};
use woadlever_cells::record::ForwardPhase;

/// Interval between two messages to the other cells.
const SEND_INTERVAL_MS: Ms = 500;
/// Maximum number of job specifications in one message. The rest follows in the next messages.
const MAX_SPECS_PER_MESSAGE: usize = 64;

impl Cells {
    /// Sends this cell's whole state to each other cell, if it is due.
    pub(super) fn send_state(&mut self, leader: &Leader, context: &mut NodeContext) {
        let Some(revision) = context.jobs.watched_revision() else { return };
        let now = context.clock.now();
        if !self.timers.send.is_due(now) {
            return;
        }
        self.timers.send.set(now + SEND_INTERVAL_MS);
        for cell in self.neighbors.keys() {
            let message = CellMessage {
                cell: context.operator.cells.name.clone(),
                term: leader.term.number(),
                revision,
                forwarded: self.forwarded_state(leader, context, cell),
                hosted: self.hosted_state(context, cell),
            };
            context.send_cell(cell, message);
        }
    }

    /// Returns the state of a cell's jobs that this one hosts, for the message to that cell.
    fn hosted_state(&self, context: &NodeContext, cell: &str) -> HostedState {
        HostedState {
            stop_within_ms: context.cell_leases.timing().stop_within_ms(),
            capacity: self.capacity.clone(),
            jobs: self.hosted.get(cell).cloned().unwrap_or_default(),
        }
    }

    /// Returns the state of this cell's jobs that are forwarded to a cell, for the message to it.
    fn forwarded_state(&self, leader: &Leader, context: &NodeContext, cell: &str) -> ForwardedState {
        let neighbor = &self.neighbors[cell];
        let mut specs_left = MAX_SPECS_PER_MESSAGE;
        let mut jobs = Vec::new();
        for (index, job) in leader.jobs.iter().filter(|(_, job)| job.is_forwarded()) {
            let forwarding = context.job(*index).forwarding();
            let Some(forwarding) = forwarding.filter(|forwarding| forwarding.cell == cell) else {
                continue;
            };
            let id = context.jobs.id(*index);
            let is_recalled = forwarding.phase == ForwardPhase::Recalled;
            let is_known = neighbor.phase_of(id, forwarding.epoch).is_some();
            let wants_spec = !is_recalled && !is_known && specs_left > 0;
            specs_left -= usize::from(wants_spec);
            jobs.push(ForwardedJob {
                id: id.to_string(),
                epoch: forwarding.epoch,
                is_recalled,
                spec: wants_spec.then(|| encoded_spec(job)).flatten(),
            });
        }
        ForwardedState { lease_until_ms: self.lease_until_ms(context, cell), jobs }
    }

    /// Returns the wall-clock time until which a cell may run jobs of this one, or 0 if it may not
    /// run any.
    fn lease_until_ms(&self, context: &NodeContext, cell: &str) -> u64 {
        let Some(hosted) = self.neighbors[cell].hosted() else { return 0 };
        let Some(renewed_at) = context.control_lease.renewed_at() else { return 0 };
        let clock = &context.clock;
        let renewed_wall_ms = clock.wall().saturating_sub(clock.now().saturating_sub(renewed_at));
        let timing = context.cell_leases.timing();
        timing.lease_until_ms(renewed_wall_ms, hosted.stop_within_ms).unwrap_or(0)
    }

    /// Handles a message from another cell.
    pub(super) fn receive(&mut self, leader: &mut Leader, context: &NodeContext, message: CellMessage) {
        let cell = message.cell.clone();
        let Some(neighbor) = self.neighbors.get_mut(&cell) else {
            tracing::warn!(cell, "message from an unknown cell");
            return;
        };
        let Some(jobs) = neighbor.receive(message, context.clock.now()) else { return };
        for job in jobs {
            self.on_host_report(leader, context, &cell, &job);
        }
        // The message is acted on at once instead of at the next interval.
        self.timers.poll.set(context.clock.now());
    }
}

/// Encodes the specification of a job for its host, as JSON. Its priority is the job's effective
/// one, which takes the jobs that depend on it into account.
fn encoded_spec(job: &LiveJob) -> Option<Vec<u8>> {
    let spec = JobSpec { priority: job.priority, ..(*job.spec).clone() };
    serde_json::to_vec(&spec).ok()
}
