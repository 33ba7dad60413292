//! Which version of the configuration is in force on a box.
//!
//! A version only ever grows. A fresh box asks the store and every peer of its
//! region that it can find, and is ready with the newest of the answers that
//! come in time; with the store out, peers are enough.

use std::time::Duration;
use std::time::Instant;

use super::invariant;
use super::invariant::Invariant;
use crate::protocol::Version;

/// What to do with an offered version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// Newer: put it in force.
    Adopt,
    /// The one in force.
    Same,
    /// Older: ignore it.
    Older,
}

/// State of a box's configuration.
#[derive(Debug)]
pub struct Rollout {
    version: Version,
    asked: usize,
    answered: usize,
    give_up_at: Option<Instant>,
    ready: bool,
    older_offers: u64,
}

impl Rollout {
    /// A fresh box, which waits for `wait` at most for slow answers once it has one.
    pub fn new(now: Instant, wait: Duration) -> Rollout {
        Rollout {
            version: 0,
            asked: 0,
            answered: 0,
            give_up_at: Some(now + wait),
            ready: false,
            older_offers: 0,
        }
    }

    /// Version in force; 0 before the first.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Offers of an older version so far.
    pub fn older_offers(&self) -> u64 {
        self.older_offers
    }

    /// One more source was asked at the start.
    pub fn query_started(&mut self) {
        self.asked += 1;
    }

    /// One of them answered, or failed.
    pub fn query_finished(&mut self) {
        self.answered += 1;
    }

    /// Weighs an offered version.
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

    /// A version was put in force.
    pub fn adopt(&mut self, version: Version) {
        invariant::check(Invariant::VersionGrows, version > self.version, || {
            format!("from={} to={version}", self.version)
        });
        self.version = self.version.max(version);
    }

    /// Whether the box may serve: it has a configuration, and all that it
    /// asked have answered or had their time.
    pub fn ready(&mut self, now: Instant) -> bool {
        if self.ready {
            return true;
        }
        let all_in = self.asked > 0 && self.answered >= self.asked;
        let time_over = self.give_up_at.is_some_and(|at| now >= at);
        self.ready = self.version > 0 && (all_in || time_over);
        self.ready
    }
}
