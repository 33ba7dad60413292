//! How full the servers of a service are, for boxes of other regions.

use std::time::Duration;
use std::time::Instant;

use super::Placement;
use crate::coordination::candidate::Candidate;
use crate::coordination::loads::Loads;
use crate::coordination::regions::Utilization;
use crate::coordination::throttle::Throttles;

/// Time that a request is taken to keep a slot busy at a server that names a rate.
const LONGEST: Duration = Duration::from_secs(1);

impl Placement {
    /// The lives of the servers that may get work.
    pub fn lives(&self) -> impl Iterator<Item = u64> {
        let usable = self.servers.values().filter(|candidate| candidate.is_usable());
        usable.map(|candidate| candidate.life)
    }

    /// How full the servers are. One that names a rate counts with the slots that it keeps busy, one that rests
    /// with none.
    pub fn fullness(&self, loads: &Loads, throttles: &Throttles, now: Instant) -> Utilization {
        let unheard = self.sharers.saturating_sub(1 + loads.heard());
        let mut fullness = Utilization::default();
        for candidate in self.servers.values() {
            if candidate.is_usable() && self.rests.until(candidate.life, now).is_none() {
                let slots = f64::from(candidate.known.server.slots);
                let busy = throttles.rate(candidate.life).map(|rate| rate * LONGEST.as_secs_f64());
                fullness.in_flight += f64::from(candidate.load(loads, unheard).in_flight);
                fullness.slots += busy.unwrap_or(slots).min(slots);
            }
        }
        fullness
    }

    /// Whether no server takes anything now by its own word: it leaves, rests, or names a rate of which nothing is
    /// left.
    pub fn is_closed(&mut self, loads: &Loads, throttles: &Throttles, now: Instant) -> bool {
        let unheard = self.sharers.saturating_sub(1 + loads.heard());
        let (mut resting, mut throttled, mut busy) = (false, false, false);
        for candidate in self.servers.values_mut().filter(|candidate| candidate.is_usable()) {
            let load = candidate.load(loads, unheard);
            if self.rests.until(candidate.life, now).is_some() {
                resting = true;
            } else if !candidate.is_sound(now) || !candidate.has_room(load, false, now) {
                busy = true;
            } else if throttles.has_capacity(candidate.life, now) {
                return false;
            } else {
                throttled = true;
            }
        }
        let leaving = || self.servers.values().any(Candidate::is_leaving);
        // Servers that are only busy may have room by the time that a request arrives.
        throttled || (!busy && (resting || leaving()))
    }
}
