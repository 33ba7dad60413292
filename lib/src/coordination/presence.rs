//! Announcements of boxes in datagrams, in addition to their records in the store.
//!
//! While the store is unavailable, a stopping box cannot write that it is leaving, and a restarted
//! one cannot write that it serves. Datagrams still reach the other boxes. An announcement applies
//! to one incarnation of a box; a newer incarnation in the store, or a later announcement,
//! supersedes it.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::rendezvous;
use crate::protocol::Incarnation;
use crate::protocol::fleet::BoxRecord;

/// How long after its announcement a leaving box may still be named to callers. It accepts requests
/// for 2.5 s, and callers use a cached response that names it for up to one more second.
const NAMED_AFTER_LEAVING: Duration = Duration::from_millis(1500);

/// How long a leaving announcement applies: as long as the slowest stop and the following start
/// take together. Incarnations follow the clock, so after a backward clock jump a newer incarnation
/// is taken for an older one until the announcement expires.
const LEAVING_TTL: Duration = Duration::from_secs(15);

/// How long a datagram from a box counts as recent. Each box of the region gets five a
/// second; some have been lost by then.
const DATAGRAM_TTL: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, Debug)]
struct Announcement {
    incarnation: Incarnation,
    /// When the box announced that it is leaving.
    leaving_since: Option<Instant>,
}

/// Latest announcement and datagram of each box.
#[derive(Debug, Default)]
pub struct Presence {
    announcements: HashMap<u64, Announcement>,
    received_at: HashMap<u64, Instant>,
}

/// Hash of a box's name, which identifies it in datagrams.
pub fn box_hash(name: &str) -> u64 {
    rendezvous::weight(name, "")
}

impl Presence {
    /// Records whether a box is leaving. Returns whether this is new.
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
        // A stop is never revoked, and datagrams may arrive out of order.
        let is_known = same_incarnation
            .is_some_and(|announcement| !leaving || announcement.leaving_since.is_some());
        if is_older || is_known {
            return false;
        }
        self.announcements
            .insert(sender, Announcement { incarnation, leaving_since: leaving.then_some(now) });
        true
    }

    /// Records that a datagram of a box has arrived.
    pub fn record_datagram(&mut self, sender: u64, now: Instant) {
        self.received_at.insert(sender, now);
    }

    /// Whether a datagram of a box has arrived recently.
    pub fn has_recent_datagram(&self, name: &str, now: Instant) -> bool {
        let at = self.received_at.get(&box_hash(name));
        at.is_some_and(|at| now < *at + DATAGRAM_TTL)
    }

    /// Drops expired announcements.
    pub fn expire(&mut self, now: Instant) {
        self.received_at.retain(|_, at| now < *at + DATAGRAM_TTL);
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

    /// Whether a leaving box may still be named to callers: it announced that it is leaving only
    /// recently, and accepts their requests for some time yet.
    pub fn may_be_named(&self, record: &BoxRecord, now: Instant) -> bool {
        let since = self.announcement(record).and_then(|announcement| announcement.leaving_since);
        since.is_some_and(|since| now < since + NAMED_AFTER_LEAVING)
    }

    /// The announcement that overrides a record: one of the same incarnation only if the box is
    /// leaving, one of a newer incarnation always.
    fn announcement(&self, record: &BoxRecord) -> Option<Announcement> {
        let announcement = *self.announcements.get(&box_hash(&record.name))?;
        let is_valid = announcement.incarnation > record.incarnation
            || (announcement.incarnation == record.incarnation
                && announcement.leaving_since.is_some());
        is_valid.then_some(announcement)
    }
}
