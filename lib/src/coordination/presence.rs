//! What boxes say of themselves in datagrams, beside what the store says of them.
//!
//! While the store does not answer, a box that stops cannot write that it leaves,
//! and one that is back cannot write that it serves. Both reach the others by
//! datagram all the same. A word counts for one life of a box; a newer life in
//! the store, or another word, supersedes it.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::rendezvous;
use crate::protocol::Incarnation;
use crate::protocol::fleet::BoxRecord;

/// How long a box that leaves is still worth naming: it accepts for 2.5 s after it said so, and
/// callers keep the answer for another second.
const ACCEPTS_AFTER_LEAVING: Duration = Duration::from_millis(1500);

/// How long a word about leaving counts: the longest stop and a start. Incarnations follow the
/// clock, so after a jump back of the clock a newer life looks older, and only time heals it.
const LEAVING_TTL: Duration = Duration::from_secs(15);

/// How long a box counts as heard after its last datagram: with five a second to each box of the
/// region, some have been lost by then.
const HEARD_TTL: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Announcement {
    incarnation: Incarnation,
    /// Since when it leaves.
    leaving_since: Option<Instant>,
}

/// The newest word of each box.
#[derive(Debug, Default)]
pub struct Presence {
    announcements: HashMap<u64, Announcement>,
    heard_at: HashMap<u64, Instant>,
}

/// What stands for a box in datagrams.
pub fn box_hash(name: &str) -> u64 {
    rendezvous::weight(name, "")
}

impl Presence {
    /// A box says whether it leaves. Says whether that is news.
    pub fn record_announcement(
        &mut self,
        sender: u64,
        incarnation: Incarnation,
        leaving: bool,
        now: Instant,
    ) -> bool {
        let previous = self.announcements.get(&sender).copied();
        let same_incarnation =
            previous.filter(|announcement| announcement.incarnation == incarnation);
        let is_older = previous.is_some_and(|announcement| announcement.incarnation > incarnation);
        // A stop is never taken back, and datagrams may overtake each other.
        let is_known = same_incarnation
            .is_some_and(|announcement| !leaving || announcement.leaving_since.is_some());
        if is_older || is_known {
            return false;
        }
        self.announcements
            .insert(sender, Announcement { incarnation, leaving_since: leaving.then_some(now) });
        true
    }

    /// A datagram of a box has come.
    pub fn record_datagram(&mut self, sender: u64, now: Instant) {
        self.heard_at.insert(sender, now);
    }

    /// Whether a box was heard lately.
    pub fn was_heard_recently(&self, name: &str, now: Instant) -> bool {
        let at = self.heard_at.get(&box_hash(name));
        at.is_some_and(|at| now < *at + HEARD_TTL)
    }

    /// Drops old words.
    pub fn expire(&mut self, now: Instant) {
        self.heard_at.retain(|_, at| now < *at + HEARD_TTL);
        let is_valid = |announcement: &Announcement| {
            announcement.leaving_since.is_none_or(|since| now < since + LEAVING_TTL)
        };
        self.announcements.retain(|_, announcement| is_valid(announcement));
    }

    /// Whether callers may be sent to a box.
    pub fn serves(&self, record: &BoxRecord) -> bool {
        match self.announcement(record) {
            Some(announcement) => announcement.leaving_since.is_none(),
            None => !record.leaving,
        }
    }

    /// Whether a box that leaves still accepts requests: it has only just said so.
    pub fn accepts(&self, record: &BoxRecord, now: Instant) -> bool {
        let since = self.announcement(record).and_then(|announcement| announcement.leaving_since);
        since.is_some_and(|since| now < since + ACCEPTS_AFTER_LEAVING)
    }

    /// The word that counts against a record: one of the same life says more only when it
    /// leaves, and one of a newer life says all.
    fn announcement(&self, record: &BoxRecord) -> Option<Announcement> {
        let announcement = *self.announcements.get(&box_hash(&record.name))?;
        let is_valid = announcement.incarnation > record.incarnation
            || (announcement.incarnation == record.incarnation
                && announcement.leaving_since.is_some());
        is_valid.then_some(announcement)
    }
}
