//! The account of one server that states a rate, on one box.

use std::time::Duration;
use std::time::Instant;

use super::ServiceHash;

/// Minimum number of requests per second sent to a server, whatever it states. A server that gets
/// no requests can't state that it accepts more again. One request in two seconds is enough to
/// notice that quickly.
const MIN_RATE_PER_SECOND: f64 = 0.5;
/// Requests that may accumulate, as a factor of the rate times the propagation time of reports.
const BURST_FACTOR: f64 = 1.5;
/// Maximum debt of a server, in seconds of its rate, but at least one request. When a rate is first
/// stated, 85 boxes send more than that until all of them know the rate. With a limit of four
/// seconds, the server then got 0.81 of its rate for 16 s.
const MAX_DEBT_SECONDS: f64 = 2.0;
/// Factor up to which the rate in the store may differ from the stated rate without being
/// rewritten. Boxes that start get the exact rate with their first responses.
const STORED_RATE_TOLERANCE: f64 = 1.5;
/// Relative decrease of a rate from which it is reported at once. Smaller changes wait for the next
/// report.
const MAJOR_DECREASE_FRACTION: f64 = 0.1;

/// A rate that a server stated, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StatedRate {
    /// Requests per second from all boxes; `None` for no rate.
    pub rate: Option<f64>,
    /// When the server stated it.
    pub at: Instant,
}

/// How a stated rate differs from the previous one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateChange {
    /// No difference.
    Unchanged,
    /// A small difference: the next report is soon enough.
    Minor,
    /// A large difference: the other boxes are notified at once.
    Major,
}

/// The requests that remain under a server's rate.
#[derive(Debug)]
pub struct Account {
    /// Service of the server.
    pub service: ServiceHash,
    /// The last stated rate.
    pub stated: StatedRate,
    /// Requests that this box has sent since the account exists.
    pub sent: u64,
    /// The rate in the store.
    pub stored: Option<f64>,
    /// Since when the store has differed from the stated rate.
    pub unstored_since: Option<Instant>,
    /// Number of reports that still have to contain the rate.
    pub rate_reports_left: u32,
    /// Number of reports that still have to contain the count of requests.
    pub count_reports_left: u32,
    /// Share of the rate that unreachable boxes don't keep.
    reachable_share: f64,
    /// Requests that remain for all boxes together; negative if the server is in debt.
    remaining: f64,
    refilled_at: Instant,
}

impl Account {
    /// Creates the account of a server that has just stated a rate. Nothing remains at first,
    /// because the server got more requests than it accepts until then.
    pub fn new(service: ServiceHash, stated: StatedRate, now: Instant) -> Account {
        Account {
            service,
            stated,
            sent: 0,
            stored: None,
            unstored_since: None,
            rate_reports_left: 0,
            count_reports_left: 0,
            reachable_share: 1.0,
            remaining: 0.0,
            refilled_at: now,
        }
    }

    /// Sets the share of the rate that unreachable boxes don't keep.
    ///
    /// If the share decreases, so does the number of requests that may be sent at once. Each box
    /// subtracts a different amount, according to `dither`, from 0 to 1. Otherwise each of 85 boxes
    /// that don't receive each other's reports would send one request at once to a server with a
    /// rate of three.
    pub fn set_reachable_share(
        &mut self,
        reachable_share: f64,
        dither: f64,
        now: Instant,
        propagation_time: Duration,
    ) {
        self.refill(now, propagation_time);
        if reachable_share < self.reachable_share {
            self.remaining *=
                if self.remaining > 0.0 { reachable_share / self.reachable_share } else { 1.0 };
            self.remaining -= dither * (self.reachable_share - reachable_share);
        }
        self.reachable_share = reachable_share;
    }

    /// Updates the time since when the store has differed from the stated rate.
    pub fn compare_with_store(&mut self, now: Instant) {
        let differs = match (self.stored, self.stated.rate) {
            (None, None) => false,
            (Some(stored), Some(rate)) => {
                rate.max(stored) > STORED_RATE_TOLERANCE * rate.min(stored).max(MIN_RATE_PER_SECOND)
            }
            _ => true,
        };
        if differs {
            self.unstored_since.get_or_insert(now);
        } else {
            self.unstored_since = None;
        }
    }

    /// Returns the requests per second for this box and the reachable ones; `None` without a limit.
    pub fn rate(&self) -> Option<f64> {
        self.stated.rate.map(|rate| rate.max(MIN_RATE_PER_SECOND) * self.reachable_share)
    }

    /// Updates the stated rate. A rate older than the current one is ignored.
    pub fn update_rate(
        &mut self,
        stated: StatedRate,
        now: Instant,
        propagation_time: Duration,
    ) -> RateChange {
        if stated.at < self.stated.at {
            return RateChange::Unchanged;
        }
        self.refill(now, propagation_time);
        let previous = std::mem::replace(&mut self.stated, stated);
        if previous.rate.is_none() {
            self.remaining = 0.0;
        }
        match (previous.rate, stated.rate) {
            (previous, current) if previous == current => RateChange::Unchanged,
            (Some(previous), Some(current))
                if current > previous * (1.0 - MAJOR_DECREASE_FRACTION) =>
            {
                RateChange::Minor
            }
            _ => RateChange::Major,
        }
    }

    /// Returns the requests that remain for all boxes together.
    pub fn remaining(&self, now: Instant, propagation_time: Duration) -> f64 {
        let Some(rate) = self.rate() else { return f64::INFINITY };
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        let max_remaining = 1.0 + BURST_FACTOR * rate * propagation_time.as_secs_f64();
        (self.remaining + rate * elapsed).clamp(-(MAX_DEBT_SECONDS * rate).max(1.0), max_remaining)
    }

    /// Refills the account up to `now`.
    pub fn refill(&mut self, now: Instant, propagation_time: Duration) {
        if self.stated.rate.is_some() {
            self.remaining = self.remaining(now, propagation_time);
        }
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Subtracts requests sent by this box or another one.
    pub fn charge(&mut self, requests: f64, now: Instant, propagation_time: Duration) {
        self.refill(now, propagation_time);
        self.remaining -= requests;
    }
}
