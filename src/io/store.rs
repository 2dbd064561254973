//! Calls to the state service, as the core asks for them.

use super::client::{Client, Failure, Reply};
use crate::core::{StoreRequest, StoreResponse};
use crate::wire::store::{
    CompareAndSwapCommitted, CompareAndSwapConflict, KeyValue, LeaseOpened, Page, WatchAnswer,
};
use hyper::Method;
use serde_json::json;
use std::time::Duration;

/// The user waits for 5 s, and a read may have to follow a write.
const LIMIT: Duration = Duration::from_millis(2000);
const WATCH_SLACK: Duration = Duration::from_millis(3000);

pub async fn call(client: &Client, op: StoreRequest) -> StoreResponse {
    let mut limit = LIMIT;
    let (method, path, body) = match &op {
        StoreRequest::Get(key) => (Method::GET, format!("/keys/{key}"), None),
        StoreRequest::List { prefix, since, most } => {
            let since = since.as_ref().map(|s| format!("&since={s}")).unwrap_or_default();
            (Method::GET, format!("/keys?prefix={prefix}{since}&most={most}"), None)
        }
        StoreRequest::CompareAndSwap(t) => (Method::POST, "/multi".into(), serde_json::to_vec(t).ok()),
        StoreRequest::OpenLease { ttl_ms } => {
            (Method::POST, "/holds".into(), serde_json::to_vec(&json!({ "ttl_ms": ttl_ms })).ok())
        }
        StoreRequest::RenewLease(id) => {
            (Method::POST, format!("/holds/{id}/renew"), Some(b"{}".to_vec()))
        }
        StoreRequest::EndLease(id) => (Method::DELETE, format!("/holds/{id}"), None),
        StoreRequest::Watch { prefix, since, block_ms } => {
            limit = Duration::from_millis(*block_ms) + WATCH_SLACK;
            (Method::GET, format!("/watch?prefix={prefix}&since={since}&block_ms={block_ms}"), None)
        }
    };
    match client.call(method, &path, body, limit).await {
        Ok(r) => read(&op, r),
        Err(Failure::NotSent) => StoreResponse::NotExecuted,
        Err(Failure::OutcomeUnknown) => StoreResponse::OutcomeUnknown,
    }
}

fn read(op: &StoreRequest, r: Reply) -> StoreResponse {
    fn parse<T: serde::de::DeserializeOwned>(r: &Reply) -> Option<T> {
        serde_json::from_slice(&r.body)
            .map_err(|e| tracing::error!(%e, "unreadable answer of the state service"))
            .ok()
    }
    let found = match (op, r.status) {
        (_, 429 | 503) => Some(StoreResponse::NotExecuted),
        (StoreRequest::Get(_), 200) => parse::<KeyValue>(&r).map(StoreResponse::KeyValue),
        (StoreRequest::Get(_), 404) => Some(StoreResponse::NotFound),
        (StoreRequest::List { .. }, 200) => parse::<Page>(&r).map(StoreResponse::Page),
        (StoreRequest::CompareAndSwap(_), 200) => parse::<CompareAndSwapCommitted>(&r)
            .map(|d| StoreResponse::Committed { revision: d.revision }),
        (StoreRequest::CompareAndSwap(_), 409) => {
            parse::<CompareAndSwapConflict>(&r).map(|f| StoreResponse::Conflict(f.failed))
        }
        (StoreRequest::OpenLease { .. }, 200) => {
            parse::<LeaseOpened>(&r).map(|g| StoreResponse::LeaseOpened(g.lease))
        }
        (StoreRequest::RenewLease(_) | StoreRequest::EndLease(_), 200 | 204) => {
            Some(StoreResponse::Committed { revision: 0 })
        }
        (StoreRequest::RenewLease(_) | StoreRequest::EndLease(_), 404) => {
            Some(StoreResponse::LeaseNotFound)
        }
        (StoreRequest::Watch { .. }, 200) => parse::<WatchAnswer>(&r).map(StoreResponse::Watch),
        (StoreRequest::Watch { .. }, 410) => Some(StoreResponse::Compacted),
        // An ended lease is an ordinary answer to a late claim.
        (StoreRequest::CompareAndSwap(_), 400) if r.body.windows(13).any(|w| w == b"no such lease") => {
            Some(StoreResponse::LeaseNotFound)
        }
        (_, 400..=499) => {
            tracing::error!(status = r.status, ?op, "the state service rejects a request");
            Some(StoreResponse::Malformed)
        }
        _ => None,
    };
    // What can't be read may have been executed all the same.
    found.unwrap_or(StoreResponse::OutcomeUnknown)
}
