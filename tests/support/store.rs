//! A fake of the key-value store, written from the protocol: records, leases, watches, and
//! the limits that the store puts on calls.

use super::events::Call;
use super::recorded_attempts::RecordedAttempts;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::ops::Bound;
use woadlever::core::{StoreRequest, StoreResponse};
use woadlever::wire::encoded::Encoded;
use woadlever::wire::store::{
    CompareAndSwap, Event as ChangeEvent, KeyValue, Mutation, Page, WatchAnswer,
};

/// Limits of one compare-and-swap.
const MAX_TRANSACTION_BYTES: usize = 64 << 10;
const MAX_VALUE_BYTES: usize = 8 << 10;
const MAX_MUTATIONS: usize = 12;
const COMPARES_PER_MUTATION: usize = 4;
const BYTES_PER_KB: f64 = 1024.0;
/// Pages are small, so that every scenario pages.
const USUAL_PAGE_SIZE: usize = 20;

/// A record under its key.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredRecord {
    /// What was written.
    pub value: Value,
    /// The revision that wrote it.
    pub version: u64,
    /// The lease at whose end the record goes.
    pub lease: Option<u64>,
}

/// A lease that is open.
pub(super) struct Lease {
    pub(super) ttl_ms: u64,
    pub(super) ends_at: u64,
}

/// Calls and mutations that the store takes on in a second.
#[derive(Debug, Clone, Copy)]
pub struct StoreRates {
    /// Calls a second.
    pub requests: f64,
    /// Mutations a second.
    pub mutations: f64,
}

/// What is left of the rates, as of a time.
#[derive(Default)]
struct TokenBuckets {
    requests: f64,
    mutations: f64,
    as_of: u64,
}

/// Limits of the store that have fallen below the usual ones.
#[derive(Debug, Clone, Copy)]
pub struct LoweredLimits {
    /// Length of a value.
    pub value_kb: f64,
    /// Mutations in one compare-and-swap.
    pub mutations: usize,
}

impl LoweredLimits {
    fn is_too_long(&self, mutation: &Mutation) -> bool {
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
    /// When it ends without one.
    pub(super) until: u64,
}

/// Records, leases and watches of the store, with its limits.
#[derive(Default)]
pub struct Store {
    /// Records by key.
    pub records: BTreeMap<String, StoredRecord>,
    /// The revision of the last change.
    pub revision: u64,
    pub(super) leases: HashMap<u64, Lease>,
    pub(super) last_lease: u64,
    log: Vec<ChangeEvent>,
    /// Changes up to this revision are no longer kept.
    pub floor: u64,
    /// Whether it carries out nothing at all.
    pub down: bool,
    /// Nodes whose calls it doesn't carry out.
    pub refuses: HashSet<usize>,
    pub(super) watches: Vec<PendingWatch>,
    /// Mutations carried out so far.
    pub writes: u64,
    /// Calls that reached the store, watches included.
    pub requests: u64,
    /// Rates with bursts of a second's worth; none: not enforced.
    pub rates: Option<StoreRates>,
    buckets: TokenBuckets,
    /// Calls refused because a rate was exceeded.
    pub refused: u64,
    /// The limits, once they have fallen.
    pub lowered_limits: Option<LoweredLimits>,
    /// Keys of values rejected for their length since then.
    pub rejected: Vec<String>,
    /// Attempts on placement records, also former ones.
    pub(super) recorded_attempts: RecordedAttempts,
    /// Items on a page; none: the usual number.
    pub page_size: Option<usize>,
}

impl Store {
    /// The value on record under a key.
    pub fn value(&self, key: &str) -> Option<&Value> {
        self.records.get(key).map(|record| &record.value)
    }

    /// The value on record of a job.
    pub fn job(&self, id: &str) -> Option<&Value> {
        self.value(&format!("w/job/{id}"))
    }

    /// Records whose keys begin with the prefix, in the order of their keys.
    pub fn records_under<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a StoredRecord)> {
        self.records.iter().filter(move |(key, _)| key.starts_with(prefix))
    }

