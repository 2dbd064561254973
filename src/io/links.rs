//! Outgoing links to the other controllers of this cell and to the controllers of other cells.

use super::frames::Link;
use crate::config::{CellSettings, PeerEntry};
use crate::wire::peer::Frame;
use std::collections::HashMap;
use woadlever_cells::message::CellMessage;

/// Links to the other nodes of this cell, by node name.
pub(super) struct PeerLinks(HashMap<String, Link<Frame>>);

impl PeerLinks {
    /// Creates a link to each configured peer.
    pub(super) fn new(peers: &[PeerEntry]) -> PeerLinks {
        PeerLinks(peers.iter().map(|peer| (peer.node.clone(), Link::new(peer.addr))).collect())
    }

    /// Sends a frame to a node. A frame to a node that is not configured is dropped.
    pub(super) fn send(&self, node: &str, frame: Frame) {
        if let Some(link) = self.0.get(node) {
            link.send(Box::new(frame));
        }
    }

    /// Closes the connection to a node; the next frame opens a new one.
    pub(super) fn reconnect(&self, node: &str) {
        if let Some(link) = self.0.get(node) {
            link.reconnect();
        }
    }
}

/// Links to all controllers of each neighboring cell, by cell name.
pub(super) struct CellLinks(HashMap<String, Vec<Link<CellMessage>>>);

impl CellLinks {
    /// Creates a link to each configured controller, or none if load sharing is disabled.
    pub(super) fn new(settings: &CellSettings) -> CellLinks {
        let neighbors = settings.neighbors.iter().filter(|_| settings.enabled);
        let links = neighbors.map(|cell| {
            let controllers = cell.controllers.iter().copied().map(Link::new).collect();
            (cell.name.clone(), controllers)
        });
        CellLinks(links.collect())
    }

    /// Sends a message to all controllers of a cell, because any of them may be its leader.
    pub(super) fn send(&self, cell: &str, message: &CellMessage) {
        for link in self.0.get(cell).into_iter().flatten() {
            link.send(Box::new(message.clone()));
        }
    }
}
