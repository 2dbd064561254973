//! The HTTP interface for users, workers and the load balancer. Handlers read a request, pass
//! it to the core and wait for the core's answer; they contain no logic of their own.

use crate::core::{Answer, HttpRequest};
use crate::wire::users::{ErrorBody, MAX_BODY_BYTES};
use crate::wire::workers::WorkerHeartbeat;
use bytes::Bytes;
use salvo::catcher::Catcher;
use salvo::http::StatusCode;
use salvo::http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use salvo::prelude::*;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;

/// A request with the channel for its answer.
pub(super) struct PendingRequest {
    /// The request.
    pub request: HttpRequest,
    /// Channel for the answer, closed once the client no longer waits for it.
    pub answer: oneshot::Sender<Answer>,
}

/// Time within which the core must answer a request. Users give up after 5 s, so a later answer
/// would be useless.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(4800);
/// Maximum length of the body of a worker heartbeat.
const MAX_HEARTBEAT_BYTES: usize = 4 << 20;

/// Returns the HTTP service, which sends all requests to `requests`.
pub(super) fn service(requests: Sender<PendingRequest>) -> Service {
    let core = CoreClient { requests };
    let router = Router::new()
        .push(
            Router::with_path("api/jobs")
                .post(Submit(core.clone()))
                .push(Router::with_path("{id}").get(Status(core.clone())))
                .push(Router::with_path("{id}/cancel").post(Cancel(core.clone()))),
        )
        .push(Router::with_path("checkin").post(Heartbeat(core.clone())))
        .push(Router::with_path("ready").get(Ready(core)));
    Service::new(router).catcher(Catcher::default().hoop(json_error))
}

/// Returns the answer to a request that is rejected because of overload.
pub(super) fn overloaded(retry_after_s: u32) -> Answer {
    Answer { retry_after_s: Some(retry_after_s), ..error_answer(503, "overloaded", None) }
}

fn error_answer(status: u16, error: &str, field: Option<&'static str>) -> Answer {
    let body = serde_json::to_string(&ErrorBody { error: error.into(), field }).unwrap_or_default();
    Answer { status, body, retry_after_s: (status == 503).then_some(1) }
}

fn write_answer(response: &mut Response, answer: Answer) {
    response
        .status_code(StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(seconds) = answer.retry_after_s {
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response.body(salvo::http::ResBody::Once(Bytes::from(answer.body)));
}

/// Sends requests to the core and waits for its answers.
#[derive(Clone)]
struct CoreClient {
    requests: Sender<PendingRequest>,
}

impl CoreClient {
    async fn ask(&self, request: HttpRequest) -> Answer {
        let (answer, answered) = oneshot::channel();
        // A full queue means that the node can't keep up, so the request is rejected at once.
        if self.requests.try_send(PendingRequest { request, answer }).is_err() {
            return error_answer(503, "overloaded", None);
        }
        match tokio::time::timeout(ANSWER_TIMEOUT, answered).await {
            Ok(Ok(answer)) => answer,
            _ => error_answer(503, "no answer in time", None),
        }
    }
}

struct Submit(CoreClient);
#[handler]
impl Submit {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let answer = match request.payload_with_max_size(MAX_BODY_BYTES).await {
            Ok(body) => self.0.ask(HttpRequest::Submit(body.to_vec())).await,
            Err(_) => error_answer(400, "body is unreadable or longer than 64 KiB", Some("body")),
        };
        write_answer(response, answer);
    }
}

struct Status(CoreClient);
#[handler]
impl Status {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id = request.param::<String>("id").unwrap_or_default();
        write_answer(response, self.0.ask(HttpRequest::Status(id)).await);
    }
}

struct Cancel(CoreClient);
#[handler]
impl Cancel {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id = request.param::<String>("id").unwrap_or_default();
        write_answer(response, self.0.ask(HttpRequest::Cancel(id)).await);
    }
}

struct Ready(CoreClient);
#[handler]
impl Ready {
    async fn handle(&self, response: &mut Response) {
        write_answer(response, self.0.ask(HttpRequest::Ready).await);
    }
}

struct Heartbeat(CoreClient);
#[handler]
impl Heartbeat {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = request.payload_with_max_size(MAX_HEARTBEAT_BYTES).await;
        let answer = match body.map(|body| serde_json::from_slice::<WorkerHeartbeat>(body)) {
            Ok(Ok(heartbeat)) => self.0.ask(HttpRequest::WorkerHeartbeat(Box::new(heartbeat))).await,
            Ok(Err(error)) => error_answer(400, &format!("malformed report: {error}"), Some("body")),
            Err(_) => error_answer(400, "body is unreadable", Some("body")),
        };
        write_answer(response, answer);
    }
}

/// Adds a JSON body to errors of the HTTP server itself, such as an unknown path.
#[handler]
async fn json_error(response: &mut Response, control: &mut FlowCtrl) {
    let status = response.status_code.unwrap_or(StatusCode::NOT_FOUND);
    if !status.is_success() && response.body.is_none() {
        let reason = status.canonical_reason().unwrap_or("error");
        write_answer(response, error_answer(status.as_u16(), reason, None));
        control.skip_rest();
    }
}
