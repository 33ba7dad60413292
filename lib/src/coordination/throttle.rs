//! Limits for backend servers that state how many requests per second they accept from all boxes
//! together.
//!
//! An overloaded server states the rate in its responses for as long as it applies. Each box of the
//! region keeps an account of the requests that remain under that rate. The box subtracts its own
//! requests at once, and the requests of other boxes when they report them, some tenths of a second
//! later. Until then all boxes could send at the same time: with a hundred boxes, a rate of three
//! requests per second is less than one request per box.
//!
//! A request is therefore admitted at random. Its probability is the number of requests that
//! remain, divided by the number that the other boxes are expected to get until a report reaches
//! them. More boxes or more demand lower the probability, however unevenly the demand is spread.
//! Boxes without demand take nothing from the others, and what remains grows until the server gets
//! all that it accepts.
//!
//! A box that becomes unreachable is assumed to continue, and keeps a share of the rate according
//! to its usual demand. If it is only partitioned from the others, it assumes the same of them.
//! Brittle servers limit the requests in progress instead; see `room`.
//!
//! Rates, counts and demand are part of the reports that boxes exchange anyway. The rates are also
//! in the store, for boxes that start when no other box is left to report them.
//!
//! Cases that this design has to handle: engines that stated 4.5 and 3.1 requests per second and
//! got seven times as many from two boxes; and 100 boxes with 600 requests per second for a server
//! that states three, where a token bucket of only one request per box admits 100 at once.

mod account;
mod demand;
mod exchange;
mod region;
mod room;
pub mod wire;

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use self::account::Account;
use self::account::RateChange;
use self::account::StatedRate;
use self::demand::Demand;
use self::region::Peer;
use self::region::PeerTotals;
use self::room::Rooms;
pub use self::room::ServerCapacity;
use super::rendezvous;

/// Hash that identifies one incarnation of a server, as in [`super::interrupted`].
pub type ServerIncarnation = u64;
/// Hash that identifies a service.
pub type ServiceHash = u64;

/// Time between the reports of a box.
const REPORT_PERIOD: Duration = Duration::from_millis(200);
/// Time after which an unconfirmed rate expires. A server that gets requests confirms its rate far
/// more often.
const RATE_TTL: Duration = Duration::from_secs(600);
/// Time without a report after which a box counts as unreachable, if each report is sent to all
/// boxes: some reports have been lost by then.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(1500);
/// The same limit in rounds of reports, if each report is sent to some of the boxes in turn.
const UNREACHABLE_ROUNDS: u32 = 3;
/// Number of extra reports that contain a change, because some reports are lost.
const REPORT_REPEATS: u32 = 2;
/// Maximum number of servers with an account. It is far above the number of servers of one region.
const MAX_SERVERS: usize = 1024;
/// Time for which a rate must have been in effect before the first box writes it to the store, and
/// the time between one box and the next. It is long enough for the write of one box to be visible
/// to all.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of boxes that write a rate one after the other if the previous ones fail.
const MAX_WRITERS: usize = 10;
/// Maximum number of rates in one write.
const MAX_RATES_PER_WRITE: usize = 16;
/// Age assumed for a rate from the store, so that any rate received from a server or box is newer.
const ASSUMED_STORED_AGE: Duration = Duration::from_secs(60);
/// Shortest and longest time after which a refused caller is asked to retry.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_secs(10));

/// A stated rate in the store, for boxes that start when no other box knows the rate any longer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredRate {
    /// The incarnation of the server.
    pub server: ServerIncarnation,
    /// The service of the server.
    pub service: ServiceHash,
    /// Requests per second; `None` if the server no longer states a rate.
    pub rate: Option<f64>,
}

/// The accounts of all servers on one box.
#[derive(Debug)]
pub struct Throttles {
    /// Number of reports after which each box of the region has received one.
    rounds: u32,
    servers: HashMap<ServerIncarnation, Account>,
    services: HashMap<ServiceHash, Demand>,
    boxes: HashMap<u64, Peer>,
    /// Number of reports composed. Unchanged data is reported in rotation.
    report_count: usize,
    /// A random number from 0 to 1, drawn by each box: the part of a request that it owes when it
    /// doesn't receive reports from the others.
    dither: f64,
    /// Share of a rate for this box and the reachable ones, if no demand is known.
    reachable_share: f64,
    /// Hash of this box.
    own: u64,
    /// Hashes of the other boxes of the region that may send requests to its servers.
    others: HashSet<u64>,
    rooms: Rooms,
}

