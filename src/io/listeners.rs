//! Listening sockets of a node and the tasks that serve them.

use super::frames::{RECEIVE_QUEUE_CAPACITY, listen};
use super::gate::{self, OverloadController};
use super::owned_task::OwnedTask;
use super::requests::Requests;
use super::server;
use crate::config::{CellSettings, OverloadSettings, Platform};
use crate::wire::peer::Frame;
use salvo::prelude::*;
use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{Receiver, channel};
use woadlever_cells::message::CellMessage;

/// Maximum number of open connections from other nodes, including stale ones that are not
/// closed yet.
const MAX_PEER_CONNECTIONS: usize = 24;
/// Number of open connections from each neighboring cell that are allowed in addition to
/// [`MAX_PEER_CONNECTIONS`]. The cell's leader keeps one, and stale connections of former
/// leaders may remain.
const CONNECTIONS_PER_CELL: usize = 4;
/// Maximum number of requests that wait between the HTTP server and the event loop.
const REQUEST_QUEUE_CAPACITY: usize = 256;

/// Error that prevents a node from starting. Operators see its `Display` form as one line.
#[derive(Debug, Error)]
pub enum StartError {
    /// The address for the other nodes can't be bound.
    #[error("internal_addr {address}: {source}")]
    Peers {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The address for other cells can't be bound.
    #[error("[cells] listen_port: {address}: {source}")]
    Cells {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        source: std::io::Error,
    },
    /// The address for users and workers can't be bound.
    #[error("bind {address}: {source}")]
    Http {
        /// The address.
        address: SocketAddr,
        /// What went wrong.
        source: Box<dyn Error + Send + Sync>,
    },
}

/// Binds the address on which the other nodes connect.
pub(super) async fn bind_peers(platform: &Platform) -> Result<TcpListener, StartError> {
    let address = platform.peer_listen;
    TcpListener::bind(address).await.map_err(|source| StartError::Peers { address, source })
}

/// Starts to serve the other nodes. Their frames arrive at the returned receiver.
pub(super) fn serve_peers(listener: TcpListener) -> (Receiver<Frame>, OwnedTask) {
    let (sender, frames) = channel(RECEIVE_QUEUE_CAPACITY);
    (frames, OwnedTask::spawn_local(listen(listener, sender, MAX_PEER_CONNECTIONS)))
}

/// Starts to serve other cells. Their messages arrive at the returned receiver. If load
/// sharing is disabled, no task is started and the receiver yields no messages.
pub(super) async fn serve_cells(
    platform: &Platform,
    settings: &CellSettings,
) -> Result<(Receiver<CellMessage>, Option<OwnedTask>), StartError> {
    let (sender, messages) = channel(RECEIVE_QUEUE_CAPACITY);
    if !settings.enabled {
        return Ok((messages, None));
    }
    let address = SocketAddr::new(platform.peer_listen.ip(), settings.listen_port);
    let listener =
        TcpListener::bind(address).await.map_err(|source| StartError::Cells { address, source })?;
    let max_connections = CONNECTIONS_PER_CELL * settings.neighbors.len() + MAX_PEER_CONNECTIONS;
    let task = OwnedTask::spawn_local(listen(listener, sender, max_connections));
    Ok((messages, Some(task)))
}

/// Starts the HTTP server for users, workers and the load balancer. Returns the queue of their
/// requests and the server's task. If `overload` is given, it decides under overload which
/// connections are admitted, and requests are served by importance.
pub(super) async fn serve_http(
    platform: &Platform,
    settings: &OverloadSettings,
    overload: Option<Arc<OverloadController>>,
) -> Result<(Requests, OwnedTask), StartError> {
    let address = platform.listen;
    let max_connections = max_http_connections(platform.cluster.limits.max_connections);
    let (sender, incoming) = channel(REQUEST_QUEUE_CAPACITY);
    match overload {
        Some(overload) => {
            let acceptor = gate::bind(address, max_connections, overload.clone())
                .map_err(|source| StartError::Http { address, source: source.into() })?;
            let server = Server::new(acceptor);
            let requests = Requests::by_importance(incoming, settings.queue, overload);
            Ok((requests, OwnedTask::spawn_local(server.serve(server::service(sender)))))
        }
        None => {
            let acceptor = salvo::conn::TcpListener::new(address)
                .try_bind()
                .await
                .map_err(|source| StartError::Http { address, source: source.into() })?;
            let server = Server::new(acceptor).max_connections(max_connections);
            let requests = Requests::in_order(incoming);
            Ok((requests, OwnedTask::spawn_local(server.serve(server::service(sender)))))
        }
    }
}

/// Returns the maximum number of connections of users and workers. The rest of
/// `max_connections` is reserved for the node's own calls and for the other nodes, which must
/// get a socket however many users and workers connect.
fn max_http_connections(max_connections: usize) -> usize {
    max_connections - (max_connections / 6).clamp(16, 160)
}
