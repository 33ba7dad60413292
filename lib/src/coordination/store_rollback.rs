//! What a box holds to for a moment after the store came back from an older copy.
//!
//! The copy may show a server as serving that has left since, or a failure
//! domain as evacuated that serves again. Whoever wrote the opposite writes it
//! again within seconds; until then it stays in force. After that, what the
//! store shows counts.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::protocol::adapter::Fact;
use crate::protocol::adapter::Subject;
use crate::protocol::platform::Revision;

/// How long after the store's return entries may be missing that will be written again.
pub const ROLLBACK_GRACE: Duration = Duration::from_millis(2200);
/// Age of the oldest copy that a store comes back from: some seconds, and as long again for drills that follow
/// each other.
pub const MAX_ROLLBACK_AGE: Duration = Duration::from_secs(30);
/// Most removals that are remembered.
const MAX_REMOVALS: usize = 1024;

/// An entry that was removed.
#[derive(Clone, Copy, Debug)]
struct Removal {
    /// Revision under which it stood.
    revision: Revision,
    at: Instant,
}

/// What was known before the store went back, and what its copy shows instead.
#[derive(Debug, Default)]
pub struct StoreRollback {
    rolled_back_at: Option<Instant>,
    removals: BTreeMap<Subject, Removal>,
    held_back: BTreeMap<Subject, (Fact, Revision)>,
}

impl StoreRollback {
    /// The store came back from an older copy then.
    pub fn record_rollback(&mut self, at: Instant) {
        self.rolled_back_at = self.rolled_back_at.max(Some(at));
    }

    /// Whether what the store lost may still be written again.
    pub fn is_settling(&self, now: Instant) -> bool {
        self.rolled_back_at.is_some_and(|rolled_back_at| now < rolled_back_at + ROLLBACK_GRACE)
    }

    /// An entry was removed that stood under a revision.
    pub fn record_removal(&mut self, subject: Subject, revision: Revision, now: Instant) {
        self.removals.retain(|_, removal| now < removal.at + MAX_ROLLBACK_AGE);
        if self.removals.len() < MAX_REMOVALS {
            self.removals.insert(subject, Removal { revision, at: now });
        }
    }

    /// Whether an entry is the one that this box has seen removed.
    pub fn was_removed(&self, subject: &Subject, revision: Revision) -> bool {
        self.removals.get(subject).is_some_and(|removal| removal.revision == revision)
    }

    /// Keeps an entry of the copy until the store has settled.
    pub fn hold_back(&mut self, subject: Subject, fact: Fact, revision: Revision) {
        self.held_back.insert(subject, (fact, revision));
    }

    /// The store tells something else of that.
    pub fn discard_held(&mut self, subject: &Subject) {
        self.held_back.remove(subject);
    }

    /// What was held back and counts now.
    pub fn release(&mut self, now: Instant) -> Vec<(Fact, Revision)> {
        if self.is_settling(now) {
            return Vec::new();
        }
        std::mem::take(&mut self.held_back).into_values().collect()
    }
}
