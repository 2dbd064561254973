//! What users say of a job.

use super::Resources;
use serde::{Deserialize, Serialize};

/// Work of a higher priority sorts later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Runs when nothing else waits.
    #[serde(rename = "l")]
    Low,
    /// The usual priority.
    #[serde(rename = "n")]
    Normal,
    /// Goes before normal work.
    #[serde(rename = "h")]
    High,
    /// Goes before everything else.
    #[serde(rename = "p")]
    Production,
}

/// A job as accepted. Short names keep the record small; it is written once.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct JobSpec {
    /// Class of jobs that it belongs to.
    #[serde(rename = "k", default)]
    pub class: String,
    /// Team whose guarantee and quota apply.
    #[serde(rename = "m")]
    pub team: String,
    /// The job's own priority.
    #[serde(rename = "p")]
    pub priority: Priority,
    /// Number of tasks: a job of more than one is a job array.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// CPUs of one task.
    #[serde(rename = "c")]
    pub cpus: f64,
    /// GPUs of one task.
    #[serde(rename = "g", default)]
    pub gpus: f64,
    /// Memory of one task.
    #[serde(rename = "w")]
    pub memory_gb: f64,
    /// Machine types allowed; any if absent.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only zone allowed, if any.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    #[serde(rename = "o", default)]
    pub one_zone: bool,
    /// Whether at most half of the tasks may be in one zone.
    #[serde(rename = "x", default)]
    pub spread: bool,
    /// Whether spot machines may be used.
    #[serde(rename = "s", default)]
    pub spot: bool,
    /// Image that a machine needs to run a task.
    #[serde(rename = "i", default)]
    pub image: String,
    /// Size of the image.
    #[serde(rename = "ig", default)]
    pub image_gb: f64,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "e")]
    pub estimate_s: f64,
    /// Interval of checkpoints; 0 if a task never saves.
    #[serde(rename = "b", default)]
    pub checkpoint_s: f64,
    /// Time that a task needs to save when it is stopped.
    #[serde(rename = "v", default)]
    pub save_s: f64,
    /// When the job should be done, in seconds from its submission.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Time of day of the acceptance, in milliseconds.
    #[serde(rename = "a", default)]
    pub accepted_at_ms: u64,
}

impl JobSpec {
    /// What one task takes of its machine, for bin packing.
    pub fn demand(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, mem: self.memory_gb }
    }
}
