//! State shared by the threads of a gateway.
//!
//! Control publishes immutable snapshots, which traffic reads without a lock. The tables of servers
//! are behind locks that are held for one decision at a time.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Instant;

use arc_swap::ArcSwap;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::cluster_state::ServerLocation;
use super::cluster_state::SoftwareVersions;
use super::forwarded_versions::ForwardedVersions;
use super::replica::Replica;
use super::settings::Settings;
use super::state_transfer::CompressedState;
use super::stream_directory::StreamDirectory;
use super::upgrade::TrackedSend;
use crate::coordination::candidate::Outcome;
use crate::coordination::departures::Departures;
use crate::coordination::drain::Stage;
use crate::coordination::fingerprint::Fingerprint;
use crate::coordination::forwards::Forwards;
use crate::coordination::freshness::Freshness;
use crate::coordination::freshness::Version;
use crate::coordination::interrupted::InterruptedRequests;
use crate::coordination::join_tree::JoinTree;
use crate::coordination::loads::Loads;
use crate::coordination::path_checks::PathChecks;
use crate::coordination::placement::Place;
use crate::coordination::placement::Placement;
use crate::coordination::presence::Presence;
use crate::coordination::quarantine::Quarantine;
use crate::coordination::quota::Quotas;
use crate::coordination::reachability::PathChange;
use crate::coordination::reachability::PeerReachability;
use crate::coordination::regions::RegionUtilization;
use crate::coordination::retries::RetryBudgets;
use crate::coordination::room_queue::RoomQueue;
use crate::coordination::senders::Senders;
use crate::coordination::throttle::Throttles;
use crate::coordination::unlisted::Unlisted;
use crate::coordination::upgrade::Upgrades;
use crate::coordination::upgrade::Versions;
use crate::coordination::upgrade::table::ServerCounts;
pub use crate::daemon::shared::lock;
use crate::protocol::Incarnation;
use crate::protocol::RegionId;
use crate::protocol::adapter::KeyValue;
use crate::protocol::fleet::BoxRecord;
use crate::protocol::platform::Position;
use crate::protocol::routing::Limits;
use crate::protocol::routing::Routing;
use crate::protocol::routing::ServiceId;
use crate::state::clock;
use crate::state::counters::Counters;
use crate::state::latency::Latencies;
use crate::transport::activity::OpenConnections;
use crate::transport::backend;
use crate::transport::memory::Account;
use crate::transport::store::NewestEra;

/// Everything that control has published, as one consistent snapshot.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The configuration; `None` until the first one is known.
    pub routing: Option<Arc<Routing>>,
    /// Version of the state from the store that this snapshot shows.
    pub state: Version,
    /// Position of the last change of configuration, evacuations or upgrades.
    pub decided_at: Position,
    /// Other live boxes.
    pub boxes: Vec<BoxRecord>,
    /// Boxes whose records are gone from the store. They may be running and only have lost the
    /// store.
    pub expired_boxes: Vec<BoxRecord>,
    /// Number of boxes in all regions that share the limits, including this one.
    pub fleet_size: usize,
    /// Slots that may get requests, by service and region.
    pub slots: HashMap<ServiceId, HashMap<RegionId, u32>>,
    /// Servers of all regions that may get requests, by service.
    pub servers: HashMap<ServiceId, Vec<ServerLocation>>,
    /// Versions of the servers of each service, and their slots in the regions in which they may get
    /// requests.
    pub software: SoftwareVersions,
    /// Roles of the versions of services that are or were upgraded.
    pub versions: BTreeMap<ServiceId, Versions>,
    /// Usable servers of these services by version.
    pub upgrading_servers: BTreeMap<ServiceId, ServerCounts>,
    /// Progress of a shutdown.
    pub stage: Stage,
    /// Whether this box has a configuration and knows how much it may resend.
    pub has_started: bool,
}

/// The servers of a service and the load on them.
pub struct Service {
    /// Chooses a server for each request.
    pub placement: Placement,
    /// Requests that wait for room at brittle servers.
    pub queue: RoomQueue,
    /// Held by the request whose turn it is.
    pub turn: Arc<tokio::sync::Mutex<()>>,
    /// Notified when a request on a server has ended.
    pub released: Arc<Notify>,
    /// Notified when a server has reported whether it is cold.
    pub reported: Arc<Notify>,
}

impl Service {
    /// Creates the state of a service without servers in a box that started at `started_at`.
    pub fn new(started_at: Instant) -> Service {
        Service {
            placement: Placement::new(started_at),
            queue: RoomQueue::default(),
            turn: Arc::default(),
            released: Arc::default(),
            reported: Arc::default(),
        }
    }

