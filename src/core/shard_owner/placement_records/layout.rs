//! Lengths of a placement record and of its parts in stored form, in bytes.

use crate::core::common::context::NodeContext;
use crate::core::shard_owner::attempt::Attempt;
use crate::core::shard_owner::machine::{Machines, machines_of};
use crate::model::{JobIndex, Resources, ShardIndex};
use rustc_hash::FxHashSet;

use super::record::RecordIndex;

/// Bytes kept free in a record for contents that the estimates omit.
pub(super) const RECORD_SLACK_BYTES: usize = 200;
/// Length of a record without its rows: the names of its fields and of a few machine types.
pub(super) const RECORD_HEADER_BYTES: usize = 100;
/// Upper bound of the length that an attempt adds to its machine's row.
pub(super) const MAX_ATTEMPT_BYTES: usize = 24;
/// Length of a job's or a machine's row with names of typical length.
pub(super) const USUAL_ROW_BYTES: usize = 100;
/// Length of the separators around an attempt's three numbers.
const ATTEMPT_SEPARATOR_BYTES: usize = 5;
/// Length of a machine's row without its name and attempts.
const MACHINE_ROW_OVERHEAD_BYTES: usize = 14;
/// Upper bound of the length of a job's row without its name and team.
const MAX_JOB_ROW_OVERHEAD_BYTES: usize = 60;
/// Length of the separators and quotation marks of a job's row.
const JOB_ROW_SEPARATOR_BYTES: usize = 9;
/// Additional length of a decimal number in a job's row, beyond its digits.
const DECIMAL_OVERHEAD_BYTES: usize = 3;

/// Maximum length of a value that the key-value store accepts.
pub(super) fn max_record_bytes(context: &NodeContext) -> usize {
    context.platform.cluster.state.value_bytes()
}

/// Upper bound of the length of a machine's row without its attempts.
pub(super) fn machine_row_bytes(name: &str) -> usize {
    name.len() + MACHINE_ROW_OVERHEAD_BYTES
}

/// Upper bound of the length of a job's row for any resource demand.
pub(super) fn max_job_row_bytes(name: &str, team: &str) -> usize {
    name.len() + team.len() + MAX_JOB_ROW_OVERHEAD_BYTES
}

/// Exact length of a job's row. With an estimate, bound tasks would wait for record capacity that is
/// in fact available. The length is computed once per attempt, because this formats three decimal
/// numbers.
pub(crate) fn job_row_bytes(name: &str, team: &str, demand: &Resources) -> usize {
    let decimal_bytes = |number: f64| number.to_string().len() + DECIMAL_OVERHEAD_BYTES;
    let demand_bytes =
        decimal_bytes(demand.cpus) + decimal_bytes(demand.gpus) + decimal_bytes(demand.memory_gb);
    name.len() + team.len() + demand_bytes + JOB_ROW_SEPARATOR_BYTES
}

/// Length that an attempt adds to its machine's row. `id_offset` is its id minus the record's base.
pub(super) fn attempt_bytes(task: u32, id_offset: u64) -> usize {
    ATTEMPT_SEPARATOR_BYTES + number_bytes(u64::from(task)) + number_bytes(id_offset)
}

/// Length of a number and the comma after it.
fn number_bytes(number: u64) -> usize {
    number.checked_ilog10().unwrap_or(0) as usize + 2
}

/// Length of a record's required contents: the attempts that it lists or may list already, and the
/// machines whose own state it holds.
pub(super) fn required_bytes(
    machines: &Machines,
    shard: ShardIndex,
    record: RecordIndex,
    base: u64,
) -> usize {
    let mut jobs: FxHashSet<JobIndex> = FxHashSet::default();
    let mut bytes = RECORD_HEADER_BYTES;
    for machine in machines_of(machines, shard) {
        let shows_state = machine.has_recorded_state() || machine.may_record_termination();
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
