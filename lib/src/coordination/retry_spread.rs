//! When callers come back who were refused since no server takes anything before some moment.
//!
//! None comes before that moment, and not all at once: a server that was in need a moment ago would be
//! again. As many as come back one after the other are spread over the time in which a server is in full use again.

use std::time::Duration;
use std::time::Instant;

/// Time for each caller.
const SPREAD_PER_CALLER: Duration = Duration::from_millis(10);
/// Longest time over which callers are spread.
const MAX_SPREAD: Duration = Duration::from_secs(1);
/// Multiples of the golden ratio, without their whole parts, are spread evenly however many there are.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// Callers that were told to come back after one moment.
#[derive(Debug, Default)]
pub struct RetrySpread {
    available_at: Option<Instant>,
    callers: u32,
}

impl RetrySpread {
    /// When the next one should come back.
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
