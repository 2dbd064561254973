//! The loop: inputs into the core, outputs to where they belong.

use super::client::Client;
use super::gate::{self, Pressure};
use super::requests::Requests;
use super::{cloud, frames, server, store};
use crate::config::{CellSettings, Operator, Platform};
use crate::core::{Answer, Core, Input, Output};
use crate::wire::peer::Frame;
use crate::wire::workers::DirectCommands;
use rand::{Rng, RngExt};
use salvo::prelude::*;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::{Receiver, Sender, UnboundedSender, channel, unbounded_channel};
use tokio::sync::oneshot;
use woadlever_cells::message::CellMessage;

/// Steady ticks; everything in the core that waits for a time waits for one. Waking
/// up for them is a fixed cost: on a small share of a core they come half as often,
/// and only where no input did.
const TICK: Duration = Duration::from_millis(25);
const SMALL_SHARE: f64 = 0.04;
/// Connections taken from other nodes at once, old ones that hang included.
const MOST_PEER_CONNECTIONS: usize = 24;
/// Requests that the HTTP server has read and the driver has not taken yet.
const WAITING_REQUESTS: usize = 256;

/// A worker answers a direct command at once, or hangs.
const DIRECT: Duration = Duration::from_millis(1500);

fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

/// Larger for every later process of this node: restarts may come within a
/// fraction of a second, so the time alone, coarse as it is, won't do.
fn new_incarnation(rng: &mut impl Rng) -> u64 {
    let us = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64);
    us * 16 + rng.random_range(0..16)
}

/// Serves until the process ends.
pub async fn run(cfg: Platform, op: Operator) -> Result<(), String> {
    let cfg = Arc::new(cfg);
    let mut rng = rand::rng();
    let started = Instant::now();
    let now = || started.elapsed().as_millis() as u64 + 1;
    let mut core = Core::new(cfg.clone(), op, new_incarnation(&mut rng), rng.random(), now());

    let bad = |what: &str, e: std::io::Error| format!("{what}: {e}");
    let peer_listener = tokio::net::TcpListener::bind(cfg.peer_listen)
        .await
        .map_err(|e| bad(&format!("internal_addr {}", cfg.peer_listen), e))?;

    let (in_tx, mut in_rx) = unbounded_channel::<Input>();
    let (frame_tx, mut frame_rx) = channel(frames::RECEIVED);
    let mut cell_rx = listen_to_cells(&cfg, &core.context.operator.cells).await?;
    let (http_tx, http_rx) = channel::<server::Asked>(WAITING_REQUESTS);
    tokio::task::spawn_local(frames::listen(peer_listener, frame_tx, MOST_PEER_CONNECTIONS));
    // Our own calls and the other nodes must find a socket whatever users do.
    let limit = cfg.cluster.limits.max_connections;
    let users = limit - (limit / 6).clamp(16, 160);
    let overload = &core.context.operator.overload;
    let pressure = overload.enabled.then(|| Pressure::new(overload, cfg.cluster.limits.cpu));
    let mut requests = serve(&cfg, overload.queue, users, pressure.clone(), (http_tx, http_rx)).await?;

    let links: HashMap<String, Link<Frame>> =
        cfg.peers.iter().map(|p| (p.node.clone(), frames::link(p.addr))).collect();
    let most = (cfg.cluster.limits.max_connections / 8).clamp(8, 64);
    let io = Io {
        store: Client::new(cfg.endpoints.state, 8, most),
        cloud: Client::new(cfg.endpoints.cloud, 2, 8),
        links,
        cells: cell_links(&core.context.operator.cells),
        tx: in_tx,
        direct: Rc::new(()),
        most_direct: (limit / 32).clamp(8, 64),
    };
    let mut answers: HashMap<u64, oneshot::Sender<Answer>> = HashMap::new();
    let mut next_request_id = 1u64;
    let small = cfg.cluster.limits.cpu < SMALL_SHARE;
    let pause = if small { TICK * 2 } else { TICK };
    let mut tick = std::pin::pin!(tokio::time::sleep(pause));
    tracing::info!(node = cfg.node, zone = cfg.zone, "started");
    let mut lag_timer = Instant::now() + pause;
    loop {
        if let Some(pressure) = &pressure {
            let late = Instant::now().checked_duration_since(lag_timer);
            if let Some(late) = late {
                let now = pressure.now();
                pressure.note_timer(now.saturating_sub(late.as_millis() as u64), now);
                lag_timer = Instant::now() + pause;
            }
        }
        let input = tokio::select! {
            biased;
            Some(i) = in_rx.recv() => i,
            Some(frame) = frame_rx.recv() => Input::Frame(frame),
            Some(message) = cell_rx.recv() => Input::Cell(Box::new(message)),
            Some((request, tx)) = requests.next() => {
                let request_id = next_request_id;
                next_request_id += 1;
                answers.insert(request_id, tx);
                Input::Http { request_id, request }
            }
            _ = &mut tick => Input::Tick,
        };
        if small || matches!(input, Input::Tick) {
            tick.as_mut().reset(tokio::time::Instant::now() + pause);
        }
        for out in core.step(now(), wall_ms(), input) {
            match out {
                Output::Answer { request_id, answer } => {
                    if let Some(tx) = answers.remove(&request_id) {
                        let _ = tx.send(answer);
                    }
                }
                other => io.carry_out(other),
            }
        }
    }
}

