//! The shards of all machines and their owners, according to the watched records.

use crate::model::{FencingToken, Shard, ShardIndex, shard_of};
use crate::wire::store::ShardRecord;
use std::ops::Index;

/// The record that names a shard's owner, and its version.
#[derive(Debug, Clone)]
pub struct KnownOwner {
    /// Node and process that own the shard.
    pub record: ShardRecord,
    /// Version of the record, which is the owner's fencing token.
    pub fencing_token: FencingToken,
}

/// All shards with their known owners. Every node derives the same shards from the same settings.
#[derive(Debug)]
pub struct ShardMap {
    shards: Vec<Shard>,
    owners: Vec<Option<KnownOwner>>,
}

impl Index<usize> for ShardMap {
    type Output = Shard;

    fn index(&self, index: usize) -> &Shard {
        &self.shards[index]
    }
}

impl ShardMap {
    /// Creates a map in which no shard has a known owner.
    pub fn new(shards: Vec<Shard>) -> ShardMap {
        ShardMap { owners: vec![None; shards.len()], shards }
    }

    /// Returns the shard with this index.
    pub fn get(&self, index: usize) -> Option<&Shard> {
        self.shards.get(index)
    }

    /// Number of shards.
    pub fn len(&self) -> usize {
        self.shards.len()
    }

    /// Whether there are no shards.
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }

    /// Iterates over all shards in the order of their indices.
    pub fn iter(&self) -> std::slice::Iter<'_, Shard> {
        self.shards.iter()
    }

    /// Returns the index of the shard that a machine belongs to.
    pub fn shard_of(&self, zone: &str, machine: &str) -> Option<ShardIndex> {
        shard_of(&self.shards, zone, machine)
    }

    /// Returns the index of the shard with this name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.shards.iter().position(|shard| shard.name == name)
    }

    /// Returns the owner of a shard, if known.
    pub fn owner(&self, index: usize) -> Option<&KnownOwner> {
        self.owners.get(index)?.as_ref()
    }

    /// Number of shards that a node owns.
    pub fn count_owned_by(&self, node: &str) -> usize {
        self.owners.iter().flatten().filter(|owner| owner.record.node == node).count()
    }

    /// Whether this version of a shard's record is newer than the known one.
    pub(crate) fn is_newer(&self, index: usize, version: u64) -> bool {
        self.owner(index).is_none_or(|owner| owner.fencing_token < FencingToken::new(version))
    }

    /// Sets the owner of a shard from its record.
    pub(crate) fn set_owner(&mut self, index: usize, record: ShardRecord, version: u64) {
        self.owners[index] = Some(KnownOwner { record, fencing_token: FencingToken::new(version) });
    }
}
