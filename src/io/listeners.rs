//! The sockets that a node listens on, and the tasks that serve them.

use super::frames::{RECEIVE_QUEUE, listen};
use super::gate::{self, Pressure};
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

/// Connections accepted from other nodes at once, old ones that hang included.
const MAX_PEER_CONNECTIONS: usize = 24;
/// Connections accepted from each other cell beside these: its leader keeps one, and those
/// of former leaders may linger.
const CONNECTIONS_PER_CELL: usize = 4;
/// Requests that the HTTP server has read and the event loop has not taken yet.
const REQUEST_QUEUE: usize = 256;

/// Why a node can't start. `Display` is the one line that operators see.
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

/// Binds the address for the other nodes.
pub(super) async fn bind_peers(platform: &Platform) -> Result<TcpListener, StartError> {
    let address = platform.peer_listen;
    TcpListener::bind(address).await.map_err(|source| StartError::Peers { address, source })
}

/// Serves the other nodes: their frames come out of the receiver.
pub(super) fn serve_peers(listener: TcpListener) -> (Receiver<Frame>, OwnedTask) {
    let (sender, frames) = channel(RECEIVE_QUEUE);
    (frames, OwnedTask::spawn_local(listen(listener, sender, MAX_PEER_CONNECTIONS)))
}

/// Serves other cells, if load is shared: their messages come out of the receiver. Without,
/// there is no task, and none ever come.
pub(super) async fn serve_cells(
    platform: &Platform,
    settings: &CellSettings,
) -> Result<(Receiver<CellMessage>, Option<OwnedTask>), StartError> {
    let (sender, messages) = channel(RECEIVE_QUEUE);
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

/// Serves users, workers and the load balancer: their requests come out of the result. With
/// `pressure` connections and requests are chosen by importance.
pub(super) async fn serve_http(
    platform: &Platform,
    settings: &OverloadSettings,
    pressure: Option<Arc<Pressure>>,
) -> Result<(Requests, OwnedTask), StartError> {
    let address = platform.listen;
    let max_connections = max_http_connections(platform.cluster.limits.max_connections);
    let (sender, incoming) = channel(REQUEST_QUEUE);
    match pressure {
        Some(pressure) => {
            let acceptor = gate::bind(address, max_connections, pressure.clone())
                .map_err(|source| StartError::Http { address, source: source.into() })?;
            let server = Server::new(acceptor);
            let requests = Requests::by_importance(incoming, settings.queue, pressure);
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

/// Connections of users and workers: the node's own calls and the other nodes must find a
/// socket however many of them come.
fn max_http_connections(max_connections: usize) -> usize {
    max_connections - (max_connections / 6).clamp(16, 160)
}
