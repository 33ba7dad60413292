//! Limits for cold backend servers.
//!
//! All boxes together must keep to a rate for each cold server, counted over any second. Each box
//! gets a share that is safe without communication.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Window in which requests are counted: a second, and the time by which a send may be delayed.
pub const RATE_WINDOW: Duration = Duration::from_millis(1200);
/// Fraction of the limit that is used, so that boxes which do not know of each other yet stay
/// within it.
const SAFETY_FACTOR: f64 = 0.8;
/// Fraction of the limit that has holders while nobody knows that a server is cold, if there are
/// more boxes than requests; the rest is for what boxes without a share send on old reports.
const HELD_FRACTION: f64 = 0.4;
/// Fraction of the limit that boxes without a share send on average on one report that the server is
/// warm. It leaves room for times in which they send many more.
const UNHELD_FRACTION: f64 = 0.25;

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

impl ColdLimit {
    /// Requests a second of all boxes together.
    pub fn total(&self) -> f64 {
        ((self.rate * self.excess + self.slack) * SAFETY_FACTOR).floor()
    }

    /// Share of the box with rank `rank` among the `sharing_boxes` for the server: an even share, or
    /// one request for each of the first boxes if there are fewer requests than boxes.
    pub fn share(&self, sharing_boxes: usize, rank: usize) -> Share {
        let total = self.total();
        let even_share = (total / sharing_boxes.max(1) as f64).floor();
        if even_share >= 1.0 {
            return Share { cold: even_share as u32, unconfirmed: even_share as u32, total };
        }
        let rank = rank as f64;
        let unconfirmed = u32::from(rank < (total * HELD_FRACTION).floor());
        Share { cold: u32::from(rank < total), unconfirmed, total }
    }
}

/// Share of a box in the requests that a cold server can handle.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// Requests in any second while all boxes know that the server is cold.
    pub cold: u32,
    /// Requests in any second since the server last reported that it is warm.
    pub unconfirmed: u32,
    /// Requests in any second of all boxes together.
    pub total: f64,
}

impl Share {
    /// How long a report of being warm lasts for boxes without a share, at a server that gets `used`
    /// requests a second from all boxes. `None` if a server that is used so little needs no report.
    pub fn report_lifetime(&self, used: f64) -> Option<Duration> {
        let seconds = self.total * UNHELD_FRACTION / used.max(f64::MIN_POSITIVE);
        (seconds < RATE_WINDOW.as_secs_f64()).then(|| Duration::from_secs_f64(seconds))
    }
}

/// Requests a second, if `count` requests are in a [`Window`].
pub fn window_rate(count: usize) -> f64 {
    count as f64 / RATE_WINDOW.as_secs_f64()
}

/// Times of recent requests.
#[derive(Clone, Debug, Default)]
pub struct Window {
    times: VecDeque<Instant>,
}

impl Window {
    /// Records a request.
    pub fn record(&mut self, now: Instant) {
        self.expire(now);
        self.times.push_back(now);
    }

    /// Number of requests in the window.
    pub fn count(&mut self, now: Instant) -> usize {
        self.expire(now);
        self.times.len()
    }

    fn expire(&mut self, now: Instant) {
        while self.times.front().is_some_and(|time| now >= *time + RATE_WINDOW) {
            self.times.pop_front();
        }
    }
}

/// Recent requests of this box to one server, cold or not: it may be cold for a while before this
/// box knows, and the requests of that time count.
#[derive(Clone, Debug)]
pub struct Warmup {
    /// Until when this box has no record of what it sent: it has just started, or the server was
    /// gone.
    unrecorded_until: Option<Instant>,
    reserved: Window,
    sent: Window,
}

impl Warmup {
    /// Creates the record. The box has no record of requests before `unrecorded_until`, its start.
    /// A killed box serves again within half a second. With a full share for each incarnation of a
    /// box, a server that may get 6 requests in a second from all boxes got 7 when the boxes were
    /// killed twice within a second.
    pub fn new(unrecorded_until: Option<Instant>) -> Warmup {
        Warmup { unrecorded_until, reserved: Window::default(), sent: Window::default() }
    }

    /// Whether a share of `share` requests in a second admits another place now.
    pub fn admits_place(&mut self, share: u32, now: Instant) -> bool {
        self.admits_send(share, now) && self.reserved.count(now) < share as usize
    }

    /// Whether a share of `share` requests in a second admits another request now.
    pub fn admits_send(&mut self, share: u32, now: Instant) -> bool {
        self.sent_since(None, now).is_some_and(|sent| sent < share as usize)
    }

    /// Number of requests sent within a second, and not before `since`. `None` if there is no
    /// record of some of that time.
    pub fn sent_since(&mut self, since: Option<Instant>, now: Instant) -> Option<usize> {
        let is_recorded = self
            .unrecorded_until
            .is_none_or(|until| since >= Some(until) || now >= until + RATE_WINDOW);
        self.sent.expire(now);
        let sent = self.sent.times.iter().rev();
        let count = sent.take_while(|time| since.is_none_or(|since| **time >= since)).count();
        is_recorded.then_some(count)
    }

    /// Records that a place for a request is reserved now.
    pub fn record_place(&mut self, now: Instant) {
        self.reserved.record(now);
    }

    /// Records that a request is sent now.
    pub fn record_send(&mut self, now: Instant) {
        self.sent.record(now);
    }
}
