//! How much a cold backend server may get.
//!
//! All boxes together must keep to a rate for each cold server, counted over
//! any second. Each box keeps to a share that is safe without asking others.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

/// Span over which the rate is counted, longer than a second by what sends may be delayed.
const RATE_WINDOW: Duration = Duration::from_millis(1200);
/// Part of the bound that is used, so that boxes which do not yet know of each other stay within it.
const SAFETY_FACTOR: f64 = 0.8;

/// What all boxes together may send to one cold server in any second.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// Requests a second that a cold server bears.
    pub rate: f64,
    /// How often that rate may be exceeded.
    pub excess: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// Longest time between questions to a server whether it is cold, by one box.
pub const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Shortest such time: some answers' time, so that questions do not fill the server.
pub const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(10);
/// Part of a cold server's rate that may pass between two questions; the rest is for the time
/// that its word takes to all boxes.
const UNOBSERVED_FRACTION: f64 = 0.4;

/// Time between questions to a server that bears `rate` requests a second while it is cold and is
/// used at `used` requests a second by all boxes. At 300 a second, with 150 ms between questions,
/// servers got 20 to 68 requests in the second in which they turned cold, where 17 are allowed.
pub fn probe_interval(rate: f64, used: f64) -> Duration {
    let seconds = rate * UNOBSERVED_FRACTION / used.max(f64::MIN_POSITIVE);
    let longest = MAX_PROBE_INTERVAL.as_secs_f64();
    Duration::from_secs_f64(seconds.min(longest)).max(MIN_PROBE_INTERVAL)
}

impl Bound {
    /// The share of the box that is `rank`th of `sharers` for the server: an even part,
    /// or one request for the first boxes where there is less than one for each.
    pub fn share(&self, sharers: usize, rank: usize) -> u32 {
        let total = ((self.rate * self.excess + self.slack) * SAFETY_FACTOR).floor();
        let even_share = (total / sharers.max(1) as f64).floor();
        if even_share >= 1.0 { even_share as u32 } else { u32::from((rank as f64) < total) }
    }
}

/// Sends to one server, whether it is cold or not: it may be cold for a while before this box
/// hears of it, and what it got until then counts.
#[derive(Clone, Debug)]
pub struct Warmup {
    /// Until then, sends may count that are not known.
    unknown_until: Option<Instant>,
    sent: VecDeque<Instant>,
}

impl Warmup {
    /// What was sent before a moment is not known: the box started then. Boxes that are killed
    /// serve again within half a second; with a share for each life, a server that all boxes may
    /// send 6 requests in a second got 7 when these were killed twice within a second.
    pub fn new(unknown_before: Option<Instant>) -> Warmup {
        let unknown_until = unknown_before.map(|before| before + RATE_WINDOW);
        Warmup { unknown_until, sent: VecDeque::new() }
    }

    /// Whether another request may be sent now under a share of so many in a second.
    pub fn admits(&mut self, share: u32, now: Instant) -> bool {
        self.expire(now);
        self.unknown_until.is_none_or(|until| now >= until) && self.sent.len() < share as usize
    }

    /// Requests a second that were sent lately.
    pub fn sent_per_second(&mut self, now: Instant) -> f64 {
        self.expire(now);
        self.sent.len() as f64 / RATE_WINDOW.as_secs_f64()
    }

    /// A request is sent now.
    pub fn record_send(&mut self, now: Instant) {
        self.expire(now);
        self.sent.push_back(now);
    }

    fn expire(&mut self, now: Instant) {
        while self.sent.front().is_some_and(|sent| now >= *sent + RATE_WINDOW) {
            self.sent.pop_front();
        }
    }
}
