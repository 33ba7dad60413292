//! What one box remembers of keyed requests, so that each runs at most once.
//!
//! An entry is made before the request may run and stays at least as long as
//! anybody may present its key again. A full ledger refuses new keys; it never
//! forgets one early. Finished answers are kept for replay within a bound of
//! bytes; past it only the fact that the request ran is kept.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;

use bytes::Bytes;

use crate::protocol::TeamId;

/// Key of an entry: a team's keys are its own.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// Team.
    pub team: TeamId,
    /// Ticket or the caller's own key.
    pub text: String,
}

/// Hash of what was asked; the same key with another one is refused.
pub type Fingerprint = [u8; 32];

/// A whole answer, kept for replay.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers that are passed on.
    pub headers: Vec<(String, Bytes)>,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }
}

/// What is to be done with a keyed request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Run it; conclude it afterwards.
    Run,
    /// Another request with the key is running; wait for its conclusion.
    Wait,
    /// It ran; this is the answer.
    Replay(Answer),
    /// It ran; the answer is no longer kept.
    AnswerDropped,
    /// It may have run.
    Unknown,
    /// The key was used with another request.
    KeyReused,
    /// No room for another key.
    Full,
}

/// How a keyed request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Conclusion {
    /// It ran; the answer, if it is small enough to keep.
    Answered(Option<Answer>),
    /// It certainly did not run; the key is free again.
    NotRun,
    /// It may have run.
    Unknown,
}

#[derive(Clone, Debug)]
enum State {
    Running,
    Answered(Option<Answer>),
    Unknown,
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: Fingerprint,
    state: State,
    keep_until: Instant,
}

/// Bounds of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// Most entries.
    pub max_entries: usize,
    /// Most bytes of kept answers.
    pub max_answer_bytes: usize,
}

/// The memory of one box.
#[derive(Debug)]
pub struct Ledger {
    limits: LedgerLimits,
    entries: HashMap<Key, Entry>,
    by_expiry: BTreeSet<(Instant, Key)>,
    kept: BTreeSet<(Instant, Key)>,
    bytes: usize,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(limits: LedgerLimits) -> Ledger {
        Ledger {
            limits,
            entries: HashMap::new(),
            by_expiry: BTreeSet::new(),
            kept: BTreeSet::new(),
            bytes: 0,
        }
    }

    /// Entries held.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of answers held.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Whether the key is known here.
    pub fn contains(&self, key: &Key) -> bool {
        self.entries.contains_key(key)
    }

    /// A keyed request arrives. `keep_until` is when its key can no longer be presented.
    pub fn begin(
        &mut self,
        key: &Key,
        fingerprint: Fingerprint,
        keep_until: Instant,
        now: Instant,
    ) -> Admission {
        self.expire(now);
        if let Some(entry) = self.entries.get(key) {
            return admission(entry, fingerprint);
        }
        if self.entries.len() >= self.limits.max_entries {
            return Admission::Full;
        }
        self.by_expiry.insert((keep_until, key.clone()));
        self.entries.insert(key.clone(), Entry { fingerprint, state: State::Running, keep_until });
        Admission::Run
    }

    /// The request that was told to run has ended.
    pub fn conclude(&mut self, key: &Key, conclusion: Conclusion) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        match conclusion {
            Conclusion::NotRun => {
                let keep_until = entry.keep_until;
                self.entries.remove(key);
                self.by_expiry.remove(&(keep_until, key.clone()));
            }
            Conclusion::Unknown => entry.state = State::Unknown,
            Conclusion::Answered(answer) => {
                self.bytes += answer.as_ref().map_or(0, Answer::size);
                if answer.is_some() {
                    self.kept.insert((entry.keep_until, key.clone()));
                }
                entry.state = State::Answered(answer);
                self.drop_answers();
            }
        }
    }

    fn drop_answers(&mut self) {
        while self.bytes > self.limits.max_answer_bytes {
            let Some((_, key)) = self.kept.pop_first() else { return };
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            if let State::Answered(answer) = &mut entry.state {
                self.bytes -= answer.take().map_or(0, |answer| answer.size());
            }
        }
    }

    /// Forgets what can no longer be presented.
    pub fn expire(&mut self, now: Instant) {
        let mut running = Vec::new();
        while let Some((keep_until, _)) = self.by_expiry.first() {
            if *keep_until > now {
                break;
            }
            let Some((keep_until, key)) = self.by_expiry.pop_first() else { break };
            match self.entries.get(&key).map(|entry| &entry.state) {
                Some(State::Running) => running.push((keep_until, key)),
                Some(State::Answered(answer)) => {
                    self.bytes -= answer.as_ref().map_or(0, Answer::size);
                    self.kept.remove(&(keep_until, key.clone()));
                    self.entries.remove(&key);
                }
                _ => {
                    self.entries.remove(&key);
                }
            }
        }
        self.by_expiry.extend(running);
    }
}

fn admission(entry: &Entry, fingerprint: Fingerprint) -> Admission {
    if entry.fingerprint != fingerprint {
        return Admission::KeyReused;
    }
    match &entry.state {
        State::Running => Admission::Wait,
        State::Answered(Some(answer)) => Admission::Replay(answer.clone()),
        State::Answered(None) => Admission::AnswerDropped,
        State::Unknown => Admission::Unknown,
    }
}
