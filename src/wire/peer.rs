//! Length-delimited frames between the nodes of this service, encoded with bitcode.
//!
//! The leader and the shard owners exchange complete states rather than changes: what the leader
//! wants in a shard ([`DesiredState`]), and what the shard's owner has in it ([`ReportedState`]).
//! The next frame therefore makes up for one that was lost, delayed or duplicated, and the two
//! ends of a connection need not agree on any connection state.
//!
//! Frames are encoded by position: the order of fields and of enum variants is part of the
//! protocol, and their names are not.

use bitcode::{Decode, Encode};

/// Maximum length of a frame in bytes. A longer frame closes the connection.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

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
    /// Sent by each node to every other node, twice a second.
    Heartbeat(PeerHeartbeat),
    /// Sent by the leader to a shard owner.
    DesiredState(DesiredState),
    /// Sent by a shard owner to the leader.
    ReportedState(ReportedState),
}

/// Prefix that distinguishes the id of a cancelled job from the name of a silent node in a
/// heartbeat.
const CANCELLED_PREFIX: &str = "cancelled ";

/// A heartbeat between nodes, which also tells how recently the store answered the sender.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct PeerHeartbeat {
    /// Time since the store last answered the sender, in milliseconds.
    pub store_silence_ms: u64,
    /// Names of silent nodes and, with [`CANCELLED_PREFIX`], ids of cancelled jobs. Versions
    /// that don't know of cancelled jobs here only look for their own name and ignore all other
    /// entries, whereas a new variant of the message would make them close the connection.
    names: Vec<String>,
    /// Each live job as (id, number of done tasks, number of running tasks). Only the leader
    /// sends them; nodes need them for their answers to users.
    pub task_counts: Vec<(String, u32, u32)>,
}

impl PeerHeartbeat {
    /// Creates a heartbeat that lists the nodes whose frames no longer reach the sender and the
    /// jobs whose cancellation the sender has just confirmed.
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

    /// Whether the sender lists `node` as one whose frames no longer reach it.
    pub fn names_as_silent(&self, node: &str) -> bool {
        self.names.iter().any(|name| name == node)
    }

    /// Returns the ids of the jobs whose cancellation the sender has confirmed.
    pub fn cancelled_jobs(&self) -> impl Iterator<Item = &str> {
        self.names.iter().filter_map(|name| name.strip_prefix(CANCELLED_PREFIX))
    }
}

/// The complete state that the leader wants in one shard.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct DesiredState {
    /// Term of the leader.
    pub term: u64,
    /// Index of the shard.
    pub shard: u32,
    /// Fencing token of the shard owner that the message is addressed to.
    pub fencing_token: u64,
    /// Sequence number, which increases with each message about this shard within a term.
    pub serial: u64,
    /// Jobs with the tasks that should be in the shard.
    pub jobs: Vec<DesiredJob>,
    /// Tasks for which there is no free capacity. The owner adds the demand of each of them to
    /// its best-fit machine when it projects the load.
    pub waiting: Vec<WaitingTasks>,
    /// Names of machines that get no new tasks until they are drained.
    pub cordoned: Vec<String>,
    /// Machines to be drained and then terminated.
    pub decommission: Vec<Decommission>,
    /// Names of machines whose termination the cloud has confirmed.
    pub terminated: Vec<String>,
    /// Names of machines that temporarily get no new tasks.
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

/// Number of tasks of a job that wait for capacity.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct WaitingTasks {
    /// Id of the job.
    pub job: String,
    /// Number of tasks.
    pub count: u32,
}

/// A job with the tasks that should be in a shard.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct DesiredJob {
    /// Id of the job.
    pub job: String,
    /// Expected run time of a task, in seconds, as learned from earlier tasks.
    pub expected_s: f64,
    /// Each admitted task as (task, attempt, may bind). The last element is whether the attempt
    /// may still be bound to a machine for the first time.
    pub tasks: Vec<(u32, u64, bool)>,
}

/// Everything that may be in a shard, as its owner reports it. An attempt that is not listed is
/// proven to be absent or was never bound.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct ReportedState {
    /// Term of the leader that the message is addressed to.
    pub term: u64,
    /// Index of the shard.
    pub shard: u32,
    /// Fencing token of the sender.
    pub fencing_token: u64,
    /// Serial of the newest [`DesiredState`] that this message accounts for, or 0 if there is none.
    pub answered_serial: u64,
    /// Machine types. Machines refer to them by index, because thousands of tasks share a few
    /// jobs and machine types.
    pub types: Vec<String>,
    /// Jobs. Attempts refer to them by index.
    pub jobs: Vec<ReportedJob>,
    /// All machines of the shard.
    pub machines: Vec<ReportedMachine>,
}

/// A job with the resource demand of one of its tasks.
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

/// The state of a machine as known to its shard owner.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct ReportedMachine {
    /// Its name.
    pub machine: String,
    /// Index of its type in [`ReportedState::types`].
    pub machine_type: u32,
    /// Whether it is a spot instance.
    pub spot: bool,
    /// Time since its last heartbeat, in milliseconds, or `u64::MAX` if none reached this owner.
    pub silent_ms: u64,
    /// Whether the cloud has announced that it will preempt the machine.
    pub preemption_notice: bool,
    /// Whether its termination has been recorded in the store.
    pub terminating: bool,
    /// Whether a heartbeat has confirmed that its worker knows the owner's fencing token.
    pub knows_fencing_token: bool,
    /// Whether its heartbeats arrive although nothing that is sent to it does.
    pub unreachable: bool,
    /// Projected peak utilization as a share of its capacity.
    pub peak: f64,
    /// Whether it is projected to be overloaded.
    pub overloaded: bool,
    /// Attempts that may be on the machine.
    pub tasks: Vec<ReportedTask>,
}

/// The state of an attempt as known to its shard owner.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct ReportedTask {
    /// Index of its job in [`ReportedState::jobs`].
    pub job: u32,
    /// Number of the task.
    pub task: u32,
    /// Id of the attempt.
    pub attempt: u64,
    /// Phase of the attempt.
    pub state: ReportedPhase,
    /// Run time in milliseconds: so far, or in total if the attempt has ended.
    pub ran_ms: u64,
}

/// The phase of an attempt.
#[derive(Debug, Clone, Copy, Encode, Decode, PartialEq, Eq)]
pub enum ReportedPhase {
    /// Bound to the machine or sent to it, but not yet listed in a heartbeat.
    Bound,
    /// Waiting for its image.
    Fetching,
    /// Running.
    Running,
    /// Saving a checkpoint after a command to stop.
    Saving,
    /// Completed.
    Done,
    /// Stopped by a command.
    Stopped,
    /// Failed.
    Failed,
    /// The machine refused to start it.
    Refused,
}

impl ReportedPhase {
    /// Whether the attempt uses, or may use, capacity of its machine and quota of its team.
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
