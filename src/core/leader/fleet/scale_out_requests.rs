//! Scale-out requests: what the leader has asked, or is about to ask, the cloud for.
//!
//! A request has a name of its own (the term and its number), which is never used for another
//! one: the cloud answers a repeated name as it answered the first time. So a request whose
//! outcome is unknown is repeated under its name until the cloud has answered it.

use super::InstanceOffer;
use super::offer::InstanceKind;
use crate::core::leader::timer::Timer;
use crate::model::Ms;

/// Instances that one request asks for at the most.
const MAX_INSTANCES_PER_REQUEST: u32 = 50;

/// A request for instances of one offer.
#[derive(Debug)]
pub(in crate::core::leader) struct ScaleOutRequest {
    /// Its number, unique within the term.
    pub(super) number: u64,
    /// What is asked for.
    pub(in crate::core::leader) offer: InstanceOffer,
    /// How many instances.
    pub(in crate::core::leader) count: u32,
    /// When it was first wanted; no instance that it brings is older.
    pub(super) requested_at: Ms,
    is_in_flight: bool,
    /// It was sent at least once with unknown outcome: it must be repeated until the cloud
    /// answers.
    is_outcome_unknown: bool,
    retry: Timer,
}

impl ScaleOutRequest {
    /// Whether it was sent before with unknown outcome.
    pub(super) fn is_outcome_unknown(&self) -> bool {
        self.is_outcome_unknown
    }

    /// It has been sent, and an answer is awaited.
    pub(super) fn mark_sent(&mut self) {
        self.is_in_flight = true;
    }

    /// It is to be sent again at this time.
    pub(super) fn retry_at(&mut self, at: Ms) {
        self.is_in_flight = false;
        self.retry.set(at);
    }

    /// It may have been carried out, so it must not be dropped.
    pub(super) fn mark_outcome_unknown(&mut self) {
        self.is_outcome_unknown = true;
    }

    /// Whether it can still be changed or dropped: the cloud can't have seen it.
    fn is_unsent(&self) -> bool {
        !self.is_in_flight && !self.is_outcome_unknown
    }
}

/// The requests of this term that are not settled, the oldest first.
#[derive(Debug, Default)]
pub(in crate::core::leader) struct ScaleOutRequests {
    requests: Vec<ScaleOutRequest>,
    last_number: u64,
}

impl ScaleOutRequests {
    /// Asks for one more instance of an offer, with an unsent request for the same offer if
    /// there is one. Returns the number of the request.
    pub(super) fn add(&mut self, offer: InstanceOffer, now: Ms) -> u64 {
        let has_capacity = |request: &&mut ScaleOutRequest| {
            request.offer == offer && request.is_unsent() && request.count < MAX_INSTANCES_PER_REQUEST
        };
        if let Some(request) = self.requests.iter_mut().find(has_capacity) {
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

    /// All unsettled requests.
    pub(in crate::core::leader) fn iter(&self) -> impl Iterator<Item = &ScaleOutRequest> {
        self.requests.iter()
    }

    /// The oldest request that is to be sent now.
    pub(super) fn next_due(&mut self, now: Ms) -> Option<&mut ScaleOutRequest> {
        self.requests.iter_mut().find(|request| !request.is_in_flight && request.retry.is_due(now))
    }

    /// The request with this number.
    pub(super) fn get_mut(&mut self, number: u64) -> Option<&mut ScaleOutRequest> {
        self.requests.iter_mut().find(|request| request.number == number)
    }

    /// Removes a request that is settled.
    pub(super) fn remove(&mut self, number: u64) -> Option<ScaleOutRequest> {
        let position = self.requests.iter().position(|request| request.number == number)?;
        Some(self.requests.remove(position))
    }

    /// Drops all requests for an offer that the cloud can't have seen.
    pub(super) fn drop_unsent(&mut self, offer: &InstanceOffer) {
        self.requests.retain(|request| request.offer != *offer || !request.is_unsent());
    }

    /// Number of instances of a kind that are requested.
    pub(super) fn count_instances(&self, kind: InstanceKind) -> u32 {
        let requests = self.requests.iter().filter(|request| request.offer.kind() == kind);
        requests.map(|request| request.count).sum()
    }
}
