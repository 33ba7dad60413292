//! The servers, boxes, evacuations and configuration that the control thread has learned from the
//! store.

mod box_addresses;
mod boxes;
mod settling;
mod views;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use self::box_addresses::BoxAddresses;
use crate::coordination::candidate;
use crate::coordination::departures;
use crate::coordination::interrupted::ServerIncarnation;
use crate::coordination::store_rollback::ROLLBACK_GRACE;
use crate::coordination::store_rollback::StoreRollback;
use crate::coordination::upgrade::Role;
use crate::coordination::upgrade::Versions;
use crate::protocol::BoxId;
use crate::protocol::RegionId;
use crate::protocol::ServerId;
use crate::protocol::adapter::Fact;
use crate::protocol::adapter::Subject;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::fleet::FailureDomainId;
use crate::protocol::fleet::Server;
use crate::protocol::fleet::VersionHash;
use crate::protocol::platform::Revision;
use crate::protocol::routing::Routing;
use crate::protocol::routing::ServiceId;
use crate::protocol::team::Teams;

/// How long boxes whose records are gone still count among the boxes that share a limit. They may
/// be running and only have lost the store.
const EXPIRED_BOX_RETENTION: Duration = Duration::from_secs(30);

/// Maximum time by which the clock of a server's machine is ahead of this one's.
const MAX_CLOCK_LEAD: Duration = Duration::from_secs(3600);

/// Maximum number of replaced incarnations that are remembered for each server. Late writes are those
/// of the last one or two.
const MAX_EARLIER_INCARNATIONS: usize = 4;

/// The versions of the servers of each service, and the regions in which servers of a version may
/// get requests.
pub type SoftwareVersions = HashMap<ServiceId, HashMap<VersionHash, HashSet<RegionId>>>;

/// Location of a server of any region.
#[derive(Clone, Debug)]
pub struct ServerLocation {
    /// Hash of the server's name, for the choice of home servers of shared prefixes.
    pub hash: u64,
    /// Its region.
    pub region: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
}

/// A failure domain and its region, shared by the locations of its servers.
#[derive(Clone, Debug)]
struct DomainNames {
    region: Arc<str>,
    failure_domain: Arc<str>,
}

#[derive(Clone, Debug)]
struct Entry {
    server: Arc<Server>,
    /// Revision at which it was written.
    revision: Revision,
    cold_until: Option<Instant>,
    /// Since when the entry is missing from the store, while it may still be written again.
    missing_since: Option<Instant>,
    /// Names of the server's failure domain and region; `None` if the domain is unknown.
    names: Option<DomainNames>,
    /// Hash of the server's name.
    id_hash: u64,
    /// Incarnation of the server that the entry describes.
    incarnation: ServerIncarnation,
    /// Incarnations that it replaced, oldest first.
    earlier_incarnations: VecDeque<ServerIncarnation>,
    /// Whether the server announced in a response that it is leaving.
    announced_leaving: bool,
    /// When this box saw the entry change; `None` if it has seen only one version of it.
    changed_at: Option<Instant>,
}

impl Entry {
    /// Whether an entry with an earlier start time is that of a new incarnation: the clock of the
    /// server's machine may have been set back. A late write of an incarnation that this one
    /// replaced is not.
    fn is_replaced_by(
        &self,
        server: &Server,
        incarnation: ServerIncarnation,
        revision: Revision,
    ) -> bool {
        server.started_at.is_some()
            && revision > self.revision
            && !self.earlier_incarnations.contains(&incarnation)
    }
}

/// Whether a start time can't be that of a running server, so that it doesn't order entries.
fn is_in_the_future(started_at: Option<SystemTime>) -> bool {
    let latest = SystemTime::now().checked_add(MAX_CLOCK_LEAD);
    latest.is_some_and(|latest| started_at > Some(latest))
}

/// A failure domain that must get no requests.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    /// Revision at which it was written.
    revision: Revision,
    /// Since when the entry is missing from the store, while it may still be written again.
    missing_since: Option<Instant>,
}

