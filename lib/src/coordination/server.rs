//! State that a pool keeps for one of its backend servers.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rapidhash::v3::rapidhash_v3;

use super::health::Health;
use super::policy::Candidate;
use crate::protocol::ServerId;

/// Age at which a load report has no weight any more.
const REPORT_TTL: Duration = Duration::from_secs(10);
/// Weight of the latest observation in smoothed times.
const SMOOTHING_WEIGHT: f64 = 0.1;

/// Configured and observed state of a backend server.
#[derive(Clone, Debug)]
pub struct ServerSnapshot {
    /// Address.
    pub address: SocketAddr,
    /// Number of requests that it executes at once.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether probes reach it; true before the first probe.
    pub reachable: bool,
    /// Load in the latest report, queue included, and the time it refers to.
    pub report: Option<(u32, Instant)>,
}

pub(super) struct Server {
    pub(super) snapshot: ServerSnapshot,
    pub(super) in_flight: u32,
    other_load: f64,
    other_load_at: Option<Instant>,
    pub(super) health: Health,
    first_byte: Option<Duration>,
    /// Hash of the server's id, for the choice of home servers and for rest periods.
    pub(super) hash: u64,
}

impl Server {
    pub(super) fn new(id: &ServerId, snapshot: ServerSnapshot) -> Server {
        Server {
            snapshot,
            in_flight: 0,
            other_load: 0.0,
            other_load_at: None,
            health: Health::default(),
            first_byte: None,
            hash: rapidhash_v3(id.as_bytes()),
        }
    }

    pub(super) fn load(&self, now: Instant) -> f64 {
        let age = self.other_load_at.map_or(REPORT_TTL, |at| now.saturating_duration_since(at));
        let weight = 1.0 - age.as_secs_f64() / REPORT_TTL.as_secs_f64();
        f64::from(self.in_flight) + self.other_load * weight.max(0.0)
    }

    pub(super) fn usable_slots(&self, now: Instant) -> f64 {
        (f64::from(self.snapshot.slots) * self.health.usable_share(now)).max(1.0)
    }

    pub(super) fn is_available(&self) -> bool {
        !self.snapshot.leaving && self.snapshot.reachable
    }

    /// Describes the server as a candidate for a request.
    pub(super) fn candidate<'a>(&self, id: &'a str, now: Instant) -> Candidate<'a> {
        Candidate {
            server: id,
            hash: self.hash,
            load: self.load(now),
            own: self.in_flight,
            slots: self.usable_slots(now),
            first_byte: self.first_byte,
        }
    }

    /// Records a response.
    pub(super) fn record_response(&mut self, first_byte: Duration, now: Instant) {
        self.health.record_success(now);
        self.first_byte = Some(smooth(self.first_byte, first_byte));
    }

    /// Replaces the configured and observed state.
    pub(super) fn observe(&mut self, snapshot: ServerSnapshot) {
        if let Some((load, at)) = snapshot.report
            && self.other_load_at.is_none_or(|previous| at > previous)
        {
            self.other_load = (f64::from(load) - f64::from(self.in_flight)).max(0.0);
            self.other_load_at = Some(at);
        }
        self.snapshot = snapshot;
    }
}

/// Adds an observation to a smoothed time.
pub(super) fn smooth(previous: Option<Duration>, latest: Duration) -> Duration {
    match previous {
        None => latest,
        Some(previous) => {
            previous.mul_f64(1.0 - SMOOTHING_WEIGHT) + latest.mul_f64(SMOOTHING_WEIGHT)
        }
    }
}
