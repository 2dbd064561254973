//! The list of a shard's placement records.

use super::record::{OwnedRecord, RecordIndex};
use crate::model::Ms;
use std::ops::{Index, IndexMut};

/// All placement records of a shard.
#[derive(Debug)]
pub(crate) struct ShardRecords {
    records: Vec<OwnedRecord>,
    /// The record that takes new attempts.
    open: RecordIndex,
    /// No record is written before this time only to bring it up to date.
    next_cleanup_at: Ms,
}

impl Default for ShardRecords {
    fn default() -> ShardRecords {
        ShardRecords { records: Vec::new(), open: RecordIndex::new(0), next_cleanup_at: 0 }
    }
}

impl ShardRecords {
    /// The record, if there is one with this number.
    pub(super) fn get(&self, index: RecordIndex) -> Option<&OwnedRecord> {
        self.records.get(index.place())
    }

    /// The record, to be changed, if there is one with this number.
    pub(super) fn get_mut(&mut self, index: RecordIndex) -> Option<&mut OwnedRecord> {
        self.records.get_mut(index.place())
    }

    /// Number of records.
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// The numbers of all records.
    pub(super) fn indices(&self) -> impl Iterator<Item = RecordIndex> + use<> {
        (0..self.records.len()).map(RecordIndex::at)
    }

    /// Puts a record that was read in its place.
    pub(crate) fn insert_loaded(&mut self, index: RecordIndex, record: OwnedRecord) {
        while self.records.len() <= index.place() {
            self.records.push(OwnedRecord::new());
        }
        self[index] = record;
    }

    /// Adds a record that does not exist yet.
    pub(super) fn add(&mut self) -> RecordIndex {
        self.records.push(OwnedRecord::new());
        RecordIndex::at(self.records.len() - 1)
    }

    /// The preferred record if it meets the condition, else the first that does, else a
    /// new one.
    pub(super) fn find_or_add(
        &mut self,
        preferred: Option<RecordIndex>,
        condition: impl Fn(&OwnedRecord) -> bool,
    ) -> RecordIndex {
        let preferred = preferred.filter(|index| self.get(*index).is_some_and(&condition));
        preferred
            .or_else(|| self.records.iter().position(&condition).map(RecordIndex::at))
            .unwrap_or_else(|| self.add())
    }

    /// The record that takes new attempts; it may not exist yet.
    pub(super) fn open(&self) -> RecordIndex {
        self.open
    }

    /// Has this record take new attempts from now on.
    pub(super) fn set_open(&mut self, index: RecordIndex) {
        self.open = index;
    }

    /// Whether a record may be written now only to bring it up to date.
    pub(super) fn may_clean_up(&self, now: Ms) -> bool {
        now >= self.next_cleanup_at
    }

    /// Lets no record be written before this time only to bring it up to date.
    pub(super) fn defer_cleanup(&mut self, until: Ms) {
        self.next_cleanup_at = until;
    }

    /// Marks records whose stored form lists what is gone.
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
        &self.records[index.place()]
    }
}

impl IndexMut<RecordIndex> for ShardRecords {
    fn index_mut(&mut self, index: RecordIndex) -> &mut OwnedRecord {
        &mut self.records[index.place()]
    }
}
