//! Servers that turned a request away and asked for rest.
//!
//! A rest concerns the box that was turned away, and nobody else. Until it is over nothing is sent; then a few
//! requests show whether the server takes any again, and soon all may go there. A server that rests is neither dead nor
//! failing.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::interrupted::ServerIncarnation;

/// Longest rest: a longer one is asked for again by whatever is sent after it.
const MAX_BACKOFF: Duration = Duration::from_secs(3600);
/// Requests under way at the end of a rest. One whose answer is lost would leave the server unused for longer.
const INITIAL_REQUESTS: u32 = 2;
/// Time in which that doubles, unless the server asks for rest again: an engine with 64 slots is in full use after a
/// second.
const DOUBLING_INTERVAL: Duration = Duration::from_millis(200);
/// Time after a rest from which it no longer counts.
const RAMP_UP: Duration = Duration::from_millis(1500);

/// The rests that servers asked this box for, by their lives.
#[derive(Debug, Default)]
pub struct Backoffs {
    until: HashMap<ServerIncarnation, Instant>,
}

impl Backoffs {
    /// A server asks for rest. Of several rests, the one that ends last counts.
    pub fn record(&mut self, server: ServerIncarnation, duration: Duration, now: Instant) {
        self.until.retain(|_, until| now < *until + RAMP_UP);
        let until = now + duration.min(MAX_BACKOFF);
        let existing = self.until.entry(server).or_insert(until);
        *existing = until.max(*existing);
    }

    /// Until when a server rests, if it does.
    pub fn until(&self, server: ServerIncarnation, now: Instant) -> Option<Instant> {
        self.until.get(&server).copied().filter(|until| now < *until)
    }

    /// Whether a server may get one more request besides those that this box has there.
    pub fn admits(&self, server: ServerIncarnation, in_flight: u32, now: Instant) -> bool {
        let Some(until) = self.until.get(&server) else { return true };
        let Some(since) = now.checked_duration_since(*until) else { return false };
        let doublings = since.as_millis() / DOUBLING_INTERVAL.as_millis();
        since >= RAMP_UP || in_flight < INITIAL_REQUESTS << doublings
    }
}
