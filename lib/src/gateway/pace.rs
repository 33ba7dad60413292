//! When the events of a stream came, for the log.

use std::time::Duration;
use std::time::Instant;

/// When the events of a stream came, for the log.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// From the request to the first event.
    pub first: Duration,
    /// Longest time from one event to the next.
    pub longest_pause: Duration,
    last_at: Instant,
}

impl Pace {
    /// The first event has come.
    pub fn begin(arrived: Instant, now: Instant) -> Pace {
        let first = now.saturating_duration_since(arrived);
        Pace { first, longest_pause: Duration::ZERO, last_at: now }
    }

    /// Another event has come.
    pub fn event(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.last_at);
        self.longest_pause = self.longest_pause.max(pause);
        self.last_at = now;
    }
}
