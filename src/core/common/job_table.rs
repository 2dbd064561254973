//! The jobs that a node keeps in memory.
//!
//! All live jobs are here. Of the jobs in a final state only the most recent are:
//! a final record never changes, so it is read from the store when
//! somebody asks for it. Memory therefore follows from the number of live jobs
//! and from [`MAX_FINAL_JOBS`], not from how many jobs there ever were.
//!
//! An index is never used for a second job. Whoever kept the index of a job that
//! has been dropped since finds a cancelled job without a description, for which
//! nothing is ever started.

use super::dependencies::DependencyLinks;
use crate::model::{JobIndex, JobSpec, Ms};
use crate::wire::store::{JobRecord, JobState};
use rustc_hash::{FxHashMap, FxHashSet};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::sync::Arc;
use woadlever_cells::record::{Forwarding, Origin};

/// Jobs in a final state that are kept in memory.
pub const MAX_FINAL_JOBS: usize = 2_048;
/// Final jobs are dropped so many at a time, since finding out which of them are
/// still in use looks at every attempt.
pub const FINAL_JOBS_BATCH: usize = 256;

/// A job as this node knows it from its record.
#[derive(Debug)]
pub struct Job {
    /// The state that its record tells.
    pub state: JobState,
    /// The description; dropped some time after the job became final.
    pub spec: Option<Arc<JobSpec>>,
    /// Version of the record; 0 if none has been read yet, although another
    /// record refers to the job.
    pub version: u64,
    /// Number of tasks.
    pub tasks: u32,
    /// When the present state was learned.
    pub state_since: Ms,
    /// Its place in the dependency graph.
    pub links: DependencyLinks,
    /// Another node has confirmed the cancellation, but the record that says so
    /// has not been seen here yet. The job takes no task any more; users are
    /// answered by the record alone.
    pub cancellation_noticed: bool,
    /// Another cell that it concerns. Few jobs have one, so that it is kept apart.
    pub cell: Option<Box<CellLink>>,
}

/// What another cell has to do with a job.
#[derive(Debug)]
pub enum CellLink {
    /// It has been forwarded there.
    Forwarded(Forwarding),
    /// It belongs there.
    Hosted(Origin),
}

impl CellLink {
    /// What a job's record says.
    pub(crate) fn of(record: &JobRecord) -> Option<Box<CellLink>> {
        let hosted = record.origin.clone().map(CellLink::Hosted);
        let link = hosted.or_else(|| record.forwarding.clone().map(CellLink::Forwarded));
        link.map(Box::new)
    }
}

impl Job {
    fn unread(now: Ms) -> Job {
        Job {
            state: JobState::Live,
            spec: None,
            version: 0,
            tasks: 0,
            state_since: now,
            links: DependencyLinks::default(),
            cancellation_noticed: false,
            cell: None,
        }
    }

    /// Where it has been forwarded to.
    pub fn forwarding(&self) -> Option<&Forwarding> {
        match self.cell.as_deref() {
            Some(CellLink::Forwarded(forwarding)) => Some(forwarding),
            _ => None,
        }
    }

    /// The cell that it belongs to, if not to this one.
    pub fn origin(&self) -> Option<&Origin> {
        match self.cell.as_deref() {
            Some(CellLink::Hosted(origin)) => Some(origin),
            _ => None,
        }
    }

    /// Whether it was cancelled here, and the record says that its cell has offered it
    /// again since: the one final state that another can follow.
    pub(crate) fn is_tombstone_before(&self, record: &JobRecord) -> bool {
        let is_newer = |old: &Origin, new: &Origin| old.cell == new.cell && old.epoch < new.epoch;
        self.state == JobState::Cancelled
            && self.origin().zip(record.origin.as_ref()).is_some_and(|(old, new)| is_newer(old, new))
    }

    /// Whether only another cell may run it.
    pub fn is_away(&self) -> bool {
        self.forwarding().is_some_and(Forwarding::is_away)
    }

    /// Whether its record has been read.
    pub fn is_read(&self) -> bool {
        self.version > 0
    }
}

#[derive(Debug)]
struct Entry {
    id: Arc<str>,
    job: Job,
}

/// Jobs by id and by index.
#[derive(Debug)]
pub struct JobTable {
    /// Ids are chosen by users, so this map keeps the hasher that resists collisions.
    indices: HashMap<Arc<str>, JobIndex>,
    entries: FxHashMap<JobIndex, Entry>,
    next_index: u32,
    /// Jobs in a final state, the one that has been so for longest first.
    final_jobs: VecDeque<JobIndex>,
    /// Jobs that a record refers to and whose own record has yet to be read.
    unread: BTreeSet<JobIndex>,
    /// Stands for every job that has been dropped.
    dropped: Job,
    /// Every change up to this revision has been taken in; none while all records
    /// are read for the first time, or again.
    watched_revision: Option<u64>,
    /// Jobs whose state has changed, for the leader.
    changed: Vec<JobIndex>,
    /// Jobs whose cancellation has just become known, for the shard owner.
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
            dropped: Job { state: JobState::Cancelled, ..Job::unread(0) },
            watched_revision: None,
            changed: Vec::new(),
            newly_cancelled: Vec::new(),
            drop_due_at: 0,
        }
    }
}