/// Everything learned from the store.
#[derive(Debug, Default)]
pub struct ClusterState {
    /// The newest configuration.
    pub routing: Option<Arc<Routing>>,
    servers: BTreeMap<ServerId, Entry>,
    /// Whether entries of servers are missing from the store.
    any_missing: bool,
    evacuated: BTreeMap<FailureDomainId, Evacuation>,
    boxes: BTreeMap<BoxId, BoxRecord>,
    expired_boxes: BTreeMap<BoxId, (BoxRecord, Instant)>,
    /// Addresses of boxes, at which no server can be.
    box_addresses: BoxAddresses,
    /// Boxes of this region that sent datagrams to this one: hash of the name, time of the last
    /// one.
    senders: BTreeMap<u64, Instant>,
    /// Region and name of each box that was ever started, with whether its first build begins streams
    /// only at listed versions.
    roster: BTreeMap<(RegionId, BoxId), bool>,
    /// Names of each known failure domain and its region.
    domains: HashMap<FailureDomainId, DomainNames>,
    store_recovered_at: Option<Instant>,
    rollback: StoreRollback,
    /// Roles of the versions of services that are or were upgraded.
    versions: BTreeMap<ServiceId, Versions>,
    /// Services of which no serving version is left, with the role whose servers serve instead.
    substitutes: BTreeMap<ServiceId, Role>,
}

/// The local box and its settings, which decide how limits are shared.
pub struct LocalContext<'a> {
    /// Record of this box.
    pub own_record: &'a BoxRecord,
    /// Whether this box has only just started, so that boxes which started with it may not be in
    /// the store yet.
    pub just_started: bool,
    /// Factor by which the request rate of a cold server may be exceeded.
    pub cold_excess: f64,
    /// Number of requests that a cold server may get in addition.
    pub cold_slack: f64,
}

impl ClusterState {
    /// Creates a state that contains nothing but the regions of the failure domains.
    pub fn new(regions: HashMap<FailureDomainId, RegionId>) -> ClusterState {
        let names = |(domain, region): (FailureDomainId, RegionId)| {
            let (failure_domain, region) = (Arc::from(domain.as_str()), Arc::from(region));
            (domain, DomainNames { region, failure_domain })
        };
        let domains = regions.into_iter().map(names).collect();
        ClusterState { domains, ..ClusterState::default() }
    }

    /// Records that the store responded again at `at` after an outage.
    pub fn record_store_recovered(&mut self, at: Instant) {
        self.store_recovered_at = self.store_recovered_at.max(Some(at));
    }

    /// When the store last responded again after an outage.
    pub fn store_recovered_at(&self) -> Option<Instant> {
        self.store_recovered_at
    }

    /// Applies an entry that was written at a revision. Returns whether it changed anything.
    pub fn apply(&mut self, fact: Fact, revision: Revision, now: Instant) -> bool {
        let subject = settling::subject(&fact);
        if self.is_outdated(&fact, &subject, revision, now) {
            log::info!("event=held_back subject={subject:?} revision={revision}");
            self.rollback.hold_back(subject, fact, revision);
            return false;
        }
        self.rollback.discard_held(&subject);
        match fact {
            Fact::Routing(routing) => {
                let known_version = self.routing.as_ref().map_or(0, |routing| routing.version);
                let newer = routing.version > known_version;
                if newer {
                    log::info!(
                        "event=configuration version={} before={known_version}",
                        routing.version
                    );
                    self.log_unknown_regions(&routing);
                    self.routing = Some(Arc::new(*routing));
                } else if routing.version < known_version {
                    log::warn!(
                        "event=older_configuration version={} in_force={known_version}",
                        routing.version
                    );
                }
                newer
            }
            Fact::Server(server) => self.apply_server(server, revision, now),
            // Orders are kept in a table of their own.
            Fact::Upgrade(_) => false,
            Fact::Evacuated(domain) => {
                log::info!("event=evacuated failure_domain={domain}");
                let evacuation = Evacuation { revision, missing_since: None };
                let before = self.evacuated.insert(domain, evacuation);
                before.is_none_or(|before| before.missing_since.is_some())
            }
        }
    }

