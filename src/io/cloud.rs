//! Calls to the cloud, as the leader asks for them.

use super::client::{Client, Failure, Reply};
use crate::core::{CloudRequest, CloudResponse};
use hyper::Method;
use std::time::Duration;

const LIMIT: Duration = Duration::from_millis(5000);
/// Machines per page of the list, the most that the cloud gives.
const PAGE: u32 = 500;

pub async fn call(client: &Client, op: CloudRequest) -> CloudResponse {
    let (method, path, body) = match &op {
        CloudRequest::Catalog => (Method::GET, "/catalog".to_string(), None),
        CloudRequest::List { since } => {
            let since = since.as_ref().map(|s| format!("since={s}&")).unwrap_or_default();
            (Method::GET, format!("/rentals?{since}most={PAGE}"), None)
        }
        CloudRequest::Rent(r) => (Method::POST, "/rentals".into(), serde_json::to_vec(r).ok()),
        CloudRequest::Return(r) => (Method::POST, "/rentals/return".into(), serde_json::to_vec(r).ok()),
    };
    match client.call(method, &path, body, LIMIT).await {
        Ok(r) => read(&op, r),
        Err(Failure::NotSent) => CloudResponse::NotExecuted,
        Err(Failure::OutcomeUnknown) => CloudResponse::OutcomeUnknown,
    }
}

fn read(op: &CloudRequest, r: Reply) -> CloudResponse {
    fn parse<T: serde::de::DeserializeOwned>(r: &Reply) -> Option<T> {
        serde_json::from_slice(&r.body)
            .map_err(|e| tracing::error!(%e, "unreadable answer of the cloud"))
            .ok()
    }
    let found = match (op, r.status) {
        (CloudRequest::Catalog, 200) => parse(&r).map(CloudResponse::Catalog),
        (CloudRequest::List { .. }, 200) => parse(&r).map(CloudResponse::Page),
        (CloudRequest::Rent(_), 200) => parse(&r).map(CloudResponse::Rented),
        (CloudRequest::Return(_), 200 | 204) => Some(CloudResponse::Returned),
        (CloudRequest::Rent(_), 503) if contains(&r.body, b"no capacity") => {
            Some(CloudResponse::NoCapacity)
        }
        (_, 429 | 503) => Some(CloudResponse::NotExecuted),
        (_, 400..=499) => {
            tracing::error!(status = r.status, ?op, "the cloud rejects a request");
            Some(CloudResponse::Malformed)
        }
        _ => None,
    };
    found.unwrap_or(CloudResponse::OutcomeUnknown)
}

fn contains(hay: &[u8], needle: &[u8]) -> bool {
    hay.windows(needle.len()).any(|w| w == needle)
}
