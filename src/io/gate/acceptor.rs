//! A salvo acceptor that passes admitted connections to the HTTP server.

use crate::io::owned_task::OwnedTask;
use salvo::conn::tcp::TcpCoupler;
use salvo::conn::{Accepted, Acceptor, ConnCtrl, Holding, StraightStream};
use salvo::fuse::{ArcFusePolicy, FuseConfig};
use salvo::http::uri::Scheme;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::mpsc::Receiver;

/// A TCP stream with its permit from the limit on connections.
pub(crate) struct AdmittedStream {
    /// The TCP stream.
    pub stream: TcpStream,
    /// Permit that is held while the connection is open.
    pub permit: OwnedSemaphorePermit,
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

/// An admitted connection with the address of its client.
pub(crate) struct AdmittedConnection {
    /// The stream, which holds the connection's permit.
    pub stream: AdmittedStream,
    /// Address of the client.
    pub client: SocketAddr,
}

/// Passes admitted connections to the HTTP server and owns the task that admits them.
pub(crate) struct GatedAcceptor {
    admitted: Receiver<AdmittedConnection>,
    holdings: Vec<Holding>,
    _admission: OwnedTask,
}

impl GatedAcceptor {
    /// Creates the acceptor of the server at `local_address`. `admission` is the task that sends
    /// the admitted connections.
    pub(crate) fn new(
        local_address: SocketAddr,
        admitted: Receiver<AdmittedConnection>,
        admission: OwnedTask,
    ) -> GatedAcceptor {
        let holding = Holding {
            local_addr: local_address.into(),
            http_versions: vec![salvo::http::Version::HTTP_11],
            http_scheme: Scheme::HTTP,
        };
        GatedAcceptor { admitted, holdings: vec![holding], _admission: admission }
    }
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
        let Some(AdmittedConnection { stream, client }) = self.admitted.recv().await else {
            return Err(io::ErrorKind::ConnectionAborted.into());
        };
        let conn_ctrl = ConnCtrl::new();
        let fuse_config = Some(FuseConfig::default());
        Ok(Accepted {
            coupler: TcpCoupler::new(),
            stream: StraightStream::new(stream, fuse_config, conn_ctrl.clone(), None),
            fuse_config,
            conn_ctrl,
            remote_addr: client.into(),
            local_addr: self.holdings[0].local_addr.clone(),
            http_scheme: Scheme::HTTP,
        })
    }
}
