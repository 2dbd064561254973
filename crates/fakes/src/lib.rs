//! Fakes of the key-value store, the cloud and the workers, for tests that run real processes of
//! the service on loopback. They are written from the published protocols of these systems.
//!
//! The fakes favor correctness over speed: each keeps all its state in memory under one lock. They
//! share no code with the service, so that an error in the service's encoding can't be masked by
//! the same error in the fakes.

pub mod cloud;
pub mod history;
pub mod store;
pub mod worker;

use salvo::prelude::*;
use std::net::SocketAddr;

/// Serves a router on a free port of the loopback interface, until the runtime ends.
async fn serve(router: Router) -> std::io::Result<SocketAddr> {
    let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    let acceptor = salvo::conn::tcp::TcpAcceptor::try_from(listener)?;
    tokio::spawn(async move { Server::new(acceptor).serve(router).await });
    Ok(address)
}

/// Puts a status and a JSON body into a response.
fn answer(response: &mut Response, status: u16, body: &serde_json::Value) {
    response.status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    response.render(Text::Json(body.to_string()));
}
