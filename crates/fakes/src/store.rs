//! A fake key-value store.

use crate::{answer, serve};
use salvo::prelude::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Interval at which leases are checked for expiry.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of records on one page.
const MAX_PAGE_SIZE: usize = 1_000;
/// Time to live of a lease whose request specifies none.
const DEFAULT_TTL_MS: u64 = 1_000;

struct Record {
    value: Value,
    version: u64,
    lease: Option<u64>,
}

struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

/// A change of a record, as watches report it.
struct Change {
    key: String,
    revision: u64,
    message: Value,
}

#[derive(Default)]
struct Contents {
    records: BTreeMap<String, Record>,
    revision: u64,
    changes: Vec<Change>,
    leases: HashMap<u64, Lease>,
    last_lease: u64,
}

/// A handle to a running fake store. Clones share its state.
#[derive(Clone, Default)]
pub struct FakeStore {
    contents: Arc<Mutex<Contents>>,
    changed: Arc<Notify>,
}

impl FakeStore {
    /// Starts a store on a free port. It is served until the runtime ends.
    pub async fn start() -> std::io::Result<(FakeStore, SocketAddr)> {
        let store = FakeStore::default();
        let router = Router::new()
            .push(Router::with_path("keys").get(List(store.clone())))
            .push(Router::with_path("keys/{**key}").get(Get(store.clone())))
            .push(Router::with_path("multi").post(CompareAndSwap(store.clone())))
            .push(Router::with_path("holds").post(GrantLease(store.clone())))
            .push(Router::with_path("holds/{id}").delete(EndLease(store.clone())))
            .push(Router::with_path("holds/{id}/renew").post(RenewLease(store.clone())))
            .push(Router::with_path("watch").get(Watch(store.clone())));
        let address = serve(router).await?;
        tokio::spawn(store.clone().expire_leases());
        Ok((store, address))
    }

    /// Returns the value of a record.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.contents().records.get(key).map(|record| record.value.clone())
    }

    fn contents(&self) -> MutexGuard<'_, Contents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends leases that were not renewed in time, in an endless loop.
    async fn expire_leases(self) {
        loop {
            tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
            self.contents().end_expired_leases(Instant::now());
            self.changed.notify_waiters();
        }
    }
}

impl Contents {
    fn end_expired_leases(&mut self, now: Instant) {
        let expired = self.leases.iter().filter(|(_, lease)| lease.expires_at <= now);
        let ids: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in ids {
            self.end_lease(id);
        }
    }

    /// Ends a lease and deletes the records attached to it.
    fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let attached = self.records.iter().filter(|(_, record)| record.lease == Some(id));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.delete(&key);
        }
    }

    /// Deletes a record at the current revision.
    fn delete(&mut self, key: &str) {
        self.records.remove(key);
        let revision = self.revision;
        let message = json!({"drop": key, "stamp": revision});
        self.changes.push(Change { key: key.into(), revision, message });
    }

    /// Writes a record at the current revision.
    fn put(&mut self, key: &str, value: Value, lease: Option<u64>) {
        let revision = self.revision;
        let message = json!({"write": key, "data": value, "stamp": revision});
        self.changes.push(Change { key: key.into(), revision, message });
        self.records.insert(key.into(), Record { value, version: revision, lease });
    }

    /// Executes a compare-and-swap. Returns the status and the body of the response.
    fn compare_and_swap(&mut self, body: &Value) -> (u16, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let mutations = list("apply");
        if mutations.iter().any(|mutation| self.has_unknown_lease(mutation)) {
            return (400, json!({"error": "no such lease"}));
        }
        let failed: Vec<Value> = list("if")
            .iter()
            .filter(|compare| !self.is_met(compare))
            .map(|compare| compare["k"].clone())
            .collect();
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger": self.revision}));
        }
        self.revision += 1;
        for mutation in mutations {
            if let Some(key) = mutation["write"].as_str() {
                self.put(key, mutation["data"].clone(), mutation["permit"].as_u64());
            } else if let Some(key) = mutation["drop"].as_str() {
                self.delete(key);
            }
        }
        (200, json!({"ledger": self.revision}))
    }

    /// Whether a record has the version that a compare expects. Version 0 means that there is no
    /// such record.
    fn is_met(&self, compare: &Value) -> bool {
        let key = compare["k"].as_str().unwrap_or_default();
        let version = self.records.get(key).map_or(0, |record| record.version);
        version == compare["stamp"].as_u64().unwrap_or_default()
    }

    fn has_unknown_lease(&self, mutation: &Value) -> bool {
        mutation["permit"].as_u64().is_some_and(|lease| !self.leases.contains_key(&lease))
    }

    /// Returns a page of records, beginning after the key `since`.
    fn list(&self, prefix: &str, since: Option<String>, limit: usize) -> Value {
        let from = since.map_or(Bound::Included(prefix.to_string()), Bound::Excluded);
        let limit = limit.min(MAX_PAGE_SIZE);
        let mut pairs: Vec<Value> = self
            .records
            .range((from, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(limit + 1)
            .map(|(key, record)| record.to_json(key))
            .collect();
        let has_next = pairs.len() > limit;
        pairs.truncate(limit);
        json!({"pairs": pairs, "has_next": has_next, "ledger": self.revision})
    }

    /// Returns the changes after a revision to records whose keys have the prefix.
    fn changes_since(&self, prefix: &str, since: u64) -> Vec<Value> {
        let wanted = |change: &&Change| change.key.starts_with(prefix) && change.revision > since;
        self.changes.iter().filter(wanted).map(|change| change.message.clone()).collect()
    }
}

impl Record {
    fn to_json(&self, key: &str) -> Value {
        json!({"k": key, "data": self.value, "stamp": self.version})
    }
}

struct List(FakeStore);
#[handler]
impl List {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let prefix = request.query::<String>("prefix").unwrap_or_default();
        let limit = request.query::<usize>("most").unwrap_or(MAX_PAGE_SIZE);
        let page = self.0.contents().list(&prefix, request.query("since"), limit);
        answer(response, 200, &page);
    }
}

