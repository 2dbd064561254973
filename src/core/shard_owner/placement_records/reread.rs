//! Reads a placement record back after a write with an unknown outcome.

use super::record::RecordIndex;
use super::record_key;
use crate::core::common::context::NodeContext;
use crate::core::shard_owner::attempt::{Attempt, RecordingState};
use crate::core::shard_owner::machine::{Machine, Machines, machines_of_mut};
use crate::core::shard_owner::{OwnedShard, ShardOwnerCall};
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{AttemptId, Ms};
use crate::wire::store::{KeyValue, PlacementRecord, RecordedMachine};
use rustc_hash::FxHashMap;

/// Delay before a record that could not be decoded is read again.
const UNREADABLE_RETRY_MS: Ms = 2_000;
/// Delay before a record is read again after a failed read, before jitter.
const FAILED_RETRY_MS: Ms = 300;

/// Sends a read of one record.
pub(super) fn send_reread(context: &mut NodeContext, shard: &mut OwnedShard, record: RecordIndex) {
    shard.records[record].on_reread_sent();
    let call = ShardOwnerCall::Reread { shard: shard.index, record, fencing_token: shard.fencing_token };
    let key = record_key(&context.shards[shard.index.as_usize()].name, record);
    context.send_store_request(StoreCallOwner::ShardOwner(call), StoreRequest::Get(key));
}

/// Handles the response to the read of a record.
pub(crate) fn on_reread_result(
    context: &mut NodeContext,
    shard: &mut OwnedShard,
    machines: &mut Machines,
    index: RecordIndex,
    result: StoreResponse,
) {
    let Some(record) = shard.records.get_mut(index) else { return };
    match result {
        StoreResponse::KeyValue(item) => on_found(context, shard, machines, index, &item),
        StoreResponse::NotFound => {
            record.on_reread_missing();
            for machine in machines_of_mut(machines, shard.index) {
                let of_record = |attempt: &&mut Attempt| attempt.record == index;
                machine.attempts.iter_mut().filter(of_record).for_each(Attempt::on_write_not_executed);
            }
        }
        _ => record.on_reread_failed(context.clock.now() + context.jitter(FAILED_RETRY_MS)),
    }
}

fn on_found(
    context: &NodeContext,
    shard: &mut OwnedShard,
    machines: &mut Machines,
    index: RecordIndex,
    item: &KeyValue,
) {
    let now = context.clock.now();
    let Ok(content) = item.value.decode::<PlacementRecord>() else {
        tracing::error!(key = item.key, "unreadable placement record");
        shard.records[index].on_reread_failed(now + UNREADABLE_RETRY_MS);
        return;
    };
    shard.records[index].on_reread(context, item.version, item.value.len());
    let rows: FxHashMap<&str, &RecordedMachine> =
        content.machines.iter().map(|row| (row.name(), row)).collect();
    let mut outdated = Vec::new();
    for machine in machines_of_mut(machines, shard.index) {
        let row = rows.get(machine.name.as_str()).copied();
        if machine.state_record == Some(index) {
            outdated.extend(apply_stored_state(machine, row));
        }
        outdated.extend(apply_stored_attempts(machine, index, row, content.base));
    }
    shard.records.mark_outdated(outdated, now);
    shard.has_unreported_changes = true;
}

/// Updates the recorded state of a machine from its row in the stored record. Returns the oversized
/// record that held the row before, if that may drop the row now.
fn apply_stored_state(machine: &mut Machine, row: Option<&RecordedMachine>) -> Option<RecordIndex> {
    let shows = |flags: u8| row.is_some_and(|row| row.has_any_flag(flags));
    machine.cordoned_recorded = shows(RecordedMachine::CORDONED);
    machine.terminating_recorded |= shows(RecordedMachine::TERMINATING);
    let may_drop_former =
        shows(RecordedMachine::CORDONED | RecordedMachine::TERMINATING) || !machine.has_recorded_state();
    if may_drop_former { machine.former_state_record.take() } else { None }
}

/// Updates which of the machine's attempts are recorded from its row in the stored record. Returns
/// the records from which attempts have moved here.
fn apply_stored_attempts(
    machine: &mut Machine,
    index: RecordIndex,
    row: Option<&RecordedMachine>,
    base: u64,
) -> Vec<RecordIndex> {
    let is_listed = |id: AttemptId| {
        row.is_some_and(|row| row.attempts(base).any(|listed| listed.attempt == id.number()))
    };
    let mut vacated_records = Vec::new();
    for attempt in &mut machine.attempts {
        if attempt.record == index {
            // Only a write with the compares for this attempt adds it, so the stored entry met its
            // preconditions when it was written.
            if is_listed(attempt.id) {
                attempt.recording = RecordingState::Recorded;
            } else {
                attempt.on_write_not_executed();
            }
        } else if attempt.moving_to == Some(index) && is_listed(attempt.id) {
            vacated_records.push(attempt.record);
            attempt.finish_move(index);
        }
    }
    vacated_records
}
