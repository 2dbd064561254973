//! Sets of task numbers, and names of tasks.

/// `run-000412/3` -> (`run-000412`, 3)
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, task) = name.rsplit_once('/')?;
    Some((job, task.parse().ok()?))
}

/// A set of task numbers that are done.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u32,
}

impl TaskSet {
    /// An empty set for tasks 0 to `tasks` - 1.
    pub fn with_room(tasks: u32) -> Self {
        TaskSet { words: vec![0; tasks.div_ceil(64) as usize], count: 0 }
    }

    /// Adds a task; whether it was new.
    pub fn insert(&mut self, task: u32) -> bool {
        let Some(word) = self.words.get_mut((task / 64) as usize) else { return false };
        let bit = 1 << (task % 64);
        let new = *word & bit == 0;
        *word |= bit;
        self.count += new as u32;
        new
    }

    /// Whether the task is in the set.
    pub fn contains(&self, task: u32) -> bool {
        self.words.get((task / 64) as usize).is_some_and(|w| w & (1 << (task % 64)) != 0)
    }

    /// Number of tasks in the set.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The part of the set in words `from..to`, as hexadecimal text with the
    /// trailing zeros left out.
    pub fn to_hex(&self, from: usize, to: usize) -> String {
        let words = &self.words[from.min(self.words.len())..to.min(self.words.len())];
        let mut s: String = words.iter().map(|w| format!("{:016x}", w.swap_bytes())).collect();
        s.truncate(s.trim_end_matches('0').len());
        s
    }

    /// Adds what `to_hex` wrote. Anything unreadable adds nothing.
    pub fn add_hex(&mut self, from: usize, text: &str) {
        for (i, c) in text.chars().enumerate() {
            let Some(v) = c.to_digit(16) else { return };
            for bit in 0..4 {
                if v & (1 << bit) != 0 {
                    // High digit first within a byte, low byte first.
                    let byte = i / 2;
                    let pos = byte * 8 + if i % 2 == 0 { 4 } else { 0 } + bit;
                    self.insert((from * 64 + pos) as u32);
                }
            }
        }
    }
}
