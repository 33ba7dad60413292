//! Views of the known state that the traffic thread and the placement of requests need.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use super::ClusterState;
use super::Entry;
use super::LocalContext;
use super::ServerLocation;
use super::SoftwareVersions;
use crate::coordination::candidate;
use crate::coordination::candidate::ServerState;
use crate::coordination::presence;
use crate::coordination::rendezvous;
use crate::coordination::upgrade::Role;
use crate::coordination::upgrade::Versions;
use crate::coordination::upgrade::table::ServerCounts;
use crate::coordination::warmup;
use crate::protocol::RegionId;
use crate::protocol::fleet::Server;
use crate::protocol::routing::Service;
use crate::protocol::routing::ServiceId;

impl ClusterState {
    /// Servers of all regions that may get requests, by service.
    pub fn usable_servers(&self) -> HashMap<ServiceId, Vec<ServerLocation>> {
        let mut usable_servers: HashMap<ServiceId, Vec<ServerLocation>> = HashMap::new();
        for entry in self.servers.values().filter(|entry| self.is_home(entry)) {
            let server = &entry.server;
            let Some(names) = &entry.names else { continue };
            let location = ServerLocation {
                hash: entry.id_hash,
                region: Arc::clone(&names.region),
                failure_domain: Arc::clone(&names.failure_domain),
            };
            get_or_insert(&mut usable_servers, &server.service).push(location);
        }
        usable_servers
    }

    /// Versions of all known servers, and the regions in which they may get requests.
    pub fn software_versions(&self) -> SoftwareVersions {
        let mut versions = SoftwareVersions::default();
        for entry in self.servers.values().filter(|entry| self.is_named(&entry.server.service)) {
            let version = candidate::version_hash(&entry.server.version);
            let regions =
                get_or_insert(&mut versions, &entry.server.service).entry(version).or_default();
            if let Some(names) = entry.names.as_ref().filter(|_| self.is_usable(entry)) {
                regions.insert(names.region.to_string());
            }
        }
        versions
    }

    /// Slots that may get requests, by service and region.
    pub fn slots(&self) -> HashMap<ServiceId, HashMap<RegionId, u32>> {
        let mut slots: HashMap<ServiceId, HashMap<RegionId, u32>> = HashMap::new();
        for entry in self.servers.values().filter(|entry| self.is_home(entry)) {
            let Some(names) = &entry.names else { continue };
            let service = get_or_insert(&mut slots, &entry.server.service);
            let slots = get_or_insert(service, &names.region);
            *slots = slots.saturating_add(entry.server.slots);
        }
        slots
    }

    fn is_usable(&self, entry: &Entry) -> bool {
        self.accepts_requests(entry)
            && matches!(self.role(&entry.server), Role::Serving | Role::Canary)
    }

    /// Whether a server counts when requests are divided among regions. Servers of a canary version
    /// get too few requests for that.
    fn is_home(&self, entry: &Entry) -> bool {
        self.accepts_requests(entry) && self.role(&entry.server) == Role::Serving
    }

    /// Whether a server may get requests, apart from its version.
    fn accepts_requests(&self, entry: &Entry) -> bool {
        !entry.server.leaving
            && !entry.announced_leaving
            && !self.box_addresses.contains(&entry.server.address)
            && self.is_named(&entry.server.service)
            && !self.evacuated.contains_key(&entry.server.failure_domain)
    }

    /// Sets the roles of the versions of services that are or were upgraded.
    pub fn set_versions(&mut self, versions: BTreeMap<ServiceId, Versions>) {
        self.versions = versions;
        self.substitutes.clear();
        if self.versions.is_empty() {
            return;
        }
        let mut roles: BTreeMap<ServiceId, BTreeSet<Role>> = BTreeMap::new();
        for entry in self.servers.values().filter(|entry| self.accepts_requests(entry)) {
            let role = self.role(&entry.server);
            roles.entry(entry.server.service.clone()).or_default().insert(role);
        }
        for (service, roles) in roles {
            // A version that was replaced is known to work, so it comes before one on trial.
            let substitutes = [Role::Serving, Role::Retired, Role::Canary];
            let substitute = substitutes.into_iter().find(|role| roles.contains(role));
            if let Some(role) = substitute.filter(|role| *role != Role::Serving) {
                self.substitutes.insert(service, role);
            }
        }
    }

