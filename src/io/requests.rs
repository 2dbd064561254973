//! Requests on their way from the HTTP server to the core.

use super::gate::Pressure;
use super::server::{Asked, overloaded};
use crate::core::HttpRequest;
use std::sync::Arc;
use tokio::sync::mpsc::Receiver;
use woadlever_overload::class::RequestClass;
use woadlever_overload::queue::{RequestQueue, Shed};

/// Requests in the order in which the core takes them.
pub struct Requests {
    incoming: Receiver<Asked>,
    choice: Option<Choice>,
}

/// The choice under overload.
struct Choice {
    queue: RequestQueue<Asked>,
    pressure: Arc<Pressure>,
}

impl Requests {
    /// All requests, in the order in which they arrive.
    pub fn in_order(incoming: Receiver<Asked>) -> Requests {
        Requests { incoming, choice: None }
    }

    /// At most `limit` requests, the most important first.
    pub fn by_importance(incoming: Receiver<Asked>, limit: usize, pressure: Arc<Pressure>) -> Requests {
        Requests { incoming, choice: Some(Choice { queue: RequestQueue::new(limit), pressure }) }
    }

    /// The next request; none once the server has ended. Nothing is lost if the future
    /// is dropped before it is ready.
    pub async fn next(&mut self) -> Option<Asked> {
        let Some(choice) = &mut self.choice else { return self.incoming.recv().await };
        loop {
            while let Ok(asked) = self.incoming.try_recv() {
                choice.push(asked);
            }
            if let Some(asked) = choice.pop() {
                return Some(asked);
            }
            let asked = self.incoming.recv().await?;
            choice.push(asked);
        }
    }
}

impl Choice {
    fn push(&mut self, asked: Asked) {
        let class = class_of(&asked.0);
        let shed = self.queue.push(class, asked, self.pressure.now());
        if let Some(shed) = shed {
            self.turn_away(shed);
        }
    }

    fn pop(&mut self) -> Option<Asked> {
        while let Some(shed) = self.queue.pop_expired(self.pressure.now()) {
            self.turn_away(shed);
        }
        loop {
            let (_, asked) = self.queue.pop(self.pressure.is_limiting())?;
            // The connection has ended, and with it the wish for an answer.
            if !asked.1.is_closed() {
                return Some(asked);
            }
            self.pressure.count_expired();
        }
    }

    fn turn_away(&self, shed: Shed<Asked>) {
        let (Shed::Expired(_, asked) | Shed::NoRoom(_, asked)) = shed;
        self.pressure.count_expired();
        let _ = asked.1.send(overloaded(self.pressure.retry_after_s()));
    }
}

fn class_of(call: &HttpRequest) -> RequestClass {
    match call {
        HttpRequest::Ready => RequestClass::Probe,
        HttpRequest::WorkerHeartbeat(_) => RequestClass::WorkerHeartbeat,
        HttpRequest::Cancel(_) => RequestClass::Cancellation,
        HttpRequest::Submit(_) => RequestClass::Submission,
        HttpRequest::Status(_) => RequestClass::Question,
    }
}
