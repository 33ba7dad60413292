//! Limits of teams over all boxes, without a call on the request path.
//!
//! Each box keeps an account of every team that it hears of: what the limit,
//! taken as one bucket for all boxes, has left. Boxes of a region tell each other
//! what they let in, as counts that only grow, so that a lost datagram is made up
//! for by the next one; of the other regions a box hears how much they let in a
//! second. A request is let in while there is something left, and may leave the
//! account in debt, since it can be larger than a burst.
//!
//! While all boxes together are asked for more than the limit, news that is some
//! tenths of a second old would let them all in at once. So a box then keeps to its
//! part of the limit, by the part of the demand that it sees, as soon as the account
//! runs low. Boxes or regions that fall silent keep the part that they had, and the
//! others keep to the rest: whoever they are cut off from does the same by the same
//! figures.
//!
//! What this answers: a team that asks for several times its usual, beside a limit
//! of a few requests a second and more boxes than that. Even parts of such a limit
//! are smaller than one request.

mod account;
mod source;

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use self::account::Account;
pub use self::account::Refusal;
use self::account::Terms;
use self::source::Source;
use self::source::Word;
use crate::protocol::RegionId;
use crate::protocol::team::Limit;

/// What stands for a team in datagrams.
pub type TeamHash = u64;

/// How long one that is silent keeps its part: longer than anything that a limit is measured over.
const MEMORY: Duration = Duration::from_secs(60);
/// Part of what a window may hold beyond the limit that an account may be in debt. The rest is for
/// what boxes let in before they hear of each other.
const DEBT: f64 = 0.1;
/// Part of a limit that boxes share evenly, so that one that had no demand can serve some.
const EVEN: f64 = 0.1;
/// The same when they fall silent: demand moves on then, and no one hears of it.
const EVEN_IN_SILENCE: f64 = 0.3;
/// How long after its start a box keeps to an even part, since it has heard of no one's demand.
const FRESH: Duration = Duration::from_millis(700);
/// How long after its start a box has heard what the others of its region let in.
const HEARD_ALL: Duration = Duration::from_millis(600);
/// Age at which what a region was said to let in no longer counts: it lets in nothing now, or is
/// about to count as silent.
const FLOW_LIFE: Duration = Duration::from_secs(2);
/// How often a count is told again without having changed: some datagrams are lost.
const REPEATS: u32 = 1;
/// Most teams in one report, so that 480 teams do not outgrow a datagram: 25 bytes each. Of a region
/// those are told that are nearest to their limits; the counts of others wait for the next report.
const TOLD: usize = 64;
/// Reports after its start within which all that a box has let in is new to those that hear it first.
const FIRST_REPORTS: u64 = 10;

/// What a box tells those of its region of a team.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct BoxUsage {
    /// The team.
    #[prost(fixed64, tag = "1")]
    pub team: TeamHash,
    /// Units let in since the sender's start.
    #[prost(uint64, tag = "2")]
    pub admitted: u64,
    /// Units a second that it is asked for.
    #[prost(uint64, tag = "3")]
    pub demand: u64,
    /// The same over a longer time.
    #[prost(uint64, tag = "4")]
    pub usual: u64,
}

/// What a box tells those of other regions of a team, about all boxes of its own.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RegionUsage {
    /// The team.
    #[prost(fixed64, tag = "1")]
    pub team: TeamHash,
    /// Units a second let in.
    #[prost(uint64, tag = "2")]
    pub admitted: u64,
    /// Units a second asked for.
    #[prost(uint64, tag = "3")]
    pub demand: u64,
    /// The same over a longer time.
    #[prost(uint64, tag = "4")]
    pub usual: u64,
}

/// Who tells counts.
#[derive(Clone, Copy, Debug)]
pub struct ReportId {
    /// What stands for the box.
    pub sender: u64,
    /// Its start; a newer one supersedes.
    pub incarnation: u64,
    /// Number of the report in this life.
    pub number: u64,
}

/// What holds for the limits of all teams.
#[derive(Clone, Copy, Debug)]
pub struct Tolerance {
    /// Units that a window may hold beyond the limit of a team, whatever that is.
    pub slack: f64,
    /// Drawn from 0 to 1 by each box: how much of its first request it owes when it begins to keep to
    /// its part, so that boxes with a part smaller than a request do not all let one in at once.
    pub dither: f64,
}

/// How many boxes there are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FleetSize {
    /// Boxes of all regions, this one included.
    pub boxes: usize,
    /// Reports until each box of this region has got one.
    pub rounds: u32,
}

/// What others say of a team, in units a second, and the part of its limit that silent ones keep.
#[derive(Clone, Copy, Debug, Default)]
struct Heard {
    beside: f64,
    usual_beside: f64,
    elsewhere: f64,
    silent: f64,
}

