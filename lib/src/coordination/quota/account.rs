//! What one team has left, as one box sees it.

use std::time::Duration;
use std::time::Instant;

use super::super::rate::Rate;
use crate::protocol::team::Limit;

/// Time over which demand is smoothed: some reports long, so that a flood shows within one second.
pub const SMOOTHING: Duration = Duration::from_secs(1);
/// Time over which demand is smoothed by which parts are kept in silence. Those that no longer hear
/// each other must reckon with about the same figures, though they notice at other moments.
pub const USUAL_SMOOTHING: Duration = Duration::from_secs(8);
/// Time over which what a region lets in is smoothed before it is told: about the time from one
/// word of a region to the next, since shorter news is mostly missed.
const FLOW_SMOOTHING: Duration = Duration::from_millis(300);
/// Shortest and longest time after which a refused caller is asked to come back.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));

/// What an account goes by beside its limit.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// Debt that it may have, units.
    pub debt: f64,
    /// See [`Bound::dither`](super::Bound::dither).
    pub dither: f64,
    /// Whether the box has only just started.
    pub fresh: bool,
}

/// Why a request is not let in.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refusal {
    /// When there is room.
    pub retry_after: Duration,
    /// Units that the team has left, debt below zero.
    pub remaining: f64,
    /// Units a second that all boxes are asked for.
    pub demand: f64,
}

/// What a team has left.
#[derive(Debug)]
pub struct Account {
    /// The limit, once a request has come.
    pub limit: Option<Limit>,
    /// What all boxes together have left; below zero is debt.
    pub remaining: f64,
    /// What this box has left of its own part.
    own_remaining: f64,
    filled_at: Instant,
    /// Units that this box let in.
    pub admitted: f64,
    /// Units a second that the boxes of this region let in.
    pub in_region: Rate,
    /// Units a second that this box is asked for.
    pub demand: Rate,
    /// The same over a longer time.
    pub usual: Rate,
    /// Whether the count has changed since it was last told.
    pub changed: bool,
    /// How often it is still to be told.
    pub tell: u32,
    /// Part of the limit that others which are silent keep.
    pub silent: f64,
    /// Part of the limit that this box keeps to when it runs low.
    pub part: f64,
    /// Units a second that all boxes are asked for.
    pub all_demand: f64,
    /// Those of them that the boxes of this region are asked for.
    pub region_demand: f64,
    /// The same over a longer time.
    pub region_usual: f64,
    /// Units a second that the other regions let in, as last told.
    pub elsewhere: f64,
}

impl Account {
    /// An account that has filled since a box started, of which the box keeps to a part.
    pub fn new(started_at: Instant, part: f64) -> Account {
        Account {
            limit: None,
            remaining: 0.0,
            own_remaining: 0.0,
            filled_at: started_at,
            admitted: 0.0,
            in_region: Rate::new(FLOW_SMOOTHING, started_at),
            demand: Rate::new(SMOOTHING, started_at),
            usual: Rate::new(USUAL_SMOOTHING, started_at),
            changed: false,
            tell: 0,
            silent: 0.0,
            part,
            all_demand: 0.0,
            region_demand: 0.0,
            region_usual: 0.0,
            elsewhere: 0.0,
        }
    }

    /// Units a second that the limit allows; no limit counts as one that is never reached.
    pub fn rate(&self) -> f64 {
        self.limit.map_or(f64::MAX, |limit| limit.rate.max(1.0))
    }

    /// Brings the account up to a moment.
    pub fn fill(&mut self, now: Instant) {
        let Some(limit) = self.limit else { return };
        let passed = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        let rest = 1.0 - self.silent;
        let remaining = self.remaining + (limit.rate * rest - self.elsewhere) * passed;
        self.remaining = remaining.min(limit.burst * rest);
        // Nothing is saved up for later: what all have left is what may be spent at once.
        self.own_remaining = (self.own_remaining + limit.rate * self.part * passed).min(0.0);
    }

    /// Lets a request in, or says when to come back.
    pub fn admit(
        &mut self,
        limit: Limit,
        cost: f64,
        terms: Terms,
        now: Instant,
    ) -> Result<(), Refusal> {
        let Terms { debt, dither, fresh } = terms;
        if self.limit.is_none() && cost > limit.burst * self.part {
            self.own_remaining = -dither * cost;
        }
        self.limit = Some(limit);
        self.fill(now);
        self.demand.add(cost, now);
        self.usual.add(cost, now);
        let rest = 1.0 - self.silent;
        let rate = (limit.rate * rest).max(1.0);
        let over = fresh || self.all_demand > rate;
        let by_part = over && self.remaining < limit.burst * rest;
        let remaining = self.remaining + debt * rest;
        if remaining > 0.0 && (!by_part || self.own_remaining >= 0.0) {
            self.charge(cost, now);
            return Ok(());
        }
        let missing = (-remaining).max(0.0) / rate;
        let own_rate = (limit.rate * self.part).max(1.0);
        let own_missing = if by_part { (-self.own_remaining).max(0.0) / own_rate } else { 0.0 };
        let retry_after = Duration::try_from_secs_f64(missing.max(own_missing));
        let retry_after = retry_after.unwrap_or(COME_BACK.1).clamp(COME_BACK.0, COME_BACK.1);
        Err(Refusal { retry_after, remaining: self.remaining, demand: self.all_demand })
    }

    /// What was let in has reached no server.
    pub fn refund(&mut self, cost: f64) {
        self.remaining += cost;
        self.own_remaining += cost;
        self.admitted = (self.admitted - cost).max(0.0);
        self.changed = true;
    }

    fn charge(&mut self, cost: f64, now: Instant) {
        self.remaining -= cost;
        // A box that let in more than its part while there was enough owes one request at most.
        self.own_remaining = (self.own_remaining - cost).max(-cost);
        self.admitted += cost;
        self.in_region.add(cost, now);
        self.changed = true;
    }
}
