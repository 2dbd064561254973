//! The HTTP server's side: admitted connections as salvo's acceptor hands them out.

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

/// A connection together with its part of the limit on connections.
pub(crate) struct AdmittedStream {
    /// The connection.
    pub stream: TcpStream,
    /// Held for as long as the connection is open.
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

/// A connection that was admitted, and where it comes from.
pub(crate) struct AdmittedConnection {
    /// The connection.
    pub stream: AdmittedStream,
    /// Address of the client.
    pub client: SocketAddr,
}

/// Hands admitted connections to the HTTP server, and owns the task that admits them.
pub(crate) struct GatedAcceptor {
    admitted: Receiver<AdmittedConnection>,
    holdings: Vec<Holding>,
    _admission: OwnedTask,
}

impl GatedAcceptor {
    /// Hands out what `admission` sends, for the server at `local_address`.
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
