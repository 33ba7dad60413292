//! How full the servers of a service are, for boxes of other regions.

use std::time::Duration;
use std::time::Instant;

use super::Placement;
use crate::coordination::loads::Loads;
use crate::coordination::regions::Fullness;
use crate::coordination::throttle::Throttles;

/// Time that a request is taken to keep a slot busy at a server that names a rate.
const LONGEST: Duration = Duration::from_secs(1);

impl Placement {
    /// The lives of the servers that may get work.
    pub fn lives(&self) -> impl Iterator<Item = u64> {
        let usable = self.servers.values().filter(|candidate| candidate.known.usable);
        usable.map(|candidate| candidate.life)
    }

    /// How full the servers are. One that names a rate counts with the slots that it keeps busy.
    pub fn fullness(&self, loads: &Loads, throttles: &Throttles) -> Fullness {
        let unheard = self.sharers.saturating_sub(1 + loads.heard());
        let mut fullness = Fullness::default();
        for candidate in self.servers.values() {
            if candidate.known.usable {
                let slots = f64::from(candidate.known.server.slots);
                let busy = throttles.rate(candidate.life).map(|rate| rate * LONGEST.as_secs_f64());
                fullness.in_flight += f64::from(candidate.load(loads, unheard).in_flight);
                fullness.slots += busy.unwrap_or(slots).min(slots);
            }
        }
        fullness
    }

    /// Whether servers name rates, have nothing left of them, and no other has room.
    pub fn is_throttled(&mut self, loads: &Loads, throttles: &Throttles, now: Instant) -> bool {
        let unheard = self.sharers.saturating_sub(1 + loads.heard());
        let mut throttled = false;
        for candidate in self.servers.values_mut().filter(|candidate| candidate.known.usable) {
            let load = candidate.load(loads, unheard);
            if candidate.is_sound(now) && candidate.has_room(load, false, now) {
                if throttles.has_left(candidate.life, now) {
                    return false;
                }
                throttled = true;
            }
        }
        throttled
    }
}
