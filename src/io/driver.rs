//! The event loop: passes inputs to the core one at a time and carries out its outputs.

use super::gate::OverloadController;
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

/// Number of incarnations per microsecond. Each process takes a random one of them, so that
/// processes started within the same microsecond are likely to differ.
const INCARNATIONS_PER_MICROSECOND: u64 = 16;

/// Runs the node until the process ends. Returns only if the node can't start.
pub async fn run(platform: Platform, operator: Operator) -> Result<(), StartError> {
    let mut driver = Driver::start(platform, operator).await?;
    loop {
        driver.run_iteration().await;
    }
}

/// The core, with its sources of inputs and the destinations of its outputs.
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
    /// Binds all sockets and starts the tasks that serve them.
    async fn start(platform: Platform, operator: Operator) -> Result<Driver, StartError> {
        let platform = Arc::new(platform);
        let mut rng = rand::rng();
        let started = Instant::now();
        let incarnation = new_incarnation(&mut rng);
        let core =
            Core::new(platform.clone(), operator, incarnation, rng.random(), monotonic_ms(started));
        let operator = &core.context.operator;

        let peer_listener = listeners::bind_peers(&platform).await?;
        let (cell_messages, cell_server) = listeners::serve_cells(&platform, &operator.cells).await?;
        let (frames, peer_server) = listeners::serve_peers(peer_listener);
        let core_share = platform.cluster.limits.cpu;
        let overload_settings = &operator.overload;
        let overload =
            overload_settings.enabled.then(|| OverloadController::new(overload_settings, core_share));
        let (requests, http_server) =
            listeners::serve_http(&platform, overload_settings, overload.clone()).await?;

        let (results, call_results) = unbounded_channel();
        let peer_links = PeerLinks::new(&platform.peers);
        let cell_links = CellLinks::new(&operator.cells);
        let outputs = Outputs::new(&platform, peer_links, cell_links, results);
        let sources = Sources { call_results, frames, cell_messages, requests };
        let inputs = Inputs::new(sources, core_share);
        tracing::info!(node = platform.node, zone = platform.zone, "started");
        Ok(Driver {
            lag_timer: overload.map(|overload| LagTimer::new(overload, inputs.tick_interval())),
            core,
            started,
            inputs,
            outputs,
            answers: PendingAnswers::default(),
            _servers: cell_server.into_iter().chain([peer_server, http_server]).collect(),
        })
    }

    /// Runs one iteration of the loop: waits for an input, passes it to the core and carries out
    /// the resulting outputs.
    async fn run_iteration(&mut self) {
        if let Some(timer) = &mut self.lag_timer {
            timer.check();
        }
        let input = match self.inputs.next().await {
            Event::Request(pending) => self.answers.register(pending),
            Event::Input(input) => input,
        };
        for output in self.core.step(monotonic_ms(self.started), wall_ms(), input) {
            match output {
                Output::Answer { request_id, answer } => self.answers.send(request_id, answer),
                other => self.outputs.carry_out(other),
            }
        }
    }
}

/// Requests that were passed to the core and have no answer yet.
#[derive(Default)]
struct PendingAnswers {
    last_id: u64,
    by_id: HashMap<u64, oneshot::Sender<Answer>>,
}

impl PendingAnswers {
    /// Assigns an id to a request, by which its answer is matched to it, and returns the input
    /// for the core.
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

/// A periodic timer that measures the lag of the event loop, by which overload is detected.
struct LagTimer {
    overload: Arc<OverloadController>,
    due: Instant,
    interval: Duration,
}

impl LagTimer {
    fn new(overload: Arc<OverloadController>, interval: Duration) -> LagTimer {
        LagTimer { overload, due: Instant::now() + interval, interval }
    }

    /// If the timer is due, records how late it is and restarts it.
    fn check(&mut self) {
        if let Some(lag) = Instant::now().checked_duration_since(self.due) {
            let now = self.overload.now();
            self.overload.note_timer(now.saturating_sub(lag.as_millis() as u64), now);
            self.due = Instant::now() + self.interval;
        }
    }
}

/// Monotonic time in milliseconds, which starts at 1.
fn monotonic_ms(started: Instant) -> u64 {
    started.elapsed().as_millis() as u64 + 1
}

/// Time since the Unix epoch, or zero if the system clock is set to an earlier time.
fn since_epoch() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

/// Wall-clock time in milliseconds since the Unix epoch.
fn wall_ms() -> u64 {
    since_epoch().as_millis() as u64
}

/// Returns an incarnation larger than those of earlier processes of this node. A restart may
/// fall within the resolution of the clock, so the time alone is not enough to tell two
/// processes apart and a random part is added.
fn new_incarnation(rng: &mut impl Rng) -> u64 {
    let microseconds = since_epoch().as_micros() as u64;
    microseconds * INCARNATIONS_PER_MICROSECOND + rng.random_range(0..INCARNATIONS_PER_MICROSECOND)
}
