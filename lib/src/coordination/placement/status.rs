//! State that servers report about themselves: leaving, resting, or replaced by another instance.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::Place;
use super::Placement;

impl Placement {
    /// Whether the server of a place still accepts requests. Reports of the server and changes in
    /// the store after the choice are taken into account until the request is sent.
    pub fn still_admits(&self, place: &Place, now: Instant) -> bool {
        let Some(candidate) = self.servers.get(&place.server) else { return false };
        let is_resting = self.rest_periods.until(place.incarnation, now).is_some();
        candidate.incarnation == place.incarnation && candidate.is_usable() && !is_resting
    }

    /// Records the rest period that a server requested from this box. Returns when it ends.
    pub fn record_rest_period(
        &mut self,
        server: u64,
        duration: Duration,
        now: Instant,
    ) -> Option<Instant> {
        self.rest_periods.record(server, duration, now);
        self.rest_periods.until(server, now)
    }

    /// Number of servers that are resting.
    pub fn resting(&self, now: Instant) -> usize {
        let incarnations = self.servers.values().map(|candidate| candidate.incarnation);
        incarnations
            .filter(|incarnation| self.rest_periods.until(*incarnation, now).is_some())
            .count()
    }

    /// Number of usable servers that failed recently, and number of usable servers.
    pub fn failing(&self, now: Instant) -> (usize, usize) {
        let usable = self.servers.values().filter(|candidate| candidate.is_usable());
        let failing = usable.clone().filter(|candidate| !candidate.is_healthy(now)).count();
        (failing, usable.count())
    }

    /// Retry delay of the next caller that finds all servers resting until `until`.
    pub fn retry_after(&mut self, until: Instant, now: Instant) -> Duration {
        self.retry_spread.retry_after(until, now)
    }

    /// Updates which servers have announced that they are leaving.
    pub fn set_leaving(&mut self, is_leaving: impl Fn(u64) -> bool) {
        for candidate in self.servers.values_mut() {
            candidate.set_leaving(is_leaving(candidate.incarnation));
        }
    }

    /// Records that another instance has a server's address, unless the server has moved since.
    pub fn mark_replaced(&mut self, server: &str, address: SocketAddr) {
        if let Some(candidate) = self.servers.get_mut(server)
            && candidate.state.server.address == address
        {
            candidate.mark_replaced();
        }
    }
}
