//! Backend servers that name a rate: what they take from all boxes together.
//!
//! A server in need names the rate in its answers, for as long as it holds. Each box
//! of the region keeps an account of what the server has left by that rate. It subtracts
//! what it sends at once, and what others send when they tell, some tenths of a second
//! later. Until then they might all send: at a hundred boxes, a rate of three requests a
//! second is less than one each. So a request that might go there goes by chance, and
//! the chance is what is left against what the other boxes are asked for in the time that
//! news takes. With more boxes or more demand, each request has less of a chance, however
//! unevenly the demand is spread; boxes with none take nothing from the others, and what
//! is left grows until the server gets all that it takes.
//!
//! A box that falls silent is taken to go on, and keeps a part of the rate by its usual demand;
//! so do the others for it, if it is only cut off from them. Words, counts and
//! demands travel in the reports that boxes send each other anyway; words are in the store as
//! well, for boxes that start when no other is left to tell them.
//!
//! What this answers: engines that named 4.5 and 3.1 requests a second and got seven
//! times as much from two boxes; 100 boxes with 600 requests a second before a server that
//! names three, where a bucket of even one request a box lets in 100 at once.

mod account;
mod demand;
pub mod messages;
mod peers;
mod reports;

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use self::account::Account;
use self::account::Difference;
use self::account::StatedRate;
use self::demand::Demand;
use self::peers::Region;
use self::peers::Source;
use super::rendezvous;

/// What stands for one life of a server.
pub type ServerLife = u64;
/// What stands for a service.
pub type ServiceHash = u64;

/// Time between reports of a box.
const PERIOD: Duration = Duration::from_millis(200);
/// How long a word counts that nothing has confirmed. A server that is asked for is heard far more often.
const WORD_LIFE: Duration = Duration::from_secs(600);
/// Age at which a box counts as silent where all are told in each report: some have been lost by then.
const SILENT: Duration = Duration::from_millis(1500);
/// The same in reports, where boxes are told in turn.
const SILENT_REPORTS: u32 = 3;
/// How often what is new is told beyond once: some reports are lost.
const REPEATS: u32 = 2;
/// Most servers with an account, far above those of one region.
const SERVERS: usize = 1024;
/// Time that a word must have stood before the first box writes it to the store, and from one box to the next:
/// by then a write of the one before has come back to all.
const WRITE_GAP: Duration = Duration::from_millis(500);
/// Boxes that would write a word after one another, should those before fail.
const WRITERS: usize = 10;
/// Most words in one write.
const WRITTEN: usize = 16;
/// Age that a word from the store counts with: whatever was heard is newer.
const STORED_AGE: Duration = Duration::from_secs(60);
/// Shortest and longest time after which a refused caller is asked to come back.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));

/// A word as the store keeps it, for boxes that start when all others have forgotten it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredRate {
    /// The life of the server.
    pub server: ServerLife,
    /// Its service.
    pub service: ServiceHash,
    /// Requests a second; `None` for no rate any more.
    pub rate: Option<f64>,
}

/// The accounts of one box.
#[derive(Debug)]
pub struct Throttles {
    /// Reports until each box of the region has got one.
    rounds: u32,
    servers: HashMap<ServerLife, Account>,
    services: HashMap<ServiceHash, Demand>,
    boxes: HashMap<u64, Source>,
    /// Counts reports: what is not new is told in turn.
    turn: usize,
    /// Drawn from 0 to 1 by each box: how much of a request it owes when it doesn't hear the others.
    dither: f64,
    /// Part of a rate that is left for this box and those that it hears, where no demand is known.
    rest: f64,
}

impl Throttles {
    /// No server names a rate, as far as known; `dither` is drawn by each box from 0 to 1.
    pub fn new(dither: f64) -> Throttles {
        Throttles {
            rounds: 1,
            servers: HashMap::new(),
            services: HashMap::new(),
            boxes: HashMap::new(),
            turn: 0,
            dither,
            rest: 1.0,
        }
    }

