//! The network between controllers, workers and other cells, and its faults.

use super::events::Event;
use std::collections::{HashMap, HashSet};
use woadlever_cells::message::CellMessage;

/// Stands for all workers where a pair of nodes is named.
pub const WORKERS: usize = usize::MAX;
/// How long frames between nodes take, unless a test says otherwise.
const FRAME_MS: u64 = 2;
/// How long direct commands take, unless a test says otherwise.
const DIRECT_COMMANDS_MS: u64 = 2;

/// What reaches whom, and when.
pub struct Network {
    /// Nodes that can't reach each other (or [`WORKERS`]).
    pub cuts: HashSet<(usize, usize)>,
    /// (from, to): frames on this way are lost, whatever the sender thinks.
    pub one_way: HashSet<(usize, usize)>,
    /// What is held up between two zones that can't reach each other.
    pub(super) partition: Option<Vec<Event>>,
    /// Workers whose answers are lost.
    pub lose_replies: HashSet<usize>,
    /// Nodes that are slow: how long until they get to what reaches them.
    pub lag: HashMap<usize, u64>,
    /// How long frames between nodes take.
    pub frame_ms: u64,
    /// How long direct commands to workers take.
    pub direct_commands_ms: u64,
    /// Frames that went from node to node.
    pub frames: u64,
    /// The longest of them in bytes, where machines are many.
    pub longest_frame: usize,
    /// (node, peer): links that were opened anew.
    pub reconnects: Vec<(usize, String)>,
    /// Messages to other cells that have not been taken on yet.
    pub cell_messages: Vec<(String, CellMessage)>,
}

impl Default for Network {
    fn default() -> Network {
        Network {
            cuts: HashSet::new(),
            one_way: HashSet::new(),
            partition: None,
            lose_replies: HashSet::new(),
            lag: HashMap::new(),
            frame_ms: FRAME_MS,
            direct_commands_ms: DIRECT_COMMANDS_MS,
            frames: 0,
            longest_frame: 0,
            reconnects: Vec::new(),
            cell_messages: Vec::new(),
        }
    }
}

impl Network {
    /// Whether two nodes, or a node and the workers, can't reach each other.
    pub(super) fn is_cut(&self, one: usize, other: usize) -> bool {
        self.cuts.contains(&(one, other)) || self.cuts.contains(&(other, one))
    }
}
