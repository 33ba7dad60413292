//! The control thread, which alone changes control state.
//!
//! Timers, other boxes and the thread's own calls produce events, which are
//! handled one at a time. State for the traffic threads is published as a whole
//! ([`Snapshot`]) or written to the pools. Calls to other processes run as
//! tasks that report back with an event, so a slow store or peer never blocks
//! the thread.

mod configuration;
mod heartbeats;
mod orders;
mod servers;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::shared::SharedState;
use super::shared::lock;
use crate::coordination::drain;
use crate::coordination::drain::Drain;
use crate::coordination::drain::Stage;
use crate::coordination::gossip::Gossip;
use crate::coordination::lease;
use crate::coordination::lease::LeaseClient;
use crate::coordination::lending::Lender;
use crate::coordination::membership;
use crate::coordination::membership::Membership;
use crate::coordination::rollout::Rollout;
use crate::protocol::PoolId;
use crate::protocol::ServerId;
use crate::protocol::Version;
use crate::protocol::config::Configuration;
use crate::protocol::name_hash;
use crate::protocol::peer::Heartbeat;
use crate::protocol::peer::Member;
use crate::protocol::peer::Phase;
use crate::protocol::peer::ServerReport;
use crate::protocol::platform::BoxListEntry;
use crate::protocol::platform::LeaseId;
use crate::state::clock;
use crate::state::counters::Counter;
use crate::state::load::ServerLoads;
use crate::state::snapshot::Snapshot;
use crate::transport::backend;
use crate::transport::listen::Shutdown;
use crate::transport::metrics;
use crate::transport::peer;
use crate::transport::platform::Platform;
use crate::transport::timer;
use crate::transport::timer::Tick;
use crate::transport::timer::Timer;

/// Capacity of the control thread's event queue.
pub const EVENT_QUEUE_CAPACITY: usize = 4096;
/// Time after the start of a box at which it stops waiting for slow sources and
/// becomes ready with the newest configuration it has.
const INITIAL_CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time between sends of the counters.
const METRICS_INTERVAL: Duration = Duration::from_secs(10);
/// Time between checks of the progress of a stop.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between removals of stale state.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

/// Input to the control thread.
#[derive(Debug)]
pub enum Event {
    /// A timer fired.
    Tick(Tick<Topic>),
    /// A heartbeat was received. If it came in a call, the response is sent
    /// back through the channel.
    Heartbeat(Box<Heartbeat>, Option<oneshot::Sender<Heartbeat>>),
    /// A heartbeat call ended.
    HeartbeatCompleted {
        /// Address that the heartbeat was sent to.
        peer: SocketAddr,
        /// Whether the peer responded.
        succeeded: bool,
        /// When it was sent.
        sent_at: Instant,
    },
    /// A source returned its stored configuration, or `None` if it failed or
    /// has none that is newer.
    ConfigurationOffered(Option<Bytes>),
    /// A source that was queried at the start responded or failed.
    ConfigurationSourceDone,
    /// A forwarded request is based on this version, which is newer than this
    /// box's.
    NewerVersionRequired(Version),
    /// A probe of a backend server ended.
    ProbeCompleted(ServerReport),
    /// The platform's list was read.
    PlatformListRead(Vec<BoxListEntry>),
    /// A call to acquire or renew the lease ended.
    Lease(lease::Event, Option<LeaseId>),
    /// A server crashed while it executed requests of this box.
    ServerCrashed,
    /// The operator requested a stop.
    StopRequested,
}

/// Purpose of a timer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// Send heartbeats.
    Heartbeat,
    /// Probe backend servers.
    Probe,
    /// Update the pools and place waiting requests.
    Pools,
    /// Read the platform's list.
    List,
    /// Announce this box in the directory.
    Announce,
    /// Acquire or renew the lease for ordering this region's engines.
    Lease,
    /// Send orders to model engines.
    Orders,
    /// Check the progress of a stop.
    Drain,
    /// Send the counters.
    Metrics,
    /// Remove stale state.
    Cleanup,
}

