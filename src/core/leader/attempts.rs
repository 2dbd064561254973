//! The leader's attempts: what may be on a machine, by whom it was granted or
//! told. Thousands are alive at once and a hundred end each second, so those of
//! one task or job are found without a look at all others.

use crate::model::{InstanceIndex, JobIndex, Ms, Resources, ShardIndex};
use crate::wire::peer::ReportedPhase;
use rustc_hash::FxHashMap;
use std::collections::BTreeSet;
use woadlever_recovery::disposition::{TaskAttempt, superseded};

#[derive(Debug)]
pub struct AttemptView {
    pub job: JobIndex,
    pub task: u32,
    pub shard: ShardIndex,
    /// Machine as the holder told, or as this leader guesses.
    pub machine: Option<InstanceIndex>,
    /// The holder may still choose a machine for it.
    pub may_bind: bool,
    pub is_wanted: bool,
    pub state: ReportedPhase,
    pub demand: Resources,
    pub team: Option<usize>,
    pub ran_ms: Ms,
    /// Serial of the first message to the holder that named it, under the present
    /// grant.
    pub first_named_in: Option<u64>,
}

impl AttemptView {
    /// Whether it takes, or may take, room and quota.
    pub fn occupies_capacity(&self) -> bool {
        use ReportedPhase::*;
        matches!(self.state, Bound | Fetching | Running | Saving)
    }
}

#[derive(Debug, Default)]
pub struct Attempts {
    by_id: FxHashMap<u64, AttemptView>,
    /// (job, task, attempt)
    by_task: BTreeSet<(JobIndex, u32, u64)>,
}

impl Attempts {
    pub fn insert(&mut self, id: u64, a: AttemptView) {
        self.by_task.insert((a.job, a.task, id));
        self.by_id.insert(id, a);
    }

    pub fn remove(&mut self, id: u64) -> Option<AttemptView> {
        let a = self.by_id.remove(&id)?;
        self.by_task.remove(&(a.job, a.task, id));
        Some(a)
    }

    pub fn get(&self, id: u64) -> Option<&AttemptView> {
        self.by_id.get(&id)
    }

    pub fn get_mut(&mut self, id: u64) -> Option<&mut AttemptView> {
        self.by_id.get_mut(&id)
    }

    pub fn contains(&self, id: u64) -> bool {
        self.by_id.contains_key(&id)
    }

    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    pub fn values(&self) -> impl Iterator<Item = &AttemptView> {
        self.by_id.values()
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut AttemptView> {
        self.by_id.values_mut()
    }

    pub fn iter(&self) -> impl Iterator<Item = (u64, &AttemptView)> {
        self.by_id.iter().map(|(id, a)| (*id, a))
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = (u64, &mut AttemptView)> {
        self.by_id.iter_mut().map(|(id, a)| (*id, a))
    }

    /// Whether any attempt at the task is known.
    pub fn has_task(&self, job: JobIndex, task: u32) -> bool {
        self.by_task.range((job, task, 0)..=(job, task, u64::MAX)).next().is_some()
    }

    /// Whether any attempt at a task of the job is known.
    pub fn has_job(&self, job: JobIndex) -> bool {
        self.by_task.range((job, 0, 0)..=(job, u32::MAX, u64::MAX)).next().is_some()
    }

    pub fn of_job(&self, job: JobIndex) -> Vec<u64> {
        self.by_task.range((job, 0, 0)..=(job, u32::MAX, u64::MAX)).map(|(_, _, id)| *id).collect()
    }

    /// Drops attempts at tasks that have a newer one.
    pub fn drop_superseded(&mut self) {
        let by_task = self.by_task.iter();
        let attempts: Vec<TaskAttempt<JobIndex>> =
            by_task.map(|&(job, task, attempt)| TaskAttempt { job, task, attempt }).collect();
        for id in superseded(&attempts) {
            self.remove(id);
        }
    }
}
