//! How recent the state is that a box has from the store.
//!
//! A box that loses the store goes on with what it knows, and nothing in that
//! state says that it no longer holds. So each box notes until when its state
//! was that of the store.

use std::time::Duration;
use std::time::Instant;

use crate::protocol::platform::Revision;

/// What is known of the age of a box's state.
#[derive(Debug, Default)]
pub struct Freshness {
    revision: Revision,
    /// When the state was last that of the store.
    current_at: Option<Instant>,
    /// Whether changes are being watched for, so that a store that answers has none to tell.
    following: bool,
}

impl Freshness {
    /// The state is that of the store at a revision; changes are followed from there.
    pub fn followed(&mut self, revision: Revision, now: Instant) {
        self.revision = revision;
        self.current_at = Some(now);
        self.following = true;
    }

    /// Changes are no longer followed.
    pub fn lost(&mut self) {
        self.following = false;
    }

    /// The store answered a call that began then.
    pub fn answered(&mut self, began: Instant) {
        if self.following {
            self.current_at = self.current_at.max(Some(began));
        }
    }

    /// Revision of the state.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Age of the state; `None` before there is any.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.current_at.map(|at| now.saturating_duration_since(at))
    }
}