    /// Applies the entry of a server. An entry that was written again counts as a change even if
    /// its contents are the same: a server that turns cold for the second time writes "cold for 3
    /// s" again, and a box that lost the store in between has seen only the first write.
    fn apply_server(&mut self, server: Server, revision: Revision, now: Instant) -> bool {
        let before = self.servers.get_mut(&server.id);
        let previous_incarnation = before.as_ref().map(|entry| entry.incarnation);
        let incarnation = candidate::incarnation_hash(&server);
        let is_settling = self.rollback.is_settling(now);
        if let Some(entry) = &before
            && server.started_at < entry.server.started_at
            && !is_in_the_future(entry.server.started_at)
            && (is_settling || !entry.is_replaced_by(&server, incarnation, revision))
        {
            log::warn!("event=older_life server={} revision={revision}", server.id);
            return false;
        }
        if let Some(entry) = before
            && *entry.server == server
            && entry.revision == revision
        {
            return entry.missing_since.take().is_some();
        }
        let mut changed_at = (previous_incarnation == Some(incarnation)).then_some(now);
        let mut cold_until = (!server.cold_left.is_zero()).then(|| now + server.cold_left);
        if let Some(before) = self.servers.get(&server.id)
            && is_settling
            && before.incarnation == incarnation
        {
            // The entry comes from the older copy of the store, and is older than the entry that it
            // replaces.
            changed_at = before.changed_at;
            cold_until = cold_until.max(before.cold_until);
        }
        let born =
            server.started_at.and_then(|born| born.duration_since(SystemTime::UNIX_EPOCH).ok());
        log::info!(
            "event=server server={} born={} service={} address={} failure_domain={} leaving={} cold_ms={} software={}",
            server.id,
            born.map_or(0, |since| since.as_millis()),
            server.service,
            server.address,
            server.failure_domain,
            server.leaving,
            server.cold_left.as_millis(),
            server.version,
        );
        if !self.domains.contains_key(&server.failure_domain) {
            log::warn!(
                "event=unknown_failure_domain server={} failure_domain={:?}",
                server.id,
                server.failure_domain
            );
        }
        let mut earlier_incarnations = match self.servers.get_mut(&server.id) {
            Some(before) => std::mem::take(&mut before.earlier_incarnations),
            None => VecDeque::new(),
        };
        if let Some(previous) = previous_incarnation.filter(|previous| *previous != incarnation) {
            earlier_incarnations.push_back(previous);
            if earlier_incarnations.len() > MAX_EARLIER_INCARNATIONS {
                earlier_incarnations.pop_front();
            }
        }
        if self.box_addresses.contains(&server.address) {
            log::warn!("event=server_at_box server={} address={}", server.id, server.address);
        }
        let is_named = self.is_named(&server.service);
        let id = server.id.clone();
        let entry = Entry {
            names: self.domains.get(&server.failure_domain).cloned(),
            id_hash: candidate::server_hash(&id),
            incarnation,
            earlier_incarnations,
            server: Arc::new(server),
            revision,
            cold_until,
            missing_since: None,
            announced_leaving: false,
            changed_at,
        };
        self.servers.insert(id, entry);
        is_named
    }

    /// Whether the configuration names a service. Entries of other services are kept, because a
    /// later configuration may name it, and have no effect until then.
    fn is_named(&self, service: &str) -> bool {
        self.routing.as_ref().is_some_and(|routing| routing.services.contains_key(service))
    }

    /// Logs regions that a configuration names and that no failure domain belongs to.
    fn log_unknown_regions(&self, routing: &Routing) {
        let known: BTreeSet<&str> = self.domains.values().map(|names| &*names.region).collect();
        let routes = routing.routes().flat_map(|route| &route.home_regions);
        let teams = routing.teams.iter().flat_map(Teams::iter).flat_map(|team| &team.home_regions);
        let named: BTreeSet<&str> = routes.chain(teams).map(String::as_str).collect();
        for region in named.difference(&known) {
            log::warn!("event=unknown_region region={region:?} version={}", routing.version);
        }
    }

    /// Number of known servers in all regions.
    pub fn server_count(&self) -> usize {
        self.servers.len()
    }

