//! A small HTTP/1.1 client: a few kept connections to one address, a time
//! limit on everything, and a plain statement of how a call failed.

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Method, Request, header};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// No answer is read further than this.
const MAX_ANSWER: usize = 16 << 20;
const CONNECT: Duration = Duration::from_millis(1000);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent.
    NotSent,
    /// Something may have arrived.
    OutcomeUnknown,
}

pub struct Reply {
    pub status: u16,
    pub body: Bytes,
}

type Sender = SendRequest<Full<Bytes>>;

/// Connections to one address. Idle ones are kept up to `keep`; more than
/// `most` at once are refused.
#[derive(Clone)]
pub struct Client {
    addr: SocketAddr,
    idle: Rc<RefCell<Vec<Sender>>>,
    open: Rc<RefCell<usize>>,
    keep: usize,
    most: usize,
}

struct Slot(Rc<RefCell<usize>>);

impl Drop for Slot {
    fn drop(&mut self) {
        *self.0.borrow_mut() -= 1;
    }
}

impl Client {
    pub fn new(addr: SocketAddr, keep: usize, most: usize) -> Client {
        Client { addr, idle: Rc::default(), open: Rc::default(), keep, most }
    }

    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
        limit: Duration,
    ) -> Result<Reply, Failure> {
        if *self.open.borrow() >= self.most {
            return Err(Failure::NotSent);
        }
        *self.open.borrow_mut() += 1;
        let _slot = Slot(self.open.clone());
        let start = tokio::time::Instant::now();
        let mut sender = self.sender().await?;
        let mut req =
            Request::builder().method(method).uri(path).header(header::HOST, self.addr.to_string());
        if body.is_some() {
            req = req.header(header::CONTENT_TYPE, "application/json");
        }
        let req =
            req.body(Full::new(Bytes::from(body.unwrap_or_default()))).map_err(|_| Failure::NotSent)?;
        let left = limit.saturating_sub(start.elapsed());
        let work = async {
            let res = sender
                .send_request(req)
                .await
                .map_err(|e| if e.is_canceled() { Failure::NotSent } else { Failure::OutcomeUnknown })?;
            let status = res.status().as_u16();
            let body = Limited::new(res.into_body(), MAX_ANSWER)
                .collect()
                .await
                .map_err(|_| Failure::OutcomeUnknown)?
                .to_bytes();
            Ok(Reply { status, body })
        };
        let reply = timeout(left, work).await.map_err(|_| Failure::OutcomeUnknown)??;
        if !sender.is_closed() && self.idle.borrow().len() < self.keep {
            self.idle.borrow_mut().push(sender);
        }
        Ok(reply)
    }

    async fn sender(&self) -> Result<Sender, Failure> {
        loop {
            let Some(s) = self.idle.borrow_mut().pop() else { break };
            if s.is_ready() {
                return Ok(s);
            }
        }
        let connect = async {
            let stream = TcpStream::connect(self.addr).await.map_err(|_| Failure::NotSent)?;
            let _ = stream.set_nodelay(true);
            handshake(TokioIo::new(stream)).await.map_err(|_| Failure::NotSent)
        };
        let (sender, conn) = timeout(CONNECT, connect).await.map_err(|_| Failure::NotSent)??;
        tokio::task::spawn_local(async move {
            if let Err(e) = conn.await {
                tracing::debug!(%e, "connection ended");
            }
        });
        Ok(sender)
    }
}
