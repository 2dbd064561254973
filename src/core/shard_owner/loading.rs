//! Loads a shard's placement records after this node has become its owner.

use super::attempt::{Attempt, RecordingState};
use super::machine::{Machine, machines_of};
use super::owned_shard::{LoadState, OwnedShard};
use super::placement_records::{self, OwnedRecord, RecordIndex};
use super::{ShardOwner, reconciliation, request_record_page};
use crate::core::StoreResponse;
use crate::core::common::context::NodeContext;
use crate::model::{AttemptId, FencingToken, Ms, ShardIndex};
use crate::wire::store::{KeyValue, PlacementRecord, RecordedAttempt, RecordedJob, RecordedMachine};
use woadlever_recovery::attempt::AttemptPhase;

/// Delay before the records are read again after a failed read, before jitter.
const LOAD_RETRY_MS: Ms = 300;
/// Exclusive upper bound of placement record numbers. A key with a larger number was not written
/// by a shard owner; its record is skipped.
const MAX_RECORDS: u32 = 100_000;

impl ShardOwner {
    /// Handles the response to a page read. After the last page the shard is loaded.
    pub(super) fn on_record_page(
        &mut self,
        context: &mut NodeContext,
        index: ShardIndex,
        fencing_token: FencingToken,
        response: StoreResponse,
    ) {
        let owned = self.shards[index.as_usize()].as_mut();
        let Some(shard) = owned.filter(|shard| shard.fencing_token == fencing_token) else { return };
        let StoreResponse::Page(page) = response else {
            shard.load = LoadState::Due { at: context.clock.now() + context.jitter(LOAD_RETRY_MS) };
            return;
        };
        let last_key = page.items.last().map(|item| item.key.clone());
        for item in page.items {
            self.load_record(context, index, item);
        }
        if page.has_more && last_key.is_some() {
            request_record_page(context, index, fencing_token, last_key);
        } else {
            self.finish_load(context, index, page.revision);
        }
    }

    fn finish_load(&mut self, context: &NodeContext, index: ShardIndex, revision: u64) {
        let Some(shard) = self.shards[index.as_usize()].as_mut() else { return };
        let recorded: usize =
            machines_of(&self.machines, index).map(Machine::unreconciled_attempts).sum();
        shard.load = LoadState::Done;
        shard.recovery.records_read(revision, recorded as u32);
        shard.has_unreported_changes = true;
        reconciliation::log_recovery_phase(context, shard);
    }

    /// Adds the machines of one record and their attempts.
    fn load_record(&mut self, context: &mut NodeContext, index: ShardIndex, item: KeyValue) {
        let bytes = item.value.len();
        let decoded = item.value.decode::<PlacementRecord>();
        let (Some(record), Ok(content)) = (record_number(&item.key), decoded) else {
            tracing::error!(key = item.key, "unreadable placement record");
            return;
        };
        let Some(shard) = &mut self.shards[index.as_usize()] else { return };
        shard.records.insert_loaded(record, OwnedRecord::loaded(context, item.version, bytes));
        for row in &content.machines {
            let name = row.name();
            let new_machine = || Machine::new(name, index, shard.fencing_token);
            // Another record may have listed the machine already.
            let (_, machine) = self.machines.get_or_insert_with(name, new_machine);
            if machine.fencing_token != shard.fencing_token {
                *machine = Machine::new(name, index, shard.fencing_token);
            }
            let loaded = LoadedRow { content: &content, row, record };
            load_machine_state(context, machine, &loaded);
            load_attempts(context, shard, machine, &loaded);
        }
    }
}

/// A machine's row in a placement record that has been read.
struct LoadedRow<'a> {
    content: &'a PlacementRecord,
    row: &'a RecordedMachine,
    record: RecordIndex,
}

/// Parses the record number in the key of a placement record.
fn record_number(key: &str) -> Option<RecordIndex> {
    let (_, number) = key.rsplit_once('/')?;
    number.parse().ok().filter(|number| *number < MAX_RECORDS).map(RecordIndex::new)
}

fn load_machine_state(context: &NodeContext, machine: &mut Machine, loaded: &LoadedRow<'_>) {
    let row = loaded.row;
    let RecordedMachine(_, type_row, ..) = row;
    machine.type_name = loaded.content.types.get(*type_row as usize).cloned().unwrap_or_default();
    machine.zone = context.shards[machine.shard.as_usize()].zone.clone();
    machine.is_spot = row.has_any_flag(RecordedMachine::SPOT);
    machine.terminating_recorded |= row.has_any_flag(RecordedMachine::TERMINATING);
    machine.is_decommissioning |= machine.terminating_recorded;
    let shows_state = row.has_any_flag(RecordedMachine::CORDONED | RecordedMachine::TERMINATING);
    if shows_state || machine.state_record.is_none() {
        machine.state_record = Some(loaded.record);
        machine.cordoned_recorded = row.has_any_flag(RecordedMachine::CORDONED);
        machine.is_cordoned |= machine.cordoned_recorded;
    }
}

/// Replaces the attempts that the machine has from this record by those of its row, since a record
/// may be read a second time. What heartbeats have reported of the machine in the meantime is kept.
fn load_attempts(
    context: &mut NodeContext,
    shard: &mut OwnedShard,
    machine: &mut Machine,
    loaded: &LoadedRow<'_>,
) {
    machine.attempts.retain(|attempt| attempt.record != loaded.record);
    for inherited in inherited_attempts(context, loaded) {
        // Two records list the attempt if a shard owner failed while it moved the attempt.
        let known = machine.attempts.iter_mut().find(|attempt| attempt.id == inherited.id);
        let Some(known) = known else {
            machine.attempts.push(inherited);
            continue;
        };
        shard.records.mark_outdated([known.record], context.clock.now());
        known.finish_move(loaded.record);
    }
}

/// Returns the attempts of a machine's row, which a former shard owner bound.
fn inherited_attempts(context: &mut NodeContext, loaded: &LoadedRow<'_>) -> Vec<Attempt> {
    let attempts = loaded.row.attempts(loaded.content.base);
    attempts
        .filter_map(|listed| {
            let job = loaded.content.jobs.get(listed.job)?;
            Some(inherited_attempt(context, job, listed, loaded.record))
        })
        .collect()
}

fn inherited_attempt(
    context: &mut NodeContext,
    job: &RecordedJob,
    listed: RecordedAttempt,
    record: RecordIndex,
) -> Attempt {
    let demand = job.demand();
    Attempt {
        // A job that is not in memory is final, and its tasks must be stopped. If they were left
        // out here, they would be treated as gone.
        job: context.job_index_or_lookup(job.id()),
        task: listed.task,
        id: AttemptId::new(listed.attempt),
        demand,
        job_row_bytes: placement_records::job_row_bytes(job.id(), job.team(), &demand),
        team: job.team().to_string(),
        record,
        moving_to: None,
        recording: RecordingState::Recorded,
        phase: AttemptPhase::Inherited,
        is_wanted: true,
        start_sent: None,
        was_listed: false,
        started_at: None,
        ran_ms: 0,
        expected_ms: 0,
        bound_at: None,
        admitted_in: None,
        recorded_at: None,
        recorded_revision: None,
    }
}
