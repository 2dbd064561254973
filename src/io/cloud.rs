//! HTTP encoding of the leader's requests to the cloud.

use super::client::{CallError, HttpCall, HttpResponse, ServiceRequest};
use crate::core::{CloudRequest, CloudResponse};
use hyper::Method;
use std::time::Duration;

const CALL_TIMEOUT: Duration = Duration::from_millis(5000);
/// Machines per page of the instance list, the maximum that the cloud returns.
const PAGE_SIZE: u32 = 500;
/// Name of the service in log lines.
const SERVICE: &str = "cloud";
/// Text in the body of a 503 response if the cloud has no capacity for the requested machines.
const NO_CAPACITY: &str = "no capacity";

impl ServiceRequest for CloudRequest {
    type Response = CloudResponse;

    fn to_http(&self) -> HttpCall {
        let (method, path, body) = match self {
            CloudRequest::Catalog => (Method::GET, "/catalog".into(), None),
            CloudRequest::List { after } => {
                let after = after.as_ref().map(|name| format!("since={name}&")).unwrap_or_default();
                (Method::GET, format!("/rentals?{after}most={PAGE_SIZE}"), None)
            }
            CloudRequest::CreateInstances(body) => {
                (Method::POST, "/rentals".into(), serde_json::to_vec(body).ok())
            }
            CloudRequest::TerminateInstances(body) => {
                (Method::POST, "/rentals/return".into(), serde_json::to_vec(body).ok())
            }
        };
        HttpCall { method, path, body, timeout: CALL_TIMEOUT }
    }

    fn parse_response(&self, response: &HttpResponse) -> Option<CloudResponse> {
        match (self, response.status) {
            (CloudRequest::Catalog, 200) => response.json(SERVICE).map(CloudResponse::Catalog),
            (CloudRequest::List { .. }, 200) => response.json(SERVICE).map(CloudResponse::Page),
            (CloudRequest::CreateInstances(_), 200) => {
                response.json(SERVICE).map(CloudResponse::InstancesCreated)
            }
            (CloudRequest::TerminateInstances(_), 200 | 204) => Some(CloudResponse::InstancesTerminated),
            (CloudRequest::CreateInstances(_), 503) if response.contains(NO_CAPACITY) => {
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
