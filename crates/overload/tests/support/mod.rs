//! Simulation of a node with a small share of a core and of its clients. Each iteration of the
//! node's event loop handles all requests that have arrived and takes as much simulated time as
//! they cost. Clients time out and retry later.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{BTreeMap, VecDeque};
use woadlever_overload::Millis;
use woadlever_overload::admission::{Admission, AdmissionSettings};
use woadlever_overload::class::RequestClass;
use woadlever_overload::lag::LagMonitor;

/// Cost of a request over a new connection, in microseconds of a whole core.
pub(crate) const NEW_CONNECTION_US: u64 = 250;
/// Cost of a request over an open connection, in microseconds of a whole core.
pub(crate) const OPEN_CONNECTION_US: u64 = 90;
/// Cost of rejecting a connection, in microseconds of a whole core.
pub(crate) const REJECTION_US: u64 = 25;
/// Interval of the timer of the event loop.
const TIMER_INTERVAL_MS: Millis = 50;
const LAG_TARGET_MS: Millis = 100;
const LAG_INTERVAL_MS: Millis = 500;
/// Length of the kernel's backlog if admission control doesn't set it.
const DEFAULT_BACKLOG: usize = 1_024;
const US_PER_MS: f64 = 1_000.0;

/// How a client behaves.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Behavior {
    pub class: RequestClass,
    /// Time between an answer and the next request; `None` if the client sends only one request.
    pub period_ms: Option<Millis>,
    /// Time between a timeout or rejection and the next attempt.
    pub retry_ms: Millis,
    /// Whether the client waits as long as `Retry-After` says before it retries.
    pub honors_retry_after: bool,
    /// Time after the first attempt at which the client stops retrying; `None` if it never does.
    pub gives_up_after_ms: Option<Millis>,
}

#[derive(Debug)]
struct Client {
    behavior: Behavior,
    is_connected: bool,
    /// Number of the current attempt. Answers to earlier attempts are too late and are ignored.
    attempt: u64,
    /// Number of answers received in time.
    answer_count: u64,
    first_attempt: Millis,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The client with this index sends a request.
    SendRequest(usize),
    /// This attempt of the client with this index times out.
    Timeout(usize, u64),
}

#[derive(Debug)]
struct Request {
    client: usize,
    attempt: u64,
    is_new_connection: bool,
    sent: Millis,
}

/// Simulation of a node with all its clients.
pub(crate) struct Simulation {
    pub now: Millis,
    core_share: f64,
    admission: Option<Admission>,
    monitor: LagMonitor,
    clients: Vec<Client>,
    events: BTreeMap<(Millis, u64), Event>,
    next_event: u64,
    /// Requests that have arrived over open connections.
    arrived: Vec<Request>,
    /// Requests over new connections that the node has not accepted yet.
    backlog: VecDeque<Request>,
    backlog_limit: usize,
    /// Number of answers that arrived in time, by the second of their arrival.
    pub timely_answers: BTreeMap<u64, u64>,
    /// Duration of the longest iteration of the event loop in each second.
    pub longest_iteration_ms: BTreeMap<u64, Millis>,
}

impl Simulation {
    pub(crate) fn new(core_share: f64, with_admission: bool) -> Simulation {
        let admission =
            with_admission.then(|| Admission::new(&AdmissionSettings::default(), core_share, 0));
        let backlog_limit = admission.as_ref().map_or(DEFAULT_BACKLOG, |a| a.backlog() as usize);
        Simulation {
            now: 0,
            core_share,
            admission,
            monitor: LagMonitor::new(LAG_TARGET_MS, LAG_INTERVAL_MS),
            clients: Vec::new(),
            events: BTreeMap::new(),
            next_event: 0,
            arrived: Vec::new(),
            backlog: VecDeque::new(),
            backlog_limit,
            timely_answers: BTreeMap::new(),
            longest_iteration_ms: BTreeMap::new(),
        }
    }

    /// Adds a client that sends its first request at `first`.
    pub(crate) fn add(&mut self, behavior: Behavior, first: Millis) {
        self.clients.push(Client {
            behavior,
            is_connected: false,
            attempt: 0,
            answer_count: 0,
            first_attempt: first,
        });
        self.schedule(first, Event::SendRequest(self.clients.len() - 1));
    }

    /// Closes the connections of the first `client_count` clients, which then reconnect within
    /// `spread_ms`.
    pub(crate) fn drop_connections(&mut self, client_count: usize, spread_ms: Millis) {
        let is_other = |event: &Event| match event {
            Event::SendRequest(client) | Event::Timeout(client, _) => *client >= client_count,
        };
        self.events.retain(|_, event| is_other(event));
        self.arrived.retain(|request| request.client >= client_count);
        self.backlog.retain(|request| request.client >= client_count);
        for index in 0..client_count {
            self.clients[index].is_connected = false;
            self.clients[index].attempt += 1;
            let at = self.now + index as Millis * spread_ms / client_count as Millis;
            self.schedule(at, Event::SendRequest(index));
        }
    }

    /// Suspends the node for `duration_ms`.
    pub(crate) fn suspend(&mut self, duration_ms: Millis) {
        self.now += duration_ms;
    }