    /// Releases a place and records the outcome of its request.
    fn finish(&mut self, place: &mut Place, outcome: Outcome, now: Instant) -> PathChange {
        if outcome == Outcome::Answered {
            self.queue.record_duration(now.saturating_duration_since(place.reserved_at));
        }
        self.released.notify_one();
        self.placement.finish(place, outcome, now)
    }
}

/// State shared by all threads of a gateway.
pub struct Shared<A> {
    /// The settings.
    pub settings: Settings,
    /// Translates between the platform's protocols and the gateway.
    pub adapter: A,
    /// Random number drawn at the start.
    pub incarnation: Incarnation,
    /// The snapshot that control published last.
    pub snapshot: ArcSwap<Snapshot>,
    /// The last known contents of the store, also served to boxes that can't reach the store.
    pub replica: Mutex<Replica>,
    /// The state as last compressed for boxes that start.
    pub compressed_state: Mutex<Option<CompressedState>>,
    /// The entry of the configuration in force.
    pub configuration: Mutex<Option<KeyValue>>,
    /// Boxes that start and asked this one for the state.
    pub joins: Mutex<JoinTree>,
    /// The servers of this region by service.
    pub services: Mutex<HashMap<ServiceId, Service>>,
    /// Load of other boxes on these servers. Locked after `services`, never before.
    pub loads: Mutex<Loads>,
    /// Budgets for resends. No other lock is taken while it is held.
    pub retries: Mutex<RetryBudgets>,
    /// The part of their rate limits that teams have left.
    pub quotas: Mutex<Quotas>,
    /// Request rates that servers of this region asked for. Locked after `services` and `loads`,
    /// never before.
    pub throttles: Mutex<Throttles>,
    /// Servers that announced that they are leaving. Locked after `services` and `throttles`, never
    /// before.
    pub departures: Mutex<Departures>,
    /// Load of the servers of other regions.
    pub regions: Mutex<RegionUtilization>,
    /// Status that other boxes report about themselves.
    pub presence: Mutex<Presence>,
    /// Services that other boxes reach.
    pub peer_paths: Mutex<PeerReachability>,
    /// Forwards under way. No other lock is taken while it is held.
    pub forwards: Mutex<Forwards>,
    /// Checks of servers that boxes carry out for each other.
    pub path_checks: Mutex<PathChecks>,
    /// Which senders of datagrams are boxes. No other lock is taken while it is held.
    pub senders: Mutex<Senders>,
    /// Boxes that send datagrams though the store doesn't list them.
    pub unlisted: Mutex<Unlisted>,
    /// How recent the state from the store is.
    pub freshness: Mutex<Freshness>,
    /// Requests whose responses recently broke off.
    pub interrupted: Mutex<InterruptedRequests>,
    /// Requests that crash servers.
    pub quarantine: Mutex<Quarantine>,
    /// Orders and plans of upgrades, and the counted responses. No other lock is taken while it is
    /// held.
    pub upgrades: Mutex<Upgrades>,
    /// Notified when the judges of an upgrade should get a report at once.
    pub upgrade_report: Notify,
    /// Notified when a judge of an upgrade has received further bad responses.
    pub upgrade_evidence: Notify,
    /// Versions of streams. No other lock is taken while it is held.
    pub streams: Mutex<StreamDirectory>,
    /// Notified when there are reports about streams to send.
    pub stream_report: Notify,
    /// Notified when streams have begun that the store is to keep.
    pub streams_begun: Notify,
    /// Notified when streams are to be looked up in the store.
    pub store_lookups: Notify,
    /// Notified when the versions of services may have changed.
    pub version_lists: Notify,
    /// When the store responded to this box again after an outage.
    pub store_recovered_at: Mutex<Option<Instant>>,
    /// Newest era of the store that was reported to this box.
    pub eras: NewestEra,
    /// Notified when the other boxes of the region must get a report at once.
    pub region_update: Notify,
    /// Notified when servers have reported to this box that they are not cold.
    pub server_report: Notify,
    /// Notified when all boxes must get a report at once.
    pub global_update: Notify,
    /// Notified when there may be verdicts to write to the store.
    pub verdicts: Notify,
    /// Notified when the path to a server is lost.
    pub path_lost: Notify,
    /// Notified when other boxes have reported whether they reach servers.
    pub path_results: Notify,
    /// Notified when another box has a newer state from the store than this one.
    pub peer_ahead: Notify,
    /// Forwarded requests that wait for a newer state.
    pub forwarded_versions: ForwardedVersions,
    /// Client for backend servers.
    pub servers: backend::Client,
    /// Client for other boxes.
    pub peers: backend::Client,
    /// Memory for responses that are held as a whole.
    pub response_memory: Account,
    /// Number of requests in progress.
    pub in_flight: AtomicUsize,
    /// Open connections of callers and of other boxes.
    pub open: OpenConnections,
    /// When this box was asked to stop.
    pub stop_requested_at: watch::Sender<Option<Instant>>,
    /// Since when the ports of this box are closed because it is leaving.
    pub closing_since: watch::Sender<Option<Instant>>,
    /// The limits of the routing configuration, which open connections follow.
    pub limits: watch::Sender<Limits>,
    /// Event counters.
    pub counters: Arc<Counters>,
    /// Latency histograms.
    pub latencies: Arc<Latencies>,
}

