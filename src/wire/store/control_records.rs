//! Control records: the leader of the cell, and the owner of each shard.

use serde::{Deserialize, Serialize};

/// Record `w/leader`. It is only written at an election, so its version is the leader's term.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct LeaderRecord {
    /// Name of the leading node.
    pub node: String,
    /// Incarnation of the leading node's process.
    pub incarnation: u64,
    /// Lease that the record is attached to.
    pub lease: u64,
}

/// Record `w/block/<shard>`. Its version, which is unique and increases with each write, is the
/// fencing token that the shard owner sends to workers.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ShardRecord {
    /// Name of the owning node.
    pub node: String,
    /// Incarnation of the owning node's process.
    pub incarnation: u64,
}
