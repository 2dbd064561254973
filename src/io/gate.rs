//! the user API for users and workers while more of them come than this node can serve.
//!
//! Connections are accepted here, before the HTTP server sees them. Without pressure
//! they are passed on as they are. Under pressure the first bytes of the request tell
//! its class; what `woadlever_overload` does not take on is answered with 503 and a
//! time to come back, and closed, for a tenth of what serving it would cost.

use crate::config::OverloadSettings;
use salvo::conn::tcp::TcpCoupler;
use salvo::conn::{Accepted, Acceptor, ConnCtrl, Holding, StraightStream};
use salvo::fuse::{ArcFusePolicy, FuseConfig};
use salvo::http::uri::Scheme;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use woadlever_overload::Millis;
use woadlever_overload::admission::Admission;
use woadlever_overload::class::{HEAD_BYTES, RequestClass};
use woadlever_overload::lag::LagMonitor;

/// How long a connection may take to send the first bytes of its request while it is to
/// be classified.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Connections passed on that the HTTP server has not taken yet.
const PASSED_ON: usize = 64;
/// What is read of a request that is turned away, so that closing the connection does
/// not destroy the answer on its way.
const DISCARD_BYTES: usize = 16 << 10;
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// Time between two log lines about what was shed.
const LOG_EVERY_MS: Millis = 1_000;
/// Version of the fields in overload's log lines.
const LOG_FORMAT: u32 = 1;

/// What the driver and the gate share.
pub struct Pressure {
    started: Instant,
    state: Mutex<State>,
}

struct State {
    admission: Admission,
    monitor: LagMonitor,
    counts: Counts,
    next_log: Millis,
}

/// Requests and connections by what became of them, since the last log line.
#[derive(Default)]
struct Counts {
    admitted: u32,
    turned_away: [u32; RequestClass::ALL.len()],
    expired: u32,
}

impl Pressure {
    /// For a node with this share of a core.
    pub fn new(settings: &OverloadSettings, core_share: f64) -> Arc<Pressure> {
        let state = State {
            admission: Admission::new(&settings.admission, core_share, 0),
            monitor: LagMonitor::new(settings.lag_target_ms, settings.lag_interval_ms),
            counts: Counts::default(),
            next_log: 0,
        };
        Arc::new(Pressure { started: Instant::now(), state: Mutex::new(state) })
    }

    /// Steady time since the process started.
    pub fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // One thread serves everything, and nobody panics while holding it.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the event loop got at `now` to what was due at `due`.
    pub fn note_timer(&self, due: Millis, now: Millis) {
        let mut state = self.state();
        state.monitor.note_timer(due, now);
        let is_under_pressure = state.monitor.is_under_pressure(now);
        state.admission.note_pressure(is_under_pressure, now);
        if now >= state.next_log {
            state.next_log = now + LOG_EVERY_MS;
            state.log();
        }
    }

    /// Whether the node has to choose what it serves.
    pub fn is_limiting(&self) -> bool {
        self.state().admission.is_limiting()
    }

    /// Counts a request whose asker had gone.
    pub fn count_expired(&self) {
        self.state().counts.expired += 1;
    }

    /// Seconds until one who is turned away should come back.
    pub fn retry_after_s(&self) -> u32 {
        let now = self.now();
        self.state().admission.retry_after_s(rand::random(), now)
    }

    fn admit(&self, class: RequestClass) -> bool {
        let now = self.now();
        let mut state = self.state();
        let is_admitted = state.admission.admit(class, now);
        match is_admitted {
            true => state.counts.admitted += 1,
            false => state.counts.turned_away[class as usize] += 1,
        }
        is_admitted
    }

    fn pause(&self) -> Option<Duration> {
        let now = self.now();
        let pause_ms = self.state().admission.pause_ms(now);
        (pause_ms > 0).then(|| Duration::from_millis(pause_ms))
    }

    fn backlog(&self) -> u32 {
        self.state().admission.backlog()
    }
}

impl State {
    fn log(&mut self) {
        let counts = std::mem::take(&mut self.counts);
        let turned_away: u32 = counts.turned_away.iter().sum();
        if turned_away == 0 && counts.expired == 0 {
            return;
        }
        let [probes, heartbeats, cancellations, submissions, questions] = counts.turned_away;
        tracing::info!(
            target: "woadlever::overload",
            format = LOG_FORMAT,
            lag_ms = self.monitor.lag_ms(),
            rate = self.admission.rate() as u64,
            admitted = counts.admitted,
            expired = counts.expired,
            probes,
            heartbeats,
            cancellations,
            submissions,
            questions,
            "shed"
        );
    }
}

