//! The list of a shard's placement records.

use super::record::{OwnedRecord, RecordIndex};
use crate::model::Ms;
use std::ops::{Index, IndexMut};

/// All placement records of a shard.
#[derive(Debug)]
pub(crate) struct ShardRecords {
    records: Vec<OwnedRecord>,
    /// The record that receives new attempts.
    open: RecordIndex,
    /// Earliest time of the next cleanup write, which only brings a record up to date.
    next_cleanup_at: Ms,
}

impl Default for ShardRecords {
    fn default() -> ShardRecords {
        ShardRecords { records: Vec::new(), open: RecordIndex::new(0), next_cleanup_at: 0 }
    }
}

impl ShardRecords {
    /// The record with this number, if there is one.
    pub(super) fn get(&self, index: RecordIndex) -> Option<&OwnedRecord> {
        self.records.get(index.as_usize())
    }

    /// The record with this number, mutably, if there is one.
    pub(super) fn get_mut(&mut self, index: RecordIndex) -> Option<&mut OwnedRecord> {
        self.records.get_mut(index.as_usize())
    }

    /// Number of records.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// The numbers of all records.
    pub(super) fn indices(&self) -> impl Iterator<Item = RecordIndex> + use<> {
        (0..self.records.len()).map(RecordIndex::from_usize)
    }

    /// Inserts a record that has been read, and adds records that don't exist yet for missing lower
    /// numbers.
    pub(crate) fn insert_loaded(&mut self, index: RecordIndex, record: OwnedRecord) {
        while self.records.len() <= index.as_usize() {
            self.records.push(OwnedRecord::new());
        }
        self[index] = record;
    }

    /// Adds a record that does not exist in the store yet.
    pub(super) fn add(&mut self) -> RecordIndex {
        self.records.push(OwnedRecord::new());
        RecordIndex::from_usize(self.records.len() - 1)
    }

    /// Returns the preferred record if it meets the condition, otherwise the first record that does,
    /// otherwise a new one.
    pub(super) fn find_or_add(
        &mut self,
        preferred: Option<RecordIndex>,
        condition: impl Fn(&OwnedRecord) -> bool,
    ) -> RecordIndex {
        let preferred = preferred.filter(|index| self.get(*index).is_some_and(&condition));
        preferred
            .or_else(|| self.records.iter().position(&condition).map(RecordIndex::from_usize))
            .unwrap_or_else(|| self.add())
    }

    /// The record that receives new attempts; it may not exist yet.
    pub(super) fn open(&self) -> RecordIndex {
        self.open
    }

    /// Makes this record the one that receives new attempts.
    pub(super) fn set_open(&mut self, index: RecordIndex) {
        self.open = index;
    }

    /// Whether a cleanup write, which only brings a record up to date, may be sent now.
    pub(super) fn may_clean_up(&self, now: Ms) -> bool {
        now >= self.next_cleanup_at
    }

    /// Defers the next cleanup write until this time.
    pub(super) fn defer_cleanup(&mut self, until: Ms) {
        self.next_cleanup_at = until;
    }

    /// Marks records as outdated because their stored form lists entries that are gone.
    pub(crate) fn mark_outdated(&mut self, records: impl IntoIterator<Item = RecordIndex>, now: Ms) {
        for index in records {
            if let Some(record) = self.get_mut(index) {
                record.mark_outdated(now);
            }
        }
    }
}

impl Index<RecordIndex> for ShardRecords {
    type Output = OwnedRecord;

    fn index(&self, index: RecordIndex) -> &OwnedRecord {
        &self.records[index.as_usize()]
    }
}

impl IndexMut<RecordIndex> for ShardRecords {
    fn index_mut(&mut self, index: RecordIndex) -> &mut OwnedRecord {
        &mut self.records[index.as_usize()]
    }
}
