//! Limits of teams over all boxes, without a remote call on the request path.
//!
//! Each box keeps an account for every team it knows of. The account holds what remains of the
//! team's limit, seen as one token bucket for all boxes. Boxes of a region send each other the
//! number of units they admitted, as counters that only increase, so that the next datagram makes
//! up for a lost one. From other regions a box receives only their admission rates. A request is
//! admitted while something remains. It may leave the account in debt, because a request can be
//! larger than the burst.
//!
//! While the total demand exceeds the limit, boxes that act on reports a few tenths of a second old
//! would all admit requests at once. A box whose account runs low therefore keeps to its own share
//! of the limit, in proportion to the demand it sees. Boxes and regions that become unreachable
//! keep the share that they had, and the others keep to the rest. The boxes on the other side of a
//! partition do the same with the same figures.
//!
//! The case that this design has to handle is a team that requests several times its usual amount,
//! with a limit of a few requests per second and more boxes than that. An even share of such a
//! limit is less than one request.

mod account;
mod source;

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use self::account::Account;
use self::account::AdmitParams;
pub use self::account::Refusal;
use self::source::Source;
use self::source::Usage;
use crate::protocol::RegionId;
use crate::protocol::team::RateLimit;

/// Hash that identifies a team in datagrams.
pub type TeamHash = u64;

/// Time for which an unreachable box or region keeps its share. It is longer than any window that a
/// limit is measured over.
const UNREACHABLE_RETENTION: Duration = Duration::from_secs(60);
/// Maximum debt of an account, as a share of the units that a window may hold beyond the limit. The
/// rest covers what boxes admit before they receive each other's reports.
const MAX_DEBT_SHARE: f64 = 0.1;
/// Part of a limit that boxes share evenly, so that a box without previous demand can admit some
/// requests.
const EVEN_SHARE: f64 = 0.1;
/// Part of a limit that is shared evenly with unreachable boxes. Their demand changes without being
/// reported.
const UNREACHABLE_EVEN_SHARE: f64 = 0.3;
/// Time after its start for which a box keeps to an even share, because it has no reports of other
/// boxes' demand yet.
const STARTUP_PERIOD: Duration = Duration::from_millis(700);
/// Time after its start at which a box has received the usage of the other boxes of its region.
const USAGE_COMPLETE_AFTER: Duration = Duration::from_millis(600);
/// Age at which the reported admission rate of a region is ignored: the region admits nothing now,
/// or is about to count as unreachable.
const REGION_USAGE_TTL: Duration = Duration::from_secs(2);
/// How often an unchanged counter is reported again, because some datagrams are lost.
const USAGE_REPEATS: u32 = 1;
/// Maximum number of teams in one report, at 25 bytes each, so that the report of 480 teams fits in
/// a datagram. Reports to other regions contain the teams closest to their limits. Counters that
/// don't fit wait for the next report.
const MAX_REPORTED_TEAMS: usize = 64;
/// Number of first reports of a box in which all units that it has admitted count as new to a box
/// that receives them for the first time.
const NEW_BOX_REPORTS: u64 = 10;

/// Usage of a team on one box, as reported to the other boxes of its region.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct BoxUsage {
    /// The team.
    #[prost(fixed64, tag = "1")]
    pub team: TeamHash,
    /// Units admitted since the sender started.
    #[prost(uint64, tag = "2")]
    pub admitted: u64,
    /// Units per second requested from the sender.
    #[prost(uint64, tag = "3")]
    pub demand: u64,
    /// Units per second requested from the sender, smoothed over a longer time.
    #[prost(uint64, tag = "4")]
    pub usual: u64,
}

/// Usage of a team on all boxes of a region, as reported to other regions.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RegionUsage {
    /// The team.
    #[prost(fixed64, tag = "1")]
    pub team: TeamHash,
    /// Units per second admitted.
    #[prost(uint64, tag = "2")]
    pub admitted: u64,
    /// Units per second requested.
    #[prost(uint64, tag = "3")]
    pub demand: u64,
    /// Units per second requested, smoothed over a longer time.
    #[prost(uint64, tag = "4")]
    pub usual: u64,
}