/// A connection together with its part of the limit on connections.
pub struct AdmittedStream {
    stream: TcpStream,
    _permit: OwnedSemaphorePermit,
}

impl AsyncRead for AdmittedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for AdmittedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// Hands the connections that were taken on to the HTTP server.
pub struct GatedAcceptor {
    admitted: Receiver<(AdmittedStream, SocketAddr)>,
    holdings: Vec<Holding>,
}

/// Binds the address for users and workers, with at most `connections` at once.
pub fn bind(
    address: SocketAddr,
    connections: usize,
    pressure: Arc<Pressure>,
) -> Result<GatedAcceptor, io::Error> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    let listener = socket.listen(pressure.backlog())?;
    let holdings = vec![Holding {
        local_addr: listener.local_addr()?.into(),
        http_versions: vec![salvo::http::Version::HTTP_11],
        http_scheme: Scheme::HTTP,
    }];
    let (sender, admitted) = channel(PASSED_ON);
    tokio::task::spawn_local(accept_all(listener, connections, pressure, sender));
    Ok(GatedAcceptor { admitted, holdings })
}

async fn accept_all(
    listener: TcpListener,
    connections: usize,
    pressure: Arc<Pressure>,
    admitted: Sender<(AdmittedStream, SocketAddr)>,
) {
    let permits = Arc::new(Semaphore::new(connections));
    loop {
        if let Some(pause) = pressure.pause() {
            tokio::time::sleep(pause).await;
        }
        let Ok((stream, peer)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            // Too many connections: whoever comes is told at once.
            pressure.state().counts.turned_away[RequestClass::Question as usize] += 1;
            turn_away(stream, pressure.retry_after_s());
            continue;
        };
        let stream = AdmittedStream { stream, _permit: permit };
        if pressure.is_limiting() {
            tokio::task::spawn_local(classify(stream, peer, pressure.clone(), admitted.clone()));
        } else if admitted.send((stream, peer)).await.is_err() {
            return;
        }
    }
}

/// Takes a connection on, or turns it away, by the class of its request.
async fn classify(
    stream: AdmittedStream,
    peer: SocketAddr,
    pressure: Arc<Pressure>,
    admitted: Sender<(AdmittedStream, SocketAddr)>,
) {
    let mut head = [0; HEAD_BYTES];
    let read = tokio::time::timeout(HEAD_TIMEOUT, stream.stream.peek(&mut head)).await;
    let length = match read {
        // Closed already: whoever asked has gone.
        Ok(Ok(0)) | Ok(Err(_)) => return pressure.count_expired(),
        Ok(Ok(length)) => length,
        Err(_) => 0,
    };
    let class = RequestClass::of_head(&head[..length]);
    if pressure.admit(class) {
        let _ = admitted.send((stream, peer)).await;
    } else {
        turn_away(stream.stream, pressure.retry_after_s());
    }
}

/// Answers without reading the request, as far as that can be done without waiting.
fn turn_away(stream: TcpStream, retry_after_s: u32) {
    let answer = format!(
        "HTTP/1.1 503 Service Unavailable\r\nretry-after: {retry_after_s}\r\n\
         content-type: application/json\r\ncontent-length: 22\r\nconnection: close\r\n\r\n\
         {{\"error\":\"overloaded\"}}"
    );
    let mut discarded = [0; DISCARD_BYTES];
    let _ = stream.try_read(&mut discarded);
    tokio::task::spawn_local(async move {
        let mut stream = stream;
        let _ = tokio::time::timeout(HEAD_TIMEOUT, stream.write_all(answer.as_bytes())).await;
        let _ = stream.shutdown().await;
    });
}

impl Acceptor for GatedAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = StraightStream<AdmittedStream>;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        _policy: Option<ArcFusePolicy>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let Some((stream, peer)) = self.admitted.recv().await else {
            return Err(io::ErrorKind::ConnectionAborted.into());
        };
        let conn_ctrl = ConnCtrl::new();
        let fuse_config = Some(FuseConfig::default());
        Ok(Accepted {
            coupler: TcpCoupler::new(),
            stream: StraightStream::new(stream, fuse_config, conn_ctrl.clone(), None),
            fuse_config,
            conn_ctrl,
            remote_addr: peer.into(),
            local_addr: self.holdings[0].local_addr.clone(),
            http_scheme: Scheme::HTTP,
        })
    }
}
