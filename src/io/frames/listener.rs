//! The receiving side: accepts connections of links and hands on what they send.

use super::Payload;
use crate::io::owned_task::OwnedTask;
use crate::wire::peer::MAX_FRAME;
use std::collections::VecDeque;
use std::time::Duration;
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;

/// Messages received that the core has not taken in yet.
pub const RECEIVE_QUEUE: usize = 128;
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// A peer sends a heartbeat twice a second; a connection silent for so long is a leftover
/// of a network partition.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why a connection was closed.
#[derive(Debug, Error)]
enum ReceiveError {
    #[error(transparent)]
    Connection(#[from] std::io::Error),
    #[error("silent")]
    Silent,
    #[error("silent within a frame")]
    SilentWithinFrame,
    #[error("oversized frame")]
    OversizedFrame,
    #[error("unreadable frame")]
    UnreadableFrame,
}

/// Accepts connections for as long as it is polled, at most `max_connections` at once. A
/// node that was suspended finds a number of them that their senders have long given up;
/// the newest is the one in use, so the oldest is closed when there are too many.
pub async fn listen<T: Payload>(listener: TcpListener, received: Sender<T>, max_connections: usize) {
    let mut open: VecDeque<OwnedTask> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        open.retain(|connection| !connection.is_finished());
        if open.len() >= max_connections {
            open.pop_front();
        }
        open.push_back(OwnedTask::spawn_local(serve(stream, received.clone())));
    }
}

/// Serves one connection until it ends.
async fn serve<T: Payload>(stream: TcpStream, received: Sender<T>) {
    if let Err(error) = receive(stream, received).await {
        tracing::debug!(%error, "peer connection closed");
    }
}

/// Reads frames until the connection ends, one can't be read, or nobody takes them.
async fn receive<T: Payload>(mut stream: TcpStream, received: Sender<T>) -> Result<(), ReceiveError> {
    loop {
        let bytes = read_frame(&mut stream).await?;
        match T::decode(&bytes) {
            Ok(None) => tracing::debug!("frame of an unknown version"),
            Ok(Some(message)) => {
                // While the core has not taken in what came before, nothing more is
                // read, and the sender drops what it can't send.
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

/// Reads the bytes of one frame.
async fn read_frame(stream: &mut TcpStream) -> Result<Vec<u8>, ReceiveError> {
    let length = timeout(SILENCE_TIMEOUT, stream.read_u32()).await;
    let length = length.map_err(|_| ReceiveError::Silent)?? as usize;
    if length > MAX_FRAME {
        tracing::error!(len = length, "peer frame too long; closing the connection");
        return Err(ReceiveError::OversizedFrame);
    }
    let mut bytes = vec![0; length];
    let read = timeout(SILENCE_TIMEOUT, stream.read_exact(&mut bytes)).await;
    read.map_err(|_| ReceiveError::SilentWithinFrame)??;
    Ok(bytes)
}
