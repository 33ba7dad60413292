//! Exponentially smoothed rate.

use std::time::Duration;
use std::time::Instant;

/// Lower limit of the divisor in [`Rate::bias_corrected`], so that a rate observed only for an
/// instant is not extrapolated without bound.
const MIN_OBSERVED_WEIGHT: f64 = 0.1;

/// Exponentially smoothed rate: the weight of each unit decays with its age, and the integral of
/// that weight over time is one.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    per_second: f64,
    smoothing: Duration,
    started_at: Instant,
    at: Instant,
}

impl Rate {
    /// Creates a rate of 0.
    pub fn new(smoothing: Duration, now: Instant) -> Rate {
        Rate { per_second: 0.0, smoothing, started_at: now, at: now }
    }

    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.per_second *= (-elapsed / self.smoothing.as_secs_f64()).exp();
        self.at = self.at.max(now);
    }

    /// Adds units at a moment.
    pub fn add(&mut self, units: f64, now: Instant) {
        self.decay(now);
        self.per_second += units / self.smoothing.as_secs_f64();
    }

    /// Units a second.
    pub fn get(mut self, now: Instant) -> f64 {
        self.decay(now);
        self.per_second
    }

    /// Units a second, corrected for observation times shorter than the smoothing time.
    pub fn bias_corrected(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started_at).as_secs_f64();
        let observed_weight = 1.0 - (-age / self.smoothing.as_secs_f64()).exp();
        self.get(now) / observed_weight.max(MIN_OBSERVED_WEIGHT)
    }
}
