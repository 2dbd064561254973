//! Records the attempts that all workers ran, for checks by tests.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// An event in the life of an attempt on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// The worker received a command to run the attempt.
    CommandReceived,
    /// The attempt started.
    Started,
    /// The attempt completed.
    Completed,
    /// The attempt was killed by a command, or dropped because the worker's lease expired.
    Stopped,
}

/// One entry of the history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Name of the task: the id of the job and the number of the task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Name of the machine.
    pub machine: String,
    /// The event.
    pub event: AttemptEvent,
}

/// Entries of all workers, in the order of the events. Clones share the entries.
#[derive(Debug, Clone, Default)]
pub struct History(Arc<Mutex<Vec<Entry>>>);

impl History {
    fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an entry.
    pub fn record(&self, task: &str, attempt: u64, machine: &str, event: AttemptEvent) {
        let (task, machine) = (task.to_string(), machine.to_string());
        self.entries().push(Entry { task, attempt, machine, event });
    }

    /// Number of starts of each task.
    pub fn starts_by_task(&self) -> BTreeMap<String, u32> {
        let mut starts = BTreeMap::new();
        for entry in self.entries().iter().filter(|entry| entry.event == AttemptEvent::Started) {
            *starts.entry(entry.task.clone()).or_default() += 1;
        }
        starts
    }

    /// Names of the machines on which each task was started, in the order of the starts.
    pub fn machines_by_task(&self) -> BTreeMap<String, Vec<String>> {
        let mut machines: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for entry in self.entries().iter().filter(|entry| entry.event == AttemptEvent::Started) {
            machines.entry(entry.task.clone()).or_default().push(entry.machine.clone());
        }
        machines
    }

    /// Tasks that are running now, with the name of the machine on which each was last started.
    pub fn running(&self) -> BTreeMap<String, String> {
        let mut running = BTreeMap::new();
        for entry in self.entries().iter() {
            match entry.event {
                AttemptEvent::CommandReceived => {}
                AttemptEvent::Started => {
                    running.insert(entry.task.clone(), entry.machine.clone());
                }
                AttemptEvent::Completed | AttemptEvent::Stopped => {
                    running.remove(&entry.task);
                }
            }
        }
        running
    }

    /// Number of attempts that workers received a command to run.
    pub fn commanded_attempts(&self) -> usize {
        let entries = self.entries();
        let received = entries.iter().filter(|entry| entry.event == AttemptEvent::CommandReceived);
        received.map(|entry| (&entry.task, entry.attempt)).collect::<HashSet<_>>().len()
    }

    /// Number of attempts that were killed by a command or dropped because a lease expired.
    pub fn stopped(&self) -> usize {
        self.entries().iter().filter(|entry| entry.event == AttemptEvent::Stopped).count()
    }

    /// Tasks that were started while another attempt of the same task was running. A task is
    /// listed once for each such start.
    pub fn concurrent_starts(&self) -> Vec<String> {
        let mut running: HashMap<String, u32> = HashMap::new();
        let mut concurrent = Vec::new();
        for entry in self.entries().iter() {
            let count = running.entry(entry.task.clone()).or_default();
            match entry.event {
                AttemptEvent::CommandReceived => {}
                AttemptEvent::Started => {
                    *count += 1;
                    if *count > 1 {
                        concurrent.push(entry.task.clone());
                    }
                }
                AttemptEvent::Completed | AttemptEvent::Stopped => *count = count.saturating_sub(1),
            }
        }
        concurrent
    }
}
