//! A placement record while it is put together for a write: which attempts go into
//! it, and under which conditions.

use super::machine::{Attempt, Machine};
use super::placement_records::{Written, digits, limit, machine_bytes};
use crate::core::common::context::NodeContext;
use crate::core::common::watch_cache::job_key;
use crate::model::{JobIndex, MachineIndex};
use crate::wire::store::{Compare, PlacementRecord, RecordedJob, RecordedMachine};
use rustc_hash::{FxHashMap, FxHashSet};

/// Separators around an attempt's three numbers.
const ATTEMPT_OVERHEAD: usize = 5;
/// Conditions that a transaction may have for each change.
const CONDS_PER_CHANGE: usize = 4;

/// The record of one record as it will be written.
pub(super) struct RecordDraft {
    pub(super) record: PlacementRecord,
    /// Rows of the record's jobs.
    pub(super) job_rows: FxHashMap<JobIndex, u32>,
    pub(super) written: Written,
    pub(super) compares: Vec<Compare>,
    /// Jobs with a condition of their own.
    checked_jobs: FxHashSet<JobIndex>,
    /// Length of the record with all that it holds in any case and what was added.
    bytes: usize,
    /// Whether attempts that are not on record yet may be added.
    takes_new: bool,
}

impl RecordDraft {
    pub(super) fn new(
        written: Written,
        compares: Vec<Compare>,
        base: u64,
        bytes: usize,
        takes_new: bool,
    ) -> RecordDraft {
        RecordDraft {
            record: PlacementRecord { base, ..PlacementRecord::default() },
            job_rows: FxHashMap::default(),
            written,
            compares,
            checked_jobs: FxHashSet::default(),
            bytes,
            takes_new,
        }
    }

    /// Adds the machine's own state and its attempts, as far as they belong here.
    pub(super) fn add_machine(
        &mut self,
        context: &NodeContext,
        index: MachineIndex,
        machine: &mut Machine,
    ) {
        let record = self.written.record;
        let own = machine.record == Some(record);
        let flags = if own { state_flags(machine) } else { 0 };
        let has_state = flags != 0;
        let flags = flags | if machine.spot { RecordedMachine::SPOT } else { 0 };
        let mut row_bytes = machine_bytes(&machine.name);
        let mut tasks = Vec::new();
        let here = |a: &&mut Attempt| a.record == record || a.moving == Some(record);
        for attempt in machine.attempts.iter_mut().filter(here) {
            if !self.add_attempt(context, attempt, row_bytes) {
                continue;
            }
            row_bytes = 0;
            let row = self.job_row(context, attempt);
            tasks.extend([u64::from(row), u64::from(attempt.task), attempt.id - self.record.base]);
        }
        if tasks.is_empty() && !has_state {
            return;
        }
        let type_row = self.type_row(&machine.type_name);
        self.record.machines.push(RecordedMachine(machine.name.clone(), type_row, flags, tasks));
        if own {
            self.written.flags.insert(index, flags);
        }
    }

    /// Whether the attempt is part of the record. `row_bytes` is what its machine's
    /// row takes, if it is the machine's first.
    fn add_attempt(&mut self, context: &NodeContext, attempt: &mut Attempt, row_bytes: usize) -> bool {
        let job_bytes = if self.job_rows.contains_key(&attempt.job) { 0 } else { attempt.job_row_bytes };
        let numbers = digits(u64::from(attempt.task)) + digits(attempt.id - self.record.base);
        let bytes = ATTEMPT_OVERHEAD + numbers + row_bytes + job_bytes;
        let fits_within = self.bytes + bytes <= limit(context);
        if attempt.moving == Some(self.written.record) {
            // On record elsewhere, so that it needs no condition of its own.
            if fits_within {
                self.bytes += bytes;
                self.written.moved.insert(attempt.id);
            }
            return fits_within;
        }
        let may_add =
            self.takes_new && attempt.moving.is_none() && attempt.unwritten(context) && fits_within;
        if may_add && self.check_job(context, attempt.job) {
            self.bytes += bytes;
            attempt.tried = true;
            self.written.attempts.insert(attempt.id);
            return true;
        }
        attempt.written || attempt.tried
    }

    /// Makes the write depend on the job's record. False: there are more jobs than
    /// a transaction has conditions, and the rest goes with the next.
    fn check_job(&mut self, context: &NodeContext, job: JobIndex) -> bool {
        if self.checked_jobs.contains(&job) {
            return true;
        }
        if self.compares.len() >= CONDS_PER_CHANGE * context.platform.cluster.state.txn_ops {
            return false;
        }
        self.checked_jobs.insert(job);
        self.compares
            .push(Compare { key: job_key(context.jobs.id(job)), version: context.job(job).version });
        true
    }

    fn job_row(&mut self, context: &NodeContext, attempt: &Attempt) -> u32 {
        let jobs = &mut self.record.jobs;
        *self.job_rows.entry(attempt.job).or_insert_with(|| {
            let demand = &attempt.demand;
            let id = context.jobs.id(attempt.job).to_string();
            jobs.push(RecordedJob(id, attempt.team.clone(), demand.cpus, demand.gpus, demand.mem));
            jobs.len() as u32 - 1
        })
    }

    fn type_row(&mut self, type_name: &str) -> u32 {
        let types = &mut self.record.types;
        let known = types.iter().position(|known| known == type_name);
        let row = known.unwrap_or_else(|| {
            types.push(type_name.to_string());
            types.len() - 1
        });
        row as u32
    }
}

/// What the record of a machine's own record has to say of it.
fn state_flags(machine: &Machine) -> u8 {
    let cordoned = if machine.cordoned { RecordedMachine::CORDONED } else { 0 };
    let terminating = machine.terminating_recorded || machine.can_decommission();
    cordoned | if terminating { RecordedMachine::TERMINATING } else { 0 }
}
