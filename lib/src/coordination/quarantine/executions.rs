//! Where requests run: those of this box, and the suspicious ones of others.
//!
//! A request that runs on several servers which live was under every end, whatever caused it. One that ends them
//! hardly ever runs on many that live: so how wide a request runs tells those apart that have seen the same ends.
//! All are entered, as those that ran before the first end show it best.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::coordination::fingerprint::ContentHash;
use crate::protocol::ServerId;

/// How long another box's word counts on where its suspicious requests run: several reports.
const RESERVATION_TTL: Duration = Duration::from_secs(1);

/// Requests, and the servers that run them now.
#[derive(Debug, Default)]
pub(super) struct Executions {
    /// This box's: how often each server runs it. Most are on one.
    own: HashMap<ContentHash, Vec<(ServerId, u32)>>,
    /// Suspicious ones of other boxes, by the box that says so, and when it did.
    reserved_by_peers: HashMap<u64, (Instant, Vec<ServerId>)>,
}

impl Executions {
    /// A request goes to a server.
    pub fn begin(&mut self, server: ServerId, content: ContentHash) {
        let servers = self.own.entry(content).or_default();
        match servers.iter_mut().find(|(on, _)| *on == server) {
            Some((_, count)) => *count += 1,
            None => servers.push((server, 1)),
        }
    }

    /// It has ended there, one way or the other.
    pub fn finish(&mut self, server: &str, content: ContentHash) {
        let Some(servers) = self.own.get_mut(&content) else { return };
        let Some(index) = servers.iter().position(|(on, _)| on == server) else { return };
        servers[index].1 -= 1;
        if servers[index].1 == 0 {
            servers.swap_remove(index);
        }
        if servers.is_empty() {
            self.own.remove(&content);
        }
    }

    /// Servers that run a request of this box now.
    pub fn width(&self, content: ContentHash) -> usize {
        self.own.get(&content).map_or(0, Vec::len)
    }

    /// Servers that run a request of this box.
    pub fn servers(&self, content: ContentHash) -> impl Iterator<Item = &ServerId> {
        self.own.get(&content).into_iter().flatten().map(|(server, _)| server)
    }

    /// Another box says where its suspicious requests run.
    pub fn receive(&mut self, sender: u64, servers: &[ServerId], now: Instant) {
        if servers.is_empty() {
            self.reserved_by_peers.remove(&sender);
        } else {
            self.reserved_by_peers.insert(sender, (now, servers.to_vec()));
        }
    }

    /// Servers that run a suspicious request of another box.
    pub fn reserved_by_peers(&self, now: Instant) -> impl Iterator<Item = &ServerId> {
        let current =
            self.reserved_by_peers.values().filter(move |(at, _)| now < *at + RESERVATION_TTL);
        current.flat_map(|(_, servers)| servers)
    }

    /// Drops what is old.
    pub fn expire(&mut self, now: Instant) {
        self.reserved_by_peers.retain(|_, (at, _)| now < *at + RESERVATION_TTL);
    }
}
