//! What of one job's progress is on record.

use super::ProgressSegment;
use crate::model::TaskSet;
use std::collections::{BTreeMap, BTreeSet};

/// A record of progress that has been read before its job was known.
#[derive(Debug)]
pub struct LoadedSegment {
    /// The segment that it is of.
    pub segment: ProgressSegment,
    /// Tasks that are done, as hexadecimal digits.
    pub bits: String,
    /// Version of the record.
    pub version: u64,
}

/// The part of a job's progress that is in records, and that which has still to be.
#[derive(Debug)]
pub struct JobProgress {
    /// Tasks that a record says are done.
    pub(super) recorded: TaskSet,
    /// Tasks that are done and have still to be recorded.
    pub(super) unrecorded: Vec<u32>,
    /// Whether a write has no answer yet, or one that left a segment in doubt.
    pub(super) is_write_pending: bool,
    /// Whether a segment in doubt is being read.
    pub(super) is_rereading: bool,
    /// Version of each record, 0 for one that doesn't exist; `None`: in doubt, since a write
    /// of it has had no answer.
    pub(super) segments: BTreeMap<ProgressSegment, Option<u64>>,
}

impl JobProgress {
    /// The progress of a job with this number of tasks, none of which is done.
    pub fn new(tasks: u32) -> JobProgress {
        JobProgress {
            recorded: TaskSet::with_capacity(tasks),
            unrecorded: Vec::new(),
            is_write_pending: false,
            is_rereading: false,
            segments: BTreeMap::new(),
        }
    }

    /// Whether the success of a task is on record.
    pub fn is_recorded(&self, task: u32) -> bool {
        self.recorded.contains(task)
    }

    /// Notes a task that is done and in no record.
    pub fn add_unrecorded(&mut self, task: u32) {
        self.unrecorded.push(task);
    }

    /// Takes in what a record says.
    pub fn apply_record(&mut self, segment: ProgressSegment, bits: &str, version: u64) {
        self.recorded.add_hex(segment.first_word(), bits);
        self.segments.insert(segment, Some(version));
    }

    /// The segments that have a record, or may have one.
    pub fn into_segments(self) -> BTreeSet<ProgressSegment> {
        self.segments.into_keys().collect()
    }

    /// Forgets the versions of records that have been deleted.
    pub fn forget_segments(&mut self, deleted: &[ProgressSegment]) {
        self.segments.retain(|segment, _| !deleted.contains(segment));
    }

    /// A segment in doubt, if there is any.
    pub(super) fn segment_in_doubt(&self) -> Option<ProgressSegment> {
        self.segments.iter().find(|(_, version)| version.is_none()).map(|(segment, _)| *segment)
    }

    /// Ends a write or a reread. While a segment is in doubt nothing more is written.
    pub(super) fn settle_write(&mut self) {
        self.is_write_pending = self.segment_in_doubt().is_some();
    }

    /// Takes tasks that turned out to be on record out of the unrecorded ones.
    pub(super) fn drop_recorded(&mut self) {
        let recorded = &self.recorded;
        self.unrecorded.retain(|task| !recorded.contains(*task));
    }

    /// Takes the tasks of these segments out of the unrecorded ones, in their order.
    pub(super) fn take_unrecorded(
        &mut self,
        segments: &BTreeSet<ProgressSegment>,
        in_parts: bool,
    ) -> Vec<u32> {
        let unrecorded = std::mem::take(&mut self.unrecorded);
        let (taken, left) = unrecorded
            .into_iter()
            .partition(|task| segments.contains(&ProgressSegment::of(*task, in_parts)));
        self.unrecorded = left;
        taken
    }
}
