//! A node with a small share of a core, in simulated time: each turn of its event loop
//! handles all requests that have arrived and lasts as long as that costs. Clients give up
//! after their timeout and retry later.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{BTreeMap, VecDeque};
use woadlever_overload::Millis;
use woadlever_overload::admission::{Admission, AdmissionSettings};
use woadlever_overload::class::RequestClass;
use woadlever_overload::lag::LagMonitor;

/// Microseconds of a whole core.
pub(crate) const NEW_CONNECTION_US: u64 = 250;
pub(crate) const KEPT_CONNECTION_US: u64 = 90;
pub(crate) const REJECTION_US: u64 = 25;
/// Timers of the event loop.
const TIMER_MS: Millis = 50;
const LAG_TARGET_MS: Millis = 100;
const LAG_INTERVAL_MS: Millis = 500;
/// Length of the kernel's backlog where none is set.
const USUAL_BACKLOG: usize = 1_024;
const US_PER_MS: f64 = 1_000.0;

/// How a client behaves.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Behavior {
    pub class: RequestClass,
    /// Time between an answer and the next request; none: it sends one request.
    pub period_ms: Option<Millis>,
    /// Time between giving up, or being rejected, and the next attempt.
    pub retry_ms: Millis,
    /// Whether it waits for as long as `Retry-After` says.
    pub heeds_retry_after: bool,
    /// Time after its first attempt after which it gives up for good; never if absent.
    pub gives_up_after_ms: Option<Millis>,
}

#[derive(Debug)]
struct Client {
    behavior: Behavior,
    is_connected: bool,
    /// Number of its newest attempt; answers to earlier ones come too late.
    attempt: u64,
    answered: u64,
    first_attempt: Millis,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Ask(usize),
    GiveUp(usize, u64),
}

#[derive(Debug)]
struct Request {
    client: usize,
    attempt: u64,
    is_new_connection: bool,
    sent: Millis,
}

/// The node with all its clients.
pub(crate) struct Simulation {
    pub now: Millis,
    core_share: f64,
    admission: Option<Admission>,
    monitor: LagMonitor,
    clients: Vec<Client>,
    events: BTreeMap<(Millis, u64), Event>,
    next_event: u64,
    /// Requests over open connections.
    arrived: Vec<Request>,
    /// Connections that have not been accepted yet.
    backlog: VecDeque<Request>,
    backlog_limit: usize,
    /// Answers that arrived in time, by the second in which they did.
    pub good_answers: BTreeMap<u64, u64>,
    /// Longest turn of the event loop in each second.
    pub longest_turn_ms: BTreeMap<u64, Millis>,
}

