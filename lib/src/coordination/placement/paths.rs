//! Paths from this box to the servers of a service.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;

use super::Placement;
use crate::coordination::candidate::Candidate;
use crate::coordination::candidate::Outcome;
use crate::coordination::interrupted::ServerIncarnation;
use crate::coordination::reachability::PathChange;
use crate::protocol::ServerId;

/// Number of servers whose paths are lost, with no response of any server in between, from which
/// the paths to all servers count as lost. Otherwise each of them would cost a request.
const LOSSES_TO_INFER: u32 = 3;
/// Time without a response from which losses may stand for all servers. Several servers that crash
/// at the same moment refuse connections within less.
const MIN_SILENCE: Duration = Duration::from_millis(250);

/// Number of servers lost at about the same time from which the cause may be the path.
const SIMULTANEOUS_LOSSES: usize = 2;

/// A server whose path is to be probed.
#[derive(Clone, Debug)]
pub struct PathTarget {
    /// Id of the server.
    pub server: ServerId,
    /// Address of the server.
    pub address: SocketAddr,
}

impl Placement {
    fn usable_servers(&self) -> impl Iterator<Item = &Candidate> {
        self.servers.values().filter(|candidate| candidate.is_usable())
    }

    /// Whether this box can't reach some servers that may get requests.
    pub fn has_lost_paths(&self) -> bool {
        self.usable_servers().any(|candidate| candidate.path.is_lost())
    }

    /// Whether there are servers that may get requests, and this box can't reach any of them.
    pub fn is_unreachable(&self) -> bool {
        let mut usable = self.usable_servers().peekable();
        usable.peek().is_some() && usable.all(|candidate| candidate.path.is_lost())
    }

    /// Whether the paths to several servers, or to all that may get requests, may be lost. Then
    /// broken connections and refused ones do not show that a server has crashed.
    pub fn doubts_paths(&self, now: Instant) -> bool {
        let usable = self.usable_servers().count();
        let doubtful =
            self.usable_servers().filter(|candidate| candidate.path.is_doubtful(now)).count();
        doubtful > 0 && doubtful >= usable.min(SIMULTANEOUS_LOSSES)
    }

    /// Address of the server with this incarnation.
    pub fn address_of(&self, incarnation: ServerIncarnation) -> Option<SocketAddr> {
        let mut servers = self.servers.values();
        let candidate = servers.find(|candidate| candidate.incarnation == incarnation)?;
        Some(candidate.state.server.address)
    }

    /// Share of the servers that may get requests which this box reaches, by their slots; 1 if there
    /// are none.
    pub fn reached_share(&self) -> f64 {
        let (mut all, mut reached) = (0, 0);
        for candidate in self.usable_servers() {
            let slots = candidate.state.server.slots.max(1);
            all += slots;
            reached += if candidate.path.is_lost() { 0 } else { slots };
        }
        if all > 0 { f64::from(reached) / f64::from(all) } else { 1.0 }
    }

    /// Number of servers that this box can't reach.
    pub fn unreachable_servers(&self) -> usize {
        self.usable_servers().filter(|candidate| candidate.path.is_lost()).count()
    }

    /// Records what the outcome of a request at a server shows about the path to it.
    pub(super) fn record_path(
        &mut self,
        server: &str,
        outcome: Outcome,
        now: Instant,
    ) -> PathChange {
        if outcome.is_response() {
            self.losses_without_response = 0;
            self.last_response_at = Some(now);
        }
        let Some(candidate) = self.servers.get_mut(server) else { return PathChange::Unchanged };
        if outcome == Outcome::Lost {
            candidate.path.record_break(now);
        }
        if outcome != Outcome::Unreachable || !candidate.path.record_loss(now) {
            return PathChange::Unchanged;
        }
        self.losses_without_response += 1;
        let is_silent = self.last_response_at.is_none_or(|at| now >= at + MIN_SILENCE);
        if is_silent && self.losses_without_response >= LOSSES_TO_INFER {
            self.servers.values_mut().for_each(|candidate| candidate.path.infer_loss(now));
        }
        if self.is_unreachable() { PathChange::AllLost } else { PathChange::Lost }
    }

    /// The servers whose paths are due for a probe, at most `max_count`.
    pub fn start_path_probes(
        &mut self,
        max_count: usize,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<PathTarget> {
        let due = self.servers.iter_mut().filter_map(|(server, candidate)| {
            let is_due = candidate.is_usable() && candidate.path.start_due_probe(now, rng);
            let address = candidate.state.server.address;
            is_due.then(|| PathTarget { server: server.clone(), address })
        });
        due.take(max_count).collect()
    }

    /// Records whether a probe reached a server. Returns whether the server may get requests again.
    pub fn record_path_probe(&mut self, server: &str, connected: bool, now: Instant) -> bool {
        let Some(candidate) = self.servers.get_mut(server) else { return false };
        if !candidate.path.record_probe(connected, now) {
            return false;
        }
        candidate.available_since = now;
        self.losses_without_response = 0;
        self.servers.values_mut().for_each(|candidate| candidate.path.withdraw_inference());
        true
    }
}
