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
const UNCONFIRMED: Duration = Duration::from_millis(800);
/// Boxes that look at first; twice as many for each [`LOOK_AGAIN`] that the state stays
/// unconfirmed, so that about as many look in a large fleet as in a small one.
const LOOKING: f64 = 2.0;
/// Boxes that try to reach a store that is away, for each [`LOOK_AGAIN`]: forty calls a second of
/// all boxes. With every box trying each 0.3 s, a day of 54 s with an outage of 8 s cost 295 boxes
/// 22,001 calls, most of them in the outage; with this, and few that watch, 6,297.
const KNOCKING: f64 = 8.0;
/// Time from one look at the age to the next.
pub const LOOK_AGAIN: Duration = Duration::from_millis(200);
/// Age from which servers are asked, so that their answers are there when the state is stale.
const AGING: Duration = Duration::from_secs(2);
/// Age from which a state may hide that a server turned cold: engines of an evacuated failure
/// domain turned cold 5 s after the evacuation.
const STALE: Duration = Duration::from_millis(2500);
/// Boxes that ask each server. With one, its loss leaves the others without a word.
const ASKING: usize = 2;
/// How much longer a box waits before it asks one of another region: a way there and back, and the
/// time in which those beside it are told.
const FAR_PATIENCE: Duration = Duration::from_millis(300);
/// Longest usual way of a datagram within a region, and between two. An age that leaves the way out falls
/// with each word: boxes that nobody tells vouch for each other until nobody looks.
const WAY_BESIDE: Duration = Duration::from_millis(10);
const WAY_ELSEWHERE: Duration = Duration::from_millis(100);
/// How long a box counts as asking after its last word: some datagrams are lost.
const ASKING_LIFE: Duration = Duration::from_secs(1);

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
pub struct Word {
    /// What stands for the box in datagrams.
    pub sender: u64,
    /// Where it can be asked for that state.
    pub address: SocketAddr,
    /// Its state.
    pub version: Version,
    /// How long ago that was the store's.
    pub age: Duration,
    /// Whether it sends to the same servers as this box.
    pub beside: bool,
}

impl Word {
    /// How long it may have been under way.
    fn way(&self) -> Duration {
        if self.beside { WAY_BESIDE } else { WAY_ELSEWHERE }
    }

    /// Whether the box is rather asked than another one that is ahead as well: one beside this box,
    /// then the one with the newest state, then the one that was heard last, so that not all
    /// boxes ask the same one.
    fn is_better_than(&self, other: &Word) -> bool {
        match (self.beside, other.beside) {
            (true, false) => true,
            (false, true) => false,
            _ => !other.version.is_ahead_of(&self.version),
        }
    }
}

/// The state that a box decides by.
#[derive(Clone, Copy, Debug)]
pub struct Standing {
    /// Place in the store's history that it was read at.
    pub position: Position,
    /// How long ago it was the store's; `None` before there is any.
    pub age: Option<Duration>,
    /// The box that said so; `None` if the store did, or the box that the state was taken from.
    pub vouched_by: Option<u64>,
}

impl fmt::Display for Standing {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let age_ms = self.age.map_or(-1, |age| age.as_millis() as i64);
        write!(formatter, "state={} state_ms={age_ms} state_by=", self.position)?;
        match self.vouched_by {
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
    current_at: Option<Instant>,
    /// The box that said so; `None` if the store did, or the box that the state was taken from.
    vouched_by: Option<u64>,
    /// The box with the newest state, if that is newer than this one's.
    ahead: Option<Word>,
    /// Since when this box is behind without having learned anything.
    behind_since: Option<Instant>,
    /// Boxes beside this one whose state is as old, and when they said so.
    asking: HashMap<u64, Instant>,
}

impl Freshness {
    /// The store is in this era, if no newer one was heard of.
    pub fn hear_era(&mut self, era: Era) {
        self.newest_era = self.newest_era.max(era);
    }

    /// Whether the store has gone back to an older copy since this state was read.
    pub fn is_superseded(&self) -> bool {
        self.version.position.era < self.newest_era
    }

    /// The box has taken in a state that was the store's at that time, if that is known.
    pub fn taken(&mut self, version: Version, at: Option<Instant>, now: Instant) {
        self.version = version;
        self.hear_era(version.position.era);
        if at > self.current_at {
            self.current_at = at;
            self.vouched_by = None;
        }
        self.ahead = self.ahead.filter(|word| word.version.is_ahead_of(&version));
        self.behind_since = self.ahead.map(|_| now);
    }

