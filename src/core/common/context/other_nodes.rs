//! What goes to the other nodes, and what is learnt from them.

use super::NodeContext;
use crate::core::common::task_counts::TaskCount;
use crate::model::Ms;
use crate::wire::peer::{Frame, PeerHeartbeat, PeerMessage};

/// Cancellations that one heartbeat tells of.
const CANCELLATIONS_PER_HEARTBEAT: usize = 500;
/// A node that the store answered within this time is ready in any case.
const READY_SILENCE_MS: Ms = 4_000;

impl NodeContext {
    /// Sends the heartbeat that is due.
    pub fn send_heartbeat(&mut self) {
        let now = self.clock.now();
        if !self.peers.take_heartbeat_due(now) {
            return;
        }
        self.peers.reconnect_silent(now, &mut self.outbox);
        let task_counts = self.task_counts.take_announcement();
        self.send_to_peers(&[], task_counts.clone());
        self.task_counts.learn(task_counts);
    }

    /// Tells the other nodes at once of cancellations confirmed here: one that
    /// the store refuses would start and keep the jobs' tasks for as long
    /// as its control lease lasts. A lost word does no harm, as the records count.
    pub fn announce_cancellations(&mut self) {
        let cancelled = std::mem::take(&mut self.cancellations_to_announce);
        for jobs in cancelled.chunks(CANCELLATIONS_PER_HEARTBEAT) {
            self.send_to_peers(jobs, Vec::new());
        }
    }

    fn send_to_peers(&mut self, cancelled_jobs: &[String], task_counts: Vec<TaskCount>) {
        let silent_peers = self.peers.silent(self.clock.now());
        let task_counts = task_counts.into_iter().map(TaskCount::into_wire).collect();
        let heartbeat =
            PeerHeartbeat::new(self.store_silence_ms(), silent_peers, cancelled_jobs, task_counts);
        for name in self.peers.names().to_vec() {
            self.send(&name, PeerMessage::Heartbeat(heartbeat.clone()));
        }
    }

    /// Notes a sign of life of another node, and what it tells.
    pub fn on_peer_frame(&mut self, frame: &Frame) {
        let now = self.clock.now();
        if !self.peers.on_frame(frame, now, &mut self.outbox) {
            return;
        }
        let PeerMessage::Heartbeat(heartbeat) = &frame.message else { return };
        if self.leadership.is_led_by(&frame.from) {
            self.task_counts.learn(heartbeat.task_counts.iter().map(TaskCount::from_wire));
        }
        for id in heartbeat.cancelled_jobs() {
            self.jobs.note_cancellation(id, now);
        }
    }

    /// Ready, unless the store refuses this node alone: then a peer
    /// that is served says so. In an outage for all, being taken out by the
    /// load balancer would last longer than most outages.
    pub fn is_ready(&self) -> bool {
        self.store_silence_ms() < READY_SILENCE_MS || !self.peers.any_is_served(self.clock.now())
    }
}
