//! Placement records: the stored records that list what may be on a shard's machines.
//!
//! The key-value store takes few writes a second, and many tasks start in each, so one
//! record lists the attempts of many machines. All that has gathered for a record goes
//! out in one compare-and-swap, with every compare that it rests on; while that is in
//! flight, or its outcome unknown, the next batch gathers. A record is full when it nears
//! the store's limit; further attempts go to the next, so that the attempts of one
//! machine may be listed by several records. New attempts go to one record of a shard
//! while that has capacity, since each record written costs a write. The gap between two
//! writes of a record widens with the number of records that have something urgent, not
//! with all there are, so that all shard owners together keep within the store's rate.
//!
//! A record that was read may exceed the limit for writes: the limit has fallen, or is
//! about to, and a shard owner of an earlier version wrote the record. Such an oversized
//! record can still be read but not be written again, so its excess is copied to other
//! records first, and it shrinks only once the copies are durable. Each attempt is thus
//! listed by a record at any time, and readers take an attempt that is listed twice as
//! one.
//!
//! - `layout`: sizes of a record and of its parts;
//! - `record`: the state of one record;
//! - `shard_records`: the list of a shard's records;
//! - `allocation`: which record takes an attempt or a machine's own state;
//! - `splitting`: how oversized records shrink;
//! - `schedule`: when which record is written;
//! - `draft`: what goes into a write;
//! - `write`: the write and its outcome;
//! - `reread`: reading a record back after a write of unknown outcome.
//!
//! The rest of the shard owner calls it to reserve capacity for an attempt and at each
//! scan; it never decides what runs where.

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
