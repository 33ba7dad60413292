//! What control has learned from the store, and what follows from it.

mod settling;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use crate::coordination::candidate;
use crate::coordination::candidate::ServerState;
use crate::coordination::departures;
use crate::coordination::interrupted::ServerIncarnation;
use crate::coordination::presence;
use crate::coordination::rendezvous;
use crate::coordination::store_rollback::ROLLBACK_GRACE;
use crate::coordination::store_rollback::StoreRollback;
use crate::coordination::warmup;
use crate::protocol::BoxId;
use crate::protocol::RegionId;
use crate::protocol::ServerId;
use crate::protocol::adapter::Fact;
use crate::protocol::adapter::Subject;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::fleet::FailureDomainId;
use crate::protocol::fleet::Server;
use crate::protocol::platform::Revision;
use crate::protocol::routing::Routing;
use crate::protocol::routing::Service;
use crate::protocol::routing::ServiceId;

/// How long boxes that are gone still count among those that share a bound: they may
/// live and only have lost the store.
const SHARER_MEMORY: Duration = Duration::from_secs(30);

/// A server of any region.
#[derive(Clone, Debug)]
pub struct Located {
    /// What stands for it where shared parts find their homes.
    pub hash: u64,
    /// Its region.
    pub region: RegionId,
    /// Its failure domain.
    pub failure_domain: FailureDomainId,
}

#[derive(Clone, Debug)]
struct Entry {
    server: Arc<Server>,
    /// Revision at which it was written.
    revision: Revision,
    cold_until: Option<Instant>,
    /// Since when it is missing, while its absence is not yet believed.
    missing_since: Option<Instant>,
    /// Which life of the server it is about.
    life: ServerIncarnation,
    /// Whether the server has said that it leaves.
    said_leaving: bool,
    /// When this box saw it change, unless it has seen only one.
    changed_at: Option<Instant>,
}

/// A failure domain that is to get no work.
#[derive(Clone, Copy, Debug)]
struct Evacuation {
    /// Revision at which it was written.
    revision: Revision,
    /// Since when it is missing, while its absence is not yet believed.
    missing_since: Option<Instant>,
}

/// Everything learned from the store.
#[derive(Debug, Default)]
pub struct Facts {
    /// The newest configuration.
    pub routing: Option<Arc<Routing>>,
    servers: BTreeMap<ServerId, Entry>,
    evacuated: BTreeMap<FailureDomainId, Evacuation>,
    boxes: BTreeMap<BoxId, BoxRecord>,
    gone_boxes: BTreeMap<BoxId, (BoxRecord, Instant)>,
    /// Boxes of this region that were heard, by what stands for them in datagrams.
    heard: BTreeMap<u64, Instant>,
    /// Boxes that were ever started, by region and name.
    roster: BTreeSet<(RegionId, BoxId)>,
    /// Region of each failure domain that is known.
    regions: HashMap<FailureDomainId, RegionId>,
    store_back_at: Option<Instant>,
    restored: StoreRollback,
}

/// What is decided from the place of one box.
pub struct View<'a> {
    /// The box.
    pub own: &'a BoxRecord,
    /// It has only just started, and those that started with it may not be in the store yet.
    pub fresh: bool,
    /// How often the rate of a cold server may be exceeded.
    pub cold_excess: f64,
    /// Requests to a cold server beyond that.
    pub cold_slack: f64,
}

impl Facts {
    /// Nothing but the regions of the failure domains.
    pub fn new(regions: HashMap<FailureDomainId, RegionId>) -> Facts {
        Facts { regions, ..Facts::default() }
    }

    /// The store answered again then, after it did not.
    pub fn store_is_back(&mut self, at: Instant) {
        self.store_back_at = self.store_back_at.max(Some(at));
    }

    /// When the store last answered again after it did not.
    pub fn store_back_at(&self) -> Option<Instant> {
        self.store_back_at
    }

