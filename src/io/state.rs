//! Calls to the state service, as the core asks for them.

use super::client::{Client, Failure, Reply};
use crate::core::{StateOp, StateResult};
use crate::wire::state::{Item, LeaseGranted, Page, TxnDone, TxnFailed, WatchAnswer};
use hyper::Method;
use serde_json::json;
use std::time::Duration;

/// The user waits for 5 s, and a read may have to follow a write.
const LIMIT: Duration = Duration::from_millis(2000);
const WATCH_SLACK: Duration = Duration::from_millis(3000);

pub async fn call(client: &Client, op: StateOp) -> StateResult {
    let mut limit = LIMIT;
    let (method, path, body) = match &op {
        StateOp::Get(key) => (Method::GET, format!("/keys/{key}"), None),
        StateOp::List { prefix, since, most } => {
            let since = since.as_ref().map(|s| format!("&since={s}")).unwrap_or_default();
            (Method::GET, format!("/keys?prefix={prefix}{since}&most={most}"), None)
        }
        StateOp::Txn(t) => (Method::POST, "/multi".into(), serde_json::to_vec(t).ok()),
        StateOp::Grant { ttl_ms } => {
            (Method::POST, "/holds".into(), serde_json::to_vec(&json!({ "ttl_ms": ttl_ms })).ok())
        }
        StateOp::Renew(id) => (Method::POST, format!("/holds/{id}/renew"), Some(b"{}".to_vec())),
        StateOp::Release(id) => (Method::DELETE, format!("/holds/{id}"), None),
        StateOp::Watch { prefix, since, block_ms } => {
            limit = Duration::from_millis(*block_ms) + WATCH_SLACK;
            (Method::GET, format!("/watch?prefix={prefix}&since={since}&block_ms={block_ms}"), None)
        }
    };
    match client.call(method, &path, body, limit).await {
        Ok(r) => read(&op, r),
        Err(Failure::NotSent) => StateResult::NotExecuted,
        Err(Failure::Unknown) => StateResult::Unknown,
    }
}

fn read(op: &StateOp, r: Reply) -> StateResult {
    fn parse<T: serde::de::DeserializeOwned>(r: &Reply) -> Option<T> {
        serde_json::from_slice(&r.body)
            .map_err(|e| tracing::error!(%e, "unreadable answer of the state service"))
            .ok()
    }
    let found = match (op, r.status) {
        (_, 429 | 503) => Some(StateResult::NotExecuted),
        (StateOp::Get(_), 200) => parse::<Item>(&r).map(StateResult::Item),
        (StateOp::Get(_), 404) => Some(StateResult::Missing),
        (StateOp::List { .. }, 200) => parse::<Page>(&r).map(StateResult::Page),
        (StateOp::Txn(_), 200) => {
            parse::<TxnDone>(&r).map(|d| StateResult::Done { revision: d.revision })
        }
        (StateOp::Txn(_), 409) => parse::<TxnFailed>(&r).map(|f| StateResult::Failed(f.failed)),
        (StateOp::Grant { .. }, 200) => parse::<LeaseGranted>(&r).map(|g| StateResult::Lease(g.lease)),
        (StateOp::Renew(_) | StateOp::Release(_), 200 | 204) => Some(StateResult::Done { revision: 0 }),
        (StateOp::Renew(_) | StateOp::Release(_), 404) => Some(StateResult::NoLease),
        (StateOp::Watch { .. }, 200) => parse::<WatchAnswer>(&r).map(StateResult::Watch),
        (StateOp::Watch { .. }, 410) => Some(StateResult::TooOld),
        // An ended lease is an ordinary answer to a late claim.
        (StateOp::Txn(_), 400) if r.body.windows(13).any(|w| w == b"no such lease") => {
            Some(StateResult::NoLease)
        }
        (_, 400..=499) => {
            tracing::error!(status = r.status, ?op, "the state service rejects a request");
            Some(StateResult::Bad)
        }
        _ => None,
    };
    // What can't be read may have been executed all the same.
    found.unwrap_or(StateResult::Unknown)
}
