//! The state of one placement record.
//!
//! A record goes round a small state machine. Every write ends in one of three ways:
//! executed, certainly not executed, or with an unknown outcome. After the last the
//! record is read back before anything may rest on it.
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

/// Number of a placement record within its shard, as its key has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct RecordIndex(u32);

impl RecordIndex {
    /// The record with this number.
    pub(crate) const fn new(number: u32) -> RecordIndex {
        RecordIndex(number)
    }

    /// Its number.
    pub(crate) const fn number(self) -> u32 {
        self.0
    }

    /// Its place in a list of all records of the shard.
    pub(crate) const fn place(self) -> usize {
        self.0 as usize
    }

    /// The record at a place in a list of all records of the shard.
    pub(crate) const fn at(place: usize) -> RecordIndex {
        RecordIndex(place as u32)
    }
}

/// What the store is asked for a record, or was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallState {
    /// No call is under way and the version of the record is known.
    Idle {
        /// Not written again before this time.
        retry_at: Ms,
    },
    /// A write is under way.
    WriteInFlight,
    /// The outcome of the last write is unknown; nothing may rest on it before the record
    /// has been read back.
    OutcomeUnknown {
        /// Not read back before this time.
        reread_at: Ms,
    },
    /// The record is being read back.
    RereadInFlight,
}

impl CallState {
    /// No call is under way, and the next may follow at once.
    const READY: CallState = CallState::Idle { retry_at: 0 };
}

/// One placement record of an owned shard.
#[derive(Debug)]
pub(crate) struct OwnedRecord {
    /// Version of the stored record; 0: it does not exist yet.
    version: u64,
    call: CallState,
    /// No write before this time, so that all writes together keep within their rate.
    next_write_at: Ms,
    /// Since when the stored record lists what is gone, or lacks what is not urgent.
    outdated_since: Option<Ms>,
    /// Upper bound of its length with all that waits to be written, in bytes.
    reserved_bytes: usize,
    /// Jobs whose rows are part of `reserved_bytes`.
    jobs: FxHashSet<JobIndex>,
    /// The stored record is longer than a write may be.
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

    /// A record that was read, with the length of its value.
    pub(crate) fn loaded(context: &NodeContext, version: u64, bytes: usize) -> OwnedRecord {
        OwnedRecord {
            version,
            reserved_bytes: RECORD_SLACK_BYTES + bytes,
            is_oversized: bytes > max_record_bytes(context),
            ..OwnedRecord::new()
        }
    }

    /// Version of the stored record; 0: it does not exist yet.
    pub(super) fn version(&self) -> u64 {
        self.version
    }

    /// Whether the stored record is longer than a write may be.
    pub(super) fn is_oversized(&self) -> bool {
        self.is_oversized
    }

    // ---- capacity ----

    /// Upper bound of its length with all that waits to be written.
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

    /// Notes that the row of the job is part of the reserved capacity; whether it was not
    /// before.
    pub(super) fn insert_job(&mut self, job: JobIndex) -> bool {
        self.jobs.insert(job)
    }

    /// Replaces what is reserved by what was counted anew.
    pub(super) fn set_reserved(&mut self, bytes: usize, jobs: FxHashSet<JobIndex>) {
        self.reserved_bytes = bytes;
        self.jobs = jobs;
    }

    // ---- when to write and to read back ----

    /// Whether a call is under way or to be made before the record may be written.
    pub(super) fn is_busy(&self) -> bool {
        !matches!(self.call, CallState::Idle { .. })
    }

    /// Whether it is to be read back now.
    pub(super) fn must_reread(&self, now: Ms) -> bool {
        matches!(self.call, CallState::OutcomeUnknown { reread_at } if now >= reread_at)
    }

    /// Whether it may be written now.
    pub(super) fn may_write(&self, now: Ms) -> bool {
        let is_ready = matches!(self.call, CallState::Idle { retry_at } if now >= retry_at);
        is_ready && now >= self.next_write_at
    }

    /// Lets no write go out before this time.
    pub(super) fn defer_write(&mut self, until: Ms) {
        self.next_write_at = until;
    }

    /// Notes that the stored record lists what is gone, or lacks what is not urgent.
    pub(super) fn mark_outdated(&mut self, now: Ms) {
        self.outdated_since.get_or_insert(now);
    }

    /// Whether it has been outdated for longer than this time.
    pub(super) fn is_outdated_for(&self, duration: Ms, now: Ms) -> bool {
        self.outdated_since.is_some_and(|since| since + duration < now)
    }

    // ---- transitions ----

    /// A write has been sent. What is reserved is what it writes and what still waits.
    pub(super) fn on_write_sent(&mut self, reserved_bytes: usize, jobs: FxHashSet<JobIndex>) {
        self.call = CallState::WriteInFlight;
        self.outdated_since = None;
        self.set_reserved(reserved_bytes, jobs);
    }

    /// The write was executed.
    pub(super) fn on_committed(&mut self, version: u64) {
        self.call = CallState::READY;
        self.version = version;
        self.is_oversized = false;
    }

    /// The write was certainly not executed, and the known version may still be right.
    pub(super) fn on_not_executed(&mut self, now: Ms, retry_at: Ms) {
        self.call = CallState::Idle { retry_at };
        self.mark_outdated(now);
    }

    /// It is unknown whether the write was executed, or which version the record has.
    pub(super) fn on_outcome_unknown(&mut self, now: Ms, reread_at: Ms) {
        self.call = CallState::OutcomeUnknown { reread_at };
        self.mark_outdated(now);
    }

    /// The store rejects the record as too long, whatever the settings say.
    pub(super) fn on_rejected(&mut self, reread_at: Ms) {
        self.call = CallState::OutcomeUnknown { reread_at };
        self.is_oversized = true;
    }

    /// A read has been sent.
    pub(super) fn on_reread_sent(&mut self) {
        self.call = CallState::RereadInFlight;
    }

    /// The record was read back.
    pub(super) fn on_reread(&mut self, context: &NodeContext, version: u64, bytes: usize) {
        self.call = CallState::READY;
        self.version = version;
        self.mark_outdated(context.clock.now());
        self.is_oversized |= bytes > max_record_bytes(context);
    }

    /// The read found no record.
    pub(super) fn on_reread_missing(&mut self) {
        self.call = CallState::READY;
        self.version = 0;
    }

    /// The read failed, or the record could not be decoded.
    pub(super) fn on_reread_failed(&mut self, reread_at: Ms) {
        self.call = CallState::OutcomeUnknown { reread_at };
    }
}