    /// Time until what one box does is known to the others.
    fn news_takes(&self) -> Duration {
        PERIOD * self.rounds
    }

    fn silent_after(&self) -> Duration {
        SILENT.max(self.news_takes() * SILENT_REPORTS)
    }

    /// A server named a rate in an answer to this box, or none. Says whether the others must hear of
    /// it at once.
    pub fn record_rate(
        &mut self,
        server: ServerLife,
        service: ServiceHash,
        rate: Option<f64>,
        now: Instant,
    ) -> bool {
        self.hear_word(server, service, StatedRate { rate, at: now }, now) == Difference::Urgent
    }

    fn hear_word(
        &mut self,
        server: ServerLife,
        service: ServiceHash,
        stated: StatedRate,
        now: Instant,
    ) -> Difference {
        let (news_takes, rounds) = (self.news_takes(), self.rounds);
        let is_full = self.servers.len() >= SERVERS;
        let difference = match self.servers.get_mut(&server) {
            Some(account) => account.hear(stated, now, news_takes),
            None if stated.rate.is_none() || is_full => return Difference::Same,
            None => {
                let mut account = Account::new(service, stated, now);
                account.keep_to(self.rest, self.dither, now, news_takes);
                self.servers.insert(server, account);
                Difference::Urgent
            }
        };
        if let Some(account) = self.servers.get_mut(&server)
            && difference != Difference::Same
        {
            account.tell_word = rounds + REPEATS;
            account.compare_stored(now);
        }
        difference
    }

    /// The rate that a server names, if it does.
    pub fn rate(&self, server: ServerLife) -> Option<f64> {
        self.servers.get(&server)?.stated.rate
    }

