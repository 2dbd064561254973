//! Numbers of done and running tasks of each live job. The leader determines them and sends them
//! to the other nodes in its heartbeats, so that every node can answer users.

use std::collections::HashMap;

/// Numbers of done and running tasks of one job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskCount {
    /// Id of the job.
    pub job: String,
    /// Number of tasks that are done.
    pub done: u32,
    /// Number of tasks that are running.
    pub running: u32,
}

impl TaskCount {
    /// Converts the count to its form in a heartbeat.
    pub(crate) fn into_wire(self) -> (String, u32, u32) {
        (self.job, self.done, self.running)
    }

    /// Converts the count from its form in a heartbeat.
    pub(crate) fn from_wire((job, done, running): &(String, u32, u32)) -> TaskCount {
        TaskCount { job: job.clone(), done: *done, running: *running }
    }
}

/// The known counts, and on the leader those to be sent with the next heartbeat.
#[derive(Debug, Default)]
pub struct TaskCounts {
    known: HashMap<String, TaskCount>,
    to_announce: Vec<TaskCount>,
}

impl TaskCounts {
    /// Returns the counts of a job; `None` if the leader has not sent any.
    pub fn get(&self, job: &str) -> Option<&TaskCount> {
        self.known.get(job)
    }

    /// Sets the counts to be sent with the next heartbeat.
    pub(crate) fn announce(&mut self, counts: Vec<TaskCount>) {
        self.to_announce = counts;
    }

    /// Removes and returns the counts to be sent with the next heartbeat.
    pub(crate) fn take_announcement(&mut self) -> Vec<TaskCount> {
        std::mem::take(&mut self.to_announce)
    }

    /// Updates the known counts with those that the leader has sent.
    pub(crate) fn update(&mut self, counts: impl IntoIterator<Item = TaskCount>) {
        for count in counts {
            self.known.insert(count.job.clone(), count);
        }
    }

    /// Drops the counts of all jobs for which `is_kept` is false.
    pub(crate) fn retain(&mut self, is_kept: impl Fn(&str) -> bool) {
        self.known.retain(|job, _| is_kept(job));
    }
}