struct Get(FakeStore);
#[handler]
impl Get {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let key = request.param::<String>("key").unwrap_or_default();
        let contents = self.0.contents();
        match contents.records.get(&key) {
            Some(record) => answer(response, 200, &record.to_json(&key)),
            None => answer(response, 404, &json!({"ledger": contents.revision})),
        }
    }
}

struct CompareAndSwap(FakeStore);
#[handler]
impl CompareAndSwap {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Ok(body) = request.parse_json::<Value>().await else {
            return answer(response, 400, &json!({"error": "not JSON"}));
        };
        let (status, body) = self.0.contents().compare_and_swap(&body);
        self.0.changed.notify_waiters();
        answer(response, status, &body);
    }
}

struct GrantLease(FakeStore);
#[handler]
impl GrantLease {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = request.parse_json::<Value>().await.unwrap_or_default();
        let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(DEFAULT_TTL_MS));
        let mut contents = self.0.contents();
        contents.last_lease += 1;
        let id = contents.last_lease;
        contents.leases.insert(id, Lease { ttl, expires_at: Instant::now() + ttl });
        answer(response, 200, &json!({"permit": id}));
    }
}

struct RenewLease(FakeStore);
#[handler]
impl RenewLease {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id = request.param::<u64>("id").unwrap_or_default();
        let mut contents = self.0.contents();
        let Some(lease) = contents.leases.get_mut(&id) else {
            return answer(response, 404, &json!({}));
        };
        lease.expires_at = Instant::now() + lease.ttl;
        answer(response, 200, &json!({}));
    }
}

struct EndLease(FakeStore);
#[handler]
impl EndLease {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id = request.param::<u64>("id").unwrap_or_default();
        self.0.contents().end_lease(id);
        self.0.changed.notify_waiters();
        answer(response, 200, &json!({}));
    }
}

struct Watch(FakeStore);
#[handler]
impl Watch {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let prefix = request.query::<String>("prefix").unwrap_or_default();
        let since = request.query::<u64>("since").unwrap_or_default();
        let timeout = Duration::from_millis(request.query::<u64>("block_ms").unwrap_or_default());
        let deadline = Instant::now() + timeout;
        loop {
            let changed = self.0.changed.notified();
            let (log, revision) = {
                let contents = self.0.contents();
                (contents.changes_since(&prefix, since), contents.revision)
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !log.is_empty() || remaining.is_zero() {
                return answer(response, 200, &json!({"ledger": revision, "log": log}));
            }
            let _ = tokio::time::timeout(remaining, changed).await;
        }
    }
}
