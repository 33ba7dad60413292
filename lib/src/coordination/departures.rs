//! Servers that say in their answers that they leave.
//!
//! The store says so too, but a store that is away, or a server that cannot reach it, does so late or never. So a
//! word counts from the answer that it came with, on all boxes of the region: those without traffic of their own and those
//! that start meanwhile hear it from others. It holds for one life of a server, until the server's entry in the store
//! is written anew and says that it serves.

pub mod wire;

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use self::wire::DepartureNotice;
use super::interrupted::ServerIncarnation;

/// How long a word holds while nothing else is heard of the server; it has ended long before.
const NOTICE_TTL: Duration = Duration::from_secs(600);
/// How long an entry that says that a server serves must have stood: after the store was away, one from before the word
/// may be read after it, and the server's own word is there a moment later.
const ENTRY_MIN_AGE: Duration = Duration::from_millis(2200);
/// Reports in a row that tell of a word, besides as many as it takes to reach all boxes: some are lost.
const EXTRA_REPORTS: u32 = 5;
/// Reports from one word that is not new to the next.
const REPEAT_INTERVAL: usize = 5;
/// Most words in a report, some 15 bytes each.
const MAX_NOTICES: usize = 32;
/// Most servers whose words are remembered.
const MAX_SERVERS: usize = 1024;
/// How much newer a word must be that says the same: the way of a datagram is not in the age that it tells.
const MIN_ADVANCE: Duration = Duration::from_millis(500);

/// What the store shows of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreEntry {
    /// Whether it says that the server leaves.
    pub leaving: bool,
    /// When this box saw it change. The first sight is no change: it may have been written long before.
    pub changed_at: Option<Instant>,
}

impl StoreEntry {
    /// Whether it outweighs a word from then.
    fn supersedes(&self, announced_at: Instant, now: Instant) -> bool {
        let is_old_enough = |at: Instant| at > announced_at && now >= at + ENTRY_MIN_AGE;
        !self.leaving && self.changed_at.is_some_and(is_old_enough)
    }
}

#[derive(Debug)]
struct Departure {
    announced_at: Instant,
    /// Whether a newer entry has outweighed the word.
    superseded: bool,
    /// Reports that are still to tell of it.
    reports_left: u32,
}

/// What is known of servers that leave.
#[derive(Debug, Default)]
pub struct Departures {
    announcements: HashMap<ServerIncarnation, Departure>,
    /// Reports until each box of the region has got one.
    reports_per_round: u32,
    report_number: usize,
}

impl Departures {
    /// A server said then, to this box or to another one, that it leaves. Says whether that is news.
    pub fn record(&mut self, server: ServerIncarnation, at: Instant, now: Instant) -> bool {
        if now >= at + NOTICE_TTL {
            return false;
        }
        let departure = Departure {
            announced_at: at,
            superseded: false,
            reports_left: self.reports_per_round + EXTRA_REPORTS,
        };
        let is_full = self.announcements.len() >= MAX_SERVERS;
        match self.announcements.get_mut(&server) {
            None if is_full => false,
            None => {
                self.announcements.insert(server, departure);
                true
            }
            Some(existing) if at <= existing.announced_at => false,
            Some(existing) => {
                existing.announced_at = at;
                let returned = existing.superseded;
                if returned {
                    *existing = departure;
                }
                returned
            }
        }
    }

    /// It takes so many reports until each box of the region has got one.
    pub fn set_reports_per_round(&mut self, rounds: u32) {
        self.reports_per_round = rounds;
    }

    /// Ends words that a newer entry outweighs, and drops old ones; `entry` looks a server's up. Says whether a server
    /// is back by that. Nothing is looked up while none leaves: there are thousands of entries, and a box that
    /// starts sees them all.
    pub fn tick(
        &mut self,
        entry: impl Fn(ServerIncarnation) -> Option<StoreEntry>,
        now: Instant,
    ) -> bool {
        self.announcements.retain(|_, departure| now < departure.announced_at + NOTICE_TTL);
        let mut is_back = false;
        for (server, departure) in
            self.announcements.iter_mut().filter(|(_, departure)| !departure.superseded)
        {
            if entry(*server).is_some_and(|entry| entry.supersedes(departure.announced_at, now)) {
                // A word that was said before that and comes late changes nothing.
                (departure.superseded, departure.announced_at) = (true, now);
                is_back = true;
            }
        }
        is_back
    }

    /// Whether a server leaves.
    pub fn is_leaving(&self, server: ServerIncarnation) -> bool {
        self.announcements.get(&server).is_some_and(|departure| !departure.superseded)
    }

    /// How many servers leave.
    pub fn len(&self) -> usize {
        self.announcements.values().filter(|departure| !departure.superseded).count()
    }

    /// Whether none does.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What to tell the other boxes of the region in the next report: what is new, and the rest in turn.
    pub fn next_notices(&mut self, now: Instant) -> Vec<DepartureNotice> {
        self.report_number = self.report_number.wrapping_add(1);
        let mut active: Vec<(ServerIncarnation, &mut Departure)> = self
            .announcements
            .iter_mut()
            .filter(|(_, departure)| !departure.superseded)
            .map(|(server, departure)| (*server, departure))
            .collect();
        active.sort_unstable_by_key(|(server, _)| *server);
        let mut notices = Vec::new();
        for (server, departure) in
            active.iter_mut().filter(|(_, departure)| departure.reports_left > 0).take(MAX_NOTICES)
        {
            departure.reports_left -= 1;
            notices.push(wire::notice(*server, departure.announced_at, now));
        }
        // A box may have lost all reports that told it of a word.
        if notices.is_empty()
            && !active.is_empty()
            && self.report_number.is_multiple_of(REPEAT_INTERVAL)
        {
            let (server, departure) = &active[self.report_number / REPEAT_INTERVAL % active.len()];
            notices.push(wire::notice(*server, departure.announced_at, now));
        }
        notices
    }

    /// What to tell a box that has just started.
    pub fn all_notices(&self, now: Instant) -> Vec<DepartureNotice> {
        let active = self
            .announcements
            .iter()
            .filter(|(_, departure)| !departure.superseded)
            .take(MAX_NOTICES);
        active
            .map(|(server, departure)| wire::notice(*server, departure.announced_at, now))
            .collect()
    }

    /// Another box told what servers said. Gives those of which that is news.
    pub fn receive(&mut self, notices: &[DepartureNotice], now: Instant) -> Vec<ServerIncarnation> {
        notices
            .iter()
            .filter(|departure| self.receive_notice(departure, now))
            .map(|departure| departure.server)
            .collect()
    }

    fn receive_notice(&mut self, departure: &DepartureNotice, now: Instant) -> bool {
        let Some(at) = now.checked_sub(Duration::from_millis(departure.said_ms.into())) else {
            return false;
        };
        let existing = self.announcements.get(&departure.server);
        let is_known = existing.is_some_and(|existing| at < existing.announced_at + MIN_ADVANCE);
        !is_known && self.record(departure.server, at, now)
    }
}
