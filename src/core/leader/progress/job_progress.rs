//! The progress of one job: which of its completed tasks are recorded in the store.

use super::ProgressSegment;
use crate::model::TaskSet;
use std::collections::{BTreeMap, BTreeSet};

/// A progress record that was read before its job was known.
#[derive(Debug)]
pub struct LoadedSegment {
    /// The segment that the record holds.
    pub segment: ProgressSegment,
    /// Bit set of the completed tasks, as hexadecimal digits.
    pub bits: String,
    /// Version of the record.
    pub version: u64,
}

/// The recorded progress of a job, and the completed tasks that are still to be recorded.
#[derive(Debug)]
pub struct JobProgress {
    /// Tasks that are done according to the records.
    pub(super) recorded: TaskSet,
    /// Tasks that are done but not recorded yet.
    pub(super) unrecorded: Vec<u32>,
    /// Whether a write is in flight, or its outcome is unknown and its segments have not all
    /// been reread yet.
    pub(super) is_write_pending: bool,
    /// Whether a segment whose version is unknown is being reread.
    pub(super) is_rereading: bool,
    /// Version of each record: 0 if the record doesn't exist, `None` if the version is unknown
    /// because the outcome of a write is unknown.
    pub(super) segments: BTreeMap<ProgressSegment, Option<u64>>,
}

impl JobProgress {
    /// Creates the progress of a job with this number of tasks, none of which is done.
    pub fn new(tasks: u32) -> JobProgress {
        JobProgress {
            recorded: TaskSet::with_capacity(tasks),
            unrecorded: Vec::new(),
            is_write_pending: false,
            is_rereading: false,
            segments: BTreeMap::new(),
        }
    }

    /// Whether the success of a task is recorded.
    pub fn is_recorded(&self, task: u32) -> bool {
        self.recorded.contains(task)
    }

    /// Adds a task that is done but not recorded yet.
    pub fn add_unrecorded(&mut self, task: u32) {
        self.unrecorded.push(task);
    }

    /// Adds the tasks that a record marks as done, and stores the record's version.
    pub fn apply_record(&mut self, segment: ProgressSegment, bits: &str, version: u64) {
        self.recorded.add_hex(segment.first_word(), bits);
        self.segments.insert(segment, Some(version));
    }

    /// Returns the segments that have a record, or may have one.
    pub fn into_segments(self) -> BTreeSet<ProgressSegment> {
        self.segments.into_keys().collect()
    }

    /// Removes the segments whose records have been deleted.
    pub fn forget_segments(&mut self, deleted: &[ProgressSegment]) {
        self.segments.retain(|segment, _| !deleted.contains(segment));
    }

    /// Returns a segment whose version is unknown, if there is any.
    pub(super) fn segment_with_unknown_version(&self) -> Option<ProgressSegment> {
        self.segments.iter().find(|(_, version)| version.is_none()).map(|(segment, _)| *segment)
    }

    /// Ends a write or a reread. The write stays pending while the version of any segment is
    /// unknown, so that no further progress of the job is written until then.
    pub(super) fn settle_write(&mut self) {
        self.is_write_pending = self.segment_with_unknown_version().is_some();
    }

    /// Removes tasks from the unrecorded ones that a reread has shown to be recorded.
    pub(super) fn drop_recorded(&mut self) {
        let recorded = &self.recorded;
        self.unrecorded.retain(|task| !recorded.contains(*task));
    }

    /// Removes the tasks of these segments from the unrecorded ones, and returns them in their
    /// order.
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
