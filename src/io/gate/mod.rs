//! Admission control for connections to the HTTP server of users and workers.
//!
//! Connections are accepted here, before the HTTP server sees them. Without overload they are
//! passed on unchanged. Under overload each is classified by the first bytes of its request. A
//! connection that `woadlever_overload` does not admit is answered with 503 and a `Retry-After`
//! header and then closed, which costs a tenth of serving it.
//!
//! [`OverloadController`] decides about admission; [`GatedAcceptor`] passes the admitted
//! connections to the HTTP server.

mod acceptor;
mod overload;

pub(super) use acceptor::GatedAcceptor;
pub(super) use overload::OverloadController;

use super::owned_task::OwnedTask;
use acceptor::{AdmittedConnection, AdmittedStream};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Semaphore;
use tokio::sync::mpsc::{Sender, channel};
use tokio::task::JoinSet;
use tokio::time::timeout;
use woadlever_overload::class::{HEAD_BYTES, RequestClass};

/// Time within which a connection that is to be classified must send the first bytes of its
/// request.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for writing the answer to a rejected connection.
const REJECTION_TIMEOUT: Duration = HEAD_TIMEOUT;
/// Maximum number of admitted connections that wait for the HTTP server.
const ADMITTED_QUEUE_CAPACITY: usize = 64;
/// Maximum number of bytes that are read of a rejected request. Closing a connection with unread
/// data would reset it and could destroy the answer before the client has received it.
const DISCARD_BYTES: usize = 16 << 10;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds the address for users and workers and starts to admit connections. At most
/// `max_connections` are open at once.
pub(super) fn bind(
    address: SocketAddr,
    max_connections: usize,
    overload: Arc<OverloadController>,
) -> Result<GatedAcceptor, io::Error> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(overload.backlog())?;
    let local_address = listener.local_addr()?;
    let (sender, admitted) = channel(ADMITTED_QUEUE_CAPACITY);
    let gate = Gate {
        listener,
        permits: Arc::new(Semaphore::new(max_connections)),
        overload,
        admitted: sender,
        tasks: JoinSet::new(),
    };
    let admission = OwnedTask::spawn_local(gate.accept_all());
    Ok(GatedAcceptor::new(local_address, admitted, admission))
}

/// Accepts connections and admits or rejects each of them.
struct Gate {
    listener: TcpListener,
    /// One permit for each connection that may be open.
    permits: Arc<Semaphore>,
    overload: Arc<OverloadController>,
    admitted: Sender<AdmittedConnection>,
    /// Tasks that classify or reject connections; each ends after a timeout at the latest.
    tasks: JoinSet<()>,
}

impl Gate {
    /// Accepts connections until the HTTP server has ended.
    async fn accept_all(mut self) {
        loop {
            if let Some(delay) = self.overload.accept_delay() {
                tokio::time::sleep(delay).await;
            }
            let Ok((stream, client)) = self.listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            while self.tasks.try_join_next().is_some() {}
            let Ok(permit) = self.permits.clone().try_acquire_owned() else {
                // Beyond the limit on connections a client is rejected at once.
                self.overload.count_over_limit();
                self.tasks.spawn_local(reject(stream, self.overload.retry_after_s()));
                continue;
            };
            let stream = AdmittedStream { stream, permit };
            let connection = AdmittedConnection { stream, client };
            if self.overload.is_limiting() {
                let (overload, admitted) = (self.overload.clone(), self.admitted.clone());
                self.tasks.spawn_local(classify(connection, overload, admitted));
            } else if self.admitted.send(connection).await.is_err() {
                return;
            }
        }
    }
}

/// Admits or rejects a connection by the class of its request.
async fn classify(
    connection: AdmittedConnection,
    overload: Arc<OverloadController>,
    admitted: Sender<AdmittedConnection>,
) {
    let mut head = [0; HEAD_BYTES];
    let length = match timeout(HEAD_TIMEOUT, connection.stream.stream.peek(&mut head)).await {
        // The connection is closed already, so the client no longer waits.
        Ok(Ok(0) | Err(_)) => return overload.count_dropped(),
        Ok(Ok(length)) => length,
        Err(_) => 0,
    };
    let class = RequestClass::from_head(&head[..length]);
    if overload.admit(class) {
        let _ = admitted.send(connection).await;
    } else {
        let AdmittedStream { stream, permit } = connection.stream;
        drop(permit);
        reject(stream, overload.retry_after_s()).await;
    }
}

/// Rejects a connection with status 503. Reads only what has already arrived of the request,
/// without waiting for the rest. The read happens at once, before the returned future is polled;
/// the future writes the answer and closes the connection.
fn reject(mut stream: TcpStream, retry_after_s: u32) -> impl Future<Output = ()> {
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\nretry-after: {retry_after_s}\r\n\
         content-type: application/json\r\ncontent-length: 22\r\nconnection: close\r\n\r\n\
         {{\"error\":\"overloaded\"}}"
    );
    let mut discarded = [0; DISCARD_BYTES];
    let _ = stream.try_read(&mut discarded);
    async move {
        let _ = timeout(REJECTION_TIMEOUT, stream.write_all(answer.as_bytes())).await;
        let _ = stream.shutdown().await;
    }
}