impl Throttles {
    /// Creates a box's accounts, without any stated rate. `dither` is drawn at random from 0 to 1
    /// by each box.
    pub fn new(dither: f64) -> Throttles {
        Throttles {
            rounds: 1,
            servers: HashMap::new(),
            services: HashMap::new(),
            boxes: HashMap::new(),
            report_count: 0,
            dither,
            reachable_share: 1.0,
            own: 0,
            others: HashSet::new(),
            rooms: Rooms::default(),
        }
    }

    /// Sets the hash of this box, by which the boxes of a region are ordered.
    pub fn with_box(mut self, own: u64) -> Throttles {
        self.own = own;
        self
    }

    /// Time until a report of this box has reached each other box of the region.
    fn propagation_time(&self) -> Duration {
        REPORT_PERIOD * self.rounds
    }

    fn unreachable_after(&self) -> Duration {
        UNREACHABLE_AFTER.max(self.propagation_time() * UNREACHABLE_ROUNDS)
    }

    /// Records the rate in a server's response to this box, or that the response states none.
    /// Returns whether to notify the other boxes at once.
    pub fn record_rate(
        &mut self,
        server: ServerIncarnation,
        service: ServiceHash,
        rate: Option<f64>,
        now: Instant,
    ) -> bool {
        self.update_rate(server, service, StatedRate { rate, at: now }, now) == RateChange::Major
    }

    fn update_rate(
        &mut self,
        server: ServerIncarnation,
        service: ServiceHash,
        stated: StatedRate,
        now: Instant,
    ) -> RateChange {
        let (propagation_time, rounds) = (self.propagation_time(), self.rounds);
        let is_full = self.servers.len() >= MAX_SERVERS;
        let change = match self.servers.get_mut(&server) {
            Some(account) => account.update_rate(stated, now, propagation_time),
            None if stated.rate.is_none() || is_full => return RateChange::Unchanged,
            None => {
                let mut account = Account::new(service, stated, now);
                account.set_reachable_share(
                    self.reachable_share,
                    self.dither,
                    now,
                    propagation_time,
                );
                self.servers.insert(server, account);
                RateChange::Major
            }
        };
        if let Some(account) = self.servers.get_mut(&server)
            && change != RateChange::Unchanged
        {
            account.rate_reports_left = rounds + REPORT_REPEATS;
            account.compare_with_store(now);
        }
        change
    }

    /// Returns the rate that a server states, if any.
    pub fn rate(&self, server: ServerIncarnation) -> Option<f64> {
        self.servers.get(&server)?.stated.rate
    }

    /// Records that a server is brittle, or that it no longer is, according to its response to this
    /// box. Returns whether to notify the other boxes at once.
    pub fn record_brittle(
        &mut self,
        server: ServerIncarnation,
        service: ServiceHash,
        max_rejections: Option<u32>,
        now: Instant,
    ) -> bool {
        let reports = self.rounds + REPORT_REPEATS;
        let is_news = self.rooms.record_statement(server, service, max_rejections, reports, now);
        if is_news {
            self.update_shares(now);
        }
        is_news
    }

    /// Records that a server rejected a request while it had `held` others. Returns whether the
    /// server is brittle, so that the other boxes are notified at once.
    pub fn record_rejection(&mut self, capacity: ServerCapacity, held: u32, now: Instant) -> bool {
        let reports = self.rounds + REPORT_REPEATS;
        self.rooms.record_rejection(capacity, held, self.others.len() + 1, reports, now)
    }

    /// Returns how many rejections in a second a server survives, if it is brittle.
    pub fn max_rejections(&self, server: ServerIncarnation) -> Option<u32> {
        self.rooms.max_rejections(server)
    }

    /// Returns the number of requests that all boxes together may have at a server; `None` if the
    /// server is not brittle.
    pub fn room_limit(&self, capacity: ServerCapacity, now: Instant) -> Option<u32> {
        self.rooms.limit(capacity, now)
    }

    /// Returns the number of requests that this box may have at a server; `None` if the server is
    /// not brittle.
    pub fn room_share(&self, capacity: ServerCapacity, now: Instant) -> Option<u32> {
        self.rooms.share(capacity, now)
    }

