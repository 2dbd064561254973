//! Frames between our own nodes: bitcode, length-delimited.
//!
//! Both directions carry whole pictures, not steps: what the leader wants in
//! a block and what the holder has in it. A lost, late or repeated frame is
//! then made good by the next one, and no session has to be agreed on.

use bitcode::{Decode, Encode};

/// A frame longer than this closes the connection.
pub const MAX_FRAME: usize = 4 << 20;

#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct Frame {
    pub from: String,
    pub incarnation: u64,
    pub body: Body,
}

#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub enum Body {
    Heartbeat(Heartbeat),
    DesiredState(DesiredState),
    ReportedState(ReportedState),
}

/// A sign of life, and whether the state service answers this node.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct Heartbeat {
    pub state_age_ms: u64,
    /// Nodes whose frames no longer arrive here; and, as `cancelled run-...`, jobs
    /// whose cancellation the sender has just confirmed. The version in production
    /// looks for its own name here and for nothing else.
    pub unheard: Vec<String>,
    /// Tasks per live job, from the leader only, for the users' eyes.
    pub counts: Vec<(String, u32, u32)>,
}

/// From the leader: everything that shall be in one block.
#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct DesiredState {
    pub term: u64,
    pub block: u32,
    pub grant: u64,
    pub serial: u64,
    pub jobs: Vec<DesiredJob>,
    /// Tasks that fit no free room, counted on their best-fit machines.
    pub waiting: Vec<WaitingTasks>,
    pub isolated: Vec<String>,
    /// Machines to be made ready for their return.
    pub retire: Vec<Retire>,
    /// Machines whose return the cloud has confirmed.
    pub gone: Vec<String>,
    /// Machines that must not get new tasks for now.
    pub quarantined: Vec<String>,
}

#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct Retire {
    pub machine: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
}

#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct WaitingTasks {
    pub job: String,
    pub count: u32,
}

#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct DesiredJob {
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
    pub term: u64,
    pub block: u32,
    pub grant: u64,
    /// Serial of the newest `DesiredState` that this answers; 0 for none.
    pub echo: u64,
    /// What the machines below name by its place here: thousands of tasks
    /// share a few jobs and types.
    pub types: Vec<String>,
    pub jobs: Vec<ReportedJob>,
    pub machines: Vec<ReportedMachine>,
}

#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct ReportedJob {
    pub job: String,
    pub team: String,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct ReportedMachine {
    pub machine: String,
    pub machine_type: u32,
    pub spot: bool,
    /// Time since its last report; u64::MAX if none reached this holder.
    pub silent_ms: u64,
    pub notice: bool,
    pub returning: bool,
    /// It has shown that it knows the holder's token.
    pub fenced: bool,
    /// Its reports arrive, but nothing reaches it.
    pub deaf: bool,
    /// Projected peak share of room, and whether the machine is overloaded.
    pub peak: f64,
    pub overloaded: bool,
    pub tasks: Vec<ReportedTask>,
}

#[derive(Debug, Clone, Encode, Decode, PartialEq)]
pub struct ReportedTask {
    pub job: u32,
    pub task: u32,
    pub attempt: u64,
    pub state: ReportedPhase,
    /// Run time so far, or in all when ended.
    pub ran_ms: u64,
}

#[derive(Debug, Clone, Copy, Encode, Decode, PartialEq, Eq)]
pub enum ReportedPhase {
    /// Bound or sent, not yet seen on the machine.
    Bound,
    Fetching,
    Running,
    Saving,
    Done,
    Stopped,
    Failed,
    /// The machine refused the start.
    Refused,
}
