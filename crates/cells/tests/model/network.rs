//! Model of the links between the origin and the two hosts.

use super::{HOSTS, Model, State, TIMING};
use rand::RngExt;
use woadlever_cells::Millis;
use woadlever_cells::message::HostedPhase;
use woadlever_cells::record::ForwardPhase;

/// Time that a message takes.
const DELAY_MS: Millis = 20;

/// Message of the origin to a host.
#[derive(Debug, Clone)]
pub(crate) struct Offer {
    pub revision: u64,
    pub lease_until_ms: Millis,
    pub job: Option<OfferedJob>,
}

/// The job as the origin lists it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OfferedJob {
    pub epoch: u64,
    pub is_recalled: bool,
}

/// Message of a host to the origin about the job.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Status {
    pub epoch: u64,
    pub phase: HostedPhase,
}

/// A message in flight.
#[derive(Debug)]
struct Delivery<T> {
    at: Millis,
    /// Index of the host that sends or receives the message.
    host: usize,
    message: T,
}

#[derive(Debug, Default)]
pub(crate) struct Network {
    to_hosts: Vec<Delivery<Offer>>,
    to_origin: Vec<Delivery<Option<Status>>>,
    /// Time until which the link between the origin and each host drops new messages.
    pub cut_until: [Millis; 2],
}

/// Removes and returns the messages that arrive now.
fn take_due<T>(deliveries: &mut Vec<Delivery<T>>, now: Millis) -> Vec<Delivery<T>> {
    let all = std::mem::take(deliveries).into_iter();
    let (due, later) = all.partition(|delivery| delivery.at <= now);
    *deliveries = later;
    due
}

impl Model {
    /// Sends the origin's state to both hosts. At random, a second copy arrives much later.
    pub(crate) fn send_offers(&mut self) {
        if self.now < self.origin.down_until {
            return;
        }
        for host in 0..HOSTS.len() {
            let message = self.offer_to(host);
            if self.now >= self.network.cut_until[host] {
                let at = self.now + DELAY_MS;
                self.network.to_hosts.push(Delivery { at, host, message: message.clone() });
            }
            if self.chance(self.fault_rate * 4.0) {
                let at = self.now + self.rng.random_range(1_000..120_000);
                self.network.to_hosts.push(Delivery { at, host, message });
            }
        }
    }

    fn offer_to(&self, host: usize) -> Offer {
        let record = &self.origin.record;
        let forwarding =
            record.forwarding.as_ref().filter(|f| f.is_forwarded() && f.cell == HOSTS[host]);
        let listed = forwarding.filter(|_| record.state == State::Live);
        let job = listed.map(|forwarding| OfferedJob {
            epoch: forwarding.epoch,
            is_recalled: forwarding.phase == ForwardPhase::Recalled,
        });
        let lease_until_ms = TIMING.lease_until_ms(self.now, TIMING.stop_within_ms()).unwrap_or(0);
        Offer { revision: self.origin.revision, lease_until_ms, job }
    }

    /// Sends a host's status to the origin.
    pub(crate) fn send_status(&mut self, host: usize, message: Option<Status>) {
        if self.now >= self.network.cut_until[host] {
            self.network.to_origin.push(Delivery { at: self.now + DELAY_MS, host, message });
        }
    }

    /// Delivers the messages that arrive now.
    pub(crate) fn deliver(&mut self) {
        for Delivery { host, message, .. } in take_due(&mut self.network.to_hosts, self.now) {
            self.hosts[host].receive(message, self.now);
        }
        for Delivery { host, message, .. } in take_due(&mut self.network.to_origin, self.now) {
            self.origin.receive(host, message, self.now);
        }
    }
}
