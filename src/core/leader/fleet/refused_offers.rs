//! Offers that the cloud has refused of late. They are not requested again until a backoff has
//! passed.

use super::InstanceOffer;
use crate::model::Ms;
use rustc_hash::FxHashMap;

/// Backoff after a first refusal; it doubles with each further one.
const INITIAL_BACKOFF_MS: Ms = 5_000;
/// Longest backoff.
const MAX_BACKOFF_MS: Ms = 15_000;

/// How long an offer is left alone.
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

    /// Begins the backoff of an offer, or a longer one if it was refused before.
    pub(super) fn record_refusal(&mut self, offer: &InstanceOffer, now: Ms) {
        let previous = self.backoffs.get(offer);
        let duration =
            previous.map_or(INITIAL_BACKOFF_MS, |previous| (previous.duration * 2).min(MAX_BACKOFF_MS));
        self.backoffs.insert(offer.clone(), Backoff { until: now + duration, duration });
    }

    /// Forgets the refusals of an offer that the cloud has met in full.
    pub(super) fn clear(&mut self, offer: &InstanceOffer) {
        self.backoffs.remove(offer);
    }
}
