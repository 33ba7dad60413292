//! A smoothed rate.

use std::time::Duration;
use std::time::Instant;

/// Least part of a smoothed rate that a young box's figure is scaled up from.
const MIN_OBSERVED_WEIGHT: f64 = 0.1;

/// A smoothed rate: each unit counts with a weight that decays, and once in all.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    per_second: f64,
    smoothing: Duration,
    started_at: Instant,
    at: Instant,
}

impl Rate {
    /// Nothing yet.
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

    /// The same, reckoned with the time since it began as if it had been as long as the smoothing.
    pub fn bias_corrected(self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.started_at).as_secs_f64();
        let observed_weight = 1.0 - (-age / self.smoothing.as_secs_f64()).exp();
        self.get(now) / observed_weight.max(MIN_OBSERVED_WEIGHT)
    }
}
