//! Worker reports and commands.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Report {
    #[serde(rename = "hull")]
    pub machine: String,
    #[serde(rename = "endpoint")]
    pub addr: String,
    #[serde(rename = "hulltype")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "standby", default)]
    pub spot: bool,
    #[serde(rename = "shift")]
    pub session: u64,
    #[serde(rename = "tally")]
    pub seq: u64,
    #[serde(rename = "baton", default)]
    pub token: u64,
    #[serde(rename = "warning_s", default)]
    pub notice_s: Option<f64>,
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<ReportTask>,
}

#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct ReportTask {
    #[serde(rename = "piece")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "status")]
    pub state: TaskState,
    #[serde(rename = "cause", default)]
    pub why: Option<String>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    Fetching,
    Running,
    #[serde(rename = "flushing")]
    Saving,
    #[serde(rename = "ended")]
    Exited,
    /// A state this version doesn't know is handled like a running task.
    #[serde(other)]
    Other,
}

#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Command {
    #[serde(rename = "verb")]
    pub op: Op,
    #[serde(rename = "piece")]
    pub task: String,
    #[serde(rename = "try")]
    pub attempt: u64,
    #[serde(rename = "leeway_s", skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    #[serde(rename = "run")]
    Start,
    #[serde(rename = "kill")]
    Stop,
    #[serde(rename = "clear")]
    Forget,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReportAnswer {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// What goes straight to a worker. It may be carried out minutes late, so it only
/// ever stops tasks.
#[derive(Debug, Clone, Serialize)]
pub struct DirectCommands {
    #[serde(rename = "baton")]
    pub token: u64,
    #[serde(rename = "shift")]
    pub session: u64,
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

#[derive(Debug, Clone, Serialize)]
pub struct Redirect {
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
