//! What goes into the core and comes out of it: requests of users and workers, calls to
//! the key-value store and to the cloud with their results, and messages to other nodes.

use crate::wire::cloud::{
    Catalog, CreateInstancesRequest, CreatedInstances, MachinePage, TerminateInstancesRequest,
};
use crate::wire::peer::Frame;
use crate::wire::store::{CompareAndSwap, KeyValue, Page, WatchAnswer};
use crate::wire::workers::{DirectCommands, WorkerHeartbeat};
use woadlever_cells::message::CellMessage;

/// What happens to the core.
#[derive(Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A request has arrived.
    Http {
        /// Number of the request, for its answer.
        request_id: u64,
        /// What is asked.
        request: HttpRequest,
    },
    /// A call to the store has ended.
    Store {
        /// Number of the call.
        call: u64,
        /// How it ended.
        response: StoreResponse,
    },
    /// A call to the cloud has ended.
    Cloud {
        /// Number of the call.
        call: u64,
        /// How it ended.
        response: CloudResponse,
    },
    /// A frame of another node has arrived.
    Frame(Frame),
    /// A message of another cell has arrived.
    Cell(Box<CellMessage>),
}

/// A request of a user, a worker or the load balancer.
#[derive(Debug)]
pub enum HttpRequest {
    /// A submission with its body.
    Submit(Vec<u8>),
    /// A question about the job with this id.
    Status(String),
    /// The cancellation of the job with this id.
    Cancel(String),
    /// A worker's heartbeat with what is on its machine.
    WorkerHeartbeat(Box<WorkerHeartbeat>),
    /// Whether the node can take requests.
    Ready,
}

/// What the core wants done.
#[derive(Debug)]
pub enum Output {
    /// Answer a request.
    Answer {
        /// Number of the request.
        request_id: u64,
        /// The answer.
        answer: Answer,
    },
    /// Call the store.
    Store {
        /// Number of the call, for its result.
        call: u64,
        /// What to ask for.
        request: StoreRequest,
    },
    /// Call the cloud.
    Cloud {
        /// Number of the call, for its result.
        call: u64,
        /// What to ask for.
        request: CloudRequest,
    },
    /// Send a frame to another node.
    Send {
        /// Name of the node.
        to: String,
        /// The frame.
        frame: Frame,
    },
    /// Straight to a worker's address. No answer is waited for: what it has done
    /// shows in the next heartbeat.
    DirectCommands {
        /// The worker's address.
        addr: String,
        /// What it is to do.
        commands: DirectCommands,
    },
    /// Send a message to all controllers of another cell.
    SendCell {
        /// Name of the cell.
        cell: String,
        /// The message.
        message: Box<CellMessage>,
    },
    /// The connection to this node may lead to a process that is no more.
    Reconnect {
        /// Name of the node.
        to: String,
    },
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: String,
    /// When to come back.
    pub retry_after_s: Option<u32>,
}

/// A request to the key-value store.
#[derive(Debug, Clone)]
pub enum StoreRequest {
    /// Read one record.
    Get(String),
    /// Read a page of records.
    List {
        /// What their keys begin with.
        prefix: String,
        /// Key after which the page begins.
        since: Option<String>,
        /// Records on the page.
        most: u32,
    },
    /// Compare and swap: mutations under conditions on versions.
    CompareAndSwap(CompareAndSwap),
    /// Open a lease.
    OpenLease {
        /// Its time to live.
        ttl_ms: u64,
    },
    /// Renew a lease.
    RenewLease(u64),
    /// End a lease.
    EndLease(u64),
    /// Wait for changes.
    Watch {
        /// What the keys begin with.
        prefix: String,
        /// Revision after which changes are told.
        since: u64,
        /// How long to wait for one.
        block_ms: u64,
    },
}

/// How a call to the store ended.
#[derive(Debug, Clone)]
pub enum StoreResponse {
    /// The record.
    KeyValue(KeyValue),
    /// There is no such record.
    NotFound,
    /// A page of records.
    Page(Page),
    /// The mutations were made.
    Committed {
        /// Revision of the changes.
        revision: u64,
    },
    /// The versions of these keys differ.
    Conflict(Vec<String>),
    /// The lease that was opened.
    LeaseOpened(u64),
    /// There is no such lease: it has ended.
    LeaseNotFound,
    /// Changes since the revision asked for.
    Watch(WatchAnswer),
    /// That revision is too old; read everything again.
    Compacted,
    /// Certainly not executed: refused with 429 or 503, or never sent.
    NotExecuted,
    /// May have been executed, or may yet be.
    OutcomeUnknown,
    /// The service calls the request malformed.
    Malformed,
}

/// A request to the cloud.
#[derive(Debug, Clone)]
pub enum CloudRequest {
    /// Read the machine types.
    Catalog,
    /// Read a page of the list of machines.
    List {
        /// Name after which the page begins.
        since: Option<String>,
    },
    /// Create instances: scale out.
    CreateInstances(CreateInstancesRequest),
    /// Terminate instances: scale in.
    TerminateInstances(TerminateInstancesRequest),
}

/// How a call to the cloud ended.
#[derive(Debug, Clone)]
pub enum CloudResponse {
    /// The machine types.
    Catalog(Catalog),
    /// A page of the list of machines.
    Page(MachinePage),
    /// Instances were created.
    InstancesCreated(CreatedInstances),
    /// The instances are gone.
    InstancesTerminated,
    /// No such machine is to be had.
    NoCapacity,
    /// Certainly not executed.
    NotExecuted,
    /// May have been executed, or may yet be.
    OutcomeUnknown,
    /// The cloud calls the request malformed.
    Malformed,
}
