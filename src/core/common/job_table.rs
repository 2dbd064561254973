//! The jobs that a node keeps in memory.
//!
//! The table holds all live jobs, and of the jobs in a final state only the most recent ones. Final
//! records don't change, apart from those of cancelled jobs that another cell offers again, so they
//! are read from the store on request. Memory is therefore bounded by the number of live jobs and
//! [`MAX_FINAL_JOBS`], not by the number of jobs ever submitted.
//!
//! An index is never reused for another job. A lookup with the index of a job that has since been
//! dropped returns a final job without a spec, for which nothing is ever started.

use super::dependencies::DependencyLinks;
use crate::model::{JobIndex, JobSpec, Ms};
use crate::wire::store::{JobRecord, JobState};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use woadlever_cells::record::{Forwarding, Origin};

/// Number of jobs in a final state that are kept in memory.
pub const MAX_FINAL_JOBS: usize = 2_048;
/// Number of final jobs dropped at a time. They are dropped in batches, since finding out which
/// of them are still in use scans every attempt.
pub const FINAL_JOBS_BATCH: usize = 256;

/// What this node knows of a job's state. Only a record that has been read tells whether a job is
/// live or final.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownState {
    /// Another record refers to the job, and its own record has not been read yet. The job may be
    /// live or final.
    Unread,
    /// There is no record of the job, or none that can be decoded, so the job was never accepted.
    Missing,
    /// The record states that the job is neither done nor cancelled.
    Live,
    /// The record states that the job is done.
    Done,
    /// The record states that the job is cancelled.
    Cancelled,
    /// The record states that the job is final, and has been dropped from memory.
    Dropped,
}

impl KnownState {
    /// Whether the job is known to be done or cancelled.
    pub fn is_final(self) -> bool {
        match self {
            KnownState::Done | KnownState::Cancelled | KnownState::Dropped => true,
            KnownState::Unread | KnownState::Missing | KnownState::Live => false,
        }
    }

    /// State according to the record; `None` if it is not in memory.
    pub fn recorded(self) -> Option<JobState> {
        match self {
            KnownState::Live => Some(JobState::Live),
            KnownState::Done => Some(JobState::Done),
            KnownState::Cancelled => Some(JobState::Cancelled),
            KnownState::Unread | KnownState::Missing | KnownState::Dropped => None,
        }
    }
}

impl From<JobState> for KnownState {
    fn from(state: JobState) -> KnownState {
        match state {
            JobState::Live => KnownState::Live,
            JobState::Done => KnownState::Done,
            JobState::Cancelled => KnownState::Cancelled,
        }
    }
}

/// A job as this node knows it from its record.
#[derive(Debug)]
pub struct Job {
    /// What is known of the job's state.
    pub state: KnownState,
    /// Job spec; dropped some time after the job became final.
    pub spec: Option<Arc<JobSpec>>,
    /// Version of the record; 0 if another record refers to the job and its own record has not
    /// been read yet.
    pub version: u64,
    /// Number of tasks.
    pub tasks: u32,
    /// Time at which this node learned the current state.
    pub state_since: Ms,
    /// Edges and state in the dependency graph.
    pub links: DependencyLinks,
    /// Whether another node has confirmed the cancellation while its record has not arrived here
    /// yet. No task of the job is started or kept running any more; answers to users are based
    /// on the record alone.
    pub cancellation_noticed: bool,
    /// Relation to another cell. It is boxed because few jobs have one.
    pub cell: Option<Box<CellLink>>,
}

/// Relation of a job to another cell.
#[derive(Debug)]
pub enum CellLink {
    /// The job has been forwarded to another cell.
    Forwarded(Forwarding),
    /// The job belongs to another cell.
    Hosted(Origin),
}

impl CellLink {
    /// Returns the relation that a job's record states, if any.
    pub(crate) fn of(record: &JobRecord) -> Option<Box<CellLink>> {
        let hosted = record.origin.clone().map(CellLink::Hosted);
        let link = hosted.or_else(|| record.forwarding.clone().map(CellLink::Forwarded));
        link.map(Box::new)
    }
}

impl Job {
    fn unread(now: Ms) -> Job {
        Job {
            state: KnownState::Unread,
            spec: None,
            version: 0,
            tasks: 0,
            state_since: now,
            links: DependencyLinks::default(),
            cancellation_noticed: false,
            cell: None,
        }
    }

    /// The forwarding of the job to another cell, if any.
    pub fn forwarding(&self) -> Option<&Forwarding> {
        match self.cell.as_deref() {
            Some(CellLink::Forwarded(forwarding)) => Some(forwarding),
            _ => None,
        }
    }

