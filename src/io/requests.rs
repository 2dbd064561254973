//! Requests on their way from the HTTP server to the core.

use super::gate::Pressure;
use super::server::{PendingRequest, overloaded};
use crate::core::HttpRequest;
use std::sync::Arc;
use tokio::sync::mpsc::Receiver;
use woadlever_overload::class::RequestClass;
use woadlever_overload::queue::{RequestQueue, Shed};

/// Requests in the order in which the core takes them.
pub(super) struct Requests {
    incoming: Receiver<PendingRequest>,
    prioritized: Option<PrioritizedRequests>,
}

/// Requests ordered by importance, for a node that may be under pressure.
struct PrioritizedRequests {
    queue: RequestQueue<PendingRequest>,
    pressure: Arc<Pressure>,
}

impl Requests {
    /// All requests, in the order in which they arrive.
    pub(super) fn in_order(incoming: Receiver<PendingRequest>) -> Requests {
        Requests { incoming, prioritized: None }
    }

    /// At most `limit` requests, the most important first.
    pub(super) fn by_importance(
        incoming: Receiver<PendingRequest>,
        limit: usize,
        pressure: Arc<Pressure>,
    ) -> Requests {
        let queue = RequestQueue::new(limit);
        Requests { incoming, prioritized: Some(PrioritizedRequests { queue, pressure }) }
    }

    /// The next request; none once the server has ended. Nothing is lost if the future
    /// is dropped before it is ready.
    pub(super) async fn next(&mut self) -> Option<PendingRequest> {
        let Some(prioritized) = &mut self.prioritized else { return self.incoming.recv().await };
        loop {
            while let Ok(pending) = self.incoming.try_recv() {
                prioritized.push(pending);
            }
            if let Some(pending) = prioritized.pop() {
                return Some(pending);
            }
            let pending = self.incoming.recv().await?;
            prioritized.push(pending);
        }
    }
}

impl PrioritizedRequests {
    fn push(&mut self, pending: PendingRequest) {
        let class = class_of(&pending.request);
        if let Some(shed) = self.queue.push(class, pending, self.pressure.now()) {
            self.reject(shed);
        }
    }

    fn pop(&mut self) -> Option<PendingRequest> {
        while let Some(shed) = self.queue.pop_expired(self.pressure.now()) {
            self.reject(shed);
        }
        loop {
            let (_, pending) = self.queue.pop(self.pressure.is_limiting())?;
            // A closed channel: the connection has ended, and nobody waits for the answer.
            if !pending.answer.is_closed() {
                return Some(pending);
            }
            self.pressure.count_expired();
        }
    }

    fn reject(&self, shed: Shed<PendingRequest>) {
        let (Shed::Expired(_, pending) | Shed::QueueFull(_, pending)) = shed;
        self.pressure.count_expired();
        let _ = pending.answer.send(overloaded(self.pressure.retry_after_s()));
    }
}

fn class_of(request: &HttpRequest) -> RequestClass {
    match request {
        HttpRequest::Ready => RequestClass::Probe,
        HttpRequest::WorkerHeartbeat(_) => RequestClass::WorkerHeartbeat,
        HttpRequest::Cancel(_) => RequestClass::Cancellation,
        HttpRequest::Submit(_) => RequestClass::Submission,
        HttpRequest::Status(_) => RequestClass::StatusQuery,
    }
}
