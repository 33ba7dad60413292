//! How full the servers of other regions are, and what part of a service's
//! requests should go there.
//!
//! Regions are busy at different hours. While one has more requests than slots
//! and another has slots to spare, some of what may run there goes there. Each
//! box decides for its own requests, by a part of them: boxes that act on the
//! same figures do not all move at once.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::protocol::RegionId;

/// Requests for each slot from which others would have to wait.
const BUSY: f64 = 0.8;
/// How much less full another region has to be: the way there costs time and bytes.
const MARGIN: f64 = 0.4;
/// How strongly a part answers to the difference; what has been sent away no longer shows here.
const GAIN: f64 = 1.5;
/// Most of a box's requests that go elsewhere.
const MOST: f64 = 0.6;
/// Age at which a word no longer counts: several have been lost by then.
const LIFE: Duration = Duration::from_secs(2);

/// Requests on the servers of a service in one region, against their slots.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Utilization {
    /// Requests of all boxes.
    pub in_flight: f64,
    /// Slots of the servers that may get work.
    pub slots: f64,
}

impl Utilization {
    fn ratio(&self) -> f64 {
        if self.slots > 0.0 { self.in_flight / self.slots } else { f64::INFINITY }
    }
}

/// What was heard of other regions.
#[derive(Debug, Default)]
pub struct RegionUtilization {
    heard: HashMap<(u64, RegionId), (Utilization, Instant)>,
    /// Services whose servers in a region take nothing now, and when that was heard.
    closed: HashMap<RegionId, (Vec<u64>, Instant)>,
}

impl RegionUtilization {
    /// A box says how full the servers of a service are in its region.
    pub fn record_utilization(
        &mut self,
        service: u64,
        region: RegionId,
        fullness: Utilization,
        now: Instant,
    ) {
        self.heard.insert((service, region), (fullness, now));
    }

    /// A box says which services have no room in its region, since their servers take nothing now by
    /// their own word.
    pub fn record_closed_services(&mut self, region: RegionId, services: Vec<u64>, now: Instant) {
        self.closed.insert(region, (services, now));
    }

    /// Whether a service may have room in another region, as far as heard. Prompts that would be refused there
    /// after a way of 110 ms are not sent.
    pub fn may_have_room(&self, service: u64, region: &str, now: Instant) -> bool {
        let heard = self.closed.get(region).filter(|(_, at)| now < *at + LIFE);
        heard.is_none_or(|(services, _)| !services.contains(&service))
    }

    /// The region that has most room for a service, and the part of the requests that should
    /// go there; `None` if they should stay.
    pub fn overflow_target(
        &self,
        service: u64,
        own: Utilization,
        allowed: impl Fn(&str) -> bool,
        now: Instant,
    ) -> Option<(&str, f64)> {
        if own.ratio() < BUSY {
            return None;
        }
        let fresh = self.heard.iter().filter(|((name, region), (_, at))| {
            *name == service && now < *at + LIFE && allowed(region)
        });
        let (region, other) = fresh
            .map(|((_, region), (fullness, _))| (region, fullness))
            .min_by(|(_, one), (_, other)| one.ratio().total_cmp(&other.ratio()))?;
        if other.ratio() + MARGIN > own.ratio() {
            return None;
        }
        let even = (own.in_flight + other.in_flight) / (own.slots + other.slots);
        let part = if own.slots > 0.0 { GAIN * (1.0 - even / own.ratio()) } else { MOST };
        Some((region, part.clamp(0.0, MOST)))
    }
}
