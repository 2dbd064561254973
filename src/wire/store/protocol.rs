//! The protocol of the key-value store: compare-and-swap, lists, watches and leases.

use crate::wire::encoded::Encoded;
use serde::{Deserialize, Serialize};

/// A record with its key.
#[derive(Debug, Clone, Deserialize)]
pub struct KeyValue {
    /// Key of the record.
    #[serde(rename = "k")]
    pub key: String,
    /// Its value.
    #[serde(rename = "data")]
    pub value: Encoded,
    /// Revision of its most recent change.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A page of records.
#[derive(Debug, Clone, Deserialize)]
pub struct Page {
    /// Records on this page.
    #[serde(rename = "pairs")]
    pub items: Vec<KeyValue>,
    /// Whether another page follows.
    #[serde(rename = "has_next", default)]
    pub has_more: bool,
    /// Revision of the store at which the page was read.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a compare-and-swap: the record has this version, or does not exist if the
/// version is 0.
#[derive(Debug, Clone, Serialize)]
pub struct Compare {
    /// Key of the record.
    #[serde(rename = "k")]
    pub key: String,
    /// Version that the record must have.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change that a compare-and-swap makes.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub enum Mutation {
    /// Creates or replaces a record.
    Put {
        /// Key of the record.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        #[serde(rename = "data")]
        value: Encoded,
        /// Lease that the record is attached to: the record is deleted when the lease ends.
        #[serde(rename = "permit", skip_serializing_if = "Option::is_none")]
        lease: Option<u64>,
    },
    /// Deletes a record.
    Delete {
        /// Key of the record.
        #[serde(rename = "drop")]
        key: String,
    },
}

/// Mutations that are applied atomically, if all conditions hold.
#[derive(Debug, Clone, Serialize, Default)]
pub struct CompareAndSwap {
    /// Conditions, all of which must hold.
    #[serde(rename = "if")]
    pub compares: Vec<Compare>,
    /// Mutations that are applied if the conditions hold.
    #[serde(rename = "apply")]
    pub mutations: Vec<Mutation>,
}

/// Response to a compare-and-swap that was applied.
#[derive(Debug, Clone, Deserialize)]
pub struct CompareAndSwapCommitted {
    /// Revision of the store that its mutations created.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// Response to a compare-and-swap whose conditions did not hold.
#[derive(Debug, Clone, Deserialize)]
pub struct CompareAndSwapConflict {
    /// Keys whose version differs from the expected one.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A request for a lease.
#[derive(Debug, Clone, Serialize)]
pub struct OpenLease {
    /// Time to live of the lease, in milliseconds.
    pub ttl_ms: u64,
}

/// Response to a request for a lease.
#[derive(Debug, Clone, Deserialize)]
pub struct LeaseOpened {
    /// Id of the lease.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// Response to a watch: the changes since a revision.
#[derive(Debug, Clone, Deserialize)]
pub struct WatchResponse {
    /// Revision up to which changes are listed.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// Changes in the order in which they were made.
    #[serde(rename = "log", default)]
    pub events: Vec<Event>,
}

/// A change of one record.
#[derive(Debug, Clone, Deserialize)]
pub struct Event {
    /// Key of the record, if it was written.
    #[serde(rename = "write", default)]
    pub put: Option<String>,
    /// Key of the record, if it was deleted.
    #[serde(rename = "drop", default)]
    pub delete: Option<String>,
    /// Value that was written, or `null` if the record was deleted.
    #[serde(rename = "data", default)]
    pub value: Encoded,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}