/// Control state of a box.
pub struct Control {
    shared: Arc<SharedState>,
    events: mpsc::Sender<Event>,
    stop: watch::Sender<Shutdown>,
    gossip: Gossip,
    rollout: Rollout,
    configuration: Arc<Configuration>,
    drain: Drain,
    lease_client: LeaseClient,
    lease_id: Option<LeaseId>,
    lenders: BTreeMap<PoolId, Lender>,
    peers: Arc<peer::Client>,
    platform: Platform,
    backend: backend::Client,
    metrics: Option<metrics::StatsdSink>,
    /// Whether this box watches the store for its region.
    is_watcher: Arc<AtomicBool>,
    fetch_in_progress: Arc<AtomicBool>,
    /// Name, incarnation and whether it is leaving, of each box as last logged.
    logged_members: BTreeSet<(String, u64, bool)>,
    /// Whether server states changed since the pools were last refreshed.
    pools_dirty: bool,
    /// Peers that were queried for the initial configuration.
    queried_peers: BTreeSet<SocketAddr>,
    probe_targets: Vec<servers::ProbeTarget>,
    /// Number of announcement intervals since the start.
    announce_tick: u32,
    /// Whether each server is reachable and leaving, as last logged.
    logged_server_states: BTreeMap<ServerId, (bool, bool)>,
    rng: SmallRng,
}

impl Control {
    /// Creates the control state of a box that has just started.
    pub fn new(
        shared: Arc<SharedState>,
        events: mpsc::Sender<Event>,
        stop: watch::Sender<Shutdown>,
        own: Member,
        peers: peer::Client,
    ) -> Control {
        let now = clock::now();
        let settings = &shared.settings;
        let timeouts = drain::Timeouts { grace: settings.stop_grace, limit: settings.stop_limit };
        let mut membership = Membership::new(own, membership::Config::default());
        membership.add_addresses(settings.seeds.iter().copied());
        let metrics = settings.statsd.and_then(|address| {
            metrics::StatsdSink::open(address, &settings.name, &settings.region)
                .inspect_err(|error| log::warn!("event=metrics_off error=\"{error}\""))
                .ok()
        });
        Control {
            gossip: Gossip { membership, load: ServerLoads::default() },
            rollout: Rollout::new(now, INITIAL_CONFIGURATION_TIMEOUT),
            configuration: Arc::new(Configuration::default()),
            drain: Drain::new(timeouts),
            lease_client: LeaseClient::new(lease::Timing::default()),
            lease_id: None,
            lenders: BTreeMap::new(),
            peers: Arc::new(peers),
            platform: Platform::new(settings.platform, Arc::clone(&shared.counters)),
            backend: backend::Client::default(),
            metrics,
            is_watcher: Arc::new(AtomicBool::new(true)),
            fetch_in_progress: Arc::new(AtomicBool::new(false)),
            logged_members: BTreeSet::new(),
            pools_dirty: true,
            queried_peers: BTreeSet::new(),
            probe_targets: Vec::new(),
            announce_tick: 0,
            logged_server_states: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(shared.incarnation),
            shared,
            events,
            stop,
        }
    }

    /// Handles events until the stop is complete and returns the final stage.
    pub async fn run(mut self, mut events: mpsc::Receiver<Event>) -> Stage {
        self.start_timers();
        self.request_initial_configuration();
        self.watch_configuration();
        while let Some(event) = events.recv().await {
            self.handle_event(event);
            if self.drain.stage().is_finished() {
                break;
            }
        }
        let stage = self.drain.stage();
        let stop = if stage == Stage::Done { Shutdown::Graceful } else { Shutdown::Immediate };
        let _ = self.stop.send(stop);
        stage
    }

