//! A small HTTP/1.1 client: a pool of idle connections to one address, a timeout for each
//! call, and errors that tell whether a failed request may have been executed.
//!
//! [`call_service`] makes the calls of the core to the key-value store and the cloud. Both
//! kinds of requests implement the trait [`ServiceRequest`].

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, Response, body::Incoming, header};
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{Instant, timeout};

/// Maximum length of a response body. A longer one makes the call fail.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Error of a call, by whether the request may have been executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallError {
    /// The request was not sent.
    #[error("not sent")]
    NotSent,
    /// The request may have reached the service.
    #[error("outcome unknown")]
    OutcomeUnknown,
}

/// One HTTP request.
pub(super) struct HttpCall {
    /// Method of the request.
    pub method: Method,
    /// Path, including the query.
    pub path: String,
    /// JSON body, if any.
    pub body: Option<Vec<u8>>,
    /// Timeout for the whole call, including the time to connect.
    pub timeout: Duration,
}

/// The HTTP response to a call.
pub(super) struct HttpResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Parses the body as JSON. A body that can't be parsed is logged with the service's name.
    pub(super) fn json<T: DeserializeOwned>(&self, service: &str) -> Option<T> {
        serde_json::from_slice(&self.body)
            .map_err(|error| tracing::error!(%error, service, "unreadable response"))
            .ok()
    }

    /// Whether the body contains `text`.
    pub(super) fn contains(&self, text: &str) -> bool {
        self.body.windows(text.len()).any(|window| window == text.as_bytes())
    }
}

/// A request to an external service and the parsing of the response to it.
pub(super) trait ServiceRequest {
    /// Response that the core receives.
    type Response: From<CallError>;

    /// Returns the HTTP call for this request.
    fn to_http(&self) -> HttpCall;

    /// Parses the response. Returns `None` if it doesn't tell whether the request was executed.
    fn parse_response(&self, response: &HttpResponse) -> Option<Self::Response>;
}

/// Sends a request and returns its response. A response that can't be parsed counts as an
/// unknown outcome, because the service may have executed the request all the same.
pub(super) async fn call_service<R: ServiceRequest>(client: &Client, request: R) -> R::Response {
    match client.call(request.to_http()).await {
        Ok(response) => {
            request.parse_response(&response).unwrap_or_else(|| CallError::OutcomeUnknown.into())
        }
        Err(error) => error.into(),
    }
}

type Connection = SendRequest<Full<Bytes>>;

/// An HTTP client for one address. Clones share its connections and its limit on calls.
#[derive(Clone)]
pub(super) struct Client {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<Connection>>>,
    max_idle: usize,
    /// One permit for each call that may be in flight.
    permits: Arc<Semaphore>,
}

impl Client {
    /// Creates a client that keeps up to `max_idle` idle connections open. A call made while
    /// `max_calls` others are in flight fails with [`CallError::NotSent`].
    pub(super) fn new(address: SocketAddr, max_idle: usize, max_calls: usize) -> Client {
        Client { address, idle: Rc::default(), max_idle, permits: Arc::new(Semaphore::new(max_calls)) }
    }

    /// Makes a call and reads the whole response.
    pub(super) async fn call(&self, call: HttpCall) -> Result<HttpResponse, CallError> {
        let _permit = self.permits.try_acquire().map_err(|_| CallError::NotSent)?;
        let start = Instant::now();
        let mut connection = self.acquire_connection().await?;
        let call_timeout = call.timeout;
        let request = self.build_request(call)?;
        let exchange = async {
            let response = connection.send_request(request).await.map_err(|error| send_error(&error))?;
            read_response(response).await
        };
        let remaining = call_timeout.saturating_sub(start.elapsed());
        let response = timeout(remaining, exchange).await.map_err(|_| CallError::OutcomeUnknown)??;
        if !connection.is_closed() && self.idle.borrow().len() < self.max_idle {
            self.idle.borrow_mut().push(connection);
        }
        Ok(response)
    }

    fn build_request(&self, call: HttpCall) -> Result<Request<Full<Bytes>>, CallError> {
        let mut request = Request::builder()
            .method(call.method)
            .uri(call.path)
            .header(header::HOST, self.address.to_string());
        if call.body.is_some() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        let body = Full::new(Bytes::from(call.body.unwrap_or_default()));
        request.body(body).map_err(|_| CallError::NotSent)
    }

    /// Returns an idle connection that is still open, or opens a new one.
    async fn acquire_connection(&self) -> Result<Connection, CallError> {
        loop {
            let Some(connection) = self.idle.borrow_mut().pop() else { break };
            if connection.is_ready() {
                return Ok(connection);
            }
        }
        let connect = timeout(CONNECT_TIMEOUT, connect(self.address));
        connect.await.map_err(|_| CallError::NotSent)?
    }
}

/// Maps an error of hyper to a [`CallError`]: a request that hyper reports as cancelled was
/// never sent.
fn send_error(error: &hyper::Error) -> CallError {
    if error.is_canceled() { CallError::NotSent } else { CallError::OutcomeUnknown }
}

/// Opens a connection and spawns the task that drives it. The task ends when the returned
/// handle is dropped.
async fn connect(address: SocketAddr) -> Result<Connection, CallError> {
    let stream = TcpStream::connect(address).await.map_err(|_| CallError::NotSent)?;
    let _ = stream.set_nodelay(true);
    let (connection, driver) = handshake(TokioIo::new(stream)).await.map_err(|_| CallError::NotSent)?;
    tokio::task::spawn_local(async move {
        if let Err(error) = driver.await {
            tracing::debug!(%error, "outgoing HTTP connection failed");
        }
    });
    Ok(connection)
}

async fn read_response(response: Response<Incoming>) -> Result<HttpResponse, CallError> {
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|_| CallError::OutcomeUnknown)?.to_bytes();
    Ok(HttpResponse { status, body })
}
