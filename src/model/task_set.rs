//! Sets of task numbers, and the names of tasks.

/// Splits the name of a task into the id of its job and its number: `run-000412/3` becomes
/// (`run-000412`, 3).
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, task) = name.rsplit_once('/')?;
    Some((job, task.parse().ok()?))
}

const WORD_BITS: u32 = u64::BITS;

/// A set of task numbers of one job.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u32,
}

impl TaskSet {
    /// Creates an empty set that can hold the tasks from 0 to `tasks` - 1.
    pub fn with_capacity(tasks: u32) -> Self {
        TaskSet { words: vec![0; tasks.div_ceil(WORD_BITS) as usize], count: 0 }
    }

    /// Adds a task. Returns whether it was not yet in the set.
    pub fn insert(&mut self, task: u32) -> bool {
        let Some(word) = self.words.get_mut((task / WORD_BITS) as usize) else { return false };
        let bit = 1 << (task % WORD_BITS);
        let is_new = *word & bit == 0;
        *word |= bit;
        self.count += u32::from(is_new);
        is_new
    }

    /// Whether the task is in the set.
    pub fn contains(&self, task: u32) -> bool {
        self.words
            .get((task / WORD_BITS) as usize)
            .is_some_and(|word| word & (1 << (task % WORD_BITS)) != 0)
    }

    /// Returns the number of tasks in the set.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Encodes the words `from..to` of the set as hexadecimal text without trailing zeros: the bytes
    /// from the lowest to the highest, each with its high digit first.
    pub fn to_hex(&self, from: usize, to: usize) -> String {
        let words = &self.words[from.min(self.words.len())..to.min(self.words.len())];
        let mut text: String = words.iter().map(|word| format!("{:016x}", word.swap_bytes())).collect();
        text.truncate(text.trim_end_matches('0').len());
        text
    }

    /// Adds the tasks that `to_hex` encoded, beginning with word `from`. An invalid digit and all
    /// text after it are ignored.
    pub fn add_hex(&mut self, from: usize, text: &str) {
        let first_task = from * WORD_BITS as usize;
        for (position, digit) in text.chars().enumerate() {
            let Some(digit) = digit.to_digit(16) else { return };
            let first_bit = position / 2 * 8 + if position % 2 == 0 { 4 } else { 0 };
            for bit in (0..4).filter(|bit| digit & (1 << bit) != 0) {
                self.insert((first_task + first_bit + bit) as u32);
            }
        }
    }
}
