//! Frames between our own nodes: bitcode, length-delimited.
//!
//! Leader and shard owners exchange whole states, not steps: what the leader wants in a shard
//! ([`DesiredState`]), and what its owner has in it ([`ReportedState`]). The next frame makes
//! up for one that was lost, late or repeated, and no connection state has to be agreed on.
//!
//! Frames are encoded by position: the order of fields and of enum variants is part of the
//! protocol, their names are not.

use bitcode::{Decode, Encode};

/// A frame of more bytes than this closes the connection.
pub const MAX_FRAME: usize = 4 << 20;

/// A message from one node to another.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct Frame {
    /// Name of the sender.
    pub from: String,
    /// Incarnation of the sender's process.
    pub incarnation: u64,
    /// The message.
    pub message: PeerMessage,
}

/// The content of a frame.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub enum PeerMessage {
    /// From any node to any other, twice a second.
    Heartbeat(PeerHeartbeat),
    /// From the leader to a shard owner.
    DesiredState(DesiredState),
    /// From a shard owner to the leader.
    ReportedState(ReportedState),
}

/// Prefix that tells the id of a cancelled job from the name of a silent node in a
/// heartbeat.
const CANCELLED_PREFIX: &str = "cancelled ";

/// A heartbeat between nodes, with whether the store answers the sender.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct PeerHeartbeat {
    /// Time since the store last answered the sender, in milliseconds.
    pub store_silence_ms: u64,
    /// Names of silent nodes and, with a prefix, ids of cancelled jobs. Versions from before
    /// cancelled jobs look for their own name here and ignore all else, while a new kind of
    /// message would close the connection.
    names: Vec<String>,
    /// Id of each live job with its numbers of tasks that are done and that are running;
    /// from the leader only, for the answers to users.
    pub task_counts: Vec<(String, u32, u32)>,
}

impl PeerHeartbeat {
    /// A heartbeat that names the nodes whose frames no longer arrive and the jobs whose
    /// cancellation the sender has just confirmed.
    pub fn new(
        store_silence_ms: u64,
        silent_peers: Vec<String>,
        cancelled_jobs: &[String],
        task_counts: Vec<(String, u32, u32)>,
    ) -> PeerHeartbeat {
        let mut names = silent_peers;
        names.extend(cancelled_jobs.iter().map(|id| format!("{CANCELLED_PREFIX}{id}")));
        PeerHeartbeat { store_silence_ms, names, task_counts }
    }

    /// Whether the sender no longer receives the frames of this node.
    pub fn names_as_silent(&self, node: &str) -> bool {
        self.names.iter().any(|name| name == node)
    }

    /// Ids of the jobs whose cancellation the sender has confirmed.
    pub fn cancelled_jobs(&self) -> impl Iterator<Item = &str> {
        self.names.iter().filter_map(|name| name.strip_prefix(CANCELLED_PREFIX))
    }
}

/// From the leader: everything that shall be in one shard.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct DesiredState {
    /// Term of the leader.
    pub term: u64,
    /// Index of the shard.
    pub shard: u32,
    /// Fencing token of the shard owner that it is meant for.
    pub fencing_token: u64,
    /// Rises with each message of a term about this shard.
    pub serial: u64,
    /// Jobs with the tasks that shall be there.
    pub jobs: Vec<DesiredJob>,
    /// Tasks that fit into no free capacity; the owner counts each on its best-fit machine.
    pub waiting: Vec<WaitingTasks>,
    /// Names of machines that get no new tasks until they are drained.
    pub cordoned: Vec<String>,
    /// Machines to be drained and then terminated.
    pub decommission: Vec<Decommission>,
    /// Names of machines whose termination the cloud has confirmed.
    pub gone: Vec<String>,
    /// Names of machines that must not get new tasks for now.
    pub quarantined: Vec<String>,
}

/// A machine to be drained and then terminated.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct Decommission {
    /// Its name.
    pub machine: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub spot: bool,
}

/// Tasks of a job that wait for capacity.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct WaitingTasks {
    /// Id of the job.
    pub job: String,
    /// Number of tasks.
    pub count: u32,
}

/// A job with tasks that shall be in a shard.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct DesiredJob {
    /// Id of the job.
    pub job: String,
    /// Expected run time of a task, in seconds, as learned from earlier ones.
    pub expected_s: f64,
    /// Each admitted task as (task, attempt, may bind): whether the attempt may still be
    /// bound to a machine for the first time.
    pub tasks: Vec<(u32, u64, bool)>,
}

/// From a shard owner: everything that may be in its shard. What is missing here is proven
/// absent, or was never bound.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct ReportedState {
    /// Term of the leader that it is meant for.
    pub term: u64,
    /// Index of the shard.
    pub shard: u32,
    /// Fencing token of the sender.
    pub fencing_token: u64,
    /// Serial of the newest `DesiredState` that this answers; 0 for none.
    pub echo: u64,
    /// Machine types, to which machines refer by index: thousands of tasks share a few jobs
    /// and types.
    pub types: Vec<String>,
    /// Jobs, to which attempts refer by index.
    pub jobs: Vec<ReportedJob>,
    /// All machines of the shard.
    pub machines: Vec<ReportedMachine>,
}

/// A job with the demand of one of its tasks.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct ReportedJob {
    /// Id of the job.
    pub job: String,
    /// Its team.
    pub team: String,
    /// CPUs of one task.
    pub cpus: f64,
    /// GPUs of one task.
    pub gpus: f64,
    /// Memory of one task in GB.
    pub memory_gb: f64,
}

/// A machine as its shard owner knows it.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct ReportedMachine {
    /// Its name.
    pub machine: String,
    /// Index of its type in [`ReportedState::types`].
    pub machine_type: u32,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Time since its last heartbeat, in milliseconds; `u64::MAX` if none reached this owner.
    pub silent_ms: u64,
    /// Whether the cloud is about to take it away.
    pub preemption_notice: bool,
    /// Whether its termination is on record.
    pub terminating: bool,
    /// Whether a heartbeat has shown that it knows the owner's fencing token.
    pub fenced: bool,
    /// Whether its heartbeats arrive, but nothing reaches it.
    pub unreachable: bool,
    /// Projected peak use as a share of its capacity.
    pub peak: f64,
    /// Whether it is projected to be overloaded.
    pub overloaded: bool,
    /// Attempts that may be on it.
    pub tasks: Vec<ReportedTask>,
}

/// An attempt as its shard owner knows it.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct ReportedTask {
    /// Index of its job in [`ReportedState::jobs`].
    pub job: u32,
    /// Number of the task.
    pub task: u32,
    /// Number of the attempt.
    pub attempt: u64,
    /// How far it is.
    pub state: ReportedPhase,
    /// Run time so far, or in all if it has ended, in milliseconds.
    pub ran_ms: u64,
}

/// How far an attempt is.
#[derive(Debug, Clone, Copy, Encode, Decode, PartialEq, Eq)]
pub enum ReportedPhase {
    /// Bound to the machine or sent to it, and not yet in a heartbeat.
    Bound,
    /// Is waiting for its image.
    Fetching,
    /// Is running.
    Running,
    /// Was told to stop and is saving a checkpoint.
    Saving,
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Failed.
    Failed,
    /// The machine refused the start.
    Refused,
}

impl ReportedPhase {
    /// Whether the attempt takes, or may take, capacity of its machine and quota of its team.
    pub fn occupies_capacity(self) -> bool {
        matches!(
            self,
            ReportedPhase::Bound
                | ReportedPhase::Fetching
                | ReportedPhase::Running
                | ReportedPhase::Saving
        )
    }
}
