//! The outer HTTP interface. Handlers read, hand the request to the core and
//! wait for its answer; they decide nothing.

use crate::core::{Answer, HttpRequest};
use crate::wire::users::{ErrorBody, MAX_BODY};
use crate::wire::workers::WorkerHeartbeat;
use bytes::Bytes;
use salvo::catcher::Catcher;
use salvo::http::StatusCode;
use salvo::http::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use salvo::prelude::*;
use std::time::Duration;
use tokio::sync::mpsc::Sender;
use tokio::sync::oneshot;

/// A request with the place for its answer.
pub type Asked = (HttpRequest, oneshot::Sender<Answer>);

/// Users give up after 5 s; an answer after that helps no one.
const LIMIT: Duration = Duration::from_millis(4800);

#[derive(Clone)]
struct Front {
    tx: Sender<Asked>,
}

fn put(res: &mut Response, a: Answer) {
    res.status_code(StatusCode::from_u16(a.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    let h = res.headers_mut();
    h.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(s) = a.retry_after_s {
        h.insert(RETRY_AFTER, HeaderValue::from(s));
    }
    res.body(salvo::http::ResBody::Once(Bytes::from(a.body)));
}

fn error(status: u16, why: &str, field: Option<&'static str>) -> Answer {
    let body = serde_json::to_string(&ErrorBody { error: why.into(), field }).unwrap_or_default();
    Answer { status, body, retry_after_s: (status == 503).then_some(1) }
}

/// The answer to a request for which there is no time.
pub fn overloaded(retry_after_s: u32) -> Answer {
    Answer { retry_after_s: Some(retry_after_s), ..error(503, "overloaded", None) }
}

impl Front {
    async fn ask(&self, res: &mut Response, call: HttpRequest) {
        let (tx, rx) = oneshot::channel();
        // A full queue means that we can't keep up: say so at once.
        if self.tx.try_send((call, tx)).is_err() {
            return put(res, error(503, "overloaded", None));
        }
        match tokio::time::timeout(LIMIT, rx).await {
            Ok(Ok(a)) => put(res, a),
            _ => put(res, error(503, "no answer in time", None)),
        }
    }

    async fn body(&self, req: &mut Request) -> Result<Bytes, Answer> {
        match req.payload_with_max_size(MAX_BODY).await {
            Ok(b) => Ok(b.clone()),
            Err(_) => Err(error(400, "body is unreadable or longer than 64 KiB", Some("body"))),
        }
    }
}

struct Submit(Front);
#[handler]
impl Submit {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match self.0.body(req).await {
            Ok(b) => self.0.ask(res, HttpRequest::Submit(b.to_vec())).await,
            Err(a) => put(res, a),
        }
    }
}

struct Status(Front);
#[handler]
impl Status {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let id = req.param::<String>("id").unwrap_or_default();
        self.0.ask(res, HttpRequest::Status(id)).await;
    }
}

struct Cancel(Front);
#[handler]
impl Cancel {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let id = req.param::<String>("id").unwrap_or_default();
        self.0.ask(res, HttpRequest::Cancel(id)).await;
    }
}

struct Ready(Front);
#[handler]
impl Ready {
    async fn handle(&self, res: &mut Response) {
        self.0.ask(res, HttpRequest::Ready).await;
    }
}

struct Checkin(Front);
#[handler]
impl Checkin {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let body = match req.payload_with_max_size(4 << 20).await {
            Ok(b) => b.clone(),
            Err(_) => return put(res, error(400, "body is unreadable", Some("body"))),
        };
        match serde_json::from_slice::<WorkerHeartbeat>(&body) {
            Ok(r) => self.0.ask(res, HttpRequest::WorkerHeartbeat(Box::new(r))).await,
            Err(e) => put(res, error(400, &format!("malformed report: {e}"), Some("body"))),
        }
    }
}

#[handler]
async fn plain_error(res: &mut Response, ctrl: &mut FlowCtrl) {
    let status = res.status_code.unwrap_or(StatusCode::NOT_FOUND);
    if !status.is_success() && res.body.is_none() {
        put(res, error(status.as_u16(), status.canonical_reason().unwrap_or("error"), None));
        ctrl.skip_rest();
    }
}

pub fn service(tx: Sender<Asked>) -> Service {
    let f = Front { tx };
    let router = Router::new()
        .push(
            Router::with_path("api/jobs")
                .post(Submit(f.clone()))
                .push(Router::with_path("{id}").get(Status(f.clone())))
                .push(Router::with_path("{id}/cancel").post(Cancel(f.clone()))),
        )
        .push(Router::with_path("checkin").post(Checkin(f.clone())))
        .push(Router::with_path("ready").get(Ready(f)));
    Service::new(router).catcher(Catcher::default().hoop(plain_error))
}
