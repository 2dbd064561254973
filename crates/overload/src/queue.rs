//! A priority queue of requests between the socket and the core.
//!
//! Requests of the most important class are served first. Within a class the oldest request is
//! served first, or the newest if the node is under pressure: when not all requests can be
//! answered in time, the clients of the newest ones will still wait the longest. A request that
//! has waited for most of its client's timeout is dropped unprocessed.

use crate::Millis;
use crate::class::RequestClass;
use std::collections::VecDeque;

/// Share of a client's timeout that its request may spend in this queue. The rest is left for
/// processing the request and sending the answer.
const QUEUE_SHARE_OF_TIMEOUT: f64 = 0.75;

/// A request in the queue.
#[derive(Debug)]
struct QueuedRequest<T> {
    arrived: Millis,
    request: T,
}

/// A request that is dropped without being served, with the reason.
#[derive(Debug, PartialEq, Eq)]
pub enum Shed<T> {
    /// The client has timed out, or will before an answer arrives.
    Expired(RequestClass, T),
    /// The queue is full.
    QueueFull(RequestClass, T),
}

/// A bounded priority queue of requests.
#[derive(Debug)]
pub struct RequestQueue<T> {
    limit: usize,
    len: usize,
    classes: [VecDeque<QueuedRequest<T>>; RequestClass::ALL.len()],
}

impl<T> RequestQueue<T> {
    /// Creates a queue of at most `limit` requests, but at least one.
    pub fn new(limit: usize) -> RequestQueue<T> {
        RequestQueue { limit: limit.max(1), len: 0, classes: Default::default() }
    }

    /// Adds a request and returns the request that is dropped if the queue is full: the oldest one
    /// of the least important class in the queue, or the new one if its class is less important
    /// still.
    pub fn push(&mut self, class: RequestClass, request: T, now: Millis) -> Option<Shed<T>> {
        let mut shed = None;
        if self.len >= self.limit {
            let least_important = self.least_important().filter(|least| *least >= class);
            match least_important {
                Some(least) => {
                    let oldest = self.queue_mut(least).pop_front();
                    self.len -= usize::from(oldest.is_some());
                    shed = oldest.map(|oldest| Shed::QueueFull(least, oldest.request));
                }
                None => return Some(Shed::QueueFull(class, request)),
            }
        }
        self.queue_mut(class).push_back(QueuedRequest { arrived: now, request });
        self.len += 1;
        shed
    }

    /// Removes and returns the next request to be served.
    pub fn pop(&mut self, under_pressure: bool) -> Option<(RequestClass, T)> {
        let class = RequestClass::ALL.into_iter().find(|class| !self.queue(*class).is_empty())?;
        let queue = self.queue_mut(class);
        let next = if under_pressure { queue.pop_back() } else { queue.pop_front() }?;
        self.len -= 1;
        Some((class, next.request))
    }

    /// Removes and returns one request that has waited for too long, if there is any.
    pub fn pop_expired(&mut self, now: Millis) -> Option<Shed<T>> {
        for class in RequestClass::ALL {
            let limit_ms = (class.client_timeout_ms() as f64 * QUEUE_SHARE_OF_TIMEOUT) as Millis;
            let queue = self.queue_mut(class);
            if queue.front().is_some_and(|oldest| now > oldest.arrived + limit_ms) {
                let expired = queue.pop_front()?;
                self.len -= 1;
                return Some(Shed::Expired(class, expired.request));
            }
        }
        None
    }

    /// Returns the number of requests in the queue.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the least important class that has a request in the queue.
    fn least_important(&self) -> Option<RequestClass> {
        RequestClass::ALL.into_iter().rev().find(|class| !self.queue(*class).is_empty())
    }

    fn queue(&self, class: RequestClass) -> &VecDeque<QueuedRequest<T>> {
        &self.classes[class.index()]
    }

    fn queue_mut(&mut self, class: RequestClass) -> &mut VecDeque<QueuedRequest<T>> {
        &mut self.classes[class.index()]
    }
}
