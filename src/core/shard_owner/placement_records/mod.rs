//! Placement records: the stored records that list the attempts that may be on a shard's machines.
//!
//! The key-value store accepts few writes per second, while many tasks start per second, so one
//! record lists the attempts of many machines. All pending changes of a record are written as a
//! batch in one compare-and-swap, with every compare that they depend on. While that write is in
//! flight or its outcome is unknown, the next batch accumulates. A record is full when its length
//! approaches the store's limit. Further attempts then go to another record, so the attempts of one
//! machine may be listed by several records. New attempts of a shard go to one open record while it
//! has capacity, since each record that changes costs a write. The interval between two writes of a
//! record increases with the number of records that have urgent changes, not with the number of all
//! records, so that all shard owners together stay within the store's rate limit.
//!
//! A record that has been read may exceed the limit for writes, if the limit has been lowered, or is
//! about to be, and a shard owner of an earlier version wrote the record. Such an oversized record
//! can still be read but not written again. Its excess is therefore copied to other records first,
//! and it shrinks only once the copies are durable. As a result, some record lists each attempt at
//! any time, and readers treat an attempt that is listed twice as one.
//!
//! - `layout`: lengths of a record and of its parts;
//! - `record`: the state of one record;
//! - `shard_records`: the list of a shard's records;
//! - `allocation`: which record lists a new attempt or a machine's own state;
//! - `splitting`: how oversized records shrink;
//! - `schedule`: when each record is written or read back;
//! - `draft`: contents and compares of a write;
//! - `write`: the write and its outcome;
//! - `reread`: reading a record back after a write with an unknown outcome.
//!
//! The rest of the shard owner calls this module to reserve capacity for an attempt and at each
//! scan. The module never decides which tasks run or on which machine.

mod allocation;
mod draft;
mod layout;
mod record;
mod reread;
mod schedule;
mod shard_records;
mod splitting;
mod write;

use crate::core::common::store_keys::PLACEMENT_PREFIX;

pub(super) use allocation::{prepare_open_record, reserve_attempt};
pub(super) use layout::job_row_bytes;
pub(super) use record::{OwnedRecord, RecordIndex};
pub(super) use reread::on_reread_result;
pub(super) use schedule::write_due_records;
pub(super) use shard_records::ShardRecords;
pub(super) use write::RecordWrite;
pub(super) use write::on_write_result;

/// Prefix of the keys of a shard's placement records.
pub(super) fn record_prefix(shard: &str) -> String {
    format!("{PLACEMENT_PREFIX}{shard}/")
}

/// Key of one placement record.
fn record_key(shard: &str, record: RecordIndex) -> String {
    format!("{}{}", record_prefix(shard), record.number())
}
