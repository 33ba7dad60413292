//! The latest observation of each backend server of a region.
//!
//! Observations come from probes by this box, from reports by other boxes and from the outcomes of
//! requests. The newest observation is kept, but a server counts as unreachable only if no box has
//! reached it for a while: a box that has lost its path to the server can't reach it either.
//! Messages contain ages instead of times, so that clocks
//! need not agree. The servers that the platform's list names as leaving are stored separately,
//! because a probe of a server does not show what the list contains. Such an entry expires when no
//! box has read it from the list for `LISTED_TTL`.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use rand::Rng;
use rand::seq::SliceRandom;

use crate::protocol::NameHash;
use crate::protocol::ServerId;
use crate::protocol::name_hash;
use crate::protocol::peer::MAX_REPORT_AGE;
use crate::protocol::peer::ServerReport;

/// Ages are divided by this duration and rounded down to select reports, so that ages within one
/// bucket count as equal.
const AGE_BUCKET: Duration = Duration::from_millis(250);
/// The age at which an observation is discarded.
const OBSERVATION_TTL: Duration = Duration::from_secs(300);
/// How long a server counts as reachable after a box has reached it. Two boxes probe it twice a
/// second each.
const REACHABLE_TTL: Duration = Duration::from_millis(1200);
/// The age at which an entry of the platform's list is discarded.
const LISTED_TTL: Duration = Duration::from_secs(10);

/// An observation of a server.
#[derive(Clone, Debug)]
pub struct Observation {
    /// The number of requests on the server, including those in its queue.
    pub load: u32,
    /// Whether the server responded.
    pub reachable: bool,
    /// Whether the server is leaving.
    pub leaving: bool,
    /// The time of the observation.
    pub observed_at: Instant,
    /// The time at which a box last reached the server.
    reached_at: Option<Instant>,
}

/// All observations of one box.
#[derive(Debug, Default)]
pub struct ServerLoads {
    servers: BTreeMap<NameHash, Observation>,
    listed: BTreeMap<NameHash, Instant>,
}

impl ServerLoads {
    /// Records an observation. Returns whether the server's `leaving` or `reachable` state changed.
    pub fn observe(&mut self, report: &ServerReport, now: Instant) -> bool {
        let Some(observed_at) = now.checked_sub(report.age) else { return false };
        if report.listed {
            return self.observe_listed_leaving(report.server, observed_at, now);
        }
        let current = self.servers.get(&report.server);
        if current.is_some_and(|current| current.observed_at >= observed_at) {
            return false;
        }
        let reached_at = match report.reachable {
            true => Some(observed_at),
            false => current.and_then(|current| current.reached_at),
        };
        if !report.reachable && reached_at.is_some_and(|at| observed_at < at + REACHABLE_TTL) {
            return false;
        }
        let previous_state =
            current.map_or((true, false), |current| (current.reachable, current.leaving));
        let observation = Observation {
            load: report.load,
            reachable: report.reachable,
            leaving: report.leaving,
            observed_at,
            reached_at,
        };
        self.servers.insert(report.server, observation);
        previous_state != (report.reachable, report.leaving)
    }

    /// Records that the platform's list names a server as leaving. `at` is the time at which the
    /// list was read. Returns whether this is new.
    pub fn observe_listed_leaving(&mut self, server: NameHash, at: Instant, now: Instant) -> bool {
        if now.saturating_duration_since(at) >= LISTED_TTL {
            return false;
        }
        let newest = self.listed.entry(server).or_insert(at);
        let is_new = *newest == at;
        *newest = at.max(*newest);
        is_new
    }

    /// Returns the observation of a server.
    pub fn get(&self, server: &ServerId) -> Option<&Observation> {
        self.servers.get(&name_hash(server))
    }

    /// Returns whether the last observation or the platform's list shows a server as leaving.
    pub fn is_leaving(&self, server: &ServerId, now: Instant) -> bool {
        let listed = self.listed.get(&name_hash(server));
        let listed = listed.is_some_and(|at| now.saturating_duration_since(*at) < LISTED_TTL);
        listed || self.get(server).is_some_and(|observation| observation.leaving)
    }

    /// Returns the reports to send to other boxes: entries of the platform's list, which take at
    /// most half of the limit, then leaving servers, then the newest observations.
    pub fn reports_to_share(
        &self,
        limit: usize,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<ServerReport> {
        let age = |at: &Instant| now.saturating_duration_since(*at);
        let listed = self.listed.iter().filter(|(_, at)| age(at) < LISTED_TTL);
        let mut reports: Vec<ServerReport> =
            listed.map(|(server, at)| listed_leaving_report(*server, age(at))).collect();
        reports.truncate(limit / 2);
        let mut observed: Vec<ServerReport> = self
            .servers
            .iter()
            .filter(|(_, observation)| age(&observation.observed_at) < MAX_REPORT_AGE)
            .map(|(server, observation)| ServerReport {
                server: *server,
                load: observation.load,
                reachable: observation.reachable,
                leaving: observation.leaving,
                listed: false,
                age: age(&observation.observed_at),
            })
            .collect();
        observed.shuffle(rng);
        let sort_key = |report: &ServerReport| {
            (!report.leaving, report.age.as_millis() / AGE_BUCKET.as_millis())
        };
        observed.sort_by_key(sort_key);
        observed.truncate(limit - reports.len());
        reports.extend(observed);
        reports
    }

    /// Discards servers for which `keep` is false (no longer configured) and expired observations.
    pub fn retain(&mut self, keep: impl Fn(&NameHash) -> bool, now: Instant) {
        let is_younger = |at: &Instant, ttl| now.saturating_duration_since(*at) < ttl;
        self.servers.retain(|server, observation| {
            keep(server) && is_younger(&observation.observed_at, OBSERVATION_TTL)
        });
        self.listed.retain(|_, at| is_younger(at, LISTED_TTL));
    }
}

fn listed_leaving_report(server: NameHash, age: Duration) -> ServerReport {
    ServerReport { server, load: 0, reachable: true, leaving: true, listed: true, age }
}
