//! Overflow of requests to other regions, based on the utilization of their servers.
//!
//! Regions are busy at different hours. While one region has more requests than slots and another
//! has spare slots, a share of the requests that may run there is sent there. Each box decides for
//! its own requests and sends only a share of them, so that boxes that act on the same figures
//! don't all move their requests at once.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::protocol::RegionId;

/// Own utilization from which requests are sent to other regions: further requests would have to
/// wait.
const MIN_OWN_UTILIZATION: f64 = 0.8;
/// Minimum difference in utilization between the regions. Sending requests elsewhere costs time and
/// bandwidth.
const MIN_UTILIZATION_GAP: f64 = 0.4;
/// Factor from the difference in utilization to the share that is sent. It is over 1 because
/// requests already sent away no longer count in the own utilization.
const SHARE_GAIN: f64 = 1.5;
/// Maximum share of a box's requests that is sent to other regions.
const MAX_REMOTE_SHARE: f64 = 0.6;
/// Utilization from which the servers of a region count as full: each has nearly as many requests as
/// boxes let wait there.
const FULL_UTILIZATION: f64 = 2.5;
/// Age at which a report is ignored: several reports have been lost by then.
const REPORT_TTL: Duration = Duration::from_secs(2);

/// Requests and slots of the servers of a service in one region.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Utilization {
    /// Requests of all boxes.
    pub in_flight: f64,
    /// Slots of the servers that may get requests.
    pub slots: f64,
}

impl Utilization {
    fn ratio(&self) -> f64 {
        if self.slots > 0.0 { self.in_flight / self.slots } else { f64::INFINITY }
    }
}

/// Reports from other regions.
#[derive(Debug, Default)]
pub struct RegionUtilization {
    reported: HashMap<(u64, RegionId), (Utilization, Instant)>,
    /// Services whose servers in a region accept no requests now, and when the report arrived.
    closed_services: HashMap<RegionId, (Vec<u64>, Instant)>,
}

impl RegionUtilization {
    /// Records the utilization of a service's servers in another region.
    pub fn record_utilization(
        &mut self,
        service: u64,
        region: RegionId,
        utilization: Utilization,
        now: Instant,
    ) {
        self.reported.insert((service, region), (utilization, now));
    }

    /// Records which services have no capacity in another region, because their servers reported
    /// that they accept no requests now.
    pub fn record_closed_services(&mut self, region: RegionId, services: Vec<u64>, now: Instant) {
        self.closed_services.insert(region, (services, now));
    }

    /// Returns whether a service may have capacity in another region, according to the reports.
    /// Requests that would be refused there are not sent: each takes its body over the links of two
    /// boxes.
    pub fn may_have_capacity(&self, service: u64, region: &str, now: Instant) -> bool {
        let reported = self.closed_services.get(region).filter(|(_, at)| now < *at + REPORT_TTL);
        let is_closed = reported.is_some_and(|(services, _)| services.contains(&service));
        let utilization = self.reported.get(&(service, region.to_owned()));
        let is_full = utilization.is_some_and(|(utilization, at)| {
            now < *at + REPORT_TTL && utilization.ratio() >= FULL_UTILIZATION
        });
        !is_closed && !is_full
    }

    /// Returns the region with the lowest utilization for a service, and the share of requests to
    /// send there; `None` if all should stay.
    pub fn overflow_target(
        &self,
        service: u64,
        own: Utilization,
        allowed: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Option<(&str, f64)> {
        if own.ratio() < MIN_OWN_UTILIZATION {
            return None;
        }
        let fresh = self.reported.iter().filter(|((name, region), (_, at))| {
            *name == service && now < *at + REPORT_TTL && allowed(region)
        });
        let (region, other) = fresh
            .map(|((_, region), (utilization, _))| (region, utilization))
            .min_by(|(_, one), (_, other)| one.ratio().total_cmp(&other.ratio()))?;
        if other.ratio() + MIN_UTILIZATION_GAP > own.ratio() {
            return None;
        }
        let balanced = (own.in_flight + other.in_flight) / (own.slots + other.slots);
        let share = if own.slots > 0.0 {
            SHARE_GAIN * (1.0 - balanced / own.ratio())
        } else {
            MAX_REMOTE_SHARE
        };
        Some((region, share.clamp(0.0, MAX_REMOTE_SHARE)))
    }
}
