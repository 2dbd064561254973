//! How many tasks of each live job are done and run. The leader knows and tells the other
//! nodes with its heartbeats, so that each can answer users.

use std::collections::HashMap;

/// Tasks of one job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskCount {
    /// Id of the job.
    pub job: String,
    /// Tasks that are done.
    pub done: u32,
    /// Tasks that run.
    pub running: u32,
}

impl TaskCount {
    /// The form that a heartbeat has it in.
    pub(crate) fn into_wire(self) -> (String, u32, u32) {
        (self.job, self.done, self.running)
    }

    /// Reads the form that a heartbeat has it in.
    pub(crate) fn from_wire((job, done, running): &(String, u32, u32)) -> TaskCount {
        TaskCount { job: job.clone(), done: *done, running: *running }
    }
}

/// The counts that are known, and those that the leader has yet to tell.
#[derive(Debug, Default)]
pub struct TaskCounts {
    known: HashMap<String, TaskCount>,
    to_announce: Vec<TaskCount>,
}

impl TaskCounts {
    /// The counts of a job; none if the leader has not told any.
    pub fn get(&self, job: &str) -> Option<&TaskCount> {
        self.known.get(job)
    }

    /// Sets what the next heartbeat tells.
    pub(crate) fn announce(&mut self, counts: Vec<TaskCount>) {
        self.to_announce = counts;
    }

    /// Takes what the next heartbeat tells.
    pub(crate) fn take_announcement(&mut self) -> Vec<TaskCount> {
        std::mem::take(&mut self.to_announce)
    }

    /// Takes in what the leader tells.
    pub(crate) fn learn(&mut self, counts: impl IntoIterator<Item = TaskCount>) {
        for count in counts {
            self.known.insert(count.job.clone(), count);
        }
    }

    /// Keeps the counts of those jobs only.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.known.retain(|job, _| is_kept(job));
    }
}
