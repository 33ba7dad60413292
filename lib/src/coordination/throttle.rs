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
pub mod told;

use std::collections::HashMap;
use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use self::account::Account;
use self::account::Difference;
use self::account::Said;
use self::demand::Asked;
use self::demand::Demand;
use self::told::Count;
use self::told::News;
use self::told::Word;
use super::quota::Teller;
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
/// Part of a rate that boxes share evenly while some are silent: demand moves on then, and nobody hears of it.
const EVEN_IN_SILENCE: f64 = 0.3;
/// How often what is new is told beyond once: some reports are lost.
const REPEATS: u32 = 2;
/// Reports after its start within which all that a box has sent is new to those that hear it first.
const FIRST_REPORTS: u64 = 10;
/// Most words, counts and demands in a report: 30, 13 and 17 bytes each. A box sends some 160 reports a
/// second, and 12 KB in all.
const WORDS: usize = 16;
const COUNTS: usize = 32;
const DEMANDS: usize = 2;
/// Reports from one word that is not new to the next.
const RETOLD: usize = 5;
/// Most servers with an account, far above those of one region.
const SERVERS: usize = 1024;
/// Time from one box to the next one that writes a word to the store: by then a write of the one before
/// has come back to all.
const WRITE_GAP: Duration = Duration::from_millis(500);
/// Boxes that would write a word after one another, should those before fail.
const WRITERS: usize = 10;
/// Age that a word from the store counts with: whatever was heard is newer.
const STORED_AGE: Duration = Duration::from_secs(60);
/// Shortest and longest time after which a refused caller is asked to come back.
const COME_BACK: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(10));

/// What another box of the region said.
#[derive(Debug)]
struct Source {
    incarnation: u64,
    number: u64,
    heard_at: Instant,
    counts: HashMap<ServerLife, u64>,
    demands: HashMap<ServiceHash, Asked>,
}

