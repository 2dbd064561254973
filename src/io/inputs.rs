//! What the event loop waits for: messages, requests, results of calls, and time.

use super::requests::Requests;
use super::server::PendingRequest;
use crate::core::Input;
use crate::wire::peer::Frame;
use std::pin::Pin;
use std::time::Duration;
use tokio::sync::mpsc::{Receiver, UnboundedReceiver};
use tokio::time::{Instant, Sleep};
use woadlever_cells::message::CellMessage;

/// Steady ticks; everything in the core that waits for a time waits for one.
const TICK: Duration = Duration::from_millis(25);
/// Share of a core below which ticks come half as often, and only where no other input
/// did: waking up for them is a fixed cost.
const SMALL_CORE_SHARE: f64 = 0.04;

/// What has happened.
pub(super) enum Event {
    /// A request has arrived; its answer is awaited.
    Request(PendingRequest),
    /// Anything else.
    Input(Input),
}

/// Where inputs come from.
pub(super) struct Sources {
    /// Results of calls to the store and the cloud.
    pub call_results: UnboundedReceiver<Input>,
    /// Frames of the other nodes.
    pub frames: Receiver<Frame>,
    /// Messages of other cells.
    pub cell_messages: Receiver<CellMessage>,
    /// Requests of users, workers and the load balancer.
    pub requests: Requests,
}

/// All inputs, one at a time.
pub(super) struct Inputs {
    sources: Sources,
    tick: Pin<Box<Sleep>>,
    tick_interval: Duration,
    /// Whether any input puts the next tick off, so that a busy loop has none.
    any_input_defers_tick: bool,
}

impl Inputs {
    /// Inputs of a node with this share of a core.
    pub(super) fn new(sources: Sources, core_share: f64) -> Inputs {
        let is_small = core_share < SMALL_CORE_SHARE;
        let tick_interval = if is_small { TICK * 2 } else { TICK };
        let tick = Box::pin(tokio::time::sleep(tick_interval));
        Inputs { sources, tick, tick_interval, any_input_defers_tick: is_small }
    }

    /// Time between two ticks.
    pub(super) fn tick_interval(&self) -> Duration {
        self.tick_interval
    }

    /// Waits for the next event. Results of calls come first, then messages, then requests.
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
