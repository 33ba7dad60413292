//! Servers that announce in their responses that they are leaving.
//!
//! The store shows this too, but late, or not at all while the store is unavailable or the server
//! cannot reach it. An announcement therefore applies from the response in which it arrives, and in
//! all boxes of the region: boxes without traffic of their own, and boxes that start later, receive
//! it from other boxes. It applies to one incarnation of a server, until the server's entry in the
//! store is written anew and shows it as serving.

pub mod wire;

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use self::wire::DepartureNotice;
use super::interrupted::ServerIncarnation;

/// How long an announcement applies if no newer store entry overrides it; the server has terminated
/// long before.
const NOTICE_TTL: Duration = Duration::from_secs(600);
/// Minimum age of a newer entry that shows a server as serving. After an outage of the store, an
/// entry written before the announcement may be read after it; the server's own update follows a
/// moment later.
const ENTRY_MIN_AGE: Duration = Duration::from_millis(2200);
/// Consecutive reports that repeat a new notice, in addition to those needed to reach all boxes:
/// some datagrams are lost.
const EXTRA_REPORTS: u32 = 5;
/// Number of reports between repetitions of an old notice.
const REPEAT_INTERVAL_REPORTS: usize = 5;
/// Maximum number of notices in a report, some 15 bytes each.
const MAX_NOTICES: usize = 32;
/// Maximum number of servers whose announcements are stored.
const MAX_SERVERS: usize = 1024;
/// How much later a notice must be to count as a new announcement: the age in a notice does not
/// include the latency of the datagram.
const MIN_ADVANCE: Duration = Duration::from_millis(500);

/// The store's entry of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreEntry {
    /// Whether the entry shows the server as leaving.
    pub leaving: bool,
    /// When this box saw the entry change; `None` for the first version that it saw, which may have
    /// been written long before.
    pub changed_at: Option<Instant>,
}

impl StoreEntry {
    /// Whether the entry overrides an announcement made at that time.
    fn supersedes(&self, announced_at: Instant, now: Instant) -> bool {
        let is_old_enough = |at: Instant| at > announced_at && now >= at + ENTRY_MIN_AGE;
        !self.leaving && self.changed_at.is_some_and(is_old_enough)
    }
}

#[derive(Debug)]
struct Departure {
    announced_at: Instant,
    /// Whether a newer entry has overridden the announcement.
    superseded: bool,
    /// Number of reports that still have to contain the notice.
    reports_left: u32,
}

/// Servers that are leaving.
#[derive(Debug, Default)]
pub struct Departures {
    announcements: HashMap<ServerIncarnation, Departure>,
    /// Number of reports until each box of the region has received one.
    reports_per_round: u32,
    report_number: usize,
}

impl Departures {
    /// Records an announcement that a server made to this or another box at `at`. Returns whether
    /// the server is newly leaving.
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

    /// Sets the number of reports until each box of the region has received one.
    pub fn set_reports_per_round(&mut self, rounds: u32) {
        self.reports_per_round = rounds;
    }

    /// Ends announcements that a newer entry overrides, and drops old ones. `entry` looks up a
    /// server's entry in the store; it is called only for servers that are leaving, since there are
    /// thousands of entries and a starting box sees them all. Returns whether a server is serving
    /// again.
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
                // Announcements made before now and received later are ignored.
                (departure.superseded, departure.announced_at) = (true, now);
                is_back = true;
            }
        }
        is_back
    }

    /// Whether a server is leaving.
    pub fn is_leaving(&self, server: ServerIncarnation) -> bool {
        self.announcements.get(&server).is_some_and(|departure| !departure.superseded)
    }

    /// Number of servers that are leaving.
    pub fn len(&self) -> usize {
        self.announcements.values().filter(|departure| !departure.superseded).count()
    }

    /// Whether no server is leaving.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Notices for the next report to the other boxes of the region: the new ones. If there are
    /// none, some reports contain one of the old ones, in turn.
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
        // A box may have missed all earlier reports with this notice.
        if notices.is_empty()
            && !active.is_empty()
            && self.report_number.is_multiple_of(REPEAT_INTERVAL_REPORTS)
        {
            let (server, departure) =
                &active[self.report_number / REPEAT_INTERVAL_REPORTS % active.len()];
            notices.push(wire::notice(*server, departure.announced_at, now));
        }
        notices
    }

    /// Notices for a box that has just started.
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

    /// Applies notices from another box. Returns the servers that are newly leaving.
    pub fn receive(&mut self, notices: &[DepartureNotice], now: Instant) -> Vec<ServerIncarnation> {
        notices
            .iter()
            .filter(|notice| self.receive_notice(notice, now))
            .map(|notice| notice.server)
            .collect()
    }

    fn receive_notice(&mut self, notice: &DepartureNotice, now: Instant) -> bool {
        let Some(at) = now.checked_sub(Duration::from_millis(notice.said_ms.into())) else {
            return false;
        };
        let existing = self.announcements.get(&notice.server);
        let is_known = existing.is_some_and(|existing| at < existing.announced_at + MIN_ADVANCE);
        !is_known && self.record(notice.server, at, now)
    }
}