/// A word as the store keeps it, for boxes that start when all others have forgotten it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Stored {
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
    pub fn said(
        &mut self,
        server: ServerLife,
        service: ServiceHash,
        rate: Option<f64>,
        now: Instant,
    ) -> bool {
        self.hear_word(server, service, Said { rate, at: now }, now) == Difference::Urgent
    }

    fn hear_word(
        &mut self,
        server: ServerLife,
        service: ServiceHash,
        said: Said,
        now: Instant,
    ) -> Difference {
        let (news_takes, rounds) = (self.news_takes(), self.rounds);
        let is_full = self.servers.len() >= SERVERS;
        let difference = match self.servers.get_mut(&server) {
            Some(account) => account.hear(said, now, news_takes),
            None if said.rate.is_none() || is_full => return Difference::Same,
            None => {
                let mut account = Account::new(service, said, now);
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
        self.servers.get(&server)?.said.rate
    }

    /// How many servers name a rate.
    pub fn len(&self) -> usize {
        self.servers.values().filter(|account| account.said.rate.is_some()).count()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// This box is asked for a place on a server of a service.
    pub fn asked(&mut self, service: ServiceHash, now: Instant) {
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
    pub fn has_left(&self, server: ServerLife, now: Instant) -> bool {
        let account = self.servers.get(&server);
        account.is_none_or(|account| account.left(now, self.news_takes()) >= 1.0)
    }

    /// A request goes to a server.
    pub fn sent(&mut self, server: ServerLife, now: Instant) {
        let (news_takes, rounds) = (self.news_takes(), self.rounds);
        let Some(account) = self.servers.get_mut(&server) else { return };
        account.charge(1.0, now, news_takes);
        account.sent += 1;
        account.tell_count = rounds + REPEATS;
    }

    /// When a caller should come back who finds only servers that have nothing left: one after the
    /// other, as this box's part of what these servers take allows. Told half of a latency objective each,
    /// callers of six simulated rushes were refused 19,763 times, so 5,464, and as many were served.
    pub fn come_back(
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
            let stays = now < account.said.at + WORD_LIFE;
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
        let limited = self.servers.values().filter(|account| account.said.rate.is_some());
        let mut services: Vec<ServiceHash> = limited.map(|account| account.service).collect();
        services.sort_unstable();
        services.dedup();
        services
    }

    /// The store shows a word of a server, or none any more.
    pub fn stored(&mut self, word: Stored, now: Instant) {
        let Stored { server, service, rate } = word;
        if rate.is_some() && !self.servers.contains_key(&server) {
            let at = now.checked_sub(STORED_AGE).unwrap_or(now);
            self.hear_word(server, service, Said { rate, at }, now);
        }
        if let Some(account) = self.servers.get_mut(&server) {
            account.stored = rate;
            account.compare_stored(now);
        }
    }

    /// What this box should write to the store now: words that it shows otherwise. One box after the
    /// other does so, by its rank for the server, until the word is there.
    pub fn unwritten(&self, own: u64, now: Instant) -> Vec<Stored> {
        let due = self.servers.iter().filter(|(server, account)| {
            let rank = self.rank(own, **server);
            let writes = rank < WRITERS;
            writes
                && account
                    .unstored_since
                    .is_some_and(|since| now >= since + WRITE_GAP * rank as u32)
        });
        let word = |(server, account): (&ServerLife, &Account)| Stored {
            server: *server,
            service: account.service,
            rate: account.said.rate,
        };
        due.take(WORDS).map(word).collect()
    }

    /// Boxes that come before this one where one box is to act for a server.
    fn rank(&self, own: u64, server: ServerLife) -> usize {
        let own = rendezvous::mix(own, server);
        self.boxes.keys().filter(|other| rendezvous::mix(**other, server) > own).count()
    }

    /// What to tell the other boxes of the region in the next report.
    pub fn news(&mut self, now: Instant) -> News {
        let mut news = News::default();
        let mut servers: Vec<ServerLife> = self.servers.keys().copied().collect();
        servers.sort_unstable();
        for server in &servers {
            let Some(account) = self.servers.get_mut(server) else { continue };
            if account.tell_word > 0 && news.words.len() < WORDS {
                account.tell_word -= 1;
                news.words.push(word(*server, account, now));
            }
            if account.tell_count > 0 && news.counts.len() < COUNTS {
                account.tell_count -= 1;
                news.counts.push(Count { server: *server, sent: account.sent });
            }
        }
        self.turn = self.turn.wrapping_add(1);
        // A box may have lost all reports that told it of a word.
        if self.turn.is_multiple_of(RETOLD) && news.words.is_empty() && !servers.is_empty() {
            let server = servers[self.turn / RETOLD % servers.len()];
            news.words.extend(self.servers.get(&server).map(|account| word(server, account, now)));
        }
        let limited = self.limited_services();
        let first = self.turn * DEMANDS % limited.len().max(1);
        let told = limited.iter().cycle().skip(first).take(limited.len().min(DEMANDS));
        let own = |service: &ServiceHash| {
            let own = self.services.get(service).map_or(Asked::default(), |asked| asked.own(now));
            told::Demand {
                service: *service,
                per_minute: (own.lately * 60.0).ceil() as u32,
                usual_per_minute: (own.usual * 60.0).ceil() as u32,
            }
        };
        news.demands.extend(told.map(own));
        news
    }

    /// What to tell a box that has just started: whatever there is room for.
    pub fn all_words(&self, now: Instant) -> News {
        let limited = self.servers.iter().filter(|(_, account)| account.said.rate.is_some());
        let words = limited.take(WORDS).map(|(server, account)| word(*server, account, now));
        News { words: words.collect(), ..News::default() }
    }

    /// Another box of the region told something. Says whether it is new to this one, so that it
    /// should hear what servers said.
    pub fn hear(&mut self, teller: Teller, news: &News, now: Instant) -> bool {
        let Teller { sender, incarnation, number } = teller;
        let known = self.boxes.get(&sender).map(|source| (source.incarnation, source.number));
        if known.is_some_and(|known| known >= (incarnation, number)) {
            return false;
        }
        let same_life = known.is_some_and(|(life, _)| life == incarnation);
        let silent_after = self.silent_after();
        let source = self.boxes.entry(sender).or_insert_with(|| Source {
            incarnation,
            number,
            heard_at: now,
            counts: HashMap::new(),
            demands: HashMap::new(),
        });
        // What a box sent while it was silent was taken off the rate already.
        let was_heard = now < source.heard_at + silent_after;
        let counts_all = (same_life || number <= FIRST_REPORTS) && was_heard;
        if !same_life {
            source.counts.clear();
        }
        (source.incarnation, source.number, source.heard_at) = (incarnation, number, now);
        let asked = |told: &told::Demand| Asked {
            lately: f64::from(told.per_minute) / 60.0,
            usual: f64::from(told.usual_per_minute) / 60.0,
        };
        source.demands.extend(news.demands.iter().map(|told| (told.service, asked(told))));
        let mut sent = Vec::new();
        for Count { server, sent: count } in &news.counts {
            let before = source.counts.insert(*server, *count).unwrap_or(0);
            sent.push((*server, count.saturating_sub(before)));
        }
        self.hear_words(&news.words, now);
        let news_takes = self.news_takes();
        for (server, requests) in sent.into_iter().filter(|_| counts_all) {
            if let Some(account) = self.servers.get_mut(&server) {
                account.charge(requests as f64, now, news_takes);
            }
        }
        !same_life
    }

    /// Another box of the region told what servers said.
    pub fn hear_words(&mut self, words: &[Word], now: Instant) {
        words.iter().for_each(|told| self.hear_word_told(told, now));
    }

    fn hear_word_told(&mut self, told: &Word, now: Instant) {
        let age = Duration::from_millis(u64::from(told.said_ms));
        let Some(at) = now.checked_sub(age).filter(|_| age < WORD_LIFE) else { return };
        let rate = told.rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
        let own = self.servers.get(&told.server).map(|account| account.said);
        let difference = self.hear_word(told.server, told.service, Said { rate, at }, now);
        if difference != Difference::Same {
            log::info!(
                "event=server_rate life={:x} rate={rate:?} before={:?} said_ms={} by=box",
                told.server,
                own.and_then(|said| said.rate),
                told.said_ms
            );
        }
        // Who tells of an older word has not heard the newer one.
        let rounds = self.rounds;
        if let Some(account) = self.servers.get_mut(&told.server)
            && account.said.at > at
            && account.said.rate != rate
        {
            account.tell_word = account.tell_word.max(rounds);
        }
    }
}

fn word(server: ServerLife, account: &Account, now: Instant) -> Word {
    let said_ms = now.saturating_duration_since(account.said.at).as_millis();
    Word {
        server,
        service: account.service,
        rate: account.said.rate,
        said_ms: u32::try_from(said_ms).unwrap_or(u32::MAX),
    }
}

/// What was heard of one service.
#[derive(Clone, Copy, Debug, Default)]
struct Region {
    /// Boxes that are heard.
    heard: usize,
    /// Those of them that have not said what they are asked for.
    unsaid: usize,
    /// What they are asked for, in sum.
    demand: Asked,
    /// Boxes that have fallen silent.
    silent: usize,
    /// Requests a second that these usually were asked for when last heard.
    silent_usual: f64,
}

impl Region {
    fn add(&mut self, asked: Option<Asked>, is_heard: bool) {
        if !is_heard {
            self.silent += 1;
            self.silent_usual += asked.map_or(0.0, |asked| asked.usual);
            return;
        }
        self.heard += 1;
        match asked {
            Some(asked) => {
                self.demand.lately += asked.lately;
                self.demand.usual += asked.usual;
            }
            None => self.unsaid += 1,
        }
    }

    /// Part of a rate that boxes which hear each other may use, this one with its own demand among
    /// them. Those that were never heard are taken to be asked for as much as the others in the mean.
    fn rest(&self, own_usual: f64, unknown: usize) -> f64 {
        let away = (self.silent + unknown) as f64;
        if away == 0.0 {
            return 1.0;
        }
        let known = (1 + self.heard + self.silent) as f64;
        let known_usual = own_usual + self.demand.usual + self.silent_usual;
        let unknown_usual = unknown as f64 * known_usual / known;
        let even = away / (known + unknown as f64);
        let all = known_usual + unknown_usual;
        let by_demand = if all > 0.0 { (self.silent_usual + unknown_usual) / all } else { even };
        1.0 - EVEN_IN_SILENCE * even - (1.0 - EVEN_IN_SILENCE) * by_demand
    }
}