    fn start_timers(&self) {
        let mut timer = Timer::default();
        let period = membership::Config::default().period;
        // Boxes that start together spread these tasks over the period.
        let initial_delay = |period: Duration| period.mul_f64(self.jitter_fraction());
        timer.subscribe(Topic::Heartbeat, period, Duration::ZERO);
        timer.subscribe(Topic::Probe, servers::PROBE_INTERVAL, Duration::ZERO);
        timer.subscribe(Topic::Pools, servers::POOL_REFRESH_INTERVAL, Duration::ZERO);
        timer.subscribe(Topic::List, servers::PLATFORM_LIST_INTERVAL, Duration::ZERO);
        timer.subscribe(Topic::Announce, heartbeats::ANNOUNCE_INTERVAL, Duration::ZERO);
        timer.subscribe(
            Topic::Lease,
            orders::LEASE_CHECK_INTERVAL,
            initial_delay(orders::LEASE_CHECK_INTERVAL),
        );
        timer.subscribe(
            Topic::Orders,
            orders::ORDER_INTERVAL,
            initial_delay(orders::ORDER_INTERVAL),
        );
        timer.subscribe(Topic::Drain, DRAIN_CHECK_INTERVAL, DRAIN_CHECK_INTERVAL);
        timer.subscribe(Topic::Metrics, METRICS_INTERVAL, METRICS_INTERVAL);
        timer.subscribe(Topic::Cleanup, CLEANUP_INTERVAL, CLEANUP_INTERVAL);
        let (sender, mut ticks) = mpsc::channel(1);
        let events = self.events.clone();
        tokio::spawn(timer::watch_for_suspensions());
        tokio::spawn(timer.run(sender));
        tokio::spawn(async move {
            while let Some(tick) = ticks.recv().await {
                if events.send(Event::Tick(tick)).await.is_err() {
                    return;
                }
            }
        });
    }

