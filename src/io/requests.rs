//! The queue of requests between the HTTP server and the core.

use super::gate::OverloadController;
use super::server::{PendingRequest, overloaded};
use crate::core::HttpRequest;
use std::sync::Arc;
use tokio::sync::mpsc::Receiver;
use woadlever_overload::class::RequestClass;
use woadlever_overload::queue::{RequestQueue, Shed};

/// Queue of requests, in the order in which the core processes them.
pub(super) struct Requests {
    incoming: Receiver<PendingRequest>,
    prioritized: Option<PrioritizedRequests>,
}

/// Requests ordered by importance, used if overload control is enabled.
struct PrioritizedRequests {
    queue: RequestQueue<PendingRequest>,
    overload: Arc<OverloadController>,
}

impl Requests {
    /// Creates a queue of all requests in order of arrival.
    pub(super) fn in_order(incoming: Receiver<PendingRequest>) -> Requests {
        Requests { incoming, prioritized: None }
    }

    /// Creates a queue of at most `limit` requests, the most important first. A request that is
    /// dropped from the queue gets the answer that the node is overloaded.
    pub(super) fn by_importance(
        incoming: Receiver<PendingRequest>,
        limit: usize,
        overload: Arc<OverloadController>,
    ) -> Requests {
        let queue = RequestQueue::new(limit);
        Requests { incoming, prioritized: Some(PrioritizedRequests { queue, overload }) }
    }

    /// Returns the next request, or `None` once the server has ended. Cancel safe: no request is
    /// lost if the future is dropped before it is ready.
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
        if let Some(shed) = self.queue.push(class, pending, self.overload.now()) {
            self.reject(shed);
        }
    }

    fn pop(&mut self) -> Option<PendingRequest> {
        while let Some(shed) = self.queue.pop_expired(self.overload.now()) {
            self.reject(shed);
        }
        loop {
            let (_, pending) = self.queue.pop(self.overload.is_limiting())?;
            // The channel is closed if the connection has ended: no client waits for the answer.
            if !pending.answer.is_closed() {
                return Some(pending);
            }
            self.overload.count_dropped();
        }
    }

    fn reject(&self, shed: Shed<PendingRequest>) {
        let (Shed::Expired(_, pending) | Shed::QueueFull(_, pending)) = shed;
        self.overload.count_dropped();
        let _ = pending.answer.send(overloaded(self.overload.retry_after_s()));
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
