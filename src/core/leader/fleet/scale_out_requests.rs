//! Scale-out requests: instances that the leader has requested, or is about to request, from the
//! cloud.
//!
//! Each request has a unique name, made of the term and its number, that serves as an idempotency
//! key: the cloud answers a repeated name as it answered the first time. So a request whose
//! outcome is unknown is repeated under its name until the cloud has answered it.

use super::InstanceOffer;
use super::offer::InstanceKind;
use crate::core::leader::timer::Timer;
use crate::model::Ms;

/// Maximum number of instances in one request.
const MAX_INSTANCES_PER_REQUEST: u32 = 50;

/// A request for instances of one offer.
#[derive(Debug)]
pub(in crate::core::leader) struct ScaleOutRequest {
    /// Number of the request, unique within the term.
    pub(super) number: u64,
    /// The requested offer.
    pub(in crate::core::leader) offer: InstanceOffer,
    /// Number of requested instances.
    pub(in crate::core::leader) count: u32,
    /// When the request was added; no instance that it creates is older.
    pub(super) requested_at: Ms,
    is_in_flight: bool,
    /// Whether it was sent at least once with unknown outcome. It must then be repeated until the
    /// cloud answers.
    is_outcome_unknown: bool,
    retry: Timer,
}

impl ScaleOutRequest {
    /// Whether it was sent before with unknown outcome.
    pub(super) fn is_outcome_unknown(&self) -> bool {
        self.is_outcome_unknown
    }

    /// Marks the request as in flight.
    pub(super) fn mark_sent(&mut self) {
        self.is_in_flight = true;
    }

    /// Ends the call in flight and schedules a retry at this time.
    pub(super) fn retry_at(&mut self, at: Ms) {
        self.is_in_flight = false;
        self.retry.set(at);
    }

    /// Marks that the cloud may have executed the request, so that it is not dropped.
    pub(super) fn mark_outcome_unknown(&mut self) {
        self.is_outcome_unknown = true;
    }

    /// Whether the cloud can't have received the request, so that it can still be changed or
    /// dropped.
    fn is_unsent(&self) -> bool {
        !self.is_in_flight && !self.is_outcome_unknown
    }
}

/// The unsettled requests of this term, the oldest first.
#[derive(Debug, Default)]
pub(in crate::core::leader) struct ScaleOutRequests {
    requests: Vec<ScaleOutRequest>,
    last_number: u64,
}

impl ScaleOutRequests {
    /// Requests one more instance of an offer: adds it to an unsent request for the same offer if
    /// one has room for it, or else to a new one. Returns the number of the request.
    pub(super) fn add(&mut self, offer: InstanceOffer, now: Ms) -> u64 {
        let has_room = |request: &&mut ScaleOutRequest| {
            request.offer == offer && request.is_unsent() && request.count < MAX_INSTANCES_PER_REQUEST
        };
        if let Some(request) = self.requests.iter_mut().find(has_room) {
            request.count += 1;
            return request.number;
        }
        self.last_number += 1;
        self.requests.push(ScaleOutRequest {
            number: self.last_number,
            offer,
            count: 1,
            requested_at: now,
            is_in_flight: false,
            is_outcome_unknown: false,
            retry: Timer::default(),
        });
        self.last_number
    }

    /// Returns all unsettled requests.
    pub(in crate::core::leader) fn iter(&self) -> impl Iterator<Item = &ScaleOutRequest> {
        self.requests.iter()
    }

    /// Returns the oldest request that is due to be sent.
    pub(super) fn next_due(&mut self, now: Ms) -> Option<&mut ScaleOutRequest> {
        self.requests.iter_mut().find(|request| !request.is_in_flight && request.retry.is_due(now))
    }

    /// Returns the request with this number.
    pub(super) fn get_mut(&mut self, number: u64) -> Option<&mut ScaleOutRequest> {
        self.requests.iter_mut().find(|request| request.number == number)
    }

    /// Removes a request that is settled.
    pub(super) fn remove(&mut self, number: u64) -> Option<ScaleOutRequest> {
        let position = self.requests.iter().position(|request| request.number == number)?;
        Some(self.requests.remove(position))
    }

    /// Drops all requests for an offer that the cloud can't have received.
    pub(super) fn drop_unsent(&mut self, offer: &InstanceOffer) {
        self.requests.retain(|request| request.offer != *offer || !request.is_unsent());
    }

    /// Number of requested instances of a kind.
    pub(super) fn count_instances(&self, kind: InstanceKind) -> u32 {
        let requests = self.requests.iter().filter(|request| request.offer.kind() == kind);
        requests.map(|request| request.count).sum()
    }
}
