//! The other nodes, as they look from here.

use super::outbox::Outbox;
use crate::core::Output;
use crate::model::Ms;
use crate::wire::peer::{Frame, PeerMessage};
use std::collections::HashMap;

/// Time between two heartbeats to the other nodes.
const HEARTBEAT_EVERY_MS: Ms = 500;
/// A peer that was heard within this time can vouch for the store.
const VOUCHER_HEARD_MS: Ms = 2_000;
/// A peer that the store answered within this time is served.
const VOUCHER_SERVED_MS: Ms = 2_000;

/// How another node looks from here.
#[derive(Debug, Clone)]
pub struct PeerView {
    /// When its last frame arrived.
    pub heard_at: Ms,
    /// Since when it has been heard without a pause.
    pub heard_since: Ms,
    /// The process that sent it.
    pub incarnation: u64,
    /// Time since the store last answered that node.
    pub store_silence_ms: u64,
    /// It gets our frames, as far as it says.
    pub receives_our_frames: bool,
    reconnected_at: Ms,
}

/// What is known of the other nodes from their frames.
#[derive(Debug)]
pub struct Peers {
    own_name: String,
    names: Vec<String>,
    /// Silence after which a node is taken for lost.
    silence_ms: Ms,
    started: Ms,
    views: HashMap<String, PeerView>,
    heartbeat_sent_at: Option<Ms>,
}

impl Peers {
    /// No node has been heard yet.
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

    /// How a node looks; none if no frame of it has arrived.
    pub fn get(&self, node: &str) -> Option<&PeerView> {
        self.views.get(node)
    }

    /// Names of all other nodes.
    pub fn names(&self) -> &[String] {
        &self.names
    }

    /// Silence after which a node is taken for lost.
    pub fn silence_ms(&self) -> Ms {
        self.silence_ms
    }

    /// Whether a heartbeat is due; if so, it counts as sent.
    pub(crate) fn take_heartbeat_due(&mut self, now: Ms) -> bool {
        let is_due = self.heartbeat_sent_at.is_none_or(|at| now >= at + HEARTBEAT_EVERY_MS);
        if is_due {
            self.heartbeat_sent_at = Some(now);
        }
        is_due
    }

    /// Opens the connections to silent nodes anew.
    pub(crate) fn reconnect_silent(&mut self, now: Ms, outbox: &mut Outbox) {
        for (name, peer) in &mut self.views {
            if peer.heard_at.max(peer.reconnected_at) + self.silence_ms < now {
                peer.reconnected_at = now;
                outbox.push(Output::Reconnect { to: name.clone() });
            }
        }
    }

    /// Nodes whose frames no longer arrive.
    pub(crate) fn silent(&self, now: Ms) -> Vec<String> {
        let heard_at = |name: &str| self.views.get(name).map_or(self.started, |peer| peer.heard_at);
        let is_silent = |name: &&String| heard_at(name) + self.silence_ms < now;
        self.names.iter().filter(is_silent).cloned().collect()
    }

    /// Notes a frame of another node; whether it comes from a node of ours, and from the
    /// newest process of it that is known.
    pub(crate) fn on_frame(&mut self, frame: &Frame, now: Ms, outbox: &mut Outbox) -> bool {
        if frame.from == self.own_name || !self.names.contains(&frame.from) {
            return false;
        }
        let peer = self.views.entry(frame.from.clone()).or_insert(PeerView {
            heard_at: now,
            heard_since: now,
            incarnation: frame.incarnation,
            store_silence_ms: 0,
            receives_our_frames: true,
            reconnected_at: now,
        });
        // A late frame of an earlier process is no sign of life.
        if frame.incarnation < peer.incarnation {
            return false;
        }
        if frame.incarnation > peer.incarnation || peer.heard_at + self.silence_ms < now {
            peer.heard_since = now;
        }
        // What we wrote to its former process is lost without an error: a machine that
        // lost power answers nothing, not even a refusal.
        if frame.incarnation > peer.incarnation {
            outbox.push(Output::Reconnect { to: frame.from.clone() });
        }
        peer.incarnation = frame.incarnation;
        peer.heard_at = now;
        if let PeerMessage::Heartbeat(heartbeat) = &frame.message {
            peer.store_silence_ms = heartbeat.store_silence_ms;
            // A connection may lead nowhere although writing into it succeeds, as one
            // that a node dropped on waking from a standstill. Only the other side can
            // tell: without this it would never hear us again.
            peer.receives_our_frames = !heartbeat.names_as_silent(&self.own_name);
            if !peer.receives_our_frames && peer.reconnected_at + self.silence_ms < now {
                peer.reconnected_at = now;
                outbox.push(Output::Reconnect { to: frame.from.clone() });
            }
        }
        true
    }

    /// Whether another node says that the store serves it.
    pub(crate) fn any_is_served(&self, now: Ms) -> bool {
        let is_served = |peer: &PeerView| {
            peer.heard_at + VOUCHER_HEARD_MS > now && peer.store_silence_ms < VOUCHER_SERVED_MS
        };
        self.views.values().any(is_served)
    }
}
