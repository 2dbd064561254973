//! A fake of the key-value store, written from the protocol.

use super::events::Call;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::ops::Bound;
use woadlever::core::{StoreRequest, StoreResponse};
use woadlever::wire::encoded::Encoded;
use woadlever::wire::store::{
    CompareAndSwap, Event as ChangeEvent, KeyValue, Mutation, Page, WatchAnswer,
};

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
    pub keys: BTreeMap<String, (Value, u64, Option<u64>)>,
    pub revision: u64,
    pub(super) leases: HashMap<u64, (u64, u64)>,
    pub(super) next_lease: u64,
    log: Vec<ChangeEvent>,
    /// Changes up to here are no longer kept.
    pub floor: u64,
    pub down: bool,
    pub refuses: HashSet<usize>,
    pub(super) watches: Vec<PendingWatch>,
    pub writes: u64,
    /// Calls that reached the store, watches included.
    pub requests: u64,
    /// Requests and changes a second, with bursts of a second's worth; none:
    /// not enforced.
    pub rates: Option<(f64, f64)>,
    tokens: (f64, f64, u64),
    pub refused: u64,
    /// KiB a value and changes a transaction, since the limits have fallen.
    pub fallen: Option<(f64, usize)>,
    /// Keys of what was rejected for its size since.
    pub rejected: Vec<String>,
    /// Items on a page, where not few.
    pub page_size: Option<usize>,
}

impl Store {
    /// Whether the store has to answer 429.
    pub(super) fn over_rate(&mut self, now: u64, op: &StoreRequest) -> bool {
        let Some((rps, writes)) = self.rates else { return false };
        let passed = (now - self.tokens.2) as f64 / 1000.0;
        self.tokens.0 = (self.tokens.0 + rps * passed).min(rps);
        self.tokens.1 = (self.tokens.1 + writes * passed).min(writes);
        self.tokens.2 = now;
        let n = if let StoreRequest::CompareAndSwap(t) = op { t.mutations.len() as f64 } else { 0.0 };
        if self.tokens.0 < 1.0 || self.tokens.1 < n {
            self.refused += 1;
            return true;
        }
        self.tokens.0 -= 1.0;
        self.tokens.1 -= n;
        false
    }

    /// A record as some other process has written it.
    pub fn put_record(&mut self, key: &str, value: Value) {
        self.revision += 1;
        self.change(key, Some((value, None)));
    }

    pub(super) fn change(&mut self, key: &str, value: Option<(Value, Option<u64>)>) {
        let version = self.revision;
        let (put, delete) =
            if value.is_some() { (Some(key.to_string()), None) } else { (None, Some(key.to_string())) };
        let data = value.as_ref().map_or(Value::Null, |v| v.0.clone());
        self.log.push(ChangeEvent { put, delete, value: Encoded::new(&data), version });
        match value {
            Some((v, lease)) => {
                self.keys.insert(key.into(), (v, version, lease));
            }
            None => {
                self.keys.remove(key);
            }
        }
    }

