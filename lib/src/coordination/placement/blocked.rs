//! The reason why a request cannot be placed, which determines when its caller should retry.

use std::time::Instant;

use super::Placement;
use super::PlacementRequest;
use super::Selection;
use crate::coordination::candidate::Candidate;

/// The reason why a request cannot be placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Blocked {
    /// No server may get requests.
    NoServer,
    /// All servers have reached their request limit.
    Full,
    /// The servers with capacity have reached their rate limit.
    Throttled,
    /// This box has all the requests at brittle servers that it may have.
    Brittle,
    /// Only servers that failed recently have capacity.
    Failing,
    /// This box can't reach any of the remaining servers.
    Unreachable,
    /// All servers are in a rest period that they requested from this box.
    Resting {
        /// When the first rest period ends.
        until: Instant,
    },
    /// All remaining servers are leaving.
    Leaving,
}

impl Placement {
    /// Determines why a request cannot be placed.
    pub(super) fn blocked(
        &mut self,
        request: PlacementRequest<'_>,
        selection: Selection,
    ) -> Blocked {
        let mut blocked = self.unusable(request, selection.now);
        for candidate in self.servers.values_mut() {
            let is_tried = request.tried.contains(&candidate.state.server.id);
            let is_resting =
                self.rest_periods.until(candidate.incarnation, selection.now).is_some();
            if !request.admits(candidate) || is_tried || is_resting {
                continue;
            }
            if candidate.path.is_lost() {
                if blocked == Blocked::NoServer {
                    blocked = Blocked::Unreachable;
                }
                continue;
            }
            let load = candidate.load(request.loads, selection.unreported_boxes);
            let has_capacity = candidate.has_capacity(load, selection.usage, selection.now);
            if !candidate.is_healthy(selection.now) && has_capacity {
                return Blocked::Failing;
            }
            let is_throttled =
                has_capacity && request.throttles.rate(candidate.incarnation).is_some();
            let PlacementRequest { loads, throttles, service, .. } = request;
            let is_brittle =
                has_capacity && !candidate.has_room(loads, throttles, service, selection.now);
            blocked = match blocked {
                Blocked::Throttled | Blocked::Brittle => blocked,
                _ if is_brittle => Blocked::Brittle,
                _ if is_throttled => Blocked::Throttled,
                _ => Blocked::Full,
            };
        }
        blocked
    }

    /// Determines why the servers accept no request at all.
    fn unusable(&self, request: PlacementRequest<'_>, now: Instant) -> Blocked {
        let may_run = |candidate: &&Candidate| request.admits(candidate);
        let servers = self.servers.values();
        let mut usable = servers.filter(may_run).peekable();
        if usable.peek().is_none() {
            let is_meant = |candidate: &&Candidate| {
                request.version.is_none_or(|version| candidate.version == version)
            };
            let any_leaving = self.servers.values().filter(is_meant).any(Candidate::is_leaving);
            return if any_leaving { Blocked::Leaving } else { Blocked::NoServer };
        }
        // A server that is not resting has already received the request.
        let rest_ends: Option<Vec<Instant>> =
            usable.map(|candidate| self.rest_periods.until(candidate.incarnation, now)).collect();
        let first_end = rest_ends.and_then(|rest_ends| rest_ends.into_iter().min());
        first_end.map_or(Blocked::NoServer, |until| Blocked::Resting { until })
    }
}
