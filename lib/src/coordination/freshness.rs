//! How recent the box's copy of the store's state is, and which box has a newer one.
//!
//! A box that loses the store continues with its copy, and nothing in the copy shows that it is
//! outdated. Each box therefore keeps the time until which its copy is known to have matched the
//! store, and reports the version of its copy to the others. A box without a newer version confirms
//! the copy of this box; a box with a newer version can be queried for it.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::protocol::platform::Era;
use crate::protocol::platform::Position;

/// Age of the state from which some boxes check the store for changes. They report the result to
/// the others, so the age stays below this value plus the latency of reports, some 0.5 s.
const CHECK_AGE: Duration = Duration::from_millis(800);
/// Expected number of boxes that check at first. It doubles with each [`CHECK_INTERVAL`] in which
/// the state stays unconfirmed, so that about as many boxes check in a large fleet as in a small
/// one.
const INITIAL_CHECKERS: f64 = 2.0;
/// Expected number of boxes that try to reach an unavailable store in each [`CHECK_INTERVAL`]:
/// forty calls a second from all boxes together. If each box tried at a fixed interval, the calls
/// during an outage would grow with the fleet.
const RECONNECTING_BOXES: f64 = 8.0;
/// Interval between checks of the state's age.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Age from which a box counts as having been without the store.
const AGING: Duration = Duration::from_secs(2);
/// Additional time that a box waits before it queries a box of another region: a round trip, and
/// the time in which boxes of its own region receive the new state.
const REMOTE_EXTRA_LAG: Duration = Duration::from_millis(300);
/// Usual maximum latency of a datagram within a region and between regions. It is added to the
/// reported age: if it were left out, the age would shrink with each report, and boxes without news
/// from the store would confirm each other's state until none of them checks.
pub const MAX_LATENCY_IN_REGION: Duration = Duration::from_millis(10);
const MAX_LATENCY_BETWEEN_REGIONS: Duration = Duration::from_millis(100);
/// Version of the store's state.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Version {
    /// Position in the store's history at which the state was read.
    pub position: Position,
    /// Digest of all keys, revisions and values: the store's revision may grow without a change.
    pub digest: u64,
}

impl Version {
    /// Whether this version contains changes that `other` lacks.
    pub fn is_ahead_of(&self, other: &Version) -> bool {
        self.position > other.position && self.digest != other.digest
    }
}

/// State that another box reports.
#[derive(Clone, Copy, Debug)]
pub struct PeerState {
    /// Hash of the box's name.
    pub sender: u64,
    /// Address at which the box can be queried for its state.
    pub address: SocketAddr,
    /// Version of its state.
    pub version: Version,
    /// Time since that state was known to match the store.
    pub age: Duration,
    /// Whether the box is in the region of this one and uses the same servers.
    pub is_same_region: bool,
}

impl PeerState {
    /// Maximum latency of the report.
    fn max_latency(&self) -> Duration {
        if self.is_same_region { MAX_LATENCY_IN_REGION } else { MAX_LATENCY_BETWEEN_REGIONS }
    }

    /// Whether this box is preferred over another one that also has a newer state: a box of the
    /// same region first, then the newest state, then the latest report, so that not all boxes ask
    /// the same one.
    fn is_preferred_over(&self, other: &PeerState) -> bool {
        match (self.is_same_region, other.is_same_region) {
            (true, false) => true,
            (false, true) => false,
            _ => !other.version.is_ahead_of(&self.version),
        }
    }
}

/// Summary of the state that a decision was based on.
#[derive(Clone, Copy, Debug)]
pub struct StateSummary {
    /// Position in the store's history at which the state was read.
    pub position: Position,
    /// Time since the state was known to match the store; `None` before the first state.
    pub age: Option<Duration>,
    /// The box that confirmed the state; `None` if the store did, or the box that sent the state.
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

/// Age of the box's state, and boxes with newer ones.
#[derive(Debug, Default)]
pub struct Freshness {
    version: Version,
    /// Newest era of the store that was reported to this box.
    newest_era: Era,
    /// When the state was last known to match the store.
    confirmed_at: Option<Instant>,
    /// The box that confirmed the state; `None` if the store did, or the box that sent the state.
    confirmed_by: Option<u64>,
    /// The preferred box among those with a newer state.
    newer_peer: Option<PeerState>,
    /// Since when this box knows of a newer state without having received one.
    behind_since: Option<Instant>,
}

impl Freshness {
    /// Records an era of the store that another box reports.
    fn observe_era(&mut self, era: Era) {
        self.newest_era = self.newest_era.max(era);
    }

