//! Messages in flight between controllers, store, cloud, workers and users, and their delivery.

use super::controllers::{sender_of, zone_of};
use super::network::WORKERS;
use super::settings::Size;
use super::store::PendingWatch;
use super::store_faults::WriteFault;
use super::{Answer, World};
use rand::RngExt;
use woadlever::core::{
    CloudRequest, CloudResponse, HttpRequest, Input, Output, StoreRequest, StoreResponse,
};
use woadlever::wire::peer::Frame;
use woadlever::wire::store::{CompareAndSwap, WatchResponse};
use woadlever::wire::workers::{DirectCommands, WorkerHeartbeat};

/// One-way latency between a controller and the store.
const STORE_LATENCY_MS: u64 = 2;
/// One-way latency between a controller and the cloud.
const CLOUD_LATENCY_MS: u64 = 50;
/// Time after which the caller of a write gives up waiting for an answer that was lost.
const LOST_ANSWER_TIMEOUT_MS: u64 = 2_000;
/// Upper bound (exclusive) of the delay after which the store executes a write whose answer is
/// lost. It is above [`LOST_ANSWER_TIMEOUT_MS`], so that writes also execute after the caller
/// has given up.
const MAX_LOST_WRITE_DELAY_MS: u64 = 8_000;
/// Time that the caller waits for an answer to a watch after the watch has expired.
const WATCH_SLACK_MS: u64 = 3_000;

/// Identifies a call of a controller process to the store or to the cloud.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    pub(super) node: usize,
    pub(super) incarnation: u64,
    pub(super) number: u64,
}

/// How a request reaches the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    Normal,
    /// The request arrives late. Unless the store is down, it executes the request even if it
    /// refuses the node's calls by then or the call exceeds a rate limit. A watch is refused in
    /// these two cases.
    Delayed,
    /// The answer is lost and the caller times out. The store executes the request, unless it is
    /// down, when the request arrives: before the time-out or after it.
    TimedOut,
}

/// A message in flight.
pub enum Event {
    StoreRequest { call: Call, request: StoreRequest, delivery: Delivery },
    StoreResponse { call: Call, response: StoreResponse },
    CloudRequest { call: Call, request: CloudRequest },
    CloudResponse { call: Call, response: CloudResponse },
    Frame { to: usize, incarnation: u64, frame: Frame },
    WorkerHeartbeat { worker: usize, id: u64, node: usize, heartbeat: Box<WorkerHeartbeat> },
    HeartbeatResponse { worker: usize, node: usize, id: u64, answer: Answer },
    DirectCommands { worker: usize, commands: DirectCommands },
    UserAnswer { request: u64, answer: Answer },
}

