//! The account of one team on one box.

use std::time::Duration;
use std::time::Instant;

use super::super::rate::Rate;
use crate::protocol::team::RateLimit;

/// Smoothing time of the demand. It spans several reports, and a surge still shows within one
/// second.
pub const DEMAND_SMOOTHING: Duration = Duration::from_secs(1);
/// Smoothing time of the usual demand, which determines the shares that unreachable boxes keep.
/// Boxes on both sides of a partition have to use about the same figures, although they notice the
/// partition at different times.
pub const USUAL_DEMAND_SMOOTHING: Duration = Duration::from_secs(8);
/// Smoothing time of the admission rate that a region reports. It is about the time between two
/// reports from the same region: the receiver would miss most changes that are shorter.
const REGION_USAGE_SMOOTHING: Duration = Duration::from_millis(300);
/// Shortest and longest time after which a refused caller is asked to retry.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(10));

/// Parameters of an admission besides the limit.
#[derive(Clone, Copy, Debug)]
pub struct AdmitParams {
    /// Maximum debt of the account, in units.
    pub debt: f64,
    /// See [`Tolerance::dither`](super::Tolerance::dither).
    pub dither: f64,
    /// Whether the box started only recently.
    pub starting_up: bool,
    /// Time for which the box is known to have counted what it admits; `None` if that is longer than
    /// a debt lasts.
    pub counted_for: Option<Duration>,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// Time after which the request should be retried.
    pub retry_after: Duration,
    /// Units that remain for the team; negative if the account is in debt.
    pub remaining: f64,
    /// Units per second requested from all boxes.
    pub demand: f64,
}

/// The units that remain of a team's limit, and the demand on it.
#[derive(Debug)]
pub struct Account {
    /// The limit; `None` before the first request.
    pub limit: Option<RateLimit>,
    /// Units that remain for all boxes together; negative if the account is in debt.
    pub remaining: f64,
    /// Units that remain of this box's share.
    own_remaining: f64,
    refilled_at: Instant,
    /// Units that this box has admitted.
    pub admitted: f64,
    /// Units per second admitted by the boxes of this region.
    pub region_admitted: Rate,
    /// Units per second requested from this box.
    pub demand: Rate,
    /// Units per second requested from this box, smoothed over a longer time.
    pub usual: Rate,
    /// Whether the counter of admitted units has changed since it was last reported.
    pub usage_changed: bool,
    /// Number of reports that still have to contain the counter.
    pub reports_left: u32,
    /// Share of the limit that unreachable boxes and regions keep.
    pub unreachable_share: f64,
    /// Share of the limit that this box keeps to when the account runs low.
    pub share: f64,
    /// Units per second requested from all boxes.
    pub total_demand: f64,
    /// Units per second requested from the boxes of this region.
    pub region_demand: f64,
    /// Units per second requested from the boxes of this region, smoothed over a longer time.
    pub region_usual_demand: f64,
    /// Units per second admitted by other regions, as last reported.
    pub other_regions_admitted: f64,
}

impl Account {
    /// Creates an account that has been refilled since the box started. `share` is the box's share
    /// of the limit.
    pub fn new(started_at: Instant, share: f64) -> Account {
        Account {
            limit: None,
            remaining: 0.0,
            own_remaining: 0.0,
            refilled_at: started_at,
            admitted: 0.0,
            region_admitted: Rate::new(REGION_USAGE_SMOOTHING, started_at),
            demand: Rate::new(DEMAND_SMOOTHING, started_at),
            usual: Rate::new(USUAL_DEMAND_SMOOTHING, started_at),
            usage_changed: false,
            reports_left: 0,
            unreachable_share: 0.0,
            share,
            total_demand: 0.0,
            region_demand: 0.0,
            region_usual_demand: 0.0,
            other_regions_admitted: 0.0,
        }
    }

    /// Returns the units per second that the limit allows. An account without a limit has a rate
    /// that is never reached.
    pub fn rate(&self) -> f64 {
        self.limit.map_or(f64::MAX, |limit| limit.rate.max(1.0))
    }

    /// Refills the account up to `now`.
    pub fn refill(&mut self, now: Instant) {
        let Some(limit) = self.limit else { return };
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        let reachable_share = 1.0 - self.unreachable_share;
        let remaining =
            self.remaining + (limit.rate * reachable_share - self.other_regions_admitted) * elapsed;
        self.remaining = remaining.min(limit.burst * reachable_share);
        // The own share doesn't accumulate: only what remains for all boxes may be spent at once.
        self.own_remaining = (self.own_remaining + limit.rate * self.share * elapsed).min(0.0);
    }

    /// Admits a request, or returns when to retry.
    pub fn admit(
        &mut self,
        limit: RateLimit,
        cost: f64,
        params: AdmitParams,
        now: Instant,
    ) -> Result<(), Refusal> {
        let AdmitParams { debt, dither, starting_up, counted_for } = params;
        if self.limit.is_none() && cost > limit.burst * self.share {
            self.own_remaining = -dither * cost;
        }
        self.limit = Some(limit);
        self.refill(now);
        self.demand.add(cost, now);
        self.usual.add(cost, now);
        let reachable_share = 1.0 - self.unreachable_share;
        let rate = (limit.rate * reachable_share).max(1.0);
        let over_limit = starting_up || self.total_demand > rate;
        let keep_to_share = over_limit && self.remaining < limit.burst * reachable_share;
        let remaining = self.remaining + debt * reachable_share;
        // A box that was started again doesn't know the debt that it had. What each of its
        // incarnations admits has therefore accrued since the start of that incarnation.
        let accrued = counted_for.map(|counted_for| limit.rate * counted_for.as_secs_f64());
        let not_accrued = accrued.map_or(0.0, |accrued| (cost - accrued).max(0.0));
        let is_accrued = not_accrued == 0.0;
        if is_accrued && remaining > 0.0 && (!keep_to_share || self.own_remaining >= 0.0) {
            self.charge(cost, now);
            return Ok(());
        }
        let missing = (-remaining).max(not_accrued) / rate;
        let own_rate = (limit.rate * self.share).max(1.0);
        let own_missing =
            if keep_to_share { (-self.own_remaining).max(0.0) / own_rate } else { 0.0 };
        let retry_after = Duration::try_from_secs_f64(missing.max(own_missing));
        let retry_after = retry_after
            .unwrap_or(RETRY_AFTER_RANGE.1)
            .clamp(RETRY_AFTER_RANGE.0, RETRY_AFTER_RANGE.1);
        Err(Refusal { retry_after, remaining: self.remaining, demand: self.total_demand })
    }

    /// Returns the units of an admitted request that reached no server.
    pub fn refund(&mut self, cost: f64) {
        self.remaining += cost;
        self.own_remaining += cost;
        self.admitted = (self.admitted - cost).max(0.0);
        self.usage_changed = true;
    }

    fn charge(&mut self, cost: f64, now: Instant) {
        self.remaining -= cost;
        // A box that exceeded its share while enough remained owes one request at most.
        self.own_remaining = (self.own_remaining - cost).max(-cost);
        self.admitted += cost;
        self.region_admitted.add(cost, now);
        self.usage_changed = true;
    }
}
