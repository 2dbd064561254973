//! The event loop: hands inputs to the core, one at a time, and has its outputs carried out.

use super::gate::Pressure;
use super::inputs::{Event, Inputs, Sources};
use super::links::{CellLinks, PeerLinks};
use super::listeners::{self, StartError};
use super::outputs::Outputs;
use super::owned_task::OwnedTask;
use super::server::PendingRequest;
use crate::config::{Operator, Platform};
use crate::core::{Answer, Core, Input, Output};
use rand::{Rng, RngExt};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::oneshot;

/// Incarnations that processes started in the same microsecond are told apart by.
const INCARNATIONS_PER_MICROSECOND: u64 = 16;

/// Serves until the process ends. It only returns if the node can't start.
pub async fn run(platform: Platform, operator: Operator) -> Result<(), StartError> {
    let mut driver = Driver::start(platform, operator).await?;
    loop {
        driver.turn().await;
    }
}

/// The core with all that connects it to the outside.
struct Driver {
    core: Core,
    started: Instant,
    inputs: Inputs,
    outputs: Outputs,
    answers: PendingAnswers,
    lag_timer: Option<LagTimer>,
    _servers: Vec<OwnedTask>,
}

impl Driver {
    /// Binds all sockets and starts what serves them.
    async fn start(platform: Platform, operator: Operator) -> Result<Driver, StartError> {
        let platform = Arc::new(platform);
        let mut rng = rand::rng();
        let started = Instant::now();
        let incarnation = new_incarnation(&mut rng);
        let core = Core::new(platform.clone(), operator, incarnation, rng.random(), steady_ms(started));
        let operator = &core.context.operator;

        let peer_listener = listeners::bind_peers(&platform).await?;
        let (cell_messages, cell_server) = listeners::serve_cells(&platform, &operator.cells).await?;
        let (frames, peer_server) = listeners::serve_peers(peer_listener);
        let core_share = platform.cluster.limits.cpu;
        let overload = &operator.overload;
        let pressure = overload.enabled.then(|| Pressure::new(overload, core_share));
        let (requests, http_server) =
            listeners::serve_http(&platform, overload, pressure.clone()).await?;

        let (results, call_results) = unbounded_channel();
        let peer_links = PeerLinks::new(&platform.peers);
        let cell_links = CellLinks::new(&operator.cells);
        let outputs = Outputs::new(&platform, peer_links, cell_links, results);
        let sources = Sources { call_results, frames, cell_messages, requests };
        let inputs = Inputs::new(sources, core_share);
        tracing::info!(node = platform.node, zone = platform.zone, "started");
        Ok(Driver {
            lag_timer: pressure.map(|pressure| LagTimer::new(pressure, inputs.tick_interval())),
            core,
            started,
            inputs,
            outputs,
            answers: PendingAnswers::default(),
            _servers: cell_server.into_iter().chain([peer_server, http_server]).collect(),
        })
    }

    /// One turn of the loop: takes one input, and carries out what the core makes of it.
    async fn turn(&mut self) {
        if let Some(timer) = &mut self.lag_timer {
            timer.check();
        }
        let input = match self.inputs.next().await {
            Event::Request(pending) => self.answers.register(pending),
            Event::Input(input) => input,
        };
        for output in self.core.step(steady_ms(self.started), wall_ms(), input) {
            match output {
                Output::Answer { request_id, answer } => self.answers.send(request_id, answer),
                other => self.outputs.carry_out(other),
            }
        }
    }
}

/// Requests that the core has taken in and not answered yet.
#[derive(Default)]
struct PendingAnswers {
    last_id: u64,
    by_id: HashMap<u64, oneshot::Sender<Answer>>,
}

impl PendingAnswers {
    /// Numbers a request, so that its answer finds its way back.
    fn register(&mut self, pending: PendingRequest) -> Input {
        self.last_id += 1;
        self.by_id.insert(self.last_id, pending.answer);
        Input::Http { request_id: self.last_id, request: pending.request }
    }

    fn send(&mut self, request_id: u64, answer: Answer) {
        if let Some(sender) = self.by_id.remove(&request_id) {
            let _ = sender.send(answer);
        }
    }
}

/// Tells how late the event loop gets to a timer, which is the measure of pressure.
struct LagTimer {
    pressure: Arc<Pressure>,
    due: Instant,
    interval: Duration,
}

impl LagTimer {
    fn new(pressure: Arc<Pressure>, interval: Duration) -> LagTimer {
        LagTimer { pressure, due: Instant::now() + interval, interval }
    }

    /// Notes the lag if the timer is due, and sets it again.
    fn check(&mut self) {
        if let Some(lag) = Instant::now().checked_duration_since(self.due) {
            let now = self.pressure.now();
            self.pressure.note_timer(now.saturating_sub(lag.as_millis() as u64), now);
            self.due = Instant::now() + self.interval;
        }
    }
}

/// Steady time in milliseconds, from 1 at the start.
fn steady_ms(started: Instant) -> u64 {
    started.elapsed().as_millis() as u64 + 1
}

/// Time since the epoch; zero for a clock that is before it.
fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Time of day in milliseconds.
fn wall_ms() -> u64 {
    since_epoch().as_millis() as u64
}

/// An incarnation larger than that of every earlier process of this node. Restarts may come
/// within the resolution of the clock, so that the time alone is not enough.
fn new_incarnation(rng: &mut impl Rng) -> u64 {
    let microseconds = since_epoch().as_micros() as u64;
    microseconds * INCARNATIONS_PER_MICROSECOND + rng.random_range(0..INCARNATIONS_PER_MICROSECOND)
}