    /// Returns how many requests each box of the region, by its hash, may have at brittle servers of
    /// a service.
    pub fn room_places(
        &self,
        service: ServiceHash,
        servers: impl Iterator<Item = ServerCapacity>,
        now: Instant,
    ) -> HashMap<u64, u32> {
        self.rooms.places(service, servers, now)
    }

    /// Returns the number of servers that are brittle.
    pub fn brittle_count(&self) -> usize {
        self.rooms.len()
    }

    /// Returns the number of servers that state a rate.
    pub fn len(&self) -> usize {
        self.servers.values().filter(|account| account.stated.rate.is_some()).count()
    }

    /// Returns whether no server states a rate or is brittle.
    pub fn is_empty(&self) -> bool {
        self.len() == 0 && self.brittle_count() == 0
    }

    /// Records that this box has a request for a service.
    pub fn record_request(&mut self, service: ServiceHash, now: Instant) {
        self.services.entry(service).or_insert_with(|| Demand::new(now)).record_request(now);
    }

    /// Returns whether a request may be sent to a server now. `random` is drawn evenly from 0 to 1
    /// for each request and server.
    pub fn admits(&self, server: ServerIncarnation, random: f64, now: Instant) -> bool {
        let Some(account) = self.servers.get(&server) else { return true };
        let remaining = account.remaining(now, self.propagation_time());
        let demand = self.services.get(&account.service);
        let others = demand.map_or(0.0, |demand| demand.other_boxes(now));
        remaining > 0.0 && random * others * self.propagation_time().as_secs_f64() <= remaining
    }

    /// Returns whether a whole request remains for a server, or the server states no rate.
    pub fn has_capacity(&self, server: ServerIncarnation, now: Instant) -> bool {
        let account = self.servers.get(&server);
        account.is_none_or(|account| account.remaining(now, self.propagation_time()) >= 1.0)
    }

    /// Records that a request is sent to a server.
    pub fn record_sent(&mut self, server: ServerIncarnation, now: Instant) {
        let (propagation_time, rounds) = (self.propagation_time(), self.rounds);
        let Some(account) = self.servers.get_mut(&server) else { return };
        account.charge(1.0, now, propagation_time);
        account.sent += 1;
        account.count_reports_left = rounds + REPORT_REPEATS;
    }

    /// Returns when a caller should retry if nothing remains for any server of the service.
    ///
    /// Callers are asked to retry one after the other, at this box's share of the rate that the
    /// servers accept. In six simulated surges, callers were refused 19,763 times when each was
    /// asked to retry after half of a latency objective, and 5,464 times with this rule; as many
    /// were served.
    pub fn retry_after(
        &mut self,
        service: ServiceHash,
        servers: impl Iterator<Item = ServerIncarnation>,
        now: Instant,
    ) -> Duration {
        let rates = servers.filter_map(|server| self.servers.get(&server)?.rate());
        let rate: f64 = rates.sum();
        let demand = self.services.entry(service).or_insert_with(|| Demand::new(now));
        let own = demand.own(now).recent;
        let share = if own > 0.0 { own / (own + demand.other_boxes(now)) } else { 1.0 };
        let interval =
            Duration::try_from_secs_f64(1.0 / (rate * share)).unwrap_or(RETRY_AFTER_RANGE.1);
        let from = demand.last_retry_at.max(now);
        let at = (from + interval.min(RETRY_AFTER_RANGE.1)).min(now + RETRY_AFTER_RANGE.1);
        demand.last_retry_at = at;
        at.saturating_duration_since(now).max(RETRY_AFTER_RANGE.0)
    }

    /// Recomputes the demand on other boxes and the shares that unreachable boxes keep. Must be
    /// called with each report. `others` are the hashes of the other boxes of the region that may
    /// send requests to its servers.
    pub fn tick(&mut self, others: &HashSet<u64>, rounds: u32, now: Instant) {
        self.rounds = rounds.max(1);
        self.others.clone_from(others);
        self.remove_expired_servers(now);
        self.rooms.expire(now);
        let (propagation_time, unreachable_after) =
            (self.propagation_time(), self.unreachable_after());
        let is_reachable = |peer: &Peer| now < peer.last_report_at + unreachable_after;
        self.boxes.retain(|hash, peer| is_reachable(peer) || others.contains(hash));
        let unknown = others.iter().filter(|hash| !self.boxes.contains_key(hash)).count();
        let mut totals = PeerTotals::default();
        self.boxes.values().for_each(|peer| totals.add(None, is_reachable(peer)));
        self.reachable_share = totals.reachable_share(0.0, unknown);
        for service in self.limited_services() {
            let mut totals = PeerTotals::default();
            for peer in self.boxes.values() {
                totals.add(peer.demands.get(&service).copied(), is_reachable(peer));
            }
            let demand = self.services.entry(service).or_insert_with(|| Demand::new(now));
            let reachable_share = totals.reachable_share(demand.own(now).usual, unknown);
            (demand.others, demand.unreported) = (totals.demand, totals.unreported);
            for account in self.servers.values_mut().filter(|account| account.service == service) {
                account.set_reachable_share(reachable_share, self.dither, now, propagation_time);
            }
        }
        self.update_shares(now);
    }

