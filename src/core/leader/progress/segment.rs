//! The segments that a job's progress is divided into, one record each.

/// Tasks of a whole segment: up to 4 KiB of hexadecimal digits.
const SEGMENT_TASKS: u32 = 16_384;
/// Tasks of a part of a segment: half a KiB, below any limit on values that the settings
/// accept.
const PART_TASKS: u32 = 2_048;
/// Parts of a whole segment.
const PARTS_PER_SEGMENT: u32 = SEGMENT_TASKS / PART_TASKS;
/// Tasks of one word of a [`TaskSet`](crate::model::TaskSet).
const TASKS_PER_WORD: u32 = 64;

/// One record of a job's progress: `progress/<id>/<n>`, or a part of that,
/// `progress/<id>/<n>.<part>`.
///
/// Versions before the lower limits on values read whole segments only. So parts are written
/// only once the store has refused a whole segment. That shows that its limits have fallen,
/// which happens after the last process of such a version has ended. Both are always read. Bits
/// are only ever added, so that both together are right.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProgressSegment {
    number: u32,
    part: Option<u32>,
}

impl ProgressSegment {
    /// The segment, or the part of it, that a task belongs to.
    pub(super) fn of(task: u32, in_parts: bool) -> ProgressSegment {
        ProgressSegment {
            number: task / SEGMENT_TASKS,
            part: in_parts.then_some(task % SEGMENT_TASKS / PART_TASKS),
        }
    }

    /// Length of a whole segment's JSON text, in bytes, for a job of so many tasks.
    pub(super) fn whole_text_len(tasks: u32) -> usize {
        let digits = tasks.min(SEGMENT_TASKS).div_ceil(4) as usize;
        let quotes = 2;
        digits + quotes
    }

    /// Whether it is a part of a segment.
    pub fn is_part(self) -> bool {
        self.part.is_some()
    }

    /// Its first word in the job's set of tasks.
    pub fn first_word(self) -> usize {
        let first_task = self.number * SEGMENT_TASKS + self.part.unwrap_or(0) * PART_TASKS;
        (first_task / TASKS_PER_WORD) as usize
    }

    /// Number of its words in the job's set of tasks.
    pub(super) fn words(self) -> usize {
        let tasks = if self.is_part() { PART_TASKS } else { SEGMENT_TASKS };
        (tasks / TASKS_PER_WORD) as usize
    }

    /// Key of its record, for the job with this id.
    pub fn key(self, id: &str) -> String {
        match self.part {
            None => format!("progress/{id}/{}", self.number),
            Some(part) => format!("progress/{id}/{}.{part}", self.number),
        }
    }

    /// The job's id and the segment that a key stands for; `None` if it is no such key.
    pub fn of_key(key: &str) -> Option<(&str, ProgressSegment)> {
        let (id, segment) = key.strip_prefix("progress/")?.split_once('/')?;
        let (number, part) = match segment.split_once('.') {
            Some((number, part)) => {
                (number, Some(part.parse().ok().filter(|part| *part < PARTS_PER_SEGMENT)?))
            }
            None => (segment, None),
        };
        let number = number.parse().ok().filter(|number| *number < u32::MAX / SEGMENT_TASKS)?;
        Some((id, ProgressSegment { number, part }))
    }
}