    /// A box says which state it has. Says whether this box has only now fallen behind.
    pub fn hear(&mut self, word: &Word, now: Instant) -> bool {
        let was_behind = self.behind_since.is_some();
        self.hear_era(word.version.position.era);
        if word.beside && word.age >= AGING {
            self.asking.insert(word.sender, now);
        } else {
            self.asking.remove(&word.sender);
        }
        if word.version.digest == self.version.digest {
            // Nothing that is followed has changed up to there.
            self.version.position = self.version.position.max(word.version.position);
        }
        if word.version.is_ahead_of(&self.version) {
            let better = self.ahead.is_none_or(|ahead| word.is_better_than(&ahead));
            self.ahead = if better { Some(*word) } else { self.ahead };
            self.behind_since.get_or_insert(now);
        } else if let Some(at) = now.checked_sub(word.age.saturating_add(word.way()))
            && word.version.position.era == self.version.position.era
        {
            self.vouched(word.sender, at);
        }
        !was_behind && self.behind_since.is_some()
    }

    /// Nothing newer than this state was known then, unless some box knows more. A box that still has the
    /// history from before the store went back cannot know.
    fn vouched(&mut self, sender: u64, at: Instant) {
        if self.ahead.is_none() && !self.is_superseded() && Some(at) > self.current_at {
            self.current_at = Some(at);
            self.vouched_by = Some(sender);
        }
    }

    /// Where a box that has a newer state can be asked, if this one has been behind for so long; for
    /// longer if only boxes of other regions are ahead, since the way there is dear and those beside
    /// this one will know soon.
    pub fn ahead(&self, patience: Duration, now: Instant) -> Option<SocketAddr> {
        let since = self.behind_since?;
        let word = self.ahead?;
        let patience = if word.beside { patience } else { patience + FAR_PATIENCE };
        (now >= since + patience).then_some(word.address)
    }

    /// The box that was ahead does not answer; another may.
    pub fn forget_ahead(&mut self) {
        self.ahead = None;
        self.behind_since = None;
    }

    /// The state.
    pub fn version(&self) -> Version {
        self.version
    }

    /// How likely this box should look for changes now, 0 to 1, as one of so many boxes.
    pub fn look(&self, boxes: usize, now: Instant) -> f64 {
        let age = self.age(now).unwrap_or(Duration::MAX);
        let Some(over) = age.checked_sub(UNCONFIRMED) else { return 0.0 };
        let times = over.as_secs_f64() / LOOK_AGAIN.as_secs_f64();
        (LOOKING / boxes.max(1) as f64 * 2f64.powf(times.floor())).min(1.0)
    }

    /// How likely this box, which the store did not answer, should try it now, 0 to 1, as one of so
    /// many boxes. It does not grow with time: a store that is away for all is not helped by more
    /// calls, and a box that only lost its own way there hears from the others.
    pub fn knock(&self, boxes: usize) -> f64 {
        (KNOCKING / boxes.max(1) as f64).min(1.0)
    }

    /// Whether servers may have turned cold without this box hearing of it.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.age(now).is_none_or(|age| age >= STALE)
    }

    /// Whether the state is about to be stale.
    pub fn is_aging(&self, now: Instant) -> bool {
        self.age(now).is_none_or(|age| age >= AGING)
    }

    /// Whether the box that `own` stands for is among those that ask a server how it is: the
    /// first by rendezvous of those that are without the store and hear each other.
    pub fn asks(&self, own: u64, server: u64, now: Instant) -> bool {
        let weight = rendezvous::mix(own, server);
        let others = self.asking.iter().filter(|(_, at)| now < **at + ASKING_LIFE);
        others.filter(|(other, _)| rendezvous::mix(**other, server) > weight).count() < ASKING
    }

    /// The state, for the log.
    pub fn standing(&self, now: Instant) -> Standing {
        Standing {
            position: self.version.position,
            age: self.age(now),
            vouched_by: self.vouched_by,
        }
    }

    /// Age of the state; `None` before there is any.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.current_at.map(|at| now.saturating_duration_since(at))
    }
}