    /// The origin cell of the job, if the job does not belong to this cell.
    pub fn origin(&self) -> Option<&Origin> {
        match self.cell.as_deref() {
            Some(CellLink::Hosted(origin)) => Some(origin),
            _ => None,
        }
    }

    /// Whether the job was cancelled here and its cell has offered it again since, according to
    /// `record`. This is the only final state that another state can follow.
    pub(crate) fn is_tombstone_older_than(&self, record: &JobRecord) -> bool {
        let is_newer = |old: &Origin, new: &Origin| old.cell == new.cell && old.epoch < new.epoch;
        self.state == KnownState::Cancelled
            && self.origin().zip(record.origin.as_ref()).is_some_and(|(old, new)| is_newer(old, new))
    }

    /// Whether only another cell may run the job.
    pub fn is_forwarded(&self) -> bool {
        self.forwarding().is_some_and(Forwarding::is_forwarded)
    }

    /// Whether the job's record has been read.
    pub fn is_read(&self) -> bool {
        self.version > 0
    }
}

#[derive(Debug)]
struct Entry {
    id: Arc<str>,
    job: Job,
}

/// Jobs indexed by id and by index.
#[derive(Debug)]
pub struct JobTable {
    /// Uses the default, collision-resistant hasher because users choose the ids.
    indices: HashMap<Arc<str>, JobIndex>,
    entries: FxHashMap<JobIndex, Entry>,
    next_index: u32,
    /// Jobs in a final state, ordered by the time at which they became final, oldest first.
    final_jobs: VecDeque<JobIndex>,
    /// Jobs that a record refers to and whose own record has not been read yet.
    unread: BTreeSet<JobIndex>,
    /// Placeholder returned for every job that has been dropped.
    dropped: Job,
    /// Revision up to which every change has been applied; `None` during the first or a repeated
    /// full read of the records.
    watched_revision: Option<u64>,
    /// Jobs that the leader has to process again because their state has changed.
    changed: Vec<JobIndex>,
    /// Jobs whose tasks the shard owner has to stop because their cancellation has just become
    /// known.
    newly_cancelled: Vec<JobIndex>,
    drop_due_at: Ms,
}

impl Default for JobTable {
    fn default() -> Self {
        JobTable {
            indices: HashMap::new(),
            entries: FxHashMap::default(),
            next_index: 0,
            final_jobs: VecDeque::new(),
            unread: BTreeSet::new(),
            dropped: Job { state: KnownState::Dropped, ..Job::unread(0) },
            watched_revision: None,
            changed: Vec::new(),
            newly_cancelled: Vec::new(),
            drop_due_at: 0,
        }
    }
}

impl JobTable {
    /// Returns the index of a job whose record has been read.
    pub fn index_of(&self, id: &str) -> Option<JobIndex> {
        self.indices.get(id).copied().filter(|index| self.get(*index).is_read())
    }

    /// Returns the index of a job, whether or not its record has been read; `None` if nothing refers
    /// to the job.
    pub(crate) fn index_of_referenced(&self, id: &str) -> Option<JobIndex> {
        self.indices.get(id).copied()
    }

    /// Whether the job has an index, with or without its record.
    pub fn has_index(&self, id: &str) -> bool {
        self.indices.contains_key(id)
    }

    /// Returns the index of a job that a record or frame refers to. If the job is not in memory,
    /// it gets an index and its record is queued for reading (see [`JobTable::unread`]).
    pub fn index_or_lookup(&mut self, id: &str, now: Ms) -> JobIndex {
        if let Some(index) = self.indices.get(id) {
            return *index;
        }
        let index = JobIndex::new(self.next_index);
        self.next_index += 1;
        let id: Arc<str> = id.into();
        self.indices.insert(id.clone(), index);
        self.entries.insert(index, Entry { id, job: Job::unread(now) });
        self.unread.insert(index);
        index
    }

    /// Returns the job. A job that has been dropped appears as [`KnownState::Dropped`].
    pub fn get(&self, index: JobIndex) -> &Job {
        self.entries.get(&index).map_or(&self.dropped, |entry| &entry.job)
    }

    /// Returns the job, unless it has been dropped.
    pub fn get_mut(&mut self, index: JobIndex) -> Option<&mut Job> {
        self.entries.get_mut(&index).map(|entry| &mut entry.job)
    }

    /// Returns the id of a job; empty if the job has been dropped.
    pub fn id(&self, index: JobIndex) -> &str {
        self.entries.get(&index).map_or("", |entry| &entry.id)
    }

    /// All indices in use, in the order in which the jobs became known.
    pub fn indices(&self) -> Vec<JobIndex> {
        let mut indices: Vec<JobIndex> = self.entries.keys().copied().collect();
        indices.sort_unstable();
        indices
    }