    /// Takes in something that was written at a revision. Says whether it is news.
    pub fn learn(&mut self, fact: Fact, revision: Revision, now: Instant) -> bool {
        let subject = settling::subject(&fact);
        if self.is_outdated(&fact, &subject, revision, now) {
            log::info!("event=held_back subject={subject:?} revision={revision}");
            self.restored.hold_back(subject, fact, revision);
            return false;
        }
        self.restored.discard_held(&subject);
        match fact {
            Fact::Routing(routing) => {
                let known = self.routing.as_ref().map_or(0, |routing| routing.version);
                let newer = routing.version > known;
                if newer {
                    log::info!("event=configuration version={} before={known}", routing.version);
                    self.routing = Some(Arc::new(*routing));
                } else if routing.version < known {
                    log::warn!(
                        "event=older_configuration version={} in_force={known}",
                        routing.version
                    );
                }
                newer
            }
            Fact::Server(server) => self.learn_server(server, revision, now),
            Fact::Evacuated(domain) => {
                log::info!("event=evacuated failure_domain={domain}");
                let evacuation = Evacuation { revision, missing_since: None };
                let before = self.evacuated.insert(domain, evacuation);
                before.is_none_or(|before| before.missing_since.is_some())
            }
        }
    }

    /// An entry that was written again is news though it says the same: a server that turns cold
    /// for the second time says "cold for 3 s" again, and a box that was without the store between
    /// has seen nothing else.
    fn learn_server(&mut self, server: Server, revision: Revision, now: Instant) -> bool {
        let before = self.servers.get_mut(&server.id);
        let known_life = before.as_ref().map(|entry| entry.life);
        if let Some(entry) = &before
            && server.born < entry.server.born
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
        let life = candidate::incarnation_hash(&server);
        let mut changed_at = (known_life == Some(life)).then_some(now);
        let mut cold_until = (!server.cold_left.is_zero()).then(|| now + server.cold_left);
        if let Some(before) = self.servers.get(&server.id)
            && self.restored.is_settling(now)
            && before.life == life
        {
            // An entry of the copy is older than what it replaces.
            changed_at = before.changed_at;
            cold_until = cold_until.max(before.cold_until);
        }
        let born = server.born.and_then(|born| born.duration_since(SystemTime::UNIX_EPOCH).ok());
        log::info!(
            "event=server server={} born={} service={} address={} failure_domain={} leaving={} cold_ms={}",
            server.id,
            born.map_or(0, |since| since.as_millis()),
            server.service,
            server.address,
            server.failure_domain,
            server.leaving,
            server.cold_left.as_millis(),
        );
        let id = server.id.clone();
        let entry = Entry {
            life,
            server: Arc::new(server),
            revision,
            cold_until,
            missing_since: None,
            said_leaving: false,
            changed_at,
        };
        self.servers.insert(id, entry);
        true
    }

    /// Takes in another box's record.
    pub fn learn_box(&mut self, record: BoxRecord) {
        self.gone_boxes.remove(&record.name);
        let before = self.boxes.insert(record.name.clone(), record.clone());
        if before.as_ref() != Some(&record) {
            log::info!(
                "event=box box={} region={} incarnation={:x} leaving={}",
                record.name,
                record.region,
                record.incarnation,
                record.leaving
            );
        }
    }

    /// Whether the store shows a box.
    pub fn is_listed(&self, name: &str) -> bool {
        self.boxes.contains_key(name)
    }

    /// A box was started at some time.
    pub fn learn_roster(&mut self, region: &str, name: &str) {
        self.roster.insert((region.to_owned(), name.to_owned()));
    }

    /// Boxes of all regions that bounds are shared among.
    pub fn fleet(&self, view: &View<'_>) -> usize {
        let listed = if view.fresh { self.roster.len() } else { 0 };
        (self.others(view.own).len() + 1).max(listed)
    }

    /// Another box's record is gone.
    pub fn forget_box(&mut self, name: &str, now: Instant) {
        if let Some(record) = self.boxes.remove(name) {
            log::info!("event=box_gone box={name} incarnation={:x}", record.incarnation);
            self.gone_boxes.insert(name.to_owned(), (record, now));
        }
    }

    /// Something that was written is gone.
    pub fn forget(&mut self, subject: &Subject, now: Instant) {
        self.restored.discard_held(subject);
        match subject {
            Subject::Server(id) => self.forget_server(id, now),
            Subject::Evacuation(domain) => self.forget_evacuation(domain, now),
            Subject::Routing | Subject::Other => {}
        }
    }

    /// What is written under a server's name names no server: another writer may have put it there.
    pub fn disown_server(&mut self, id: &str) {
        if self.servers.remove(id).is_some() {
            log::info!("event=server_gone server={id} reason=\"its entry is not a server's\"");
        }
    }

