//! The specification of a job as submitted by a user.

use super::Resources;
use serde::{Deserialize, Serialize};

/// Priority of a job. Higher priorities compare as greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Runs only when no other work is waiting.
    #[serde(rename = "l")]
    Low,
    /// The ordinary priority.
    #[serde(rename = "n")]
    Normal,
    /// Takes precedence over normal work.
    #[serde(rename = "h")]
    High,
    /// Takes precedence over all other work.
    #[serde(rename = "p")]
    Production,
}

/// Specification of an accepted job, which is written once. Short field names keep its record
/// small.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct JobSpec {
    /// Class of jobs that it belongs to.
    #[serde(rename = "k", default)]
    pub class: String,
    /// Team whose guarantee and quota apply to the job.
    #[serde(rename = "m")]
    pub team: String,
    /// Priority of the job itself.
    #[serde(rename = "p")]
    pub priority: Priority,
    /// Number of tasks. A job of more than one task is a job array.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// CPUs of one task.
    #[serde(rename = "c")]
    pub cpus: f64,
    /// GPUs of one task.
    #[serde(rename = "g", default)]
    pub gpus: f64,
    /// Memory of one task in GB.
    #[serde(rename = "w")]
    pub memory_gb: f64,
    /// Machine types that the job may run on; `None` means any.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only zone that the job may run in; `None` means any.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    #[serde(rename = "o", default)]
    pub one_zone: bool,
    /// Whether at most half of the tasks may be in one zone.
    #[serde(rename = "x", default)]
    pub spread: bool,
    /// Whether the job may run on spot instances.
    #[serde(rename = "s", default)]
    pub spot: bool,
    /// Image that a machine needs to run a task.
    #[serde(rename = "i", default)]
    pub image: String,
    /// Size of the image in GB.
    #[serde(rename = "ig", default)]
    pub image_gb: f64,
    /// The user's estimate of a task's run time, in seconds.
    #[serde(rename = "e")]
    pub estimate_s: f64,
    /// Interval between checkpoints in seconds, or 0 if a task never saves one.
    #[serde(rename = "b", default)]
    pub checkpoint_s: f64,
    /// Time in seconds that a task needs to save a checkpoint when it is stopped.
    #[serde(rename = "v", default)]
    pub save_s: f64,
    /// Deadline for the whole job, in seconds from its submission.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Wall-clock time at which the job was accepted, in milliseconds.
    #[serde(rename = "a", default)]
    pub accepted_at_ms: u64,
}

impl JobSpec {
    /// Returns the resource demand of one task, for bin packing.
    pub fn demand(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, memory_gb: self.memory_gb }
    }
}
