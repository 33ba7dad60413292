//! How recent the state is that a box has from the store, and who has a newer one.
//!
//! A box that loses the store goes on with what it knows, and nothing in that
//! state says that it no longer holds. So each box notes until when its state
//! was that of the store, and tells the others which state it has. One that
//! knows no newer state vouches for it; one that does is worth asking.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::rendezvous;
use crate::protocol::platform::Era;
use crate::protocol::platform::Position;

/// Age of a state from which some box looks whether there are changes. It tells the others if
/// there are none, so the age stays below this and the time that words need, some 0.5 s.
const CHECK_AGE: Duration = Duration::from_millis(800);
/// Boxes that look at first; twice as many for each [`LOOK_AGAIN`] that the state stays
/// unconfirmed, so that about as many look in a large fleet as in a small one.
const INITIAL_CHECKERS: f64 = 2.0;
/// Boxes that try to reach a store that is away, for each [`LOOK_AGAIN`]: forty calls a second of
/// all boxes. With every box trying each 0.3 s, a day of 54 s with an outage of 8 s cost 295 boxes
/// 22,001 calls, most of them in the outage; with this, and few that watch, 6,297.
const RECONNECTING_BOXES: f64 = 8.0;
/// Time from one look at the age to the next.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Age from which servers are asked, so that their answers are there when the state is stale.
const AGING_AGE: Duration = Duration::from_secs(2);
/// Age from which a state may hide that a server turned cold: engines of an evacuated failure
/// domain turned cold 5 s after the evacuation.
const STALE_AGE: Duration = Duration::from_millis(2500);
/// Boxes that ask each server. With one, its loss leaves the others without a word.
const PROBERS_PER_SERVER: usize = 2;
/// How much longer a box waits before it asks one of another region: a way there and back, and the
/// time in which those beside it are told.
const REMOTE_PATIENCE: Duration = Duration::from_millis(300);
/// Longest usual way of a datagram within a region, and between two. An age that leaves the way out falls
/// with each word: boxes that nobody tells vouch for each other until nobody looks.
const MAX_LATENCY_IN_REGION: Duration = Duration::from_millis(10);
const MAX_LATENCY_BETWEEN_REGIONS: Duration = Duration::from_millis(100);
/// How long a box counts as asking after its last word: some datagrams are lost.
const PROBER_TTL: Duration = Duration::from_secs(1);

/// Which state of the store a box has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Version {
    /// Place in the store's history that it was read at.
    pub position: Position,
    /// Digest of all keys, their revisions and values: the store's revision may grow without a change.
    pub digest: u64,
}

impl Version {
    /// Whether this state has changes that another one lacks.
    pub fn is_ahead_of(&self, other: &Version) -> bool {
        self.position > other.position && self.digest != other.digest
    }
}

/// What another box says of its state.
#[derive(Clone, Copy, Debug)]
pub struct PeerState {
    /// What stands for the box in datagrams.
    pub sender: u64,
    /// Where it can be asked for that state.
    pub address: SocketAddr,
    /// Its state.
    pub version: Version,
    /// How long ago that was the store's.
    pub age: Duration,
    /// Whether it sends to the same servers as this box.
    pub is_same_region: bool,
}

impl PeerState {
    /// How long it may have been under way.
    fn max_latency(&self) -> Duration {
        if self.is_same_region { MAX_LATENCY_IN_REGION } else { MAX_LATENCY_BETWEEN_REGIONS }
    }

    /// Whether the box is rather asked than another one that is ahead as well: one beside this box,
    /// then the one with the newest state, then the one that was heard last, so that not all
    /// boxes ask the same one.
    fn is_preferred_over(&self, other: &PeerState) -> bool {
        match (self.is_same_region, other.is_same_region) {
            (true, false) => true,
            (false, true) => false,
            _ => !other.version.is_ahead_of(&self.version),
        }
    }
}

/// The state that a box decides by.
#[derive(Clone, Copy, Debug)]
pub struct StateSummary {
    /// Place in the store's history that it was read at.
    pub position: Position,
    /// How long ago it was the store's; `None` before there is any.
    pub age: Option<Duration>,
    /// The box that said so; `None` if the store did, or the box that the state was taken from.
    pub confirmed_by: Option<u64>,
}

impl fmt::Display for StateSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let age_ms = self.age.map_or(-1, |age| age.as_millis() as i64);
        write!(formatter, "state={} state_ms={age_ms} state_by=", self.position)?;
        match self.confirmed_by {
            Some(sender) => write!(formatter, "{sender:x}"),
            None => formatter.write_str("store"),
        }
    }
}

/// What is known of the age of a box's state.
#[derive(Debug, Default)]
pub struct Freshness {
    version: Version,
    /// The newest era that was heard of.
    newest_era: Era,
    /// When the state was last that of the store.
    confirmed_at: Option<Instant>,
    /// The box that said so; `None` if the store did, or the box that the state was taken from.
    confirmed_by: Option<u64>,
    /// The box with the newest state, if that is newer than this one's.
    newer_peer: Option<PeerState>,
    /// Since when this box is behind without having learned anything.
    behind_since: Option<Instant>,
    /// Boxes beside this one whose state is as old, and when they said so.
    probers: HashMap<u64, Instant>,
}

