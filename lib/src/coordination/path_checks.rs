//! Checks by which boxes tell a crashed server from a lost path.
//!
//! A cut that resets connections and refuses new ones looks like the crash of several servers at
//! once. A box that has just lost several servers of a service therefore asks others of its region
//! to connect to them before it counts a crash. Three boxes check each server, whichever boxes ask.
//! One that reaches it outweighs the others, which may have lost their paths as well.

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
    peer_results: HashMap<(ServerIncarnation, u64), CheckResult>,
    started_at: HashMap<ServerIncarnation, Instant>,
    own_results: HashMap<ServerIncarnation, CheckResult>,
}

#[derive(Clone, Copy, Debug)]
struct CheckResult {
    is_reached: bool,
    at: Instant,
}

impl CheckResult {
    fn is_current(&self, now: Instant) -> bool {
        now < self.at + RESULT_TTL
    }
}

/// What other boxes found out about a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Another box reaches it, so it has not crashed.
    Reached,
    /// No box that checks it reaches it.
    Unreached,
    /// Not all results have arrived.
    Open,
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

    /// What `boxes` other boxes of the region have found out about a server since `since`.
    pub fn verdict(&self, server: ServerIncarnation, boxes: usize, since: Instant) -> Verdict {
        let results = self.peer_results.iter().filter(|((checked, _), _)| *checked == server);
        let results = results.map(|(_, result)| result).filter(|result| result.at >= since);
        let (mut reached, mut unreached) = (0, 0);
        for result in results {
            *if result.is_reached { &mut reached } else { &mut unreached } += 1;
        }
        if reached > 0 {
            Verdict::Reached
        } else if unreached >= boxes.min(CHECKERS_PER_SERVER) {
            Verdict::Unreached
        } else {
            Verdict::Open
        }
    }

    /// Records the results of a box's checks.
    pub fn receive_results(
        &mut self,
        sender: u64,
        servers: &[ServerIncarnation],
        is_reached: bool,
        now: Instant,
    ) {
        let result = CheckResult { is_reached, at: now };
        self.peer_results.extend(servers.iter().map(|server| ((*server, sender), result)));
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

    /// Records whether this box reached a server.
    pub fn record_result(&mut self, server: ServerIncarnation, is_reached: bool, now: Instant) {
        self.own_results.insert(server, CheckResult { is_reached, at: now });
    }

    /// Servers that other boxes are to check.
    pub fn requests_to_report(&self) -> Vec<ServerIncarnation> {
        self.requested_at.keys().copied().take(MAX_REPORTED).collect()
    }

    /// Servers that this box checked for others and reached, or did not reach.
    pub fn results_to_report(&self, is_reached: bool) -> Vec<ServerIncarnation> {
        let results = self.own_results.iter().filter(|(_, result)| result.is_reached == is_reached);
        results.map(|(server, _)| *server).take(MAX_REPORTED).collect()
    }

    /// Drops old requests and results.
    pub fn expire(&mut self, now: Instant) {
        self.requested_at.retain(|_, at| now < *at + REQUEST_TTL);
        self.started_at.retain(|_, at| now < *at + RESULT_TTL);
        self.peer_results.retain(|_, result| result.is_current(now));
        self.own_results.retain(|_, result| result.is_current(now));
    }
}
