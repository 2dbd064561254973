//! Inputs and outputs of the core: requests of users and workers, calls to the key-value store and
//! to the cloud with their results, and messages to other nodes and cells.

use crate::wire::cloud::{
    Catalog, CreateInstancesRequest, CreatedInstances, MachinePage, TerminateInstancesRequest,
};
use crate::wire::peer::Frame;
use crate::wire::store::{CompareAndSwap, KeyValue, Page, WatchResponse};
use crate::wire::workers::{DirectCommands, WorkerHeartbeat};
use woadlever_cells::message::CellMessage;

/// An event that the core handles.
#[derive(Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A request has arrived.
    Http {
        /// Number of the request, which its answer refers to.
        request_id: u64,
        /// The request.
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
    /// A frame from another node has arrived.
    Frame(Frame),
    /// A message from another cell has arrived.
    Cell(Box<CellMessage>),
}

/// A request from a user, a worker or the load balancer.
#[derive(Debug)]
pub enum HttpRequest {
    /// A job submission with this body.
    Submit(Vec<u8>),
    /// A status request for the job with this id.
    Status(String),
    /// A request to cancel the job with this id.
    Cancel(String),
    /// A worker's heartbeat, which reports the tasks on its machine.
    WorkerHeartbeat(Box<WorkerHeartbeat>),
    /// A readiness check: whether the node can handle requests.
    Ready,
}

/// An action that the driver has to perform for the core.
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
    SendFrame {
        /// Name of the node.
        to: String,
        /// The frame.
        frame: Frame,
    },
    /// Send commands directly to a worker's address. No answer is awaited, since the next
    /// heartbeat of the worker shows their effect.
    DirectCommands {
        /// The worker's address.
        addr: String,
        /// Commands for the worker.
        commands: DirectCommands,
    },
    /// Send a message to all controllers of another cell.
    SendCellMessage {
        /// Name of the cell.
        cell: String,
        /// The message.
        message: Box<CellMessage>,
    },
    /// Replace the connection to this node, since frames sent on it may no longer arrive.
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
    /// Value of the `Retry-After` header, in seconds.
    pub retry_after_s: Option<u32>,
}

/// A request to the key-value store.
#[derive(Debug, Clone)]
pub enum StoreRequest {
    /// Read one record.
    Get(String),
    /// Read one page of records.
    List {
        /// Key prefix of the records.
        prefix: String,
        /// Key after which the page begins.
        after: Option<String>,
        /// Maximum number of records on the page.
        limit: u32,
    },
    /// Apply mutations atomically, conditional on versions of keys (compare-and-swap).
    CompareAndSwap(CompareAndSwap),
    /// Open a lease.
    OpenLease {
        /// Time to live of the lease.
        ttl_ms: u64,
    },
    /// Renew a lease.
    RenewLease(u64),
    /// End a lease.
    EndLease(u64),
    /// Wait for changes.
    Watch {
        /// Prefix of the watched keys.
        prefix: String,
        /// Revision after which changes are reported.
        since: u64,
        /// Maximum time to wait for a change.
        block_ms: u64,
    },
}

/// How a call to the store ended.
#[derive(Debug, Clone)]
pub enum StoreResponse {
    /// The requested record.
    KeyValue(KeyValue),
    /// There is no such record.
    NotFound,
    /// A page of records.
    Page(Page),
    /// The mutations were applied.
    Committed {
        /// Revision of the changes.
        revision: u64,
    },
    /// Nothing was applied, since the versions of these keys differ from those expected.
    Conflict(Vec<String>),
    /// Number of the lease that was opened.
    LeaseOpened(u64),
    /// The lease does not exist any more.
    LeaseNotFound,
    /// Changes since the requested revision.
    Watch(WatchResponse),
    /// The requested revision is no longer available, so all records have to be read again.
    Compacted,
    /// The request was certainly not executed: it was rejected with 429 or 503, or never sent.
    NotExecuted,
    /// May have been executed, or may yet be.
    OutcomeUnknown,
    /// The store rejected the request as malformed.
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
        after: Option<String>,
    },
    /// Create instances to scale out.
    CreateInstances(CreateInstancesRequest),
    /// Terminate instances to scale in.
    TerminateInstances(TerminateInstancesRequest),
}

/// How a call to the cloud ended.
#[derive(Debug, Clone)]
pub enum CloudResponse {
    /// The machine types.
    Catalog(Catalog),
    /// A page of the list of machines.
    Page(MachinePage),
    /// The instances that were created.
    InstancesCreated(CreatedInstances),
    /// The instances were terminated.
    InstancesTerminated,
    /// The cloud has no capacity for the requested machine type.
    NoCapacity,
    /// The request was certainly not executed.
    NotExecuted,
    /// May have been executed, or may yet be.
    OutcomeUnknown,
    /// The cloud rejected the request as malformed.
    Malformed,
}
