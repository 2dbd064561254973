//! HTTP encoding of the core's requests to the key-value store.

use super::client::{CallError, HttpCall, HttpResponse, ServiceRequest};
use crate::core::{StoreRequest, StoreResponse};
use crate::wire::store::{CompareAndSwapCommitted, CompareAndSwapConflict, LeaseOpened, OpenLease};
use hyper::Method;
use std::time::Duration;

/// Timeout of a call. Users wait for 5 s, and one request may need two calls in sequence: a
/// write and then a read.
const CALL_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time that a watch may take beyond the time for which the store blocks waiting for changes.
const WATCH_SLACK: Duration = Duration::from_millis(3000);
/// Name of the service in log lines.
const SERVICE: &str = "store";
/// Text in the body of a 400 response if the lease has expired. That is an expected response
/// to a late write, not a malformed request.
const NO_SUCH_LEASE: &str = "no such lease";

impl ServiceRequest for StoreRequest {
    type Response = StoreResponse;

    fn to_http(&self) -> HttpCall {
        let mut timeout = CALL_TIMEOUT;
        let (method, path, body) = match self {
            StoreRequest::Get(key) => (Method::GET, format!("/keys/{key}"), None),
            StoreRequest::List { prefix, after, limit } => {
                let after = after.as_ref().map(|key| format!("&since={key}")).unwrap_or_default();
                (Method::GET, format!("/keys?prefix={prefix}{after}&most={limit}"), None)
            }
            StoreRequest::CompareAndSwap(body) => {
                (Method::POST, "/multi".into(), serde_json::to_vec(body).ok())
            }
            StoreRequest::OpenLease { ttl_ms } => {
                let body = OpenLease { ttl_ms: *ttl_ms };
                (Method::POST, "/holds".into(), serde_json::to_vec(&body).ok())
            }
            StoreRequest::RenewLease(id) => {
                (Method::POST, format!("/holds/{id}/renew"), Some(b"{}".to_vec()))
            }
            StoreRequest::EndLease(id) => (Method::DELETE, format!("/holds/{id}"), None),
            StoreRequest::Watch { prefix, since, block_ms } => {
                timeout = Duration::from_millis(*block_ms) + WATCH_SLACK;
                let path = format!("/watch?prefix={prefix}&since={since}&block_ms={block_ms}");
                (Method::GET, path, None)
            }
        };
        HttpCall { method, path, body, timeout }
    }

    fn parse_response(&self, response: &HttpResponse) -> Option<StoreResponse> {
        match (self, response.status) {
            (_, 429 | 503) => Some(StoreResponse::NotExecuted),
            (StoreRequest::Get(_), 200) => response.json(SERVICE).map(StoreResponse::KeyValue),
            (StoreRequest::Get(_), 404) => Some(StoreResponse::NotFound),
            (StoreRequest::List { .. }, 200) => response.json(SERVICE).map(StoreResponse::Page),
            (StoreRequest::CompareAndSwap(_), 200) => {
                let committed: CompareAndSwapCommitted = response.json(SERVICE)?;
                Some(StoreResponse::Committed { revision: committed.revision })
            }
            (StoreRequest::CompareAndSwap(_), 409) => {
                let conflict: CompareAndSwapConflict = response.json(SERVICE)?;
                Some(StoreResponse::Conflict(conflict.failed))
            }
            (StoreRequest::OpenLease { .. }, 200) => {
                let opened: LeaseOpened = response.json(SERVICE)?;
                Some(StoreResponse::LeaseOpened(opened.lease))
            }
            (StoreRequest::RenewLease(_) | StoreRequest::EndLease(_), 200 | 204) => {
                Some(StoreResponse::Committed { revision: 0 })
            }
            (StoreRequest::RenewLease(_) | StoreRequest::EndLease(_), 404) => {
                Some(StoreResponse::LeaseNotFound)
            }
            (StoreRequest::Watch { .. }, 200) => response.json(SERVICE).map(StoreResponse::Watch),
            (StoreRequest::Watch { .. }, 410) => Some(StoreResponse::Compacted),
            (StoreRequest::CompareAndSwap(_), 400) if response.contains(NO_SUCH_LEASE) => {
                Some(StoreResponse::LeaseNotFound)
            }
            (_, status @ 400..=499) => {
                tracing::error!(status, request = ?self, "the store rejects a request");
                Some(StoreResponse::Malformed)
            }
            _ => None,
        }
    }
}

impl From<CallError> for StoreResponse {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent => StoreResponse::NotExecuted,
            CallError::OutcomeUnknown => StoreResponse::OutcomeUnknown,
        }
    }
}
