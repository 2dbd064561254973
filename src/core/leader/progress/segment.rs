//! The segments that a job's progress is divided into. Each is stored in a record of its own.

/// Number of tasks in a whole segment, which takes up to 4 KiB of hexadecimal digits.
const TASKS_PER_SEGMENT: u32 = 16_384;
/// Number of tasks in a part of a segment. A part takes half a KiB, which is below any limit on
/// the size of values that the settings accept.
const TASKS_PER_PART: u32 = 2_048;
/// Number of parts in a whole segment.
const PARTS_PER_SEGMENT: u32 = TASKS_PER_SEGMENT / TASKS_PER_PART;
/// Number of tasks in one word of a [`TaskSet`](crate::model::TaskSet).
const TASKS_PER_WORD: u32 = 64;

/// Identifies one progress record of a job: a whole segment with the key `progress/<id>/<n>`, or
/// a part of a segment with the key `progress/<id>/<n>.<part>`.
///
/// Software versions that predate the lower limits on the size of values read whole segments
/// only. Parts are therefore written only once the store has rejected a whole segment. The
/// rejection shows that the lower limits are in force, which happens only after the last process
/// of such a version has ended. Both kinds of record are always read. Bits are only ever added,
/// so the union of both is correct.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ProgressSegment {
    number: u32,
    part: Option<u32>,
}

impl ProgressSegment {
    /// Returns the segment, or the part of a segment, that a task belongs to.
    pub(super) fn of(task: u32, in_parts: bool) -> ProgressSegment {
        ProgressSegment {
            number: task / TASKS_PER_SEGMENT,
            part: in_parts.then_some(task % TASKS_PER_SEGMENT / TASKS_PER_PART),
        }
    }

    /// Length in bytes of the JSON text of a whole segment, for a job with this number of tasks.
    pub(super) fn whole_text_len(tasks: u32) -> usize {
        let digits = tasks.min(TASKS_PER_SEGMENT).div_ceil(4) as usize;
        let quotes = 2;
        digits + quotes
    }

    /// Whether this is a part of a segment.
    pub fn is_part(self) -> bool {
        self.part.is_some()
    }

    /// Index of the segment's first word in the job's task set.
    pub fn first_word(self) -> usize {
        let first_task = self.number * TASKS_PER_SEGMENT + self.part.unwrap_or(0) * TASKS_PER_PART;
        (first_task / TASKS_PER_WORD) as usize
    }

    /// Number of words of the job's task set that the segment covers.
    pub(super) fn word_count(self) -> usize {
        let tasks = if self.is_part() { TASKS_PER_PART } else { TASKS_PER_SEGMENT };
        (tasks / TASKS_PER_WORD) as usize
    }

    /// Key of the segment's record for the job with this id.
    pub fn key(self, id: &str) -> String {
        match self.part {
            None => format!("progress/{id}/{}", self.number),
            Some(part) => format!("progress/{id}/{}.{part}", self.number),
        }
    }

    /// Parses the key of a progress record into the job's id and the segment. Returns `None` if
    /// it is not such a key.
    pub fn of_key(key: &str) -> Option<(&str, ProgressSegment)> {
        let (id, segment) = key.strip_prefix("progress/")?.split_once('/')?;
        let (number, part) = match segment.split_once('.') {
            Some((number, part)) => {
                (number, Some(part.parse().ok().filter(|part| *part < PARTS_PER_SEGMENT)?))
            }
            None => (segment, None),
        };
        let number = number.parse().ok().filter(|number| *number < u32::MAX / TASKS_PER_SEGMENT)?;
        Some((id, ProgressSegment { number, part }))
    }
}
