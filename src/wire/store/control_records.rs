//! Records of who is in control: the leader of the cell, and the owner of each shard.

use serde::{Deserialize, Serialize};

/// `w/leader`: written only at an election, so that its version is the leader's term.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct LeaderRecord {
    /// Name of the leading node.
    pub node: String,
    /// Incarnation of the process that leads.
    pub incarnation: u64,
    /// Lease that the record is attached to.
    pub lease: u64,
}

/// `w/block/<shard>`: its version, unique and rising, is the fencing token that the shard
/// owner shows to workers.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct ShardRecord {
    /// Name of the owning node.
    pub node: String,
    /// Incarnation of the process that owns the shard.
    pub incarnation: u64,
}
