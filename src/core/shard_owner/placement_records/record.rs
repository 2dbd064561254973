//! The state of one placement record.
//!
//! Each record has a small state machine. Every write has one of three outcomes: executed, certainly
//! not executed, or unknown. After an unknown outcome the record is read back before any decision
//! may depend on it.
//!
//! ```text
//! Idle --write--> WriteInFlight --executed, not executed--> Idle
//!                 WriteInFlight --outcome unknown--> OutcomeUnknown
//! OutcomeUnknown --reread--> RereadInFlight --read--> Idle
//!                            RereadInFlight --failed--> OutcomeUnknown
//! ```

use super::layout::{RECORD_SLACK_BYTES, max_record_bytes};
use crate::core::common::context::NodeContext;
use crate::model::{JobIndex, Ms};
use rustc_hash::FxHashSet;

/// Number of a placement record within its shard, as in its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RecordIndex(u32);

impl RecordIndex {
    /// The record with this number.
    pub(crate) const fn new(number: u32) -> RecordIndex {
        RecordIndex(number)
    }

    /// Number of the record, as in its key.
    pub(crate) const fn number(self) -> u32 {
        self.0
    }

    /// Position of the record in a list of all records of the shard.
    pub(crate) const fn as_usize(self) -> usize {
        self.0 as usize
    }

    /// The record at a position in a list of all records of the shard.
    pub(crate) const fn from_usize(position: usize) -> RecordIndex {
        RecordIndex(position as u32)
    }
}

/// State of the store calls for a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallState {
    /// No call is in flight and the version of the record is known.
    Idle {
        /// Earliest time of the next write.
        retry_at: Ms,
    },
    /// A write is in flight.
    WriteInFlight,
    /// The outcome of the last write is unknown. No decision may depend on it until the record has
    /// been read back.
    OutcomeUnknown {
        /// Earliest time of the read.
        reread_at: Ms,
    },
    /// The record is being read back.
    RereadInFlight,
}

impl CallState {
    /// No call is in flight, and the next one may be sent at once.
    const READY: CallState = CallState::Idle { retry_at: 0 };
}

/// One placement record of an owned shard.
#[derive(Debug)]
pub(crate) struct OwnedRecord {
    /// Version of the stored record; 0 if it does not exist yet.
    version: u64,
    call: CallState,
    /// Earliest time of the next write, so that all writes together stay within the rate limit.
    next_write_at: Ms,
    /// Time since which the stored record has listed entries that are gone, or lacked changes that
    /// are not urgent.
    outdated_since: Option<Ms>,
    /// Upper bound of the record's length, including all pending changes, in bytes.
    reserved_bytes: usize,
    /// Jobs whose rows are part of `reserved_bytes`.
    jobs: FxHashSet<JobIndex>,
    /// Whether the stored record is too long to be written again.
    is_oversized: bool,
}

impl OwnedRecord {
    /// A record that does not exist yet.
    pub(crate) fn new() -> OwnedRecord {
        OwnedRecord {
            version: 0,
            call: CallState::READY,
            next_write_at: 0,
            outdated_since: None,
            reserved_bytes: RECORD_SLACK_BYTES,
            jobs: FxHashSet::default(),
            is_oversized: false,
        }
    }

    /// A record that has been read; `bytes` is the length of its value.
    pub(crate) fn loaded(context: &NodeContext, version: u64, bytes: usize) -> OwnedRecord {
        OwnedRecord {
            version,
            reserved_bytes: RECORD_SLACK_BYTES + bytes,
            is_oversized: bytes > max_record_bytes(context),
            ..OwnedRecord::new()
        }
    }

    /// Version of the stored record; 0 if it does not exist yet.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Whether the stored record is too long to be written again.
    pub(super) fn is_oversized(&self) -> bool {
        self.is_oversized
    }

    // ---- capacity ----

    /// Upper bound of the record's length, including all pending changes, in bytes.
    pub(super) fn reserved_bytes(&self) -> usize {
        self.reserved_bytes
    }

    /// Whether a row of the job is part of the reserved capacity.
    pub(super) fn has_job(&self, job: JobIndex) -> bool {
        self.jobs.contains(&job)
    }

