//! Calls to the cloud, as the leader asks for them.

use super::client::{CallError, HttpCall, Reply, ServiceRequest};
use crate::core::{CloudRequest, CloudResponse};
use hyper::Method;
use std::time::Duration;

const TIME_LIMIT: Duration = Duration::from_millis(5000);
/// Machines per page of the list, the most that the cloud gives.
const PAGE_SIZE: u32 = 500;
/// Name of the service in logs.
const SERVICE: &str = "cloud";
/// What the body of a 503 says when the cloud has none of the machines asked for.
const NO_CAPACITY: &str = "no capacity";

impl ServiceRequest for CloudRequest {
    type Response = CloudResponse;

    fn to_http(&self) -> HttpCall {
        let (method, path, body) = match self {
            CloudRequest::Catalog => (Method::GET, "/catalog".into(), None),
            CloudRequest::List { since } => {
                let since = since.as_ref().map(|name| format!("since={name}&")).unwrap_or_default();
                (Method::GET, format!("/rentals?{since}most={PAGE_SIZE}"), None)
            }
            CloudRequest::CreateInstances(body) => {
                (Method::POST, "/rentals".into(), serde_json::to_vec(body).ok())
            }
            CloudRequest::TerminateInstances(body) => {
                (Method::POST, "/rentals/return".into(), serde_json::to_vec(body).ok())
            }
        };
        HttpCall { method, path, body, time_limit: TIME_LIMIT }
    }

    fn read_reply(&self, reply: &Reply) -> Option<CloudResponse> {
        match (self, reply.status) {
            (CloudRequest::Catalog, 200) => reply.json(SERVICE).map(CloudResponse::Catalog),
            (CloudRequest::List { .. }, 200) => reply.json(SERVICE).map(CloudResponse::Page),
            (CloudRequest::CreateInstances(_), 200) => {
                reply.json(SERVICE).map(CloudResponse::InstancesCreated)
            }
            (CloudRequest::TerminateInstances(_), 200 | 204) => Some(CloudResponse::InstancesTerminated),
            (CloudRequest::CreateInstances(_), 503) if reply.contains(NO_CAPACITY) => {
                Some(CloudResponse::NoCapacity)
            }
            (_, 429 | 503) => Some(CloudResponse::NotExecuted),
            (_, status @ 400..=499) => {
                tracing::error!(status, request = ?self, "the cloud rejects a request");
                Some(CloudResponse::Malformed)
            }
            _ => None,
        }
    }
}

impl From<CallError> for CloudResponse {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent => CloudResponse::NotExecuted,
            CallError::OutcomeUnknown => CloudResponse::OutcomeUnknown,
        }
    }
}
