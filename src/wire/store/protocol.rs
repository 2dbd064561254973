//! The key-value store's protocol: compare-and-swap, lists, watches and leases.

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
    pub more: bool,
    /// Revision of the whole store when the page was read.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// A condition of a compare-and-swap: the record has this version; 0: there is no record.
#[derive(Debug, Clone, Serialize)]
pub struct Compare {
    /// Key of the record.
    #[serde(rename = "k")]
    pub key: String,
    /// Version that it must have.
    #[serde(rename = "stamp")]
    pub version: u64,
}

/// A change that a compare-and-swap makes.
#[derive(Debug, Clone, Serialize)]
#[serde(untagged)]
pub enum Mutation {
    /// Writes a record.
    Put {
        /// Key of the record.
        #[serde(rename = "write")]
        key: String,
        /// Its new value.
        #[serde(rename = "data")]
        value: Encoded,
        /// Lease that the record is attached to: it is deleted when the lease ends.
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

/// Mutations that are made together, or not at all.
#[derive(Debug, Clone, Serialize, Default)]
pub struct CompareAndSwap {
    /// Conditions that all have to hold.
    #[serde(rename = "if")]
    pub compares: Vec<Compare>,
    /// What is changed if they do.
    #[serde(rename = "apply")]
    pub mutations: Vec<Mutation>,
}

/// Response to a compare-and-swap that was carried out.
#[derive(Debug, Clone, Deserialize)]
pub struct CompareAndSwapCommitted {
    /// Revision of its mutations.
    #[serde(rename = "ledger")]
    pub revision: u64,
}

/// Response to a compare-and-swap whose conditions did not hold.
#[derive(Debug, Clone, Deserialize)]
pub struct CompareAndSwapConflict {
    /// Keys whose version is another one.
    #[serde(default)]
    pub failed: Vec<String>,
}

/// A request for a lease.
#[derive(Debug, Clone, Serialize)]
pub struct OpenLease {
    /// Its time to live, milliseconds.
    pub ttl_ms: u64,
}

/// Response to a request for a lease.
#[derive(Debug, Clone, Deserialize)]
pub struct LeaseOpened {
    /// Number of the lease.
    #[serde(rename = "permit")]
    pub lease: u64,
}

/// Changes since a revision.
#[derive(Debug, Clone, Deserialize)]
pub struct WatchAnswer {
    /// Revision up to which changes are listed.
    #[serde(rename = "ledger")]
    pub revision: u64,
    /// The changes in their order.
    #[serde(rename = "log", default)]
    pub events: Vec<Event>,
}

/// One change of a record.
#[derive(Debug, Clone, Deserialize)]
pub struct Event {
    /// Key, if it was written.
    #[serde(rename = "write", default)]
    pub put: Option<String>,
    /// Key, if it was deleted.
    #[serde(rename = "drop", default)]
    pub delete: Option<String>,
    /// Value that was written.
    #[serde(rename = "data", default)]
    pub value: Encoded,
    /// Revision of the change.
    #[serde(rename = "stamp")]
    pub version: u64,
}
