//! Offers that the cloud has refused recently. They are not requested again until a backoff has
//! passed.

use super::InstanceOffer;
use crate::model::Ms;
use rustc_hash::FxHashMap;

/// Backoff after the first refusal. It doubles with each further refusal.
const INITIAL_BACKOFF_MS: Ms = 5_000;
/// Maximum backoff.
const MAX_BACKOFF_MS: Ms = 15_000;

/// The period during which a refused offer is not requested.
#[derive(Debug, Clone, Copy)]
struct Backoff {
    until: Ms,
    duration: Ms,
}

/// The refused offers, each with its backoff.
#[derive(Debug, Default)]
pub(in crate::core::leader) struct RefusedOffers {
    backoffs: FxHashMap<InstanceOffer, Backoff>,
}

impl RefusedOffers {
    /// Whether the offer must not be requested at this time.
    pub(in crate::core::leader) fn is_refused(&self, offer: &InstanceOffer, now: Ms) -> bool {
        self.backoffs.get(offer).is_some_and(|backoff| backoff.until > now)
    }

    /// Starts the backoff of an offer, with a longer duration if it was refused before.
    pub(super) fn record_refusal(&mut self, offer: &InstanceOffer, now: Ms) {
        let previous = self.backoffs.get(offer);
        let duration =
            previous.map_or(INITIAL_BACKOFF_MS, |previous| (previous.duration * 2).min(MAX_BACKOFF_MS));
        self.backoffs.insert(offer.clone(), Backoff { until: now + duration, duration });
    }

    /// Clears the refusals of an offer after the cloud has fulfilled a request for it completely.
    pub(super) fn clear(&mut self, offer: &InstanceOffer) {
        self.backoffs.remove(offer);
    }
}