    /// Whether the store has to answer 429.
    pub(super) fn over_rate(&mut self, now: u64, request: &StoreRequest) -> bool {
        let Some(rates) = self.rates else { return false };
        let buckets = &mut self.buckets;
        let passed_s = (now - buckets.as_of) as f64 / 1000.0;
        buckets.requests = (buckets.requests + rates.requests * passed_s).min(rates.requests);
        buckets.mutations = (buckets.mutations + rates.mutations * passed_s).min(rates.mutations);
        buckets.as_of = now;
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

    /// Writes a record as some other process would.
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

    /// Ends the leases whose time is over.
    pub(super) fn expire(&mut self, now: u64) {
        if self.down {
            // After an outage every lease has its full time again.
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

    /// Carries out a write if its compares hold.
    pub(super) fn compare_and_swap(&mut self, write: &CompareAndSwap) -> StoreResponse {
        let version_of = |key: &String| self.records.get(key).map_or(0, |record| record.version);
        let failed_compares =
            write.compares.iter().filter(|compare| version_of(&compare.key) != compare.version);
        let failed: Vec<String> = failed_compares.map(|compare| compare.key.clone()).collect();
        if write.mutations.iter().any(|mutation| self.names_ended_lease(mutation)) {
            return StoreResponse::LeaseNotFound;
        }
        if !failed.is_empty() {
            return StoreResponse::Conflict(failed);
        }
        if let Some(key) = self.too_long_value(write) {
            self.rejected.push(key);
            return StoreResponse::Malformed;
        }
        self.check_limits(write);
        self.recorded_attempts.note_write(write);
        self.revision += 1;
        self.writes += write.mutations.len() as u64;
        for mutation in &write.mutations {
            self.apply(mutation);
        }
        StoreResponse::Committed { revision: self.revision }
    }

    fn names_ended_lease(&self, mutation: &Mutation) -> bool {
        matches!(mutation, Mutation::Put { lease: Some(lease), .. } if !self.leases.contains_key(lease))
    }

    /// The key of the first value that is too long for the lowered limits. A write of too
    /// many bytes in all ends the test.
    fn too_long_value(&self, write: &CompareAndSwap) -> Option<String> {
        let bytes = serde_json::to_string(write).map_or(0, |json| json.len());
        assert!(bytes <= MAX_TRANSACTION_BYTES, "transaction of {bytes} bytes");
        let limits = self.lowered_limits?;
        match write.mutations.iter().find(|mutation| limits.is_too_long(mutation)) {
            Some(Mutation::Put { key, .. }) => Some(key.clone()),
            _ => None,
        }
    }

    /// Ends the test if a write has too many compares or mutations.
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

    /// Carries out any request but a watch.
    pub(super) fn run(&mut self, now: u64, request: &StoreRequest) -> StoreResponse {
        match request {
            StoreRequest::Get(key) => self.get(key),
            StoreRequest::List { prefix, since, most } => {
                self.list(prefix, since.as_ref(), *most as usize)
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
            StoreRequest::Watch { .. } => unreachable!("watches are kept by the world"),
        }
    }

    fn get(&self, key: &str) -> StoreResponse {
        match self.records.get(key) {
            Some(record) => StoreResponse::KeyValue(key_value(key, record)),
            None => StoreResponse::NotFound,
        }
    }

    /// A page of at most `most` records under the prefix, after the key `since`.
    fn list(&self, prefix: &str, since: Option<&String>, most: usize) -> StoreResponse {
        let page_size = self.page_size.unwrap_or(USUAL_PAGE_SIZE).min(most);
        let from = match since {
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
        let more = items.len() > page_size;
        items.truncate(page_size);
        StoreResponse::Page(Page { items, more, revision: self.revision })
    }

    /// The answer to a watch, if there is something to tell.
    pub(super) fn watch(&self, prefix: &str, since: u64) -> Option<StoreResponse> {
        if since < self.floor {
            return Some(StoreResponse::Compacted);
        }
        let is_watched = |event: &&ChangeEvent| {
            let key = event.put.as_ref().or(event.delete.as_ref());
            key.is_some_and(|key| key.starts_with(prefix))
        };
        let first = self.log.partition_point(|event| event.version <= since);
        let events: Vec<ChangeEvent> = self.log[first..].iter().filter(is_watched).cloned().collect();
        (!events.is_empty())
            .then_some(StoreResponse::Watch(WatchAnswer { revision: self.revision, events }))
    }
}

fn key_value(key: &str, record: &StoredRecord) -> KeyValue {
    KeyValue { key: key.into(), value: Encoded::new(&record.value), version: record.version }
}
