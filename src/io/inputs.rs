//! Inputs of the event loop: results of calls, messages, requests and timer ticks.

use super::requests::Requests;
use super::server::PendingRequest;
use crate::core::Input;
use crate::wire::peer::Frame;
use std::pin::Pin;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver};
use tokio::time::{Instant, Sleep};
use woadlever_cells::message::CellMessage;

/// Time between two ticks. The core acts on its timeouts and deadlines at the next tick at the
/// latest.
const TICK_INTERVAL: Duration = Duration::from_millis(25);
/// Share of a processor core below which ticks come half as often, and only if no other input
/// arrived for that time, because each wake-up has a fixed cost.
const SMALL_CORE_SHARE: f64 = 0.04;

/// An event for the event loop.
pub(super) enum Event {
    /// An HTTP request whose client waits for the answer.
    Request(PendingRequest),
    /// Any other input of the core.
    Input(Input),
}

/// Channels from which inputs are received.
pub(super) struct Sources {
    /// Results of calls to the store and the cloud.
    pub call_results: UnboundedReceiver<Input>,
    /// Frames from the other nodes.
    pub frames: Receiver<Frame>,
    /// Messages from other cells.
    pub cell_messages: Receiver<CellMessage>,
    /// HTTP requests from users, workers and the load balancer.
    pub requests: Requests,
}

/// All sources of inputs and the tick timer, merged into one sequence of events.
pub(super) struct Inputs {
    sources: Sources,
    tick: Pin<Box<Sleep>>,
    tick_interval: Duration,
    /// Whether every input postpones the next tick, so that a busy loop has no ticks.
    any_input_defers_tick: bool,
}

impl Inputs {
    /// Creates the inputs of a node that has `core_share` of a processor core.
    pub(super) fn new(sources: Sources, core_share: f64) -> Inputs {
        let is_small = core_share < SMALL_CORE_SHARE;
        let tick_interval = if is_small { TICK_INTERVAL * 2 } else { TICK_INTERVAL };
        let tick = Box::pin(tokio::time::sleep(tick_interval));
        Inputs { sources, tick, tick_interval, any_input_defers_tick: is_small }
    }

    /// Returns the time between two ticks.
    pub(super) fn tick_interval(&self) -> Duration {
        self.tick_interval
    }

    /// Waits for the next event. Results of calls have priority over messages, then come
    /// requests and last the tick.
    pub(super) async fn next(&mut self) -> Event {
        let sources = &mut self.sources;
        let event = tokio::select! {
            biased;
            Some(result) = sources.call_results.recv() => Event::Input(result),
            Some(frame) = sources.frames.recv() => Event::Input(Input::Frame(frame)),
            Some(message) = sources.cell_messages.recv() => Event::Input(Input::Cell(Box::new(message))),
            Some(request) = sources.requests.next() => Event::Request(request),
            () = &mut self.tick => Event::Input(Input::Tick),
        };
        if self.any_input_defers_tick || matches!(event, Event::Input(Input::Tick)) {
            self.tick.as_mut().reset(Instant::now() + self.tick_interval);
        }
        event
    }
}