/// Identifies a report.
#[derive(Clone, Copy, Debug)]
pub struct ReportId {
    /// Hash of the sending box.
    pub sender: u64,
    /// Start of the sending box. Reports of a newer incarnation supersede older ones.
    pub incarnation: u64,
    /// Number of the report within the incarnation.
    pub number: u64,
}

/// Parameters for the limits of all teams.
#[derive(Clone, Copy, Debug)]
pub struct Tolerance {
    /// Units that a window may hold beyond a team's limit, whatever the limit is.
    pub slack: f64,
    /// A random number from 0 to 1, drawn by each box: the part of its first request that the box
    /// owes when it begins to keep to its share. It prevents boxes whose share is less than a
    /// request from all admitting one at once.
    pub dither: f64,
}

/// Number of boxes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetSize {
    /// Number of boxes of all regions, this one included.
    pub boxes: usize,
    /// Number of reports after which each box of this region has received one.
    pub rounds: u32,
}

/// Demand for a team on other boxes, in units per second, and the share of the limit that
/// unreachable boxes and regions keep.
#[derive(Clone, Copy, Debug, Default)]
struct OtherDemand {
    same_region: f64,
    same_region_usual: f64,
    other_regions: f64,
    unreachable_share: f64,
}

/// The accounts of all teams on one box.
#[derive(Debug)]
pub struct Quotas {
    started_at: Instant,
    /// Whether the box may have admitted requests before it started.
    has_predecessor: bool,
    tolerance: Tolerance,
    fleet: FleetSize,
    accounts: HashMap<TeamHash, Account>,
    boxes: HashMap<u64, Source>,
    regions: HashMap<RegionId, Source>,
}

impl Quotas {
    /// Creates the accounts of a box that started at `started_at`. It isn't known what other boxes
    /// admitted before, so an account begins with what has been refilled since then.
    pub fn new(tolerance: Tolerance, started_at: Instant) -> Quotas {
        Quotas {
            started_at,
            has_predecessor: true,
            tolerance,
            fleet: FleetSize { boxes: 1, rounds: 1 },
            accounts: HashMap::new(),
            boxes: HashMap::new(),
            regions: HashMap::new(),
        }
    }

    /// Records that the box has not run before, so that no team is in debt for what it admitted.
    pub fn assume_no_predecessor(&mut self) {
        self.has_predecessor = false;
    }

    fn account(&mut self, team: TeamHash) -> &mut Account {
        let (started_at, share) = (self.started_at, 1.0 / self.fleet.boxes.max(1) as f64);
        self.accounts.entry(team).or_insert_with(|| Account::new(started_at, share))
    }

    /// Admits a request of a team, or returns when to retry.
    pub fn admit(
        &mut self,
        team: TeamHash,
        limit: RateLimit,
        cost: f64,
        now: Instant,
    ) -> Result<(), Refusal> {
        let counted_for = now.saturating_duration_since(self.started_at);
        let is_debt_known = !self.has_predecessor || counted_for >= UNREACHABLE_RETENTION;
        let params = AdmitParams {
            debt: self.tolerance.slack * MAX_DEBT_SHARE,
            dither: self.tolerance.dither,
            starting_up: now < self.started_at + STARTUP_PERIOD,
            counted_for: (!is_debt_known).then_some(counted_for),
        };
        self.account(team).admit(limit, cost, params, now)
    }

    /// Returns the units of an admitted request that reached no server.
    pub fn refund(&mut self, team: TeamHash, cost: f64) {
        self.account(team).refund(cost);
    }

