//! Rate limits of teams over all boxes, without a remote call on the request path.
//!
//! Each box takes a share of a team's rate. The share is proportional to the box's part of the
//! demand that all boxes report, plus a small even share, so that a first request is never refused
//! for lack of history. The shares add up to the rate when all boxes agree on the demand. While
//! they don't, the sum is off by at most the change in demand within one report. A box that
//! receives no reports keeps its share.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::token_bucket::TokenBucket;
use crate::protocol::BoxId;
use crate::protocol::NameHash;
use crate::protocol::TeamId;
use crate::protocol::name_hash;
use crate::protocol::peer::Demand;

/// Part of a rate that is split evenly between the boxes, whatever the demand.
const EVEN_SHARE: f64 = 0.1;
/// Weight of the latest period in the smoothed demand.
const DEMAND_SMOOTHING_WEIGHT: f64 = 0.3;
/// Maximum number of teams in one heartbeat. The teams with the highest demand are reported.
const MAX_REPORTED_TEAMS: usize = 24;
/// Time over which a bucket may accumulate tokens.
const BURST_PERIOD: Duration = Duration::from_secs(1);

struct TeamState {
    bucket: TokenBucket,
    rate: f64,
    arrivals: u32,
    per_minute: f64,
}

/// The rate limits as one box applies them.
#[derive(Default)]
pub struct RateLimiter {
    teams: HashMap<TeamId, TeamState>,
    demand_by_box: HashMap<BoxId, HashMap<NameHash, u32>>,
}

impl RateLimiter {
    /// Admits a request of a team whose rate over all boxes is `rate`, or returns when to retry.
    pub fn admit(&mut self, team: &TeamId, rate: f64, now: Instant) -> Result<(), Duration> {
        if !self.teams.contains_key(team) {
            let state = self.new_team_state(team, rate, now);
            self.teams.insert(team.clone(), state);
        }
        let Some(state) = self.teams.get_mut(team) else { return Ok(()) };
        state.arrivals += 1;
        state.rate = rate;
        state.bucket.take(1.0, now)
    }

    fn new_team_state(&self, team: &TeamId, rate: f64, now: Instant) -> TeamState {
        let share = rate * self.share(team, 0.0);
        TeamState { bucket: bucket(share, now), rate, arrivals: 0, per_minute: 0.0 }
    }

    /// Records the demand that another box reports.
    pub fn record_demands(&mut self, from: &BoxId, demands: &[Demand]) {
        let demands = demands.iter().map(|demand| (demand.team, demand.requests_per_minute));
        self.demand_by_box.insert(from.clone(), demands.collect());
    }

    /// Drops the demand of boxes that `keep` rejects. Boxes that have left or were replaced get no
    /// share.
    pub fn retain_boxes(&mut self, keep: impl Fn(&BoxId) -> bool) {
        self.demand_by_box.retain(|name, _| keep(name));
    }

    /// Recomputes the shares. Must be called once per period.
    pub fn tick(&mut self, period: Duration, now: Instant) {
        let per_minute = 60.0 / period.as_secs_f64();
        for state in self.teams.values_mut() {
            let latest = f64::from(std::mem::take(&mut state.arrivals)) * per_minute;
            state.per_minute += DEMAND_SMOOTHING_WEIGHT * (latest - state.per_minute);
        }
        let shares: Vec<(TeamId, f64)> = self
            .teams
            .iter()
            .map(|(team, state)| (team.clone(), self.share(team, state.per_minute)))
            .collect();
        for (team, share) in shares {
            if let Some(state) = self.teams.get_mut(&team) {
                let rate = state.rate * share;
                state.bucket.reconfigure(rate, burst(rate), now);
            }
        }
        self.teams.retain(|_, state| state.per_minute > 0.01);
    }

    fn share(&self, team: &TeamId, own: f64) -> f64 {
        let hash = name_hash(team);
        let others: f64 = self
            .demand_by_box
            .values()
            .filter_map(|demands| demands.get(&hash))
            .map(|per_minute| f64::from(*per_minute))
            .sum();
        let boxes = self.demand_by_box.len() as f64 + 1.0;
        if own + others <= 0.0 {
            return 1.0 / boxes;
        }
        EVEN_SHARE / boxes + (1.0 - EVEN_SHARE) * own / (own + others)
    }

    /// Returns the demand to report, highest first.
    pub fn demands(&self) -> Vec<Demand> {
        let mut demands: Vec<Demand> = self
            .teams
            .iter()
            .map(|(team, state)| Demand {
                team: name_hash(team),
                requests_per_minute: state.per_minute.ceil() as u32,
            })
            .collect();
        demands
            .sort_by(|a, b| (b.requests_per_minute, a.team).cmp(&(a.requests_per_minute, b.team)));
        demands.truncate(MAX_REPORTED_TEAMS);
        demands
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST_PERIOD.as_secs_f64()).max(1.0)
}

fn bucket(rate: f64, now: Instant) -> TokenBucket {
    TokenBucket::new(rate, burst(rate), now)
}
