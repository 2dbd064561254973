//! A small HTTP/1.1 client: a few kept connections to one address, a time limit on each
//! call, and a plain statement of how a call failed.
//!
//! [`call_service`] carries out the calls of the core to the key-value store and the cloud;
//! what these two have in common is the trait [`ServiceRequest`].

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

/// No response is read further than this.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// How a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallError {
    /// Nothing was sent.
    #[error("not sent")]
    NotSent,
    /// Something may have arrived.
    #[error("outcome unknown")]
    OutcomeUnknown,
}

/// One HTTP request.
pub(super) struct HttpCall {
    /// Method of the request.
    pub method: Method,
    /// Path with its query.
    pub path: String,
    /// JSON body, if there is one.
    pub body: Option<Vec<u8>>,
    /// Time for the whole call, connecting included.
    pub time_limit: Duration,
}

/// The response to a call.
pub(super) struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Its body.
    pub body: Bytes,
}

impl Reply {
    /// The body, read as JSON. A body that can't be read is logged, with the service's name.
    pub(super) fn json<T: DeserializeOwned>(&self, service: &str) -> Option<T> {
        serde_json::from_slice(&self.body)
            .map_err(|error| tracing::error!(%error, service, "unreadable response"))
            .ok()
    }

    /// Whether the body contains this text.
    pub(super) fn contains(&self, text: &str) -> bool {
        self.body.windows(text.len()).any(|window| window == text.as_bytes())
    }
}

/// A request to an outer service, and how the reply to it is read.
pub(super) trait ServiceRequest {
    /// What the core is told.
    type Response: From<CallError>;

    /// The call to make.
    fn to_http(&self) -> HttpCall;

    /// Reads the reply; `None` if it doesn't say what has become of the request.
    fn read_reply(&self, reply: &Reply) -> Option<Self::Response>;
}

/// Carries out a request. What can't be read may have been executed all the same.
pub(super) async fn call_service<R: ServiceRequest>(client: &Client, request: R) -> R::Response {
    match client.call(request.to_http()).await {
        Ok(reply) => request.read_reply(&reply).unwrap_or_else(|| CallError::OutcomeUnknown.into()),
        Err(error) => error.into(),
    }
}

type Connection = SendRequest<Full<Bytes>>;

/// Connections to one address. Clones share them.
#[derive(Clone)]
pub(super) struct Client {
    address: SocketAddr,
    idle: Rc<RefCell<Vec<Connection>>>,
    max_idle: usize,
    /// One permit for each call that may be under way.
    permits: Arc<Semaphore>,
}

impl Client {
    /// A client that keeps up to `max_idle` connections open, and refuses calls beyond
    /// `max_calls` at once.
    pub(super) fn new(address: SocketAddr, max_idle: usize, max_calls: usize) -> Client {
        Client { address, idle: Rc::default(), max_idle, permits: Arc::new(Semaphore::new(max_calls)) }
    }

    /// Makes a call and waits for the whole response.
    pub(super) async fn call(&self, call: HttpCall) -> Result<Reply, CallError> {
        let _permit = self.permits.try_acquire().map_err(|_| CallError::NotSent)?;
        let start = Instant::now();
        let mut connection = self.connection().await?;
        let time_limit = call.time_limit;
        let request = self.request(call)?;
        let exchange = async {
            let response = connection.send_request(request).await.map_err(|error| send_error(&error))?;
            read_response(response).await
        };
        let left = time_limit.saturating_sub(start.elapsed());
        let reply = timeout(left, exchange).await.map_err(|_| CallError::OutcomeUnknown)??;
        if !connection.is_closed() && self.idle.borrow().len() < self.max_idle {
            self.idle.borrow_mut().push(connection);
        }
        Ok(reply)
    }

    fn request(&self, call: HttpCall) -> Result<Request<Full<Bytes>>, CallError> {
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

    /// An idle connection that is still open, or a new one.
    async fn connection(&self) -> Result<Connection, CallError> {
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

/// What an error of sending says: a cancelled request never left the client.
fn send_error(error: &hyper::Error) -> CallError {
    if error.is_canceled() { CallError::NotSent } else { CallError::OutcomeUnknown }
}

/// Opens a connection. The task that serves it ends when the connection is dropped.
async fn connect(address: SocketAddr) -> Result<Connection, CallError> {
    let stream = TcpStream::connect(address).await.map_err(|_| CallError::NotSent)?;
    let _ = stream.set_nodelay(true);
    let (connection, serving) = handshake(TokioIo::new(stream)).await.map_err(|_| CallError::NotSent)?;
    tokio::task::spawn_local(async move {
        if let Err(error) = serving.await {
            tracing::debug!(%error, "connection ended");
        }
    });
    Ok(connection)
}

async fn read_response(response: Response<Incoming>) -> Result<Reply, CallError> {
    let status = response.status().as_u16();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
    let body = body.map_err(|_| CallError::OutcomeUnknown)?.to_bytes();
    Ok(Reply { status, body })
}
