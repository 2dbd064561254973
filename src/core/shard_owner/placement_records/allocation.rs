//! Allocation: chooses the placement record for a new attempt, or for the row with a machine's own
//! state, and reserves capacity there.

use super::layout::{
    MAX_ATTEMPT_BYTES, RECORD_HEADER_BYTES, RECORD_SLACK_BYTES, USUAL_ROW_BYTES, machine_row_bytes,
    max_job_row_bytes, max_record_bytes,
};
use super::record::{OwnedRecord, RecordIndex};
use crate::core::common::context::NodeContext;
use crate::core::shard_owner::OwnedShard;
use crate::core::shard_owner::machine::{Machine, Machines, machines_of};
use crate::model::{JobIndex, ShardIndex};
use rustc_hash::FxHashSet;

/// Contents of each record of a shard after its next write.
struct Occupancy {
    /// Upper bound of each record's length, by record.
    bytes: Vec<usize>,
    /// Pairs of a record and a job that has a row in it.
    jobs: FxHashSet<(RecordIndex, JobIndex)>,
}

impl Occupancy {
    /// Computes the occupancy of a shard's records; `records` is their number.
    fn of_shard(
        context: &NodeContext,
        machines: &Machines,
        shard: ShardIndex,
        records: usize,
    ) -> Occupancy {
        let mut occupancy = Occupancy {
            bytes: vec![RECORD_HEADER_BYTES + RECORD_SLACK_BYTES; records],
            jobs: FxHashSet::default(),
        };
        for machine in machines_of(machines, shard) {
            occupancy.add_machine(context, machine);
        }
        occupancy
    }

    fn add_machine(&mut self, context: &NodeContext, machine: &Machine) {
        let mut rows: FxHashSet<RecordIndex> = FxHashSet::default();
        if let Some(record) = machine.state_record
            && (machine.state_row_reserved
                || machine.has_recorded_state()
                || machine.may_record_termination())
        {
            rows.insert(record);
        }
        for attempt in &machine.attempts {
            for record in [Some(attempt.record), attempt.moving_to].into_iter().flatten() {
                rows.insert(record);
                self.add(record, MAX_ATTEMPT_BYTES);
                if self.jobs.insert((record, attempt.job)) {
                    let job_id = context.jobs.id(attempt.job);
                    self.add(record, max_job_row_bytes(job_id, &attempt.team));
                }
            }
        }
        for record in rows {
            self.add(record, machine_row_bytes(&machine.name));
        }
    }

    fn add(&mut self, record: RecordIndex, bytes: usize) {
        if let Some(occupied) = self.bytes.get_mut(record.as_usize()) {
            *occupied += bytes;
        }
    }

    fn jobs_of(&self, record: RecordIndex) -> FxHashSet<JobIndex> {
        self.jobs.iter().filter(|(listed_by, _)| *listed_by == record).map(|(_, job)| *job).collect()
    }
}

/// Ensures that the open record, which receives new attempts, has capacity for one more. Stored
/// entries of attempts that are gone count as free capacity, because the next write omits them.
pub(crate) fn prepare_open_record(context: &NodeContext, shard: &mut OwnedShard, machines: &Machines) {
    let limit = max_record_bytes(context);
    let spare = MAX_ATTEMPT_BYTES + 2 * USUAL_ROW_BYTES;
    let has_capacity =
        |record: &OwnedRecord| !record.is_oversized() && record.reserved_bytes() + spare <= limit;
    if shard.records.get(shard.records.open()).is_some_and(has_capacity) {
        return;
    }
    let occupancy = Occupancy::of_shard(context, machines, shard.index, shard.records.len());
    let occupied = |record: &RecordIndex| occupancy.bytes[record.as_usize()];
    let emptiest = shard
        .records
        .indices()
        .filter(|index| !shard.records[*index].is_oversized())
        .min_by_key(occupied);
    // Reusing a record that would soon be nearly full again would only cost an additional write.
    match emptiest.filter(|record| occupied(record) * 3 <= limit * 2) {
        Some(index) => {
            shard.records[index].set_reserved(occupied(&index), occupancy.jobs_of(index));
            shard.records.set_open(index);
        }
        None => {
            let index = shard.records.add();
            shard.records.set_open(index);
        }
    }
}

/// Reserves capacity for one more attempt on this machine, in the open record if it has enough,
/// otherwise in any other record that certainly has it or in a new one. Returns the record.
pub(crate) fn reserve_attempt(
    context: &NodeContext,
    shard: &mut OwnedShard,
    machine: &mut Machine,
    job: JobIndex,
    team: &str,
) -> RecordIndex {
    let job_row = max_job_row_bytes(context.jobs.id(job), team);
    let attempt_row = MAX_ATTEMPT_BYTES + machine_row_bytes(&machine.name);
    let limit = max_record_bytes(context);
    let has_capacity = |record: &OwnedRecord| {
        let bytes = attempt_row + if record.has_job(job) { 0 } else { job_row };
        !record.is_oversized() && record.reserved_bytes() + bytes <= limit
    };
    let index = shard.records.find_or_add(Some(shard.records.open()), has_capacity);
    machine.state_record.get_or_insert(index);
    let record = &mut shard.records[index];
    let is_new_job = record.insert_job(job);
    record.reserve(attempt_row + if is_new_job { job_row } else { 0 });
    index
}

/// Returns the record for the row with a machine's own state, after reserving capacity for the row.
/// The reservation is needed because hundreds of machines may be cordoned or decommissioned at once,
/// and the store would permanently reject a record that exceeds the limit, with all its contents.
pub(super) fn assign_state_record(
    context: &NodeContext,
    shard: &mut OwnedShard,
    machine: &mut Machine,
) -> RecordIndex {
    if let Some(index) = machine.state_record
        && has_state_row(shard, machine, index)
    {
        return index;
    }
    let row = machine_row_bytes(&machine.name);
    let limit = max_record_bytes(context);
    let has_capacity = |record: &OwnedRecord| record.reserved_bytes() + row <= limit;
    let index = shard.records.find_or_add(machine.state_record, has_capacity);
    shard.records[index].reserve(row);
    machine.state_row_reserved = true;
    if machine.state_record != Some(index) && (machine.cordoned_recorded || machine.terminating_recorded)
    {
        machine.former_state_record = machine.state_record;
    }
    machine.state_record = Some(index);
    index
}

/// Whether the machine's current `state_record` already has its row or capacity for it.
fn has_state_row(shard: &OwnedShard, machine: &Machine, index: RecordIndex) -> bool {
    let record = shard.records.get(index);
    if record.is_some_and(OwnedRecord::is_oversized) {
        return false;
    }
    record.is_some_and(OwnedRecord::is_busy)
        || machine.state_row_reserved
        || machine.cordoned_recorded
        || machine.terminating_recorded
        || machine.attempts.iter().any(|attempt| attempt.record == index)
}
