//! Links to the other controllers of this cell and to those of other cells.

use super::frames::Link;
use crate::config::{CellSettings, PeerEntry};
use crate::wire::peer::Frame;
use std::collections::HashMap;
use woadlever_cells::message::CellMessage;

/// Links to the other nodes of this cell, by name.
pub(super) struct PeerLinks(HashMap<String, Link<Frame>>);

impl PeerLinks {
    /// A link to each node of the settings.
    pub(super) fn new(peers: &[PeerEntry]) -> PeerLinks {
        PeerLinks(peers.iter().map(|peer| (peer.node.clone(), Link::new(peer.addr))).collect())
    }

    /// Sends a frame to a node; to one that is not in the settings, nothing is sent.
    pub(super) fn send(&self, node: &str, frame: Frame) {
        if let Some(link) = self.0.get(node) {
            link.send(Box::new(frame));
        }
    }

    /// Has the next frame to a node open another connection.
    pub(super) fn reconnect(&self, node: &str) {
        if let Some(link) = self.0.get(node) {
            link.reconnect();
        }
    }
}

/// Links to all controllers of each other cell, by the cell's name.
pub(super) struct CellLinks(HashMap<String, Vec<Link<CellMessage>>>);

impl CellLinks {
    /// A link to each controller of the settings; none if load is not shared.
    pub(super) fn new(settings: &CellSettings) -> CellLinks {
        let neighbors = settings.neighbors.iter().filter(|_| settings.enabled);
        let links = neighbors.map(|cell| {
            let controllers = cell.controllers.iter().copied().map(Link::new).collect();
            (cell.name.clone(), controllers)
        });
        CellLinks(links.collect())
    }

    /// Sends a message to all controllers of a cell: any of them may be its leader.
    pub(super) fn send(&self, cell: &str, message: &CellMessage) {
        for link in self.0.get(cell).into_iter().flatten() {
            link.send(Box::new(message.clone()));
        }
    }
}
