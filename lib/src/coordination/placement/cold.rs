//! Requests to servers that are cold, or that may have turned cold.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::Place;
use super::Placement;
use crate::coordination::coldness::Admission;
use crate::coordination::coldness::Usage;
use crate::coordination::warmup;
use crate::protocol::fleet::Server;

/// A server to query whether it is cold.
#[derive(Clone, Debug)]
pub struct QueryTarget {
    /// Address of the server.
    pub address: SocketAddr,
    /// Path of its health endpoint.
    pub path: String,
}

impl Placement {
    /// Whether the request that holds a place may be sent now. If so, it is counted, once for each
    /// place.
    pub fn admit_send(&mut self, place: &mut Place, now: Instant) -> Admission {
        if !self.still_admits(place, now) {
            return Admission::Refused;
        }
        if place.is_sent {
            return Admission::Granted;
        }
        let usage = self.usage(now);
        let Some(candidate) = self.servers.get_mut(&place.server) else {
            return Admission::Refused;
        };
        let in_flight = place.in_flight.saturating_sub(1) + place.others_in_flight;
        let admission = candidate.admit_send(usage, in_flight, now);
        if admission == Admission::Granted {
            place.is_sent = true;
        }
        admission
    }

    /// Use of the servers, if all boxes use them as this one does.
    pub(super) fn usage(&mut self, now: Instant) -> Usage {
        let own_rate = warmup::window_rate(self.placed.count(now));
        let servers = self.servers.len().max(1) as f64;
        let sharing_boxes = self.sharing_boxes.max(1);
        Usage {
            mean_rate: own_rate * sharing_boxes as f64 / servers,
            sharing_boxes,
            request_duration: self.request_duration,
            can_query: self.health_path.is_some(),
        }
    }

    /// Starts a query whether the server of a place is cold, unless one is in progress.
    pub fn start_query(&mut self, place: &Place, now: Instant) -> Option<QueryTarget> {
        let path = self.health_path.clone()?;
        let candidate = self.server_of(place)?;
        let is_due = candidate.coldness().start_query(now);
        is_due.then_some(QueryTarget { address: place.address, path })
    }

    /// Records a server's report to this box that it is cold for another `cold_left`, or not cold
    /// if that is 0. Returns whether the server has newly turned cold.
    pub fn record_cold_report(&mut self, server: &str, cold_left: Duration, now: Instant) -> bool {
        let Some(candidate) = self.servers.get_mut(server) else { return false };
        let turned_cold = candidate.coldness().record_own_report(cold_left, now);
        let failure_domain = candidate.state.server.failure_domain.clone();
        if turned_cold {
            self.doubt_warm_reports(&failure_domain, now);
        }
        turned_cold
    }

    /// Records a server's answer to a query that this box sent at `queried_at`. Returns whether the
    /// server has newly turned cold.
    pub fn record_query_answer(
        &mut self,
        server: &str,
        cold_left: Duration,
        queried_at: Instant,
        now: Instant,
    ) -> bool {
        let Some(candidate) = self.servers.get_mut(server) else { return false };
        let turned_cold = candidate.coldness().record_answer(cold_left, queried_at, now);
        let failure_domain = candidate.state.server.failure_domain.clone();
        if cold_left.is_zero() {
            self.untold_answers.push((candidate.incarnation, queried_at));
        }
        if turned_cold {
            self.doubt_warm_reports(&failure_domain, now);
        }
        turned_cold
    }

    /// Records a report that a server made to another box for the time `at`; `incarnation`
    /// identifies its incarnation.
    pub fn record_peer_cold_report(&mut self, incarnation: u64, cold_left: Duration, at: Instant) {
        let reported =
            self.servers.values_mut().find(|candidate| candidate.incarnation == incarnation);
        let Some(candidate) = reported else { return };
        if !candidate.coldness().record_report(cold_left, at) {
            return;
        }
        let Server { id, failure_domain, .. } = &*candidate.state.server;
        log::info!("event=server_says server={id} cold_ms={} by=box", cold_left.as_millis());
        let failure_domain = failure_domain.clone();
        self.doubt_warm_reports(&failure_domain, at);
    }

    fn doubt_warm_reports(&mut self, failure_domain: &str, at: Instant) {
        for candidate in self.servers.values_mut() {
            if candidate.state.server.failure_domain == failure_domain {
                candidate.coldness().doubt(at);
            }
        }
    }

    /// Recent reports of servers to this box: incarnation, remaining cold time and time for which it
    /// holds.
    pub fn cold_reports(&self, now: Instant) -> impl Iterator<Item = (u64, Duration, Instant)> {
        self.servers.values().filter_map(move |candidate| {
            let (cold_left, at) = candidate.recent_cold_report(now)?;
            Some((candidate.incarnation, cold_left, at))
        })
    }

    /// Removes and returns the reports of being warm that other boxes have not been told: incarnation
    /// of the server and time for which the report holds.
    pub fn take_untold_answers(&mut self) -> Vec<(u64, Instant)> {
        std::mem::take(&mut self.untold_answers)
    }
}