    fn forget_server(&mut self, id: &ServerId, now: Instant) {
        let returned = |at: Instant| now < at + ROLLBACK_GRACE;
        if self.store_back_at.is_some_and(returned) {
            if let Some(entry) = self.servers.get_mut(id) {
                log::info!("event=server_missing server={id} reason=\"the store was away\"");
                entry.missing_since.get_or_insert(now);
            }
            return;
        }
        if let Some(entry) = self.servers.remove(id) {
            log::info!("event=server_gone server={id}");
            self.restored.record_removal(Subject::Server(id.clone()), entry.revision, now);
        }
    }

    /// Servers that come back from an evacuation may be cold, whatever their last word was.
    fn cool(&mut self, domain: &str, now: Instant) {
        let Some(routing) = &self.routing else { return };
        for entry in self.servers.values_mut() {
            if entry.server.failure_domain != domain {
                continue;
            }
            let cold = routing.services.get(&entry.server.service).map(|service| service.cold);
            let until = now + cold.unwrap_or_default();
            entry.cold_until = entry.cold_until.max(Some(until));
        }
    }

    /// What a whole read of the store does not show is gone.
    pub fn keep_only(&mut self, seen: &BTreeSet<Subject>, boxes: &BTreeSet<BoxId>, now: Instant) {
        let servers = self.servers.keys().cloned().map(Subject::Server);
        let evacuated = self.evacuated.keys().cloned().map(Subject::Evacuation);
        let gone: Vec<Subject> =
            servers.chain(evacuated).filter(|subject| !seen.contains(subject)).collect();
        for subject in gone {
            self.forget(&subject, now);
        }
        let gone: Vec<BoxId> =
            self.boxes.keys().filter(|name| !boxes.contains(*name)).cloned().collect();
        for name in gone {
            self.forget_box(&name, now);
        }
    }

    /// Drops what has been missing for long enough. Says whether there was any.
    pub fn expire(&mut self, now: Instant) -> bool {
        let before = self.servers.len() + self.gone_boxes.len() + self.heard.len();
        self.servers.retain(|id, entry| {
            let keep = entry.missing_since.is_none_or(|since| now < since + ROLLBACK_GRACE);
            if !keep {
                log::info!(
                    "event=server_gone server={id} reason=\"missing since the store is back\""
                );
            }
            keep
        });
        self.gone_boxes.retain(|_, (_, since)| now < *since + SHARER_MEMORY);
        self.heard.retain(|_, at| now < *at + SHARER_MEMORY);
        let dropped = self.servers.len() + self.gone_boxes.len() + self.heard.len() != before;
        self.settle(now) || dropped
    }

    /// Boxes whose records are gone from the store for less than some seconds, or that are heard.
    pub fn lost(&self, own: &BoxRecord) -> Vec<BoxRecord> {
        let lost = self.gone_boxes.values().map(|(record, _)| record);
        lost.filter(|record| record.name != own.name).cloned().collect()
    }

    /// Boxes that are heard are not gone: they send to servers like any other, and need the word
    /// of others more than these do. With a lease of 4 s and shares that grew 30 s after its end,
    /// two boxes of four without the store for so long would send 20 requests in a second where 17
    /// are allowed (worked out, not run).
    pub fn keep_lost(&mut self, is_heard: impl Fn(&str) -> bool, now: Instant) {
        for (name, (_, since)) in &mut self.gone_boxes {
            if is_heard(name) {
                *since = now;
            }
        }
    }

    /// Boxes of this region are heard. One that started without the store may know of them by
    /// nothing else, and would take the whole of a bound for itself: two boxes gave a cold server 21
    /// requests in a second where 17 are allowed. Says whether any of them is new.
    pub fn hear_boxes(&mut self, senders: impl Iterator<Item = u64>, now: Instant) -> bool {
        let known = self.heard.len();
        self.heard.extend(senders.map(|sender| (sender, now)));
        self.heard.len() != known
    }

    /// What the store shows of a life of a server.
    pub fn departure_entry(&self, life: ServerIncarnation) -> Option<departures::StoreEntry> {
        let entry = self.servers.values().find(|entry| entry.life == life)?;
        Some(departures::StoreEntry { leaving: entry.server.leaving, changed_at: entry.changed_at })
    }

