//! Simulated network between controllers, workers and other cells, and its faults.

use super::events::Event;
use std::collections::{HashMap, HashSet};
use woadlever_cells::message::CellMessage;

/// Used instead of a node number in a pair: refers to all workers.
pub const WORKERS: usize = usize::MAX;
/// Latency of frames between nodes, unless a test sets [`Network::frame_ms`].
const FRAME_LATENCY_MS: u64 = 2;
/// Latency of direct commands, unless a test sets [`Network::direct_commands_ms`].
const DIRECT_COMMANDS_LATENCY_MS: u64 = 2;

/// State and faults of the network.
pub struct Network {
    /// Pairs of nodes, or of a node and [`WORKERS`], that can't reach each other.
    pub unreachable_pairs: HashSet<(usize, usize)>,
    /// Pairs (from, to) of nodes between which frames are lost in this direction only, unnoticed
    /// by the sender.
    pub one_way_losses: HashSet<(usize, usize)>,
    /// Events held during a partition between the two zones; `None` without a partition.
    pub(super) partition: Option<Vec<Event>>,
    /// Workers that do not receive the answers to their heartbeats.
    pub lost_replies: HashSet<usize>,
    /// Additional delay in milliseconds of frames, heartbeats and responses to a slow node.
    pub lag: HashMap<usize, u64>,
    /// Latency of frames between nodes.
    pub frame_ms: u64,
    /// Latency of direct commands to workers.
    pub direct_commands_ms: u64,
    /// Number of frames sent between nodes.
    pub frames: u64,
    /// Size in bytes of the largest frame; measured in clusters of [`World::fleet`] size only.
    ///
    /// [`World::fleet`]: super::World::fleet
    pub longest_frame: usize,
    /// Pairs (node, peer) whose connection a node has reopened.
    pub reconnects: Vec<(usize, String)>,
    /// Messages to other cells, by recipient, that have not been collected for delivery yet.
    pub cell_messages: Vec<(String, CellMessage)>,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            unreachable_pairs: HashSet::new(),
            one_way_losses: HashSet::new(),
            partition: None,
            lost_replies: HashSet::new(),
            lag: HashMap::new(),
            frame_ms: FRAME_LATENCY_MS,
            direct_commands_ms: DIRECT_COMMANDS_LATENCY_MS,
            frames: 0,
            longest_frame: 0,
            reconnects: Vec::new(),
            cell_messages: Vec::new(),
        }
    }
}

impl Network {
    /// Whether two nodes, or a node and the workers, can't reach each other.
    pub(super) fn is_unreachable(&self, one: usize, other: usize) -> bool {
        self.unreachable_pairs.contains(&(one, other)) || self.unreachable_pairs.contains(&(other, one))
    }
}
