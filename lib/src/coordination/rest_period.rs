//! Rest periods: times in which a server that refused a request asked this box to send it none.
//!
//! A rest period applies only to the box whose request was refused. Nothing is sent until it ends;
//! then a few requests show whether the server accepts any again, and the number grows quickly. A
//! server that is resting counts as neither dead nor failing.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::interrupted::ServerIncarnation;

/// Maximum length of a rest period; a server that needs more asks again when it gets the next
/// request.
const MAX_REST_PERIOD: Duration = Duration::from_secs(3600);
/// Requests in flight allowed at the end of a rest period. With only one, a lost response would
/// leave the server unused for longer.
const INITIAL_REQUESTS: u32 = 2;
/// Time in which that number doubles, unless the server asks for another rest period: an engine
/// with 64 slots is in full use after a second.
const DOUBLING_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the end of a rest period from which the number of requests is unlimited.
const RAMP_UP: Duration = Duration::from_millis(1500);

/// Rest periods that servers requested from this box, by server incarnation.
#[derive(Debug, Default)]
pub struct RestPeriods {
    until: HashMap<ServerIncarnation, Instant>,
}

impl RestPeriods {
    /// Records a rest period. If one is already recorded, the one that ends last applies.
    pub fn record(&mut self, server: ServerIncarnation, duration: Duration, now: Instant) {
        self.until.retain(|_, until| now < *until + RAMP_UP);
        let until = now + duration.min(MAX_REST_PERIOD);
        let existing = self.until.entry(server).or_insert(until);
        *existing = until.max(*existing);
    }

    /// When a server's rest period ends, if it has not yet.
    pub fn until(&self, server: ServerIncarnation, now: Instant) -> Option<Instant> {
        self.until.get(&server).copied().filter(|until| now < *until)
    }

    /// Whether a server may get another request in addition to the `in_flight` ones of this box.
    pub fn admits(&self, server: ServerIncarnation, in_flight: u32, now: Instant) -> bool {
        let Some(until) = self.until.get(&server) else { return true };
        let Some(since) = now.checked_duration_since(*until) else { return false };
        let doublings = since.as_millis() / DOUBLING_INTERVAL.as_millis();
        since >= RAMP_UP || in_flight < INITIAL_REQUESTS << doublings
    }
}
