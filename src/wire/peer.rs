//! Frames between our own nodes: bitcode, length-delimited.
//!
//! Both directions carry whole states, not steps: what the leader wants in
//! a block and what the holder has in it. A lost, late or repeated frame is
//! then made good by the next one, and no session has to be agreed on.

use bitcode::{Decode, Encode};

/// A frame longer than this closes the connection.
pub const MAX_FRAME: usize = 4 << 20;

/// A message from one node to another.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct Frame {
    /// Name of the sender.
    pub from: String,
    /// Process of the sender.
    pub incarnation: u64,
    /// What it says.
    pub message: PeerMessage,
}

/// What a frame says.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub enum PeerMessage {
    /// A sign of life.
    Heartbeat(PeerHeartbeat),
    /// From the leader to a holder.
    DesiredState(DesiredState),
    /// From a holder to the leader.
    ReportedState(ReportedState),
}

/// Before the id of a job whose cancellation a heartbeat tells of, among the names of
/// silent nodes.
const CANCELLED_PREFIX: &str = "cancelled ";

/// A sign of life, and whether the store answers this node.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct PeerHeartbeat {
    /// Time since the store last answered the sender.
    pub store_silence_ms: u64,
    /// Names of silent nodes and, with a prefix, ids of cancelled jobs. The version in
    /// production looks for its own name here and passes over all else, while a new kind
    /// of message would close the connection.
    names: Vec<String>,
    /// Tasks (done, running) by live job, from the leader only, for users' questions.
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

/// From the leader: everything that shall be in one block.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct DesiredState {
    /// Term of the leader.
    pub term: u64,
    /// Block that it speaks of.
    pub shard: u32,
    /// Grant of the block that it is meant for.
    pub fencing_token: u64,
    /// Rises with each message of a term about this block.
    pub serial: u64,
    /// Jobs whose tasks shall be there.
    pub jobs: Vec<DesiredJob>,
    /// Tasks that fit no free room, counted on their best-fit machines.
    pub waiting: Vec<WaitingTasks>,
    /// Machines that get no new tasks until they are drained.
    pub cordoned: Vec<String>,
    /// Machines to be made ready for their return.
    pub decommission: Vec<Decommission>,
    /// Machines whose return the cloud has confirmed.
    pub gone: Vec<String>,
    /// Machines that must not get new tasks for now.
    pub quarantined: Vec<String>,
}

/// A machine to be made ready for its return.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct Decommission {
    /// Its name.
    pub machine: String,
    /// Its type.
    pub machine_type: String,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
}

/// Tasks of a job that wait for room.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct WaitingTasks {
    /// Id of the job.
    pub job: String,
    /// Number of tasks.
    pub count: u32,
}

/// A job whose tasks shall be in a block.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct DesiredJob {
    /// Id of the job.
    pub job: String,
    /// Learned run time of a task, seconds.
    pub expected_s: f64,
    /// (task, attempt, bind): `bind` allows a first binding.
    pub tasks: Vec<(u32, u64, bool)>,
}

/// From a holder: everything that may be in one block. What is missing here
/// is proven absent, or was never bound.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct ReportedState {
    /// Term of the leader that it is meant for.
    pub term: u64,
    /// Block that it speaks of.
    pub shard: u32,
    /// Grant that the sender holds.
    pub fencing_token: u64,
    /// Serial of the newest `DesiredState` that this answers; 0 for none.
    pub echo: u64,
    /// What the machines below name by its place here: thousands of tasks
    /// share a few jobs and types.
    pub types: Vec<String>,
    /// Jobs named below by their place here.
    pub jobs: Vec<ReportedJob>,
    /// All machines of the block.
    pub machines: Vec<ReportedMachine>,
}

/// A job with what one of its tasks takes.
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
    /// Memory of one task.
    pub memory_gb: f64,
}

/// A machine as its holder knows it.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct ReportedMachine {
    /// Its name.
    pub machine: String,
    /// Place of its type in the list of types.
    pub machine_type: u32,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Time since its last report; u64::MAX if none reached this holder.
    pub silent_ms: u64,
    /// Whether the cloud is about to take it back.
    pub preemption_notice: bool,
    /// Whether its return is on record.
    pub terminating: bool,
    /// It has shown that it knows the holder's token.
    pub fenced: bool,
    /// Its reports arrive, but nothing reaches it.
    pub unreachable: bool,
    /// Projected peak share of room, and whether the machine is overloaded.
    pub peak: f64,
    /// Whether it is projected to be overloaded.
    pub overloaded: bool,
    /// Attempts that may be on it.
    pub tasks: Vec<ReportedTask>,
}

/// An attempt as its holder knows it.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct ReportedTask {
    /// Place of its job in the list of jobs.
    pub job: u32,
    /// Number of the task.
    pub task: u32,
    /// Number of the attempt.
    pub attempt: u64,
    /// How far it is.
    pub state: ReportedPhase,
    /// Run time so far, or in all when ended.
    pub ran_ms: u64,
}

/// How far an attempt is.
#[derive(Debug, Clone, Copy, Encode, Decode, PartialEq, Eq)]
pub enum ReportedPhase {
    /// Bound or sent, not yet seen on the machine.
    Bound,
    /// Waits for its image.
    Fetching,
    /// Runs.
    Running,
    /// Was told to stop and saves.
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
