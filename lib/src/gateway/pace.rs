//! When the events of a stream came, for the log.

use std::time::Duration;
use std::time::Instant;

/// When the events of a stream came, for the log.
#[derive(Clone, Copy, Debug)]
pub struct StreamTiming {
    /// From the request to the first event.
    pub first_event: Duration,
    /// Longest time from one event to the next.
    pub longest_pause: Duration,
    last_at: Instant,
}

impl StreamTiming {
    /// The first event has come.
    pub fn begin(arrived: Instant, now: Instant) -> StreamTiming {
        let first_event = now.saturating_duration_since(arrived);
        StreamTiming { first_event, longest_pause: Duration::ZERO, last_at: now }
    }

    /// Another event has come.
    pub fn record_event(&mut self, now: Instant) {
        let pause = now.saturating_duration_since(self.last_at);
        self.longest_pause = self.longest_pause.max(pause);
        self.last_at = now;
    }
}
