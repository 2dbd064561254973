//! A token bucket, with which this node keeps within a rate limit.

use crate::model::Ms;

/// Tokens that are refilled at a constant rate up to the burst size.
#[derive(Debug)]
pub struct TokenBucket {
    rate_per_s: f64,
    tokens: f64,
    burst: f64,
    refilled_at: Ms,
}

impl TokenBucket {
    /// Creates a full bucket of `burst` tokens that is refilled at `rate_per_s`.
    pub fn new(rate_per_s: f64, burst: f64, now: Ms) -> TokenBucket {
        TokenBucket { rate_per_s, tokens: burst, burst, refilled_at: now }
    }

    fn refill(&mut self, now: Ms) {
        let refilled = self.rate_per_s * (now - self.refilled_at) as f64 / 1000.0;
        self.tokens = (self.tokens + refilled).min(self.burst);
        self.refilled_at = now;
    }

    /// Whether `count` tokens, or a full burst if that is less, are available now.
    pub fn has_tokens(&mut self, now: Ms, count: f64) -> bool {
        self.refill(now);
        self.tokens >= count.min(self.burst)
    }

    /// Takes `count` tokens. The balance may become negative, but by no more than one burst:
    /// otherwise the writes that are rejected and repeated during an outage would add up to
    /// minutes in which nothing may be written.
    pub fn take(&mut self, now: Ms, count: f64) {
        self.refill(now);
        self.tokens = (self.tokens - count).max(-self.burst);
    }
}
