//! In-memory fake of the key-value store, written from the protocol: records, leases, watches,
//! and the limits that the store places on calls.

use super::events::Call;
use super::recorded_attempts::RecordedAttempts;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::ops::Bound;
use woadlever::core::{StoreRequest, StoreResponse};
use woadlever::wire::encoded::Encoded;
use woadlever::wire::store::{
    CompareAndSwap, Event as ChangeEvent, KeyValue, Mutation, Page, WatchResponse,
};

/// Maximum size of one compare-and-swap.
const MAX_TRANSACTION_BYTES: usize = 64 << 10;
/// Maximum size of one value.
const MAX_VALUE_BYTES: usize = 8 << 10;
/// Maximum number of mutations in one compare-and-swap.
const MAX_MUTATIONS: usize = 12;
/// Compares allowed in one compare-and-swap per allowed mutation.
const COMPARES_PER_MUTATION: usize = 4;
const BYTES_PER_KB: f64 = 1024.0;
/// Items on a page of a list. Pages are small, so that every scenario has to page.
const DEFAULT_PAGE_SIZE: usize = 20;

/// A record in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredRecord {
    /// The stored value.
    pub value: Value,
    /// The revision that last wrote the record.
    pub version: u64,
    /// The lease that the record is attached to; the record is deleted when it ends.
    pub lease: Option<u64>,
}

/// An open lease.
pub(super) struct Lease {
    pub(super) ttl_ms: u64,
    pub(super) ends_at: u64,
}

/// Rate limits of the store.
#[derive(Debug, Clone, Copy)]
pub struct StoreRates {
    /// Maximum number of calls per second.
    pub requests: f64,
    /// Maximum number of mutations per second.
    pub mutations: f64,
}

/// Token buckets that enforce the rate limits: the remaining tokens and the time of the last
/// refill.
#[derive(Default)]
struct TokenBuckets {
    requests: f64,
    mutations: f64,
    refilled_at: u64,
}

/// Limits of the store that are lower than the default ones.
#[derive(Debug, Clone, Copy)]
pub struct LoweredLimits {
    /// Maximum length of a value.
    pub value_kb: f64,
    /// Maximum number of mutations in one compare-and-swap.
    pub mutations: usize,
}

impl LoweredLimits {
    fn is_oversized(&self, mutation: &Mutation) -> bool {
        match mutation {
            Mutation::Put { value, .. } => value.len() as f64 > self.value_kb * BYTES_PER_KB,
            Mutation::Delete { .. } => false,
        }
    }
}

/// A watch that waits for a change.
pub struct PendingWatch {
    pub(super) call: Call,
    pub(super) prefix: String,
    pub(super) since: u64,
    /// Time at which the watch expires if there is no change.
    pub(super) until: u64,
}

/// The store: its records, leases, watches and limits.
#[derive(Default)]
pub struct Store {
    /// Records by key.
    pub records: BTreeMap<String, StoredRecord>,
    /// The revision of the last change.
    pub revision: u64,
    pub(super) leases: HashMap<u64, Lease>,
    pub(super) last_lease: u64,
    /// All changes, in the order of their revisions.
    log: Vec<ChangeEvent>,
    /// Compacted revision: watches from an earlier revision than this fail.
    pub compacted_revision: u64,
    /// Whether the store is down and executes no calls at all.
    pub is_down: bool,
    /// Nodes whose calls the store refuses.
    pub refused_nodes: HashSet<usize>,
    pub(super) watches: Vec<PendingWatch>,
    /// Number of mutations committed so far.
    pub committed_mutations: u64,
    /// Number of calls that reached the store, watches included.
    pub requests: u64,
    /// Rate limits, with bursts of up to one second's worth; `None` if they are not enforced.
    pub rates: Option<StoreRates>,
    buckets: TokenBuckets,
    /// Number of calls refused because a rate limit was exceeded.
    pub refused: u64,
    /// The lowered limits, once they are in effect.
    pub lowered_limits: Option<LoweredLimits>,
    /// Keys of the values that were rejected as too long since the limits were lowered.
    pub rejected: Vec<String>,
    /// Attempts that are or were listed in placement records.
    pub(super) recorded_attempts: RecordedAttempts,
    /// Items on a page of a list; `None` for [`DEFAULT_PAGE_SIZE`].
    pub page_size: Option<usize>,
}

