//! What the threads of a gateway share.
//!
//! Control publishes whole snapshots; traffic reads them without a lock. The
//! tables of servers are under a lock that is held for one decision.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use arc_swap::ArcSwap;
use tokio::sync::Notify;

use super::facts::Located;
use super::replica::Replica;
use super::settings::Settings;
use crate::coordination::broken::Broken;
use crate::coordination::candidate::Outcome;
use crate::coordination::departures::Departures;
use crate::coordination::drain::Stage;
use crate::coordination::fingerprint::Fingerprint;
use crate::coordination::freshness::Freshness;
use crate::coordination::loads::Loads;
use crate::coordination::placement::Place;
use crate::coordination::placement::Placement;
use crate::coordination::presence::Presence;
use crate::coordination::quarantine::Quarantine;
use crate::coordination::quota::Quotas;
use crate::coordination::regions::RegionUtilization;
use crate::coordination::retries::RetryBudget;
use crate::coordination::throttle::Throttles;
use crate::coordination::unlisted::Unlisted;
pub use crate::daemon::shared::lock;
use crate::protocol::Incarnation;
use crate::protocol::RegionId;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::routing::Routing;
use crate::protocol::routing::ServiceId;
use crate::state::clock;
use crate::state::counters::Counters;
use crate::state::latency::Latencies;
use crate::transport::backend;
use crate::transport::store::Eras;

/// What control knows, as a whole.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The configuration; `None` until the first one is known.
    pub routing: Option<Arc<Routing>>,
    /// Other boxes that live.
    pub boxes: Vec<BoxRecord>,
    /// Boxes whose records are gone from the store, and that may only have lost it.
    pub lost: Vec<BoxRecord>,
    /// Boxes of all regions that bounds are shared among, this one included.
    pub fleet: usize,
    /// Slots that may get work by service and region.
    pub slots: HashMap<ServiceId, HashMap<RegionId, u32>>,
    /// Servers of all regions that may get work, by service.
    pub servers: HashMap<ServiceId, Vec<Located>>,
    /// How far a stop is.
    pub stage: Stage,
}

/// The servers of a service, and what was sent to them.
pub struct Service {
    /// Which server gets what.
    pub placement: Placement,
    /// Sends beyond the first.
    pub budget: RetryBudget,
}

/// What all threads of a gateway share.
pub struct Shared<A> {
    /// Settings.
    pub settings: Settings,
    /// Translates the platform's words.
    pub adapter: A,
    /// Drawn at the start.
    pub incarnation: Incarnation,
    /// What control knows.
    pub snapshot: ArcSwap<Snapshot>,
    /// What the store last held, also for boxes that it does not answer.
    pub replica: Mutex<Replica>,
    /// Servers of this region by service.
    pub services: Mutex<HashMap<ServiceId, Service>>,
    /// What other boxes have on these servers. Locked after `services`, never before.
    pub loads: Mutex<Loads>,
    /// What teams have left of their limits.
    pub quotas: Mutex<Quotas>,
    /// Rates that servers of this region name. Locked after `services` and `loads`, never before.
    pub throttles: Mutex<Throttles>,
    /// Servers that say that they leave. Locked after `services` and `throttles`, never before.
    pub departures: Mutex<Departures>,
    /// How full the servers of other regions are.
    pub regions: Mutex<RegionUtilization>,
    /// What other boxes say of themselves.
    pub presence: Mutex<Presence>,
    /// Boxes that are heard though the store does not show them.
    pub unlisted: Mutex<Unlisted>,
    /// How recent the state from the store is.
    pub freshness: Mutex<Freshness>,
    /// Answers that broke off lately.
    pub broken: Mutex<Broken>,
    /// Requests that end servers.
    pub quarantine: Mutex<Quarantine>,
    /// When the store answered this box again after it did not.
    pub store_back_at: Mutex<Option<Instant>>,
    /// Eras that the store has told this box.
    pub eras: Eras,
    /// There is something that the other boxes of the region must hear at once.
    pub news: Notify,
    /// There is something that all boxes must hear at once.
    pub alarm: Notify,
    /// There may be verdicts that the store lacks.
    pub verdicts: Notify,
    /// Another box has a newer state from the store than this one.
    pub behind: Notify,
    /// Connections to backend servers.
    pub servers: backend::Client,
    /// Connections to other boxes.
    pub peers: backend::Client,
    /// Requests in progress.
    pub in_flight: AtomicUsize,
    /// Counters.
    pub counters: Arc<Counters>,
    /// How long things took.
    pub latencies: Arc<Latencies>,
}

impl<A> Shared<A> {
    /// Changes or asks the state of a service; `None` if there is no such service.
    pub fn with_service<T>(
        &self,
        service: &str,
        work: impl FnOnce(&mut Service) -> T,
    ) -> Option<T> {
        lock(&self.services).get_mut(service).map(work)
    }

    /// Age of the state from the store, milliseconds; -1 before there is any.
    pub fn state_age_ms(&self) -> i64 {
        let age = lock(&self.freshness).age(clock::now());
        age.map_or(-1, |age| age.as_millis() as i64)
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn progress(self: &Arc<Self>) -> Progress<A> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        Progress { shared: Arc::clone(self) }
    }
}

/// A request in progress.
pub struct Progress<A> {
    shared: Arc<Shared<A>>,
}

impl<A> Drop for Progress<A> {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A place on a server, given back when it is dropped.
pub struct Held<A> {
    shared: Arc<Shared<A>>,
    service: ServiceId,
    /// The place.
    pub place: Place,
    outcome: Outcome,
    request: Fingerprint,
}

impl<A> Held<A> {
    /// Holds a place that was just taken for a request.
    pub fn new(
        shared: &Arc<Shared<A>>,
        service: &str,
        place: Place,
        request: Fingerprint,
    ) -> Held<A> {
        let shared = Arc::clone(shared);
        let mut quarantine = lock(&shared.quarantine);
        quarantine.begin_trial(place.server.clone(), request);
        let suspicious = quarantine.is_suspicious(request);
        drop(quarantine);
        if suspicious {
            shared.news.notify_one();
        }
        let outcome = Outcome::Abandoned;
        Held { shared, service: service.to_owned(), place, outcome, request }
    }

    /// Whether the server would still get it.
    pub fn is_still_admitted(&self) -> bool {
        let now = clock::now();
        let admits = |service: &mut Service| service.placement.still_admits(&self.place, now);
        self.shared.with_service(&self.service, admits).unwrap_or(false)
    }

    /// Says how the exchange ended.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// The answer has begun.
    pub fn first_byte(&mut self) {
        let place = &mut self.place;
        self.shared.with_service(&self.service, |service| service.placement.first_byte(place));
    }
}

impl<A> Drop for Held<A> {
    fn drop(&mut self) {
        let (place, outcome) = (&mut self.place, self.outcome);
        let now = clock::now();
        self.shared
            .with_service(&self.service, |service| service.placement.finish(place, outcome, now));
        let mut quarantine = lock(&self.shared.quarantine);
        let suspicious = quarantine.is_suspicious(self.request);
        quarantine.finish_trial(&self.place.server, self.request);
        drop(quarantine);
        if suspicious {
            self.shared.news.notify_one();
        }
    }
}
