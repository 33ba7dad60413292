//! In-memory record of idempotent requests, so that each runs at most once.
//!
//! An entry is created before the request may run and stays at least as long as its key can be
//! presented again. A full ledger refuses new keys and never drops an entry early. Finished
//! responses are kept for replay up to a total size; beyond it, the ledger keeps only the fact that
//! the request ran.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;

use bytes::Bytes;

use crate::protocol::TeamId;

/// Key of an entry. Keys are scoped to a team.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// The team that presented the key.
    pub team: TeamId,
    /// The ticket or the caller's own key.
    pub text: String,
}

/// Hash of a request. The same key with another fingerprint is refused.
pub type Fingerprint = [u8; 32];

/// A complete response, kept for replay.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeptResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers to send to the caller.
    pub headers: Vec<(String, Bytes)>,
    /// Body.
    pub body: Bytes,
}

impl KeptResponse {
    fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        headers + self.body.len()
    }
}

/// How to handle a request with an idempotency key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Run the request, then call [`Ledger::conclude`].
    Run,
    /// Another request with this key is running; wait until it concludes.
    Wait,
    /// The request has run; replay this response.
    Replay(KeptResponse),
    /// The request has run, but its response is no longer kept.
    ResponseDropped,
    /// The request may have run.
    Unknown,
    /// The key was used with a different request.
    KeyReused,
    /// The ledger has no capacity for another key.
    Full,
}

/// How a request with an idempotency key ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Conclusion {
    /// The request ran. The response is present if it is small enough to keep.
    Answered(Option<KeptResponse>),
    /// The request certainly did not run; the key may be used again.
    NotRun,
    /// The request may have run.
    Unknown,
}

#[derive(Clone, Debug)]
enum State {
    Running,
    Answered(Option<KeptResponse>),
    Unknown,
}

#[derive(Clone, Debug)]
struct Entry {
    fingerprint: Fingerprint,
    state: State,
    expires_at: Instant,
}

/// Size limits of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// Maximum number of entries.
    pub max_entries: usize,
    /// Maximum total size of the kept responses, in bytes.
    pub max_response_bytes: usize,
}

/// The ledger of one box.
#[derive(Debug)]
pub struct Ledger {
    limits: LedgerLimits,
    entries: HashMap<Key, Entry>,
    by_expiry: BTreeSet<(Instant, Key)>,
    responses_by_expiry: BTreeSet<(Instant, Key)>,
    response_bytes: usize,
}

impl Ledger {
    /// Creates an empty ledger.
    pub fn new(limits: LedgerLimits) -> Ledger {
        Ledger {
            limits,
            entries: HashMap::new(),
            by_expiry: BTreeSet::new(),
            responses_by_expiry: BTreeSet::new(),
            response_bytes: 0,
        }
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the total size of the kept responses in bytes.
    pub fn bytes(&self) -> usize {
        self.response_bytes
    }

    /// Returns whether the key has an entry.
    pub fn contains(&self, key: &Key) -> bool {
        self.entries.contains_key(key)
    }

    /// Admits a request with a key. The key can't be presented again after `expires_at`.
    pub fn begin(
        &mut self,
        key: &Key,
        fingerprint: Fingerprint,
        expires_at: Instant,
        now: Instant,
    ) -> Admission {
        self.expire(now);
        if let Some(entry) = self.entries.get(key) {
            return admission(entry, fingerprint);
        }
        if self.entries.len() >= self.limits.max_entries {
            return Admission::Full;
        }
        self.by_expiry.insert((expires_at, key.clone()));
        self.entries.insert(key.clone(), Entry { fingerprint, state: State::Running, expires_at });
        Admission::Run
    }

    /// Records the end of a request that was admitted with [`Admission::Run`].
    pub fn conclude(&mut self, key: &Key, conclusion: Conclusion) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        match conclusion {
            Conclusion::NotRun => {
                let expires_at = entry.expires_at;
                self.entries.remove(key);
                self.by_expiry.remove(&(expires_at, key.clone()));
            }
            Conclusion::Unknown => entry.state = State::Unknown,
            Conclusion::Answered(response) => {
                self.response_bytes += response.as_ref().map_or(0, KeptResponse::size);
                if response.is_some() {
                    self.responses_by_expiry.insert((entry.expires_at, key.clone()));
                }
                entry.state = State::Answered(response);
                self.evict_responses();
            }
        }
    }

    fn evict_responses(&mut self) {
        while self.response_bytes > self.limits.max_response_bytes {
            let Some((_, key)) = self.responses_by_expiry.pop_first() else { return };
            let Some(entry) = self.entries.get_mut(&key) else { continue };
            if let State::Answered(response) = &mut entry.state {
                self.response_bytes -= response.take().map_or(0, |response| response.size());
            }
        }
    }

    /// Removes entries whose keys can no longer be presented.
    pub fn expire(&mut self, now: Instant) {
        let mut running = Vec::new();
        while let Some((expires_at, _)) = self.by_expiry.first() {
            if *expires_at > now {
                break;
            }
            let Some((expires_at, key)) = self.by_expiry.pop_first() else { break };
            match self.entries.get(&key).map(|entry| &entry.state) {
                Some(State::Running) => running.push((expires_at, key)),
                Some(State::Answered(response)) => {
                    self.response_bytes -= response.as_ref().map_or(0, KeptResponse::size);
                    self.responses_by_expiry.remove(&(expires_at, key.clone()));
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
        State::Answered(Some(response)) => Admission::Replay(response.clone()),
        State::Answered(None) => Admission::ResponseDropped,
        State::Unknown => Admission::Unknown,
    }
}
