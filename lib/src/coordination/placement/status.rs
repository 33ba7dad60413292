//! State that servers report about themselves: cold, leaving, resting, or replaced by another
//! instance.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::Place;
use super::Placement;
use crate::coordination::candidate::Candidate;
use crate::coordination::warmup;
use crate::protocol::ServerId;
use crate::protocol::fleet::Server;

/// A server that may turn cold and is probed.
#[derive(Clone, Debug)]
pub struct ProbeTarget<'a> {
    /// Id of the server.
    pub server: &'a ServerId,
    /// Address of the server.
    pub address: SocketAddr,
    /// Incarnation of the server.
    pub incarnation: u64,
    /// Time between probes.
    pub probe_interval: Duration,
}

impl Placement {
    /// Whether the request that holds a place may be sent now. If so, it is counted, once for each
    /// place.
    pub fn admit_send(&mut self, place: &mut Place, stale: bool, now: Instant) -> bool {
        if !self.still_admits(place, now) {
            return false;
        }
        if place.is_sent {
            return true;
        }
        let stale = stale && self.health_path.is_some();
        let candidate = self.servers.get_mut(&place.server);
        place.is_sent = candidate.is_some_and(|candidate| candidate.admit_send(stale, now));
        place.is_sent
    }

    /// Whether the server of a place still accepts requests. Reports of the server and changes in
    /// the store after the choice are taken into account until the request is sent.
    pub fn still_admits(&self, place: &Place, now: Instant) -> bool {
        let Some(candidate) = self.servers.get(&place.server) else { return false };
        let is_resting = self.rest_periods.until(place.incarnation, now).is_some();
        candidate.incarnation == place.incarnation && candidate.is_usable() && !is_resting
    }

    /// Records the rest period that a server requested from this box. Returns when it ends.
    pub fn record_rest_period(
        &mut self,
        server: u64,
        duration: Duration,
        now: Instant,
    ) -> Option<Instant> {
        self.rest_periods.record(server, duration, now);
        self.rest_periods.until(server, now)
    }

    /// Number of servers that are resting.
    pub fn resting(&self, now: Instant) -> usize {
        let incarnations = self.servers.values().map(|candidate| candidate.incarnation);
        incarnations
            .filter(|incarnation| self.rest_periods.until(*incarnation, now).is_some())
            .count()
    }

    /// Number of usable servers that failed recently, and number of usable servers.
    pub fn failing(&self, now: Instant) -> (usize, usize) {
        let usable = self.servers.values().filter(|candidate| candidate.is_usable());
        let failing = usable.clone().filter(|candidate| !candidate.is_healthy(now)).count();
        (failing, usable.count())
    }

    /// Retry delay of the next caller that finds all servers resting until `until`.
    pub fn retry_after(&mut self, until: Instant, now: Instant) -> Duration {
        self.retry_spread.retry_after(until, now)
    }

    /// Updates which servers have announced that they are leaving.
    pub fn set_leaving(&mut self, is_leaving: impl Fn(u64) -> bool) {
        for candidate in self.servers.values_mut() {
            candidate.set_leaving(is_leaving(candidate.incarnation));
        }
    }

    /// Records a server's report to this box that it is cold for another `cold_left`, or not cold
    /// if that is 0. Returns whether the server has newly turned cold.
    pub fn record_cold_report(&mut self, server: &str, cold_left: Duration, now: Instant) -> bool {
        let Some(candidate) = self.servers.get_mut(server) else { return false };
        let turned_cold = candidate.record_probe_response(cold_left, now);
        if turned_cold {
            let failure_domain = candidate.state.server.failure_domain.clone();
            self.distrust_warm_reports(&failure_domain, now);
        }
        turned_cold
    }

    /// Records a report that a server made to another box at `at`; `incarnation` identifies its
    /// incarnation.
    pub fn record_peer_cold_report(&mut self, incarnation: u64, cold_left: Duration, at: Instant) {
        let reported =
            self.servers.values_mut().find(|candidate| candidate.incarnation == incarnation);
        let Some(candidate) = reported else { return };
        if !candidate.record_cold_report(cold_left, at) {
            return;
        }
        let Server { id, failure_domain, .. } = &*candidate.state.server;
        log::info!("event=server_says server={id} cold_ms={} by=box", cold_left.as_millis());
        let failure_domain = failure_domain.clone();
        self.distrust_warm_reports(&failure_domain, at);
    }

    fn distrust_warm_reports(&mut self, failure_domain: &str, now: Instant) {
        for candidate in self.servers.values_mut() {
            if candidate.state.server.failure_domain == failure_domain {
                candidate.distrust_warm_reports(now);
            }
        }
    }

    /// Recent reports that servers made to this box: incarnation, remaining cold time and time of
    /// the report.
    pub fn cold_reports(&self, now: Instant) -> impl Iterator<Item = (u64, Duration, Instant)> {
        self.servers.values().filter_map(move |candidate| {
            let (cold_left, at) = candidate.recent_cold_report(now)?;
            Some((candidate.incarnation, cold_left, at))
        })
    }

    /// Path of the servers' health endpoint.
    pub fn health_path(&self) -> Option<&str> {
        self.health_path.as_deref()
    }

    /// Hashes of the usable servers that may turn cold.
    pub fn servers_to_probe(&self, now: Instant) -> impl Iterator<Item = u64> {
        // A server that is resting gets no requests, so it does not matter whether it is cold.
        let is_probed = move |candidate: &&Candidate| {
            candidate.is_usable()
                && candidate.state.cold_share.is_some()
                && self.rest_periods.until(candidate.incarnation, now).is_none()
        };
        self.servers.values().filter(is_probed).map(|candidate| candidate.hash)
    }

    /// The servers with these hashes, as targets of probes.
    pub fn probe_targets(
        &mut self,
        hashes: &HashSet<u64>,
        now: Instant,
    ) -> impl Iterator<Item = ProbeTarget<'_>> {
        // All boxes are assumed to use a server equally.
        let (rate, sharing_boxes) = (self.cold_rate, self.sharing_boxes.max(1) as f64);
        let servers = self.servers.iter_mut();
        let probed = servers.filter(|(_, candidate)| hashes.contains(&candidate.hash));
        probed.map(move |(server, candidate)| ProbeTarget {
            server,
            address: candidate.state.server.address,
            incarnation: candidate.incarnation,
            probe_interval: warmup::probe_interval(
                rate,
                candidate.sent_per_second(now) * sharing_boxes,
            ),
        })
    }

    /// Records that another instance has a server's address.
    pub fn mark_replaced(&mut self, server: &str) {
        if let Some(candidate) = self.servers.get_mut(server) {
            candidate.mark_replaced();
        }
    }
}
