//! Utilization of the servers of a service, reported to boxes of other regions.

use std::time::Duration;
use std::time::Instant;

use super::Placement;
use crate::coordination::candidate::Candidate;
use crate::coordination::loads::Loads;
use crate::coordination::regions::Utilization;
use crate::coordination::throttle::ServiceHash;
use crate::coordination::throttle::Throttles;

/// Assumed time for which a request occupies a slot at a server that sets a rate limit.
const REQUEST_DURATION: Duration = Duration::from_secs(1);

impl Placement {
    /// Incarnations of the servers that may get requests.
    pub fn usable_incarnations(&self) -> impl Iterator<Item = u64> {
        let usable = self.servers.values().filter(|candidate| candidate.is_usable());
        usable.map(|candidate| candidate.incarnation)
    }

    /// Utilization of the servers. A server with a rate limit counts with the slots that this rate
    /// occupies, a brittle one with those that boxes use; a server that is resting, or that this box
    /// can't reach, does not count.
    pub fn utilization(
        &self,
        service: ServiceHash,
        loads: &Loads,
        throttles: &Throttles,
        now: Instant,
    ) -> Utilization {
        let unreported_boxes = self.sharing_boxes.saturating_sub(1 + loads.reporting_boxes());
        let mut utilization = Utilization::default();
        for candidate in self.servers.values() {
            if candidate.is_usable()
                && !candidate.path.is_lost()
                && self.rest_periods.until(candidate.incarnation, now).is_none()
            {
                let slots = f64::from(candidate.state.server.slots);
                let used_slots = throttles
                    .rate(candidate.incarnation)
                    .map(|rate| rate * REQUEST_DURATION.as_secs_f64());
                let room = throttles.room_limit(candidate.capacity(service), now);
                let slots = room.map_or(slots, |room| f64::from(room).min(slots));
                utilization.in_flight +=
                    f64::from(candidate.load(loads, unreported_boxes).in_flight);
                utilization.slots += used_slots.unwrap_or(slots).min(slots);
            }
        }
        utilization
    }

    /// Whether no server currently accepts requests by its own report: each server is leaving,
    /// resting, or has its rate limit used up or its room as a brittle server.
    pub fn is_closed(
        &mut self,
        service: ServiceHash,
        loads: &Loads,
        throttles: &Throttles,
        now: Instant,
    ) -> bool {
        let unreported_boxes = self.sharing_boxes.saturating_sub(1 + loads.reporting_boxes());
        let usage = self.usage(now);
        let (mut resting, mut throttled, mut saturated) = (false, false, false);
        for candidate in self.servers.values_mut().filter(|candidate| candidate.is_usable()) {
            let load = candidate.load(loads, unreported_boxes);
            if self.rest_periods.until(candidate.incarnation, now).is_some() {
                resting = true;
            } else if !candidate.is_healthy(now)
                || candidate.path.is_lost()
                || !candidate.has_capacity(load, usage, now)
            {
                saturated = true;
            } else if throttles.has_capacity(candidate.incarnation, now)
                && throttles
                    .room_limit(candidate.capacity(service), now)
                    .is_none_or(|room| load.in_flight < room)
            {
                return false;
            } else {
                throttled = true;
            }
        }
        let any_leaving = || self.servers.values().any(Candidate::is_leaving);
        // Servers that are only busy may have capacity by the time a request arrives.
        throttled || (!saturated && (resting || any_leaving()))
    }
}