    /// Reserves capacity.
    pub(super) fn reserve(&mut self, bytes: usize) {
        self.reserved_bytes += bytes;
    }

    /// Adds the job to those whose rows are part of the reserved capacity. Returns false if it was
    /// one of them already.
    pub(super) fn insert_job(&mut self, job: JobIndex) -> bool {
        self.jobs.insert(job)
    }

    /// Replaces the reserved capacity by newly computed values.
    pub(super) fn set_reserved(&mut self, bytes: usize, jobs: FxHashSet<JobIndex>) {
        self.reserved_bytes = bytes;
        self.jobs = jobs;
    }

    // ---- when to write and to read back ----

    /// Whether a call is in flight, or the record must be read back before it may be written.
    pub(super) fn is_busy(&self) -> bool {
        !matches!(self.call, CallState::Idle { .. })
    }

    /// Whether the record must be read back now.
    pub(super) fn must_reread(&self, now: Ms) -> bool {
        matches!(self.call, CallState::OutcomeUnknown { reread_at } if now >= reread_at)
    }

    /// Whether the record may be written now.
    pub(super) fn may_write(&self, now: Ms) -> bool {
        let is_ready = matches!(self.call, CallState::Idle { retry_at } if now >= retry_at);
        is_ready && now >= self.next_write_at
    }

    /// Defers the next write until this time.
    pub(super) fn defer_write(&mut self, until: Ms) {
        self.next_write_at = until;
    }

    /// Marks the stored record as listing entries that are gone, or lacking changes that are not
    /// urgent.
    pub(super) fn mark_outdated(&mut self, now: Ms) {
        self.outdated_since.get_or_insert(now);
    }

    /// Whether the stored record has been outdated for longer than `duration`.
    pub(super) fn is_outdated_for(&self, duration: Ms, now: Ms) -> bool {
        self.outdated_since.is_some_and(|since| since + duration < now)
    }

    // ---- transitions ----

    /// Handles that a write has been sent. The reserved capacity covers the written contents and the
    /// changes that are still pending.
    pub(super) fn on_write_sent(&mut self, reserved_bytes: usize, jobs: FxHashSet<JobIndex>) {
        self.call = CallState::WriteInFlight;
        self.outdated_since = None;
        self.set_reserved(reserved_bytes, jobs);
    }

    /// Handles that the write was executed.
    pub(super) fn on_committed(&mut self, version: u64) {
        self.call = CallState::READY;
        self.version = version;
        self.is_oversized = false;
    }

    /// Handles that the write was certainly not executed. The known version may still be correct.
    pub(super) fn on_not_executed(&mut self, now: Ms, retry_at: Ms) {
        self.call = CallState::Idle { retry_at };
        self.mark_outdated(now);
    }

    /// Handles that it is unknown whether the write was executed, or which version the record has.
    pub(super) fn on_outcome_unknown(&mut self, now: Ms, reread_at: Ms) {
        self.call = CallState::OutcomeUnknown { reread_at };
        self.mark_outdated(now);
    }

    /// Handles that the store rejects the record as too long, although it is within the configured
    /// limit.
    pub(super) fn on_rejected(&mut self, reread_at: Ms) {
        self.call = CallState::OutcomeUnknown { reread_at };
        self.is_oversized = true;
    }

    /// Handles that a read has been sent.
    pub(super) fn on_reread_sent(&mut self) {
        self.call = CallState::RereadInFlight;
    }

    /// Handles that the record has been read back; `bytes` is the length of its value.
    pub(super) fn on_reread(&mut self, context: &NodeContext, version: u64, bytes: usize) {
        self.call = CallState::READY;
        self.version = version;
        self.mark_outdated(context.clock.now());
        self.is_oversized |= bytes > max_record_bytes(context);
    }

    /// Handles that the read found no record.
    pub(super) fn on_reread_missing(&mut self) {
        self.call = CallState::READY;
        self.version = 0;
    }

    /// Handles that the read failed or the record could not be decoded.
    pub(super) fn on_reread_failed(&mut self, reread_at: Ms) {
        self.call = CallState::OutcomeUnknown { reread_at };
    }
}
