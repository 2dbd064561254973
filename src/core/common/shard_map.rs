//! The shards of all machines, and who owns each, as the watched records say.

use crate::model::{FencingToken, Shard, ShardIndex, shard_of};
use crate::wire::store::ShardRecord;
use std::ops::Index;

/// A shard's record, with its version.
#[derive(Debug, Clone)]
pub struct KnownOwner {
    /// The node and process that own the shard.
    pub record: ShardRecord,
    /// Version of the record, which is the owner's fencing token.
    pub fencing_token: FencingToken,
}

/// All shards. Every node derives the same from the same settings.
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
    /// Shards without an owner yet.
    pub fn new(shards: Vec<Shard>) -> ShardMap {
        ShardMap { owners: vec![None; shards.len()], shards }
    }

    /// The shard with this index.
    pub fn get(&self, index: usize) -> Option<&Shard> {
        self.shards.get(index)
    }

    /// How many shards there are.
    pub fn len(&self) -> usize {
        self.shards.len()
    }

    /// Whether there is no shard.
    pub fn is_empty(&self) -> bool {
        self.shards.is_empty()
    }

    /// All shards in the order of their indices.
    pub fn iter(&self) -> std::slice::Iter<'_, Shard> {
        self.shards.iter()
    }

    /// The shard of a machine.
    pub fn shard_of(&self, zone: &str, machine: &str) -> Option<ShardIndex> {
        shard_of(&self.shards, zone, machine)
    }

    /// Index of the shard with this name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.shards.iter().position(|shard| shard.name == name)
    }

    /// Who owns a shard.
    pub fn owner(&self, index: usize) -> Option<&KnownOwner> {
        self.owners.get(index)?.as_ref()
    }

    /// How many shards a node owns.
    pub fn count_owned_by(&self, node: &str) -> usize {
        self.owners.iter().flatten().filter(|owner| owner.record.node == node).count()
    }

    /// Whether a version of a shard's record is newer than what is known.
    pub(crate) fn is_newer(&self, index: usize, version: u64) -> bool {
        self.owner(index).is_none_or(|owner| owner.fencing_token < FencingToken::new(version))
    }

    /// Takes in a shard's record.
    pub(crate) fn set_owner(&mut self, index: usize, record: ShardRecord, version: u64) {
        self.owners[index] = Some(KnownOwner { record, fencing_token: FencingToken::new(version) });
    }
}
