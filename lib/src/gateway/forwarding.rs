//! Chooses boxes of other regions to forward requests to: because no server here may or can run a
//! request, because the home server of its shared prefix is there, or because that region has
//! capacity while this one is busy.

use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::history::RequestHistory;
use super::job::Job;
use super::job::Origin;
use super::shared::Shared;
use super::shared::lock;
use crate::coordination::regions::Utilization;
use crate::coordination::rendezvous;
use crate::coordination::shared_prefix::SharedPrefix;
use crate::protocol::adapter::Adapter;
use crate::protocol::fleet::BoxRecord;
use crate::state::clock;

/// Maximum number of boxes of other regions that a request is forwarded to. Each costs a round trip
/// between regions.
const MAX_PEER_SENDS: usize = 2;

/// Why a request is forwarded to another region, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ForwardReason {
    /// The home server of the request's shared prefix is in that region.
    Home,
    /// The servers of this region are busy, and a share of the requests goes to another region.
    Overflow {
        /// Requests and slots of the servers of this region.
        own_utilization: Utilization,
        /// Share of the requests that is forwarded.
        share: f64,
    },
    /// No server of this region may or can run the request.
    NoPlace,
}

impl fmt::Display for ForwardReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ForwardReason::Home => f.write_str("home"),
            ForwardReason::Overflow { own_utilization, share } => {
                write!(
                    f,
                    "overflow in_flight={} slots={} part={share:.2}",
                    own_utilization.in_flight, own_utilization.slots
                )
            }
            ForwardReason::NoPlace => f.write_str("no_place"),
        }
    }
}

/// Whether this is the first send of a caller's request.
fn is_first_send(job: &Job, history: &RequestHistory) -> bool {
    job.origin == Origin::Caller && history.tried.is_empty() && history.boxes.is_empty()
}

/// The boxes of a region that accept requests.
fn serving_boxes<'a, A>(shared: &Shared<A>, job: &'a Job, region: &str) -> Vec<&'a BoxRecord> {
    let presence = lock(&shared.presence);
    let boxes = job.snapshot.boxes.iter();
    boxes.filter(|other| other.region == region && presence.serves(other)).collect()
}

/// Whether the servers of another region have capacity for a request, according to its reports.
fn has_capacity<A>(shared: &Shared<A>, job: &Job, region: &str) -> bool {
    let service_hash = rendezvous::weight(&job.service, "");
    lock(&shared.regions).may_have_capacity(service_hash, region, clock::now())
}

/// A box near the home server of the request's shared prefix, if that server is in another region.
/// Only the first send goes to the home; later ones go to any server.
pub fn home_box<A: Adapter>(
    shared: &Shared<A>,
    job: &Job,
    history: &RequestHistory,
) -> Option<SocketAddr> {
    let prefix = SharedPrefix::of(&job.metadata.segments)?;
    if !is_first_send(job, history) || !prefix.crosses_regions() {
        return None;
    }
    let servers = job.snapshot.servers.get(&job.service)?;
    let home_server = servers
        .iter()
        .filter(|server| job.is_allowed_in(&server.region))
        .max_by_key(|server| prefix.weight(server.hash))?;
    if *home_server.region == *shared.settings.region
        || !has_capacity(shared, job, &home_server.region)
    {
        return None;
    }
    let region_boxes = serving_boxes(shared, job, &home_server.region);
    // From a box in the failure domain of the home server, the prompt doesn't have to cross into
    // another one.
    let same_domain =
        region_boxes.iter().filter(|other| *other.failure_domain == *home_server.failure_domain);
    let same_domain: Vec<&BoxRecord> = same_domain.copied().collect();
    let candidates = if same_domain.is_empty() { region_boxes } else { same_domain };
    candidates.choose(&mut rand::rng()).map(|other| other.peers)
}

/// A box of a region that has capacity while the servers of this one are busy, for a share of the
/// requests. Requests whose prefix has a home in any region go there instead, and later sends go to
/// any server.
pub fn overflow_target<A: Adapter>(
    shared: &Shared<A>,
    job: &Job,
    history: &RequestHistory,
    now: Instant,
) -> Option<(SocketAddr, ForwardReason)> {
    let has_home =
        SharedPrefix::of(&job.metadata.segments).is_some_and(|prefix| prefix.crosses_regions());
    if !is_first_send(job, history) || has_home {
        return None;
    }
    let own_utilization = shared.with_service(&job.service, |service| {
        service.placement.utilization(&lock(&shared.loads), &lock(&shared.throttles), now)
    })?;
    let service_hash = rendezvous::weight(&job.service, "");
    let regions = lock(&shared.regions);
    let allowed = |region: &str| {
        job.is_allowed_in(region) && regions.may_have_capacity(service_hash, region, now)
    };
    let (region, share) = regions.overflow_target(service_hash, own_utilization, allowed, now)?;
    if rand::rng().random::<f64>() >= share {
        return None;
    }
    let other =
        serving_boxes(shared, job, region).choose(&mut rand::rng()).map(|other| other.peers)?;
    Some((other, ForwardReason::Overflow { own_utilization, share }))
}

/// Chooses a random box of another region, weighted by the slots of its region.
pub fn fallback_target<A: Adapter>(
    shared: &Shared<A>,
    job: &Job,
    tried: &[SocketAddr],
) -> Option<SocketAddr> {
    if tried.len() >= MAX_PEER_SENDS {
        return None;
    }
    let slots = job.snapshot.slots.get(&job.service)?;
    let (service_hash, now) = (rendezvous::weight(&job.service, ""), clock::now());
    let (regions, presence) = (lock(&shared.regions), lock(&shared.presence));
    let eligible = |other: &&BoxRecord| {
        other.region != shared.settings.region
            && presence.serves(other)
            && !tried.contains(&other.peers)
            && job.is_allowed_in(&other.region)
            && slots.get(&other.region).is_some_and(|slots| *slots > 0)
            && regions.may_have_capacity(service_hash, &other.region, now)
    };
    let boxes: Vec<&BoxRecord> = job.snapshot.boxes.iter().filter(eligible).collect();
    let in_region = |region: &str| boxes.iter().filter(|other| other.region == region).count();
    let weight = |other: &&BoxRecord| {
        let slots = slots.get(&other.region).copied().unwrap_or(0);
        f64::from(slots) / in_region(&other.region).max(1) as f64
    };
    boxes.choose_weighted(&mut rand::rng(), weight).ok().map(|other| other.peers)
}