impl World {
    /// Schedules an event after `delay` ms plus the lag of the receiving node. During a partition
    /// between the zones, events that cross it are held instead.
    pub(super) fn push(&mut self, delay: u64, event: Event) {
        if self.network.partition.is_some() && self.crosses_zones(&event) {
            self.network.partition.get_or_insert_default().push(event);
            return;
        }
        let delay = delay + self.node_lag_ms(&event);
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    /// Whether an event is a message between two zones.
    fn crosses_zones(&self, event: &Event) -> bool {
        match event {
            Event::Frame { to, frame, .. } => {
                sender_of(frame).is_some_and(|from| zone_of(from) != zone_of(*to))
            }
            Event::WorkerHeartbeat { worker, node, .. }
            | Event::HeartbeatResponse { worker, node, .. } => {
                self.workers[*worker].zone != zone_of(*node)
            }
            _ => false,
        }
    }

    /// Returns the additional delay of an event that is addressed to a slow node.
    fn node_lag_ms(&self, event: &Event) -> u64 {
        let node = match event {
            Event::StoreResponse { call, .. } | Event::CloudResponse { call, .. } => &call.node,
            Event::WorkerHeartbeat { node, .. } => node,
            Event::Frame { to, .. } => to,
            _ => return 0,
        };
        self.network.lag.get(node).copied().unwrap_or(0)
    }

    /// Partitions the two zones; messages between them are held.
    pub fn partition_zones(&mut self) {
        self.network.partition = Some(Vec::new());
    }

    /// Heals the partition between the zones; the held messages are delivered in order.
    pub fn heal_zones(&mut self) {
        for event in self.network.partition.take().unwrap_or_default() {
            self.push(1, event);
        }
    }

    /// Carries out an output of a process: sends the message or makes the call.
    pub(super) fn carry_out(&mut self, node: usize, incarnation: u64, output: Output) {
        match output {
            Output::Answer { request_id, answer } => self.send_answer(node, request_id, answer),
            Output::Store { call, request } => {
                self.send_store_request(Call { node, incarnation, number: call }, request);
            }
            Output::Cloud { call, request } => {
                let call = Call { node, incarnation, number: call };
                self.push(CLOUD_LATENCY_MS, Event::CloudRequest { call, request });
            }
            Output::SendFrame { to, frame } => self.send_frame(node, to[1..].parse().unwrap(), frame),
            Output::DirectCommands { addr, commands } => {
                let found = self.workers.iter().position(|worker| worker.name == addr);
                if let Some(worker) = found.filter(|_| !self.network.is_unreachable(node, WORKERS)) {
                    self.push(
                        self.network.direct_commands_ms,
                        Event::DirectCommands { worker, commands },
                    );
                }
            }
            Output::SendCellMessage { cell, message } => {
                self.network.cell_messages.push((cell, *message));
            }
            Output::Reconnect { to } => self.network.reconnects.push((node, to)),
        }
    }

    fn send_answer(&mut self, node: usize, request: u64, answer: Answer) {
        let Some((worker, id)) = self.worker_requests.remove(&(node, request)) else {
            return self.push(1, Event::UserAnswer { request, answer });
        };
        let delay = 1 + self.rng.random_range(0..3);
        if !self.network.lost_replies.contains(&worker) {
            self.push(delay, Event::HeartbeatResponse { worker, node, id, answer });
        }
    }

    fn send_frame(&mut self, from: usize, to: usize, frame: Frame) {
        let Some(process) = &self.controllers[to].process else { return };
        let incarnation = process.incarnation;
        if self.network.is_unreachable(from, to) || self.network.one_way_losses.contains(&(from, to)) {
            return;
        }
        if self.size == Size::Fleet {
            let bytes = bitcode::encode(&frame).len();
            self.network.longest_frame = self.network.longest_frame.max(bytes);
        }
        self.network.frames += 1;
        self.push(self.network.frame_ms, Event::Frame { to, incarnation, frame });
    }

    fn send_store_request(&mut self, call: Call, request: StoreRequest) {
        if let Some(fault) = self.store_faults.fault_of(call.node, &request) {
            let StoreRequest::CompareAndSwap(write) = request else { return };
            return self.fail_write(call, write, fault);
        }
        let is_write = matches!(request, StoreRequest::CompareAndSwap(_));
        let is_timed_out = self.store_faults.lost_answer_share > 0.0
            && is_write
            && self.rng.random_range(0.0..1.0) < self.store_faults.lost_answer_share;
        let slow = self.store_faults.delay_ms_of(call.node, &request, &mut self.rng);
        // The store may still execute a call that has timed out, seconds later.
        let delay = slow
            + if is_timed_out {
                self.rng.random_range(1..MAX_LOST_WRITE_DELAY_MS)
            } else {
                STORE_LATENCY_MS
            };
        if is_timed_out {
            let response = StoreResponse::OutcomeUnknown;
            self.push(LOST_ANSWER_TIMEOUT_MS, Event::StoreResponse { call, response });
        }
        let delivery = match (is_timed_out, slow) {
            (true, _) => Delivery::TimedOut,
            (false, 0) => Delivery::Normal,
            (false, _) => Delivery::Delayed,
        };
        self.push(delay, Event::StoreRequest { call, request, delivery });
    }

    /// Applies the fault chosen for a write; the caller learns only that the outcome is unknown.
    fn fail_write(&mut self, call: Call, write: CompareAndSwap, fault: WriteFault) {
        if fault == WriteFault::Held {
            self.store_faults.held.push(write);
        } else if !self.store.is_down {
            self.store.compare_and_swap(&write);
        }
        let response = StoreResponse::OutcomeUnknown;
        self.push(self.store_faults.timeout_ms, Event::StoreResponse { call, response });
    }

    /// Executes the held writes in order and returns their responses, which reach no controller.
    pub fn apply_late_writes(&mut self) -> Vec<StoreResponse> {
        let late = std::mem::take(&mut self.store_faults.held);
        late.iter().map(|write| self.store.compare_and_swap(write)).collect()
    }

    /// Delivers an event to its recipient.
    pub(super) fn handle(&mut self, event: Event) {
        match event {
            Event::StoreRequest { call, request, delivery } => {
                self.on_store_request(call, request, delivery);
            }
            Event::StoreResponse { call, response } => {
                if self.controllers[call.node].runs(call.incarnation) {
                    self.step(call.node, Input::Store { call: call.number, response });
                }
            }
            Event::CloudRequest { call, request } => {
                let response = self.cloud_response(request);
                self.push(CLOUD_LATENCY_MS, Event::CloudResponse { call, response });
            }
            Event::CloudResponse { call, response } => {
                if self.controllers[call.node].runs(call.incarnation) {
                    self.step(call.node, Input::Cloud { call: call.number, response });
                }
            }
            Event::Frame { to, incarnation, frame } => {
                if self.controllers[to].runs(incarnation) {
                    self.step(to, Input::Frame(frame));
                }
            }
            Event::WorkerHeartbeat { worker, id, node, heartbeat } => {
                if self.controllers[node].process.is_none() {
                    return;
                }
                let request_id = self.users.next_request_id();
                self.worker_requests.insert((node, request_id), (worker, id));
                let request = HttpRequest::WorkerHeartbeat(heartbeat);
                self.step(node, Input::Http { request_id, request });
            }
            Event::HeartbeatResponse { worker, id, node, answer } => {
                match self.remaining_hang_ms(worker) {
                    Some(wait) => self.push(wait, Event::HeartbeatResponse { worker, id, node, answer }),
                    None => self.on_heartbeat_response(worker, id, answer),
                }
            }
            Event::DirectCommands { worker, commands } => match self.remaining_hang_ms(worker) {
                Some(wait) => self.push(wait, Event::DirectCommands { worker, commands }),
                None => self.on_direct_commands(worker, commands),
            },
            Event::UserAnswer { request, answer } => {
                self.check_answer(&answer);
                self.users.answers.insert(request, answer);
            }
        }
    }

    /// Returns how long to wait until a worker no longer hangs; `None` if it doesn't hang.
    fn remaining_hang_ms(&self, worker: usize) -> Option<u64> {
        let wait = self.workers[worker].hung_until.saturating_sub(self.now);
        (wait > 0).then_some(wait + 1)
    }

    fn on_store_request(&mut self, call: Call, request: StoreRequest, delivery: Delivery) {
        self.store.requests += 1;
        let is_refused = self.store.refused_nodes.contains(&call.node)
            || self.store.is_rate_limited(self.now, &request);
        if let StoreRequest::Watch { prefix, since, block_ms } = request {
            if self.store.is_down || is_refused {
                let response = StoreResponse::NotExecuted;
                return self.push(STORE_LATENCY_MS, Event::StoreResponse { call, response });
            }
            let until = self.now + block_ms;
            self.store.watches.push(PendingWatch { call, prefix, since, until });
            return;
        }
        if delivery == Delivery::TimedOut {
            if !self.store.is_down {
                self.store.run(self.now, &request);
            }
            return;
        }
        let response = if self.store.is_down || is_refused && delivery != Delivery::Delayed {
            StoreResponse::NotExecuted
        } else {
            self.store.run(self.now, &request)
        };
        self.push(STORE_LATENCY_MS, Event::StoreResponse { call, response });
    }

    /// Answers the watches that have changes to report or have expired.
    pub(super) fn answer_watches(&mut self) {
        if self.store.is_down {
            return;
        }
        let now = self.now;
        for watch in std::mem::take(&mut self.store.watches) {
            let found = self.store.watch(&watch.prefix, watch.since);
            let nothing = (now >= watch.until).then(|| {
                StoreResponse::Watch(WatchResponse { revision: self.store.revision, events: vec![] })
            });
            let call = watch.call;
            let is_refused = self.store.refused_nodes.contains(&call.node);
            match found.or(nothing) {
                Some(response) if !is_refused => {
                    let late = self.store_faults.slow_watch.get(&call.node).copied().unwrap_or(0);
                    self.push(1 + late, Event::StoreResponse { call, response });
                }
                _ if now > watch.until + WATCH_SLACK_MS => {
                    let response = StoreResponse::OutcomeUnknown;
                    self.push(1, Event::StoreResponse { call, response });
                }
                _ => self.store.watches.push(watch),
            }
        }
    }
}