impl Store {
    /// Returns the value stored under a key.
    pub fn value(&self, key: &str) -> Option<&Value> {
        self.records.get(key).map(|record| &record.value)
    }

    /// Returns the stored record of a job.
    pub fn job(&self, id: &str) -> Option<&Value> {
        self.value(&format!("w/job/{id}"))
    }

    /// Returns the records whose keys begin with the prefix, in key order.
    pub fn records_under<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a StoredRecord)> {
        self.records.iter().filter(move |(key, _)| key.starts_with(prefix))
    }

    /// Returns whether the call exceeds a rate limit, so that the store has to answer 429; if not,
    /// takes its tokens.
    pub(super) fn is_rate_limited(&mut self, now: u64, request: &StoreRequest) -> bool {
        let Some(rates) = self.rates else { return false };
        let buckets = &mut self.buckets;
        let passed_s = (now - buckets.refilled_at) as f64 / 1000.0;
        buckets.requests = (buckets.requests + rates.requests * passed_s).min(rates.requests);
        buckets.mutations = (buckets.mutations + rates.mutations * passed_s).min(rates.mutations);
        buckets.refilled_at = now;
        let mutations = match request {
            StoreRequest::CompareAndSwap(write) => write.mutations.len() as f64,
            _ => 0.0,
        };
        if buckets.requests < 1.0 || buckets.mutations < mutations {
            self.refused += 1;
            return true;
        }
        buckets.requests -= 1.0;
        buckets.mutations -= mutations;
        false
    }

    /// Writes a record as a process outside the cluster would.
    pub fn put_record(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.put(key, value, None);
    }

    fn put(&mut self, key: &str, value: Value, lease: Option<u64>) {
        let version = self.revision;
        self.log.push(ChangeEvent {
            put: Some(key.to_string()),
            delete: None,
            value: Encoded::new(&value),
            version,
        });
        self.records.insert(key.into(), StoredRecord { value, version, lease });
    }

    fn delete(&mut self, key: &str) {
        self.log.push(ChangeEvent {
            put: None,
            delete: Some(key.to_string()),
            value: Encoded::new(&Value::Null),
            version: self.revision,
        });
        self.records.remove(key);
    }

    /// Ends the leases that have expired. While the store is down, none expires.
    pub(super) fn expire_leases(&mut self, now: u64) {
        if self.is_down {
            // Every lease starts again with its full duration after an outage.
            for lease in self.leases.values_mut() {
                lease.ends_at = now + lease.ttl_ms;
            }
            return;
        }
        let is_over = |lease: &Lease| lease.ends_at <= now;
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| is_over(lease)).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let of_lease = self.records.iter().filter(|(_, record)| record.lease == Some(id));
        let keys: Vec<String> = of_lease.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.delete(&key);
        }
    }

    /// Commits a write if its compares hold.
    pub(super) fn compare_and_swap(&mut self, write: &CompareAndSwap) -> StoreResponse {
        let version_of = |key: &String| self.records.get(key).map_or(0, |record| record.version);
        let failed_compares =
            write.compares.iter().filter(|compare| version_of(&compare.key) != compare.version);
        let failed: Vec<String> = failed_compares.map(|compare| compare.key.clone()).collect();
        if write.mutations.iter().any(|mutation| self.refers_to_ended_lease(mutation)) {
            return StoreResponse::LeaseNotFound;
        }
        if !failed.is_empty() {
            return StoreResponse::Conflict(failed);
        }
        if let Some(key) = self.oversized_value(write) {
            self.rejected.push(key);
            return StoreResponse::Malformed;
        }
        self.check_limits(write);
        self.recorded_attempts.add_write(write);
        self.revision += 1;
        self.committed_mutations += write.mutations.len() as u64;
        for mutation in &write.mutations {
            self.apply(mutation);
        }
        StoreResponse::Committed { revision: self.revision }
    }

    fn refers_to_ended_lease(&self, mutation: &Mutation) -> bool {
        matches!(mutation, Mutation::Put { lease: Some(lease), .. } if !self.leases.contains_key(lease))
    }

    /// Returns the key of the first value that is too long for the lowered limits. Panics if the
    /// whole write exceeds [`MAX_TRANSACTION_BYTES`].
    fn oversized_value(&self, write: &CompareAndSwap) -> Option<String> {
        let bytes = serde_json::to_string(write).map_or(0, |json| json.len());
        assert!(bytes <= MAX_TRANSACTION_BYTES, "transaction of {bytes} bytes");
        let limits = self.lowered_limits?;
        match write.mutations.iter().find(|mutation| limits.is_oversized(mutation)) {
            Some(Mutation::Put { key, .. }) => Some(key.clone()),
            _ => None,
        }
    }

    /// Panics if a write has too many compares or mutations.
    fn check_limits(&self, write: &CompareAndSwap) {
        let (compares, mutations) = (write.compares.len(), write.mutations.len());
        if let Some(limits) = self.lowered_limits {
            assert!(
                mutations <= limits.mutations && compares <= COMPARES_PER_MUTATION * limits.mutations,
                "transaction over its limits"
            );
        }
        assert!(
            mutations <= MAX_MUTATIONS && compares <= COMPARES_PER_MUTATION * MAX_MUTATIONS,
            "transaction over its limits"
        );
    }

    fn apply(&mut self, mutation: &Mutation) {
        match mutation {
            Mutation::Put { key, value, lease } => {
                assert!(value.len() <= MAX_VALUE_BYTES, "value over its limit: {key}");
                let value = value.decode().expect("JSON");
                self.put(key, value, *lease);
            }
            Mutation::Delete { key } => self.delete(key),
        }
    }

    /// Executes any request except a watch.
    pub(super) fn run(&mut self, now: u64, request: &StoreRequest) -> StoreResponse {
        match request {
            StoreRequest::Get(key) => self.get(key),
            StoreRequest::List { prefix, after, limit } => {
                self.list(prefix, after.as_ref(), *limit as usize)
            }
            StoreRequest::CompareAndSwap(write) => self.compare_and_swap(write),
            StoreRequest::OpenLease { ttl_ms } => {
                self.last_lease += 1;
                self.leases.insert(self.last_lease, Lease { ttl_ms: *ttl_ms, ends_at: now + ttl_ms });
                StoreResponse::LeaseOpened(self.last_lease)
            }
            StoreRequest::RenewLease(id) => match self.leases.get_mut(id) {
                Some(lease) => {
                    lease.ends_at = now + lease.ttl_ms;
                    StoreResponse::Committed { revision: 0 }
                }
                None => StoreResponse::LeaseNotFound,
            },
            StoreRequest::EndLease(id) => {
                self.end_lease(*id);
                StoreResponse::Committed { revision: 0 }
            }
            StoreRequest::Watch { .. } => unreachable!("watches are queued by the event loop"),
        }
    }

    fn get(&self, key: &str) -> StoreResponse {
        match self.records.get(key) {
            Some(record) => StoreResponse::KeyValue(key_value(key, record)),
            None => StoreResponse::NotFound,
        }
    }

    /// Returns a page of at most `limit` records under the prefix, after the key `after`.
    fn list(&self, prefix: &str, after: Option<&String>, limit: usize) -> StoreResponse {
        let page_size = self.page_size.unwrap_or(DEFAULT_PAGE_SIZE).min(limit);
        let from = match after {
            Some(key) => Bound::Excluded(key.clone()),
            None => Bound::Included(prefix.to_string()),
        };
        let mut items: Vec<KeyValue> = self
            .records
            .range((from, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(page_size + 1)
            .map(|(key, record)| key_value(key, record))
            .collect();
        let has_more = items.len() > page_size;
        items.truncate(page_size);
        StoreResponse::Page(Page { items, has_more, revision: self.revision })
    }

    /// Returns the answer to a watch if there are changes since `since` or they are compacted.
    pub(super) fn watch(&self, prefix: &str, since: u64) -> Option<StoreResponse> {
        if since < self.compacted_revision {
            return Some(StoreResponse::Compacted);
        }
        let is_watched = |event: &&ChangeEvent| {
            let key = event.put.as_ref().or(event.delete.as_ref());
            key.is_some_and(|key| key.starts_with(prefix))
        };
        let first = self.log.partition_point(|event| event.version <= since);
        let events: Vec<ChangeEvent> = self.log[first..].iter().filter(is_watched).cloned().collect();
        (!events.is_empty())
            .then_some(StoreResponse::Watch(WatchResponse { revision: self.revision, events }))
    }
}

fn key_value(key: &str, record: &StoredRecord) -> KeyValue {
    KeyValue { key: key.into(), value: Encoded::new(&record.value), version: record.version }
}
