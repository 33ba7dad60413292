//! Retry times for callers that were refused because no server accepts requests until a certain
//! moment.
//!
//! No caller retries before that moment, and not all retry at once, since that would overload a
//! server that has only just recovered. Consecutive callers are spread over the time in which the
//! server returns to full use.

use std::time::Duration;
use std::time::Instant;

/// Spread for each caller.
const SPREAD_PER_CALLER: Duration = Duration::from_millis(10);
/// Maximum spread.
const MAX_SPREAD: Duration = Duration::from_secs(1);
/// Fractional parts of multiples of the golden ratio are evenly distributed, however many there
/// are.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// Callers whose retry delay ends after the same moment.
#[derive(Debug, Default)]
pub struct RetrySpread {
    available_at: Option<Instant>,
    callers: u32,
}

impl RetrySpread {
    /// Retry delay of the next caller.
    pub fn retry_after(&mut self, available_at: Instant, now: Instant) -> Duration {
        if self.available_at != Some(available_at) {
            *self = RetrySpread { available_at: Some(available_at), callers: 0 };
        }
        self.callers = self.callers.saturating_add(1);
        let spread = SPREAD_PER_CALLER.saturating_mul(self.callers).min(MAX_SPREAD);
        let fraction = (f64::from(self.callers) * GOLDEN_RATIO).fract();
        (available_at + spread.mul_f64(fraction)).saturating_duration_since(now)
    }
}