    /// Sets the newest era of the store. It is lower than before if the store has denied one that
    /// was reported.
    pub fn set_newest_era(&mut self, era: Era) {
        self.newest_era = era;
    }

    /// Whether the store was restored from an older copy after this state was read.
    pub fn is_superseded(&self) -> bool {
        self.version.position.era < self.newest_era
    }

    /// Records a new state, which matched the store at `at` if that is known.
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

    /// Records the state that another box reports. Returns whether this box has newly fallen
    /// behind.
    pub fn record_peer(&mut self, peer: &PeerState, now: Instant) -> bool {
        let was_behind = self.behind_since.is_some();
        self.observe_era(peer.version.position.era);
        if peer.version.digest == self.version.digest {
            // No followed key has changed up to that position.
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

    /// Records that at `at` no newer state was known to `sender`. This is ignored while some box
    /// has a newer state, or if the state is from before the store was restored from an older copy:
    /// boxes with the old history cannot know newer states.
    fn confirm(&mut self, sender: u64, at: Instant) {
        if self.newer_peer.is_none() && !self.is_superseded() && Some(at) > self.confirmed_at {
            self.confirmed_at = Some(at);
            self.confirmed_by = Some(sender);
        }
    }

    /// Address of a box with a newer state, once this box has been behind for `allowed_lag`. The
    /// lag is longer if only boxes of other regions have one: traffic between regions is expensive,
    /// and boxes of this region will have the state soon.
    pub fn peer_to_query(&self, allowed_lag: Duration, now: Instant) -> Option<SocketAddr> {
        let since = self.behind_since?;
        let peer = self.newer_peer?;
        let allowed_lag =
            if peer.is_same_region { allowed_lag } else { allowed_lag + REMOTE_EXTRA_LAG };
        (now >= since + allowed_lag).then_some(peer.address)
    }

    /// Address of a box with a newer state, whatever its region.
    pub fn newer_peer_address(&self) -> Option<SocketAddr> {
        self.newer_peer.map(|peer| peer.address)
    }

    /// Drops the box with the newer state because it does not respond; another one may.
    pub fn forget_newer_peer(&mut self) {
        self.newer_peer = None;
        self.behind_since = None;
    }

    /// Version of the state.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Probability, 0 to 1, with which this box should check the store now, as one of `boxes`.
    pub fn check_probability(&self, boxes: usize, now: Instant) -> f64 {
        let age = self.age(now).unwrap_or(Duration::MAX);
        let Some(overdue) = age.checked_sub(CHECK_AGE) else { return 0.0 };
        let intervals = overdue.as_secs_f64() / CHECK_INTERVAL.as_secs_f64();
        (INITIAL_CHECKERS / boxes.max(1) as f64 * 2f64.powf(intervals.floor())).min(1.0)
    }

    /// Probability, 0 to 1, with which this box should try to reach an unavailable store now, as
    /// one of `boxes`. It does not grow with time: more calls do not help a store that is down, and
    /// a box that has only lost its own connection receives the state from others.
    pub fn reconnect_probability(&self, boxes: usize) -> f64 {
        (RECONNECTING_BOXES / boxes.max(1) as f64).min(1.0)
    }

    /// Whether this box has had no recent state for a while.
    pub fn is_aging(&self, now: Instant) -> bool {
        self.age(now).is_none_or(|age| age >= AGING)
    }

    /// Summary of the state for the log.
    pub fn summary(&self, now: Instant) -> StateSummary {
        StateSummary {
            position: self.version.position,
            age: self.age(now),
            confirmed_by: self.confirmed_by,
        }
    }

    /// Age of the state; `None` before the first one.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_duration_since(at))
    }
}
