//! Limits for cold backend servers.
//!
//! All boxes together must keep to a rate for each cold server, counted over any second. Each box
//! gets a share that is safe without communication.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Window in which requests are counted: a second, and the time by which a send may be delayed.
const RATE_WINDOW: Duration = Duration::from_millis(1200);
/// Fraction of the limit that is used, so that boxes which do not know of each other yet stay
/// within it.
const SAFETY_FACTOR: f64 = 0.8;

/// Limit for the requests of all boxes to one cold server in any second.
#[derive(Clone, Copy, Debug)]
pub struct ColdLimit {
    /// Requests a second that a cold server can handle.
    pub rate: f64,
    /// Factor by which that rate may be exceeded.
    pub excess: f64,
    /// Number of requests that are allowed in addition.
    pub slack: f64,
}

/// Maximum interval between probes of one box that query whether a server is cold.
pub const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Minimum interval between these probes: the time of several responses, so that probes do not
/// occupy the server.
pub const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(10);
/// Fraction of a cold server's rate that may be sent between two probes; the rest is for the time
/// until all boxes know the result.
const UNOBSERVED_FRACTION: f64 = 0.4;

/// Interval between probes of a server that can handle `rate` requests a second while it is cold
/// and gets `used` requests a second from all boxes. At 300 a second and an interval of 150 ms,
/// servers got 20 to 68 requests in the second in which they turned cold, where 17 are allowed.
pub fn probe_interval(rate: f64, used: f64) -> Duration {
    let seconds = rate * UNOBSERVED_FRACTION / used.max(f64::MIN_POSITIVE);
    let longest = MAX_PROBE_INTERVAL.as_secs_f64();
    Duration::from_secs_f64(seconds.min(longest)).max(MIN_PROBE_INTERVAL)
}

impl ColdLimit {
    /// Requests a second of all boxes together.
    pub fn total(&self) -> f64 {
        ((self.rate * self.excess + self.slack) * SAFETY_FACTOR).floor()
    }

    /// Share, in requests a second, of the box with rank `rank` among the `sharing_boxes` for the
    /// server: an even share, or one request for each of the first boxes if there are fewer
    /// requests than boxes.
    pub fn share(&self, sharing_boxes: usize, rank: usize) -> u32 {
        let total = self.total();
        let even_share = (total / sharing_boxes.max(1) as f64).floor();
        if even_share >= 1.0 { even_share as u32 } else { u32::from((rank as f64) < total) }
    }
}

/// Recent requests to one server, cold or not: it may be cold for a while before this box knows,
/// and the requests of that time count.
#[derive(Clone, Debug)]
pub struct Warmup {
    /// Until when requests may count that this box sent before its start and has no record of.
    unknown_until: Option<Instant>,
    reserved: VecDeque<Instant>,
    sent: VecDeque<Instant>,
}

impl Warmup {
    /// Creates the record. The box has no record of requests before `unknown_before`, its start. A
    /// killed box serves again within half a second. With a full share for each incarnation of a
    /// box, a server that may get 6 requests in a second from all boxes got 7 when the boxes were
    /// killed twice within a second.
    pub fn new(unknown_before: Option<Instant>) -> Warmup {
        let unknown_until = unknown_before.map(|before| before + RATE_WINDOW);
        Warmup { unknown_until, reserved: VecDeque::new(), sent: VecDeque::new() }
    }

    /// Whether a share of `share` requests in a second admits another place now.
    pub fn admits_place(&mut self, share: u32, now: Instant) -> bool {
        self.admits_send(share, now) && self.reserved.len() < share as usize
    }

    /// Whether a share of `share` requests in a second admits another request now.
    pub fn admits_send(&mut self, share: u32, now: Instant) -> bool {
        self.expire(now);
        self.unknown_until.is_none_or(|until| now >= until) && self.sent.len() < share as usize
    }

    /// Number of recent requests since an instant.
    pub fn sent_since(&mut self, since: Option<Instant>, now: Instant) -> usize {
        self.expire(now);
        self.sent.iter().filter(|sent| since.is_none_or(|since| **sent > since)).count()
    }

    /// Recent requests a second.
    pub fn sent_per_second(&mut self, now: Instant) -> f64 {
        self.expire(now);
        self.sent.len() as f64 / RATE_WINDOW.as_secs_f64()
    }

    /// Records that a place for a request is reserved now.
    pub fn record_place(&mut self, now: Instant) {
        self.expire(now);
        self.reserved.push_back(now);
    }

    /// Records that a request is sent now.
    pub fn record_send(&mut self, now: Instant) {
        self.expire(now);
        self.sent.push_back(now);
    }

    fn expire(&mut self, now: Instant) {
        for times in [&mut self.reserved, &mut self.sent] {
            while times.front().is_some_and(|time| now >= *time + RATE_WINDOW) {
                times.pop_front();
            }
        }
    }
}
