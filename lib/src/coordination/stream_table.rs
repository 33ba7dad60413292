//! The streams that a box knows, in bounded numbers: those that it began, and those that others named.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::stream_versions::Destination;
use super::stream_versions::StreamKey;
use crate::protocol::fleet::VersionHash;

/// Maximum number of streams kept that this box began, and of those that others named; the oldest of
/// each kind are dropped first.
pub const MAX_STREAMS: usize = 200_000;

/// What is known of a stream.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// The version at which the stream began.
    pub version: VersionHash,
    /// Where it runs, if this box began the stream.
    pub began_for: Option<Destination>,
    /// When it was noted last.
    pub noted_at: Instant,
}

impl Entry {
    fn kind(&self) -> Kind {
        match self.began_for {
            Some(_) => Kind::Own,
            None => Kind::Named,
        }
    }
}

/// What told the version of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    /// This box began the stream.
    Own,
    /// Another box or the store named it.
    Named,
}

/// Streams of one kind by the time at which they were noted.
#[derive(Debug, Default)]
struct Notes {
    /// A key occurs once for each time at which it was noted.
    queue: VecDeque<(Instant, StreamKey)>,
    /// Number of streams that are kept.
    kept: usize,
}

/// The streams by their keys.
#[derive(Debug, Default)]
pub struct StreamTable {
    entries: HashMap<StreamKey, Entry>,
    /// Kept apart, so that others can't displace the streams that began here.
    own: Notes,
    named: Notes,
}

impl StreamTable {
    /// Adds or replaces a stream.
    pub fn insert(&mut self, key: StreamKey, entry: Entry) {
        let kind = entry.kind();
        let replaced = self.entries.insert(key, entry);
        if let Some(replaced) = replaced {
            self.notes_mut(replaced.kind()).kept -= 1;
        }
        let notes = self.notes_mut(kind);
        notes.kept += 1;
        if replaced.is_none_or(|known| (known.kind(), known.noted_at) != (kind, entry.noted_at)) {
            notes.queue.push_back((entry.noted_at, key));
        }
        while self.notes_mut(kind).kept > MAX_STREAMS {
            self.drop_oldest(kind);
        }
    }

    fn notes_mut(&mut self, kind: Kind) -> &mut Notes {
        match kind {
            Kind::Own => &mut self.own,
            Kind::Named => &mut self.named,
        }
    }

    fn drop_oldest(&mut self, kind: Kind) {
        let Some((noted_at, key)) = self.notes_mut(kind).queue.pop_front() else { return };
        let is_last = |entry: &Entry| entry.kind() == kind && entry.noted_at == noted_at;
        if self.entries.get(&key).is_some_and(is_last) {
            self.entries.remove(&key);
            self.notes_mut(kind).kept -= 1;
        }
    }

    /// What is known of a stream.
    pub fn get(&self, key: StreamKey) -> Option<Entry> {
        self.entries.get(&key).copied()
    }

    /// All streams.
    pub fn iter(&self) -> impl Iterator<Item = (StreamKey, &Entry)> {
        self.entries.iter().map(|(key, entry)| (*key, entry))
    }

    /// Drops the streams that were noted last as long ago as `retention`.
    pub fn expire(&mut self, retention: Duration, now: Instant) {
        for kind in [Kind::Own, Kind::Named] {
            let is_over = |(noted_at, _): &(Instant, StreamKey)| now >= *noted_at + retention;
            while self.notes_mut(kind).queue.front().is_some_and(is_over) {
                self.drop_oldest(kind);
            }
        }
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
