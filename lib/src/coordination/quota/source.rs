//! The usage reported by another box of this region, or by another region.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::TeamHash;
use super::account::DEMAND_SMOOTHING;
use super::account::USUAL_DEMAND_SMOOTHING;

/// Time without a report after which a box or region counts as unreachable: several reports have
/// been lost by then.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1500);

/// The usage of a team that another box or region reported.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Units admitted: a total for a box, a rate per second for a region.
    pub admitted: f64,
    /// Units per second requested.
    pub demand: f64,
    /// Units per second requested, smoothed over a longer time.
    pub usual: f64,
    /// When the report arrived.
    pub at: Instant,
}

/// A box of this region, or another region.
#[derive(Debug)]
pub struct Source {
    /// Start of the box; 0 for a region.
    pub incarnation: u64,
    /// Number of the last report.
    pub number: u64,
    /// When the last report arrived.
    pub last_report_at: Instant,
    /// The last reported usage by team.
    pub usage_by_team: HashMap<TeamHash, Usage>,
    /// Share of each limit that the source keeps while it is unreachable. It is set when the source
    /// becomes unreachable.
    pub retained_shares: Option<HashMap<TeamHash, f64>>,
}

impl Source {
    /// Creates a source whose first report arrives now.
    pub fn new(now: Instant) -> Source {
        Source {
            incarnation: 0,
            number: 0,
            last_report_at: now,
            usage_by_team: HashMap::new(),
            retained_shares: None,
        }
    }
    /// Returns whether the source counts as unreachable.
    pub fn is_unreachable(&self, now: Instant) -> bool {
        now >= self.last_report_at + UNREACHABLE_AFTER
    }

    /// Returns the units per second requested from the source.
    pub fn demand(&self, team: TeamHash, now: Instant) -> f64 {
        self.last_usage(team, DEMAND_SMOOTHING, now)
            .map_or(0.0, |(usage, decay)| usage.demand * decay)
    }

    /// Returns the units per second requested from the source, smoothed over a longer time.
    pub fn usual(&self, team: TeamHash, now: Instant) -> f64 {
        self.last_usage(team, USUAL_DEMAND_SMOOTHING, now)
            .map_or(0.0, |(usage, decay)| usage.usual * decay)
    }

    /// Returns the last reported usage of a team, and the factor by which its smoothed rates have
    /// decayed since the report. The rates of an unreachable source don't decay further, because no
    /// change is known.
    fn last_usage(
        &self,
        team: TeamHash,
        smoothing: Duration,
        now: Instant,
    ) -> Option<(&Usage, f64)> {
        let usage = self.usage_by_team.get(&team)?;
        let until = if self.is_unreachable(now) { self.last_report_at } else { now };
        let elapsed = until.saturating_duration_since(usage.at).as_secs_f64();
        Some((usage, (-elapsed / smoothing.as_secs_f64()).exp()))
    }
}