    /// Recomputes this box's shares of the room of brittle servers. Boxes that are unreachable keep
    /// theirs.
    fn update_shares(&mut self, now: Instant) {
        let services: Vec<ServiceHash> = self.rooms.services().collect();
        let members: BTreeSet<u64> =
            self.others.iter().chain(self.boxes.keys()).chain([&self.own]).copied().collect();
        let propagation_time = self.propagation_time();
        for service in services {
            let demand_on = |member: u64| match self.boxes.get(&member) {
                _ if member == self.own => self.services.get(&service)?.weight,
                peer => peer?.weights.get(&service).copied().filter(|weight| weight.is_finite()),
            };
            let demands: Vec<(u64, Option<f64>)> =
                members.iter().map(|member| (*member, demand_on(*member))).collect();
            self.rooms.update_shares(service, self.own, &demands, propagation_time, now);
        }
    }

    /// Removes servers whose rate has expired, and the counts of requests that other boxes sent
    /// them.
    fn remove_expired_servers(&mut self, now: Instant) {
        let servers = &mut self.servers;
        let mut expired = HashSet::new();
        servers.retain(|server, account| {
            let keep = now < account.stated.at + RATE_TTL;
            keep || !expired.insert(*server)
        });
        if expired.is_empty() {
            return;
        }
        for peer in self.boxes.values_mut() {
            peer.counts.retain(|server, _| !expired.contains(server));
        }
    }

    fn limited_services(&self) -> Vec<ServiceHash> {
        let limited = self.servers.values().filter(|account| account.stated.rate.is_some());
        let mut services: Vec<ServiceHash> = limited.map(|account| account.service).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Services of which the boxes report their demand.
    fn shared_services(&self) -> Vec<ServiceHash> {
        let mut services = self.limited_services();
        services.extend(self.rooms.services());
        services.sort_unstable();
        services.dedup();
        services
    }

    /// Merges the rate of a server that the store contains, or the fact that it contains none.
    pub fn merge_stored(&mut self, stored_rate: StoredRate, now: Instant) {
        let StoredRate { server, service, rate } = stored_rate;
        if rate.is_some() && !self.servers.contains_key(&server) {
            let at = now.checked_sub(ASSUMED_STORED_AGE).unwrap_or(now);
            self.update_rate(server, service, StatedRate { rate, at }, now);
        }
        if let Some(account) = self.servers.get_mut(&server) {
            account.stored = rate;
            account.compare_with_store(now);
        }
    }

    /// Returns the rates that this box should write to the store now: those that differ from what
    /// the store contains. The boxes write one after the other, in the order of their rank for the
    /// server, until the store contains the rate.
    pub fn rates_to_write(&self, own: u64, now: Instant) -> Vec<StoredRate> {
        let is_due = |server: ServerIncarnation, account: &Account| {
            let rank = self.rank(own, server);
            let delay = WRITE_INTERVAL * (rank as u32 + 1);
            rank < MAX_WRITERS && account.unstored_since.is_some_and(|since| now >= since + delay)
        };
        let due = self.servers.iter().filter(|(server, account)| is_due(**server, account));
        let stored_rate = |(server, account): (&ServerIncarnation, &Account)| StoredRate {
            server: *server,
            service: account.service,
            rate: account.stated.rate,
        };
        due.take(MAX_RATES_PER_WRITE).map(stored_rate).collect()
    }

    /// Returns the number of boxes that come before this one when one box has to act for a server.
    fn rank(&self, own: u64, server: ServerIncarnation) -> usize {
        let own = rendezvous::mix(own, server);
        self.boxes.keys().filter(|other| rendezvous::mix(**other, server) > own).count()
    }
}
