//! Incarnations of servers that keep their name and address when they start again.
//!
//! Such a server does not tell when it started. Its crashes number its incarnations: two that are
//! reported for about the same moment are one crash, seen by two boxes. Each box numbers for itself,
//! so boxes report the server and the time of a crash, not the incarnation.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use super::interrupted::ServerIncarnation;
use super::rendezvous;
use crate::protocol::NameHash;

/// Crashes of one server less than this apart are one crash. A server needs longer to start again.
const MIN_UPTIME: Duration = Duration::from_millis(500);
/// Maximum number of crashes that are remembered for one server.
const MAX_CRASHES: usize = 16;
/// Maximum number of servers for which crashes are remembered.
const MAX_SERVERS: usize = 4096;

#[derive(Clone, Debug, Default)]
struct Server {
    /// Number of crashes so far.
    crash_count: u64,
    /// The latest crashes and their numbers.
    crashes: Vec<(Instant, u64)>,
}

impl Server {
    fn last_crash(&self) -> Option<Instant> {
        self.crashes.iter().map(|(at, _)| *at).max()
    }
}

/// Incarnations of servers, by the crashes between them.
#[derive(Debug, Default)]
pub struct Incarnations {
    servers: HashMap<NameHash, Server>,
}

impl Incarnations {
    /// The incarnation of a server that has not crashed yet.
    pub fn current(&self, server: NameHash) -> ServerIncarnation {
        incarnation(server, self.servers.get(&server).map_or(0, |server| server.crash_count))
    }

    /// Records a crash. Returns the incarnation that crashed.
    pub fn record_crash(&mut self, server: NameHash, at: Instant) -> ServerIncarnation {
        if !self.servers.contains_key(&server) && self.servers.len() >= MAX_SERVERS {
            let oldest = self.servers.iter().min_by_key(|(_, server)| server.last_crash());
            oldest.map(|(server, _)| *server).and_then(|oldest| self.servers.remove(&oldest));
        }
        let known = self.servers.entry(server).or_default();
        let is_same = |(other, _): &&(Instant, u64)| {
            let distance = at.max(*other).duration_since(at.min(*other));
            distance < MIN_UPTIME
        };
        if let Some((_, number)) = known.crashes.iter().find(is_same) {
            return incarnation(server, *number);
        }
        let number = known.crash_count;
        known.crash_count += 1;
        known.crashes.push((at, number));
        if known.crashes.len() > MAX_CRASHES {
            known.crashes.remove(0);
        }
        incarnation(server, number)
    }

    /// The server of an incarnation that crashed.
    pub fn server_of(&self, crashed: ServerIncarnation) -> Option<NameHash> {
        let mut servers = self.servers.iter();
        servers
            .find(|(server, known)| {
                known.crashes.iter().any(|(_, number)| incarnation(**server, *number) == crashed)
            })
            .map(|(server, _)| *server)
    }
}

fn incarnation(server: NameHash, number: u64) -> ServerIncarnation {
    rendezvous::mix(u64::from(server), number)
}