/// The accounts of one box.
#[derive(Debug)]
pub struct Quotas {
    started_at: Instant,
    bound: Tolerance,
    fleet: FleetSize,
    accounts: HashMap<TeamHash, Account>,
    boxes: HashMap<u64, Source>,
    regions: HashMap<RegionId, Source>,
}

impl Quotas {
    /// No accounts yet, in a box that started then. What others let in before is not known, so an
    /// account begins with what has come in since.
    pub fn new(bound: Tolerance, started_at: Instant) -> Quotas {
        Quotas {
            started_at,
            bound,
            fleet: FleetSize { boxes: 1, rounds: 1 },
            accounts: HashMap::new(),
            boxes: HashMap::new(),
            regions: HashMap::new(),
        }
    }

    fn account(&mut self, team: TeamHash) -> &mut Account {
        let (started_at, part) = (self.started_at, 1.0 / self.fleet.boxes.max(1) as f64);
        self.accounts.entry(team).or_insert_with(|| Account::new(started_at, part))
    }

    /// Lets a request of a team in, or says when to come back.
    pub fn admit(
        &mut self,
        team: TeamHash,
        limit: Limit,
        cost: f64,
        now: Instant,
    ) -> Result<(), Refusal> {
        let terms = Terms {
            debt: self.bound.slack * DEBT,
            dither: self.bound.dither,
            fresh: now < self.started_at + FRESH,
        };
        self.account(team).admit(limit, cost, terms, now)
    }

    /// A request that was let in has reached no server.
    pub fn refund(&mut self, team: TeamHash, cost: f64) {
        self.account(team).refund(cost);
    }

    /// A box of this region says what it let in.
    pub fn record_box_usage(&mut self, teller: ReportId, counts: &[BoxUsage], now: Instant) {
        let ReportId { sender, incarnation, number } = teller;
        let known = self.boxes.get(&sender).map(|source| (source.incarnation, source.number));
        if known.is_some_and(|known| known >= (incarnation, number)) {
            return;
        }
        let same_life = known.is_some_and(|(life, _)| life == incarnation);
        let source = self.boxes.entry(sender).or_insert_with(|| Source::new(now));
        if !same_life {
            source.words.clear();
        }
        (source.incarnation, source.number) = (incarnation, number);
        source.heard_at = now;
        source.parts = None;
        let from_start = same_life || number <= FIRST_REPORTS;
        let mut news = Vec::new();
        for count in counts {
            let admitted = count.admitted as f64;
            let (demand, usual) = (count.demand as f64, count.usual as f64);
            let word = Word { admitted, demand, usual, at: now };
            let before = source.words.insert(count.team, word).map(|word| word.admitted);
            let before = before.unwrap_or(if from_start { 0.0 } else { admitted });
            news.push((count.team, admitted - before));
        }
        for (team, units) in news {
            let account = self.account(team);
            account.fill(now);
            account.remaining -= units;
            account.in_region.add(units, now);
        }
    }

    /// A box of another region says what its region lets in.
    pub fn record_region_usage(&mut self, region: &RegionId, flows: &[RegionUsage], now: Instant) {
        let source = self.regions.entry(region.clone()).or_insert_with(|| Source::new(now));
        source.heard_at = now;
        source.parts = None;
        let word = |flow: &RegionUsage| Word {
            admitted: flow.admitted as f64,
            demand: flow.demand as f64,
            usual: flow.usual as f64,
            at: now,
        };
        source.words.extend(flows.iter().map(|flow| (flow.team, word(flow))));
        let told: Vec<TeamHash> = flows.iter().map(|flow| flow.team).collect();
        for team in told {
            self.account(team);
        }
        self.count_elsewhere(now);
    }

    fn count_elsewhere(&mut self, now: Instant) {
        for (team, account) in &mut self.accounts {
            account.fill(now);
            let heard = self.regions.values().filter(|source| !source.is_silent(now));
            let words = heard.filter_map(|source| source.words.get(team));
            let recent = words.filter(|word| now < word.at + FLOW_LIFE);
            account.elsewhere = recent.map(|word| word.admitted).sum();
        }
    }

    /// Works out the parts anew; call some times a second.
    pub fn tick(&mut self, fleet: FleetSize, now: Instant) {
        self.fleet = fleet;
        self.boxes.retain(|_, source| now < source.heard_at + MEMORY);
        self.regions.retain(|_, source| now < source.heard_at + MEMORY);
        self.freeze(now);
        self.count_elsewhere(now);
        let heard = self.heard(now);
        let boxes = self.boxes.values().filter(|source| !source.is_silent(now)).count() + 1;
        let even = EVEN / (boxes * (self.regions.len() + 1)) as f64;
        for (team, account) in &mut self.accounts {
            let heard = heard.get(team).copied().unwrap_or_default();
            let own = account.demand.get(now);
            account.silent = heard.silent.min(1.0);
            account.region_demand = own + heard.beside;
            account.region_usual = account.usual.since_start(now) + heard.usual_beside;
            account.all_demand = account.region_demand + heard.elsewhere;
            let by_demand = if account.all_demand > 0.0 { own / account.all_demand } else { 0.0 };
            account.part = (even + (1.0 - EVEN) * by_demand) * (1.0 - account.silent);
        }
    }

