//! What a box knows about whether a server is cold, and whether it may send a request there.
//!
//! A server may turn cold at any moment, and neither the store nor another box need know: only the
//! server does. A report of the server that it is warm therefore covers few requests of each box:
//! its share of those that a cold server can handle. Whenever the server turns cold after its last
//! report, it gets no more than these shares before all boxes know. A box that has used up its
//! share queries the server, and its answer is reported to the other boxes of the region. Servers
//! that are used at less than their limit while cold are not queried.

use std::time::Duration;
use std::time::Instant;

use super::warmup;
use super::warmup::RATE_WINDOW;
use super::warmup::Share;
use super::warmup::Warmup;

/// How long a report is repeated to other boxes.
const REPORT_RETENTION: Duration = Duration::from_millis(600);
/// Time without an answer to a query from which a server counts as slow to answer.
const SLOW_ANSWER: Duration = Duration::from_millis(100);
/// Time for which a server runs a request as long as none has ended here, and the shortest that is
/// assumed.
pub const MIN_REQUEST_DURATION: Duration = Duration::from_millis(250);
/// Fraction of the mean duration of requests that is assumed. Requests of other boxes may be shorter
/// than those of this one, and a rate that is too low lets reports last too long.
const DURATION_FRACTION: f64 = 0.5;
/// Maximum wait for the answer to a query. A server without a free slot answers late.
pub const QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Whether a request may be sent to a server now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may be sent, and is counted as sent.
    Granted,
    /// It may be sent if the server reports that it is warm.
    Unconfirmed,
    /// It must not be sent.
    Refused,
}

/// How many requests a box may send to a server that is cold, or that may be.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Share of the box in the requests that a cold server can handle.
    pub share: Share,
    /// How long a report of being warm lasts for a box without a share; `None` if no report is
    /// needed.
    pub report_lifetime: Option<Duration>,
    /// Until when the server is cold according to the store.
    pub stored_cold_until: Option<Instant>,
    /// Whether the server can be queried. If not, only the store shows that it is cold.
    pub can_query: bool,
}

/// Use of the servers of a service by all boxes of the region.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Requests a second at a server, on average.
    pub mean_rate: f64,
    /// Number of boxes that send to the servers.
    pub sharing_boxes: usize,
    /// Mean time for which the servers run the requests of this box.
    pub request_duration: Duration,
    /// Whether the servers can be queried.
    pub can_query: bool,
}

impl Usage {
    /// What a box may send with a share of `share` at a server that got `sent` of its requests
    /// within a second, and runs `in_flight` of all boxes.
    pub fn allowance(&self, share: Share, sent: usize, in_flight: u32) -> Allowance {
        // A single request doesn't show a rate.
        let own_rate = warmup::window_rate(sent.saturating_sub(1));
        let duration = self.request_duration.mul_f64(DURATION_FRACTION).max(MIN_REQUEST_DURATION);
        let running_rate = f64::from(in_flight) / duration.as_secs_f64();
        let used = self.mean_rate.max(own_rate * self.sharing_boxes as f64).max(running_rate);
        let report_lifetime = share.report_lifetime(used);
        Allowance { share, report_lifetime, stored_cold_until: None, can_query: self.can_query }
    }
}

/// State of one server as far as it concerns its being cold.
#[derive(Clone, Debug)]
pub struct Coldness {
    warmup: Warmup,
    /// Since when this box has known that the server is cold.
    known_cold_since: Option<Instant>,
    /// Until when the server is cold by its own report, which the store may not show yet.
    cold_until: Option<Instant>,
    /// The latest time for which the server reported that it is warm.
    warm_at: Option<Instant>,
    /// Reports of being warm for this time and earlier ones are void.
    void_at: Option<Instant>,
    /// When this box sent the query that the server has not answered yet.
    queried_at: Option<Instant>,
    /// Time for which the last report to this box holds.
    reported_at: Option<Instant>,
}

impl Coldness {
    /// Creates the state of a server about which nothing is known, and to which this box may have
    /// sent requests before `unrecorded_until`.
    pub fn new(unrecorded_until: Option<Instant>) -> Coldness {
        Coldness {
            warmup: Warmup::new(unrecorded_until),
            known_cold_since: None,
            cold_until: None,
            warm_at: None,
            void_at: None,
            queried_at: None,
            reported_at: None,
        }
    }

    /// Whether the server is known to be cold.
    pub fn is_cold(&self, stored_cold_until: Option<Instant>, now: Instant) -> bool {
        stored_cold_until.max(self.cold_until).is_some_and(|until| now < until)
    }

