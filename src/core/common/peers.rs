//! State of the other nodes as observed by this node.

use super::outbox::Outbox;
use crate::core::Output;
use crate::model::Ms;
use crate::wire::peer::{Frame, PeerMessage};
use std::collections::HashMap;

/// Interval between two heartbeats to the other nodes.
const HEARTBEAT_INTERVAL_MS: Ms = 500;
/// A peer's report about the store counts only if a frame of the peer arrived within this time.
const MAX_REPORT_AGE_MS: Ms = 2_000;
/// A peer counts as served by the store if the store answered it within this time.
const MAX_STORE_SILENCE_MS: Ms = 2_000;

/// State of another node as observed by this node.
#[derive(Debug, Clone)]
pub struct PeerView {
    /// Time at which its last frame arrived.
    pub last_frame_at: Ms,
    /// Time since when its frames have arrived without a break longer than the silence limit.
    pub receiving_since: Ms,
    /// Incarnation of the process that sent the last frame.
    pub incarnation: u64,
    /// Time since the store last answered that node, as the node reported.
    pub store_silence_ms: u64,
    /// Whether it receives frames of this node, according to its last heartbeat.
    pub receives_our_frames: bool,
    reconnected_at: Ms,
}

/// State of the other nodes, derived from their frames.
#[derive(Debug)]
pub struct Peers {
    own_name: String,
    names: Vec<String>,
    /// Time without frames after which a node is considered lost.
    silence_ms: Ms,
    started: Ms,
    views: HashMap<String, PeerView>,
    heartbeat_sent_at: Option<Ms>,
}

impl Peers {
    /// Creates the state in which no frame has arrived yet.
    pub fn new(own_name: String, names: Vec<String>, silence_ms: Ms, now: Ms) -> Peers {
        Peers {
            own_name,
            names,
            silence_ms,
            started: now,
            views: HashMap::new(),
            heartbeat_sent_at: None,
        }
    }

    /// Returns the state of a node; `None` if no frame of it has arrived.
    pub fn get(&self, node: &str) -> Option<&PeerView> {
        self.views.get(node)
    }

    /// Names of all other nodes.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Time without frames after which a node is considered lost.
    pub fn silence_ms(&self) -> Ms {
        self.silence_ms
    }

    /// Whether a heartbeat is due. If so, it is recorded as sent now.
    pub(crate) fn take_heartbeat_due(&mut self, now: Ms) -> bool {
        let is_due = self.heartbeat_sent_at.is_none_or(|at| now >= at + HEARTBEAT_INTERVAL_MS);
        if is_due {
            self.heartbeat_sent_at = Some(now);
        }
        is_due
    }

    /// Requests new connections to nodes that have been silent for too long.
    pub(crate) fn reconnect_silent(&mut self, now: Ms, outbox: &mut Outbox) {
        for (name, peer) in &mut self.views {
            if peer.last_frame_at.max(peer.reconnected_at) + self.silence_ms < now {
                peer.reconnected_at = now;
                outbox.push(Output::Reconnect { to: name.clone() });
            }
        }
    }

    /// Returns the names of nodes whose frames no longer arrive.
    pub(crate) fn silent(&self, now: Ms) -> Vec<String> {
        let last_frame_at =
            |name: &str| self.views.get(name).map_or(self.started, |peer| peer.last_frame_at);
        let is_silent = |name: &&String| last_frame_at(name) + self.silence_ms < now;
        self.names.iter().filter(is_silent).cloned().collect()
    }

    /// Records a frame of another node. Returns whether it comes from a known node and from the
    /// newest known process of that node.
    pub(crate) fn on_frame(&mut self, frame: &Frame, now: Ms, outbox: &mut Outbox) -> bool {
        if frame.from == self.own_name || !self.names.contains(&frame.from) {
            return false;
        }
        let peer = self.views.entry(frame.from.clone()).or_insert(PeerView {
            last_frame_at: now,
            receiving_since: now,
            incarnation: frame.incarnation,
            store_silence_ms: 0,
            receives_our_frames: true,
            reconnected_at: now,
        });
        // A late frame of an earlier process does not show that the node is alive.
        if frame.incarnation < peer.incarnation {
            return false;
        }
        if frame.incarnation > peer.incarnation || peer.last_frame_at + self.silence_ms < now {
            peer.receiving_since = now;
        }
        // Frames sent to its earlier process may be lost without an error: a machine that lost
        // power does not even reset the connection.
        if frame.incarnation > peer.incarnation {
            outbox.push(Output::Reconnect { to: frame.from.clone() });
        }
        peer.incarnation = frame.incarnation;
        peer.last_frame_at = now;
        if let PeerMessage::Heartbeat(heartbeat) = &frame.message {
            peer.store_silence_ms = heartbeat.store_silence_ms;
            // A connection may be dead although writes to it succeed, for example one that the
            // peer dropped when it resumed after a stall. Only the peer can detect this. Without
            // this reconnect it would never receive a frame of this node again.
            peer.receives_our_frames = !heartbeat.names_as_silent(&self.own_name);
            if !peer.receives_our_frames && peer.reconnected_at + self.silence_ms < now {
                peer.reconnected_at = now;
                outbox.push(Output::Reconnect { to: frame.from.clone() });
            }
        }
        true
    }

    /// Whether at least one other node has recently reported that the store serves it.
    pub(crate) fn any_is_served(&self, now: Ms) -> bool {
        let is_served = |peer: &PeerView| {
            peer.last_frame_at + MAX_REPORT_AGE_MS > now && peer.store_silence_ms < MAX_STORE_SILENCE_MS
        };
        self.views.values().any(is_served)
    }
}
