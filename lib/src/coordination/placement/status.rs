//! What servers say of themselves: that they are cold, leave, want rest, or are others than was meant.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use super::Place;
use super::Placement;
use crate::coordination::warmup;
use crate::protocol::ServerId;
use crate::protocol::fleet::Server;

/// A server that may turn cold.
#[derive(Clone, Debug)]
pub struct ProbeTarget<'a> {
    /// The server.
    pub server: &'a ServerId,
    /// Its address.
    pub address: SocketAddr,
    /// What stands for it among boxes.
    pub hash: u64,
    /// Which of its lives.
    pub incarnation: u64,
    /// Time between questions to it whether it is cold.
    pub probe_interval: Duration,
}

impl Placement {
    /// Whether the server of a place would still get it: what the server said, or the store shows, since the choice
    /// counts until the request is sent.
    pub fn still_admits(&self, place: &Place, now: Instant) -> bool {
        let Some(candidate) = self.servers.get(&place.server) else { return false };
        let backoffs = self.backoffs.until(place.incarnation, now).is_some();
        candidate.incarnation == place.incarnation && candidate.is_usable() && !backoffs
    }

    /// A server asks this box for rest. Says until when it rests.
    pub fn record_backoff(
        &mut self,
        server: u64,
        duration: Duration,
        now: Instant,
    ) -> Option<Instant> {
        self.backoffs.record(server, duration, now);
        self.backoffs.until(server, now)
    }

    /// How many servers rest.
    pub fn backing_off(&self, now: Instant) -> usize {
        let lives = self.servers.values().map(|candidate| candidate.incarnation);
        lives.filter(|life| self.backoffs.until(*life, now).is_some()).count()
    }

    /// When the next caller comes back of those who find only servers that rest until then.
    pub fn retry_after(&mut self, until: Instant, now: Instant) -> Duration {
        self.retry_spread.retry_after(until, now)
    }

    /// Takes in which servers leave by their own word.
    pub fn set_leaving(&mut self, leaves: impl Fn(u64) -> bool) {
        for candidate in self.servers.values_mut() {
            candidate.set_leaving(leaves(candidate.incarnation));
        }
    }

    /// A server told this box how much longer it is cold, not at all for 0. Says whether it has
    /// turned cold by that.
    pub fn record_cold_report(&mut self, server: &str, cold_left: Duration, now: Instant) -> bool {
        let Some(candidate) = self.servers.get_mut(server) else { return false };
        let turned_cold = candidate.record_probe_answer(cold_left, now);
        if turned_cold {
            let failure_domain = candidate.state.server.failure_domain.clone();
            self.distrust_warm_reports(&failure_domain, now);
        }
        turned_cold
    }

    /// A server, by the hash of its life, told another box then how much longer it is cold.
    pub fn record_peer_cold_report(&mut self, life: u64, cold_left: Duration, at: Instant) {
        let reported = self.servers.values_mut().find(|candidate| candidate.incarnation == life);
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

    /// What servers told this box a short while ago: hash of the life, how much longer they are cold, and when
    /// they said so.
    pub fn cold_reports(&self, now: Instant) -> impl Iterator<Item = (u64, Duration, Instant)> {
        self.servers.values().filter_map(move |candidate| {
            let (cold_left, at) = candidate.recent_cold_report(now)?;
            Some((candidate.incarnation, cold_left, at))
        })
    }

    /// Where servers say how they are.
    pub fn health_path(&self) -> Option<&str> {
        self.health_path.as_deref()
    }

    /// The usable servers that may turn cold.
    pub fn probe_targets(&mut self, now: Instant) -> impl Iterator<Item = ProbeTarget<'_>> {
        // Boxes are taken to use a server alike.
        let (rate, sharers) = (self.cold_rate, self.sharers.max(1) as f64);
        let usable = self.servers.iter_mut().filter(|(_, candidate)| candidate.is_usable());
        // One that rests gets nothing, so nobody needs to know whether it is cold.
        let backoffs = &self.backoffs;
        let probed = usable.filter(move |(_, candidate)| {
            candidate.state.cold_share.is_some()
                && backoffs.until(candidate.incarnation, now).is_none()
        });
        probed.map(move |(server, candidate)| ProbeTarget {
            server,
            address: candidate.state.server.address,
            hash: candidate.hash,
            incarnation: candidate.incarnation,
            probe_interval: warmup::probe_interval(rate, candidate.sent_per_second(now) * sharers),
        })
    }

    /// Another instance has a server's address.
    pub fn mark_replaced(&mut self, server: &str) {
        if let Some(candidate) = self.servers.get_mut(server) {
            candidate.mark_replaced();
        }
    }
}