impl<A> Shared<A> {
    /// Runs `access` on the state of a service. Returns `None` if there is no such service.
    pub fn with_service<T>(
        &self,
        service: &str,
        access: impl FnOnce(&mut Service) -> T,
    ) -> Option<T> {
        lock(&self.services).get_mut(service).map(access)
    }

    /// Whether this box reaches no server of any service that has servers in its region.
    pub fn is_isolated(&self) -> bool {
        let services = lock(&self.services);
        let mut with_servers =
            services.values().filter(|service| service.placement.has_usable()).peekable();
        with_servers.peek().is_some()
            && with_servers.all(|service| service.placement.is_unreachable())
    }

    /// Notifies the tasks that are concerned if the path to a server was lost.
    fn publish_path_change(&self, service: &str, server: &str, change: PathChange) {
        if change == PathChange::Unchanged {
            return;
        }
        log::info!("event=path_lost service={service} server={server}");
        self.path_lost.notify_one();
        if change == PathChange::AllLost {
            log::info!("event=service_unreachable service={service}");
            self.region_update.notify_one();
        }
    }

    /// Age of the state from the store in milliseconds; -1 before there is any.
    pub fn state_age_ms(&self) -> i64 {
        let age = lock(&self.freshness).age(clock::now());
        age.map_or(-1, |age| age.as_millis() as i64)
    }

    /// Counts a request as in progress until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> InFlightGuard<A> {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlightGuard { shared: Arc::clone(self) }
    }
}

/// Counts a request as in progress until it is dropped.
pub struct InFlightGuard<A> {
    shared: Arc<Shared<A>>,
}

impl<A> Drop for InFlightGuard<A> {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}

/// A reserved slot on a server, released when dropped.
pub struct Reservation<A> {
    pub(super) shared: Arc<Shared<A>>,
    pub(super) service: ServiceId,
    /// The server and the load that it was chosen by.
    pub place: Place,
    outcome: Outcome,
    request: Fingerprint,
    tracked: Option<TrackedSend>,
}

impl<A> Reservation<A> {
    /// Wraps a slot that was just reserved for a request.
    pub fn new(
        shared: &Arc<Shared<A>>,
        service: &str,
        place: Place,
        request: Fingerprint,
        tracked: Option<TrackedSend>,
    ) -> Reservation<A> {
        let shared = Arc::clone(shared);
        let mut quarantine = lock(&shared.quarantine);
        quarantine.begin_execution(place.server.clone(), request);
        let suspicious = quarantine.needs_isolation(request);
        drop(quarantine);
        if suspicious {
            shared.region_update.notify_one();
        }
        let outcome = Outcome::Abandoned;
        Reservation { shared, service: service.to_owned(), place, outcome, request, tracked }
    }

    /// Sets the outcome that is recorded when the slot is released.
    pub fn set_outcome(&mut self, outcome: Outcome) {
        self.outcome = outcome;
    }

    /// Records that the response has begun.
    pub fn first_byte(&mut self) {
        if let Some(tracked) = &mut self.tracked {
            tracked.record_first_byte(clock::now());
        }
        let place = &mut self.place;
        self.shared.with_service(&self.service, |service| service.placement.first_byte(place));
    }
}

impl<A> Drop for Reservation<A> {
    fn drop(&mut self) {
        let (place, outcome) = (&mut self.place, self.outcome);
        let now = clock::now();
        let change =
            self.shared.with_service(&self.service, |service| service.finish(place, outcome, now));
        self.shared.publish_path_change(&self.service, &place.server, change.unwrap_or_default());
        if let Some(tracked) = self.tracked.take() {
            tracked.finish(&self.shared, &self.place, outcome, now);
        }
        let mut quarantine = lock(&self.shared.quarantine);
        let suspicious = quarantine.needs_isolation(self.request);
        quarantine.finish_execution(&self.place.server, self.request);
        drop(quarantine);
        if suspicious {
            self.shared.region_update.notify_one();
        }
    }
}