impl Freshness {
    /// The store is in this era, if no newer one was heard of.
    pub fn observe_era(&mut self, era: Era) {
        self.newest_era = self.newest_era.max(era);
    }

    /// Whether the store has gone back to an older copy since this state was read.
    pub fn is_superseded(&self) -> bool {
        self.version.position.era < self.newest_era
    }

    /// The box has taken in a state that was the store's at that time, if that is known.
    pub fn record_state(&mut self, version: Version, at: Option<Instant>, now: Instant) {
        self.version = version;
        self.observe_era(version.position.era);
        if at > self.confirmed_at {
            self.confirmed_at = at;
            self.confirmed_by = None;
        }
        self.newer_peer = self.newer_peer.filter(|peer| peer.version.is_ahead_of(&version));
        self.behind_since = self.newer_peer.map(|_| now);
    }

    /// A box says which state it has. Says whether this box has only now fallen behind.
    pub fn record_peer(&mut self, peer: &PeerState, now: Instant) -> bool {
        let was_behind = self.behind_since.is_some();
        self.observe_era(peer.version.position.era);
        if peer.is_same_region && peer.age >= AGING_AGE {
            self.probers.insert(peer.sender, now);
        } else {
            self.probers.remove(&peer.sender);
        }
        if peer.version.digest == self.version.digest {
            // Nothing that is followed has changed up to there.
            self.version.position = self.version.position.max(peer.version.position);
        }
        if peer.version.is_ahead_of(&self.version) {
            let is_preferred = self.newer_peer.is_none_or(|ahead| peer.is_preferred_over(&ahead));
            self.newer_peer = if is_preferred { Some(*peer) } else { self.newer_peer };
            self.behind_since.get_or_insert(now);
        } else if let Some(at) = now.checked_sub(peer.age.saturating_add(peer.max_latency()))
            && peer.version.position.era == self.version.position.era
        {
            self.confirm(peer.sender, at);
        }
        !was_behind && self.behind_since.is_some()
    }

    /// Nothing newer than this state was known then, unless some box knows more. A box that still has the
    /// history from before the store went back cannot know.
    fn confirm(&mut self, sender: u64, at: Instant) {
        if self.newer_peer.is_none() && !self.is_superseded() && Some(at) > self.confirmed_at {
            self.confirmed_at = Some(at);
            self.confirmed_by = Some(sender);
        }
    }

    /// Where a box that has a newer state can be asked, if this one has been behind for so long; for
    /// longer if only boxes of other regions are ahead, since the way there is dear and those beside
    /// this one will know soon.
    pub fn peer_to_ask(&self, patience: Duration, now: Instant) -> Option<SocketAddr> {
        let since = self.behind_since?;
        let peer = self.newer_peer?;
        let patience = if peer.is_same_region { patience } else { patience + REMOTE_PATIENCE };
        (now >= since + patience).then_some(peer.address)
    }

    /// The box that was ahead does not answer; another may.
    pub fn forget_newer_peer(&mut self) {
        self.newer_peer = None;
        self.behind_since = None;
    }

    /// The state.
    pub fn version(&self) -> Version {
        self.version
    }

    /// How likely this box should look for changes now, 0 to 1, as one of so many boxes.
    pub fn check_probability(&self, boxes: usize, now: Instant) -> f64 {
        let age = self.age(now).unwrap_or(Duration::MAX);
        let Some(overdue) = age.checked_sub(CHECK_AGE) else { return 0.0 };
        let intervals = overdue.as_secs_f64() / CHECK_INTERVAL.as_secs_f64();
        (INITIAL_CHECKERS / boxes.max(1) as f64 * 2f64.powf(intervals.floor())).min(1.0)
    }

    /// How likely this box, which the store did not answer, should try it now, 0 to 1, as one of so
    /// many boxes. It does not grow with time: a store that is away for all is not helped by more
    /// calls, and a box that only lost its own way there hears from the others.
    pub fn reconnect_probability(&self, boxes: usize) -> f64 {
        (RECONNECTING_BOXES / boxes.max(1) as f64).min(1.0)
    }

    /// Whether servers may have turned cold without this box hearing of it.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.age(now).is_none_or(|age| age >= STALE_AGE)
    }

    /// Whether the state is about to be stale.
    pub fn is_aging(&self, now: Instant) -> bool {
        self.age(now).is_none_or(|age| age >= AGING_AGE)
    }

    /// Whether the box that `own` stands for is among those that ask a server how it is: the
    /// first by rendezvous of those that are without the store and hear each other.
    pub fn probes_server(&self, own: u64, server: u64, now: Instant) -> bool {
        let weight = rendezvous::mix(own, server);
        let others = self.probers.iter().filter(|(_, at)| now < **at + PROBER_TTL);
        others.filter(|(other, _)| rendezvous::mix(**other, server) > weight).count()
            < PROBERS_PER_SERVER
    }

    /// The state, for the log.
    pub fn summary(&self, now: Instant) -> StateSummary {
        StateSummary {
            position: self.version.position,
            age: self.age(now),
            confirmed_by: self.confirmed_by,
        }
    }

    /// Age of the state; `None` before there is any.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }
}
