//! Servers that execute requests: all requests of this box, and suspicious ones of others.
//!
//! A request that is executed on several running servers was present at every crash, whatever
//! caused it. A request that crashes servers is hardly ever executed on many running ones. The
//! number of servers therefore distinguishes requests that have seen the same crashes. All requests
//! are recorded, since executions that began before the first crash are the best evidence.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::coordination::fingerprint::ContentHash;
use crate::protocol::ServerId;

/// How long another box's report about its suspicious requests applies: several reports.
const RESERVATION_TTL: Duration = Duration::from_secs(1);

/// Requests and the servers that currently execute them.
#[derive(Debug, Default)]
pub(super) struct Executions {
    /// Requests of this box with the number of executions on each server. Most are executed on one.
    own: HashMap<ContentHash, Vec<(ServerId, u32)>>,
    /// Servers that execute suspicious requests of other boxes, by box, and when the box reported
    /// them.
    reserved_by_peers: HashMap<u64, (Instant, Vec<ServerId>)>,
}

impl Executions {
    /// Records that a request is sent to a server.
    pub fn begin(&mut self, server: ServerId, content: ContentHash) {
        let servers = self.own.entry(content).or_default();
        match servers.iter_mut().find(|(id, _)| *id == server) {
            Some((_, count)) => *count += 1,
            None => servers.push((server, 1)),
        }
    }

    /// Records that a request has ended at a server, with whatever result.
    pub fn finish(&mut self, server: &str, content: ContentHash) {
        let Some(servers) = self.own.get_mut(&content) else { return };
        let Some(index) = servers.iter().position(|(id, _)| id == server) else { return };
        servers[index].1 -= 1;
        if servers[index].1 == 0 {
            servers.swap_remove(index);
        }
        if servers.is_empty() {
            self.own.remove(&content);
        }
    }

    /// Number of servers that currently execute a content for this box.
    pub fn server_count(&self, content: ContentHash) -> usize {
        self.own.get(&content).map_or(0, Vec::len)
    }

    /// Servers that currently execute a content for this box.
    pub fn servers(&self, content: ContentHash) -> impl Iterator<Item = &ServerId> {
        self.own.get(&content).into_iter().flatten().map(|(server, _)| server)
    }

    /// Records the servers that execute suspicious requests of another box.
    pub fn receive(&mut self, sender: u64, servers: &[ServerId], now: Instant) {
        if servers.is_empty() {
            self.reserved_by_peers.remove(&sender);
        } else {
            self.reserved_by_peers.insert(sender, (now, servers.to_vec()));
        }
    }

    /// Servers that execute a suspicious request of another box.
    pub fn reserved_by_peers(&self, now: Instant) -> impl Iterator<Item = &ServerId> {
        let current =
            self.reserved_by_peers.values().filter(move |(at, _)| now < *at + RESERVATION_TTL);
        current.flat_map(|(_, servers)| servers)
    }

    /// Drops expired reports.
    pub fn expire(&mut self, now: Instant) {
        self.reserved_by_peers.retain(|_, (at, _)| now < *at + RESERVATION_TTL);
    }
}
