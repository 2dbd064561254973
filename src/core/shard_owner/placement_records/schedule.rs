//! Schedule of placement records: when each one is written or read back.

use super::allocation::assign_state_record;
use super::record::{OwnedRecord, RecordIndex};
use super::reread::send_reread;
use super::splitting::{must_wait_for_split, split_oversized};
use super::write::send_write;
use crate::core::common::context::NodeContext;
use crate::core::shard_owner::OwnedShard;
use crate::core::shard_owner::machine::{Machine, Machines};
use crate::model::{Ms, ShardIndex, Term};
use rustc_hash::FxHashMap;

/// Share of the store's write rate for urgent writes of all nodes together.
const URGENT_RATE_SHARE: f64 = 0.5;
/// Share of the store's write rate for cleanup writes of all nodes together.
const CLEANUP_RATE_SHARE: f64 = 0.1;
/// Minimum interval between two writes of a record.
const MIN_WRITE_INTERVAL_MS: Ms = 100;
/// Maximum interval between two writes of a record.
const MAX_WRITE_INTERVAL_MS: Ms = 5_000;
/// Lower bound of the write rate from which intervals are computed, in writes per second.
const MIN_WRITE_RATE: f64 = 0.1;
/// Time after which changes that are not urgent are written by themselves, if no other write of the
/// record has included them.
const CLEANUP_DELAY_MS: Ms = 4_000;

/// How soon a change must be written to a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// The change is included in the next write, or in a cleanup write after a delay.
    Deferrable,
    /// The start of a task, the move of an entry or a termination waits for the change.
    Urgent,
}

/// Why a record is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteReason {
    Urgent,
    /// Only to bring the record up to date.
    Cleanup,
}

/// Highest urgency of the pending changes of each record, for all shards.
#[derive(Debug, Default)]
struct PendingChanges {
    urgencies: FxHashMap<(ShardIndex, RecordIndex), Urgency>,
}

impl PendingChanges {
    fn add(&mut self, shard: ShardIndex, record: RecordIndex, urgency: Urgency) {
        let known = self.urgencies.entry((shard, record)).or_insert(urgency);
        *known = urgency.max(*known);
    }

    fn urgency(&self, shard: ShardIndex, record: RecordIndex) -> Option<Urgency> {
        self.urgencies.get(&(shard, record)).copied()
    }

    /// Number of records with urgent changes.
    fn urgent_records(&self) -> usize {
        self.urgencies.values().filter(|urgency| **urgency == Urgency::Urgent).count()
    }

    /// Adds the pending changes of a machine of this shard.
    fn add_machine(
        &mut self,
        context: &NodeContext,
        shard: &mut OwnedShard,
        machine: &mut Machine,
        term: Term,
    ) {
        // Attempts that a former leader admitted must not be recorded.
        if shard.follows_term(term) {
            for attempt in machine.attempts.iter().filter(|attempt| attempt.needs_recording(context)) {
                self.add(shard.index, attempt.record, Urgency::Urgent);
            }
        }
        for target in machine.attempts.iter().filter_map(|attempt| attempt.moving_to) {
            self.add(shard.index, target, Urgency::Urgent);
        }
        if let (Some(_), Some(record)) = (machine.former_state_record, machine.state_record) {
            // The oversized record can't shrink before this record has the row.
            self.add(shard.index, record, Urgency::Urgent);
        }
        if machine.may_record_termination() || machine.is_cordoned != machine.cordoned_recorded {
            let record = assign_state_record(context, shard, machine);
            let is_urgent = machine.may_record_termination();
            let urgency = if is_urgent { Urgency::Urgent } else { Urgency::Deferrable };
            self.add(shard.index, record, urgency);
        }
    }
}

