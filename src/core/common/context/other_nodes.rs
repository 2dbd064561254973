//! Heartbeats and frames exchanged with the other nodes, and this node's readiness.

use super::NodeContext;
use crate::core::common::task_counts::TaskCount;
use crate::model::Ms;
use crate::wire::peer::{Frame, PeerHeartbeat, PeerMessage};

/// Maximum number of cancellations in one heartbeat.
const CANCELLATIONS_PER_HEARTBEAT: usize = 500;
/// A node that has had an answer from the store within this time is ready in any case.
const READY_SILENCE_MS: Ms = 4_000;

impl NodeContext {
    /// Sends a heartbeat to the other nodes if one is due.
    pub fn send_heartbeat(&mut self) {
        let now = self.clock.now();
        if !self.peers.take_heartbeat_due(now) {
            return;
        }
        self.peers.reconnect_silent(now, &mut self.outbox);
        let task_counts = self.task_counts.take_announcement();
        self.send_to_peers(&[], task_counts.clone());
        self.task_counts.update(task_counts);
    }

    /// Announces cancellations confirmed here to the other nodes at once. A node that the store
    /// rejects would otherwise start and keep the jobs' tasks until its control lease ends. A
    /// lost announcement does no harm, since the records are authoritative.
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

    /// Processes a frame of another node: records that the node is alive, and applies the
    /// contents of a heartbeat.
    pub fn on_peer_frame(&mut self, frame: &Frame) {
        let now = self.clock.now();
        if !self.peers.on_frame(frame, now, &mut self.outbox) {
            return;
        }
        let PeerMessage::Heartbeat(heartbeat) = &frame.message else { return };
        if self.leadership.is_led_by(&frame.from) {
            self.task_counts.update(heartbeat.task_counts.iter().map(TaskCount::from_wire));
        }
        for id in heartbeat.cancelled_jobs() {
            self.jobs.note_cancellation(id, now);
        }
    }

    /// Whether the node is ready for requests. It is unready only while the store does not answer it
    /// although a peer reports that the store serves that peer. In an outage that affects all nodes
    /// it stays ready, because removal from the load balancer would last longer than most outages.
    pub fn is_ready(&self) -> bool {
        self.store_silence_ms() < READY_SILENCE_MS || !self.peers.any_is_served(self.clock.now())
    }
}
