//! What a box tells the others of its region of servers that name a rate, and what it makes of what
//! they tell.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::ServerLife;
use super::ServiceHash;
use super::Throttles;
use super::WORD_LIFE;
use super::account::Account;
use super::account::Difference;
use super::account::StatedRate;
use super::demand::Asked;
use super::messages;
use super::messages::Count;
use super::messages::ServerRate;
use super::messages::ThrottleReport;
use super::peers::Source;
use crate::coordination::quota::ReportId;

/// Reports after its start within which all that a box has sent is new to those that hear it first.
const FIRST_REPORTS: u64 = 10;
/// Most words, counts and demands in a report: 30, 13 and 17 bytes each. A box sends some 160 reports a
/// second, and 12 KB in all.
const WORDS: usize = 16;
const COUNTS: usize = 32;
const DEMANDS: usize = 2;
/// Reports from one word that is not new to the next.
const RETOLD: usize = 5;
/// How much newer a word must be that says the same. The way of a datagram is not in the age that it tells, so
/// a word that went to and fro between boxes would look newer each time, and newer than the server's next one.
const CONFIRMED_AFTER: Duration = Duration::from_millis(500);

impl Throttles {
    /// What to tell the other boxes of the region in the next report.
    pub fn next_report(&mut self, now: Instant) -> ThrottleReport {
        let mut news = ThrottleReport::default();
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
            messages::Demand {
                service: *service,
                per_minute: (own.lately * 60.0).ceil() as u32,
                usual_per_minute: (own.usual * 60.0).ceil() as u32,
            }
        };
        news.demands.extend(told.map(own));
        news
    }

    /// What to tell a box that has just started: whatever there is room for.
    pub fn all_rates(&self, now: Instant) -> ThrottleReport {
        let limited = self.servers.iter().filter(|(_, account)| account.stated.rate.is_some());
        let words = limited.take(WORDS).map(|(server, account)| word(*server, account, now));
        ThrottleReport { words: words.collect(), ..ThrottleReport::default() }
    }

    /// Another box of the region told something. Says whether it is new to this one, so that it
    /// should hear what servers said.
    pub fn receive_report(
        &mut self,
        teller: ReportId,
        news: &ThrottleReport,
        now: Instant,
    ) -> bool {
        let ReportId { sender, incarnation, number } = teller;
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
        let asked = |told: &messages::Demand| Asked {
            lately: f64::from(told.per_minute) / 60.0,
            usual: f64::from(told.usual_per_minute) / 60.0,
        };
        source.demands.extend(news.demands.iter().map(|told| (told.service, asked(told))));
        let mut sent = Vec::new();
        for Count { server, sent: count } in &news.counts {
            let before = source.counts.insert(*server, *count).unwrap_or(0);
            sent.push((*server, count.saturating_sub(before)));
        }
        self.merge_rates(&news.words, now);
        let news_takes = self.news_takes();
        for (server, requests) in sent.into_iter().filter(|_| counts_all) {
            if let Some(account) = self.servers.get_mut(&server) {
                account.charge(requests as f64, now, news_takes);
            }
        }
        !same_life
    }

    /// Another box of the region told what servers said.
    pub fn merge_rates(&mut self, words: &[ServerRate], now: Instant) {
        words.iter().for_each(|told| self.hear_word_told(told, now));
    }

    fn hear_word_told(&mut self, told: &ServerRate, now: Instant) {
        let age = Duration::from_millis(u64::from(told.said_ms));
        let Some(at) = now.checked_sub(age).filter(|_| age < WORD_LIFE) else { return };
        let rate = told.rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
        let own = self.servers.get(&told.server).map(|account| account.stated);
        if own.is_some_and(|own| own.rate == rate && at < own.at + CONFIRMED_AFTER) {
            return;
        }
        let difference = self.hear_word(told.server, told.service, StatedRate { rate, at }, now);
        if difference != Difference::Same {
            log::info!(
                "event=server_rate life={:x} rate={rate:?} before={:?} said_ms={} by=box",
                told.server,
                own.and_then(|stated| stated.rate),
                told.said_ms
            );
        }
        // Who tells of an older word has not heard the newer one.
        let rounds = self.rounds;
        if let Some(account) = self.servers.get_mut(&told.server)
            && account.stated.at > at
            && account.stated.rate != rate
        {
            account.tell_word = account.tell_word.max(rounds);
        }
    }
}

fn word(server: ServerLife, account: &Account, now: Instant) -> ServerRate {
    let said_ms = now.saturating_duration_since(account.stated.at).as_millis();
    ServerRate {
        server,
        service: account.service,
        rate: account.stated.rate,
        said_ms: u32::try_from(said_ms).unwrap_or(u32::MAX),
    }
}