/// Writes the records with pending changes, as far as the rate limit allows, and reads back those
/// whose last write has an unknown outcome. Does nothing while no leader is known.
pub(crate) fn write_due_records(
    context: &mut NodeContext,
    shards: &mut [Option<OwnedShard>],
    machines: &mut Machines,
) {
    let Some(term) = context.leadership.term() else { return };
    if !shards.iter().flatten().any(OwnedShard::is_loaded) {
        return;
    }
    let now = context.clock.now();
    split_oversized_records(context, shards, machines, term);
    let pending = collect_pending(context, shards, machines, term);
    let urgent_records = pending.urgent_records().max(1);
    let urgent_interval_ms = write_interval_ms(context, urgent_records, URGENT_RATE_SHARE);
    for shard in shards.iter_mut().flatten().filter(|shard| shard.is_loaded()) {
        for record in shard.records.indices() {
            if shard.records[record].must_reread(now) {
                send_reread(context, shard, record);
                continue;
            }
            let urgency = pending.urgency(shard.index, record);
            let Some(reason) = due_write(context, shard, machines, record, urgency) else { continue };
            if !context.can_write(1) {
                return;
            }
            shard.records[record].defer_write(now + urgent_interval_ms);
            if reason == WriteReason::Cleanup {
                shard.records.defer_cleanup(now + write_interval_ms(context, 1, CLEANUP_RATE_SHARE));
            }
            send_write(context, shard, machines, record, term);
        }
    }
}

fn split_oversized_records(
    context: &NodeContext,
    shards: &mut [Option<OwnedShard>],
    machines: &mut Machines,
    term: Term,
) {
    let now = context.clock.now();
    for shard in shards.iter_mut().flatten().filter(|shard| shard.is_loaded()) {
        // A leader that is still reading the records would miss an attempt that moves from a record
        // that it has not read yet to one that it has already read.
        if !shard.follows_term(term) {
            continue;
        }
        for record in shard.records.indices() {
            if shard.records[record].is_oversized()
                && must_wait_for_split(context, machines, shard.index, record)
            {
                split_oversized(context, shard, machines, record);
                shard.records[record].defer_write(now + MIN_WRITE_INTERVAL_MS);
            }
        }
    }
}

fn collect_pending(
    context: &NodeContext,
    shards: &mut [Option<OwnedShard>],
    machines: &mut Machines,
    term: Term,
) -> PendingChanges {
    let mut pending = PendingChanges::default();
    for machine in machines.values_mut() {
        let Some(shard) = shards[machine.shard.as_usize()].as_mut() else { continue };
        if shard.is_loaded() && shard.fencing_token == machine.fencing_token {
            pending.add_machine(context, shard, machine, term);
        }
    }
    pending
}

/// Returns the reason for writing this record now, or none if it must not or need not be written.
fn due_write(
    context: &NodeContext,
    shard: &mut OwnedShard,
    machines: &Machines,
    index: RecordIndex,
    urgency: Option<Urgency>,
) -> Option<WriteReason> {
    let now = context.clock.now();
    if !shard.records[index].may_write(now) {
        return None;
    }
    let may_clean_up = shard.records.may_clean_up(now);
    let record = &mut shard.records[index];
    let reason = write_reason(record, urgency, may_clean_up, now)?;
    if record.is_oversized() {
        let follows_leader = context.leadership.term().is_some_and(|term| shard.follows_term(term));
        if !follows_leader || must_wait_for_split(context, machines, shard.index, index) {
            return None;
        }
    }
    Some(reason)
}

/// Returns the reason for writing a record that may be written, or none if it need not be written
/// now. Changes that are not urgent mark the record as outdated.
fn write_reason(
    record: &mut OwnedRecord,
    urgency: Option<Urgency>,
    may_clean_up: bool,
    now: Ms,
) -> Option<WriteReason> {
    let is_cleanup_due = may_clean_up && record.is_outdated_for(CLEANUP_DELAY_MS, now);
    match urgency {
        Some(Urgency::Urgent) => Some(WriteReason::Urgent),
        _ if is_cleanup_due => Some(WriteReason::Cleanup),
        Some(Urgency::Deferrable) => {
            record.mark_outdated(now);
            None
        }
        None => None,
    }
}

/// Interval between two writes of one record if each node writes `records` records and all nodes
/// together use `rate_share` of the store's write rate.
fn write_interval_ms(context: &NodeContext, records: usize, rate_share: f64) -> Ms {
    let nodes = context.platform.peers.len() + 1;
    let rate = (context.platform.cluster.state.write_rps * rate_share).max(MIN_WRITE_RATE);
    let interval_ms = (records * nodes) as f64 * 1000.0 / rate;
    interval_ms.clamp(MIN_WRITE_INTERVAL_MS as f64, MAX_WRITE_INTERVAL_MS as f64) as Ms
}