    /// Records the usage that another box of this region reports.
    pub fn record_box_usage(&mut self, report_id: ReportId, usages: &[BoxUsage], now: Instant) {
        let ReportId { sender, incarnation, number } = report_id;
        let previous_id = self.boxes.get(&sender).map(|source| (source.incarnation, source.number));
        if previous_id.is_some_and(|previous_id| previous_id >= (incarnation, number)) {
            return;
        }
        let same_incarnation = previous_id
            .is_some_and(|(previous_incarnation, _)| previous_incarnation == incarnation);
        let source = self.boxes.entry(sender).or_insert_with(|| Source::new(now));
        if !same_incarnation {
            source.usage_by_team.clear();
        }
        (source.incarnation, source.number) = (incarnation, number);
        source.last_report_at = now;
        source.retained_shares = None;
        let counts_from_zero = same_incarnation || number <= NEW_BOX_REPORTS;
        let mut increments = Vec::new();
        for reported in usages {
            let admitted = reported.admitted as f64;
            let (demand, usual) = (reported.demand as f64, reported.usual as f64);
            let usage = Usage { admitted, demand, usual, at: now };
            let previous =
                source.usage_by_team.insert(reported.team, usage).map(|usage| usage.admitted);
            let previous = previous.unwrap_or(if counts_from_zero { 0.0 } else { admitted });
            increments.push((reported.team, admitted - previous));
        }
        for (team, units) in increments {
            let account = self.account(team);
            account.refill(now);
            account.remaining -= units;
            account.region_admitted.add(units, now);
        }
    }

    /// Records the usage that another region reports.
    pub fn record_region_usage(&mut self, region: &RegionId, usages: &[RegionUsage], now: Instant) {
        let source = self.regions.entry(region.clone()).or_insert_with(|| Source::new(now));
        source.last_report_at = now;
        source.retained_shares = None;
        let usage = |reported: &RegionUsage| Usage {
            admitted: reported.admitted as f64,
            demand: reported.demand as f64,
            usual: reported.usual as f64,
            at: now,
        };
        source.usage_by_team.extend(usages.iter().map(|reported| (reported.team, usage(reported))));
        let teams: Vec<TeamHash> = usages.iter().map(|reported| reported.team).collect();
        for team in teams {
            self.account(team);
        }
        self.update_other_regions(now);
    }

    fn update_other_regions(&mut self, now: Instant) {
        for (team, account) in &mut self.accounts {
            account.refill(now);
            let reachable = self.regions.values().filter(|source| !source.is_unreachable(now));
            let usages = reachable.filter_map(|source| source.usage_by_team.get(team));
            let recent = usages.filter(|usage| now < usage.at + REGION_USAGE_TTL);
            account.other_regions_admitted = recent.map(|usage| usage.admitted).sum();
        }
    }

    /// Recomputes the shares. Must be called several times per second.
    pub fn tick(&mut self, fleet: FleetSize, now: Instant) {
        self.fleet = fleet;
        self.boxes.retain(|_, source| now < source.last_report_at + UNREACHABLE_RETENTION);
        self.regions.retain(|_, source| now < source.last_report_at + UNREACHABLE_RETENTION);
        self.retain_unreachable_shares(now);
        self.update_other_regions(now);
        let others = self.other_demand(now);
        let boxes = self.boxes.values().filter(|source| !source.is_unreachable(now)).count() + 1;
        let even_share = EVEN_SHARE / (boxes * (self.regions.len() + 1)) as f64;
        for (team, account) in &mut self.accounts {
            let others = others.get(team).copied().unwrap_or_default();
            let own = account.demand.get(now);
            account.unreachable_share = others.unreachable_share.min(1.0);
            account.region_demand = own + others.same_region;
            account.region_usual_demand =
                account.usual.bias_corrected(now) + others.same_region_usual;
            account.total_demand = account.region_demand + others.other_regions;
            let demand_share =
                if account.total_demand > 0.0 { own / account.total_demand } else { 0.0 };
            account.share = (even_share + (1.0 - EVEN_SHARE) * demand_share)
                * (1.0 - account.unreachable_share);
        }
    }

    /// Returns the demand for each team on other boxes.
    ///
    /// It makes one pass over the reported usage. With 480 teams and 85 boxes, looking up each team
    /// at each box would take 40,000 look-ups five times a second.
    fn other_demand(&self, now: Instant) -> HashMap<TeamHash, OtherDemand> {
        let mut others: HashMap<TeamHash, OtherDemand> = HashMap::new();
        for source in self.boxes.values().chain(self.regions.values()) {
            for (team, share) in source.retained_shares.iter().flatten() {
                others.entry(*team).or_default().unreachable_share += share;
            }
        }
        for source in self.boxes.values().filter(|source| !source.is_unreachable(now)) {
            for team in source.usage_by_team.keys() {
                let others = others.entry(*team).or_default();
                others.same_region += source.demand(*team, now);
                others.same_region_usual += source.usual(*team, now);
            }
        }
        for source in self.regions.values().filter(|source| !source.is_unreachable(now)) {
            for team in source.usage_by_team.keys() {
                others.entry(*team).or_default().other_regions += source.demand(*team, now);
            }
        }
        others
    }

