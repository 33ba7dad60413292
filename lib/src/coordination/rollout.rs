//! The configuration version in force on a box.
//!
//! The version only increases. A box that starts queries the store and every peer of its region
//! that it can find, and becomes ready with the newest of the responses that arrive in time. If the
//! store is unavailable, the peers are enough.

use std::time::Duration;
use std::time::Instant;

use super::invariant;
use super::invariant::Invariant;
use crate::protocol::Version;

/// Result of comparing an offered version with the one in force.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// The offered version is newer and should be put in force.
    Adopt,
    /// The offered version is in force.
    Same,
    /// The offered version is older and should be ignored.
    Older,
}

/// Tracks the configuration version of one box.
#[derive(Debug)]
pub struct Rollout {
    version: Version,
    queries_started: usize,
    queries_finished: usize,
    give_up_at: Option<Instant>,
    ready: bool,
    older_offers: u64,
}

impl Rollout {
    /// Creates the state of a box without a configuration. Once it has one, it waits for slow
    /// responses until `wait` has passed since `now`.
    pub fn new(now: Instant, wait: Duration) -> Rollout {
        Rollout {
            version: 0,
            queries_started: 0,
            queries_finished: 0,
            give_up_at: Some(now + wait),
            ready: false,
            older_offers: 0,
        }
    }

    /// Returns the version in force; 0 before the first.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns how many offers had an older version.
    pub fn older_offers(&self) -> u64 {
        self.older_offers
    }

    /// Records that a source was queried at startup.
    pub fn query_started(&mut self) {
        self.queries_started += 1;
    }

    /// Records that a query has succeeded or failed.
    pub fn query_finished(&mut self) {
        self.queries_finished += 1;
    }

    /// Compares an offered version with the one in force.
    pub fn check_offer(&mut self, version: Version) -> Offer {
        match version.cmp(&self.version) {
            std::cmp::Ordering::Greater => Offer::Adopt,
            std::cmp::Ordering::Equal => Offer::Same,
            std::cmp::Ordering::Less => {
                self.older_offers += 1;
                Offer::Older
            }
        }
    }

    /// Records that a version was put in force.
    pub fn adopt(&mut self, version: Version) {
        invariant::check(Invariant::VersionGrows, version > self.version, || {
            format!("from={} to={version}", self.version)
        });
        self.version = self.version.max(version);
    }

    /// Returns whether the box may serve: it has a configuration, and all queries have finished or
    /// timed out.
    pub fn ready(&mut self, now: Instant) -> bool {
        if self.ready {
            return true;
        }
        let all_finished =
            self.queries_started > 0 && self.queries_finished >= self.queries_started;
        let timed_out = self.give_up_at.is_some_and(|at| now >= at);
        self.ready = self.version > 0 && (all_finished || timed_out);
        self.ready
    }
}