    /// The roles of a service's versions.
    pub fn versions(&self, service: &str) -> Option<&Versions> {
        self.versions.get(service)
    }

    /// Usable servers of a service in all regions, by version and regardless of roles.
    pub fn count_servers(&self, service: &str) -> ServerCounts {
        let mut counts = ServerCounts::default();
        for entry in self.servers.values().filter(|entry| self.accepts_requests(entry)) {
            if entry.server.service == service {
                *counts.by_version.entry(entry.server.version.clone()).or_default() += 1;
            }
        }
        counts
    }

    fn role(&self, server: &Server) -> Role {
        let versions = self.versions.get(&server.service);
        match versions.map_or(Role::Serving, |versions| versions.role(&server.version)) {
            role if self.substitutes.get(&server.service) == Some(&role) => Role::Serving,
            role => role,
        }
    }

    /// Hashes of the boxes that share the servers of this region, including this one. Boxes that
    /// start together don't see each other at first, so a box that has just started counts every
    /// box that was ever started.
    pub fn sharing_boxes(&self, context: &LocalContext<'_>) -> BTreeSet<u64> {
        let own_record = context.own_record;
        let removed = self.expired_boxes.values().map(|(record, _)| record);
        let region_boxes =
            self.boxes.values().chain(removed).filter(|record| record.region == own_record.region);
        let mut names: Vec<&str> = region_boxes.map(|record| record.name.as_str()).collect();
        names.push(&own_record.name);
        if context.just_started {
            let roster_entries =
                self.roster.keys().filter(|(region, _)| *region == own_record.region);
            names.extend(roster_entries.map(|(_, name)| name.as_str()));
        }
        let named_hashes = names.into_iter().map(presence::box_hash);
        named_hashes.chain(self.senders.keys().copied()).collect()
    }

    /// The servers of this region by service.
    pub fn local_servers(
        &self,
        context: &LocalContext<'_>,
    ) -> HashMap<ServiceId, Vec<ServerState>> {
        let sharing_boxes = self.sharing_boxes(context);
        let mut local_servers: HashMap<ServiceId, Vec<ServerState>> = HashMap::new();
        let Some(routing) = &self.routing else { return local_servers };
        for entry in self.servers.values() {
            let server = &entry.server;
            if entry.names.as_ref().is_none_or(|names| *names.region != *context.own_record.region)
            {
                continue;
            }
            let Some(service) = routing.services.get(&server.service) else { continue };
            get_or_insert(&mut local_servers, &server.service).push(ServerState {
                server: Arc::clone(server),
                usable: self.is_usable(entry),
                role: self.role(server),
                cold_until: entry.cold_until,
                cold_share: cold_share(context, service, entry.id_hash, &sharing_boxes),
                same_failure_domain: server.failure_domain == context.own_record.failure_domain,
            });
        }
        local_servers
    }
}

fn cold_share(
    context: &LocalContext<'_>,
    service: &Service,
    id_hash: u64,
    sharing_boxes: &BTreeSet<u64>,
) -> Option<warmup::Share> {
    if service.warmup_rate <= 0.0 {
        return None;
    }
    let limit = warmup::ColdLimit {
        rate: service.warmup_rate,
        excess: context.cold_excess,
        slack: context.cold_slack,
    };
    let own_weight = rendezvous::mix(presence::box_hash(&context.own_record.name), id_hash);
    let ranks_ahead = |other: &&u64| rendezvous::mix(**other, id_hash) > own_weight;
    // Only the first ranks matter, so the others are not counted: a full count at each server takes
    // boxes x servers steps.
    let max_rank = limit.total() as usize;
    let rank = sharing_boxes.iter().filter(ranks_ahead).take(max_rank).count();
    Some(limit.share(sharing_boxes.len(), rank))
}

/// The value of a key. Clones the key only if it is new.
fn get_or_insert<'a, V: Default>(map: &'a mut HashMap<String, V>, key: &str) -> &'a mut V {
    if !map.contains_key(key) {
        map.insert(key.to_owned(), V::default());
    }
    map.get_mut(key).expect("it was just inserted")
}
