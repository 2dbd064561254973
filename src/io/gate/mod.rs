//! Admission of connections to the HTTP server of users and workers.
//!
//! Connections are accepted here, before the HTTP server sees them. Without pressure they
//! are passed on as they are. Under pressure the first bytes of the request tell its class;
//! what `woadlever_overload` does not admit is answered with 503 and a time to come back,
//! and closed, for a tenth of what serving it would cost.
//!
//! [`Pressure`] is the state that decides; [`GatedAcceptor`] is what the HTTP server gets.

mod acceptor;
mod pressure;

pub(super) use acceptor::GatedAcceptor;
pub(super) use pressure::Pressure;

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

/// How long a connection may take to send the first bytes of its request while it is to
/// be classified.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// How long writing the answer to a connection that is rejected may take.
const REJECTION_TIMEOUT: Duration = HEAD_TIMEOUT;
/// Admitted connections that the HTTP server has not taken yet.
const ADMITTED_QUEUE: usize = 64;
/// What is read of a request that is rejected, so that closing the connection does
/// not destroy the answer on its way.
const DISCARD_BYTES: usize = 16 << 10;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds the address for users and workers, with at most `max_connections` at once.
pub(super) fn bind(
    address: SocketAddr,
    max_connections: usize,
    pressure: Arc<Pressure>,
) -> Result<GatedAcceptor, io::Error> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(pressure.backlog())?;
    let local_address = listener.local_addr()?;
    let (sender, admitted) = channel(ADMITTED_QUEUE);
    let gate = Gate {
        listener,
        permits: Arc::new(Semaphore::new(max_connections)),
        pressure,
        admitted: sender,
        tasks: JoinSet::new(),
    };
    let admission = OwnedTask::spawn_local(gate.accept_all());
    Ok(GatedAcceptor::new(local_address, admitted, admission))
}

/// Accepts connections and admits them or rejects them.
struct Gate {
    listener: TcpListener,
    /// One permit for each connection that may be open.
    permits: Arc<Semaphore>,
    pressure: Arc<Pressure>,
    admitted: Sender<AdmittedConnection>,
    /// Connections that are being classified or rejected; each ends by a timeout.
    tasks: JoinSet<()>,
}

impl Gate {
    /// Accepts until the HTTP server has ended.
    async fn accept_all(mut self) {
        loop {
            if let Some(delay) = self.pressure.accept_delay() {
                tokio::time::sleep(delay).await;
            }
            let Ok((stream, client)) = self.listener.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            while self.tasks.try_join_next().is_some() {}
            let Ok(permit) = self.permits.clone().try_acquire_owned() else {
                // Beyond the limit a client is told at once.
                self.pressure.count_over_limit();
                self.tasks.spawn_local(reject(stream, self.pressure.retry_after_s()));
                continue;
            };
            let stream = AdmittedStream { stream, permit };
            let connection = AdmittedConnection { stream, client };
            if self.pressure.is_limiting() {
                let (pressure, admitted) = (self.pressure.clone(), self.admitted.clone());
                self.tasks.spawn_local(classify(connection, pressure, admitted));
            } else if self.admitted.send(connection).await.is_err() {
                return;
            }
        }
    }
}

/// Admits a connection, or rejects it, by the class of its request.
async fn classify(
    connection: AdmittedConnection,
    pressure: Arc<Pressure>,
    admitted: Sender<AdmittedConnection>,
) {
    let mut head = [0; HEAD_BYTES];
    let length = match timeout(HEAD_TIMEOUT, connection.stream.stream.peek(&mut head)).await {
        // Closed already: the client no longer waits.
        Ok(Ok(0) | Err(_)) => return pressure.count_expired(),
        Ok(Ok(length)) => length,
        Err(_) => 0,
    };
    let class = RequestClass::of_head(&head[..length]);
    if pressure.admit(class) {
        let _ = admitted.send(connection).await;
    } else {
        let AdmittedStream { stream, permit } = connection.stream;
        drop(permit);
        reject(stream, pressure.retry_after_s()).await;
    }
}

/// Answers without reading the request, beyond what can be read without waiting. The
/// reading is done at once, the rest by the future.
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