    pub(super) fn expire(&mut self, now: u64) {
        if self.down {
            // After an outage every lease has its full time again.
            for l in self.leases.values_mut() {
                l.1 = now + l.0;
            }
            return;
        }
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, l)| l.1 <= now).map(|(id, _)| *id).collect();
        for id in ended {
            self.end_lease(id);
        }
    }

    pub(super) fn end_lease(&mut self, id: u64) {
        self.leases.remove(&id);
        let keys: Vec<String> =
            self.keys.iter().filter(|(_, v)| v.2 == Some(id)).map(|(k, _)| k.clone()).collect();
        for k in keys {
            self.revision += 1;
            self.change(&k, None);
        }
    }

    pub(super) fn compare_and_swap(&mut self, t: &CompareAndSwap) -> StoreResponse {
        let failed: Vec<String> = t
            .compares
            .iter()
            .filter(|c| self.keys.get(&c.key).map_or(0, |v| v.1) != c.version)
            .map(|c| c.key.clone())
            .collect();
        for c in &t.mutations {
            if let Mutation::Put { lease: Some(l), .. } = c
                && !self.leases.contains_key(l)
            {
                return StoreResponse::LeaseNotFound;
            }
        }
        if !failed.is_empty() {
            return StoreResponse::Conflict(failed);
        }
        let bytes = serde_json::to_string(t).map_or(0, |s| s.len());
        assert!(bytes <= 64 << 10, "transaction of {bytes} bytes");
        if let Some((kb, ops)) = self.fallen {
            let too_long = |c: &&Mutation| match c {
                Mutation::Put { value, .. } => value.len() as f64 > kb * 1024.0,
                Mutation::Delete { .. } => false,
            };
            if let Some(Mutation::Put { key, .. }) = t.mutations.iter().find(too_long) {
                self.rejected.push(key.clone());
                return StoreResponse::Malformed;
            }
            assert!(
                t.mutations.len() <= ops && t.compares.len() <= 4 * ops,
                "transaction over its limits"
            );
        }
        assert!(t.mutations.len() <= 12 && t.compares.len() <= 48, "transaction over its limits");
        self.revision += 1;
        self.writes += t.mutations.len() as u64;
        for c in &t.mutations {
            match c {
                Mutation::Put { key, value, lease } => {
                    assert!(value.len() <= 8 << 10, "value over its limit: {key}");
                    let value = value.decode().expect("JSON");
                    self.change(key, Some((value, *lease)));
                }
                Mutation::Delete { key } => self.change(key, None),
            }
        }
        StoreResponse::Committed { revision: self.revision }
    }

    pub(super) fn run(&mut self, now: u64, op: &StoreRequest) -> StoreResponse {
        match op {
            StoreRequest::Get(k) => match self.keys.get(k) {
                Some((v, s, _)) => StoreResponse::KeyValue(KeyValue {
                    key: k.clone(),
                    value: Encoded::new(v),
                    version: *s,
                }),
                None => StoreResponse::NotFound,
            },
            StoreRequest::List { prefix, since, most } => {
                // Small pages, so that every scenario pages.
                let page = self.page_size.unwrap_or(20).min(*most as usize);
                let from = match since {
                    Some(key) => Bound::Excluded(key.clone()),
                    None => Bound::Included(prefix.clone()),
                };
                let mut items: Vec<KeyValue> = self
                    .keys
                    .range((from, Bound::Unbounded))
                    .take_while(|(k, _)| k.starts_with(prefix.as_str()))
                    .take(page + 1)
                    .map(|(k, v)| KeyValue { key: k.clone(), value: Encoded::new(&v.0), version: v.1 })
                    .collect();
                let more = items.len() > page;
                items.truncate(page);
                StoreResponse::Page(Page { items, more, revision: self.revision })
            }
            StoreRequest::CompareAndSwap(t) => self.compare_and_swap(t),
            StoreRequest::OpenLease { ttl_ms } => {
                self.next_lease += 1;
                self.leases.insert(self.next_lease, (*ttl_ms, now + ttl_ms));
                StoreResponse::LeaseOpened(self.next_lease)
            }
            StoreRequest::RenewLease(id) => match self.leases.get_mut(id) {
                Some(l) => {
                    l.1 = now + l.0;
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

    pub(super) fn watch(&self, prefix: &str, since: u64) -> Option<StoreResponse> {
        if since < self.floor {
            return Some(StoreResponse::Compacted);
        }
        let touches = |e: &ChangeEvent| {
            let k = e.put.as_ref().or(e.delete.as_ref());
            e.version > since && k.is_some_and(|k| k.starts_with(prefix))
        };
        let from = self.log.partition_point(|e| e.version <= since);
        let events: Vec<ChangeEvent> = self.log[from..].iter().filter(|e| touches(e)).cloned().collect();
        (!events.is_empty())
            .then_some(StoreResponse::Watch(WatchAnswer { revision: self.revision, events }))
    }
}
