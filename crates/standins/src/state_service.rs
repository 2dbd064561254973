//! The state service.

use crate::{answer, serve};
use salvo::prelude::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

const LEASE_CHECK: Duration = Duration::from_millis(50);
const MOST_ITEMS: usize = 1_000;

struct Record {
    data: Value,
    stamp: u64,
    permit: Option<u64>,
}

struct Hold {
    ttl: Duration,
    ends: Instant,
}

#[derive(Default)]
struct Store {
    records: BTreeMap<String, Record>,
    ledger: u64,
    log: Vec<(String, Value)>,
    holds: HashMap<u64, Hold>,
    next_hold: u64,
}

/// A running state service.
#[derive(Clone, Default)]
pub struct StateService {
    store: Arc<Mutex<Store>>,
    changed: Arc<Notify>,
}

impl StateService {
    /// Starts one on a free port.
    pub async fn start() -> std::io::Result<(StateService, SocketAddr)> {
        let service = StateService::default();
        let router = Router::new()
            .push(Router::with_path("keys").get(List(service.clone())))
            .push(Router::with_path("keys/{**key}").get(Get(service.clone())))
            .push(Router::with_path("multi").post(Multi(service.clone())))
            .push(Router::with_path("holds").post(Grant(service.clone())))
            .push(Router::with_path("holds/{id}").delete(Release(service.clone())))
            .push(Router::with_path("holds/{id}/renew").post(Renew(service.clone())))
            .push(Router::with_path("watch").get(Watch(service.clone())));
        let address = serve(router).await?;
        let expiring = service.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(LEASE_CHECK).await;
                expiring.end_holds(|hold| hold.ends <= Instant::now());
            }
        });
        Ok((service, address))
    }

    /// The value of a record.
    pub fn value(&self, key: &str) -> Option<Value> {
        self.store().records.get(key).map(|record| record.data.clone())
    }

    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn end_holds(&self, ends: impl Fn(&Hold) -> bool) {
        let mut store = self.store();
        let ended: Vec<u64> =
            store.holds.iter().filter(|(_, hold)| ends(hold)).map(|(id, _)| *id).collect();
        for id in ended {
            store.end_hold(id);
        }
        drop(store);
        self.changed.notify_waiters();
    }
}

impl Store {
    fn end_hold(&mut self, id: u64) {
        self.holds.remove(&id);
        let attached = self.records.iter().filter(|(_, record)| record.permit == Some(id));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.ledger += 1;
            self.drop_record(&key);
        }
    }

    fn drop_record(&mut self, key: &str) {
        self.records.remove(key);
        self.log.push((key.into(), json!({"drop": key, "stamp": self.ledger})));
    }

    fn write(&mut self, key: &str, data: Value, permit: Option<u64>) {
        let stamp = self.ledger;
        self.log.push((key.into(), json!({"write": key, "data": data, "stamp": stamp})));
        self.records.insert(key.into(), Record { data, stamp, permit });
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        let list = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let stamp = |key: &str| self.records.get(key).map_or(0, |record| record.stamp);
        let holds = |cond: &Value| {
            stamp(cond["k"].as_str().unwrap_or_default()) == cond["stamp"].as_u64().unwrap_or_default()
        };
        let failed: Vec<Value> =
            list("if").iter().filter(|cond| !holds(cond)).map(|cond| cond["k"].clone()).collect();
        let changes = list("apply");
        let lost = |change: &Value| {
            change["permit"].as_u64().is_some_and(|permit| !self.holds.contains_key(&permit))
        };
        if changes.iter().any(lost) {
            return (400, json!({"error": "no such lease"}));
        }
        if !failed.is_empty() {
            return (409, json!({"failed": failed, "ledger": self.ledger}));
        }
        self.ledger += 1;
        for change in changes {
            if let Some(key) = change["write"].as_str() {
                self.write(key, change["data"].clone(), change["permit"].as_u64());
            } else if let Some(key) = change["drop"].as_str() {
                self.drop_record(key);
            }
        }
        (200, json!({"ledger": self.ledger}))
    }

    fn list(&self, prefix: &str, since: Option<String>, most: usize) -> Value {
        let from = since.map_or(Bound::Included(prefix.to_string()), Bound::Excluded);
        let most = most.min(MOST_ITEMS);
        let mut pairs: Vec<Value> = self
            .records
            .range((from, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(prefix))
            .take(most + 1)
            .map(|(key, record)| json!({"k": key, "data": record.data, "stamp": record.stamp}))
            .collect();
        let has_next = pairs.len() > most;
        pairs.truncate(most);
        json!({"pairs": pairs, "has_next": has_next, "ledger": self.ledger})
    }

    fn changes(&self, prefix: &str, since: u64) -> Vec<Value> {
        let newer = |change: &Value| change["stamp"].as_u64().is_some_and(|stamp| stamp > since);
        let wanted = |(key, change): &&(String, Value)| key.starts_with(prefix) && newer(change);
        self.log.iter().filter(wanted).map(|(_, change)| change.clone()).collect()
    }
}