    pub(crate) fn run_until(&mut self, end: Millis) {
        while self.now < end {
            let due = self.now + TIMER_INTERVAL_MS;
            let iteration_ms = self.run_iteration();
            let second = self.now / 1_000;
            let longest = self.longest_iteration_ms.entry(second).or_default();
            *longest = (*longest).max(iteration_ms);
            self.now = (self.now + iteration_ms).max(due);
            self.monitor.note_timer(due, self.now);
            if let Some(admission) = &mut self.admission {
                admission.note_pressure(self.monitor.is_under_pressure(self.now), self.now);
            }
        }
    }

    /// Returns the number of timely answers per second, over the seconds from `from_s` to `to_s`.
    pub(crate) fn goodput(&self, from_s: u64, to_s: u64) -> f64 {
        let sum: u64 = self.timely_answers.range(from_s..to_s).map(|(_, count)| count).sum();
        sum as f64 / (to_s - from_s) as f64
    }

    /// Returns the share of clients that got at least one answer since [`Self::answer_counts`]
    /// returned `earlier_counts`.
    pub(crate) fn share_answered_since(&self, earlier_counts: &[u64]) -> f64 {
        let answered = self
            .clients
            .iter()
            .zip(earlier_counts)
            .filter(|(client, count)| client.answer_count > **count)
            .count();
        answered as f64 / self.clients.len() as f64
    }

    /// Returns the number of timely answers to each client.
    pub(crate) fn answer_counts(&self) -> Vec<u64> {
        self.clients.iter().map(|client| client.answer_count).collect()
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    /// Processes the events of clients that are due.
    fn process_client_events(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            let (at, _) = *entry.key();
            if at > self.now {
                return;
            }
            match entry.remove() {
                Event::SendRequest(index) => self.send_request(index, at),
                Event::Timeout(index, attempt) => self.on_timeout(index, attempt, at),
            }
        }
    }

    fn send_request(&mut self, index: usize, at: Millis) {
        let client = &mut self.clients[index];
        client.attempt += 1;
        let (attempt, is_new_connection) = (client.attempt, !client.is_connected);
        let client_timeout_ms = client.behavior.class.client_timeout_ms();
        let request = Request { client: index, attempt, is_new_connection, sent: at };
        if !is_new_connection {
            self.arrived.push(request);
        } else if self.backlog.len() < self.backlog_limit {
            self.backlog.push_back(request);
        } else {
            // The backlog is full, so the kernel refuses the connection.
            client.attempt += 1;
            let retry_at = at + client.behavior.retry_ms;
            return self.schedule_retry(index, retry_at);
        }
        self.schedule(at + client_timeout_ms, Event::Timeout(index, attempt));
    }

    fn on_timeout(&mut self, index: usize, attempt: u64, at: Millis) {
        let client = &mut self.clients[index];
        if client.attempt != attempt {
            return;
        }
        client.attempt += 1;
        client.is_connected = false;
        let retry_at = at + client.behavior.retry_ms;
        self.schedule_retry(index, retry_at);
    }

    fn schedule_retry(&mut self, index: usize, at: Millis) {
        let client = &self.clients[index];
        let end = client.behavior.gives_up_after_ms.map(|ms| client.first_attempt + ms);
        if end.is_none_or(|end| at < end) {
            self.schedule(at, Event::SendRequest(index));
        }
    }

    /// Runs one iteration of the event loop and returns its duration.
    fn run_iteration(&mut self) -> Millis {
        self.process_client_events();
        let mut cost_us = 0;
        let mut requests = std::mem::take(&mut self.arrived);
        while let Some(request) = self.backlog.pop_front() {
            requests.push(request);
        }
        for request in requests {
            if request.is_new_connection && self.is_accept_delayed() {
                self.backlog.push_back(request);
                continue;
            }
            let class = self.clients[request.client].behavior.class;
            let is_admitted = !request.is_new_connection
                || self.admission.as_mut().is_none_or(|admission| admission.admit(class, self.now));
            // A request of a client that has timed out costs as much as any other, because the
            // request is read before the end of the connection is seen.
            cost_us += match (is_admitted, request.is_new_connection) {
                (false, _) => REJECTION_US,
                (true, true) => NEW_CONNECTION_US,
                (true, false) => OPEN_CONNECTION_US,
            };
            let answered_at = self.now + (cost_us as f64 / US_PER_MS / self.core_share) as Millis;
            self.answer(&request, is_admitted, answered_at);
        }
        (cost_us as f64 / US_PER_MS / self.core_share) as Millis
    }

    fn is_accept_delayed(&mut self) -> bool {
        self.admission.as_mut().is_some_and(|admission| admission.accept_delay_ms(self.now) > 0)
    }

    fn answer(&mut self, request: &Request, is_admitted: bool, at: Millis) {
        let client = &mut self.clients[request.client];
        let is_late = at > request.sent + client.behavior.class.client_timeout_ms();
        if client.attempt != request.attempt || is_late {
            return;
        }
        client.attempt += 1;
        if !is_admitted {
            let mut wait_ms = client.behavior.retry_ms;
            if let Some(admission) =
                self.admission.as_mut().filter(|_| client.behavior.honors_retry_after)
            {
                let random = (request.client as u32).wrapping_mul(2_654_435_761) >> 8;
                wait_ms = wait_ms.max(Millis::from(admission.retry_after_s(random, self.now)) * 1_000);
            }
            return self.schedule_retry(request.client, at + wait_ms);
        }
        client.is_connected = true;
        client.answer_count += 1;
        *self.timely_answers.entry(at / 1_000).or_default() += 1;
        if let Some(period_ms) = client.behavior.period_ms {
            self.schedule(at + period_ms, Event::SendRequest(request.client));
        }
    }
}