    /// Whether a place may be reserved for another request. A server that is slow to answer gets no
    /// more requests than it has reported itself warm for.
    pub fn admits_place(&mut self, allowance: Allowance, now: Instant) -> bool {
        if let Some(share) = self.cold_share(allowance, now) {
            return self.warmup.admits_place(share, now);
        }
        let is_slow =
            self.queried_at.is_some_and(|at| now >= at + SLOW_ANSWER && now < at + QUERY_TIMEOUT);
        !is_slow || self.is_covered(allowance, now)
    }

    /// Whether a request may be sent now. If so, it is counted.
    pub fn admit_send(&mut self, allowance: Allowance, now: Instant) -> Admission {
        let admission = match self.cold_share(allowance, now) {
            Some(share) if !self.warmup.admits_send(share, now) => Admission::Refused,
            None if !self.is_covered(allowance, now) => Admission::Unconfirmed,
            _ => Admission::Granted,
        };
        if admission == Admission::Granted {
            self.warmup.record_send(now);
        }
        admission
    }

    /// Share of this box while the server is known to be cold, and as long as requests of that time
    /// count: the server may turn cold again at once. `None` at other times. The share is the smaller
    /// one until what other boxes sent without knowing counts no longer.
    fn cold_share(&mut self, allowance: Allowance, now: Instant) -> Option<u32> {
        let cold_until = allowance.stored_cold_until.max(self.cold_until);
        if cold_until.is_none_or(|until| now >= until + RATE_WINDOW) {
            self.known_cold_since = None;
            return None;
        }
        let since = *self.known_cold_since.get_or_insert(now);
        let Share { cold, unconfirmed, .. } = allowance.share;
        Some(if now < since + RATE_WINDOW { unconfirmed } else { cold })
    }

    /// Whether the last report of being warm covers another request.
    fn is_covered(&mut self, allowance: Allowance, now: Instant) -> bool {
        if !allowance.can_query {
            return true;
        }
        let Some(sent) = self.warmup.sent_since(self.warm_at, now) else { return false };
        let is_recent = |lifetime| self.warm_at.is_some_and(|at| now < at + lifetime);
        sent < allowance.share.unconfirmed as usize
            || (sent == 0 && allowance.report_lifetime.is_none_or(is_recent))
    }

    /// Records that a place is reserved for a request.
    pub fn record_place(&mut self, now: Instant) {
        self.warmup.record_place(now);
    }

    /// Number of requests of this box to the server within a second.
    pub fn recently_sent(&mut self, now: Instant) -> usize {
        self.warmup.sent_since(None, now).unwrap_or_default()
    }

    /// Time since the server was warm by its own report, and the requests of this box since then.
    pub fn exposure(&mut self, now: Instant) -> (Option<Duration>, usize) {
        let age = self.warm_at.map(|at| now.saturating_duration_since(at));
        (age, self.warmup.sent_since(self.warm_at, now).unwrap_or_default())
    }

    /// Records that this box queries the server. Returns false if a query is in progress.
    pub fn start_query(&mut self, now: Instant) -> bool {
        let is_due = self.queried_at.is_none_or(|at| now >= at + QUERY_TIMEOUT);
        if is_due {
            self.queried_at = Some(now);
        }
        is_due
    }

    /// Records the answer to a query that this box sent at `queried_at`. Returns whether the server
    /// has newly turned cold.
    pub fn record_answer(&mut self, left: Duration, queried_at: Instant, now: Instant) -> bool {
        self.queried_at = None;
        self.record_own_report(left, if left.is_zero() { queried_at } else { now })
    }

    /// As [`Coldness::record_report`], for a report to this box, which passes it on to others.
    pub fn record_own_report(&mut self, left: Duration, at: Instant) -> bool {
        self.reported_at = Some(at);
        self.record_report(left, at)
    }

    /// Records a report for the time `at`: that the server is cold for another `left`, or warm if
    /// that is 0. Returns whether it has newly turned cold.
    pub fn record_report(&mut self, left: Duration, at: Instant) -> bool {
        if left.is_zero() {
            if Some(at) > self.void_at {
                self.warm_at = self.warm_at.max(Some(at));
            }
            return false;
        }
        let turned_cold = self.cold_until.is_none_or(|until| until <= at);
        self.cold_until = self.cold_until.max(Some(at + left));
        self.doubt(at);
        turned_cold
    }

    /// Disregards reports of being warm for the time `at` and earlier ones, because this server or
    /// another one of the failure domain has turned cold: these mostly turn cold together.
    pub fn doubt(&mut self, at: Instant) {
        self.void_at = self.void_at.max(Some(at));
        self.warm_at = self.warm_at.filter(|warm_at| *warm_at > at);
    }

    /// The last report to this box, if recent: remaining cold time and time for which it holds.
    pub fn recent_report(&self, now: Instant) -> Option<(Duration, Instant)> {
        let at = self.reported_at.filter(|at| now < *at + REPORT_RETENTION)?;
        let left = self.cold_until.map(|until| until.saturating_duration_since(now));
        Some((left.unwrap_or_default(), at))
    }
}
