//! Limits of teams, over all boxes, without a call on the request path.
//!
//! Each box takes a share of a team's rate in proportion to the demand it sees
//! among the demand that all boxes report, and a small even part so that a
//! first request is never refused for lack of history. Shares add up to the
//! rate when the boxes agree on the demand; while they do not, the sum is off
//! by at most what the demand moved within one report. A box that hears from
//! nobody keeps the share that it had.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::token_bucket::TokenBucket;
use crate::protocol::BoxId;
use crate::protocol::NameHash;
use crate::protocol::TeamId;
use crate::protocol::name_hash;
use crate::protocol::peer::Demand;

/// Part of a rate that is split evenly, whatever the demand.
const EVEN_PART: f64 = 0.1;
/// Weight of the latest period in the smoothed demand.
const SMOOTHING: f64 = 0.3;
/// Most teams in one heartbeat, those with most demand.
const REPORTED_TEAMS: usize = 24;
/// How long a bucket may save up.
const BURST: Duration = Duration::from_secs(1);

struct TeamState {
    bucket: TokenBucket,
    rate: f64,
    arrivals: u32,
    per_minute: f64,
}

/// The limits that one box applies.
#[derive(Default)]
pub struct RateLimiter {
    teams: HashMap<TeamId, TeamState>,
    others: HashMap<BoxId, HashMap<NameHash, u32>>,
}

impl RateLimiter {
    /// Admits a request of a team whose rate over all boxes is `rate`, or says
    /// when to come back.
    pub fn admit(&mut self, team: &TeamId, rate: f64, now: Instant) -> Result<(), Duration> {
        if !self.teams.contains_key(team) {
            let state = self.fresh(team, rate, now);
            self.teams.insert(team.clone(), state);
        }
        let Some(state) = self.teams.get_mut(team) else { return Ok(()) };
        state.arrivals += 1;
        state.rate = rate;
        state.bucket.take(1.0, now)
    }

    fn fresh(&self, team: &TeamId, rate: f64, now: Instant) -> TeamState {
        let share = rate * self.share(team, 0.0);
        TeamState { bucket: bucket(share, now), rate, arrivals: 0, per_minute: 0.0 }
    }

    /// A box said what demand it sees.
    pub fn record_demands(&mut self, from: &BoxId, demands: &[Demand]) {
        let demands = demands.iter().map(|demand| (demand.team, demand.per_minute));
        self.others.insert(from.clone(), demands.collect());
    }

    /// Boxes that left or were replaced have no share any more.
    pub fn retain_boxes(&mut self, keep: impl Fn(&BoxId) -> bool) {
        self.others.retain(|name, _| keep(name));
    }

    /// Works out the shares anew; call once a period.
    pub fn tick(&mut self, period: Duration, now: Instant) {
        let per_minute = 60.0 / period.as_secs_f64();
        for state in self.teams.values_mut() {
            let latest = f64::from(std::mem::take(&mut state.arrivals)) * per_minute;
            state.per_minute += SMOOTHING * (latest - state.per_minute);
        }
        let shares: Vec<(TeamId, f64)> = self
            .teams
            .iter()
            .map(|(team, state)| (team.clone(), self.share(team, state.per_minute)))
            .collect();
        for (team, share) in shares {
            if let Some(state) = self.teams.get_mut(&team) {
                let rate = state.rate * share;
                state.bucket.set(rate, burst(rate), now);
            }
        }
        self.teams.retain(|_, state| state.per_minute > 0.01);
    }

    fn share(&self, team: &TeamId, own: f64) -> f64 {
        let hash = name_hash(team);
        let others: f64 = self
            .others
            .values()
            .filter_map(|demands| demands.get(&hash))
            .map(|per_minute| f64::from(*per_minute))
            .sum();
        let boxes = self.others.len() as f64 + 1.0;
        if own + others <= 0.0 {
            return 1.0 / boxes;
        }
        EVEN_PART / boxes + (1.0 - EVEN_PART) * own / (own + others)
    }

    /// The demand to report, largest first.
    pub fn demands(&self) -> Vec<Demand> {
        let mut demands: Vec<Demand> = self
            .teams
            .iter()
            .map(|(team, state)| Demand {
                team: name_hash(team),
                per_minute: state.per_minute.ceil() as u32,
            })
            .collect();
        demands.sort_by(|a, b| (b.per_minute, a.team).cmp(&(a.per_minute, b.team)));
        demands.truncate(REPORTED_TEAMS);
        demands
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST.as_secs_f64()).max(1.0)
}

fn bucket(rate: f64, now: Instant) -> TokenBucket {
    TokenBucket::new(rate, burst(rate), now)
}
