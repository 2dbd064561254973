//! Writes a placement record and handles the outcome.

use super::draft::RecordDraft;
use super::layout::{MAX_ATTEMPT_BYTES, RECORD_SLACK_BYTES, machine_row_bytes, required_bytes};
use super::record::RecordIndex;
use super::record_key;
use crate::core::common::context::NodeContext;
use crate::core::common::store_keys::{LEADER, shard_key};
use crate::core::shard_owner::attempt::{Attempt, RecordingState};
use crate::core::shard_owner::machine::{Machine, Machines, machines_of, machines_of_mut};
use crate::core::shard_owner::{OwnedShard, ShardOwnerCall};
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::{AttemptId, FencingToken, MachineIndex, Ms, ShardIndex, Term};
use crate::wire::encoded::Encoded;
use crate::wire::store::{Compare, CompareAndSwap, Mutation, RecordedMachine};
use rustc_hash::{FxHashMap, FxHashSet};

/// Delay before a record is written again after a write that was not executed, before jitter.
const NOT_EXECUTED_RETRY_MS: Ms = 200;
/// Delay before a record is written again, or read back, after a conflict, before jitter.
const CONFLICT_RETRY_MS: Ms = 80;
/// Delay before a record that the store rejects as malformed is read back.
const REJECTED_REREAD_MS: Ms = 2_000;
/// Delay before a record is read back after any other failure, before jitter.
const UNKNOWN_REREAD_MS: Ms = 100;

/// A write of a placement record that is in flight.
#[derive(Debug)]
pub(crate) struct RecordWrite {
    /// The shard of the record.
    pub(in crate::core::shard_owner) shard: ShardIndex,
    /// The record.
    pub(super) record: RecordIndex,
    /// Fencing token under which the write was sent.
    fencing_token: FencingToken,
    /// Attempts that this write adds; they may be started once it has been executed.
    pub(super) new_attempts: FxHashSet<AttemptId>,
    /// Attempts that this write copies from oversized records.
    pub(super) moved_attempts: FxHashSet<AttemptId>,
    /// Flags written for the machines whose own state this record holds.
    pub(super) machine_flags: FxHashMap<MachineIndex, u8>,
}

impl RecordWrite {
    fn new(shard: &OwnedShard, record: RecordIndex) -> RecordWrite {
        RecordWrite {
            shard: shard.index,
            record,
            fencing_token: shard.fencing_token,
            new_attempts: FxHashSet::default(),
            moved_attempts: FxHashSet::default(),
            machine_flags: FxHashMap::default(),
        }
    }
}

/// Writes the current contents of one record, with the compares that its new entries require.
pub(super) fn send_write(
    context: &mut NodeContext,
    shard: &mut OwnedShard,
    machines: &mut Machines,
    record: RecordIndex,
    term: Term,
) {
    let draft = draft_record(context, shard, machines, record, term);
    let value = Encoded::new(&draft.content);
    let waiting = pending_bytes(context, machines, &draft.write);
    let reserved_bytes = value.len() + RECORD_SLACK_BYTES + waiting;
    let jobs = draft.job_rows.into_keys().collect();
    shard.records[record].on_write_sent(reserved_bytes, jobs);
    let key = record_key(&context.shards[shard.index.as_usize()].name, record);
    let request = CompareAndSwap {
        compares: draft.compares,
        mutations: vec![Mutation::Put { key, value, lease: None }],
    };
    context.send_store_request(
        StoreCallOwner::ShardOwner(ShardOwnerCall::Write(draft.write)),
        StoreRequest::CompareAndSwap(request),
    );
}

fn draft_record(
    context: &NodeContext,
    shard: &OwnedShard,
    machines: &mut Machines,
    record: RecordIndex,
    term: Term,
) -> RecordDraft {
    let shard_name = &context.shards[shard.index.as_usize()].name;
    let version = shard.records[record].version();
    let compares = vec![
        Compare { key: LEADER.into(), version: term.number() },
        Compare { key: shard_key(shard_name), version: shard.fencing_token.number() },
        Compare { key: record_key(shard_name, record), version },
    ];
    let base = smallest_attempt_id(machines, shard.index, record);
    let bytes = required_bytes(machines, shard.index, record, base);
    // Attempts that a former leader admitted must not be recorded.
    let accepts_new_attempts = shard.follows_term(term);
    let write = RecordWrite::new(shard, record);
    let mut draft = RecordDraft::new(write, compares, base, bytes, accepts_new_attempts);
    for (index, machine) in machines.iter_mut().filter(|(_, machine)| machine.shard == shard.index) {
        draft.add_machine(context, index, machine);
    }
    draft
}

/// Smallest id of the attempts that belong to the record or move there; 0 if there are none.
fn smallest_attempt_id(machines: &Machines, shard: ShardIndex, record: RecordIndex) -> u64 {
    let belongs_here =
        |attempt: &&Attempt| attempt.record == record || attempt.moving_to == Some(record);
    machines_of(machines, shard)
        .flat_map(|machine| machine.attempts.iter().filter(belongs_here))
        .map(|attempt| attempt.id.number())
        .min()
        .unwrap_or(0)
}

/// Upper bound of the length of entries that belong in the record but for which this write had no
/// compare or capacity left. They still need reserved capacity.
fn pending_bytes(context: &NodeContext, machines: &Machines, write: &RecordWrite) -> usize {
    let is_waiting = |attempt: &&Attempt| {
        let waits_for_record = attempt.record == write.record
            && attempt.needs_recording(context)
            && !write.new_attempts.contains(&attempt.id);
        let waits_for_move =
            attempt.moving_to == Some(write.record) && !write.moved_attempts.contains(&attempt.id);
        waits_for_record || waits_for_move
    };
    let machine_bytes = |machine: &Machine| {
        let waiting = machine.attempts.iter().filter(is_waiting).count();
        waiting * (MAX_ATTEMPT_BYTES + machine_row_bytes(&machine.name))
    };
    machines_of(machines, write.shard).map(machine_bytes).sum()
}

