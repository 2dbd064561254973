//! Delay after which rejected clients should retry.

/// Minimum value of `Retry-After`, in seconds.
const MIN_RETRY_AFTER_S: u32 = 1;

/// Returns the seconds after which a rejected client should retry. The values are spread over
/// `max_s` seconds, so that clients that were rejected together don't retry together. `random`
/// is any random number.
pub fn retry_after_s(max_s: u32, random: u32) -> u32 {
    MIN_RETRY_AFTER_S + random % max_s.max(MIN_RETRY_AFTER_S)
}