impl Simulation {
    pub(crate) fn new(core_share: f64, with_admission: bool) -> Simulation {
        let admission =
            with_admission.then(|| Admission::new(&AdmissionSettings::default(), core_share, 0));
        let backlog_limit = admission.as_ref().map_or(USUAL_BACKLOG, |a| a.backlog() as usize);
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
            good_answers: BTreeMap::new(),
            longest_turn_ms: BTreeMap::new(),
        }
    }

    /// Adds a client that sends its first request at `first`.
    pub(crate) fn add(&mut self, behavior: Behavior, first: Millis) {
        self.clients.push(Client {
            behavior,
            is_connected: false,
            attempt: 0,
            answered: 0,
            first_attempt: first,
        });
        self.schedule(first, Event::Ask(self.clients.len() - 1));
    }

    /// The connections of the first clients end, and these reconnect within `spread_ms`.
    pub(crate) fn drop_connections(&mut self, clients: usize, spread_ms: Millis) {
        let is_other = |event: &Event| match event {
            Event::Ask(client) | Event::GiveUp(client, _) => *client >= clients,
        };
        self.events.retain(|_, event| is_other(event));
        self.arrived.retain(|request| request.client >= clients);
        self.backlog.retain(|request| request.client >= clients);
        for index in 0..clients {
            self.clients[index].is_connected = false;
            self.clients[index].attempt += 1;
            let at = self.now + index as Millis * spread_ms / clients as Millis;
            self.schedule(at, Event::Ask(index));
        }
    }

    /// The node is suspended.
    pub(crate) fn stall(&mut self, ms: Millis) {
        self.now += ms;
    }

    pub(crate) fn run_until(&mut self, end: Millis) {
        while self.now < end {
            let due = self.now + TIMER_MS;
            let turn_ms = self.turn();
            let second = self.now / 1_000;
            let longest = self.longest_turn_ms.entry(second).or_default();
            *longest = (*longest).max(turn_ms);
            self.now = (self.now + turn_ms).max(due);
            self.monitor.note_timer(due, self.now);
            if let Some(admission) = &mut self.admission {
                admission.note_pressure(self.monitor.is_under_pressure(self.now), self.now);
            }
        }
    }

    /// Answers in time per second, over the seconds from `from_s` to `to_s`.
    pub(crate) fn goodput(&self, from_s: u64, to_s: u64) -> f64 {
        let sum: u64 = self.good_answers.range(from_s..to_s).map(|(_, n)| n).sum();
        sum as f64 / (to_s - from_s) as f64
    }

    /// Share of the clients that were answered at all since `answers` was taken.
    pub(crate) fn share_answered_since(&self, answers: &[u64]) -> f64 {
        let answered =
            self.clients.iter().zip(answers).filter(|(client, n)| client.answered > **n).count();
        answered as f64 / self.clients.len() as f64
    }

    pub(crate) fn answers(&self) -> Vec<u64> {
        self.clients.iter().map(|client| client.answered).collect()
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.next_event += 1;
        self.events.insert((at, self.next_event), event);
    }

    /// Plays what clients do up to now.
    fn play_clients(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            let (at, _) = *entry.key();
            if at > self.now {
                return;
            }
            match entry.remove() {
                Event::Ask(index) => self.ask(index, at),
                Event::GiveUp(index, attempt) => self.give_up(index, attempt, at),
            }
        }
    }

    fn ask(&mut self, index: usize, at: Millis) {
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
            // Refused by the kernel.
            client.attempt += 1;
            let retry_at = at + client.behavior.retry_ms;
            return self.try_again(index, retry_at);
        }
        self.schedule(at + client_timeout_ms, Event::GiveUp(index, attempt));
    }

    fn give_up(&mut self, index: usize, attempt: u64, at: Millis) {
        let client = &mut self.clients[index];
        if client.attempt != attempt {
            return;
        }
        client.attempt += 1;
        client.is_connected = false;
        let retry_at = at + client.behavior.retry_ms;
        self.try_again(index, retry_at);
    }

    fn try_again(&mut self, index: usize, at: Millis) {
        let client = &self.clients[index];
        let end = client.behavior.gives_up_after_ms.map(|ms| client.first_attempt + ms);
        if end.is_none_or(|end| at < end) {
            self.schedule(at, Event::Ask(index));
        }
    }

    /// One turn of the event loop; how long it lasts.
    fn turn(&mut self) -> Millis {
        self.play_clients();
        let mut cost_us = 0;
        let mut requests = std::mem::take(&mut self.arrived);
        while let Some(request) = self.backlog.pop_front() {
            requests.push(request);
        }
        for request in requests {
            if request.is_new_connection && self.must_pause() {
                self.backlog.push_back(request);
                continue;
            }
            let class = self.clients[request.client].behavior.class;
            let is_admitted = !request.is_new_connection
                || self.admission.as_mut().is_none_or(|admission| admission.admit(class, self.now));
            // A client that has given up costs as much as one that still waits: the request
            // is read before the end of the connection shows.
            cost_us += match (is_admitted, request.is_new_connection) {
                (false, _) => REJECTION_US,
                (true, true) => NEW_CONNECTION_US,
                (true, false) => KEPT_CONNECTION_US,
            };
            let answered_at = self.now + (cost_us as f64 / US_PER_MS / self.core_share) as Millis;
            self.answer(&request, is_admitted, answered_at);
        }
        (cost_us as f64 / US_PER_MS / self.core_share) as Millis
    }

    fn must_pause(&mut self) -> bool {
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
                self.admission.as_mut().filter(|_| client.behavior.heeds_retry_after)
            {
                let random = (request.client as u32).wrapping_mul(2_654_435_761) >> 8;
                wait_ms = wait_ms.max(Millis::from(admission.retry_after_s(random, self.now)) * 1_000);
            }
            return self.try_again(request.client, at + wait_ms);
        }
        client.is_connected = true;
        client.answered += 1;
        *self.good_answers.entry(at / 1_000).or_default() += 1;
        if let Some(period_ms) = client.behavior.period_ms {
            self.schedule(at + period_ms, Event::Ask(request.client));
        }
    }
}