    /// A fraction in [0, 1) derived from the incarnation, to desynchronize boxes.
    fn jitter_fraction(&self) -> f64 {
        (self.shared.incarnation % 1000) as f64 / 1000.0
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick(tick) => self.handle_tick(tick),
            Event::Heartbeat(heartbeat, response_sender) => {
                self.handle_heartbeat(*heartbeat, response_sender)
            }
            Event::HeartbeatCompleted { peer, succeeded, sent_at } => {
                self.handle_heartbeat_result(peer, succeeded, sent_at)
            }
            Event::ConfigurationOffered(document) => self.handle_offered_configuration(document),
            Event::ConfigurationSourceDone => {
                self.rollout.query_finished();
                self.publish();
            }
            Event::NewerVersionRequired(version) => self.fetch_version(version),
            Event::ProbeCompleted(report) => self.handle_probe_report(&report),
            Event::PlatformListRead(listed) => self.handle_platform_list(&listed),
            Event::Lease(event, lease_id) => self.handle_lease_event(event, lease_id),
            Event::ServerCrashed => self.send_urgent_heartbeats(),
            Event::StopRequested => self.begin_stop(),
        }
    }

    fn handle_tick(&mut self, tick: Tick<Topic>) {
        match tick.topic {
            Topic::Heartbeat => self.send_heartbeats(tick.now, tick.lateness),
            Topic::Probe => self.probe_servers(),
            Topic::Pools => {
                self.refresh_pools(tick.now);
                self.decide_verdicts(tick.now);
            }
            Topic::List => self.read_platform_list(false),
            Topic::Announce => self.announce_if_due(),
            Topic::Lease => self.update_lease(tick.now),
            Topic::Orders => self.send_orders(tick.now),
            Topic::Drain => self.update_drain(tick.now),
            Topic::Metrics => self.send_metrics(),
            Topic::Cleanup => self.remove_stale_state(tick.now),
        }
    }

    /// Decides which requests are refused because they crash servers.
    fn decide_verdicts(&mut self, now: Instant) {
        if self.shared.quarantine.tick(now) {
            self.send_urgent_heartbeats();
        }
    }

    fn send_metrics(&mut self) {
        if let Some(metrics) = &mut self.metrics {
            metrics.flush(&self.shared.counters);
        }
    }

    fn remove_stale_state(&mut self, now: Instant) {
        self.shared.keyed_requests.expire(now);
        let configuration = Arc::clone(&self.configuration);
        let servers = || configuration.pools.values().flat_map(|pool| &pool.servers);
        self.gossip.load.retain(|id| servers().any(|(name, _)| name_hash(name) == *id), now);
        let addresses: BTreeSet<SocketAddr> = servers().map(|(_, server)| server.address).collect();
        self.backend.retain(|address| addresses.contains(address));
        self.shared.backend.retain(|address| addresses.contains(address));
    }

    fn begin_stop(&mut self) {
        let previous_stage = self.drain.stage();
        let stage = self.drain.handle(drain::Event::Stop(clock::now()));
        if stage == previous_stage {
            return;
        }
        log::info!("event=stop_requested stage={stage:?}");
        self.gossip.membership.update_own(|own| own.phase = Phase::Leaving);
        self.publish();
        self.announce();
        self.notify_region_of_leaving();
    }

    fn update_drain(&mut self, now: Instant) {
        let previous_stage = self.drain.stage();
        if previous_stage == Stage::Serving {
            return;
        }
        let in_flight = self.shared.in_flight.load(Ordering::Acquire);
        // The traffic threads wait for open connections themselves.
        let stage = self.drain.handle(drain::Event::Tick { now, in_flight, open: 0 });
        if stage != previous_stage {
            log::info!("event=stop_stage stage={stage:?} in_flight={in_flight}");
            self.publish();
        }
    }

    /// Publishes the control state to the traffic threads. Once the box is ready,
    /// its phase becomes [`Phase::Serving`] and it is announced.
    fn publish(&mut self) {
        let now = clock::now();
        let was_ready = self.shared.snapshot.load().ready;
        let ready = self.rollout.ready(now);
        if ready && !was_ready {
            log::info!("event=ready version={}", self.rollout.version());
            self.gossip.membership.update_own(|own| {
                if own.phase == Phase::Starting {
                    own.phase = Phase::Serving;
                }
            });
        }
        let in_flight = self.shared.in_flight.load(Ordering::Relaxed);
        let version = self.rollout.version();
        self.gossip.membership.update_own(|own| {
            own.in_flight = in_flight.try_into().unwrap_or(u32::MAX);
            own.configuration_version = version;
        });
        let snapshot = Snapshot {
            configuration: Arc::clone(&self.configuration),
            own: self.gossip.membership.own().clone(),
            members: self.gossip.membership.live(now).cloned().collect(),
            ready,
            stage: self.drain.stage(),
        };
        self.shared.snapshot.store(Arc::new(snapshot));
        if ready && !was_ready {
            self.announce();
        }
    }

    /// Logs each appearance, disappearance and phase change of a box once, and
    /// updates the rate limiter and the probes for the live boxes.
    fn apply_member_changes(&mut self, now: Instant) {
        let logged_key = |member: &Member| {
            (member.name.clone(), member.incarnation, member.phase == Phase::Leaving)
        };
        let live: BTreeSet<_> = self.gossip.membership.live(now).map(logged_key).collect();
        for (name, incarnation, leaving) in live.difference(&self.logged_members) {
            log::info!("event=box_seen box={name} incarnation={incarnation:x} leaving={leaving}");
        }
        for (name, incarnation, leaving) in self.logged_members.difference(&live) {
            if !live.iter().any(|(other, ..)| other == name) {
                log::info!(
                    "event=box_gone box={name} incarnation={incarnation:x} leaving={leaving}"
                );
            }
        }
        let limiter = &self.shared.limiter;
        lock(limiter).retain_boxes(|name| live.iter().any(|(live, ..)| live == name));
        if live != self.logged_members {
            self.logged_members = live;
            self.assign_probes(now);
        }
    }

    fn count(&self, counter: Counter) {
        self.shared.counters.increment(counter);
    }
}
