//! Checks by which boxes tell a crashed server from a lost path.
//!
//! A cut that resets connections and refuses new ones looks like the crash of all servers at once. A
//! box that has just lost all servers of a service therefore asks others of its region to connect
//! to them before it counts a crash. Three boxes check each server, whichever boxes ask.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::interrupted::ServerIncarnation;
use super::rendezvous;

/// How long a request for a check is repeated in reports.
const REQUEST_TTL: Duration = Duration::from_millis(600);
/// How long the result of a check is used and repeated in reports.
const RESULT_TTL: Duration = Duration::from_secs(1);
/// Number of boxes that check a server.
const CHECKERS_PER_SERVER: usize = 3;
/// Maximum number of servers in a report.
const MAX_REPORTED: usize = 32;

/// Checks that this box requested, and those that it carried out for others.
#[derive(Debug, Default)]
pub struct PathChecks {
    requested_at: HashMap<ServerIncarnation, Instant>,
    reached_by_peer_at: HashMap<ServerIncarnation, Instant>,
    started_at: HashMap<ServerIncarnation, Instant>,
    reached_at: HashMap<ServerIncarnation, Instant>,
}

/// Whether the box with hash `own` is among the boxes that check a server for `requester`.
pub fn checks_server(
    own: u64,
    others: impl Iterator<Item = u64>,
    requester: u64,
    server: ServerIncarnation,
) -> bool {
    let weight = rendezvous::mix(own, server);
    let heavier = others
        .filter(|other| *other != requester && rendezvous::mix(*other, server) > weight)
        .count();
    heavier < CHECKERS_PER_SERVER
}

impl PathChecks {
    /// Asks other boxes to check a server.
    pub fn request(&mut self, server: ServerIncarnation, now: Instant) {
        self.requested_at.insert(server, now);
    }

    /// Whether another box has reached the server since `since`.
    pub fn is_reached_by_peer(&self, server: ServerIncarnation, since: Instant) -> bool {
        self.reached_by_peer_at.get(&server).is_some_and(|at| *at >= since)
    }

    /// Records that another box reached these servers.
    pub fn receive_reached(&mut self, servers: &[ServerIncarnation], now: Instant) {
        self.reached_by_peer_at.extend(servers.iter().map(|server| (*server, now)));
    }

    /// Returns whether this box should check a server now. The result of a recent check is used
    /// again.
    pub fn start(&mut self, server: ServerIncarnation, now: Instant) -> bool {
        let is_due = self.started_at.get(&server).is_none_or(|at| now >= *at + RESULT_TTL);
        if is_due {
            self.started_at.insert(server, now);
        }
        is_due
    }

    /// Records that this box reached a server.
    pub fn record_reached(&mut self, server: ServerIncarnation, now: Instant) {
        self.reached_at.insert(server, now);
    }

    /// Servers that other boxes are to check.
    pub fn requests_to_report(&self) -> Vec<ServerIncarnation> {
        self.requested_at.keys().copied().take(MAX_REPORTED).collect()
    }

    /// Servers that this box has reached for others.
    pub fn results_to_report(&self) -> Vec<ServerIncarnation> {
        self.reached_at.keys().copied().take(MAX_REPORTED).collect()
    }

    /// Drops old requests and results.
    pub fn expire(&mut self, now: Instant) {
        self.requested_at.retain(|_, at| now < *at + REQUEST_TTL);
        for results in [&mut self.reached_by_peer_at, &mut self.started_at, &mut self.reached_at] {
            results.retain(|_, at| now < *at + RESULT_TTL);
        }
    }
}
