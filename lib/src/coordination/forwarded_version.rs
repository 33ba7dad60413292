//! Decides whether a box may handle a request that another box forwarded: not while it knows an
//! older configuration, or older evacuations, than the forwarding box.
//!
//! A box that is behind waits a short time for the newer state. If that fails, requests that need
//! the same state are refused at once for a while, so that they lose no time before they are
//! forwarded elsewhere.

use std::time::Duration;
use std::time::Instant;

use crate::protocol::Version;
use crate::protocol::platform::Position;

/// Maximum wait for the state that a forwarded request needs: a query of the forwarding box over one
/// round trip between regions, some 110 ms.
const MAX_WAIT: Duration = Duration::from_millis(150);
/// Part of the time left that a request may wait. The forwarding box needs the rest to send it
/// elsewhere.
const MAX_WAIT_DIVISOR: u32 = 4;
/// Time after a wait in vain for which requests that need the same state are refused at once.
const REFUSAL_PERIOD: Duration = Duration::from_millis(300);
/// Minimum time between two queries for the state that forwarded requests need.
const MIN_QUERY_GAP: Duration = Duration::from_millis(100);

/// The state that a request was forwarded by, or that a box has.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownState {
    /// Version of the configuration.
    pub configuration: Version,
    /// Position in the store's history: that of the last change of configuration, evacuations or
    /// upgrades for a request, and that of the whole state for a box.
    pub position: Position,
}

impl KnownState {
    /// Whether a box with this state may handle a request that was forwarded by `needed`.
    pub fn covers(&self, needed: &KnownState) -> bool {
        self.configuration >= needed.configuration && self.position >= needed.position
    }
}

/// Waits of forwarded requests for newer states.
#[derive(Debug, Default)]
pub struct StateWaits {
    /// The state that was last waited for in vain, and the end of that wait.
    failed: Option<(KnownState, Instant)>,
    queried_at: Option<Instant>,
}

impl StateWaits {
    /// How long a request that needs a state which this box lacks may wait for it.
    pub fn wait(&self, needed: &KnownState, time_left: Duration, now: Instant) -> Duration {
        let has_failed = self.failed.is_some_and(|(failed, at)| {
            needed.covers(&failed) && now.saturating_duration_since(at) < REFUSAL_PERIOD
        });
        if has_failed { Duration::ZERO } else { MAX_WAIT.min(time_left / MAX_WAIT_DIVISOR) }
    }

    /// Records that a request waited for a state in vain until `now`.
    pub fn record_failure(&mut self, needed: KnownState, now: Instant) {
        self.failed = Some((needed, now));
    }

    /// Whether the box may query another one for its state now. Records the query.
    pub fn take_query(&mut self, now: Instant) -> bool {
        let is_due =
            self.queried_at.is_none_or(|at| now.saturating_duration_since(at) >= MIN_QUERY_GAP);
        if is_due {
            self.queried_at = Some(now);
        }
        is_due
    }
}
