//! Drafts of placement records for a write: which attempts a record will list, and which compares
//! the write needs.

use super::layout::{attempt_bytes, machine_row_bytes, max_record_bytes};
use super::record::RecordIndex;
use super::write::RecordWrite;
use crate::core::common::context::NodeContext;
use crate::core::common::store_keys::job_key;
use crate::core::shard_owner::attempt::{Attempt, RecordingState};
use crate::core::shard_owner::machine::Machine;
use crate::core::shard_owner::name_table::intern_name;
use crate::model::{JobIndex, MachineIndex};
use crate::wire::store::{Compare, PlacementRecord, RecordedJob, RecordedMachine};
use rustc_hash::{FxHashMap, FxHashSet};

/// Maximum number of compares in a compare-and-swap for each mutation that the store allows.
const COMPARES_PER_MUTATION: usize = 4;

/// A placement record as it will be written.
pub(super) struct RecordDraft {
    /// The record to store.
    pub(super) content: PlacementRecord,
    /// Row index of each job in the record.
    pub(super) job_rows: FxHashMap<JobIndex, u32>,
    /// What the write changes, to be applied once its outcome is known.
    pub(super) write: RecordWrite,
    /// Preconditions of the write.
    pub(super) compares: Vec<Compare>,
    /// Jobs whose records the write compares.
    compared_jobs: FxHashSet<JobIndex>,
    /// Length of the record, in bytes: its required contents and the attempts added so far.
    bytes: usize,
    /// Whether unrecorded attempts may be added.
    accepts_new_attempts: bool,
}

impl RecordDraft {
    /// Creates a draft without machines. `base` is the smallest id of an attempt that the record may
    /// list, and `bytes` the length of its required contents.
    pub(super) fn new(
        write: RecordWrite,
        compares: Vec<Compare>,
        base: u64,
        bytes: usize,
        accepts_new_attempts: bool,
    ) -> RecordDraft {
        RecordDraft {
            content: PlacementRecord { base, ..PlacementRecord::default() },
            job_rows: FxHashMap::default(),
            write,
            compares,
            compared_jobs: FxHashSet::default(),
            bytes,
            accepts_new_attempts,
        }
    }

    /// Adds the row of a machine with its own state and its attempts, as far as this record holds
    /// them.
    pub(super) fn add_machine(
        &mut self,
        context: &NodeContext,
        index: MachineIndex,
        machine: &mut Machine,
    ) {
        let record = self.write.record;
        let shows_state = machine.state_record == Some(record);
        let state_flags = if shows_state { state_flags(machine) } else { 0 };
        let spot_flag = if machine.is_spot { RecordedMachine::SPOT } else { 0 };
        let flags = state_flags | spot_flag;
        let tasks = self.add_attempts(context, machine, record);
        if tasks.is_empty() && state_flags == 0 {
            return;
        }
        let type_row = intern_name(&mut self.content.types, &machine.type_name);
        self.content.machines.push(RecordedMachine(machine.name.clone(), type_row, flags, tasks));
        if shows_state {
            self.write.machine_flags.insert(index, flags);
        }
    }

    /// Adds the attempts of a machine that belong in this record. Returns the numbers that represent
    /// them in the machine's row.
    fn add_attempts(
        &mut self,
        context: &NodeContext,
        machine: &mut Machine,
        record: RecordIndex,
    ) -> Vec<u64> {
        // Added to the length together with the first attempt.
        let mut row_bytes = machine_row_bytes(&machine.name);
        let mut tasks = Vec::new();
        let belongs_here =
            |attempt: &&mut Attempt| attempt.record == record || attempt.moving_to == Some(record);
        for attempt in machine.attempts.iter_mut().filter(belongs_here) {
            if !self.add_attempt(context, attempt, row_bytes) {
                continue;
            }
            row_bytes = 0;
            let row = self.job_row(context, attempt);
            tasks.extend([
                u64::from(row),
                u64::from(attempt.task),
                attempt.id.number() - self.content.base,
            ]);
        }
        tasks
    }

    /// Adds the attempt if that is possible and returns whether the record lists it. `row_bytes` is
    /// the length of its machine's row, or 0 if that has been added already.
    fn add_attempt(&mut self, context: &NodeContext, attempt: &mut Attempt, row_bytes: usize) -> bool {
        let job_bytes = if self.job_rows.contains_key(&attempt.job) { 0 } else { attempt.job_row_bytes };
        let own_bytes = attempt_bytes(attempt.task, attempt.id.number() - self.content.base);
        let bytes = own_bytes + row_bytes + job_bytes;
        let fits = self.bytes + bytes <= max_record_bytes(context);
        if attempt.moving_to == Some(self.write.record) {
            // Another record lists the attempt already, so no compare is needed for it.
            if fits {
                self.bytes += bytes;
                self.write.moved_attempts.insert(attempt.id);
            }
            return fits;
        }
        let may_add = self.accepts_new_attempts
            && attempt.moving_to.is_none()
            && attempt.needs_recording(context)
            && fits;
        if may_add && self.compare_job(context, attempt.job) {
            self.bytes += bytes;
            attempt.recording = RecordingState::WriteSent;
            self.write.new_attempts.insert(attempt.id);
            return true;
        }
        attempt.may_be_recorded()
    }

    /// Adds a compare for the job's record to the write. Returns false if the compare-and-swap has
    /// the maximum number of compares; the attempts of further jobs wait for the next write.
    fn compare_job(&mut self, context: &NodeContext, job: JobIndex) -> bool {
        if self.compared_jobs.contains(&job) {
            return true;
        }
        if self.compares.len() >= COMPARES_PER_MUTATION * context.platform.cluster.state.txn_ops {
            return false;
        }
        self.compared_jobs.insert(job);
        self.compares
            .push(Compare { key: job_key(context.jobs.id(job)), version: context.job(job).version });
        true
    }

    fn job_row(&mut self, context: &NodeContext, attempt: &Attempt) -> u32 {
        let jobs = &mut self.content.jobs;
        *self.job_rows.entry(attempt.job).or_insert_with(|| {
            let demand = &attempt.demand;
            let id = context.jobs.id(attempt.job).to_string();
            jobs.push(RecordedJob(id, attempt.team.clone(), demand.cpus, demand.gpus, demand.memory_gb));
            jobs.len() as u32 - 1
        })
    }
}

/// Returns the flags for a machine's own state in its row.
fn state_flags(machine: &Machine) -> u8 {
    let cordoned = if machine.is_cordoned { RecordedMachine::CORDONED } else { 0 };
    let is_terminating = machine.terminating_recorded || machine.may_record_termination();
    cordoned | if is_terminating { RecordedMachine::TERMINATING } else { 0 }
}