    /// All jobs in memory, in no particular order.
    pub fn values(&self) -> impl Iterator<Item = &Job> {
        self.entries.values().map(|entry| &entry.job)
    }

    /// Number of jobs in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no job is in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes a job from the unread ones, because its record has been read.
    pub(crate) fn remove_unread(&mut self, index: JobIndex) {
        self.unread.remove(&index);
    }

    /// Marks an unread job whose record does not exist or can't be decoded.
    pub(crate) fn mark_missing(&mut self, index: JobIndex) {
        self.unread.remove(&index);
        let Some(job) = self.get_mut(index) else { return };
        if job.state == KnownState::Unread {
            job.state = KnownState::Missing;
            self.mark_changed(index);
        }
    }

    /// Jobs that are referred to and whose own record has not been read yet.
    pub fn unread(&self) -> &BTreeSet<JobIndex> {
        &self.unread
    }

    /// Adds a job that has become final to the list of final jobs.
    pub(crate) fn set_final(&mut self, index: JobIndex) {
        self.final_jobs.push_back(index);
    }

    /// Drops the specs of jobs that became final before this time. Specs are dropped earlier than
    /// the jobs: some time after a job's end nothing is left on any machine that could need its
    /// spec.
    pub(crate) fn drop_specs(&mut self, final_before: Ms) {
        for index in &self.final_jobs {
            let Some(entry) = self.entries.get_mut(index) else { continue };
            if entry.job.state_since < final_before && entry.job.state.is_final() {
                entry.job.spec = None;
            }
        }
    }

    /// Revision up to which every change has been applied; `None` during the first or a repeated
    /// full read of the records.
    pub fn watched_revision(&self) -> Option<u64> {
        self.watched_revision
    }

    /// Sets the revision up to which every change has been applied, or `None` if all records have
    /// to be read again.
    pub fn set_watched_revision(&mut self, revision: Option<u64>) {
        self.watched_revision = revision;
    }

    /// Marks a job that the leader has to process again.
    pub(crate) fn mark_changed(&mut self, index: JobIndex) {
        self.changed.push(index);
    }

    /// Removes and returns the jobs marked as changed, in the order of their changes.
    pub fn take_changed(&mut self) -> Vec<JobIndex> {
        std::mem::take(&mut self.changed)
    }

    /// Clears the list of changed jobs.
    pub fn clear_changed(&mut self) {
        self.changed.clear();
    }

    /// Marks a job whose tasks the shard owner has to stop.
    pub(crate) fn mark_newly_cancelled(&mut self, index: JobIndex) {
        self.newly_cancelled.push(index);
    }

    /// Removes and returns the jobs whose cancellation has just become known.
    pub fn take_newly_cancelled(&mut self) -> Vec<JobIndex> {
        std::mem::take(&mut self.newly_cancelled)
    }

    /// Whether a drop of final jobs is due. If so, the next one is due after `interval`.
    pub(crate) fn take_drop_due(&mut self, now: Ms, interval: Ms) -> bool {
        let is_due = now >= self.drop_due_at;
        if is_due {
            self.drop_due_at = now + interval;
        }
        is_due
    }

    /// Adds the jobs that the table itself refers to.
    pub(crate) fn add_referenced(&self, indices: &mut FxHashSet<JobIndex>) {
        indices.extend(&self.changed);
        indices.extend(&self.newly_cancelled);
        let live = self.values().filter(|job| job.state == KnownState::Live);
        indices.extend(live.flat_map(|job| &job.links.dependencies));
    }

    /// Whether enough final jobs have accumulated for a batch to be dropped.
    pub fn is_over_limit(&self) -> bool {
        self.final_jobs.len() >= MAX_FINAL_JOBS + FINAL_JOBS_BATCH
    }

    /// Drops the oldest final jobs beyond [`MAX_FINAL_JOBS`], except those in use.
    ///
    /// A job whose record is newer than `watched_revision` stays: the watch has yet to deliver
    /// earlier changes of that record, which would add the job again as live.
    pub(crate) fn drop_final(&mut self, in_use: &FxHashSet<JobIndex>, watched_revision: u64) {
        let mut surplus = self.final_jobs.len().saturating_sub(MAX_FINAL_JOBS);
        let mut kept = VecDeque::with_capacity(self.final_jobs.len());
        for index in std::mem::take(&mut self.final_jobs) {
            let job = self.get(index);
            // Another cell has offered the job again, so it is no longer final.
            if !job.state.is_final() {
                continue;
            }
            let needed = in_use.contains(&index) || job.version > watched_revision;
            if surplus == 0 || needed {
                kept.push_back(index);
                continue;
            }
            surplus -= 1;
            if let Some(entry) = self.entries.remove(&index) {
                self.indices.remove(&entry.id);
            }
        }
        self.final_jobs = kept;
    }
}
