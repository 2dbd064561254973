//! What all workers did, for a test to check afterwards.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// What happened to an attempt on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A command to run it arrived.
    Ordered,
    /// It began to run.
    Started,
    /// It completed.
    Completed,
    /// It was stopped, or dropped at the end of a lease.
    Stopped,
}

/// One entry of the history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Id of the job and number of the task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u64,
    /// Name of the machine.
    pub machine: String,
    /// What happened.
    pub step: Step,
}

/// Entries of all workers in the order in which they happened.
#[derive(Debug, Clone, Default)]
pub struct History(Arc<Mutex<Vec<Entry>>>);

impl History {
    fn entries(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds an entry.
    pub fn record(&self, task: &str, attempt: u64, machine: &str, step: Step) {
        let (task, machine) = (task.to_string(), machine.to_string());
        self.entries().push(Entry { task, attempt, machine, step });
    }

    /// How often each task was started.
    pub fn starts(&self) -> BTreeMap<String, u32> {
        let mut starts = BTreeMap::new();
        for entry in self.entries().iter().filter(|entry| entry.step == Step::Started) {
            *starts.entry(entry.task.clone()).or_default() += 1;
        }
        starts
    }

    /// The machines on which each task was started, in the order of its starts.
    pub fn machines(&self) -> BTreeMap<String, Vec<String>> {
        let mut machines: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for entry in self.entries().iter().filter(|entry| entry.step == Step::Started) {
            machines.entry(entry.task.clone()).or_default().push(entry.machine.clone());
        }
        machines
    }

    /// Tasks that are running now, with their machines.
    pub fn running(&self) -> BTreeMap<String, String> {
        let mut running = BTreeMap::new();
        for entry in self.entries().iter() {
            match entry.step {
                Step::Ordered => {}
                Step::Started => {
                    running.insert(entry.task.clone(), entry.machine.clone());
                }
                Step::Completed | Step::Stopped => {
                    running.remove(&entry.task);
                }
            }
        }
        running
    }

    /// Number of attempts that workers were told to run.
    pub fn ordered(&self) -> usize {
        let entries = self.entries();
        let ordered = entries.iter().filter(|entry| entry.step == Step::Ordered);
        ordered.map(|entry| (&entry.task, entry.attempt)).collect::<HashSet<_>>().len()
    }

    /// How many attempts were stopped, or dropped at the end of a lease.
    pub fn stopped(&self) -> usize {
        self.entries().iter().filter(|entry| entry.step == Step::Stopped).count()
    }

    /// Tasks that were started while another attempt was running, once for each such start.
    pub fn ran_twice(&self) -> Vec<String> {
        let mut running: HashMap<String, u32> = HashMap::new();
        let mut twice = Vec::new();
        for entry in self.entries().iter() {
            let count = running.entry(entry.task.clone()).or_default();
            match entry.step {
                Step::Ordered => {}
                Step::Started => {
                    *count += 1;
                    if *count > 1 {
                        twice.push(entry.task.clone());
                    }
                }
                Step::Completed | Step::Stopped => *count = count.saturating_sub(1),
            }
        }
        twice
    }
}
