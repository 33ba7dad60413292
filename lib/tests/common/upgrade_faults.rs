//! What goes wrong during a simulated upgrade, and when.

use std::time::Duration;

/// Seconds from the order: from the first until before the second.
pub type Window = (f64, f64);

/// Seconds after which the record of a box that can't reach the store expires.
pub const LEASE_SECONDS: f64 = 4.0;
/// Number of regions. A box or server is in the region of its number modulo this.
pub const REGIONS: usize = 3;
/// Seconds from the order until the servers of the target version have started.
const TARGET_START: f64 = 1.0;
/// Part of the servers' capacity that the usual rate of requests uses.
const USUAL_UTILIZATION: f64 = 0.4;
/// Utilization above which requests wait at most as long as at this one.
const MAX_UTILIZATION: f64 = 0.85;

/// How the target version responds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Behavior {
    Good,
    /// Part of the responses are failures.
    Failing(f64),
    /// Part of the responses take several times as long.
    Slow(f64, f64),
    /// Fails from this time after the order on.
    FailingFrom(f64),
    /// Fails while its servers get more than this share of the requests.
    FailingAbove(f64),
    /// Is slow while its servers get more than this share of the requests.
    SlowAbove(f64),
    /// Fails on one route only.
    FailingOnRoute(u64),
}

/// What else happens during the upgrade.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Share of the reports that are lost.
    pub report_loss: f64,
    /// The first judge is gone from this second on.
    pub first_judge_gone_at: Option<f64>,
    /// Part of the servers of both versions fail three in ten requests.
    pub faulty_servers: f64,
    /// Responses of all versions take several times as long for two seconds.
    pub burst: bool,
    /// The same, at another time.
    pub slowdown: Option<Window>,
    /// The store can't be written to.
    pub store_away: Option<Window>,
    /// The store refuses the writes of the first two judges.
    pub judges_refused: Option<Window>,
    /// A box that never reports.
    pub silent_box: bool,
    /// All servers of the target version are gone from this second on.
    pub target_lost_at: Option<f64>,
    /// Servers of the target version start at this second.
    pub target_late: Option<f64>,
    /// Half of the servers of the target version crash, and start again.
    pub target_crashed: Option<Window>,
    /// A third of the servers of the target version are released at this second.
    pub target_released_at: Option<f64>,
    /// Natural failures on each route.
    pub failure_rate: f64,
    /// The region of this number reaches neither the store nor the other regions.
    pub partition: Option<(usize, Window)>,
    /// The boxes and servers of this region are gone from this second on.
    pub region_lost: Option<(usize, f64)>,
    /// The servers of this region get no requests.
    pub evacuation: Option<(usize, Window)>,
    /// A configuration moves all requests of the first route to a route that was not used before.
    pub routes_move_at: Option<f64>,
    /// A team multiplies the requests by this factor, and the servers slow down under them.
    pub team_burst: Option<(f64, Window)>,
    /// Most datagrams between regions are lost, and writes are read a second later.
    pub slow_links: Option<Window>,
}

pub fn is_in(window: Window, seconds: f64) -> bool {
    (window.0..window.1).contains(&seconds)
}

impl Faults {
    /// Factor of the usual rate of requests.
    pub fn rate_factor(&self, seconds: f64) -> f64 {
        match self.team_burst {
            Some((factor, window)) if is_in(window, seconds) => factor,
            _ => 1.0,
        }
    }

    /// Factor by which responses take longer at a share of the requests.
    pub fn latency_factor(&self, share: f64, seconds: f64) -> f64 {
        let is_slow = (self.burst && is_in((5.0, 7.0), seconds))
            || self.slowdown.is_some_and(|window| is_in(window, seconds));
        let slowdown = if is_slow { 4.0 } else { 1.0 };
        if self.team_burst.is_none() {
            return slowdown;
        }
        let utilization = USUAL_UTILIZATION * self.rate_factor(seconds) * share;
        slowdown / (1.0 - utilization.min(MAX_UTILIZATION))
    }

    pub fn is_partitioned(&self, number: usize, seconds: f64) -> bool {
        self.partition
            .is_some_and(|(region, window)| number % REGIONS == region && is_in(window, seconds))
    }

    pub fn is_region_lost(&self, number: usize, seconds: f64) -> bool {
        self.region_lost.is_some_and(|(region, at)| number % REGIONS == region && seconds >= at)
    }

    /// Whether the record of a box has expired because its region is lost or partitioned.
    pub fn is_expired(&self, number: usize, seconds: f64) -> bool {
        let partitioned = self.partition.is_some_and(|(region, (from, until))| {
            number % REGIONS == region && is_in((from + LEASE_SECONDS, until), seconds)
        });
        partitioned || self.is_region_lost(number, seconds - LEASE_SECONDS)
    }

    /// Usable servers of the target and of another version, of `servers` each.
    pub fn server_counts(&self, servers: usize, seconds: f64) -> (usize, usize) {
        let evacuated = self.evacuation.filter(|(_, window)| is_in(*window, seconds));
        let lost = self.region_lost.filter(|(_, at)| seconds >= at + LEASE_SECONDS);
        let left = servers
            - [evacuated.map(|(region, _)| region), lost.map(|(region, _)| region)]
                .into_iter()
                .flatten()
                .map(|_| servers / REGIONS)
                .sum::<usize>();
        let mut target = left;
        if self.target_released_at.is_some_and(|at| seconds >= at) {
            target -= servers / 3;
        }
        if self.target_crashed.is_some_and(|window| is_in(window, seconds)) {
            target /= 2;
        }
        if seconds < self.target_late.unwrap_or(TARGET_START)
            || self.target_lost_at.is_some_and(|at| seconds >= at)
        {
            target = 0;
        }
        (target, left)
    }

    /// Part of the datagrams between two boxes that are lost.
    pub fn datagram_loss(&self, from: usize, to: usize, seconds: f64) -> f64 {
        let is_far = from % REGIONS != to % REGIONS;
        let is_partitioned = |number| self.is_partitioned(number, seconds);
        if is_far && (is_partitioned(from) || is_partitioned(to)) {
            return 1.0;
        }
        match self.slow_links {
            Some(window) if is_far && is_in(window, seconds) => 0.7,
            _ => self.report_loss,
        }
    }

    /// Additional time until a write is read.
    pub fn read_delay(&self, seconds: f64) -> Duration {
        let is_slow = self.slow_links.is_some_and(|window| is_in(window, seconds));
        if is_slow { Duration::from_secs(1) } else { Duration::ZERO }
    }
}
