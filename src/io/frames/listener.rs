//! The receiving side: accepts connections and forwards the messages received on them.

use super::Payload;
use crate::io::owned_task::OwnedTask;
use crate::wire::peer::MAX_FRAME_BYTES;
use std::collections::VecDeque;
use std::time::Duration;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;

/// Maximum number of received messages that wait for the core.
pub const RECEIVE_QUEUE_CAPACITY: usize = 128;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Time without data after which a connection is closed. A peer sends a heartbeat twice a
/// second, so a connection that is idle for this long is left over from a network partition.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Reason for closing a connection.
#[derive(Debug, Error)]
enum ReceiveError {
    #[error(transparent)]
    Connection(#[from] std::io::Error),
    #[error("idle timeout")]
    IdleTimeout,
    #[error("timeout within a frame")]
    TimeoutWithinFrame,
    #[error("oversized frame")]
    OversizedFrame,
    #[error("unreadable frame")]
    UnreadableFrame,
}

/// Accepts connections until it is dropped and sends their messages to `received`. If
/// `max_connections` are already open, the oldest is closed: a node that was suspended finds
/// several connections that their senders have abandoned, and the newest is the one in use.
pub async fn listen<T: Payload>(listener: TcpListener, received: Sender<T>, max_connections: usize) {
    let mut connections: VecDeque<OwnedTask> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        connections.retain(|connection| !connection.is_finished());
        if connections.len() >= max_connections {
            connections.pop_front();
        }
        connections.push_back(OwnedTask::spawn_local(serve(stream, received.clone())));
    }
}

/// Serves one connection until it ends.
async fn serve<T: Payload>(stream: TcpStream, received: Sender<T>) {
    if let Err(error) = receive(stream, received).await {
        tracing::debug!(%error, "peer connection closed");
    }
}

/// Receives messages until the connection ends, a frame can't be read or decoded, or the receiver
/// of `received` is dropped.
async fn receive<T: Payload>(mut stream: TcpStream, received: Sender<T>) -> Result<(), ReceiveError> {
    loop {
        let bytes = read_frame(&mut stream).await?;
        match T::decode(&bytes) {
            Ok(None) => tracing::debug!("ignoring a frame of an unknown version"),
            Ok(Some(message)) => {
                // Nothing more is read while the queue to the core is full. This backpressure
                // makes the sender drop the messages that it can't send.
                if received.send(message).await.is_err() {
                    return Ok(());
                }
            }
            Err(error) => {
                tracing::error!(%error, "peer frame unreadable; closing the connection");
                return Err(ReceiveError::UnreadableFrame);
            }
        }
    }
}

/// Reads the body of one frame.
async fn read_frame(stream: &mut TcpStream) -> Result<Vec<u8>, ReceiveError> {
    let length = timeout(IDLE_TIMEOUT, stream.read_u32()).await;
    let length = length.map_err(|_| ReceiveError::IdleTimeout)?? as usize;
    if length > MAX_FRAME_BYTES {
        tracing::error!(len = length, "peer frame too long; closing the connection");
        return Err(ReceiveError::OversizedFrame);
    }
    let mut bytes = vec![0; length];
    let read = timeout(IDLE_TIMEOUT, stream.read_exact(&mut bytes)).await;
    read.map_err(|_| ReceiveError::TimeoutWithinFrame)??;
    Ok(bytes)
}