impl JobTable {
    /// The index of a job whose record has been read.
    pub fn index_of(&self, id: &str) -> Option<JobIndex> {
        self.indices.get(id).copied().filter(|index| self.get(*index).is_read())
    }

    /// Whether the job has an index, with or without its record.
    pub fn has_index(&self, id: &str) -> bool {
        self.indices.contains_key(id)
    }

    /// The index of a job that is referred to. If it is not in memory its record
    /// is to be read (see [`JobTable::unread`]).
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

    /// The job; one that has been dropped looks cancelled.
    pub fn get(&self, index: JobIndex) -> &Job {
        self.entries.get(&index).map_or(&self.dropped, |entry| &entry.job)
    }

    /// The job, unless it has been dropped.
    pub fn get_mut(&mut self, index: JobIndex) -> Option<&mut Job> {
        self.entries.get_mut(&index).map(|entry| &mut entry.job)
    }

    /// The id of a job; empty if it has been dropped.
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

    /// How many jobs are in memory.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no job is in memory.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Notes that the record of a job has been read, or that there is none.
    pub(crate) fn set_read(&mut self, index: JobIndex) {
        self.unread.remove(&index);
    }

    /// Jobs that are referred to and whose own record has yet to be read.
    pub fn unread(&self) -> &BTreeSet<JobIndex> {
        &self.unread
    }

    /// Notes that a job has become final.
    pub(crate) fn set_final(&mut self, index: JobIndex) {
        self.final_jobs.push_back(index);
    }

    /// Descriptions of final jobs go first: some time after the end nothing is
    /// left on any machine that they could be needed for.
    pub(crate) fn drop_specs(&mut self, final_before: Ms) {
        for index in &self.final_jobs {
            let Some(entry) = self.entries.get_mut(index) else { continue };
            if entry.job.state_since < final_before && entry.job.state != JobState::Live {
                entry.job.spec = None;
            }
        }
    }

    /// The revision up to which every change has been taken in; none while all records
    /// are read for the first time, or again.
    pub fn watched_revision(&self) -> Option<u64> {
        self.watched_revision
    }

    /// Notes that every change up to this revision has been taken in, or that all records
    /// are to be read again.
    pub fn set_watched_revision(&mut self, revision: Option<u64>) {
        self.watched_revision = revision;
    }

    /// Notes that the leader has to look at a job again.
    pub(crate) fn mark_changed(&mut self, index: JobIndex) {
        self.changed.push(index);
    }

    /// Takes the jobs that have changed, in the order of their changes.
    pub fn take_changed(&mut self) -> Vec<JobIndex> {
        std::mem::take(&mut self.changed)
    }

    /// Forgets which jobs have changed.
    pub fn clear_changed(&mut self) {
        self.changed.clear();
    }

    /// Notes that the shard owner has to stop a job's tasks.
    pub(crate) fn mark_newly_cancelled(&mut self, index: JobIndex) {
        self.newly_cancelled.push(index);
    }

    /// Takes the jobs whose cancellation has just become known.
    pub fn take_newly_cancelled(&mut self) -> Vec<JobIndex> {
        std::mem::take(&mut self.newly_cancelled)
    }

    /// Whether final jobs may be dropped again; if so, not before another gap.
    pub(crate) fn take_drop_due(&mut self, now: Ms, gap: Ms) -> bool {
        let is_due = now >= self.drop_due_at;
        if is_due {
            self.drop_due_at = now + gap;
        }
        is_due
    }

    /// Adds the jobs that the table itself refers to.
    pub(crate) fn add_referenced(&self, indices: &mut FxHashSet<JobIndex>) {
        indices.extend(&self.changed);
        indices.extend(&self.newly_cancelled);
        let live = self.values().filter(|job| job.state == JobState::Live);
        indices.extend(live.flat_map(|job| &job.links.dependencies));
    }

    /// Whether final jobs are to be dropped.
    pub fn is_over_limit(&self) -> bool {
        self.final_jobs.len() >= MAX_FINAL_JOBS + FINAL_JOBS_BATCH
    }

    /// Drops the oldest final jobs beyond [`MAX_FINAL_JOBS`], except those in use.
    ///
    /// A record newer than `watched_revision` stays: the watch has still to tell
    /// the changes before it, and would bring the job back as live.
    pub(crate) fn drop_final(&mut self, in_use: &FxHashSet<JobIndex>, watched_revision: u64) {
        let mut surplus = self.final_jobs.len().saturating_sub(MAX_FINAL_JOBS);
        let mut kept = VecDeque::with_capacity(self.final_jobs.len());
        for index in std::mem::take(&mut self.final_jobs) {
            let job = self.get(index);
            // Another cell has offered it again, so that it is no longer final.
            if job.state == JobState::Live {
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