    /// Removes an entry that is gone from the store.
    pub fn remove(&mut self, subject: &Subject, now: Instant) {
        self.rollback.discard_held(subject);
        match subject {
            Subject::Server(id) => self.remove_server(id, now),
            Subject::Evacuation(domain) => self.remove_evacuation(domain, now),
            Subject::Routing | Subject::Upgrade(_) | Subject::Other => {}
        }
    }

    /// Removes a server because the value under its key is not that of a server; another writer may
    /// have put it there.
    pub fn discard_server(&mut self, id: &str) {
        if self.servers.remove(id).is_some() {
            log::info!("event=server_gone server={id} reason=\"its entry is not a server's\"");
        }
    }

    fn remove_server(&mut self, id: &ServerId, now: Instant) {
        let within_grace = |at: Instant| now < at + ROLLBACK_GRACE;
        if self.store_recovered_at.is_some_and(within_grace) {
            if let Some(entry) = self.servers.get_mut(id) {
                log::info!("event=server_missing server={id} reason=\"the store was away\"");
                entry.missing_since.get_or_insert(now);
                self.any_missing = true;
            }
            return;
        }
        if let Some(entry) = self.servers.remove(id) {
            log::info!("event=server_gone server={id}");
            self.rollback.record_removal(Subject::Server(id.clone()), entry.revision, now);
        }
    }

    /// Marks the servers of a domain as cold. After an evacuation they may be, whatever they last
    /// reported.
    fn mark_domain_cold(&mut self, domain: &str, now: Instant) {
        let Some(routing) = &self.routing else { return };
        for entry in self.servers.values_mut() {
            if entry.server.failure_domain != domain {
                continue;
            }
            if let Some(service) = routing.services.get(&entry.server.service) {
                entry.cold_until = entry.cold_until.max(Some(now + service.cold_time));
            }
        }
    }

    /// Removes everything that a full read of the store doesn't list.
    pub fn retain_listed(
        &mut self,
        seen_subjects: &BTreeSet<Subject>,
        boxes: &BTreeSet<BoxId>,
        now: Instant,
    ) {
        let servers = self.servers.keys().cloned().map(Subject::Server);
        let evacuated = self.evacuated.keys().cloned().map(Subject::Evacuation);
        let removed: Vec<Subject> =
            servers.chain(evacuated).filter(|subject| !seen_subjects.contains(subject)).collect();
        for subject in removed {
            self.remove(&subject, now);
        }
        let removed: Vec<BoxId> =
            self.boxes.keys().filter(|name| !boxes.contains(*name)).cloned().collect();
        for name in removed {
            self.remove_box(&name, now);
        }
    }

    /// Removes entries that have been missing for long enough. Returns whether there were any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.servers.len() + self.expired_boxes.len() + self.senders.len();
        // The servers are not looked at in each tick while none is missing.
        let mut any_missing = false;
        let servers = self.any_missing.then_some(&mut self.servers);
        servers.into_iter().for_each(|servers| {
            servers.retain(|id, entry| {
                any_missing |= entry.missing_since.is_some();
                let retained = entry.missing_since.is_none_or(|since| now < since + ROLLBACK_GRACE);
                if !retained {
                    log::info!(
                        "event=server_gone server={id} reason=\"missing since the store is back\""
                    );
                }
                retained
            })
        });
        self.any_missing = any_missing;
        self.expire_boxes(now);
        self.senders.retain(|_, at| now < *at + EXPIRED_BOX_RETENTION);
        let dropped = self.servers.len() + self.expired_boxes.len() + self.senders.len() != before;
        self.settle(now) || dropped
    }

    /// The store's entry about an incarnation of a server.
    pub fn departure_entry(
        &self,
        incarnation: ServerIncarnation,
    ) -> Option<departures::StoreEntry> {
        let entry = self.servers.values().find(|entry| entry.incarnation == incarnation)?;
        Some(departures::StoreEntry { leaving: entry.server.leaving, changed_at: entry.changed_at })
    }

    /// Updates which servers have announced in responses that they are leaving.
    pub fn set_leaving(&mut self, leaves: impl Fn(ServerIncarnation) -> bool) {
        for entry in self.servers.values_mut() {
            entry.announced_leaving = leaves(entry.incarnation);
        }
    }
}
