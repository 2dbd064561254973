//! Messages to and from the leaders of other cells. Each carries the sender's whole state, so
//! what is lost is made good by the next one.

use super::Cells;
use crate::core::common::context::NodeContext;
use crate::core::leader::Leader;
use crate::core::leader::live_jobs::LiveJob;
use crate::model::{JobSpec, Ms};
use woadlever_cells::message::{CellMessage, ForwardedJob, ForwardedState, HostedState};
use woadlever_cells::record::ForwardPhase;

/// Pause between two messages to the other cells.
const SEND_GAP_MS: Ms = 500;
/// Descriptions of jobs that go along with one message; the rest follows with the next.
const MAX_SPECS: usize = 64;

impl Cells {
    /// Sends the whole state to each other cell, if that is due.
    pub(super) fn send_state(&mut self, leader: &Leader, context: &mut NodeContext) {
        let Some(revision) = context.jobs.watched_revision() else { return };
        let now = context.clock.now();
        if !self.timers.send.is_due(now) {
            return;
        }
        self.timers.send.set(now + SEND_GAP_MS);
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

    /// What is told to a cell of the jobs of its own that this one hosts.
    fn hosted_state(&self, context: &NodeContext, cell: &str) -> HostedState {
        HostedState {
            stop_within_ms: context.cell_leases.timing().stop_within_ms(),
            capacity: self.capacity.clone(),
            jobs: self.hosted.get(cell).cloned().unwrap_or_default(),
        }
    }

    /// What is told to a cell of the jobs that it hosts for this one.
    fn forwarded_state(&self, leader: &Leader, context: &NodeContext, cell: &str) -> ForwardedState {
        let neighbor = &self.neighbors[cell];
        let mut specs_left = MAX_SPECS;
        let mut jobs = Vec::new();
        for (index, job) in leader.jobs.iter().filter(|(_, job)| job.is_away()) {
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

    /// Time of day until which the cell may run jobs of this one; 0 if not at all.
    fn lease_until_ms(&self, context: &NodeContext, cell: &str) -> u64 {
        let Some(hosted) = self.neighbors[cell].hosted() else { return 0 };
        let Some(renewed_at) = context.control_lease.renewed_at() else { return 0 };
        let clock = &context.clock;
        let renewed_wall_ms = clock.wall().saturating_sub(clock.now().saturating_sub(renewed_at));
        let timing = context.cell_leases.timing();
        timing.lease_until_ms(renewed_wall_ms, hosted.stop_within_ms).unwrap_or(0)
    }

    /// Takes in the message of another cell.
    pub(super) fn receive(&mut self, leader: &mut Leader, context: &NodeContext, message: CellMessage) {
        let cell = message.cell.clone();
        let Some(neighbor) = self.neighbors.get_mut(&cell) else {
            tracing::warn!(cell, "message of an unknown cell");
            return;
        };
        let Some(jobs) = neighbor.receive(message, context.clock.now()) else { return };
        for job in jobs {
            self.on_hosted_elsewhere(leader, context, &cell, &job);
        }
        // What it asks for is not left until the next turn.
        self.timers.step.set(context.clock.now());
    }
}

/// The description of a job (JSON) that goes to the host: with the priority of the jobs that
/// depend on this one.
fn encoded_spec(job: &LiveJob) -> Option<Vec<u8>> {
    let spec = JobSpec { priority: job.priority, ..(*job.spec).clone() };
    serde_json::to_vec(&spec).ok()
}
