//! The sending side: one connection to one receiver, opened again when it is lost.

use super::Payload;
use crate::wire::peer::MAX_FRAME;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{Instant, timeout};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time after a failure before the next attempt to connect.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Commands waiting for a slow receiver; more are dropped.
const QUEUE: usize = 64;

/// What the task of a link is to do.
enum LinkCommand<T> {
    /// Send this message.
    Send(Box<T>),
    /// Close the connection; the next message opens another.
    Reconnect,
}

/// A link to one receiver. Its task ends when the link is dropped.
pub struct Link<T> {
    commands: Sender<LinkCommand<T>>,
}

impl<T: Payload> Link<T> {
    /// Starts the task of a link; it connects with the first message.
    pub fn new(address: SocketAddr) -> Link<T> {
        let (sender, commands) = channel(QUEUE);
        let connection = LinkConnection { address, commands, stream: None, retry_at: Instant::now() };
        tokio::task::spawn_local(connection.run());
        Link { commands: sender }
    }

    /// Sends a message, or drops it if the receiver is too slow.
    pub fn send(&self, message: Box<T>) {
        let _ = self.commands.try_send(LinkCommand::Send(message));
    }

    /// Closes the present connection, which may lead to a process that is no more.
    pub fn reconnect(&self) {
        let _ = self.commands.try_send(LinkCommand::Reconnect);
    }
}

/// The task of a link.
struct LinkConnection<T> {
    address: SocketAddr,
    commands: Receiver<LinkCommand<T>>,
    stream: Option<TcpStream>,
    /// No connection is opened before this time.
    retry_at: Instant,
}

impl<T: Payload> LinkConnection<T> {
    async fn run(mut self) {
        while let Some(command) = self.next_command().await {
            match command {
                LinkCommand::Send(message) => self.send(&message).await,
                LinkCommand::Reconnect => self.stream = None,
            }
        }
    }

    /// The next command; none once the link has been dropped.
    async fn next_command(&mut self) -> Option<LinkCommand<T>> {
        loop {
            tokio::select! {
                biased;
                // Nothing is sent this way: whatever arrives is the end of the connection.
                () = closed_by_receiver(&mut self.stream) => self.stream = None,
                command = self.commands.recv() => return command,
            }
        }
    }

    async fn send(&mut self, message: &T) {
        if self.stream.is_none() {
            self.connect().await;
        }
        let Some(stream) = &mut self.stream else { return };
        let body = message.encode();
        if body.len() > MAX_FRAME {
            tracing::error!(bytes = body.len(), "frame too long to send");
            return;
        }
        let bytes = with_length(&body);
        let written = timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            self.stream = None;
            self.retry_at = Instant::now() + RETRY_DELAY;
        }
    }

    /// Opens a connection, unless the last failure is too recent.
    async fn connect(&mut self) {
        if Instant::now() < self.retry_at {
            return;
        }
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                self.stream = Some(stream);
            }
            _ => self.retry_at = Instant::now() + RETRY_DELAY,
        }
    }
}

/// The bytes of a frame with their length before them.
fn with_length(body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(size_of::<u32>() + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Waits until the receiver has closed the connection; for ever if none is open.
async fn closed_by_receiver(stream: &mut Option<TcpStream>) {
    match stream {
        Some(stream) => {
            let _ = stream.read_u8().await;
        }
        None => std::future::pending().await,
    }
}
