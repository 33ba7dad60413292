//! The latest observation of each backend server of a region.
//!
//! Probes by this box, reports by others and signs in traffic all end here.
//! The younger observation wins; ages travel instead of times, so that clocks
//! need not agree. What the platform's list says of servers that are leaving is
//! kept apart, since a probe of the server knows nothing of it, and ends when
//! nobody has read it in the list for a while.

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

/// Ages closer together than this count as the same when reports are picked.
const SAME_AGE: Duration = Duration::from_millis(250);
/// Age at which an observation is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(300);
/// Age at which word of the platform's list is forgotten.
const LISTED_LIFE: Duration = Duration::from_secs(10);

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
    pub observed_at: Instant,
}

/// All observations that one box has.
#[derive(Debug, Default)]
pub struct ServerLoads {
    servers: BTreeMap<NameHash, Observation>,
    listed: BTreeMap<NameHash, Instant>,
}

impl ServerLoads {
    /// Takes in an observation. True where the server became leaving or
    /// reachable, or ceased to be.
    pub fn observe(&mut self, report: &ServerReport, now: Instant) -> bool {
        let Some(observed_at) = now.checked_sub(report.age) else { return false };
        if report.listed {
            return self.observe_listed(report.server, observed_at, now);
        }
        let known = self.servers.get(&report.server);
        if known.is_some_and(|known| known.observed_at >= observed_at) {
            return false;
        }
        let before = known.map_or((true, false), |known| (known.reachable, known.leaving));
        let observation = Observation {
            load: report.load,
            reachable: report.reachable,
            leaving: report.leaving,
            observed_at,
        };
        self.servers.insert(report.server, observation);
        before != (report.reachable, report.leaving)
    }

    /// The platform's list, read at `at`, names a server as leaving. True where that is news.
    pub fn observe_listed(&mut self, server: NameHash, at: Instant, now: Instant) -> bool {
        if now.saturating_duration_since(at) >= LISTED_LIFE {
            return false;
        }
        let known = self.listed.entry(server).or_insert(at);
        let news = *known == at;
        *known = at.max(*known);
        news
    }

    /// The observation of a server.
    pub fn get(&self, server: &ServerId) -> Option<&Observation> {
        self.servers.get(&name_hash(server))
    }

    /// Whether a server is known to be leaving.
    pub fn leaving(&self, server: &ServerId, now: Instant) -> bool {
        let listed = self.listed.get(&name_hash(server));
        let listed = listed.is_some_and(|at| now.saturating_duration_since(*at) < LISTED_LIFE);
        listed || self.get(server).is_some_and(|observation| observation.leaving)
    }

    /// Reports to pass on: leaving servers first, then the youngest.
    pub fn reports_to_share(
        &self,
        most: usize,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<ServerReport> {
        let age = |at: &Instant| now.saturating_duration_since(*at);
        let listed = self.listed.iter().filter(|(_, at)| age(at) < LISTED_LIFE);
        let mut reports: Vec<ServerReport> =
            listed.map(|(server, at)| word(*server, age(at))).collect();
        reports.truncate(most / 2);
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
        let order = |report: &ServerReport| {
            (!report.leaving, report.age.as_millis() / SAME_AGE.as_millis())
        };
        observed.sort_by_key(order);
        observed.truncate(most - reports.len());
        reports.extend(observed);
        reports
    }

    /// Forgets servers that the configuration no longer has, and old observations.
    pub fn retain(&mut self, keep: impl Fn(&NameHash) -> bool, now: Instant) {
        let young = |at: &Instant, life| now.saturating_duration_since(*at) < life;
        self.servers.retain(|server, observation| {
            keep(server) && young(&observation.observed_at, FORGET_AFTER)
        });
        self.listed.retain(|_, at| young(at, LISTED_LIFE));
    }
}

fn word(server: NameHash, age: Duration) -> ServerReport {
    ServerReport { server, load: 0, reachable: true, leaving: true, listed: true, age }
}
