//! Contents that succeeded on this box lately.
//!
//! Contents that are requested often are executed on every server, so that they are present at each
//! crash. That they succeeded until the crashes began distinguishes them from the cause.

use std::collections::HashSet;
use std::time::Duration;
use std::time::Instant;

use crate::coordination::fingerprint::ContentHash;

/// Time covered by one generation. A success is remembered for one to two of them.
const GENERATION: Duration = Duration::from_secs(2);
/// Maximum number of contents in a generation.
const MAX_CONTENTS: usize = 4096;

/// Contents that succeeded within the last one or two generations.
#[derive(Debug, Default)]
pub(super) struct RecentSuccesses {
    started_at: Option<Instant>,
    current: HashSet<ContentHash>,
    previous: HashSet<ContentHash>,
}

impl RecentSuccesses {
    /// Records a success.
    pub fn record(&mut self, content: ContentHash, now: Instant) {
        let started_at = *self.started_at.get_or_insert(now);
        if now >= started_at + GENERATION || self.current.len() >= MAX_CONTENTS {
            self.previous = std::mem::take(&mut self.current);
            if now >= started_at + GENERATION * 2 {
                self.previous.clear();
            }
            self.started_at = Some(now);
        }
        self.current.insert(content);
    }

    /// Whether a content succeeded lately.
    pub fn contains(&self, content: ContentHash, now: Instant) -> bool {
        let Some(started_at) = self.started_at else { return false };
        let age = now.saturating_duration_since(started_at);
        (age < GENERATION * 2 && self.current.contains(&content))
            || (age < GENERATION && self.previous.contains(&content))
    }
}