struct List(StateService);
#[handler]
impl List {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let prefix = request.query::<String>("prefix").unwrap_or_default();
        let most = request.query::<usize>("most").unwrap_or(MOST_ITEMS);
        let page = self.0.store().list(&prefix, request.query("since"), most);
        answer(response, 200, &page);
    }
}

struct Get(StateService);
#[handler]
impl Get {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let key = request.param::<String>("key").unwrap_or_default();
        let store = self.0.store();
        match store.records.get(&key) {
            Some(record) => {
                let body = json!({"k": key, "data": record.data, "stamp": record.stamp});
                answer(response, 200, &body);
            }
            None => answer(response, 404, &json!({"ledger": store.ledger})),
        }
    }
}

struct Multi(StateService);
#[handler]
impl Multi {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let Ok(body) = request.parse_json::<Value>().await else {
            return answer(response, 400, &json!({"error": "not JSON"}));
        };
        let (status, body) = self.0.store().transact(&body);
        self.0.changed.notify_waiters();
        answer(response, status, &body);
    }
}

struct Grant(StateService);
#[handler]
impl Grant {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = request.parse_json::<Value>().await.unwrap_or_default();
        let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(1_000));
        let mut store = self.0.store();
        store.next_hold += 1;
        let id = store.next_hold;
        store.holds.insert(id, Hold { ttl, ends: Instant::now() + ttl });
        answer(response, 200, &json!({"permit": id}));
    }
}

struct Renew(StateService);
#[handler]
impl Renew {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id = request.param::<u64>("id").unwrap_or_default();
        let mut store = self.0.store();
        let Some(hold) = store.holds.get_mut(&id) else {
            return answer(response, 404, &json!({}));
        };
        hold.ends = Instant::now() + hold.ttl;
        answer(response, 200, &json!({}));
    }
}

struct Release(StateService);
#[handler]
impl Release {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id = request.param::<u64>("id").unwrap_or_default();
        self.0.store().end_hold(id);
        self.0.changed.notify_waiters();
        answer(response, 200, &json!({}));
    }
}

struct Watch(StateService);
#[handler]
impl Watch {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let prefix = request.query::<String>("prefix").unwrap_or_default();
        let since = request.query::<u64>("since").unwrap_or_default();
        let shard = Duration::from_millis(request.query::<u64>("block_ms").unwrap_or_default());
        let end = Instant::now() + shard;
        loop {
            let changed = self.0.changed.notified();
            let (log, ledger) = {
                let store = self.0.store();
                (store.changes(&prefix, since), store.ledger)
            };
            let left = end.saturating_duration_since(Instant::now());
            if !log.is_empty() || left.is_zero() {
                return answer(response, 200, &json!({"ledger": ledger, "log": log}));
            }
            let _ = tokio::time::timeout(left, changed).await;
        }
    }
}