/// Handles the outcome of a write. The outcome is ignored if the write was sent under an earlier
/// fencing token.
pub(crate) fn on_write_result(
    context: &mut NodeContext,
    shard: &mut OwnedShard,
    machines: &mut Machines,
    write: RecordWrite,
    result: StoreResponse,
) {
    if shard.fencing_token != write.fencing_token {
        return;
    }
    let Some(record) = shard.records.get_mut(write.record) else { return };
    let now = context.clock.now();
    match result {
        StoreResponse::Committed { revision } => {
            record.on_committed(revision);
            on_committed(shard, machines, &write, Commit { revision, at: now });
        }
        StoreResponse::NotExecuted => {
            mark_new_attempts_unrecorded(machines, &write);
            record.on_not_executed(now, now + context.jitter(NOT_EXECUTED_RETRY_MS));
        }
        StoreResponse::Conflict(keys) => {
            mark_new_attempts_unrecorded(machines, &write);
            let retry_at = now + context.jitter(CONFLICT_RETRY_MS);
            let key = record_key(&context.shards[write.shard.as_usize()].name, write.record);
            if keys.contains(&key) {
                record.on_outcome_unknown(now, retry_at);
            } else {
                record.on_not_executed(now, retry_at);
            }
        }
        StoreResponse::Malformed => {
            // The record is longer than the store accepts, although it is within the configured
            // limit. It must not be written again unchanged.
            let key = record_key(&context.shards[write.shard.as_usize()].name, write.record);
            tracing::error!(
                key,
                "store rejected placement record; moving its contents to other records"
            );
            record.on_rejected(now + REJECTED_REREAD_MS);
        }
        _ => record.on_outcome_unknown(now, now + context.jitter(UNKNOWN_REREAD_MS)),
    }
}

/// Marks the new attempts of a write that was certainly not executed as unrecorded. If they remained
/// in [`RecordingState::WriteSent`], a later write would include them without comparing their jobs
/// and the leader that admitted them. If the response to that write were lost, reading the record
/// back would then wrongly allow them to be started.
fn mark_new_attempts_unrecorded(machines: &mut Machines, write: &RecordWrite) {
    for machine in machines_of_mut(machines, write.shard) {
        let sent = |attempt: &&mut Attempt| write.new_attempts.contains(&attempt.id);
        machine.attempts.iter_mut().filter(sent).for_each(Attempt::on_write_not_executed);
    }
}

/// The commit of a write that was executed.
#[derive(Debug, Clone, Copy)]
struct Commit {
    revision: u64,
    at: Ms,
}

fn on_committed(shard: &mut OwnedShard, machines: &mut Machines, write: &RecordWrite, commit: Commit) {
    shard.has_unreported_changes = true;
    let mut outdated = Vec::new();
    let mut finished_moves = 0;
    for (index, machine) in machines.iter_mut().filter(|(_, machine)| machine.shard == write.shard) {
        mark_recorded_attempts(machine, write, commit);
        let vacated_records = finish_moves(machine, write);
        finished_moves += vacated_records.len();
        outdated.extend(vacated_records);
        if machine.state_record == Some(write.record) {
            let flags = write.machine_flags.get(&index).copied();
            outdated.extend(update_recorded_state(machine, flags));
        }
    }
    if finished_moves < write.moved_attempts.len() {
        // Some of the moved attempts were dropped in the meantime, so this record lists them
        // needlessly.
        outdated.push(write.record);
    }
    shard.records.mark_outdated(outdated, commit.at);
}

fn mark_recorded_attempts(machine: &mut Machine, write: &RecordWrite, commit: Commit) {
    for attempt in &mut machine.attempts {
        if attempt.record == write.record && write.new_attempts.contains(&attempt.id) {
            attempt.recording = RecordingState::Recorded;
            attempt.recorded_at = Some(commit.at);
            attempt.recorded_revision = Some(commit.revision);
        }
    }
}

/// Completes the moves of the machine's attempts to the written record. Returns the records that
/// listed them before.
fn finish_moves(machine: &mut Machine, write: &RecordWrite) -> Vec<RecordIndex> {
    let mut vacated_records = Vec::new();
    for attempt in &mut machine.attempts {
        let has_moved = attempt.record != write.record
            && attempt.moving_to == Some(write.record)
            && write.moved_attempts.contains(&attempt.id);
        if has_moved {
            vacated_records.push(attempt.record);
            attempt.finish_move(write.record);
        }
    }
    vacated_records
}

/// Updates the recorded state of a machine from the flags of an executed write. Returns the oversized
/// record that held the row before, if that may drop the row now.
fn update_recorded_state(machine: &mut Machine, flags: Option<u8>) -> Option<RecordIndex> {
    // A write that was sent before the row moved to this record does not contain it.
    let may_drop_former = flags.is_some() || !machine.has_recorded_state();
    let former = if may_drop_former { machine.former_state_record.take() } else { None };
    let flags = flags.unwrap_or(0);
    machine.state_row_reserved = false;
    machine.cordoned_recorded = flags & RecordedMachine::CORDONED != 0;
    machine.terminating_recorded |= flags & RecordedMachine::TERMINATING != 0;
    former
}
