//! Requests between the socket and the core.
//!
//! The most important class goes first. Within a class the oldest goes first, or, under
//! pressure, the newest: of requests that can't all be answered in time, the clients of those
//! that arrived last will wait the longest. A request that has waited for most of its
//! client's timeout is dropped unread.

use crate::Millis;
use crate::class::RequestClass;
use std::collections::VecDeque;

/// Share of a client's timeout that its request may spend in this queue; the rest is for
/// the answer.
const QUEUE_SHARE_OF_TIMEOUT: f64 = 0.75;

/// A request in the queue.
#[derive(Debug)]
struct Waiting<T> {
    arrived: Millis,
    request: T,
}

/// A request that is not served, with the reason.
#[derive(Debug, PartialEq, Eq)]
pub enum Shed<T> {
    /// Its client has given up, or will have before an answer arrives.
    Expired(RequestClass, T),
    /// The queue is full.
    QueueFull(RequestClass, T),
}

/// A bounded queue of requests.
#[derive(Debug)]
pub struct RequestQueue<T> {
    limit: usize,
    len: usize,
    classes: [VecDeque<Waiting<T>>; RequestClass::ALL.len()],
}

impl<T> RequestQueue<T> {
    /// A queue of at most `limit` requests.
    pub fn new(limit: usize) -> RequestQueue<T> {
        RequestQueue { limit: limit.max(1), len: 0, classes: Default::default() }
    }

    /// Adds a request. If the queue is full, the oldest request of the least important
    /// class is shed instead, unless the new one is less important still.
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
        self.queue_mut(class).push_back(Waiting { arrived: now, request });
        self.len += 1;
        shed
    }

    /// Takes out the next request to be served.
    pub fn pop(&mut self, under_pressure: bool) -> Option<(RequestClass, T)> {
        let class = RequestClass::ALL.into_iter().find(|class| !self.queue(*class).is_empty())?;
        let queue = self.queue_mut(class);
        let next = if under_pressure { queue.pop_back() } else { queue.pop_front() }?;
        self.len -= 1;
        Some((class, next.request))
    }

    /// Takes out one request whose client has waited for too long.
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

    /// Number of requests in the queue.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The least important class that has a request in the queue.
    fn least_important(&self) -> Option<RequestClass> {
        RequestClass::ALL.into_iter().rev().find(|class| !self.queue(*class).is_empty())
    }

    fn queue(&self, class: RequestClass) -> &VecDeque<Waiting<T>> {
        &self.classes[class.index()]
    }

    fn queue_mut(&mut self, class: RequestClass) -> &mut VecDeque<Waiting<T>> {
        &mut self.classes[class.index()]
    }
}
