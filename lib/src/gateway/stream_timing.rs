//! Times at which the events of a stream arrived, for the log.

use std::time::Duration;
use std::time::Instant;

/// Times at which the events of a stream arrived.
#[derive(Clone, Copy, Debug)]
pub struct StreamTiming {
    /// From the request to the first event.
    pub first_event: Duration,
    /// Longest time between two events.
    pub longest_pause: Duration,
    last_at: Instant,
}

impl StreamTiming {
    /// Records the first event.
    pub fn begin(arrived: Instant, now: Instant) -> StreamTiming {
        let first_event = now.saturating_duration_since(arrived);
        StreamTiming { first_event, longest_pause: Duration::ZERO, last_at: now }
    }

    /// Records another event.
    pub fn record_event(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.last_at);
        self.longest_pause = self.longest_pause.max(pause);
        self.last_at = now;
    }
}