    /// How many servers name a rate.
    pub fn len(&self) -> usize {
        self.servers.values().filter(|account| account.stated.rate.is_some()).count()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// This box is asked for a place on a server of a service.
    pub fn record_request(&mut self, service: ServiceHash, now: Instant) {
        self.services.entry(service).or_insert_with(|| Demand::new(now)).asked(now);
    }

    /// Whether a request may go to a server now; `luck` is drawn evenly from 0 to 1 for each request
    /// and server.
    pub fn admits(&self, server: ServerLife, luck: f64, now: Instant) -> bool {
        let Some(account) = self.servers.get(&server) else { return true };
        let left = account.left(now, self.news_takes());
        let demand = self.services.get(&account.service);
        let others = demand.map_or(0.0, |demand| demand.elsewhere(now));
        left > 0.0 && luck * others * self.news_takes().as_secs_f64() <= left
    }

    /// Whether a server has a whole request left, or names no rate.
    pub fn has_capacity(&self, server: ServerLife, now: Instant) -> bool {
        let account = self.servers.get(&server);
        account.is_none_or(|account| account.left(now, self.news_takes()) >= 1.0)
    }

    /// A request goes to a server.
    pub fn record_sent(&mut self, server: ServerLife, now: Instant) {
        let (news_takes, rounds) = (self.news_takes(), self.rounds);
        let Some(account) = self.servers.get_mut(&server) else { return };
        account.charge(1.0, now, news_takes);
        account.sent += 1;
        account.tell_count = rounds + REPEATS;
    }

    /// When a caller should come back who finds only servers that have nothing left: one after the
    /// other, as this box's part of what these servers take allows. Told half of a latency objective each,
    /// callers of six simulated rushes were refused 19,763 times, so 5,464, and as many were served.
    pub fn retry_after(
        &mut self,
        service: ServiceHash,
        servers: impl Iterator<Item = ServerLife>,
        now: Instant,
    ) -> Duration {
        let rates = servers.filter_map(|server| self.servers.get(&server)?.rate());
        let rate: f64 = rates.sum();
        let demand = self.services.entry(service).or_insert_with(|| Demand::new(now));
        let own = demand.own(now).lately;
        let part = if own > 0.0 { own / (own + demand.elsewhere(now)) } else { 1.0 };
        let each = Duration::try_from_secs_f64(1.0 / (rate * part)).unwrap_or(COME_BACK.1);
        let from = demand.last_return.max(now);
        let at = (from + each.min(COME_BACK.1)).min(now + COME_BACK.1);
        demand.last_return = at;
        at.saturating_duration_since(now).max(COME_BACK.0)
    }

    /// Works out anew what the others are asked for, and what silent ones keep; call with each report.
    /// `others` stand for the other boxes of the region that may send to its servers.
    pub fn tick(&mut self, others: &HashSet<u64>, rounds: u32, now: Instant) {
        self.rounds = rounds.max(1);
        self.forget_servers(now);
        let (news_takes, silent_after) = (self.news_takes(), self.silent_after());
        let is_heard = |source: &Source| now < source.heard_at + silent_after;
        self.boxes.retain(|hash, source| is_heard(source) || others.contains(hash));
        let unknown = others.iter().filter(|hash| !self.boxes.contains_key(hash)).count();
        let mut region = Region::default();
        self.boxes.values().for_each(|source| region.add(None, is_heard(source)));
        self.rest = region.rest(0.0, unknown);
        for service in self.limited_services() {
            let mut region = Region::default();
            for source in self.boxes.values() {
                region.add(source.demands.get(&service).copied(), is_heard(source));
            }
            let demand = self.services.entry(service).or_insert_with(|| Demand::new(now));
            let rest = region.rest(demand.own(now).usual, unknown);
            (demand.others, demand.unsaid) = (region.demand, region.unsaid);
            for account in self.servers.values_mut().filter(|account| account.service == service) {
                account.keep_to(rest, self.dither, now, news_takes);
            }
        }
    }

    /// Drops servers that were not heard for long, and what others sent them.
    fn forget_servers(&mut self, now: Instant) {
        let servers = &mut self.servers;
        let mut gone = HashSet::new();
        servers.retain(|server, account| {
            let stays = now < account.stated.at + WORD_LIFE;
            stays || !gone.insert(*server)
        });
        if gone.is_empty() {
            return;
        }
        for source in self.boxes.values_mut() {
            source.counts.retain(|server, _| !gone.contains(server));
        }
    }

    fn limited_services(&self) -> Vec<ServiceHash> {
        let limited = self.servers.values().filter(|account| account.stated.rate.is_some());
        let mut services: Vec<ServiceHash> = limited.map(|account| account.service).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// The store shows a word of a server, or none any more.
    pub fn merge_stored(&mut self, word: StoredRate, now: Instant) {
        let StoredRate { server, service, rate } = word;
        if rate.is_some() && !self.servers.contains_key(&server) {
            let at = now.checked_sub(STORED_AGE).unwrap_or(now);
            self.hear_word(server, service, StatedRate { rate, at }, now);
        }
        if let Some(account) = self.servers.get_mut(&server) {
            account.stored = rate;
            account.compare_stored(now);
        }
    }

    /// What this box should write to the store now: words that it shows otherwise. One box after the
    /// other does so, by its rank for the server, until the word is there.
    pub fn rates_to_write(&self, own: u64, now: Instant) -> Vec<StoredRate> {
        let is_due = |server: ServerLife, account: &Account| {
            let rank = self.rank(own, server);
            let pause = WRITE_GAP * (rank as u32 + 1);
            rank < WRITERS && account.unstored_since.is_some_and(|since| now >= since + pause)
        };
        let due = self.servers.iter().filter(|(server, account)| is_due(**server, account));
        let word = |(server, account): (&ServerLife, &Account)| StoredRate {
            server: *server,
            service: account.service,
            rate: account.stated.rate,
        };
        due.take(WRITTEN).map(word).collect()
    }

    /// Boxes that come before this one where one box is to act for a server.
    fn rank(&self, own: u64, server: ServerLife) -> usize {
        let own = rendezvous::mix(own, server);
        self.boxes.keys().filter(|other| rendezvous::mix(**other, server) > own).count()
    }
}
