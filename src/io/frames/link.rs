//! The sending side: one connection to one receiver, reopened after it is lost.

use super::Payload;
use crate::wire::peer::MAX_FRAME_BYTES;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::{Instant, timeout};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);
const WRITE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Time after a failed attempt to connect or write before the next attempt to connect.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Maximum number of commands that wait while the receiver is slow; more are dropped.
const COMMAND_QUEUE_CAPACITY: usize = 64;

/// A command to the task of a link.
enum LinkCommand<T> {
    /// Send this message.
    Send(Box<T>),
    /// Close the connection; the next message opens a new one.
    Reconnect,
}

/// A link to one receiver. Its task ends when the link is dropped.
pub struct Link<T> {
    commands: Sender<LinkCommand<T>>,
}

impl<T: Payload> Link<T> {
    /// Creates a link and spawns its task, which connects when the first message is sent.
    pub fn new(address: SocketAddr) -> Link<T> {
        let (sender, commands) = channel(COMMAND_QUEUE_CAPACITY);
        let task = LinkTask { address, commands, stream: None, retry_at: Instant::now() };
        tokio::task::spawn_local(task.run());
        Link { commands: sender }
    }

    /// Queues a message to be sent, or drops it if the queue is full because the receiver is slow.
    pub fn send(&self, message: Box<T>) {
        let _ = self.commands.try_send(LinkCommand::Send(message));
    }

    /// Closes the current connection, whose remote process may no longer exist. The next message
    /// opens a new one.
    pub fn reconnect(&self) {
        let _ = self.commands.try_send(LinkCommand::Reconnect);
    }
}

/// State of the task of a link.
struct LinkTask<T> {
    address: SocketAddr,
    commands: Receiver<LinkCommand<T>>,
    stream: Option<TcpStream>,
    /// Earliest time of the next attempt to connect.
    retry_at: Instant,
}

impl<T: Payload> LinkTask<T> {
    async fn run(mut self) {
        while let Some(command) = self.next_command().await {
            match command {
                LinkCommand::Send(message) => self.send(&message).await,
                LinkCommand::Reconnect => self.stream = None,
            }
        }
    }

    /// Waits for the next command. Returns `None` once the link has been dropped.
    async fn next_command(&mut self) -> Option<LinkCommand<T>> {
        loop {
            tokio::select! {
                biased;
                // The receiver never sends data, so a read only completes when the connection
                // has ended.
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
        if body.len() > MAX_FRAME_BYTES {
            tracing::error!(bytes = body.len(), "frame too long to send");
            return;
        }
        let bytes = encode_frame(&body);
        let written = timeout(WRITE_TIMEOUT, stream.write_all(&bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            self.stream = None;
            self.retry_at = Instant::now() + RETRY_DELAY;
        }
    }

    /// Opens a connection, unless the last failure is less than [`RETRY_DELAY`] ago.
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

/// Returns a frame: the length of the body, followed by the body.
fn encode_frame(body: &[u8]) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(size_of::<u32>() + body.len());
    bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
    bytes.extend_from_slice(body);
    bytes
}

/// Waits until the receiver has closed the connection, or forever if none is open.
async fn closed_by_receiver(stream: &mut Option<TcpStream>) {
    match stream {
        Some(stream) => {
            let _ = stream.read_u8().await;
        }
        None => std::future::pending().await,
    }
}
