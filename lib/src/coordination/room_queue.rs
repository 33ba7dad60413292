//! Requests of one service that wait at a box until a brittle server has room for them, in the
//! order of their arrival.
//!
//! A request waits only if it is expected to get its turn in time. The others are refused at once,
//! and their callers are asked to retry one after the other, as places become free.

use std::time::Duration;
use std::time::Instant;

/// Weight of the latest request in the mean duration.
const DURATION_WEIGHT: f64 = 0.1;
/// Duration of a request before any has ended.
const DEFAULT_DURATION: Duration = Duration::from_millis(500);
/// Shortest and longest time after which a refused caller is asked to retry.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(10));

/// Requests that wait, and how long they are expected to.
#[derive(Debug, Default)]
pub struct RoomQueue {
    waiting: usize,
    /// Mean time for which a request occupies a place.
    duration: Option<Duration>,
    /// When the last refused caller was asked to retry.
    last_retry_at: Option<Instant>,
}

impl RoomQueue {
    /// Records how long a request occupied its place.
    pub fn record_duration(&mut self, duration: Duration) {
        let mean = self.duration.unwrap_or(duration);
        self.duration =
            Some(mean.mul_f64(1.0 - DURATION_WEIGHT) + duration.mul_f64(DURATION_WEIGHT));
    }

    /// Returns the mean time for which a request occupies a place.
    pub fn duration(&self) -> Duration {
        self.duration.unwrap_or(DEFAULT_DURATION)
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Returns whether a request is expected to get one of this box's `places` within `patience`.
    pub fn admits(&self, places: u32, patience: Duration) -> bool {
        self.interval(places).saturating_mul(self.waiting as u32 + 1) <= patience
    }

    /// Lets a request wait.
    pub fn join(&mut self) {
        self.waiting += 1;
    }

    /// Removes a request that has a place now, or has given up.
    pub fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Returns after which time the next refused caller is asked to retry.
    pub fn retry_after(&mut self, places: u32, now: Instant) -> Duration {
        let from = self.last_retry_at.map_or(now, |last| last.max(now));
        let (shortest, longest) = RETRY_AFTER_RANGE;
        let at = (from + self.interval(places).min(longest)).min(now + longest);
        self.last_retry_at = Some(at);
        at.saturating_duration_since(now).max(shortest)
    }

    /// Mean time from one place that becomes free to the next.
    fn interval(&self, places: u32) -> Duration {
        if places == 0 { RETRY_AFTER_RANGE.1 } else { self.duration() / places }
    }
}
