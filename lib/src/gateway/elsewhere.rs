//! Which box of another region gets a request: one that cannot run here, one whose text has its
//! home there, or one that finds room there while this region is busy.

use std::fmt;
use std::net::SocketAddr;
use std::time::Instant;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::course::RequestHistory;
use super::job::Job;
use super::job::Origin;
use super::shared::Shared;
use super::shared::lock;
use crate::coordination::regions::Fullness;
use crate::coordination::rendezvous;
use crate::coordination::text::Text;
use crate::protocol::adapter::Adapter;
use crate::protocol::fleet::BoxRecord;
use crate::state::clock;

/// Most boxes of other regions that one request is sent to: each costs a way there and back.
const MAX_PEER_SENDS: usize = 2;

/// Why a request goes to another region, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ForwardReason {
    /// The engine that keeps its text stands there.
    Home,
    /// The servers here are busy; so they are here, and this part of the requests goes there.
    Overflow {
        /// Requests and slots of the servers of this region.
        own_fullness: Fullness,
        /// Part of the requests that goes there.
        share: f64,
    },
    /// No server here may or can take it.
    NoPlace,
}

impl fmt::Display for ForwardReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ForwardReason::Home => f.write_str("home"),
            ForwardReason::Overflow { own_fullness, share } => {
                write!(
                    f,
                    "overflow in_flight={} slots={} part={share:.2}",
                    own_fullness.in_flight, own_fullness.slots
                )
            }
            ForwardReason::NoPlace => f.write_str("no_place"),
        }
    }
}

/// Whether a caller's request has been sent nowhere yet.
fn is_first_send(job: &Job, history: &RequestHistory) -> bool {
    job.origin == Origin::Caller && history.tried.is_empty() && history.boxes.is_empty()
}

/// The boxes of a region that take requests.
fn serving_boxes<'a, A>(shared: &Shared<A>, job: &'a Job, region: &str) -> Vec<&'a BoxRecord> {
    let presence = lock(&shared.presence);
    let boxes = job.snapshot.boxes.iter();
    boxes.filter(|other| other.region == region && presence.serves(other)).collect()
}

/// Whether the servers of another region have room for a request, as far as heard.
fn has_room<A>(shared: &Shared<A>, job: &Job, region: &str) -> bool {
    let service_hash = rendezvous::weight(&job.service, "");
    lock(&shared.regions).has_room(service_hash, region, clock::now())
}

/// The box beside the home of the request's text, if that stands in another region. Only the
/// first send follows the text; after that any place will do.
pub fn home_box<A: Adapter>(
    shared: &Shared<A>,
    job: &Job,
    history: &RequestHistory,
) -> Option<SocketAddr> {
    let text = Text::of(&job.ask.parts)?;
    if !is_first_send(job, history) || !text.travels() {
        return None;
    }
    let servers = job.snapshot.servers.get(&job.service)?;
    let home_server = servers
        .iter()
        .filter(|server| job.is_allowed_in(&server.region))
        .max_by_key(|server| text.weight(server.hash))?;
    if home_server.region == shared.settings.region || !has_room(shared, job, &home_server.region) {
        return None;
    }
    let region_boxes = serving_boxes(shared, job, &home_server.region);
    // Beside the engine, the prompt crosses no further failure domain.
    let same_domain =
        region_boxes.iter().filter(|other| other.failure_domain == home_server.failure_domain);
    let same_domain: Vec<&BoxRecord> = same_domain.copied().collect();
    let candidates = if same_domain.is_empty() { region_boxes } else { same_domain };
    candidates.choose(&mut rand::rng()).map(|other| other.peers)
}

/// A box of a region that has room while the servers here are busy, for a part of the requests.
/// Those whose text has a home follow it instead, and later sends go where there is any place.
pub fn overflow_target<A: Adapter>(
    shared: &Shared<A>,
    job: &Job,
    history: &RequestHistory,
    now: Instant,
) -> Option<(SocketAddr, ForwardReason)> {
    let has_home = Text::of(&job.ask.parts).is_some_and(|text| text.travels());
    if !is_first_send(job, history) || has_home {
        return None;
    }
    let own_fullness = shared.with_service(&job.service, |service| {
        service.placement.fullness(&lock(&shared.loads), &lock(&shared.throttles), now)
    })?;
    let service_hash = rendezvous::weight(&job.service, "");
    let regions = lock(&shared.regions);
    let allowed =
        |region: &str| job.is_allowed_in(region) && regions.has_room(service_hash, region, now);
    let (region, share) = regions.overflow(service_hash, own_fullness, allowed, now)?;
    if rand::rng().random::<f64>() >= share {
        return None;
    }
    let other =
        serving_boxes(shared, job, region).choose(&mut rand::rng()).map(|other| other.peers)?;
    Some((other, ForwardReason::Overflow { own_fullness, share }))
}

/// Chooses a region by the slots that may get work there, and one of its boxes.
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
            && regions.has_room(service_hash, &other.region, now)
    };
    let boxes: Vec<&BoxRecord> = job.snapshot.boxes.iter().filter(eligible).collect();
    let in_region = |region: &str| boxes.iter().filter(|other| other.region == region).count();
    let weight = |other: &&BoxRecord| {
        let slots = slots.get(&other.region).copied().unwrap_or(0);
        f64::from(slots) / in_region(&other.region).max(1) as f64
    };
    boxes.choose_weighted(&mut rand::rng(), weight).ok().map(|other| other.peers)
}
