//! Length-delimited frames over TCP, between the nodes of a cell and between cells. Each
//! sender keeps one connection to each receiver; whatever comes in is handed to the core.
//! What can't be sent is dropped: the next state message makes it good.

use crate::wire::peer::{Frame, MAX_FRAME};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::task::JoinHandle;
use tokio::time::timeout;
use woadlever_cells::message::{CellMessage, VERSION};

const CONNECT: Duration = Duration::from_millis(700);
const WRITE: Duration = Duration::from_millis(2000);
const RETRY: Duration = Duration::from_millis(400);
/// Frames waiting for a slow peer; more are dropped.
const QUEUE: usize = 64;

/// Frames received that the core has not taken in yet.
pub const RECEIVED: usize = 128;

/// What is sent as one frame.
pub trait Payload: Sized + 'static {
    /// The bytes of the frame.
    fn encode(&self) -> Vec<u8>;

    /// Reads the bytes of a frame; or why they can't be read. None: to be ignored.
    fn decode(bytes: &[u8]) -> Result<Option<Self>, String>;
}

impl Payload for Frame {
    fn encode(&self) -> Vec<u8> {
        bitcode::encode(self)
    }

    fn decode(bytes: &[u8]) -> Result<Option<Frame>, String> {
        bitcode::decode(bytes).map(Some).map_err(|e| e.to_string())
    }
}

/// A message between cells begins with its version, so that cells of different versions
/// do without each other instead of misreading.
impl Payload for CellMessage {
    fn encode(&self) -> Vec<u8> {
        let mut bytes = VERSION.to_be_bytes().to_vec();
        bytes.extend_from_slice(&bitcode::encode(self));
        bytes
    }

    fn decode(bytes: &[u8]) -> Result<Option<CellMessage>, String> {
        let Some((version, body)) = bytes.split_first_chunk() else { return Err("too short".into()) };
        if u16::from_be_bytes(*version) != VERSION {
            return Ok(None);
        }
        bitcode::decode(body).map(Some).map_err(|e| e.to_string())
    }
}

/// What a link is told to do.
pub enum Post<T> {
    /// Send this.
    Frame(Box<T>),
    /// Leave the present connection; the next frame opens another.
    Reconnect,
}

/// The sending side to one peer.
pub fn link<T: Payload>(addr: SocketAddr) -> Sender<Post<T>> {
    let (tx, rx) = channel(QUEUE);
    tokio::task::spawn_local(send_all(addr, rx));
    tx
}

async fn send_all<T: Payload>(addr: SocketAddr, mut rx: Receiver<Post<T>>) {
    let mut stream: Option<TcpStream> = None;
    let mut retry_at = tokio::time::Instant::now();
    loop {
        let post = tokio::select! {
            biased;
            // Peers send nothing this way: whatever comes is its end.
            _ = ended(&mut stream) => {
                stream = None;
                continue;
            }
            post = rx.recv() => post,
        };
        let Some(post) = post else { return };
        let Post::Frame(frame) = post else {
            stream = None;
            continue;
        };
        if stream.is_none() {
            if tokio::time::Instant::now() < retry_at {
                continue;
            }
            match timeout(CONNECT, TcpStream::connect(addr)).await {
                Ok(Ok(s)) => {
                    let _ = s.set_nodelay(true);
                    stream = Some(s);
                }
                _ => {
                    retry_at = tokio::time::Instant::now() + RETRY;
                    continue;
                }
            }
        }
        let body = frame.encode();
        if body.len() > MAX_FRAME {
            tracing::error!(bytes = body.len(), "frame too long to send");
            continue;
        }
        let mut bytes = Vec::with_capacity(body.len() + 4);
        bytes.extend_from_slice(&(body.len() as u32).to_be_bytes());
        bytes.extend_from_slice(&body);
        if let Some(s) = &mut stream
            && !matches!(timeout(WRITE, s.write_all(&bytes)).await, Ok(Ok(())))
        {
            stream = None;
            retry_at = tokio::time::Instant::now() + RETRY;
        }
    }
}

/// Waits until the other side has closed the connection; for ever if none is
/// open.
async fn ended(stream: &mut Option<TcpStream>) {
    match stream {
        Some(s) => {
            let _ = s.read_u8().await;
        }
        None => std::future::pending().await,
    }
}

/// Takes connections from peers. A node that stood still finds a row of them
/// that their senders have long given up; the newest is the one in use, so it
/// is the oldest that goes when there are too many.
pub async fn listen<T: Payload>(listener: TcpListener, tx: Sender<T>, most: usize) {
    let mut open: VecDeque<JoinHandle<()>> = VecDeque::new();
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(50)).await;
            continue;
        };
        open.retain(|t| !t.is_finished());
        if open.len() >= most
            && let Some(oldest) = open.pop_front()
        {
            oldest.abort();
        }
        let tx = tx.clone();
        open.push_back(tokio::task::spawn_local(async move {
            if let Err(why) = receive(stream, tx).await {
                tracing::debug!(why, "peer connection closed");
            }
        }));
    }
}

/// Reads frames until the connection ends or one can't be read.
async fn receive<T: Payload>(mut s: TcpStream, tx: Sender<T>) -> Result<(), String> {
    loop {
        // A peer sends a sign of life twice a second; a connection silent for
        // long is a leftover of a cut.
        let len = match timeout(Duration::from_secs(30), s.read_u32()).await {
            Ok(Ok(n)) => n as usize,
            Ok(Err(e)) => return Err(e.to_string()),
            Err(_) => return Err("silent".into()),
        };
        if len > MAX_FRAME {
            tracing::error!(len, "peer frame too long; closing the connection");
            return Err("oversized frame".into());
        }
        let mut buf = vec![0; len];
        match timeout(Duration::from_secs(30), s.read_exact(&mut buf)).await {
            Ok(Ok(_)) => {}
            Ok(Err(e)) => return Err(e.to_string()),
            Err(_) => return Err("silent within a frame".into()),
        }
        match T::decode(&buf) {
            Ok(None) => tracing::debug!("frame of an unknown version"),
            Ok(Some(f)) => {
                // While the core has not taken in what came before, nothing more is
                // read, and the sender drops what it can't send.
                if tx.send(f).await.is_err() {
                    return Ok(());
                }
            }
            Err(e) => {
                tracing::error!(%e, "peer frame unreadable; closing the connection");
                return Err("unreadable frame".into());
            }
        }
    }
}