type Link<T> = Sender<frames::Post<T>>;

/// Starts the outer HTTP server, with room for `users` connections; what it reads comes
/// out of the result.
async fn serve(
    cfg: &Platform,
    queue: usize,
    users: usize,
    pressure: Option<Arc<Pressure>>,
    (http_tx, http_rx): (Sender<server::Asked>, Receiver<server::Asked>),
) -> Result<Requests, String> {
    let failed = |e: &dyn std::fmt::Display| format!("bind {}: {e}", cfg.listen);
    match pressure {
        Some(pressure) => {
            let acceptor = gate::bind(cfg.listen, users, pressure.clone()).map_err(|e| failed(&e))?;
            tokio::task::spawn_local(Server::new(acceptor).serve(server::service(http_tx)));
            Ok(Requests::by_importance(http_rx, queue, pressure))
        }
        None => {
            let listener = salvo::conn::TcpListener::new(cfg.listen);
            let acceptor = listener.try_bind().await.map_err(|e| failed(&e))?;
            let front = Server::new(acceptor).max_connections(users);
            tokio::task::spawn_local(front.serve(server::service(http_tx)));
            Ok(Requests::in_order(http_rx))
        }
    }
}

/// Takes messages of other cells, if load is shared. Without, none ever come.
async fn listen_to_cells(
    cfg: &Platform,
    settings: &CellSettings,
) -> Result<Receiver<CellMessage>, String> {
    let (sender, receiver) = channel(frames::RECEIVED);
    if settings.enabled {
        let address = SocketAddr::new(cfg.peer_listen.ip(), settings.listen_port);
        let listener = tokio::net::TcpListener::bind(address)
            .await
            .map_err(|e| format!("[cells] listen_port: {address}: {e}"))?;
        // Each cell's leader keeps one connection; those of former leaders may linger.
        let most = 4 * settings.neighbors.len() + MOST_PEER_CONNECTIONS;
        tokio::task::spawn_local(frames::listen(listener, sender, most));
    }
    Ok(receiver)
}

/// Links to all controllers of the other cells, if load is shared.
fn cell_links(settings: &CellSettings) -> HashMap<String, Vec<Link<CellMessage>>> {
    let neighbors = settings.neighbors.iter().filter(|_| settings.enabled);
    neighbors
        .map(|cell| (cell.name.clone(), cell.controllers.iter().copied().map(frames::link).collect()))
        .collect()
}

struct Io {
    store: Client,
    cloud: Client,
    links: HashMap<String, Link<Frame>>,
    /// To the controllers of each other cell.
    cells: HashMap<String, Vec<Link<CellMessage>>>,
    tx: UnboundedSender<Input>,
    /// One reference more for each direct command under way.
    direct: Rc<()>,
    most_direct: usize,
}

impl Io {
    /// To a worker's address, if sockets are to spare: a hundred machines may be
    /// meant at once, and some of them hang. What is left out here is told in
    /// the answer to the next report.
    fn direct(&self, addr: &str, commands: &DirectCommands) {
        let (Ok(addr), Ok(body)) = (addr.parse(), serde_json::to_vec(commands)) else { return };
        if Rc::strong_count(&self.direct) > self.most_direct {
            return;
        }
        let slot = self.direct.clone();
        tokio::task::spawn_local(async move {
            let _slot = slot;
            let client = Client::new(addr, 0, 1);
            let _ = client.call(hyper::Method::POST, "/orders", Some(body), DIRECT).await;
        });
    }

    fn carry_out(&self, out: Output) {
        match out {
            Output::Store { call, request } => {
                let (client, tx) = (self.store.clone(), self.tx.clone());
                tokio::task::spawn_local(async move {
                    let response = store::call(&client, request).await;
                    let _ = tx.send(Input::Store { call, response });
                });
            }
            Output::Cloud { call, request } => {
                let (client, tx) = (self.cloud.clone(), self.tx.clone());
                tokio::task::spawn_local(async move {
                    let response = cloud::call(&client, request).await;
                    let _ = tx.send(Input::Cloud { call, response });
                });
            }
            Output::Send { to, frame } => {
                if let Some(link) = self.links.get(&to) {
                    let _ = link.try_send(frames::Post::Frame(Box::new(frame)));
                }
            }
            Output::SendCell { cell, message } => {
                for link in self.cells.get(&cell).into_iter().flatten() {
                    let _ = link.try_send(frames::Post::Frame(message.clone()));
                }
            }
            Output::Reconnect { to } => {
                if let Some(link) = self.links.get(&to) {
                    let _ = link.try_send(frames::Post::Reconnect);
                }
            }
            Output::DirectCommands { addr, commands } => self.direct(&addr, &commands),
            Output::Answer { .. } => {}
        }
    }
}