    /// Sets the shares that boxes and regions keep when they become unreachable.
    fn retain_unreachable_shares(&mut self, now: Instant) {
        let newly_unreachable =
            |source: &Source| source.is_unreachable(now) && source.retained_shares.is_none();
        if !self.boxes.values().chain(self.regions.values()).any(newly_unreachable) {
            return;
        }
        let totals = self.total_usual_demand(now);
        let region_even_share = UNREACHABLE_EVEN_SHARE / (self.regions.len() + 1) as f64;
        let box_even_share = region_even_share / (self.boxes.len() + 1) as f64;
        let shares = |source: &Source, even_share: f64| {
            let share = |(team, total): (&TeamHash, &f64)| {
                let demand_share =
                    if *total > 0.0 { source.usual(*team, now) / total } else { 0.0 };
                (*team, even_share + (1.0 - UNREACHABLE_EVEN_SHARE) * demand_share)
            };
            totals.iter().map(share).collect()
        };
        for source in self.boxes.values_mut().filter(|source| newly_unreachable(source)) {
            source.retained_shares = Some(shares(source, box_even_share));
        }
        for source in self.regions.values_mut().filter(|source| newly_unreachable(source)) {
            source.retained_shares = Some(shares(source, region_even_share));
        }
    }

    /// Returns the usual demand of each team over all boxes. Unreachable boxes count with what they
    /// last reported.
    fn total_usual_demand(&self, now: Instant) -> HashMap<TeamHash, f64> {
        let total = |(team, account): (&TeamHash, &Account)| {
            let sources = self.boxes.values().chain(self.regions.values());
            let others: f64 = sources.map(|source| source.usual(*team, now)).sum();
            (*team, account.usual.bias_corrected(now) + others)
        };
        self.accounts.iter().map(total).collect()
    }

    /// Returns what remains of a team's limit over all boxes, as far as this box knows; `None`
    /// without an account.
    pub fn remaining(&mut self, team: TeamHash, now: Instant) -> Option<f64> {
        let account = self.accounts.get_mut(&team)?;
        account.refill(now);
        Some(account.remaining)
    }

    /// Returns the usage to report to the boxes of this region: the counters that changed recently.
    pub fn box_usage_to_report(&mut self, now: Instant) -> Vec<BoxUsage> {
        for account in self.accounts.values_mut().filter(|account| account.usage_changed) {
            account.usage_changed = false;
            account.reports_left = self.fleet.rounds + USAGE_REPEATS;
        }
        let changed = self.accounts.iter_mut().filter(|(_, account)| account.reports_left > 0);
        let usage = |(team, account): (&TeamHash, &mut Account)| {
            account.reports_left -= 1;
            let demand = account.demand.get(now) as u64;
            let usual = account.usual.bias_corrected(now) as u64;
            BoxUsage { team: *team, admitted: account.admitted as u64, demand, usual }
        };
        changed.take(MAX_REPORTED_TEAMS).map(usage).collect()
    }

    /// Returns the usage of this region to report to other regions.
    pub fn region_usage_to_report(&self, now: Instant) -> Vec<RegionUsage> {
        if now < self.started_at + USAGE_COMPLETE_AFTER {
            return Vec::new();
        }
        let usage = |(team, account): (&TeamHash, &Account)| RegionUsage {
            team: *team,
            admitted: account.region_admitted.get(now) as u64,
            demand: account.region_demand as u64,
            usual: account.region_usual_demand as u64,
        };
        let mut by_utilization: Vec<(&TeamHash, &Account)> = self.accounts.iter().collect();
        let utilization = |account: &Account| account.total_demand / account.rate();
        by_utilization
            .sort_by(|(_, one), (_, other)| utilization(other).total_cmp(&utilization(one)));
        let usages = by_utilization.into_iter().map(usage);
        usages.filter(|usage| usage.usual > 0).take(MAX_REPORTED_TEAMS).collect()
    }
}
