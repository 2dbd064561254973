//! Splitting of oversized records: whole machines are copied to other records, and the oversized
//! record is written again only once the copies are durable.

use super::allocation::{assign_state_record, reserve_attempt};
use super::layout::{
    MAX_ATTEMPT_BYTES, RECORD_HEADER_BYTES, machine_row_bytes, max_record_bytes, required_bytes,
};
use super::record::RecordIndex;
use crate::core::common::context::NodeContext;
use crate::core::shard_owner::OwnedShard;
use crate::core::shard_owner::attempt::Attempt;
use crate::core::shard_owner::machine::{Machine, Machines, machines_of, machines_of_mut};
use crate::model::{JobIndex, ShardIndex};
use rustc_hash::FxHashSet;

/// Maximum length of the part that an oversized record keeps, in tenths of the limit. The rest leaves
/// capacity for a write.
const KEPT_TENTHS: usize = 9;

/// The part of an oversized record that is not moved to other records.
struct KeptPart {
    bytes: usize,
    jobs: FxHashSet<JobIndex>,
    max_bytes: usize,
}

impl KeptPart {
    /// Adds the machine if the record can keep it. Returns whether it was added.
    fn try_add(&mut self, machine: &Machine, record: RecordIndex) -> bool {
        let mut bytes = machine_row_bytes(&machine.name);
        let mut new_jobs: FxHashSet<JobIndex> = FxHashSet::default();
        for attempt in machine.attempts.iter().filter(|attempt| stays_in(attempt, record)) {
            bytes += MAX_ATTEMPT_BYTES;
            if !self.jobs.contains(&attempt.job) && new_jobs.insert(attempt.job) {
                bytes += attempt.job_row_bytes;
            }
        }
        if self.bytes + bytes > self.max_bytes {
            return false;
        }
        self.bytes += bytes;
        self.jobs.extend(new_jobs);
        true
    }
}

/// Whether the attempt belongs to the record and is not being moved to another one.
fn stays_in(attempt: &Attempt, record: RecordIndex) -> bool {
    attempt.record == record && attempt.moving_to.is_none()
}

/// Assigns the excess of an oversized record, attempts and state rows of whole machines, to other
/// records.
pub(super) fn split_oversized(
    context: &NodeContext,
    shard: &mut OwnedShard,
    machines: &mut Machines,
    record: RecordIndex,
) {
    let mut kept = KeptPart {
        bytes: RECORD_HEADER_BYTES,
        jobs: FxHashSet::default(),
        max_bytes: max_record_bytes(context) * KEPT_TENTHS / 10,
    };
    for machine in machines_of_mut(machines, shard.index) {
        let has_state_row = machine.state_record == Some(record) && machine.has_recorded_state();
        let is_listed =
            has_state_row || machine.attempts.iter().any(|attempt| stays_in(attempt, record));
        if !is_listed || kept.try_add(machine, record) {
            continue;
        }
        if has_state_row {
            assign_state_record(context, shard, machine);
        }
        move_attempts(context, shard, machine, record);
    }
}

/// Reserves capacity in other records for the attempts of a machine that this record lists.
fn move_attempts(
    context: &NodeContext,
    shard: &mut OwnedShard,
    machine: &mut Machine,
    record: RecordIndex,
) {
    for position in 0..machine.attempts.len() {
        let attempt = &machine.attempts[position];
        if !stays_in(attempt, record) {
            continue;
        }
        let (job, team) = (attempt.job, attempt.team.clone());
        let target = reserve_attempt(context, shard, machine, job, &team);
        machine.attempts[position].moving_to = Some(target);
    }
}

/// Whether an oversized record can't be written yet, because its contents are still too long or the
/// entries that move to other records are not durable there.
pub(super) fn must_wait_for_split(
    context: &NodeContext,
    machines: &Machines,
    shard: ShardIndex,
    record: RecordIndex,
) -> bool {
    let is_leaving = |attempt: &Attempt| attempt.record == record && attempt.moving_to.is_some();
    let has_pending_move = |machine: &Machine| {
        machine.former_state_record == Some(record) || machine.attempts.iter().any(is_leaving)
    };
    if machines_of(machines, shard).any(has_pending_move) {
        return true;
    }
    let base = machines_of(machines, shard)
        .flat_map(|machine| &machine.attempts)
        .filter(|attempt| attempt.record == record)
        .map(|attempt| attempt.id.number())
        .min()
        .unwrap_or(0);
    required_bytes(machines, shard, record, base) > max_record_bytes(context)
}
