//! When clients that are rejected should come back.

/// The shortest time that a client is asked to wait, in seconds.
const MIN_RETRY_AFTER_S: u32 = 1;

/// Seconds until a client that is rejected should come back: spread over `max_s`, so that
/// clients that were rejected together don't come back together.
/// `random` is any random number.
pub fn retry_after_s(max_s: u32, random: u32) -> u32 {
    MIN_RETRY_AFTER_S + random % max_s.max(MIN_RETRY_AFTER_S)
}
