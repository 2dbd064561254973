//! Calls to the cloud, as the leader asks for them.

use super::client::{Client, Failure, Reply};
use crate::core::{CloudOp, CloudResult};
use hyper::Method;
use std::time::Duration;

const LIMIT: Duration = Duration::from_millis(5000);
/// Machines per page of the list, the most that the cloud gives.
const PAGE: u32 = 500;

pub async fn call(client: &Client, op: CloudOp) -> CloudResult {
    let (method, path, body) = match &op {
        CloudOp::Catalog => (Method::GET, "/catalog".to_string(), None),
        CloudOp::List { since } => {
            let since = since.as_ref().map(|s| format!("since={s}&")).unwrap_or_default();
            (Method::GET, format!("/rentals?{since}most={PAGE}"), None)
        }
        CloudOp::Rent(r) => (Method::POST, "/rentals".into(), serde_json::to_vec(r).ok()),
        CloudOp::Return(r) => (Method::POST, "/rentals/return".into(), serde_json::to_vec(r).ok()),
    };
    match client.call(method, &path, body, LIMIT).await {
        Ok(r) => read(&op, r),
        Err(Failure::NotSent) => CloudResult::NotExecuted,
        Err(Failure::Unknown) => CloudResult::Unknown,
    }
}

fn read(op: &CloudOp, r: Reply) -> CloudResult {
    fn parse<T: serde::de::DeserializeOwned>(r: &Reply) -> Option<T> {
        serde_json::from_slice(&r.body)
            .map_err(|e| tracing::error!(%e, "unreadable answer of the cloud"))
            .ok()
    }
    let found = match (op, r.status) {
        (CloudOp::Catalog, 200) => parse(&r).map(CloudResult::Catalog),
        (CloudOp::List { .. }, 200) => parse(&r).map(CloudResult::Page),
        (CloudOp::Rent(_), 200) => parse(&r).map(CloudResult::Rented),
        (CloudOp::Return(_), 200 | 204) => Some(CloudResult::Returned),
        (CloudOp::Rent(_), 503) if contains(&r.body, b"no capacity") => Some(CloudResult::NoCapacity),
        (_, 429 | 503) => Some(CloudResult::NotExecuted),
        (_, 400..=499) => {
            tracing::error!(status = r.status, ?op, "the cloud rejects a request");
            Some(CloudResult::Bad)
        }
        _ => None,
    };
    found.unwrap_or(CloudResult::Unknown)
}

fn contains(hay: &[u8], needle: &[u8]) -> bool {
    hay.windows(needle.len()).any(|w| w == needle)
}