    /// What others say of each team, in one pass over their words: with 480 teams and 85 boxes a look-up
    /// of each team at each box would be 40,000 five times a second.
    fn heard(&self, now: Instant) -> HashMap<TeamHash, Heard> {
        let mut heard: HashMap<TeamHash, Heard> = HashMap::new();
        for source in self.boxes.values().chain(self.regions.values()) {
            for (team, part) in source.parts.iter().flatten() {
                heard.entry(*team).or_default().silent += part;
            }
        }
        for source in self.boxes.values().filter(|source| !source.is_silent(now)) {
            for team in source.words.keys() {
                let heard = heard.entry(*team).or_default();
                heard.beside += source.demand(*team, now);
                heard.usual_beside += source.usual(*team, now);
            }
        }
        for source in self.regions.values().filter(|source| !source.is_silent(now)) {
            for team in source.words.keys() {
                heard.entry(*team).or_default().elsewhere += source.demand(*team, now);
            }
        }
        heard
    }

    /// Gives boxes and regions that have just fallen silent the parts that they keep.
    fn freeze(&mut self, now: Instant) {
        let fallen = |source: &Source| source.is_silent(now) && source.parts.is_none();
        if !self.boxes.values().chain(self.regions.values()).any(fallen) {
            return;
        }
        let totals = self.usual_of_all(now);
        let region_even = EVEN_IN_SILENCE / (self.regions.len() + 1) as f64;
        let box_even = region_even / (self.boxes.len() + 1) as f64;
        let parts = |source: &Source, even: f64| {
            let part = |(team, total): (&TeamHash, &f64)| {
                let by_demand = if *total > 0.0 { source.usual(*team, now) / total } else { 0.0 };
                (*team, even + (1.0 - EVEN_IN_SILENCE) * by_demand)
            };
            totals.iter().map(part).collect()
        };
        for source in self.boxes.values_mut().filter(|source| fallen(source)) {
            source.parts = Some(parts(source, box_even));
        }
        for source in self.regions.values_mut().filter(|source| fallen(source)) {
            source.parts = Some(parts(source, region_even));
        }
    }

    /// The usual demand of each team as it was before anybody fell silent: words of the silent ones
    /// are kept.
    fn usual_of_all(&self, now: Instant) -> HashMap<TeamHash, f64> {
        let total = |(team, account): (&TeamHash, &Account)| {
            let sources = self.boxes.values().chain(self.regions.values());
            let others: f64 = sources.map(|source| source.usual(*team, now)).sum();
            (*team, account.usual.since_start(now) + others)
        };
        self.accounts.iter().map(total).collect()
    }

    /// What a team has left over all boxes, as far as this one knows; `None` without an account.
    pub fn remaining(&mut self, team: TeamHash, now: Instant) -> Option<f64> {
        let account = self.accounts.get_mut(&team)?;
        account.fill(now);
        Some(account.remaining)
    }

    /// What to tell the boxes of this region: counts that have changed of late.
    pub fn box_usage_to_report(&mut self, now: Instant) -> Vec<BoxUsage> {
        for account in self.accounts.values_mut().filter(|account| account.changed) {
            account.changed = false;
            account.tell = self.fleet.rounds + REPEATS;
        }
        let changed = self.accounts.iter_mut().filter(|(_, account)| account.tell > 0);
        let count = |(team, account): (&TeamHash, &mut Account)| {
            account.tell -= 1;
            let demand = account.demand.get(now) as u64;
            let usual = account.usual.since_start(now) as u64;
            BoxUsage { team: *team, admitted: account.admitted as u64, demand, usual }
        };
        changed.take(TOLD).map(count).collect()
    }

    /// What to tell boxes of other regions of this one.
    pub fn region_usage_to_report(&self, now: Instant) -> Vec<RegionUsage> {
        if now < self.started_at + HEARD_ALL {
            return Vec::new();
        }
        let flow = |(team, account): (&TeamHash, &Account)| RegionUsage {
            team: *team,
            admitted: account.in_region.get(now) as u64,
            demand: account.region_demand as u64,
            usual: account.region_usual as u64,
        };
        let mut nearest: Vec<(&TeamHash, &Account)> = self.accounts.iter().collect();
        let use_of = |account: &Account| account.all_demand / account.rate();
        nearest.sort_by(|(_, one), (_, other)| use_of(other).total_cmp(&use_of(one)));
        let flows = nearest.into_iter().map(flow);
        flows.filter(|flow| flow.usual > 0).take(TOLD).collect()
    }
}
