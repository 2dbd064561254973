//! The worker protocol: heartbeats of workers, and commands to them.

use serde::{Deserialize, Serialize};

/// A worker's heartbeat with its status.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct WorkerHeartbeat {
    /// Name of the machine.
    #[serde(rename = "hull")]
    pub machine: String,
    /// Address for direct commands.
    #[serde(rename = "endpoint")]
    pub addr: String,
    /// Type of the machine.
    #[serde(rename = "hulltype")]
    pub machine_type: String,
    /// Zone of the machine.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot instance.
    #[serde(rename = "standby", default)]
    pub spot: bool,
    /// Incarnation of the worker; a new one begins when its lease expires.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Count of heartbeats and answers to direct commands within the incarnation.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "baton", default)]
    pub fencing_token: u64,
    /// Time until the cloud takes the machine away, in seconds, if it has said so.
    #[serde(rename = "warning_s", default)]
    pub preemption_notice_s: Option<f64>,
    /// Every attempt on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<HeartbeatTask>,
}

/// An attempt in a worker's heartbeat.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct HeartbeatTask {
    /// Id of the job and number of the task.
    #[serde(rename = "piece")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// How far it is.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why it ended.
    #[serde(rename = "cause", default)]
    pub why: Option<String>,
}

/// How far an attempt is, in a worker's heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Is waiting for its image.
    Fetching,
    /// Is running.
    Running,
    /// Was told to stop and is saving a checkpoint.
    #[serde(rename = "flushing")]
    Saving,
    /// Has ended.
    #[serde(rename = "ended")]
    Exited,
    /// A state that this version doesn't know; handled like a running task.
    #[serde(other)]
    Other,
}

/// A command to a worker.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Command {
    /// What to do.
    #[serde(rename = "verb")]
    pub action: CommandAction,
    /// Id of the job and number of the task.
    #[serde(rename = "piece")]
    pub task: String,
    /// Number of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Time for saving a checkpoint, in seconds.
    #[serde(rename = "leeway_s", skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

/// What a worker is to do with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandAction {
    /// Start it.
    #[serde(rename = "run")]
    Start,
    /// Stop it.
    #[serde(rename = "kill")]
    Stop,
    /// Leave it out of later heartbeats.
    #[serde(rename = "clear")]
    Forget,
}

/// Response to a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the sender.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// What the worker is to do, in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands that are sent to a worker's address. They may be carried out minutes late, so
/// they only ever stop tasks.
#[derive(Debug, Clone, Serialize)]
pub struct DirectCommands {
    /// Fencing token of the sender.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Incarnation of the worker that the commands are meant for.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// What the worker is to do, in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Response to a heartbeat that belongs to another node.
#[derive(Debug, Clone, Serialize)]
pub struct Redirect {
    /// That node, if it is known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