    /// Takes in which servers have said that they leave.
    pub fn set_leaving(&mut self, leaves: impl Fn(ServerIncarnation) -> bool) {
        for entry in self.servers.values_mut() {
            entry.said_leaving = leaves(entry.life);
        }
    }

    /// Boxes that live, this one left out.
    pub fn others(&self, own: &BoxRecord) -> Vec<BoxRecord> {
        self.boxes.values().filter(|record| record.name != own.name).cloned().collect()
    }

    /// Servers of all regions that may get work, by service.
    pub fn located(&self) -> HashMap<ServiceId, Vec<Located>> {
        let mut located: HashMap<ServiceId, Vec<Located>> = HashMap::new();
        for entry in self.servers.values().filter(|entry| self.is_usable(entry)) {
            let server = &entry.server;
            let Some(region) = self.regions.get(&server.failure_domain) else { continue };
            located.entry(server.service.clone()).or_default().push(Located {
                hash: candidate::server_hash(&server.id),
                region: region.clone(),
                failure_domain: server.failure_domain.clone(),
            });
        }
        located
    }

    /// Slots that may get work by service and region.
    pub fn slots(&self) -> HashMap<ServiceId, HashMap<RegionId, u32>> {
        let mut slots: HashMap<ServiceId, HashMap<RegionId, u32>> = HashMap::new();
        for entry in self.servers.values().filter(|entry| self.is_usable(entry)) {
            let Some(region) = self.regions.get(&entry.server.failure_domain) else { continue };
            let service = slots.entry(entry.server.service.clone()).or_default();
            *service.entry(region.clone()).or_default() += entry.server.slots;
        }
        slots
    }

    fn is_usable(&self, entry: &Entry) -> bool {
        !entry.server.leaving
            && !entry.said_leaving
            && !self.evacuated.contains_key(&entry.server.failure_domain)
    }

    /// Boxes that share the servers of this region, this one included, by what stands for them in
    /// datagrams. Boxes that start together do not see each other at first, so a fresh one counts
    /// all that there ever were.
    pub fn sharers(&self, view: &View<'_>) -> BTreeSet<u64> {
        let own = view.own;
        let gone = self.gone_boxes.values().map(|(record, _)| record);
        let known = self.boxes.values().chain(gone).filter(|record| record.region == own.region);
        let mut names: Vec<&str> = known.map(|record| record.name.as_str()).collect();
        names.push(&own.name);
        if view.fresh {
            let listed = self.roster.iter().filter(|(region, _)| *region == own.region);
            names.extend(listed.map(|(_, name)| name.as_str()));
        }
        let known = names.into_iter().map(presence::box_hash);
        known.chain(self.heard.keys().copied()).collect()
    }

    /// The servers of this region by service.
    pub fn known(&self, view: &View<'_>) -> HashMap<ServiceId, Vec<ServerState>> {
        let sharers = self.sharers(view);
        let mut known: HashMap<ServiceId, Vec<ServerState>> = HashMap::new();
        let Some(routing) = &self.routing else { return known };
        for entry in self.servers.values() {
            let server = &entry.server;
            if self.regions.get(&server.failure_domain) != Some(&view.own.region) {
                continue;
            }
            let Some(service) = routing.services.get(&server.service) else { continue };
            known.entry(server.service.clone()).or_default().push(ServerState {
                server: Arc::clone(server),
                usable: self.is_usable(entry),
                cold_until: entry.cold_until,
                cold_share: cold_share(view, service, server, &sharers),
                same_failure_domain: server.failure_domain == view.own.failure_domain,
            });
        }
        known
    }
}

fn cold_share(
    view: &View<'_>,
    service: &Service,
    server: &Server,
    sharers: &BTreeSet<u64>,
) -> Option<u32> {
    if service.warmup_rate <= 0.0 {
        return None;
    }
    let bound = warmup::ColdLimit {
        rate: service.warmup_rate,
        excess: view.cold_excess,
        slack: view.cold_slack,
    };
    let duty = candidate::server_hash(&server.id);
    let own = rendezvous::mix(presence::box_hash(&view.own.name), duty);
    let ahead = |other: &&u64| rendezvous::mix(**other, duty) > own;
    Some(bound.share(sharers.len(), sharers.iter().filter(ahead).count()))
}
