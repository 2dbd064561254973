//! The worker protocol: heartbeats of workers, and commands to them.

use serde::{Deserialize, Serialize};

/// A worker's heartbeat with its status.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct WorkerHeartbeat {
    /// Name of the machine.
    #[serde(rename = "hull")]
    pub machine: String,
    /// Address to which direct commands are sent.
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
    /// Incarnation of the worker. A new one begins when the worker's lease expires.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Number of heartbeats and responses to direct commands sent so far within the incarnation.
    #[serde(rename = "tally")]
    pub sequence: u64,
    /// Highest fencing token that the worker has seen.
    #[serde(rename = "baton", default)]
    pub fencing_token: u64,
    /// Time until the cloud preempts the machine, in seconds, if the cloud has announced it.
    #[serde(rename = "warning_s", default)]
    pub preemption_notice_s: Option<f64>,
    /// All attempts on the machine.
    #[serde(rename = "pieces", default)]
    pub tasks: Vec<HeartbeatTask>,
}

/// An attempt in a worker's heartbeat.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct HeartbeatTask {
    /// Name of the task, which consists of the id of its job and its number.
    #[serde(rename = "piece")]
    pub task: String,
    /// Id of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// State of the attempt.
    #[serde(rename = "status")]
    pub state: TaskState,
    /// Why the attempt ended.
    #[serde(rename = "cause", default)]
    pub end_reason: Option<String>,
}

/// State of an attempt in a worker's heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskState {
    /// Waiting for its image.
    Fetching,
    /// Running.
    Running,
    /// Saving a checkpoint after a command to stop.
    #[serde(rename = "flushing")]
    Saving,
    /// Ended.
    #[serde(rename = "ended")]
    Ended,
    /// A state that this version doesn't know. It is handled like `Running`.
    #[serde(other)]
    Other,
}

/// A command to a worker.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Command {
    /// What the worker is to do with the attempt.
    #[serde(rename = "verb")]
    pub action: CommandAction,
    /// Name of the task, which consists of the id of its job and its number.
    #[serde(rename = "piece")]
    pub task: String,
    /// Id of the attempt.
    #[serde(rename = "try")]
    pub attempt: u64,
    /// Time that the attempt has to save a checkpoint, in seconds.
    #[serde(rename = "leeway_s", skip_serializing_if = "Option::is_none")]
    pub grace_s: Option<f64>,
}

/// What a worker is to do with an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandAction {
    /// Start the attempt.
    #[serde(rename = "run")]
    Start,
    /// Stop the attempt.
    #[serde(rename = "kill")]
    Stop,
    /// Stop listing the attempt in heartbeats.
    #[serde(rename = "clear")]
    Forget,
}

/// Response to a heartbeat.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HeartbeatResponse {
    /// Fencing token of the sender.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Commands, which the worker carries out in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands that are sent to a worker's address. Because they may be carried out minutes late, they
/// only ever stop tasks.
#[derive(Debug, Clone, Serialize)]
pub struct DirectCommands {
    /// Fencing token of the sender.
    #[serde(rename = "baton")]
    pub fencing_token: u64,
    /// Incarnation of the worker that the commands are addressed to.
    #[serde(rename = "shift")]
    pub incarnation: u64,
    /// Commands, which the worker carries out in this order.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Response to a heartbeat whose sender belongs to another node.
#[derive(Debug, Clone, Serialize)]
pub struct Redirect {
    /// Name of the node to which the worker is to send its heartbeats, if it is known.
    #[serde(rename = "foreman", skip_serializing_if = "Option::is_none")]
    pub report_to: Option<String>,
}
