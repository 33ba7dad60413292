//! Why a request finds no place, so that its caller can be told when there may be one.

use std::time::Instant;

use super::Placement;
use super::PlacementRequest;
use super::Selection;
use crate::coordination::candidate::Candidate;

/// Why there is no place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Blocked {
    /// No server may get work.
    NoServer,
    /// All have as much as they bear.
    Full,
    /// Servers with room get as many requests as they say they take.
    Throttled,
    /// Only servers that failed lately have room.
    Failing,
    /// All want nothing from this box until then, the first of them.
    BackingOff {
        /// When the first rest ends.
        until: Instant,
    },
    /// All servers that there are leave.
    Leaving,
}

impl Placement {
    /// Why there is no place.
    pub(super) fn blocked(
        &mut self,
        request: PlacementRequest<'_>,
        selection: Selection,
    ) -> Blocked {
        let mut blocked = self.unusable(selection.now);
        for candidate in self.servers.values_mut() {
            let is_tried = request.tried.contains(&candidate.state.server.id);
            let is_backing_off =
                self.backoffs.until(candidate.incarnation, selection.now).is_some();
            if !candidate.is_usable() || is_tried || is_backing_off {
                continue;
            }
            let load = candidate.load(request.loads, selection.unreported_boxes);
            let has_room = candidate.has_room(load, selection.stale, selection.now);
            if !candidate.is_healthy(selection.now) && has_room {
                return Blocked::Failing;
            }
            let is_throttled = has_room && request.throttles.rate(candidate.incarnation).is_some();
            blocked = match blocked {
                Blocked::Throttled => blocked,
                _ if is_throttled => Blocked::Throttled,
                _ => Blocked::Full,
            };
        }
        blocked
    }

    /// Why none of the servers takes anything, whatever the request.
    fn unusable(&self, now: Instant) -> Blocked {
        let mut usable = self.servers.values().filter(|candidate| candidate.is_usable()).peekable();
        if usable.peek().is_none() {
            let any_leaving = self.servers.values().any(Candidate::is_leaving);
            return if any_leaving { Blocked::Leaving } else { Blocked::NoServer };
        }
        // One that does not rest had the request already.
        let backoff_ends: Option<Vec<Instant>> =
            usable.map(|candidate| self.backoffs.until(candidate.incarnation, now)).collect();
        let first_end = backoff_ends.and_then(|backoff_ends| backoff_ends.into_iter().min());
        first_end.map_or(Blocked::NoServer, |until| Blocked::BackingOff { until })
    }
}
