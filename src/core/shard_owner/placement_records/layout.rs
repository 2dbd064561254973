//! Sizes of a placement record and of its parts, in bytes of its stored form.

use crate::core::common::context::NodeContext;
use crate::core::shard_owner::attempt::Attempt;
use crate::core::shard_owner::machine::{Machines, machines_of};
use crate::model::{JobIndex, Resources, ShardIndex};
use rustc_hash::FxHashSet;

use super::record::RecordIndex;

/// Bytes kept free in a record for what the estimates leave out.
pub(super) const RECORD_SLACK_BYTES: usize = 200;
/// What a record takes beside its rows: names of fields and of a few machine types.
pub(super) const RECORD_HEADER_BYTES: usize = 100;
/// Upper bound of what an attempt adds to its machine's row.
pub(super) const MAX_ATTEMPT_BYTES: usize = 24;
/// What a job's or a machine's row takes, names of usual length given.
pub(super) const USUAL_ROW_BYTES: usize = 100;
/// Separators around an attempt's three numbers.
const ATTEMPT_SEPARATOR_BYTES: usize = 5;
/// What a machine's row takes beside its name and attempts.
const MACHINE_ROW_OVERHEAD_BYTES: usize = 14;
/// Upper bound of what a job's row takes beside its name and team.
const MAX_JOB_ROW_OVERHEAD_BYTES: usize = 60;
/// Separators and quotation marks of a job's row.
const JOB_ROW_SEPARATOR_BYTES: usize = 9;
/// What a decimal number of a job's row takes beside its digits.
const DECIMAL_OVERHEAD_BYTES: usize = 3;

/// Longest value that the key-value store takes.
pub(super) fn max_record_bytes(context: &NodeContext) -> usize {
    context.platform.cluster.state.value_bytes()
}

/// Upper bound of a machine's row without its attempts.
pub(super) fn machine_row_bytes(name: &str) -> usize {
    name.len() + MACHINE_ROW_OVERHEAD_BYTES
}

/// Upper bound of a job's row, whatever its tasks take.
pub(super) fn max_job_row_bytes(name: &str, team: &str) -> usize {
    name.len() + team.len() + MAX_JOB_ROW_OVERHEAD_BYTES
}

/// What a job's row takes, to the byte: an estimate would leave bound tasks waiting for
/// capacity that is there. It is worked out once for an attempt, as it writes out three
/// decimal numbers.
pub(crate) fn job_row_bytes(name: &str, team: &str, demand: &Resources) -> usize {
    let decimal_bytes = |number: f64| number.to_string().len() + DECIMAL_OVERHEAD_BYTES;
    let demand_bytes =
        decimal_bytes(demand.cpus) + decimal_bytes(demand.gpus) + decimal_bytes(demand.mem);
    name.len() + team.len() + demand_bytes + JOB_ROW_SEPARATOR_BYTES
}

/// What an attempt adds to its machine's row; `id_offset` is its id counted from the
/// record's base.
pub(super) fn attempt_bytes(task: u32, id_offset: u64) -> usize {
    ATTEMPT_SEPARATOR_BYTES + number_bytes(u64::from(task)) + number_bytes(id_offset)
}

/// The length of a number and the comma after it.
fn number_bytes(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 2
}

/// What a record holds in any case: attempts that it lists or may list already, and
/// machines with a state of their own.
pub(super) fn required_bytes(
    machines: &Machines,
    shard: ShardIndex,
    record: RecordIndex,
    base: u64,
) -> usize {
    let mut jobs: FxHashSet<JobIndex> = FxHashSet::default();
    let mut bytes = RECORD_HEADER_BYTES;
    for machine in machines_of(machines, shard) {
        let shows_state = machine.has_recorded_state() || machine.can_decommission();
        let mut has_row = machine.state_record == Some(record) && shows_state;
        let listed = |attempt: &&Attempt| attempt.record == record && attempt.may_be_recorded();
        for attempt in machine.attempts.iter().filter(listed) {
            has_row = true;
            bytes += attempt_bytes(attempt.task, attempt.id.number() - base);
            if jobs.insert(attempt.job) {
                bytes += attempt.job_row_bytes;
            }
        }
        if has_row {
            bytes += machine_row_bytes(&machine.name);
        }
    }
    bytes
}
