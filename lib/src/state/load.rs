//! The latest observation of each backend server of a region.
//!
//! Probes by this box, reports by others and signs in traffic all end here.
//! The younger observation wins; ages travel instead of times, so that clocks
//! need not agree. A sign that a server is leaving is passed on at once.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::protocol::ServerId;
use crate::protocol::peer::MAX_REPORT_AGE;
use crate::protocol::peer::Report;

/// An observation.
#[derive(Clone, Debug)]
pub struct Observation {
    /// Requests on the server, its queue included.
    pub load: u32,
    /// Whether it answered.
    pub reachable: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// When this was so.
    pub at: Instant,
}

/// All observations that one box has.
#[derive(Debug, Default)]
pub struct Load {
    servers: BTreeMap<ServerId, Observation>,
    listed_leaving: BTreeSet<ServerId>,
}

impl Load {
    /// Takes in an observation. True where the server became leaving or
    /// reachable, or ceased to be.
    pub fn observe(&mut self, report: &Report, now: Instant) -> bool {
        let Some(at) = now.checked_sub(report.age) else { return false };
        let known = self.servers.get(&report.server);
        if known.is_some_and(|known| known.at >= at) {
            return false;
        }
        let before = known.map_or((true, false), |known| (known.reachable, known.leaving));
        let observation = Observation {
            load: report.running + report.queued,
            reachable: report.reachable,
            leaving: report.leaving,
            at,
        };
        self.servers.insert(report.server.clone(), observation);
        before != (report.reachable, report.leaving)
    }

    /// The platform's list names these servers as leaving. True where that is news.
    pub fn list_leaving(&mut self, leaving: BTreeSet<ServerId>) -> bool {
        let news = leaving != self.listed_leaving;
        self.listed_leaving = leaving;
        news
    }

    /// The observation of a server.
    pub fn get(&self, server: &ServerId) -> Option<&Observation> {
        self.servers.get(server)
    }

    /// Whether a server is known to be leaving.
    pub fn leaving(&self, server: &ServerId) -> bool {
        let observed = self.servers.get(server).is_some_and(|observation| observation.leaving);
        observed || self.listed_leaving.contains(server)
    }

    /// Reports to pass on: leaving servers first, then the youngest.
    pub fn news(&self, most: usize, now: Instant, rng: &mut impl Rng) -> Vec<Report> {
        let mut reports: Vec<Report> = self
            .servers
            .iter()
            .map(|(server, observation)| Report {
                server: server.clone(),
                running: observation.load,
                queued: 0,
                reachable: observation.reachable,
                leaving: self.leaving(server),
                age: now.saturating_duration_since(observation.at),
            })
            .filter(|report| report.age < MAX_REPORT_AGE)
            .collect();
        reports.shuffle(rng);
        reports.sort_by_key(|report| (!report.leaving, report.age.as_millis() / SAME_AGE_MS));
        reports.truncate(most);
        reports
    }

    /// Forgets servers that the configuration no longer has, and old observations.
    pub fn retain(&mut self, keep: impl Fn(&ServerId) -> bool, now: Instant) {
        self.servers.retain(|server, observation| {
            keep(server) && now.saturating_duration_since(observation.at) < FORGET_AFTER
        });
    }
}

/// Ages closer together than this count as the same when reports are picked.
const SAME_AGE_MS: u128 = 250;
const FORGET_AFTER: Duration = Duration::from_secs(300);
